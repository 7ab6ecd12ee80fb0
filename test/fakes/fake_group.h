/*
 * fake_group - raft replicas on fake disks, connected by a simulated network
 *
 * The simulation has one virtual clock and one seed, so a seed always gives
 * the same run. Messages are encoded and decoded as on a real link. They are
 * randomly delayed, dropped, duplicated and reordered; a cut from one replica
 * to another drops all of them. Raft's safety properties are checked at every
 * step, and the first violation is recorded in violation. The replicated state
 * is a hash chain over the commands, and the store if has_store is set.
 *
 * With a rate of the links, messages leave a replica one after the other and
 * arrive in that order, as on the link of a VM, and the replicas use the lanes of
 * control/bulk.h. What a cut drops, or a crash, ends the links between the two.
 */
#ifndef FAKE_GROUP_H
#define FAKE_GROUP_H

#include "control/bulk.h"
#include "control/control.h"
#include "test/fakes/fake_disk.h"

#define FAKE_GROUP_MAX 16

struct fake_group;

struct fake_replica {
	struct control control; /* only its raft, wal and store are used */
	struct fake_group *group;
	struct fake_disk *disk;
	u32 id;
	bool is_up;
	bool was_wiped;
	bool is_ending; /* a write failed, so the process ends after this step */
	bool was_leader;
	u64 count; /* commands applied */
	u64 hash; /* hash chain over these commands */
	u64 frozen_until_us; /* until then it neither reads nor ticks */
};

/* The lane from one replica to another. */
struct fake_lane {
	struct fake_group *group;
	u32 from;
	u32 to;
	u32 epoch; /* counts the links; what was sent on an earlier one is lost */
	struct bulk_out out;
	struct bulk_in in;
};

struct fake_group {
	u64 seed;
	struct rng rng;
	u64 now_us;
	u32 n;
	u32 founders; /* replicas 1 to FOUNDERS form the group; the others join it */
	struct fake_replica r[FAKE_GROUP_MAX + 1]; /* indexed by id */
	bool cut[FAKE_GROUP_MAX + 1][FAKE_GROUP_MAX + 1]; /* [from][to] */
	u32 drop_percent;
	u32 duplicate_percent;
	u32 delay_max_us;
	u32 bytes_per_s; /* of the outgoing link of each replica; 0: no limit, and no order */
	struct fake_lane lanes[FAKE_GROUP_MAX + 1][FAKE_GROUP_MAX + 1]; /* [from][to] */
	u64 link_free_us[FAKE_GROUP_MAX + 1]; /* when what was sent before has left */
	u32 state_pad_bytes; /* padding that enlarges snapshots */
	u32 chunk_bytes; /* for replicas started from now on; 0 for the default */
	u32 retained_entries_max; /* the same; used when chunk_bytes is not 0 */
	u32 copies_min; /* the same; 0 for the default */
	bool forgets_founders; /* a founder with an emptied disk does not know that it is one */
	bool has_store; /* commands are changes of the store; to be set before the first one */
	u32 starts; /* starts of replicas; makes the replica ids unique */

	GPtrArray *queue; /* of struct fake_message */
	GHashTable *leaders; /* term -> id */
	GHashTable *entries; /* "index term" -> hash of the entry and of the term before it */
	GArray *committed; /* of struct fake_commit, by index */
	GArray *reads; /* of struct fake_read */
	GArray *proposals; /* of struct fake_proposal */
	u64 acked; /* acknowledged proposals */
	u64 reads_done;
	u64 messages; /* queued for delivery so far, including duplicates */
	u64 bytes; /* of all messages sent, including dropped ones */
	char *violation;
};

struct fake_group *fake_group_new(u32 n, u64 seed);

/* fake_group_new_founded - the same with N replicas that are down, of which FOUNDERS form the
 * group. */
struct fake_group *fake_group_new_founded(u32 n, u32 founders, u64 seed);
void fake_group_free(struct fake_group *g);

/* fake_group_add - adds a replica with an empty disk, which is down; returns its id. */
u32 fake_group_add(struct fake_group *g);

void fake_group_start(struct fake_group *g, u32 id);
void fake_group_crash(struct fake_group *g, u32 id);
void fake_group_wipe_disk(struct fake_group *g, u32 id); /* the replica must be down */
void fake_group_isolate(struct fake_group *g, u32 id); /* cuts ID off in both directions */
void fake_group_heal(struct fake_group *g);

/* fake_group_freeze - stops the process of ID for SPAN_US; what arrives meanwhile is read after it.
 */
void fake_group_freeze(struct fake_group *g, u32 id, u64 span_us);

/* fake_group_run - run for SPAN_US of virtual time or until the first violation. */
void fake_group_run(struct fake_group *g, u64 span_us);

/* fake_group_leader - the running leader with the highest term, or 0. */
u32 fake_group_leader(const struct fake_group *g);

/*
 * fake_group_settle - run until there is a leader and every running member has applied the whole
 * log. Returns false if that takes more than SPAN_US.
 */
bool fake_group_settle(struct fake_group *g, u64 span_us);

bool fake_group_propose(struct fake_group *g, u32 id); /* false if ID is not the leader */
bool fake_group_propose_command(struct fake_group *g, u32 id, GBytes *command); /* the same */
bool fake_group_read(struct fake_group *g, u32 id); /* false if ID cannot start the read */

/*
 * fake_group_replace - one step of replacing member ID, requested at SINCE_US. Returns the status,
 * or 0 without a leader.
 */
u16 fake_group_replace(struct fake_group *g, u32 id, u64 since_us);
struct raft *fake_raft(struct fake_group *g, u32 id);

#endif
