/*
 * entry_case - an entry node, a home node that the test plays, and callers in threads
 *
 * entry_case_stop leaves the entry node running, since its HTTP servers take seconds to stop.
 */
#ifndef ENTRY_CASE_H
#define ENTRY_CASE_H

#include "test/fakes/fake_node.h"
#include "test/fakes/fake_peer.h"
#include "test/fakes/httpc.h"

struct entry_case {
	struct fake_node node;
	struct fake_peer home;
};

struct entry_caller {
	struct fake_node *node;
	GThread *thread;
	const char *method;
	u32 timeout_ms;
	char *body;
	int err;
	struct httpc_reply reply;
};

void entry_case_start(struct entry_case *t);
void entry_case_stop(struct entry_case *t);

/* entry_caller_start - sends a call; TIMEOUT_MS 0 for longer than any test waits. */
void entry_caller_start(struct entry_case *t, struct entry_caller *c, const char *method,
			const char *body, u32 timeout_ms);

/* entry_caller_finish - waits for the answer, which must be the one given; BODY NULL for any. */
void entry_caller_finish(struct entry_caller *c, int status, const char *outcome, const char *body);

/* entry_expect_call - the id of the next call that the home node receives. */
struct call_id entry_expect_call(struct entry_case *t, const char *body);

/* entry_expect_id - the home node's next frame is of TYPE and about call ID. */
void entry_expect_id(struct entry_case *t, u32 type, struct call_id id);
void entry_expect_event(struct entry_case *t, u32 type);

/* entry_wait_counter - waits until counter C has the value LEAST, and no more. */
void entry_wait_counter(enum ctr c, u64 least);

#endif
