/*
 * fake_group - raft replicas on fake disks, joined by a fake network
 *
 * One virtual clock, one seed: the same seed gives the same run. Messages are
 * coded and decoded as on a link; they are delayed, dropped, doubled and
 * reordered at random, and a cut from one replica to another drops all. Each
 * step is checked against what raft promises; the first breach is kept in
 * broken. The replicated state is a chain of hashes over the commands.
 */
#ifndef FAKE_GROUP_H
#define FAKE_GROUP_H

#include "control/control.h"
#include "test/fakes/fake_disk.h"

#define FAKE_GROUP_MAX 7

struct fake_group;

struct fake_replica {
	struct control control; /* only raft and wal are used */
	struct fake_group *group;
	struct fake_disk *disk;
	u32 id;
	bool is_up;
	bool is_ending; /* a write failed: the process ends after this step */
	bool was_leader;
	u64 count;
	u64 hash;
};

struct fake_group {
	u64 seed;
	struct rng rng;
	u64 now_us;
	u32 n;
	struct fake_replica r[FAKE_GROUP_MAX + 1]; /* by id */
	bool cut[FAKE_GROUP_MAX + 1][FAKE_GROUP_MAX + 1]; /* from, to */
	u32 drop_percent;
	u32 duplicate_percent;
	u32 delay_max_us;
	u32 state_pad_bytes; /* makes snapshots larger */
	u32 chunk_bytes; /* for replicas that start from now on; 0: as is */
	u32 retained_entries_max;
	u32 formats;

	GPtrArray *queue; /* of struct fake_message */
	GHashTable *leaders; /* term -> id */
	GHashTable *entries; /* "index term" -> hash of the entry and of the term before it */
	GArray *committed; /* of struct fake_commit, by index */
	GArray *reads; /* of struct fake_read */
	GArray *proposals; /* of struct fake_proposal */
	u64 acked; /* proposals acknowledged */
	u64 reads_done;
	u64 messages;
	u64 bytes;
	char *broken;
};

struct fake_group *fake_group_new(u32 n, u64 seed);
void fake_group_free(struct fake_group *g);

void fake_group_start(struct fake_group *g, u32 id);
void fake_group_crash(struct fake_group *g, u32 id);
void fake_group_wipe_disk(struct fake_group *g, u32 id); /* of a replica that is down */
void fake_group_isolate(struct fake_group *g, u32 id); /* cuts it both ways */
void fake_group_heal(struct fake_group *g);

/* fake_group_run - go on for SPAN_US of virtual time, or until the first breach. */
void fake_group_run(struct fake_group *g, u64 span_us);

/* fake_group_leader - the leader of the highest term among those that are up, or 0. */
u32 fake_group_leader(const struct fake_group *g);

/* fake_group_settle - run until a leader is there and all that are up applied all; false after
 * SPAN_US. */
bool fake_group_settle(struct fake_group *g, u64 span_us);

bool fake_group_propose(struct fake_group *g, u32 id); /* true when ID leads */
bool fake_group_read(struct fake_group *g, u32 id);

/* fake_group_replace - one step of the replace that was asked for at SINCE_US; 0 without a leader.
 */
u16 fake_group_replace(struct fake_group *g, u32 id, u64 since_us);
struct raft *fake_raft(struct fake_group *g, u32 id);

#endif
