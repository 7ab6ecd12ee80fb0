#include "node/admit_impl.h"
#include "node/admit_order.h"

#include <string.h>

#define SERVICE_SMOOTHING 8 /* divisor of the moving average */
#define SERVICE_INITIAL_CALLS 4 /* weight of the assumed duration */
/* Recent calls are about this many of the last ones. */
#define SERVED_SMOOTHING 16

void admit_init(struct admit *a)
{
	memset(a, 0, sizeof(*a));
	for (u32 i = 0; i < ADMIT_RANKS_MAX; i++)
		g_queue_init(&a->queues[i].waiting);
	g_queue_init(&a->given_up);
	share_init(&a->share);
	a->slowness_percent = USUAL_PERCENT;
	a->recent_calls = SERVICE_INITIAL_CALLS;
	a->recent_slot_time_us = (double)SERVICE_INITIAL_CALLS * SERVICE_INITIAL_US;
}

/* Frees nothing: the list links are part of the requests, which belong to the owner. */
void admit_clear(struct admit *a)
{
	for (u32 i = 0; i < ADMIT_RANKS_MAX; i++)
		g_queue_init(&a->queues[i].waiting);
	g_queue_init(&a->given_up);
}

static void set_limit(struct admit *a)
{
	a->limit = a->reports_slowness ? MIN(a->limiter.current_limit, a->knee.current_limit) :
					 a->limiter.current_limit;
}

void admit_set_slots(struct admit *a, u32 slots)
{
	limit_set_slots(&a->limiter, slots);
	knee_set_slots(&a->knee, slots);
	a->slots = slots;
	set_limit(a);
}

/* Returns whether RANKS have the same worths as before, so that statistics by rank stay valid. */
static bool has_same_worths(const struct admit *a, const struct admit_rank *ranks, u32 n)
{
	if (a->nranks != n)
		return false;
	for (u32 i = 0; i < n; i++)
		if (a->ranks[i].worth != ranks[i].worth)
			return false;
	return true;
}

/* Scales floors down when their sum exceeds 100 %, so that each can be met. */
void admit_set_ranks(struct admit *a, const struct admit_rank *ranks, u32 n)
{
	bool is_same = has_same_worths(a, ranks, n);
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
	limit_reset(&a->limiter);
	knee_reset(&a->knee);
	set_limit(a);
}

void admit_set_slowness(struct admit *a, u32 percent, u64 now_us)
{
	admit_advance(a, now_us);
	a->slowness_percent = percent ? percent : USUAL_PERCENT;
	a->reports_slowness |= percent > 0;
	slow_period_update(&a->slow_period, a->slowness_percent, now_us);
	/* The expiry of queued calls depends on the slowness. */
	for (u32 i = 0; i < ADMIT_RANKS_MAX; i++)
		a->queues[i].next_expiry_us = 0;
}

void admit_set_rate_limit(struct admit *a, u64 milli_per_s, u64 burst_us, u64 now_us)
{
	admit_advance(a, now_us);
	rate_limit_set(&a->rate, milli_per_s, burst_us, now_us);
}

void admit_use_rate_burst(struct admit *a, u64 now_us)
{
	rate_limit_use_burst(&a->rate, now_us);
}

void admit_remove_rate_limit(struct admit *a, u64 now_us)
{
	admit_advance(a, now_us);
	rate_limit_remove(&a->rate);
}

static bool has_slot(const struct admit *a, u32 rank)
{
	return a->running + admit_reserved_slots(a, rank) < a->limit;
}

void admit_remove_from_queue(struct admit *a, struct admit_req *r)
{
	struct admit_queue *q = &a->queues[r->rank];

	g_queue_unlink(&q->waiting, &r->link);
	order_left(a, r);
	q->bytes -= r->bytes;
	a->queued--;
	a->queued_bytes -= r->bytes;
	r->state = ADMIT_LEFT;
}

/* Returns 0, or the negated counter of the reason why R, which is prepared, is not queued. */
static int check_offer(struct admit *a, const struct admit_req *r, u64 wait_max_us)
{
	if (a->rate.interval_us &&
	    admit_rate_wait_us(a, r->rank, admit_calls_ahead(a, r)) > wait_max_us)
		return -CTR_RATE_LIMIT;
	if (admit_request_wait_us(a, r) > wait_max_us)
		return -CTR_QUEUE_WAIT;
	if (r->bytes > ADMIT_QUEUE_MAX_BYTES || !admit_make_room(a, r))
		return -CTR_QUEUE_MEMORY;
	return 0;
}

static void enqueue(struct admit *a, struct admit_req *r, u64 now_us)
{
	struct admit_queue *q = &a->queues[r->rank];

	r->state = ADMIT_QUEUED;
	r->queued_us = now_us;
	r->link.data = r;
	a->queued++;
	a->queued_bytes += r->bytes;
	q->bytes += r->bytes;
	if (!q->waiting.length || admit_expiry_us(a, r) < q->next_expiry_us)
		q->next_expiry_us = admit_expiry_us(a, r);
	g_queue_push_tail_link(&q->waiting, &r->link);
	order_queued(a, r);
}

int admit_offer(struct admit *a, struct admit_req *r, u64 now_us)
{
	u64 wait_max;
	int err;

	admit_advance(a, now_us);
	wait_max = order_prepare(a, r);
	err = check_offer(a, r, wait_max);
	if (err)
		order_count(a, r, false);
	else
		enqueue(a, r, now_us);
	return err;
}

static bool precedes(const struct admit *a, u32 i, u32 than)
{
	const struct admit_req *mine = g_queue_peek_head((GQueue *)&a->queues[i].waiting);
	const struct admit_req *other = g_queue_peek_head((GQueue *)&a->queues[than].waiting);

	if (a->ranks[i].worth != a->ranks[than].worth)
		return a->ranks[i].worth > a->ranks[than].worth;
	return mine->queued_us < other->queued_us;
}

/* Returns whether RANK leaves what is reserved for ranks of higher worth. */
static bool may_start(const struct admit *a, u32 rank)
{
	return has_slot(a, rank) && !admit_rate_wait_us(a, rank, 0);
}

/*
 * Returns the rank of highest worth that has a call to start; -1 for none. ONLY_BELOW_FLOOR limits
 * the choice to ranks below their floor.
 */
static int pick_rank(const struct admit *a, bool only_below_floor)
{
	int best = -1;

	for (u32 i = 0; i < ADMIT_RANKS_MAX; i++) {
		if (!a->queues[i].waiting.length)
			continue;
		if (only_below_floor && !admit_is_below_floor(a, i))
			continue;
		if (admit_is_deferred(a, i) || (!may_start(a, i) && !admit_is_floor_missed(a, i)))
			continue;
		if (best < 0 || precedes(a, i, (u32)best))
			best = (int)i;
	}
	return best;
}

/* Returns whether another rank waits; else slot time is not charged. */
static bool is_contended(const struct admit *a, u32 rank)
{
	return a->queued > a->queues[rank].waiting.length;
}

static double call_speed(const struct admit_req *r)
{
	return (double)USUAL_PERCENT / r->slowness_percent;
}

static void start(struct admit *a, struct admit_req *r, u64 now_us)
{
	struct admit_queue *q = &a->queues[r->rank];

	order_charge(a, r);
	order_count(a, r, true);
	admit_remove_from_queue(a, r);
	r->state = ADMIT_RUNNING;
	r->started_us = now_us;
	r->charged_us = is_contended(a, r->rank) ? admit_rank_service_us(a, r->rank) : 0;
	q->credit_us -= (i64)r->charged_us;
	q->running++;
	a->running++;
	/*
	 * Reserved slots count as used: else the limit would not seem saturated, and a harmful cut
	 * would not be reverted.
	 */
	r->running_at_start = MIN(a->running + admit_reserved_slots(a, r->rank), a->limit);
	r->slowness_percent = a->slowness_percent;
	a->total_speed += call_speed(r);
	r->running_us_at_start = a->running_us;
	rate_limit_take(&a->rate, now_us);
}

/* Returns the first call of the rank that is next; NULL if none may start. */
static struct admit_req *first_to_start(const struct admit *a)
{
	int rank = pick_rank(a, true);

	if (rank < 0)
		rank = pick_rank(a, false);
	return rank < 0 ? NULL : order_pick(a, (u32)rank);
}

void admit_give_up(struct admit *a, struct admit_req *r, enum ctr reason)
{
	order_count(a, r, false);
	admit_remove_from_queue(a, r);
	r->state = ADMIT_GIVEN_UP;
	r->reason = reason;
	g_queue_push_tail_link(&a->given_up, &r->link);
}

static void remove_given_up(struct admit *a, struct admit_req *r)
{
	g_queue_unlink(&a->given_up, &r->link);
	r->state = ADMIT_LEFT;
}

struct admit_req *admit_next(struct admit *a, u64 now_us)
{
	struct admit_req *r;

	admit_advance(a, now_us);
	if (a->running >= a->limit || rate_limit_next_us(&a->rate, 0) > now_us)
		return NULL;
	/* Calls may have turned slower since the queue's next expiry was computed. */
	while ((r = first_to_start(a)) && admit_last_start_us(a, r) < now_us)
		admit_give_up(a, r, CTR_QUEUE_WAIT);
	if (r)
		start(a, r, now_us);
	return r;
}

/* Returns the first expired request of Q. Without one, updates the queue's next expiry. */
static struct admit_req *first_expired(const struct admit *a, struct admit_queue *q, u64 now_us)
{
	u64 first = UINT64_MAX;

	if (!q->waiting.length || q->next_expiry_us > now_us)
		return NULL;
	for (GList *l = q->waiting.head; l; l = l->next) {
		u64 at = admit_expiry_us(a, l->data);

		if (at <= now_us)
			return l->data;
		first = MIN(first, at);
	}
	q->next_expiry_us = first;
	return NULL;
}

struct admit_req *admit_expired(struct admit *a, u64 now_us)
{
	if (a->given_up.length) {
		struct admit_req *r = g_queue_peek_head(&a->given_up);

		remove_given_up(a, r);
		return r;
	}
	for (u32 i = 0; i < ADMIT_RANKS_MAX; i++) {
		struct admit_req *r = first_expired(a, &a->queues[i], now_us);

		if (!r)
			continue;
		order_count(a, r, false);
		admit_remove_from_queue(a, r);
		r->reason = r->deadline_us <= now_us ? CTR_EXPIRED_UNRUN : CTR_QUEUE_WAIT;
		return r;
	}
	return NULL;
}

u64 admit_next_expiry_us(const struct admit *a)
{
	u64 next = a->given_up.length ? 0 : UINT64_MAX;

	for (u32 i = 0; i < ADMIT_RANKS_MAX; i++)
		if (a->queues[i].waiting.length)
			next = MIN(next, a->queues[i].next_expiry_us);
	return next;
}

u64 admit_next_start_us(const struct admit *a)
{
	u64 next_us = rate_limit_next_us(&a->rate, 0);

	if (!a->queued || a->running >= a->limit || !a->rate.interval_us)
		return UINT64_MAX;
	/* After the first time only ranks wait that leave one start to those of higher worth. */
	if (next_us <= a->now_us)
		next_us = rate_limit_next_us(&a->rate, 1);
	return next_us > a->now_us ? next_us : UINT64_MAX;
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

	admit_advance(a, now_us);
	/* Reset to 0 without calls, as rounding errors add up. */
	a->total_speed = a->running > 1 ? MAX(a->total_speed - call_speed(r), 0) : 0;
	r->work_us = took * USUAL_PERCENT / r->slowness_percent;
	r->level = took ? (u32)((a->running_us - r->running_us_at_start) / (double)took + 0.5) : 0;
	a->running--;
	q->running--;
	if (r->charged_us)
		q->credit_us += (i64)r->charged_us - (i64)took;
	r->state = ADMIT_LEFT;
	order_done(a, r, is_served);
	if (!is_served) {
		a->recent_slot_time_us = MAX(a->recent_slot_time_us - (double)r->work_us, 0);
		return;
	}
	a->recent_calls = a->recent_calls * (SERVED_SMOOTHING - 1) / SERVED_SMOOTHING + 1;
	a->recent_slot_time_us = a->recent_slot_time_us * (SERVED_SMOOTHING - 1) / SERVED_SMOOTHING;
	q->last_done_us = now_us;
	quantiles_add(&q->work, r->work_us);
	q->smoothed_work_us = smooth(q->smoothed_work_us, MAX(r->work_us, 1));
	limit_sample(&a->limiter, r->rank, r->work_us, running, now_us);
	knee_sample(&a->knee, r->rank, r->work_us, r->level, now_us);
	set_limit(a);
}

bool admit_cancel(struct admit *a, struct admit_req *r)
{
	if (r->state == ADMIT_QUEUED)
		admit_remove_from_queue(a, r);
	else if (r->state == ADMIT_GIVEN_UP)
		remove_given_up(a, r);
	else
		return false;
	return true;
}

void admit_adopt_knee(struct admit *a, u32 limit)
{
	knee_adopt(&a->knee, limit);
	set_limit(a);
}
