/* Floors: the credit of each rank, and the slots reserved for ranks of higher worth. */
#include "node/admit_impl.h"

#define SERVICE_DECAY_US ((i64)US_PER_S)
#define USED_WINDOW_US (100 * (i64)US_PER_MS)
#define CREDIT_WINDOW_US (100 * (i64)US_PER_MS)
/* Calls by which a rank may be served ahead of its credit. */
#define OVERDRAFT_CALLS 3
/* At most this part of the limit is reserved for ranks of higher worth. */
#define RESERVED_MAX_PERCENT 50
/* The smoothed use may exceed the actual one by this much; the floor must hold even then. */
#define FLOOR_MARGIN_PERCENT 10
/* No slots are reserved for ranks that recently used less of the slot time than this. */
#define USED_MIN_PPM 5000
#define PPM_PER_PERCENT 10000

static i64 floor_us(const struct admit *a, u32 rank, i64 span_us)
{
	return span_us * (i64)admit_capacity_milli(a) * a->ranks[rank].floor_percent /
	       (100 * MILLI);
}

/*
 * Returns how far RANK may be served ahead of its credit. Calls are charged at their start and vary
 * in duration, and the floor must hold at each moment, not just on average.
 */
static i64 overdraft_us(const struct admit *a, u32 rank)
{
	i64 service = (i64)admit_rank_service_us(a, rank);

	if (!a->ranks[rank].floor_percent)
		return 0;
	return OVERDRAFT_CALLS * (floor_us(a, rank, service) + service);
}

/*
 * Advances the credit and the use of RANK by SPAN_US. Only a rank with waiting calls has positive
 * credit: credit from idle times would allow a burst. Debt is bounded, so that a rank does not
 * starve later for having used idle slots.
 */
static void advance_rank(struct admit *a, u32 rank, i64 span_us)
{
	struct admit_queue *q = &a->queues[rank];
	i64 most = q->waiting.length ? MAX(floor_us(a, rank, CREDIT_WINDOW_US),
					   (i64)admit_rank_service_us(a, rank)) :
				       0;
	i64 least = -overdraft_us(a, rank) - floor_us(a, rank, CREDIT_WINDOW_US);
	i64 share_ppm = a->limit ? (i64)q->running * PPM * MILLI / (i64)admit_capacity_milli(a) : 0;

	q->credit_us = CLAMP(q->credit_us + floor_us(a, rank, span_us), least, most);
	q->used_ppm += (share_ppm - q->used_ppm) * MIN(span_us, USED_WINDOW_US) / USED_WINDOW_US;
}

/*
 * Moves the expected duration towards the baseline while no calls run: otherwise a slow period in
 * the past would keep calls away for good.
 */
static void decay_service(struct admit *a, i64 span_us)
{
	double baseline = (double)limit_baseline_us(&a->limiter);

	if (baseline <= 0)
		baseline = SERVICE_INITIAL_US;
	a->recent_slot_time_us += (baseline * a->recent_calls - a->recent_slot_time_us) *
				  (double)MIN(span_us, SERVICE_DECAY_US) / SERVICE_DECAY_US;
}

void admit_advance(struct admit *a, u64 now_us)
{
	i64 span_us = now_us > a->now_us ? (i64)(now_us - a->now_us) : 0;

	if (!span_us)
		return;
	a->now_us = now_us;
	a->running_us += (double)a->running * (double)span_us;
	a->recent_slot_time_us += a->total_speed * (double)span_us;
	if (!a->running)
		decay_service(a, span_us);
	/* Longer spans have no further effect and could overflow. */
	span_us = MIN(span_us, (i64)US_PER_S);
	for (u32 i = 0; i < a->nranks; i++)
		advance_rank(a, i, span_us);
}

i64 admit_share_ppm(const struct admit *a, u32 rank)
{
	i64 floor = (i64)a->ranks[rank].floor_percent * PPM_PER_PERCENT;
	i64 remaining = PPM;

	for (u32 i = 0; i < a->nranks; i++) {
		if (a->ranks[i].worth > a->ranks[rank].worth)
			remaining -= a->queues[i].used_ppm;
		else if (a->ranks[i].worth < a->ranks[rank].worth && a->queues[i].waiting.length)
			remaining -= (i64)a->ranks[i].floor_percent * PPM_PER_PERCENT;
	}
	return MAX(remaining, floor);
}

/*
 * Returns how many more slots the ranks of at least WORTH are expected to need: those that they
 * used recently, and one more, less those that they use now.
 */
static u32 missing_slots(const struct admit *a, u32 worth)
{
	i64 used_ppm = 0;
	u32 running = 0;
	u32 wanted;

	for (u32 i = 0; i < a->nranks; i++) {
		if (a->ranks[i].worth < worth)
			continue;
		used_ppm += a->queues[i].used_ppm;
		running += a->queues[i].running;
	}
	if (used_ppm < USED_MIN_PPM)
		return 0;
	wanted = (u32)(used_ppm * (i64)admit_capacity_milli(a) / ((i64)PPM * MILLI)) + 1;
	return wanted > running ? wanted - running : 0;
}

u32 admit_reserved_slots(const struct admit *a, u32 rank)
{
	u32 reserved = 0;

	for (u32 i = 0; i < a->nranks; i++)
		if (a->ranks[i].worth > a->ranks[rank].worth)
			reserved = MAX(reserved, missing_slots(a, a->ranks[i].worth));
	return MIN(reserved, a->limit * RESERVED_MAX_PERCENT / 100);
}

bool admit_is_below_floor(const struct admit *a, u32 rank)
{
	return a->ranks[rank].floor_percent && a->queues[rank].credit_us > -overdraft_us(a, rank);
}

bool admit_is_floor_missed(const struct admit *a, u32 rank)
{
	const struct admit_queue *q = &a->queues[rank];
	i64 floor = a->ranks[rank].floor_percent;

	if (!floor || q->credit_us <= 0)
		return false;
	return q->used_ppm < (floor + FLOOR_MARGIN_PERCENT) * PPM_PER_PERCENT;
}
