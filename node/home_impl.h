/*
 * home_impl - private declarations shared by the source files of home
 *
 * SOURCE node/home.c (calls), node/home_ranks.c (ranks), node/home_notice.c (what the upstream
 * says of itself)
 */
#ifndef HOME_IMPL_H
#define HOME_IMPL_H

#include "node/node.h"
#include "node/notice.h"
#include "node/upstream.h"

/* How this node knows what an upstream says of itself; other nodes may know it already. */
enum notice_source {
	NOTICE_NONE, /* the upstream, or this node, has just started */
	NOTICE_REQUESTED, /* its health path is being polled: calls wait */
	NOTICE_MISSING, /* the poll failed: calls start one at a time */
	NOTICE_NOT_NEEDED, /* it has no health path, so the first calls have to show it */
	NOTICE_READ, /* an answer has been read */
};

struct home {
	struct admit admit;
	struct call_table table;
	GHashTable *jobs; /* call id -> struct job, queued or running */
	struct upstream *upstream;
	struct notice notice; /* what the upstream says of itself */
	u64 upstream_since_us; /* when the upstream of this start was announced */
	enum notice_source notice_source;
	u64 calls_under_limit; /* sent since it named its rate limit */
	struct slowness_monitor *slowness_monitor;
	u64 revision; /* configuration revision of the ranks in admit */
	char *ranks_service; /* the service whose ranks are in admit */
	u32 late_rank; /* for calls that can no longer meet their targets */
	struct loop_timer queue_timer; /* when the next queued request expires or may start */
};

/*
 * home_may_start - returns whether a queued call may start, as far as the notice is concerned.
 * Requests the notice of an upstream that is new to this node.
 */
bool home_may_start(struct node *n);

/*
 * home_find_rank - returns the index of the call's rank in the configuration in force, or -1 if
 * there is none. Sets whether the call is idempotent.
 */
int home_find_rank(const struct peer_call *call, const char *method, bool *is_idempotent);

/* home_run_queue - refuses expired calls and starts those that may start. */
void home_run_queue(struct node *n);

#endif
