/*
 * op - operations requested through the API
 *
 * An operation may be submitted to any control process, which forwards it to the
 * leader. Its outcome is DONE after commit, NOT_RUN if it will never be executed, and
 * UNKNOWN if neither is certain at the deadline.
 *
 * SOURCE control/op.c
 */
#ifndef OP_H
#define OP_H

#include "control/control.h"

#define OP_TIMEOUT_US (5 * US_PER_S)
/* An operation that could not be started fails after this time without a leader. */
#define OP_NO_LEADER_US (3 * US_PER_S)

enum op_kind { OP_CHANGE = 1, OP_READ, OP_REPLACE, OP_REMOVE };
enum op_outcome { OP_PENDING, OP_DONE, OP_NOT_RUN, OP_UNKNOWN };

struct op {
	u64 seq;
	enum op_kind kind;
	GBytes *command; /* OP_CHANGE */
	u32 member; /* OP_REPLACE, OP_REMOVE */
	u64 seen_members_index; /* of these: of the last membership entry that the client's process
				   had */
	u64 start_us;

	bool is_started; /* proposed here or forwarded */
	bool may_have_run;
	u32 attempts; /* proposals and forwards so far */
	u64 index; /* log index of the proposal; 0 if forwarded */
	u64 term;
	struct link *forwarded_to;
	u64 read_index; /* OP_READ: done when this index is applied; 0 while unknown */
	/* By the leader, with a result that is passed on once this process has applied it too. */
	bool is_answered;

	enum op_outcome outcome;
	struct store_result result;
	char *text; /* explains the result of OP_REPLACE and OP_REMOVE; from g_strdup */

	void (*done)(struct control *c, struct op *o); /* frees the op */
	void *arg;
	struct link *origin; /* link that it was forwarded from, or NULL */
	u64 origin_request;
};

struct op *op_new(enum op_kind kind);
void op_free(struct op *o);
void op_submit(struct control *c, struct op *o);

/* op_poll - start operations that wait for a leader, and end those past their deadline */
/*
 * op_end_all - ends all operations with what is known of their outcome. Those of other processes
 * hear of it too.
 */
void op_end_all(struct control *c);

void op_poll(struct control *c, u64 now_us);

/*
 * op_applied - finish the change proposed at E's index; it has not run if E is another entry
 * op_read_ready - finish the read SEQ, or let it start again if it failed
 * op_restored - finish changes that a restored snapshot covers, with an unknown outcome
 * op_link_down - let unanswered operations that were forwarded through K start again
 */
void op_applied(struct control *c, const struct raft_entry *e, const struct store_result *result);
void op_read_ready(struct control *c, u64 seq, bool is_ok);
void op_restored(struct control *c);
void op_link_down(struct control *c, const struct link *k);

int op_receive_forward(struct control *c, struct link *k, struct frame_in *in);
int op_receive_result(struct control *c, struct frame_in *in);

/*
 * members_replace, members_remove - perform the next step of a membership change
 *
 * They are called again until the change is done. They return the HTTP status, 200 when
 * done, 202 in progress, 4xx or 5xx if refused, and an explanation in *TEXT.
 * members_replace considers only replies to heartbeats sent at SINCE_US or later. While
 * there is none, it returns MEMBERS_AWAIT_HEARTBEAT without a text and has to be called
 * again with the same SINCE_US.
 */
#define MEMBERS_AWAIT_HEARTBEAT 0
u16 members_replace(struct control *c, u32 id, u64 since_us, u64 now_us, char **text);
u16 members_remove(struct control *c, u32 id, u64 now_us, char **text);

#endif
