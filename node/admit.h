/*
 * admit - the home node's decision which calls run now, wait, or are refused
 *
 * A state machine: the time comes with each call, nothing blocks. Requests
 * are embedded in the owner's call; the owner frees them after they left.
 *
 * A free slot goes to the worthiest rank that waits, but first to a rank below
 * its floor: each rank earns floor_percent of the slot time as credit while it
 * waits, and pays for the slot time of its calls. A rank leaves free the slots that worthier
 * ranks used of lately, so that their short calls do not wait for its long ones.
 *
 * A call keeps the speed that the VM of the upstream has when it starts. So while the VM is
 * slow, calls that would end sooner by waiting for its usual speed are held.
 *
 * UNITS microseconds
 * SOURCE node/admit.c, node/limit.c, node/knee.c
 */
#ifndef ADMIT_H
#define ADMIT_H

#include "lib/ctr.h"
#include "lib/types.h"
#include "node/knee.h"
#include "node/limit.h"
#include "node/spell.h"
#include "node/times.h"
#include "wire/peer.h"

#include <glib.h>

#define ADMIT_RANKS_MAX LIMIT_RANKS_MAX
#define ADMIT_QUEUE_MAX_BYTES (16 * 1024 * 1024)

struct admit_rank {
	u32 worth;
	u64 target_us;
	u32 floor_percent;
};

enum admit_state { ADMIT_NEW, ADMIT_QUEUED, ADMIT_RUNNING, ADMIT_LEFT };

struct admit_req {
	u32 rank;
	u64 deadline_us;
	u64 target_us; /* of this request, where it differs from its rank's; 0 for the rank's */
	bool has_alternative; /* another upstream may take it: it is not held past its target here
			       */
	size_t bytes;
	enum admit_state state;
	u64 queued_us;
	u64 started_us;
	/* private */
	enum ctr reason; /* why admit_expired returned it */
	u64 charged_us;
	double busy_at_start_us; /* of struct admit */
	u32 running_at_start;
	u32 slowness_percent; /* of the VM when the call started */
	/* set by admit_done */
	u64 work_us; /* what the call did, as time at the VM's usual speed */
	u32 level; /* calls that ran beside it on average, itself included */
	GList link;
};

/* One rank's queue and accounts. */
struct admit_queue {
	GQueue waiting; /* of struct admit_req, oldest first */
	size_t bytes;
	u64 first_leave_us; /* no request leaves unrun before this */
	u32 running;
	struct times work; /* of the last calls, at the VM's usual speed */
	u64 smooth_us; /* the same smoothed; 0 while unknown */
	u64 work_at_us; /* the last call that ended */
	i64 credit_us; /* slot time below (over, when negative) the floor */
	i64 used_ppm; /* smoothed share of the slot time */
};

struct admit {
	struct limit limiter;
	struct knee knee;
	struct spell spell;
	u32 slowness_percent; /* of the VM now, as told */
	bool tells_slowness; /* so that a slow VM is not taken for a full one */
	double busy_us; /* the sum of the times of all calls */
	double speed; /* the sum of the speeds of the calls that run, usual ones being 1 */
	u32 slots;
	u32 limit;
	u32 nranks;
	struct admit_rank ranks[ADMIT_RANKS_MAX];
	struct admit_queue queues[ADMIT_RANKS_MAX];
	GQueue evicted; /* of struct admit_req, until admit_expired takes them */
	size_t queued_bytes;
	u32 queued;
	u32 running;
	double slot_time_us; /* of lately, by the calls that were served and that run; usual speed
			      */
	double served; /* calls of lately */
	u64 now_us;
};

void admit_init(struct admit *a);
void admit_clear(struct admit *a);

/* admit_set_slots - from the upstream's announcement. */
void admit_set_slots(struct admit *a, u32 slots);

/*
 * admit_set_slowness - how slow the upstream's VM is from now on, in percent: times
 * are kept as work at its usual speed, and told as times of now.
 */
void admit_set_slowness(struct admit *a, u32 percent, u64 now_us);

/* admit_set_ranks - from the configuration; queued requests keep their index. */
void admit_set_ranks(struct admit *a, const struct admit_rank *ranks, u32 n);

/*
 * admit_is_held - the VM is slow now, and a call of RANK that starts now would end later than
 * one that waits for the usual speed.
 */
bool admit_is_held(const struct admit *a, u32 rank);

/* admit_is_late - the call's target passes before most calls of its rank end, without any wait. */
bool admit_is_late(const struct admit *a, const struct admit_req *r);

/*
 * admit_offer - a new request. Returns 0 when it is queued (admit_next tells
 * when it runs), or the counter of the refusal, negated. Requests of lower
 * worth may have been evicted for it: ask admit_expired.
 */
int admit_offer(struct admit *a, struct admit_req *r, u64 now_us);

/* admit_wait_us - the expected wait of a new request of RANK. */
u64 admit_wait_us(const struct admit *a, u32 rank);

/*
 * admit_service_us - time of one call now, by Little's law: slot time over calls served.
 * It follows a change of speed at once, though calls from before end late.
 */
u64 admit_service_us(const struct admit *a);

/* admit_next - the request to start now, or NULL. */
struct admit_req *admit_next(struct admit *a, u64 now_us);

/*
 * admit_expired - a request that left the queue unrun, or NULL; its reason says
 * why: CTR_EXPIRED_UNRUN, CTR_QUEUE_WAIT (it waited longer than its rank's
 * target) or CTR_EVICTED.
 */
struct admit_req *admit_expired(struct admit *a, u64 now_us);

/* admit_next_leave_us - no request leaves the queue unrun before this; UINT64_MAX for never. */
u64 admit_next_leave_us(const struct admit *a);

/*
 * admit_done - a running request ended. IS_SERVED is false when the upstream
 * refused it or answered with an error: such a time says nothing about the service.
 */
void admit_done(struct admit *a, struct admit_req *r, bool is_served, u64 now_us);

/* admit_cancel - take a queued request out. */
void admit_cancel(struct admit *a, struct admit_req *r);

/*
 * admit_lowest_worth - the worth of the lowest rank that is admitted now: all
 * ranks below are refused. 0 when all are admitted.
 */
u32 admit_lowest_worth(struct admit *a, u64 now_us);

/* admit_adopt_knee - the knee that other upstreams of the service show, while none is known here.
 */
void admit_adopt_knee(struct admit *a, u32 limit);

/* admit_load - what entry nodes are told; is_draining is left to the owner. */
void admit_load(struct admit *a, struct peer_load *load, u64 now_us);

#endif
