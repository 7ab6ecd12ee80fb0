/*
 * raft - Raft consensus as a state machine without threads or sockets
 *
 * The owner passes in messages, proposals and ticks together with the current
 * time; the state machine calls back through struct raft_ops. Pre-vote keeps
 * an isolated replica from disrupting the group, and check-quorum makes an
 * isolated leader step down. A vote or an acknowledgement counts only when it
 * comes from the data folder (replica id) that the membership records for
 * the sender, so a replica that lost its disk cannot help to elect a leader.
 *
 * The leader batches proposals and reads until the next tick, which is due
 * immediately (raft_next_due_us returns 0), and writes them with one sync.
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
/*
 * Timeout after a start and between rounds of pre-votes. It can be short, since a pre-vote writes
 * nothing and does not disrupt a leader.
 */
#define RAFT_PREVOTE_TIMEOUT_MIN_US (75 * US_PER_MS)
#define RAFT_PREVOTE_TIMEOUT_MAX_US (225 * US_PER_MS)
#define RAFT_BATCH_ENTRIES_MAX 64
#define RAFT_BATCH_BYTES_MAX (256 * 1024)
/* Bounds the entries sent to one member and not yet acknowledged. */
#define RAFT_INFLIGHT_ENTRIES_MAX (4 * RAFT_BATCH_ENTRIES_MAX)
/* Beyond this many bytes of such entries no further one is sent. */
#define RAFT_INFLIGHT_BYTES_MAX (512 * 1024)
#define RAFT_CHUNK_BYTES (256 * 1024)
#define RAFT_SNAPSHOT_MAX_BYTES (512 * 1024 * 1024)
/* Entries before the snapshot kept in memory, so that a slow member can catch up without it. */
#define RAFT_RETAINED_ENTRIES_MAX 1024
/* Bounds the bytes of these entries; a member that is further behind is sent the snapshot. */
#define RAFT_RETAINED_BYTES_MAX (8 * 1024 * 1024)
/* A snapshot chunk that is not acknowledged within this time is sent again. */
#define RAFT_CHUNK_RESEND_US (4 * RAFT_HEARTBEAT_US)
/* A leadership transfer that takes longer is abandoned. */
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
	u64 replica; /* id of the data folder whose votes count for this member */
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
	RAFT_INSTALL_SNAPSHOT, /* one chunk of the snapshot */
	RAFT_INSTALL_SNAPSHOT_REPLY,
	RAFT_FORM, /* a founder sends its replica id and those it has received */
	RAFT_FORMED, /* the complete list of founding members */
	RAFT_TIMEOUT_NOW, /* leadership transfer: start an election now */
};

/* Fields that a message type does not use are 0. */
struct raft_msg {
	enum raft_msg_type type;
	u32 from;
	u64 replica; /* replica id of the sender */
	u64 term;
	u64 index; /* last log index; in AppendEntries the previous index */
	u64 log_term; /* term at index */
	u64 commit;
	u64 round; /* leader's time of the heartbeat round, echoed in the reply */
	bool is_ok;
	bool is_transfer;
	bool is_overtaking; /* AppendEntries without entries that may overtake them; echoed */
	GPtrArray *entries; /* of struct raft_entry, or NULL */
	struct raft_members members; /* RAFT_INSTALL_SNAPSHOT, RAFT_FORM, RAFT_FORMED */
	u64 to_replica; /* RAFT_INSTALL_SNAPSHOT: replica id that the membership records */
	u64 offset; /* RAFT_INSTALL_SNAPSHOT: offset of the chunk; in the reply: bytes received */
	u64 total; /* RAFT_INSTALL_SNAPSHOT: size of the whole snapshot in bytes */
	GBytes *snapshot; /* RAFT_INSTALL_SNAPSHOT: the chunk */

	/* Not encoded: */
	bool is_ordered; /* may not overtake earlier ordered messages to the same member */
	u64 unacknowledged; /* bytes of the entries sent before this message */
};

enum raft_role { RAFT_FORMING, RAFT_FOLLOWER, RAFT_PRECANDIDATE, RAFT_CANDIDATE, RAFT_LEADER };

struct raft;

/* Callbacks that the owner implements. Storage callbacks return once the data is synced to disk. */
struct raft_ops {
	void (*send)(struct raft *r, u32 to, const struct raft_msg *m);
	/*
	 * is_sending - returns whether ordered messages to TO may still be on their way, so that
	 * others overtake them. False once they are handled or lost. NULL: never.
	 */
	bool (*is_sending)(struct raft *r, u32 to);
	void (*save_state)(struct raft *r, u64 term, u32 vote);
	/* append - replaces the log from the index of the first entry on */
	void (*append)(struct raft *r, GPtrArray *entries);
	void (*save_snapshot)(struct raft *r, u64 index, u64 term,
			      const struct raft_members *members, GBytes *state);
	void (*apply)(struct raft *r, const struct raft_entry *e);
	void (*restore)(struct raft *r, u64 index, GBytes *state);
	GBytes *(*snapshot)(struct raft *r); /* returns the state after the last applied entry */
	void (*read_ready)(struct raft *r, u64 read_id, bool is_ok);
	/*
	 * to_local_us - converts a time of the clock of member FROM; 0 if it is not known. NULL if
	 * all members have one clock.
	 */
	u64 (*to_local_us)(struct raft *r, u32 from, u64 remote_us);
};

/* The leader's replication state for one member. */
struct raft_progress {
	u64 next;
	u64 match;
	u64 heard_us; /* last reply from the replica that the membership records */
	u64 added_us; /* when this process, as the leader, proposed that replica; else 0 */
	u64 round; /* highest heartbeat round acknowledged */
	u64 last_reply_round; /* round in the last reply, from any replica id */
	u64 last_reply_replica; /* replica id in the last reply, in the membership or not */
	u64 last_reply_us;
	u64 leaving_until_us; /* its process is about to end, see voters.h; 0 if not */
	bool is_probing; /* match index unknown: one message in flight at a time */
	u64 snapshot_index; /* index of the snapshot being sent, or 0 */
	u64 snapshot_offset; /* offset of the last chunk sent */
	u64 chunk_sent_us; /* when it was last on its way; 0 when no chunk awaits a reply */
};

/* A snapshot that is being received in chunks. */
struct raft_partial_snapshot {
	u64 term; /* term of the leader that sends it */
	u64 index;
	u64 total;
	GByteArray *bytes;
};

/* What a leader said to be committed. */
struct raft_word {
	u64 sent_us; /* when its heartbeat round began, by the clock of this process */
	u64 commit; /* highest index so far */
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

	GPtrArray *log; /* entries after base_index, which is at most snap_index */
	u64 base_index;
	u64 base_term;
	u64 synced_index; /* entries up to this index are synced to the local disk */
	u64 snap_index;
	u64 snap_term;
	GBytes *snap_state;
	struct raft_members snap_members;

	u64 election_due_us;
	u64 heartbeat_due_us;
	u64 leader_heard_us; /* when the last message of the leader arrived */
	struct raft_word word; /* the newest one of the leader */
	struct raft_word pending; /* an earlier one that is not applied; sent_us 0 if none */
	u64 caught_up_us; /* when the newest word was sent of which all is applied; 0 if none */
	u32 votes[RAFT_MEMBERS_MAX];
	u32 nvotes;
	struct raft_progress progress[RAFT_MEMBERS_MAX]; /* by position in members */
	u64 round; /* send time of the last heartbeat round, strictly increasing */
	GArray *reads; /* of struct raft_pending_read */
	bool is_flush_due; /* proposals or reads are pending for the next tick */
	bool is_round_due; /* pending reads need a new heartbeat round */
	u32 transfer_to;
	u64 transfer_due_us;
	struct raft_partial_snapshot incoming;

	struct raft_members founding; /* from the settings; replica ids are added while forming */
	bool founder_knows_replica[RAFT_MEMBERS_MAX]; /* by position in founding */
	struct raft_members invitation; /* founders that name this process, which knows of none */
	bool has_invited[RAFT_MEMBERS_MAX]; /* by position in invitation */

	u32 chunk_bytes;
	u32 retained_entries_max;
	/*
	 * Minimum voters that hold a committed entry, if above the quorum, from the first command
	 * on.
	 */
	u32 copies_min;
	bool stands_for_none; /* the process stops: it votes, but does not become a candidate */
	bool ignore_replica_ids; /* tests only: shows the fault that replica ids prevent */
};

struct raft_pending_read {
	u64 id;
	u64 round;
};

void raft_init(struct raft *r, const struct raft_ops *ops, void *arg, u32 id, u64 replica, u64 seed,
	       u64 now_us);
void raft_clear(struct raft *r);

/* raft_load_* - restore the state read from disk; called before the first tick. */
void raft_load_state(struct raft *r, u64 term, u32 vote);
void raft_load_snapshot(struct raft *r, u64 index, u64 term, const struct raft_members *members,
			GBytes *state);
void raft_load_entry(struct raft *r, const struct raft_entry *e);

/*
 * raft_form_group - start forming a new group on an empty data folder. The group is formed once
 * all MEMBERS have exchanged their replica ids.
 */
void raft_form_group(struct raft *r, const struct raft_members *members);

void raft_step(struct raft *r, const struct raft_msg *m, u64 now_us);
void raft_tick(struct raft *r, u64 now_us);

/* raft_next_due_us - time of the next raft_tick that is needed; 0 means immediately. */
u64 raft_next_due_us(const struct raft *r);

/* raft_propose - append DATA to the leader's log at *INDEX; the next tick writes it to disk. */
int raft_propose(struct raft *r, enum raft_entry_kind kind, GBytes *data, u64 now_us, u64 *index);

/*
 * raft_propose_members - single-server membership change. Returns ERR_BUSY
 * while another change is uncommitted or before the leader has committed an
 * entry of its term, ERR_INVAL when more than one voter differs.
 */
int raft_propose_members(struct raft *r, const struct raft_members *next, u64 now_us, u64 *index);

/* raft_read_index - call read_ready(READ_ID) once a quorum has confirmed the leadership. */
int raft_read_index(struct raft *r, u64 read_id, u64 now_us);

/*
 * raft_transfer_leadership - transfer leadership to TO once its log is complete. Abandoned after
 * RAFT_TRANSFER_TIMEOUT_US.
 */
int raft_transfer_leadership(struct raft *r, u32 to, u64 now_us);

/*
 * raft_hand_over - transfer leadership to the voter that answers and has the longest log. Returns
 * ERR_NOTLEADER, or ERR_NOTFOUND if there is no such voter.
 */
int raft_hand_over(struct raft *r, u64 now_us);

/* raft_is_handing_over - whether a transfer is under way, or has ended without a known leader */
bool raft_is_handing_over(const struct raft *r);

/* raft_log_bytes - bytes of the entries in memory after index AFTER. */
u64 raft_log_bytes(const struct raft *r, u64 after);

/* raft_compact - snapshot the applied state and discard old entries. */
void raft_compact(struct raft *r);

/*
 * raft_is_fresh - whether the applied state may be served: an entry of the current term is
 * committed and, of rounds sent within LEASE_US, a leader got replies from a quorum, or a follower
 * has applied what the leader said to be committed. The time that a message spent on its way
 * counts. So the state is at most LEASE_US older than the leader's, also at a follower that is
 * always a few entries behind.
 */
bool raft_is_fresh(const struct raft *r, u64 lease_us, u64 now_us);

u64 raft_last_index(const struct raft *r);
u64 raft_term_at(const struct raft *r, u64 index); /* 0 when the entry is not in the log */
const struct raft_entry *raft_entry_at(const struct raft *r, u64 index);

u64 raft_entry_bytes(const struct raft_entry *e);
struct raft_entry *raft_entry_new(u64 index, u64 term, enum raft_entry_kind kind, GBytes *data);
void raft_entry_free(struct raft_entry *e);

/* raft_members_pack, _unpack - encode and decode a membership; unpack returns 0 or ERR_INVAL. */
GBytes *raft_members_pack(const struct raft_members *m);
int raft_members_unpack(struct raft_members *m, GBytes *data);
void raft_members_put(struct frame_out *f, const struct raft_members *m);
void raft_members_get(struct frame_in *in, struct raft_members *m);
struct raft_member *raft_member_find(struct raft_members *m, u32 id);

/* raft_msg_put, raft_msg_get - encode and decode a message; get returns 0 or ERR_INVAL. */
void raft_msg_put(struct frame_out *f, const struct raft_msg *m);
int raft_msg_get(struct frame_in *in, struct raft_msg *m);
void raft_msg_clear(struct raft_msg *m);

#endif
