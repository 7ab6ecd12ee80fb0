/*
 * admit - decides on the home node which calls run, wait in a queue or are refused
 *
 * This is a state machine: the caller passes in the current time, and nothing blocks. Requests are
 * embedded in the owner's call; the owner frees them once they are in state ADMIT_LEFT.
 *
 * A free slot goes first to a waiting rank that is below its floor, else to the waiting rank of
 * highest worth. For its floor, each rank earns floor_percent of the slot time as credit while it
 * waits, and is charged for the slot time of its calls. A rank does not use the slots that ranks of
 * higher worth used recently, so that their short calls do not wait for its long ones.
 *
 * Inside a rank, calls start in the order of arrival, unless their expected work differs clearly
 * (node/admit_order.h) or calls of several organisations wait (node/admit_share.h).
 *
 * An upstream may name a rate limit. It binds besides the slots: a call that has a slot also waits
 * until the rate allows one more. Floors and shares are then parts of the slot time that calls at
 * this rate take.
 *
 * A call runs to its end at the speed that the upstream's VM has when the call starts. So while the
 * VM is slow, calls that would end sooner by waiting for its usual speed are deferred.
 *
 * UNITS microseconds
 * SOURCE node/admit*.c, node/work_estimate.c, node/limit.c, node/knee.c, node/rate_limit.c
 */
#ifndef ADMIT_H
#define ADMIT_H

#include "lib/ctr.h"
#include "lib/types.h"
#include "node/admit_share.h"
#include "node/knee.h"
#include "node/limit.h"
#include "node/quantiles.h"
#include "node/rate_limit.h"
#include "node/slow_period.h"
#include "node/work_estimate.h"
#include "wire/peer.h"

#include <glib.h>

#define ADMIT_RANKS_MAX LIMIT_RANKS_MAX
#define ADMIT_QUEUE_MAX_BYTES (16 * 1024 * 1024)

struct admit_rank {
	u32 worth;
	u64 target_us;
	u32 floor_percent;
};

enum admit_state {
	ADMIT_NEW,
	ADMIT_QUEUED,
	ADMIT_GIVEN_UP, /* will not run: admit_expired returns it */
	ADMIT_RUNNING,
	ADMIT_LEFT,
};

/* Why a call started before the others of its rank. */
enum admit_pick {
	ADMIT_OLDEST,
	ADMIT_BY_ORDER, /* it loses more value for its slot time */
	ADMIT_BY_SHARE, /* the organisations of older ones had more than their share */
	ADMIT_BY_FLOOR, /* its organisation, or its kind of work, was served too seldom */
};

struct admit_req {
	u32 rank;
	u64 deadline_us;
	u64 target_us; /* target of this request; 0 for that of its rank */
	/* Another upstream may take the request, so it is not deferred past its target. */
	bool has_alternative;
	u64 organisation; /* hash of its name; 0 for none */
	u64 route; /* hash of its key; 0 for none */
	u32 refused_before; /* calls of the organisation, by its entry node */
	size_t bytes;
	enum admit_state state;
	enum admit_pick pick; /* set when it starts */
	u64 queued_us;
	u64 started_us;
	/* private */
	enum ctr reason; /* why it left the queue, for admit_expired */
	u64 expected_us; /* its work */
	bool differs; /* its expected work differs clearly from that of its rank */
	bool is_long; /* and is longer */
	i64 delay_us; /* part of order_us that is due to the expected work */
	i64 order_us; /* its key in the order of its rank */
	struct share_entry *share; /* of its organisation, while it is queued */
	u64 shared_us; /* work charged to the organisation's share at the start */
	u64 charged_us; /* slot time charged to the rank's credit at the start */
	double running_us_at_start; /* running_us of struct admit */
	u32 running_at_start;
	u32 slowness_percent; /* of the VM when the call started */
	/* set by admit_done */
	u64 work_us; /* time that the call took, scaled to the VM's usual speed */
	u32 level; /* mean number of calls that ran meanwhile, itself included */
	GList link;
};

/* The queue and the statistics of one rank. */
struct admit_queue {
	GQueue waiting; /* of struct admit_req, oldest first */
	size_t bytes;
	u64 next_expiry_us; /* no request expires before this */
	u32 running;
	struct quantiles work; /* of the last calls, at the VM's usual speed */
	u64 smoothed_work_us; /* moving average of the same; 0 while unknown */
	struct work_mean mean_work; /* of the calls that have a route */
	u32 ordered; /* waiting calls whose work differs from that */
	struct share_tally all; /* of the calls that have a route */
	struct share_tally delayed; /* of those whose work is longer */
	u64 last_done_us; /* when the last call was served */
	i64 credit_us; /* slot time due to the rank for its floor; negative: used in advance */
	i64 used_ppm; /* smoothed share of the slot time */
};

struct admit {
	struct limit limiter;
	struct knee knee;
	struct slow_period slow_period;
	struct rate_limit rate; /* the rate limit that the upstream names */
	u32 slowness_percent; /* of the VM, as last reported */
	bool reports_slowness; /* distinguishes a slow VM from a saturated one */
	double running_us; /* total running time of all calls so far */
	double total_speed; /* of the running calls; a call at usual speed counts as 1 */
	u32 slots;
	u32 limit; /* calls that may run at once now, at most SLOTS */
	u32 nranks;
	struct admit_rank ranks[ADMIT_RANKS_MAX];
	struct admit_queue queues[ADMIT_RANKS_MAX];
	struct share share;
	struct work_estimate work;
	GQueue given_up; /* of struct admit_req, until admit_expired returns them */
	size_t queued_bytes;
	u32 queued;
	u32 running;
	double recent_slot_time_us; /* work done recently by served and by running calls */
	double recent_calls; /* number of recently served calls, decaying */
	u64 now_us;
};

void admit_init(struct admit *a);
void admit_clear(struct admit *a);

/* admit_set_slots - sets the number of slots that the upstream announces. */
void admit_set_slots(struct admit *a, u32 slots);

/*
 * admit_set_slowness - sets the current slowness of the upstream's VM in percent of the usual time
 * of a call; 0 when it is not reported. Durations are stored as work at the usual speed, and
 * converted to the current speed when used.
 */
void admit_set_slowness(struct admit *a, u32 percent, u64 now_us);

/* admit_set_rate_limit, admit_remove_rate_limit - the upstream names a rate limit, or none. */
void admit_set_rate_limit(struct admit *a, u64 milli_per_s, u64 burst_us, u64 now_us);

/* admit_use_rate_burst - the upstream has already got the calls that the limit allows at once. */
void admit_use_rate_burst(struct admit *a, u64 now_us);
void admit_remove_rate_limit(struct admit *a, u64 now_us);

/* admit_set_ranks - sets the ranks of the configuration; queued requests keep their index. */
void admit_set_ranks(struct admit *a, const struct admit_rank *ranks, u32 n);

/*
 * admit_is_deferred - returns whether the VM is slow, and a call of RANK that starts now is
 * expected to end later than one that waits for the usual speed.
 */
bool admit_is_deferred(const struct admit *a, u32 rank);

/*
 * admit_is_late - returns whether the target of R is shorter than a call of its rank takes, so that
 * R would miss it without any wait. Never true for the whole target of the rank. R must have a
 * target of its own.
 */
bool admit_is_late(const struct admit *a, const struct admit_req *r);

/*
 * admit_offer - queues a new request. Returns 0, or the negated counter of the reason for refusing
 * it. Requests of lower worth may be evicted for it; admit_expired returns these.
 */
int admit_offer(struct admit *a, struct admit_req *r, u64 now_us);

/*
 * admit_wait_us - returns the expected wait of a new request of RANK; UINT64_MAX when it is
 * unbounded.
 */
u64 admit_wait_us(const struct admit *a, u32 rank);

/*
 * admit_request_wait_us - returns the expected wait of the new request R, by its place in the order
 * of its rank; admit_offer has prepared it.
 */
u64 admit_request_wait_us(const struct admit *a, const struct admit_req *r);

/*
 * admit_service_us - returns the expected duration of a call that starts now. By Little's law it is
 * recent slot time over calls served. It follows a change of the VM's speed at once, though calls
 * that started before the change end late.
 */
u64 admit_service_us(const struct admit *a);

/* admit_next - starts the next request that may run, and returns it; NULL for none. */
struct admit_req *admit_next(struct admit *a, u64 now_us);

/*
 * admit_expired - returns a request that left the queue without running; NULL for none. Its reason
 * is CTR_EXPIRED_UNRUN, CTR_QUEUE_WAIT (it waited too long to meet its target) or CTR_EVICTED.
 */
struct admit_req *admit_expired(struct admit *a, u64 now_us);

/* admit_next_expiry_us - returns when to call admit_expired next; UINT64_MAX for never. */
u64 admit_next_expiry_us(const struct admit *a);

/* admit_next_start_us - returns when the rate limit allows the next start; UINT64_MAX for never. */
u64 admit_next_start_us(const struct admit *a);

/*
 * admit_done - ends a running request. IS_SERVED is false when the upstream refused it or answered
 * with an error: its duration then says nothing about the service.
 */
void admit_done(struct admit *a, struct admit_req *r, bool is_served, u64 now_us);

/*
 * admit_cancel - removes a request that has not started, queued or given up. Returns false, and
 * does nothing, if it is neither.
 */
bool admit_cancel(struct admit *a, struct admit_req *r);

/*
 * admit_lowest_worth - returns the lowest worth that is admitted now: all ranks below are refused.
 * 0 when all are admitted.
 */
u32 admit_lowest_worth(struct admit *a, u64 now_us);

/*
 * admit_adopt_knee - sets the knee that other upstreams of the service show. It applies while this
 * one shows none.
 */
void admit_adopt_knee(struct admit *a, u32 limit);

/* admit_load - fills in the load that is reported to entry nodes; the owner sets is_draining. */
void admit_load(struct admit *a, struct peer_load *load, u64 now_us);

#endif
