/*
 * admit_impl - private declarations shared by the source files of admit
 *
 * UNITS microseconds
 * SOURCE node/admit.c (queues, order), node/admit_speed.c (durations), node/admit_credit.c
 * (floors), node/admit_wait.c (waits, expiry), node/admit_evict.c (queue memory),
 * node/admit_order.c (order inside a rank)
 */
#ifndef ADMIT_IMPL_H
#define ADMIT_IMPL_H

#include "node/admit.h"

/* Assumed duration of a call before any has ended. */
#define SERVICE_INITIAL_US (10 * US_PER_MS)
#define USUAL_PERCENT 100
#define PPM 1000000

/* admit_mean_work_us - returns the mean work of the recent calls of all ranks. */
u64 admit_mean_work_us(const struct admit *a);

/* admit_rank_work_us - returns the expected work of the next call of RANK. */
u64 admit_rank_work_us(const struct admit *a, u32 rank);

/* admit_at_start_us - returns how long WORK_US takes for a call of RANK that starts next. */
u64 admit_at_start_us(const struct admit *a, u32 rank, u64 work_us);

/* admit_deferral_us - returns how long calls of RANK are deferred now; 0 if they are not. */
u64 admit_deferral_us(const struct admit *a, u32 rank);

/* admit_rank_service_us - returns the expected duration of the next call of RANK. */
u64 admit_rank_service_us(const struct admit *a, u32 rank);

/* admit_measured_service_us - like admit_rank_service_us; 0 while no call of RANK was measured. */
u64 admit_measured_service_us(const struct admit *a, u32 rank);

/*
 * admit_capacity_milli - returns the slots that can be in use, in thousandths: under a rate limit
 * those that calls at this rate occupy, by Little's law.
 */
u64 admit_capacity_milli(const struct admit *a);

/* admit_advance - advances credits, use and statistics to NOW_US. */
void admit_advance(struct admit *a, u64 now_us);

/*
 * admit_share_ppm - returns the share of the slot time that RANK can rely on: what ranks of
 * higher worth leave, less the floors of lower ranks that wait, but at least its own floor.
 */
i64 admit_share_ppm(const struct admit *a, u32 rank);

/*
 * admit_reserved_slots - returns the slots that RANK may not use, as they are reserved for ranks
 * of higher worth: a long call of RANK would occupy them while short urgent ones wait.
 */
u32 admit_reserved_slots(const struct admit *a, u32 rank);

/*
 * admit_rate_wait_us - returns how long the rate limit delays a start of RANK after AHEAD others.
 */
u64 admit_rate_wait_us(const struct admit *a, u32 rank, u64 ahead);

/* admit_calls_ahead - returns the queued calls that are started before the new request R. */
u64 admit_calls_ahead(const struct admit *a, const struct admit_req *r);

/*
 * admit_mean_service_at_start_us - returns the mean duration of calls of all ranks at the
 * slowness at which RANK's next starts.
 */
u64 admit_mean_service_at_start_us(const struct admit *a, u32 rank);

/* admit_remove_from_queue - removes R, which becomes ADMIT_LEFT. */
void admit_remove_from_queue(struct admit *a, struct admit_req *r);

/* admit_give_up - removes R from its queue for REASON; admit_expired returns it. */
void admit_give_up(struct admit *a, struct admit_req *r, enum ctr reason);

/*
 * admit_make_room - makes room in the queue memory for R. Evicts the newest requests of the
 * lowest ranks, as these have waited least, and nothing at all when that would not make enough
 * room.
 */
bool admit_make_room(struct admit *a, const struct admit_req *r);

/*
 * admit_p90_service_us - returns a duration that about nine in ten calls of RANK do not exceed;
 * the mean one where the upstream does not report its slowness.
 */
u64 admit_p90_service_us(const struct admit *a, u32 rank);

/*
 * admit_deadline_wait_max_us - returns the longest wait from FROM_US on after which R is expected
 * to end before its deadline. It is never zero before the deadline: a free slot takes every call,
 * so that the duration of calls stays measured.
 */
u64 admit_deadline_wait_max_us(const struct admit *a, const struct admit_req *r, u64 from_us);

/* admit_last_start_us - returns when the queued R has to start to end before its deadline. */
u64 admit_last_start_us(const struct admit *a, const struct admit_req *r);

/* admit_request_wait_max_us - returns the longest wait that lets R still meet its target. */
u64 admit_request_wait_max_us(const struct admit *a, const struct admit_req *r);

/*
 * admit_expiry_us - returns when R expires in the queue. A call that another upstream may take
 * expires as soon as it would be deferred too long here.
 */
u64 admit_expiry_us(const struct admit *a, const struct admit_req *r);

/* admit_is_below_floor - returns whether RANK is due a start for its floor. */
bool admit_is_below_floor(const struct admit *a, u32 rank);

/*
 * admit_is_floor_missed - returns whether RANK was recently below its floor: then it may use
 * reserved slots.
 */
bool admit_is_floor_missed(const struct admit *a, u32 rank);

/*
 * admit_recent_work_us - returns the work of the calls of RANK, or 0 when it is outdated: else an
 * upstream that was slow long ago would still be avoided.
 */
u64 admit_recent_work_us(const struct admit *a, u32 rank, u64 now_us);

#endif
