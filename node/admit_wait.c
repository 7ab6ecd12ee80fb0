/* Expected waits, and when a queued request expires. */
#include "node/admit_impl.h"
#include "node/admit_order.h"

#include <string.h>

/* A call may wait at least 1/WAIT_MIN_DIVISOR of its time, however long calls take. */
#define WAIT_MIN_DIVISOR 8
#define WAIT_MAX_US (60 * US_PER_S)

/* The queued calls that are served before a new one. */
struct ahead {
	u64 calls;
	u64 work_us; /* their slot time */
	u64 own_work_us; /* of those of its rank, and its own */
};

static struct ahead ahead_in_ranks_above(const struct admit *a, u32 rank)
{
	struct ahead ahead = { 0 };

	for (u32 i = 0; i < a->nranks; i++) {
		if (i == rank || a->ranks[i].worth < a->ranks[rank].worth)
			continue;
		ahead.calls += a->queues[i].waiting.length;
		ahead.work_us += a->queues[i].waiting.length * admit_rank_service_us(a, i);
	}
	return ahead;
}

/* Returns what is ahead of a call of RANK that starts after all that wait there. */
static struct ahead ahead_of_rank(const struct admit *a, u32 rank)
{
	struct ahead ahead = ahead_in_ranks_above(a, rank);
	u64 waiting = rank < a->nranks ? a->queues[rank].waiting.length : 0;
	u64 service_us = admit_rank_service_us(a, rank);

	ahead.calls += waiting;
	ahead.work_us += waiting * service_us;
	ahead.own_work_us = (a->queues[rank].waiting.length + 1) * service_us;
	return ahead;
}

static struct ahead ahead_of_request(const struct admit *a, const struct admit_req *r)
{
	struct order_ahead own;
	struct ahead ahead;
	u64 own_us;

	if (order_is_by_arrival(a, r))
		return ahead_of_rank(a, r->rank);
	own = order_ahead(a, r);
	own_us = admit_at_start_us(a, r->rank, own.work_us);
	ahead = ahead_in_ranks_above(a, r->rank);
	ahead.calls += own.calls;
	ahead.work_us += own_us;
	ahead.own_work_us = own_us + admit_at_start_us(a, r->rank, r->expected_us);
	return ahead;
}

static u64 floor_wait_us(const struct admit *a, u32 rank, u64 work_us)
{
	u64 floor = admit_capacity_milli(a) * a->ranks[rank].floor_percent;

	return floor ? work_us * 100 * MILLI / floor : UINT64_MAX;
}

/*
 * Returns the calls that the rate limit must allow besides one of RANK: a rank does not take the
 * last one while ranks of higher worth need more.
 */
static u64 reserved_starts(const struct admit *a, u32 rank)
{
	return a->rate.interval_us && admit_reserved_slots(a, rank);
}

u64 admit_rate_wait_us(const struct admit *a, u32 rank, u64 ahead)
{
	u64 next_us = rate_limit_next_us(&a->rate, ahead + reserved_starts(a, rank));

	return next_us > a->now_us ? next_us - a->now_us : 0;
}

u64 admit_calls_ahead(const struct admit *a, const struct admit_req *r)
{
	return ahead_of_request(a, r).calls;
}

static u64 wait_behind_us(const struct admit *a, u32 rank, struct ahead ahead)
{
	u64 rate_wait = admit_rate_wait_us(a, rank, ahead.calls);
	i64 share = admit_share_ppm(a, rank);
	u64 wait = UINT64_MAX;

	if (a->running < a->limit && !ahead.work_us && !rate_wait)
		return admit_deferral_us(a, rank);
	if (!a->limit)
		return UINT64_MAX;
	if (share > 0) {
		u64 work = ahead.work_us + admit_mean_service_at_start_us(a, rank);

		wait = work * PPM / ((u64)share * a->limit);
		wait = MAX(wait, rate_wait * PPM / (u64)share);
	}
	wait = MIN(wait, floor_wait_us(a, rank, ahead.own_work_us));
	return MAX(admit_deferral_us(a, rank), wait);
}

u64 admit_wait_us(const struct admit *a, u32 rank)
{
	return wait_behind_us(a, rank, ahead_of_rank(a, rank));
}

u64 admit_request_wait_us(const struct admit *a, const struct admit_req *r)
{
	return wait_behind_us(a, r->rank, ahead_of_request(a, r));
}

/* Returns the longest wait that leaves SERVICE_US of TIME_US to run. */
static u64 wait_max_within_us(u64 time_us, u64 service_us)
{
	return time_us - MIN(service_us, time_us - time_us / WAIT_MIN_DIVISOR);
}

/* Returns the longest wait that leaves a call of RANK time to run within TARGET_US. */
static u64 target_wait_max_us(const struct admit *a, u32 rank, u64 target_us)
{
	return wait_max_within_us(target_us, admit_p90_service_us(a, rank));
}

static u64 wait_max_us(const struct admit *a, u32 rank)
{
	return target_wait_max_us(a, rank, a->ranks[rank].target_us);
}

u64 admit_request_wait_max_us(const struct admit *a, const struct admit_req *r)
{
	u64 target_us = r->target_us ? r->target_us : a->ranks[r->rank].target_us;

	if (r->differs)
		return wait_max_within_us(target_us, admit_at_start_us(a, r->rank, r->expected_us));
	return target_wait_max_us(a, r->rank, target_us);
}

u64 admit_deadline_wait_max_us(const struct admit *a, const struct admit_req *r, u64 from_us)
{
	u64 left_us = r->deadline_us > from_us ? r->deadline_us - from_us : 0;

	if (r->differs)
		return wait_max_within_us(left_us, admit_at_start_us(a, r->rank, r->expected_us));
	return wait_max_within_us(left_us, admit_measured_service_us(a, r->rank));
}

u64 admit_last_start_us(const struct admit *a, const struct admit_req *r)
{
	return r->queued_us + admit_deadline_wait_max_us(a, r, r->queued_us);
}

u64 admit_expiry_us(const struct admit *a, const struct admit_req *r)
{
	u64 last_us =
		MIN(admit_last_start_us(a, r), r->queued_us + admit_request_wait_max_us(a, r));

	if (r->has_alternative && a->now_us + admit_deferral_us(a, r->rank) > last_us)
		return a->now_us;
	return last_us;
}

bool admit_is_late(const struct admit *a, const struct admit_req *r)
{
	u64 whole = a->ranks[r->rank].target_us;

	/* A call is not late when the target of its whole rank is too short. */
	return r->target_us < admit_rank_service_us(a, r->rank) && r->target_us < whole;
}

u32 admit_lowest_worth(struct admit *a, u64 now_us)
{
	u32 lowest = UINT32_MAX;
	u32 least = UINT32_MAX;
	u32 most = 0;

	admit_advance(a, now_us);
	for (u32 i = 0; i < a->nranks; i++) {
		least = MIN(least, a->ranks[i].worth);
		most = MAX(most, a->ranks[i].worth);
		if (admit_wait_us(a, i) <= wait_max_us(a, i))
			lowest = MIN(lowest, a->ranks[i].worth);
	}
	if (!a->nranks || lowest == least)
		return 0;
	return lowest == UINT32_MAX ? most + 1 : lowest;
}

/* Adds WAIT to the list of LOAD, which holds the highest worths, each once, in falling order. */
static void add_wait(struct peer_load *load, const struct peer_wait *wait)
{
	u32 worth = wait->worth;
	u32 at = load->nwaits;

	while (at && load->waits[at - 1].worth < worth)
		at--;
	if ((at && load->waits[at - 1].worth == worth) || at == PEER_WAITS_MAX)
		return;
	load->nwaits = MIN(load->nwaits + 1, (u32)PEER_WAITS_MAX);
	memmove(&load->waits[at + 1], &load->waits[at],
		(load->nwaits - at - 1) * sizeof(load->waits[0]));
	load->waits[at] = *wait;
}

void admit_load(struct admit *a, struct peer_load *load, u64 now_us)
{
	memset(load, 0, sizeof(*load));
	load->lowest_worth = admit_lowest_worth(a, now_us);
	load->running = a->running;
	load->queued = a->queued;
	load->limit = (u32)((admit_capacity_milli(a) + MILLI - 1) / MILLI);
	load->knee = a->reports_slowness && a->knee.is_found ? a->knee.current_limit : 0;
	load->service_us = admit_mean_work_us(a);
	for (u32 i = 0; i < a->nranks; i++) {
		struct peer_wait wait = { .worth = a->ranks[i].worth,
					  .wait_us = MIN(admit_wait_us(a, i), WAIT_MAX_US),
					  .work_us = admit_recent_work_us(a, i, now_us) };

		add_wait(load, &wait);
	}
}
