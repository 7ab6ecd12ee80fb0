/*
 * raft - the replicated log, as a state machine without threads or sockets
 *
 * The owner feeds messages, proposals and ticks with the time; the machine
 * calls back through struct raft_ops. Pre-vote and check-quorum keep a
 * replica that is cut off from disturbing the group or from believing that it
 * leads. A vote or an acknowledgement counts only when it comes from the data
 * folder (replica id) that the membership names, so an emptied disk cannot
 * help to elect a leader.
 *
 * The leader gathers proposals and reads until the next tick, which is due at
 * once (raft_next_due_us returns 0), and writes them with one sync.
 *
 * UNITS microseconds, bytes
 * ERRORS raft_propose: ERR_NOTLEADER; a storage callback that fails ends the
 * process, because a failed fsync must not be retried
 * SOURCE control/raft.c (entry points), control/raft_elect.c,
 * control/raft_replicate.c (leader), control/raft_follow.c,
 * control/raft_form.c, control/raft_members.c, control/raft_log.c,
 * control/raft_msg.c
 */
#ifndef RAFT_H
#define RAFT_H

#include "lib/frame.h"
#include "lib/rng.h"
#include "lib/settings.h"
#include "lib/types.h"

#include <glib.h>

#define RAFT_MEMBERS_MAX 32
#define RAFT_HEARTBEAT_US (150 * US_PER_MS)
#define RAFT_ELECTION_TIMEOUT_MIN_US (600 * US_PER_MS)
#define RAFT_ELECTION_TIMEOUT_MAX_US (1200 * US_PER_MS)
/* After its start, and between two rounds of pre-votes: those write nothing and harm no leader. */
#define RAFT_PREVOTE_TIMEOUT_MIN_US (75 * US_PER_MS)
#define RAFT_PREVOTE_TIMEOUT_MAX_US (225 * US_PER_MS)
#define RAFT_BATCH_ENTRIES_MAX 64
#define RAFT_BATCH_BYTES_MAX (256 * 1024)
/* Entries sent to one member and not yet answered. */
#define RAFT_INFLIGHT_ENTRIES_MAX (4 * RAFT_BATCH_ENTRIES_MAX)
#define RAFT_CHUNK_BYTES (256 * 1024)
#define RAFT_SNAPSHOT_MAX_BYTES (512 * 1024 * 1024)
/* Entries before the snapshot that stay in memory for members that are a little behind. */
#define RAFT_RETAINED_ENTRIES_MAX 1024
/* And no more bytes of them: a member that is further behind gets the snapshot. */
#define RAFT_RETAINED_BYTES_MAX (8 * 1024 * 1024)
/* A part of a snapshot without an answer is sent again after this time. */
#define RAFT_CHUNK_RESEND_US (4 * RAFT_HEARTBEAT_US)
/* A leader transfer that takes longer is given up. */
#define RAFT_TRANSFER_TIMEOUT_US RAFT_ELECTION_TIMEOUT_MIN_US

enum raft_entry_kind { RAFT_NOOP = 1, RAFT_COMMAND, RAFT_MEMBERS };

struct raft_entry {
	u64 index;
	u64 term;
	enum raft_entry_kind kind;
	GBytes *data;
};

struct raft_member {
	u32 id;
	u64 replica; /* id of the data folder that votes for this member */
	bool is_voter;
	struct endpoint at;
};

struct raft_members {
	u32 n;
	struct raft_member m[RAFT_MEMBERS_MAX];
};

enum raft_msg_type {
	RAFT_PREVOTE = 1,
	RAFT_PREVOTE_REPLY,
	RAFT_VOTE,
	RAFT_VOTE_REPLY,
	RAFT_APPEND_ENTRIES,
	RAFT_APPEND_ENTRIES_REPLY,
	RAFT_INSTALL_SNAPSHOT, /* a part of the snapshot */
	RAFT_INSTALL_SNAPSHOT_REPLY,
	RAFT_FORM, /* a founding replica tells its replica id and those it has heard */
	RAFT_FORMED, /* the founding members, complete */
	RAFT_TIMEOUT_NOW, /* leader transfer */
};

/* One message; fields that a type does not use are 0. */
struct raft_msg {
	enum raft_msg_type type;
	u32 from;
	u64 replica; /* of the sender */
	u64 term;
	u64 index; /* last log index, or previous index of an append */
	u64 log_term; /* term at index */
	u64 commit;
	u64 round; /* time of the heartbeat round on the leader's clock, returned in the reply */
	bool is_ok;
	bool is_transfer;
	GPtrArray *entries; /* of struct raft_entry, or NULL */
	struct raft_members members; /* RAFT_INSTALL_SNAPSHOT, RAFT_FORM, RAFT_FORMED */
	u64 to_replica; /* RAFT_INSTALL_SNAPSHOT: the data folder that the membership names */
	u64 offset; /* RAFT_INSTALL_SNAPSHOT: of this part; in the reply: bytes received so far */
	u64 total; /* RAFT_INSTALL_SNAPSHOT: bytes of the whole snapshot */
	GBytes *snapshot; /* RAFT_INSTALL_SNAPSHOT: this part */
};

enum raft_role { RAFT_FORMING, RAFT_FOLLOWER, RAFT_PRECANDIDATE, RAFT_CANDIDATE, RAFT_LEADER };

struct raft;

/* What the machine asks of its owner. Storage calls return only when the data is synced. */
struct raft_ops {
	void (*send)(struct raft *r, u32 to, const struct raft_msg *m);
	void (*save_state)(struct raft *r, u64 term, u32 vote);
	void (*append)(struct raft *r,
		       GPtrArray *entries); /* also truncates from the first index */
	void (*save_snapshot)(struct raft *r, u64 index, u64 term,
			      const struct raft_members *members, GBytes *state);
	void (*apply)(struct raft *r, const struct raft_entry *e);
	void (*restore)(struct raft *r, u64 index, GBytes *state);
	GBytes *(*snapshot)(struct raft *r); /* the state after the last applied entry */
	void (*read_ready)(struct raft *r, u64 read_id, bool is_ok);
};

/* What the leader knows of one member. */
struct raft_progress {
	u64 next;
	u64 match;
	u64 heard_us; /* last answer of the replica that the membership names */
	u64 round; /* highest heartbeat round answered */
	u64 last_reply_round; /* the same for the last answer, named by the membership or not */
	u64 last_reply_replica; /* replica id in the last answer, named by the membership or not */
	u64 seen_us;
	bool is_probing; /* where the logs match is not known; one message at a time */
	u64 snapshot_index; /* of the snapshot being sent, or 0 */
	u64 snapshot_offset; /* of the part sent last */
	u64 chunk_sent_us; /* 0 when no part waits for an answer */
};

/* A snapshot that arrives in parts. */
struct raft_partial_snapshot {
	u64 term; /* of the leader that sends it */
	u64 index;
	u64 total;
	GByteArray *bytes;
};

struct raft {
	const struct raft_ops *ops;
	void *arg;
	u32 id;
	u64 replica;
	struct rng rng;

	enum raft_role role;
	u64 term;
	u32 vote;
	u32 leader; /* 0 when none is known */
	u64 commit;
	u64 applied;
	struct raft_members members; /* the latest in the log, committed or not */
	u64 members_index;
	struct raft_members committed_members;

	GPtrArray *log; /* entries after base_index, which is at or before the snapshot */
	u64 base_index;
	u64 base_term;
	u64 synced_index; /* own entries up to here are on disk */
	u64 snap_index;
	u64 snap_term;
	GBytes *snap_state;
	struct raft_members snap_members;

	u64 election_due_us;
	u64 heartbeat_due_us;
	u64 leader_heard_us;
	u64 leader_commit; /* highest commit index the leader told */
	u32 votes[RAFT_MEMBERS_MAX];
	u32 nvotes;
	struct raft_progress progress[RAFT_MEMBERS_MAX]; /* by position in members */
	u64 round; /* the time when the last heartbeat round was sent, made unique */
	GArray *reads; /* of struct raft_read_index */
	bool is_flush_due; /* proposals or reads wait for the next tick */
	bool is_round_due; /* reads wait for a heartbeat round */
	u32 transfer_to;
	u64 transfer_due_us;
	struct raft_partial_snapshot incoming;

	struct raft_members founding; /* from the settings; replica ids fill in while forming */
	bool founder_knows_replica[RAFT_MEMBERS_MAX]; /* by position in founding */

	u32 chunk_bytes;
	u32 retained_entries_max;
	u32 copies_min; /* voters that must hold an entry, beside the quorum; 0 or 1 for no more */
	bool ignore_replica_ids; /* for tests only: shows what the replica ids prevent */
};

struct raft_read_index {
	u64 id;
	u64 round;
};

void raft_init(struct raft *r, const struct raft_ops *ops, void *arg, u32 id, u64 replica, u64 seed,
	       u64 now_us);
void raft_clear(struct raft *r);

/* raft_load_* - hand over what the disk holds, before the first tick. */
void raft_load_state(struct raft *r, u64 term, u32 vote);
void raft_load_snapshot(struct raft *r, u64 index, u64 term, const struct raft_members *members,
			GBytes *state);
void raft_load_entry(struct raft *r, const struct raft_entry *e);

/* raft_form_group - an empty folder: form a new group with MEMBERS once all of them are heard. */
void raft_form_group(struct raft *r, const struct raft_members *members);

void raft_step(struct raft *r, const struct raft_msg *m, u64 now_us);
void raft_tick(struct raft *r, u64 now_us);

/* raft_next_due_us - when raft_tick has something to do; 0 means at once. */
u64 raft_next_due_us(const struct raft *r);

/* raft_propose - append DATA to the log; *INDEX is where. Leader only; written by the next tick. */
int raft_propose(struct raft *r, enum raft_entry_kind kind, GBytes *data, u64 now_us, u64 *index);

/*
 * raft_propose_members - change the membership by at most one voter. ERR_BUSY
 * while another change is open, ERR_INVAL when more than one voter differs.
 */
int raft_propose_members(struct raft *r, const struct raft_members *next, u64 now_us, u64 *index);

/* raft_read_index - call read_ready(READ_ID) once leadership is confirmed by a quorum. */
int raft_read_index(struct raft *r, u64 read_id, u64 now_us);

/* raft_transfer_leadership - hand leadership to member TO when it holds the log, within
 * RAFT_TRANSFER_TIMEOUT_US. */
int raft_transfer_leadership(struct raft *r, u32 to, u64 now_us);

/* raft_log_bytes - of the entries after index AFTER that are still there. */
u64 raft_log_bytes(const struct raft *r, u64 after);

/* raft_compact - snapshot the applied state and drop the entries before it. */
void raft_compact(struct raft *r);

/* raft_is_fresh - true while the leader (or, on the leader, a quorum) was heard within LEASE_US. */
bool raft_is_fresh(const struct raft *r, u64 lease_us, u64 now_us);

u64 raft_last_index(const struct raft *r);
u64 raft_term_at(const struct raft *r, u64 index); /* 0 when not in the log */
const struct raft_entry *raft_entry_at(const struct raft *r, u64 index);

u64 raft_entry_bytes(const struct raft_entry *e);
struct raft_entry *raft_entry_new(u64 index, u64 term, enum raft_entry_kind kind, GBytes *data);
void raft_entry_free(struct raft_entry *e);

/* raft_members_pack - members as bytes; raft_members_unpack - 0 or ERR_INVAL. */
GBytes *raft_members_pack(const struct raft_members *m);
int raft_members_unpack(struct raft_members *m, GBytes *data);
void raft_members_put(struct frame_out *f, const struct raft_members *m);
void raft_members_get(struct frame_in *in, struct raft_members *m);
struct raft_member *raft_member_find(struct raft_members *m, u32 id);

/* raft_msg_put, raft_msg_get - a message as frame fields; get returns 0 or ERR_INVAL. */
void raft_msg_put(struct frame_out *f, const struct raft_msg *m);
int raft_msg_get(struct frame_in *in, struct raft_msg *m);
void raft_msg_clear(struct raft_msg *m);

#endif
