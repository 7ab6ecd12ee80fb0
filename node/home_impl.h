/*
 * home_impl - private declarations shared by the source files of home
 *
 * SOURCE node/home.c (calls), node/home_end.c (how they end), node/home_cancel.c (cancels and
 * fences), node/home_ranks.c (ranks), node/home_notice.c (what the upstream says of itself),
 * node/home_cold.c (cold upstreams), node/home_room.c (what links to entry nodes hold)
 */
#ifndef HOME_IMPL_H
#define HOME_IMPL_H

#include "node/cold.h"
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
	u64 call_bytes; /* of the bodies of calls that are queued, run or arrive from other nodes */
	struct upstream *upstream;
	struct notice notice; /* what the upstream says of itself */
	u64 upstream_since_us; /* when the upstream of this start was announced */
	enum notice_source notice_source;
	u64 calls_under_limit; /* sent since it named its rate limit */
	struct cold cold;
	bool is_cold; /* the rate of a cold upstream is in force */
	u64 cold_revision; /* of the configuration from which the next two are; 0: none */
	u64 cold_milli_per_s; /* at which calls may start at a cold upstream; 0: no limit */
	u64 cold_burst_us;
	u64 cold_period_us;
	bool is_new; /* no announcement of this upstream has been taken yet */
	/* When the first one came, if none has said how long it is cold; else 0. */
	u64 cold_unstated_us;
	struct loop_timer cold_timer; /* set for the end of that */
	struct slowness_monitor *slowness_monitor;
	u64 revision; /* configuration revision of the ranks in admit */
	char *ranks_service; /* the service whose ranks are in admit */
	u32 late_rank; /* for calls that can no longer meet their targets */
	struct loop_timer queue_timer; /* when the next queued request expires or may start */
};

/* A call that is queued or runs. */
struct job {
	struct admit_req req; /* must be first: admission's requests are cast to jobs */
	struct node *node;
	struct call_id id;
	struct link *origin; /* NULL for a call of a local caller, or after the link broke */
	bool is_local;
	bool is_idempotent;
	struct http_msg *msg;
	u64 call_bytes; /* of its body, as counted in home */
	struct upstream_call upstream;
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

/* home_apply_rate - brings the lower of the named limit and the rate of a cold upstream in force.
 */
void home_apply_rate(struct node *n);

/* home_may_be_cold - returns whether the upstream may be cold without this node knowing. */
bool home_may_be_cold(struct node *n);
void home_cold_init(struct node *n);

/*
 * home_may_queue_call - returns whether the link ORIGIN takes the reply to a new call; NULL is a
 * local caller.
 */
bool home_may_queue_call(const struct node *n, const struct link *origin);

/*
 * home_may_queue_reply - returns whether BYTES of a reply may be queued on the link ORIGIN. Closes
 * connections of slow callers if that makes room.
 */
bool home_may_queue_reply(struct node *n, const struct link *origin, u64 bytes);

/* home_send_refusal - tells the caller or entry node of call ID; ORIGIN may be NULL. */
void home_send_refusal(struct node *n, struct link *origin, bool is_local, struct call_id id,
		       enum ctr reason, bool is_not_run);

/* home_send_reply - sends the reply of call ID to its entry node. */
void home_send_reply(struct node *n, struct link *origin, struct call_id id,
		     const struct http_msg *msg);

/* home_refuse_not_run - ends a call that has not run, and frees its job. */
void home_refuse_not_run(struct node *n, struct job *j, enum ctr reason);

/* home_on_upstream_done - ends the job of a call that has ended at the upstream. */
void home_on_upstream_done(struct upstream_call *call);

/* home_run_queue - refuses expired calls and starts those that may start. */
void home_run_queue(struct node *n);

#endif
