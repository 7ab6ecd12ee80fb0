/* How long calls take, and how many fit in the slots, at the current speed of the VM. */
#include "node/admit_impl.h"

/* The work of a rank's calls is reported for this long after the last one was served. */
#define WORK_MAX_AGE_US (2 * US_PER_S)
/*
 * Targets allow for several times the duration of a call: before any call has ended, the expected
 * duration is 1/EXPECTED_DIVISOR of the target.
 */
#define EXPECTED_DIVISOR 4

u64 admit_mean_work_us(const struct admit *a)
{
	return (u64)(a->recent_slot_time_us / a->recent_calls);
}

u64 admit_service_us(const struct admit *a)
{
	return admit_mean_work_us(a) * a->slowness_percent / USUAL_PERCENT;
}

/*
 * Returns the work of a call of RANK, its duration at the VM's usual speed, as measured on recent
 * calls; 0 while unknown. Where the upstream does not report its slowness, the moving average is
 * used, as it follows a change of speed sooner.
 */
static u64 measured_work_us(const struct admit *a, u32 rank)
{
	const struct admit_queue *q = &a->queues[rank];

	return a->reports_slowness ? q->work.median_us : q->smoothed_work_us;
}

/* Returns the work of a call of RANK; while that is unknown, that of a call of any rank. */
u64 admit_rank_work_us(const struct admit *a, u32 rank)
{
	u64 measured = measured_work_us(a, rank);

	return measured ? measured : admit_mean_work_us(a);
}

/* Like admit_rank_work_us, but derived from the rank's target while that is unknown. */
static u64 expected_work_us(const struct admit *a, u32 rank)
{
	u64 measured = measured_work_us(a, rank);

	return measured ? measured : a->ranks[rank].target_us / EXPECTED_DIVISOR;
}

bool admit_is_deferred(const struct admit *a, u32 rank)
{
	u64 usual = expected_work_us(a, rank);
	u64 slow = usual * a->slowness_percent / USUAL_PERCENT;

	if (a->slowness_percent < SLOW_PERIOD_MIN_PERCENT)
		return false;
	return slow > usual + slow_period_remaining_us(&a->slow_period, a->now_us);
}

u64 admit_deferral_us(const struct admit *a, u32 rank)
{
	return admit_is_deferred(a, rank) ? slow_period_remaining_us(&a->slow_period, a->now_us) :
					    0;
}

/* Returns the slowness at which the next call of RANK starts. */
static u32 slowness_at_start(const struct admit *a, u32 rank)
{
	return admit_is_deferred(a, rank) ? USUAL_PERCENT : a->slowness_percent;
}

u64 admit_at_start_us(const struct admit *a, u32 rank, u64 work_us)
{
	return work_us * slowness_at_start(a, rank) / USUAL_PERCENT;
}

u64 admit_rank_service_us(const struct admit *a, u32 rank)
{
	return admit_at_start_us(a, rank, admit_rank_work_us(a, rank));
}

u64 admit_measured_service_us(const struct admit *a, u32 rank)
{
	return measured_work_us(a, rank) * slowness_at_start(a, rank) / USUAL_PERCENT;
}

u64 admit_capacity_milli(const struct admit *a)
{
	u64 slots = (u64)a->limit * MILLI;

	if (!a->rate.interval_us)
		return slots;
	return MIN(slots, MAX(admit_service_us(a) * MILLI / a->rate.interval_us, 1));
}

u64 admit_mean_service_at_start_us(const struct admit *a, u32 rank)
{
	return admit_mean_work_us(a) * slowness_at_start(a, rank) / USUAL_PERCENT;
}

u64 admit_p90_service_us(const struct admit *a, u32 rank)
{
	u64 work_us = MAX(a->queues[rank].work.approx_p90_us, admit_rank_work_us(a, rank));

	if (!a->reports_slowness)
		return admit_rank_service_us(a, rank);
	return work_us * slowness_at_start(a, rank) / USUAL_PERCENT;
}

u64 admit_recent_work_us(const struct admit *a, u32 rank, u64 now_us)
{
	const struct admit_queue *q = &a->queues[rank];

	return now_us - q->last_done_us < WORK_MAX_AGE_US ? measured_work_us(a, rank) : 0;
}
