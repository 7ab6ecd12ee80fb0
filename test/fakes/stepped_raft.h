/*
 * stepped_raft - one raft replica that is stepped message by message
 *
 * Records what the replica sends, writes and applies. Its clock stands still at STEPPED_NOW_US
 * unless a test names another time.
 */
#ifndef STEPPED_RAFT_H
#define STEPPED_RAFT_H

#include "control/raft_impl.h"

#define STEPPED_SENT_MAX 64
#define STEPPED_NOW_US (100 * US_PER_S)

struct stepped_message {
	u32 to;
	struct raft_msg m; /* entries and snapshot are not valid */
	guint entries;
};

struct stepped_raft {
	struct raft r;
	struct stepped_message sent[STEPPED_SENT_MAX];
	u32 sent_count;
	u64 saved_term;
	u32 saved_vote;
	u64 written_index; /* last index written to disk */
	u64 applied;
	u64 reads_ok;
	u64 reads_failed;
	u64 commit_at_write; /* commit index at the last write */
};

extern const struct raft_ops stepped_ops; /* of a struct raft whose arg is a struct stepped_raft */

/* stepped_members - voters 1 to N; member I has replica id 10 * I. */
struct raft_members stepped_members(u32 n);

/* stepped_new - replica 1 of N with entries 2 to LAST of TERM in its log. */
struct stepped_raft *stepped_new(u32 n, u64 term, u64 last);
void stepped_free(struct stepped_raft *o);

const struct stepped_message *stepped_last_sent(const struct stepped_raft *o);

/* stepped_receive - passes message M to the replica at NOW_US. */
void stepped_receive(struct stepped_raft *o, struct raft_msg m, u64 now_us);

/* stepped_reply - passes FROM's reply to the newest AppendEntries, with INDEX, to the replica. */
void stepped_reply(struct stepped_raft *o, u32 from, u64 index, bool is_ok);

/* stepped_request_vote - passes FROM's vote request to the replica. */
void stepped_request_vote(struct stepped_raft *o, u32 from, u64 term, u64 index, u64 log_term);

/*
 * stepped_elect - makes the replica leader by the others' votes; its no-op entry is not written to
 * disk yet.
 */
void stepped_elect(struct stepped_raft *o);

#endif
