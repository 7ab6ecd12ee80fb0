#include "node/admit.h"

#include <string.h>

#define SERVICE_SMOOTHING 8
#define SERVICE_FIRST_GUESS_US (10 * US_PER_MS)
#define SERVICE_FORGET_US ((i64)US_PER_S)
#define SERVICE_GUESS_CALLS 4
/* Lately: the last calls, so many. */
#define SERVED_SMOOTHING 16
#define USED_WINDOW_US (100 * (i64)US_PER_MS)
#define CREDIT_WINDOW_US (100 * (i64)US_PER_MS)
#define AHEAD_SERVICES 3
#define USUAL_PERCENT 100
/* The time of a call is told so long after the last one ended. */
#define WORK_AGE_US (2 * US_PER_S)
/* Targets leave room for some times what a call takes. */
#define LIKELY_PART 4
/* A call may wait at least this part of its target, however long calls take. */
#define WAIT_PART 8
/* No rank keeps more than this part of the slots free for worthier ones. */
#define KEPT_FREE_PERCENT 50
/* The smoothed use may lie so much over the true one, and the floor is to hold. */
#define OWED_MARGIN_PERCENT 10
/* A rank that used less of the slot time lately wants no slot kept. */
#define USED_LEAST_PPM 5000
#define WAIT_MAX_US (60 * US_PER_S)
#define WHOLE_PPM 1000000
#define PPM_PER_PERCENT 10000

void admit_init(struct admit *a)
{
	memset(a, 0, sizeof(*a));
	for (u32 i = 0; i < ADMIT_RANKS_MAX; i++)
		g_queue_init(&a->queues[i].waiting);
	g_queue_init(&a->evicted);
	a->slowness_percent = USUAL_PERCENT;
	a->served = SERVICE_GUESS_CALLS;
	a->slot_time_us = (double)SERVICE_GUESS_CALLS * SERVICE_FIRST_GUESS_US;
}

/* The links belong to the requests, which belong to the owner. */
void admit_clear(struct admit *a)
{
	for (u32 i = 0; i < ADMIT_RANKS_MAX; i++)
		g_queue_init(&a->queues[i].waiting);
	g_queue_init(&a->evicted);
}

static void set_limit(struct admit *a)
{
	a->limit = a->tells_slowness ? MIN(a->limiter.now, a->knee.now) : a->limiter.now;
}

void admit_set_slots(struct admit *a, u32 slots)
{
	limit_set_slots(&a->limiter, slots);
	knee_set_slots(&a->knee, slots);
	a->slots = slots;
	set_limit(a);
}

/* What was learned of the ranks' times holds while they have the same meaning. */
static bool is_same_ranks(const struct admit *a, const struct admit_rank *ranks, u32 n)
{
	if (a->nranks != n)
		return false;
	for (u32 i = 0; i < n; i++)
		if (a->ranks[i].worth != ranks[i].worth)
			return false;
	return true;
}

/* Floors of more than the whole are scaled down, so that each can be kept. */
void admit_set_ranks(struct admit *a, const struct admit_rank *ranks, u32 n)
{
	bool is_same = is_same_ranks(a, ranks, n);
	u32 sum = 0;

	a->nranks = MIN(n, (u32)ADMIT_RANKS_MAX);
	memset(a->ranks, 0, sizeof(a->ranks));
	memcpy(a->ranks, ranks, a->nranks * sizeof(*ranks));
	for (u32 i = 0; i < a->nranks; i++)
		sum += a->ranks[i].floor_percent;
	for (u32 i = 0; i < a->nranks && sum > 100; i++)
		a->ranks[i].floor_percent = a->ranks[i].floor_percent * 100 / sum;
	if (is_same)
		return;
	limit_forget(&a->limiter);
	knee_forget(&a->knee);
	set_limit(a);
}

static u64 usual_service_us(const struct admit *a)
{
	return (u64)(a->slot_time_us / a->served);
}

u64 admit_service_us(const struct admit *a)
{
	return usual_service_us(a) * a->slowness_percent / USUAL_PERCENT;
}

/*
 * What calls of RANK took of late at the VM's usual speed; 0 while unknown. Without a word about
 * the speed the last calls must show it soon.
 */
static u64 own_us(const struct admit *a, u32 rank)
{
	const struct admit_queue *q = &a->queues[rank];

	return a->tells_slowness ? q->work.median_us : q->smooth_us;
}

/* Time of a call of RANK at the VM's usual speed. */
static u64 usual_us(const struct admit *a, u32 rank)
{
	u64 own = own_us(a, rank);

	return own ? own : usual_service_us(a);
}

/* The same, by the rank's target before any call has ended. */
static u64 likely_us(const struct admit *a, u32 rank)
{
	u64 own = own_us(a, rank);

	return own ? own : a->ranks[rank].target_us / LIKELY_PART;
}

bool admit_is_held(const struct admit *a, u32 rank)
{
	u64 usual = likely_us(a, rank);
	u64 slow = usual * a->slowness_percent / USUAL_PERCENT;

	if (a->slowness_percent < SPELL_SLOW_PERCENT)
		return false;
	return slow > usual + spell_left_us(&a->spell, a->now_us);
}

static u64 hold_us(const struct admit *a, u32 rank)
{
	return admit_is_held(a, rank) ? spell_left_us(&a->spell, a->now_us) : 0;
}

/* The speed at which the next call of RANK starts. */
static u32 slowness_at_start(const struct admit *a, u32 rank)
{
	return admit_is_held(a, rank) ? USUAL_PERCENT : a->slowness_percent;
}

static u64 service_us(const struct admit *a, u32 rank)
{
	return usual_us(a, rank) * slowness_at_start(a, rank) / USUAL_PERCENT;
}

static i64 floor_us(const struct admit *a, u32 rank, i64 span_us)
{
	return span_us * a->limit * a->ranks[rank].floor_percent / 100;
}

/*
 * A rank may be served this far ahead of its credit: calls are charged when they start,
 * the times of calls vary, and the floor is to hold at each moment, not on average.
 */
static i64 ahead_us(const struct admit *a, u32 rank)
{
	i64 service = (i64)service_us(a, rank);

	if (!a->ranks[rank].floor_percent)
		return 0;
	return AHEAD_SERVICES * (floor_us(a, rank, service) + service);
}

/*
 * Credit over zero is only for a rank that waits: saved up in idle times it
 * would be a burst. Debt is bounded: use of idle slots is no reason to starve later.
 */
static void advance_rank(struct admit *a, u32 rank, i64 span_us)
{
	struct admit_queue *q = &a->queues[rank];
	i64 most = q->waiting.length ?
			   MAX(floor_us(a, rank, CREDIT_WINDOW_US), (i64)service_us(a, rank)) :
			   0;
	i64 least = -ahead_us(a, rank) - floor_us(a, rank, CREDIT_WINDOW_US);
	i64 share_ppm = a->limit ? (i64)q->running * WHOLE_PPM / a->limit : 0;

	q->credit_us = CLAMP(q->credit_us + floor_us(a, rank, span_us), least, most);
	q->used_ppm += (share_ppm - q->used_ppm) * MIN(span_us, USED_WINDOW_US) / USED_WINDOW_US;
}

/* Without calls the last ones' time says less and less, else a slow time would keep calls away. */
static void forget_service(struct admit *a, i64 span_us)
{
	double guess = (double)limit_baseline_us(&a->limiter);

	if (guess <= 0)
		guess = SERVICE_FIRST_GUESS_US;
	a->slot_time_us += (guess * a->served - a->slot_time_us) *
			   (double)MIN(span_us, SERVICE_FORGET_US) / SERVICE_FORGET_US;
}

static void advance(struct admit *a, u64 now_us)
{
	i64 span_us = now_us > a->now_us ? (i64)(now_us - a->now_us) : 0;

	if (!span_us)
		return;
	a->now_us = now_us;
	a->busy_us += (double)a->running * (double)span_us;
	a->slot_time_us += a->speed * (double)span_us;
	if (!a->running)
		forget_service(a, span_us);
	/* Longer spans change nothing more and could overflow. */
	span_us = MIN(span_us, (i64)US_PER_S);
	for (u32 i = 0; i < a->nranks; i++)
		advance_rank(a, i, span_us);
}

void admit_set_slowness(struct admit *a, u32 percent, u64 now_us)
{
	advance(a, now_us);
	a->slowness_percent = percent ? percent : USUAL_PERCENT;
	a->tells_slowness |= percent > 0;
	spell_note(&a->spell, a->slowness_percent, now_us);
	/* How long the calls in the queues may stay depends on it. */
	for (u32 i = 0; i < ADMIT_RANKS_MAX; i++)
		a->queues[i].first_leave_us = 0;
}

/*
 * The part of the slot time that RANK can count on: what the worthier ranks
 * leave, less the floors of lower ranks that wait, but at least its own floor.
 */
static i64 share_ppm(const struct admit *a, u32 rank)
{
	i64 floor = (i64)a->ranks[rank].floor_percent * PPM_PER_PERCENT;
	i64 left = WHOLE_PPM;

	for (u32 i = 0; i < a->nranks; i++) {
		if (a->ranks[i].worth > a->ranks[rank].worth)
			left -= a->queues[i].used_ppm;
		else if (a->ranks[i].worth < a->ranks[rank].worth && a->queues[i].waiting.length)
			left -= (i64)a->ranks[i].floor_percent * PPM_PER_PERCENT;
	}
	return MAX(left, floor);
}

/* Slot time of the calls that are served before a new one of RANK. */
static u64 work_ahead_us(const struct admit *a, u32 rank)
{
	u64 work = 0;

	for (u32 i = 0; i < a->nranks; i++)
		if (a->ranks[i].worth >= a->ranks[rank].worth)
			work += a->queues[i].waiting.length * service_us(a, i);
	return work;
}

static u64 wait_by_floor_us(const struct admit *a, u32 rank)
{
	u64 work = (a->queues[rank].waiting.length + 1) * service_us(a, rank);
	u64 floor = (u64)a->limit * a->ranks[rank].floor_percent;

	return floor ? work * 100 / floor : UINT64_MAX;
}

/*
 * Slots that the ranks of at least WORTH are short of: what they used of lately, and one more,
 * less those in which their calls run now.
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
	if (used_ppm < USED_LEAST_PPM)
		return 0;
	wanted = (u32)(used_ppm * a->limit / WHOLE_PPM) + 1;
	return wanted > running ? wanted - running : 0;
}

/*
 * Slots that RANK leaves free for worthier ones: a long call of its own would hold them while
 * urgent short ones wait.
 */
static u32 kept_free(const struct admit *a, u32 rank)
{
	u32 kept = 0;

	for (u32 i = 0; i < a->nranks; i++)
		if (a->ranks[i].worth > a->ranks[rank].worth)
			kept = MAX(kept, missing_slots(a, a->ranks[i].worth));
	return MIN(kept, a->limit * KEPT_FREE_PERCENT / 100);
}

static bool has_slot(const struct admit *a, u32 rank)
{
	return a->running + kept_free(a, rank) < a->limit;
}

/* Time of a call of any rank at the speed at which the next one of RANK starts. */
static u64 next_service_us(const struct admit *a, u32 rank)
{
	return usual_service_us(a) * slowness_at_start(a, rank) / USUAL_PERCENT;
}

u64 admit_wait_us(const struct admit *a, u32 rank)
{
	u64 ahead = work_ahead_us(a, rank);
	i64 share = share_ppm(a, rank);
	u64 wait = UINT64_MAX;

	if (a->running < a->limit && !ahead)
		return hold_us(a, rank);
	if (!a->limit)
		return UINT64_MAX;
	if (share > 0)
		wait = (ahead + next_service_us(a, rank)) * WHOLE_PPM / ((u64)share * a->limit);
	return MAX(hold_us(a, rank), MIN(wait, wait_by_floor_us(a, rank)));
}

static void leave_queue(struct admit *a, struct admit_req *r)
{
	struct admit_queue *q = &a->queues[r->rank];

	g_queue_unlink(&q->waiting, &r->link);
	q->bytes -= r->bytes;
	a->queued--;
	a->queued_bytes -= r->bytes;
	r->state = ADMIT_LEFT;
}

/* Queue memory that RANK holds over its floor and a call of WORTH may take. */
static size_t spare_bytes(const struct admit *a, u32 rank, u32 worth)
{
	size_t kept = (size_t)ADMIT_QUEUE_MAX_BYTES / 100 * a->ranks[rank].floor_percent;
	size_t bytes = a->queues[rank].bytes;

	return a->ranks[rank].worth < worth && bytes > kept ? bytes - kept : 0;
}

static size_t all_spare_bytes(const struct admit *a, u32 worth)
{
	size_t sum = 0;

	for (u32 i = 0; i < ADMIT_RANKS_MAX; i++)
		sum += spare_bytes(a, i, worth);
	return sum;
}

/* The lowest rank under WORTH with memory to spare, or -1. */
static int rank_to_evict(const struct admit *a, u32 worth)
{
	int found = -1;

	for (u32 i = 0; i < ADMIT_RANKS_MAX; i++) {
		if (!spare_bytes(a, i, worth))
			continue;
		if (found < 0 || a->ranks[i].worth < a->ranks[found].worth)
			found = (int)i;
	}
	return found;
}

/* The newest goes: it has waited least. Nothing is evicted in vain. */
static bool evict_for(struct admit *a, const struct admit_req *r)
{
	u32 worth = a->ranks[r->rank].worth;

	if (a->queued_bytes + r->bytes > ADMIT_QUEUE_MAX_BYTES + all_spare_bytes(a, worth))
		return false;
	while (a->queued_bytes + r->bytes > ADMIT_QUEUE_MAX_BYTES) {
		int rank = rank_to_evict(a, worth);
		struct admit_req *victim;

		if (rank < 0)
			return false;
		victim = g_queue_peek_tail(&a->queues[rank].waiting);
		leave_queue(a, victim);
		victim->reason = CTR_EVICTED;
		g_queue_push_tail_link(&a->evicted, &victim->link);
	}
	return true;
}

/* A time that most calls of the rank keep, where the upstream's own slowness is known. */
static u64 long_service_us(const struct admit *a, u32 rank)
{
	u64 long_us = MAX(a->queues[rank].work.long_us, usual_us(a, rank));

	if (!a->tells_slowness)
		return service_us(a, rank);
	return long_us * slowness_at_start(a, rank) / USUAL_PERCENT;
}

/* What is served should still meet its target: the call's own time is set aside. */
static u64 wait_within_us(const struct admit *a, u32 rank, u64 target_us)
{
	return target_us - MIN(long_service_us(a, rank), target_us - target_us / WAIT_PART);
}

static u64 wait_max_us(const struct admit *a, u32 rank)
{
	return wait_within_us(a, rank, a->ranks[rank].target_us);
}

static u64 request_wait_max_us(const struct admit *a, const struct admit_req *r)
{
	return wait_within_us(a, r->rank,
			      r->target_us ? r->target_us : a->ranks[r->rank].target_us);
}

/* A call that another upstream may take in time leaves as soon as it would be held too long. */
static u64 leave_us(const struct admit *a, const struct admit_req *r)
{
	u64 last_us = MIN(r->deadline_us, r->queued_us + request_wait_max_us(a, r));

	if (r->has_alternative && a->now_us + hold_us(a, r->rank) > last_us)
		return a->now_us;
	return last_us;
}

bool admit_is_late(const struct admit *a, const struct admit_req *r)
{
	u64 whole = a->ranks[r->rank].target_us;

	/* A target that is too short for the service as such makes no call late. */
	return r->target_us < service_us(a, r->rank) && r->target_us < whole;
}

int admit_offer(struct admit *a, struct admit_req *r, u64 now_us)
{
	u64 left = r->deadline_us > now_us ? r->deadline_us - now_us : 0;
	struct admit_queue *q = &a->queues[r->rank];

	advance(a, now_us);
	if (admit_wait_us(a, r->rank) > MIN(left, request_wait_max_us(a, r)))
		return -CTR_QUEUE_WAIT;
	if (r->bytes > ADMIT_QUEUE_MAX_BYTES || !evict_for(a, r))
		return -CTR_QUEUE_MEMORY;
	r->state = ADMIT_QUEUED;
	r->queued_us = now_us;
	r->link.data = r;
	a->queued++;
	a->queued_bytes += r->bytes;
	q->bytes += r->bytes;
	if (!q->waiting.length || leave_us(a, r) < q->first_leave_us)
		q->first_leave_us = leave_us(a, r);
	g_queue_push_tail_link(&q->waiting, &r->link);
	return 0;
}

static bool goes_before(const struct admit *a, u32 i, u32 than)
{
	const struct admit_req *mine = g_queue_peek_head((GQueue *)&a->queues[i].waiting);
	const struct admit_req *other = g_queue_peek_head((GQueue *)&a->queues[than].waiting);

	if (a->ranks[i].worth != a->ranks[than].worth)
		return a->ranks[i].worth > a->ranks[than].worth;
	return mine->queued_us < other->queued_us;
}

static bool is_below_floor(const struct admit *a, u32 rank)
{
	return a->ranks[rank].floor_percent && a->queues[rank].credit_us > -ahead_us(a, rank);
}

/* Its floor was not kept lately, so slots are not kept free from it. */
static bool is_owed(const struct admit *a, u32 rank)
{
	const struct admit_queue *q = &a->queues[rank];
	i64 floor = a->ranks[rank].floor_percent;

	if (!floor || q->credit_us <= 0)
		return false;
	return q->used_ppm < (floor + OWED_MARGIN_PERCENT) * PPM_PER_PERCENT;
}

/* The worthiest rank that waits, or of those below their floor when ONLY_BELOW_FLOOR; or -1. */
static int worthiest(const struct admit *a, bool only_below_floor)
{
	int best = -1;

	for (u32 i = 0; i < ADMIT_RANKS_MAX; i++) {
		if (!a->queues[i].waiting.length)
			continue;
		if (only_below_floor && !is_below_floor(a, i))
			continue;
		if (admit_is_held(a, i) || (!has_slot(a, i) && !is_owed(a, i)))
			continue;
		if (best < 0 || goes_before(a, i, (u32)best))
			best = (int)i;
	}
	return best;
}

/* Slot time that no other rank waits for costs no credit. */
static bool is_contended(const struct admit *a, u32 rank)
{
	return a->queued > a->queues[rank].waiting.length;
}

static double speed_of(const struct admit_req *r)
{
	return (double)USUAL_PERCENT / r->slowness_percent;
}

static void start(struct admit *a, struct admit_req *r, u64 now_us)
{
	struct admit_queue *q = &a->queues[r->rank];

	leave_queue(a, r);
	r->state = ADMIT_RUNNING;
	r->started_us = now_us;
	r->charged_us = is_contended(a, r->rank) ? service_us(a, r->rank) : 0;
	q->credit_us -= (i64)r->charged_us;
	q->running++;
	a->running++;
	/* With what is kept free the limit is used up, and may be found too low. */
	r->running_at_start = MIN(a->running + kept_free(a, r->rank), a->limit);
	r->slowness_percent = a->slowness_percent;
	a->speed += speed_of(r);
	r->busy_at_start_us = a->busy_us;
}

struct admit_req *admit_next(struct admit *a, u64 now_us)
{
	struct admit_req *r;
	int rank;

	advance(a, now_us);
	if (a->running >= a->limit)
		return NULL;
	rank = worthiest(a, true);
	if (rank < 0)
		rank = worthiest(a, false);
	if (rank < 0)
		return NULL;
	r = g_queue_peek_head(&a->queues[rank].waiting);
	start(a, r, now_us);
	return r;
}

/* The first request of the queue whose time to leave has come; else learns the next such time. */
static struct admit_req *first_to_leave(const struct admit *a, struct admit_queue *q, u64 now_us)
{
	u64 first = UINT64_MAX;

	if (!q->waiting.length || q->first_leave_us > now_us)
		return NULL;
	for (GList *l = q->waiting.head; l; l = l->next) {
		u64 at = leave_us(a, l->data);

		if (at <= now_us)
			return l->data;
		first = MIN(first, at);
	}
	q->first_leave_us = first;
	return NULL;
}

struct admit_req *admit_expired(struct admit *a, u64 now_us)
{
	if (a->evicted.length) {
		GList *l = g_queue_pop_head_link(&a->evicted);

		return l->data;
	}
	for (u32 i = 0; i < ADMIT_RANKS_MAX; i++) {
		struct admit_req *r = first_to_leave(a, &a->queues[i], now_us);

		if (!r)
			continue;
		leave_queue(a, r);
		r->reason = r->deadline_us <= now_us ? CTR_EXPIRED_UNRUN : CTR_QUEUE_WAIT;
		return r;
	}
	return NULL;
}

u64 admit_next_leave_us(const struct admit *a)
{
	u64 next = a->evicted.length ? 0 : UINT64_MAX;

	for (u32 i = 0; i < ADMIT_RANKS_MAX; i++)
		if (a->queues[i].waiting.length)
			next = MIN(next, a->queues[i].first_leave_us);
	return next;
}

static u64 smooth(u64 old, u64 sample)
{
	return old ? (old * (SERVICE_SMOOTHING - 1) + sample) / SERVICE_SMOOTHING : sample;
}

void admit_done(struct admit *a, struct admit_req *r, bool is_served, u64 now_us)
{
	u64 took = now_us > r->started_us ? now_us - r->started_us : 0;
	struct admit_queue *q = &a->queues[r->rank];
	u32 running = MAX(r->running_at_start, a->running);

	advance(a, now_us);
	/* Sums of fractions drift. */
	a->speed = a->running > 1 ? MAX(a->speed - speed_of(r), 0) : 0;
	r->work_us = took * USUAL_PERCENT / r->slowness_percent;
	r->level = took ? (u32)((a->busy_us - r->busy_at_start_us) / (double)took + 0.5) : 0;
	a->running--;
	q->running--;
	if (r->charged_us)
		q->credit_us += (i64)r->charged_us - (i64)took;
	r->state = ADMIT_LEFT;
	if (!is_served) {
		a->slot_time_us = MAX(a->slot_time_us - (double)r->work_us, 0);
		return;
	}
	a->served = a->served * (SERVED_SMOOTHING - 1) / SERVED_SMOOTHING + 1;
	a->slot_time_us = a->slot_time_us * (SERVED_SMOOTHING - 1) / SERVED_SMOOTHING;
	q->work_at_us = now_us;
	times_add(&q->work, r->work_us);
	q->smooth_us = smooth(q->smooth_us, MAX(r->work_us, 1));
	limit_sample(&a->limiter, r->rank, r->work_us, running, now_us);
	knee_sample(&a->knee, r->rank, r->work_us, r->level, now_us);
	set_limit(a);
}

void admit_cancel(struct admit *a, struct admit_req *r)
{
	if (r->state == ADMIT_QUEUED)
		leave_queue(a, r);
}

u32 admit_lowest_worth(struct admit *a, u64 now_us)
{
	u32 lowest = UINT32_MAX;
	u32 least = UINT32_MAX;
	u32 most = 0;

	advance(a, now_us);
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

void admit_adopt_knee(struct admit *a, u32 limit)
{
	knee_adopt(&a->knee, limit);
	set_limit(a);
}

/* An upstream that was slow must not be avoided for what it did long ago. */
static u64 recent_work_us(const struct admit *a, u32 rank, u64 now_us)
{
	const struct admit_queue *q = &a->queues[rank];

	return now_us - q->work_at_us < WORK_AGE_US ? own_us(a, rank) : 0;
}

/* The worthiest ranks, each once. */
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
	load->limit = a->limit;
	load->knee = a->tells_slowness && a->knee.is_found ? a->knee.now : 0;
	load->service_us = usual_service_us(a);
	for (u32 i = 0; i < a->nranks; i++) {
		struct peer_wait wait = { .worth = a->ranks[i].worth,
					  .wait_us = MIN(admit_wait_us(a, i), WAIT_MAX_US),
					  .work_us = recent_work_us(a, i, now_us) };

		add_wait(load, &wait);
	}
}
