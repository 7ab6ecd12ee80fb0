/*
 * home_impl - private declarations shared by the source files of home
 *
 * SOURCE node/home.c (calls), node/home_notice.c (what the upstream says of itself)
 */
#ifndef HOME_IMPL_H
#define HOME_IMPL_H

#include "node/node.h"
#include "node/notice.h"
#include "node/upstream.h"

struct home {
	struct admit admit;
	struct call_table table;
	GHashTable *jobs; /* call id -> struct job, queued or running */
	struct upstream *upstream;
	struct notice notice; /* what the upstream says of itself */
	u64 upstream_since_us; /* when the upstream of this start was announced */
	bool was_asked; /* the upstream was asked for its notice since its or this node's start */
	u64 calls_under_limit; /* sent since it named its rate limit */
	struct slowness_monitor *slowness_monitor;
	u64 revision; /* configuration revision of the ranks in admit */
	char *ranks_service; /* the service whose ranks are in admit */
	u32 late_rank; /* for calls that can no longer meet their targets */
	struct loop_timer queue_timer; /* when the next queued request expires or may start */
};

/*
 * home_is_asking_first - asks an upstream that is new to this node for its notice. Returns whether
 * its calls wait for the answer: other nodes may know of a rate limit or a drain already.
 */
bool home_is_asking_first(struct node *n);

/* home_run_queue - refuses expired calls and starts those that may start. */
void home_run_queue(struct node *n);

/* home_refuse_queued - refuses all queued calls for REASON; they have not run. */
void home_refuse_queued(struct node *n, enum ctr reason);

#endif
