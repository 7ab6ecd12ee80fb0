#include "node/admit.h"

#include <string.h>

#define SERVICE_SMOOTHING 8 /* divisor of the moving average */
/* Assumed duration of a call before any has ended. */
#define SERVICE_INITIAL_US (10 * US_PER_MS)
#define SERVICE_DECAY_US ((i64)US_PER_S)
#define SERVICE_INITIAL_CALLS 4 /* weight of the assumed duration */
/* Recent calls are about this many of the last ones. */
#define SERVED_SMOOTHING 16
#define USED_WINDOW_US (100 * (i64)US_PER_MS)
#define CREDIT_WINDOW_US (100 * (i64)US_PER_MS)
/* Calls by which a rank may be served ahead of its credit. */
#define OVERDRAFT_CALLS 3
#define USUAL_PERCENT 100
/* The work of a rank's calls is reported for this long after the last one was served. */
#define WORK_MAX_AGE_US (2 * US_PER_S)
/*
 * Targets allow for several times the duration of a call: before any call has ended, the expected
 * duration is 1/EXPECTED_DIVISOR of the target.
 */
#define EXPECTED_DIVISOR 4
/* A call may wait at least 1/WAIT_MIN_DIVISOR of its target, however long calls take. */
#define WAIT_MIN_DIVISOR 8
/* At most this part of the limit is reserved for ranks of higher worth. */
#define RESERVED_MAX_PERCENT 50
/* The smoothed use may exceed the actual one by this much; the floor must hold even then. */
#define FLOOR_MARGIN_PERCENT 10
/* No slots are reserved for ranks that recently used less of the slot time than this. */
#define USED_MIN_PPM 5000
#define WAIT_MAX_US (60 * US_PER_S)
#define PPM 1000000
#define PPM_PER_PERCENT 10000
#define MILLI 1000

void admit_init(struct admit *a)
{
	memset(a, 0, sizeof(*a));
	for (u32 i = 0; i < ADMIT_RANKS_MAX; i++)
		g_queue_init(&a->queues[i].waiting);
	g_queue_init(&a->evicted);
	a->slowness_percent = USUAL_PERCENT;
	a->recent_calls = SERVICE_INITIAL_CALLS;
	a->recent_slot_time_us = (double)SERVICE_INITIAL_CALLS * SERVICE_INITIAL_US;
}

/* Frees nothing: the list links are part of the requests, which belong to the owner. */
void admit_clear(struct admit *a)
{
	for (u32 i = 0; i < ADMIT_RANKS_MAX; i++)
		g_queue_init(&a->queues[i].waiting);
	g_queue_init(&a->evicted);
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

static u64 mean_work_us(const struct admit *a)
{
	return (u64)(a->recent_slot_time_us / a->recent_calls);
}

u64 admit_service_us(const struct admit *a)
{
	return mean_work_us(a) * a->slowness_percent / USUAL_PERCENT;
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
static u64 rank_work_us(const struct admit *a, u32 rank)
{
	u64 measured = measured_work_us(a, rank);

	return measured ? measured : mean_work_us(a);
}

/* Like rank_work_us, but derived from the rank's target while that is unknown. */
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

static u64 deferral_us(const struct admit *a, u32 rank)
{
	return admit_is_deferred(a, rank) ? slow_period_remaining_us(&a->slow_period, a->now_us) :
					    0;
}

/* Returns the slowness at which the next call of RANK starts. */
static u32 slowness_at_start(const struct admit *a, u32 rank)
{
	return admit_is_deferred(a, rank) ? USUAL_PERCENT : a->slowness_percent;
}

static u64 service_us(const struct admit *a, u32 rank)
{
	return rank_work_us(a, rank) * slowness_at_start(a, rank) / USUAL_PERCENT;
}

/*
 * Returns the slots that can be in use, in thousandths: under a rate limit those that calls at this
 * rate occupy, by Little's law.
 */
static u64 capacity_milli(const struct admit *a)
{
	u64 slots = (u64)a->limit * MILLI;

	if (!a->rate.interval_us)
		return slots;
	return MIN(slots, MAX(admit_service_us(a) * MILLI / a->rate.interval_us, 1));
}

static i64 floor_us(const struct admit *a, u32 rank, i64 span_us)
{
	return span_us * (i64)capacity_milli(a) * a->ranks[rank].floor_percent / (100 * MILLI);
}

/*
 * Returns how far RANK may be served ahead of its credit. Calls are charged at their start and vary
 * in duration, and the floor must hold at each moment, not just on average.
 */
static i64 overdraft_us(const struct admit *a, u32 rank)
{
	i64 service = (i64)service_us(a, rank);

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
	i64 most = q->waiting.length ?
			   MAX(floor_us(a, rank, CREDIT_WINDOW_US), (i64)service_us(a, rank)) :
			   0;
	i64 least = -overdraft_us(a, rank) - floor_us(a, rank, CREDIT_WINDOW_US);
	i64 share_ppm = a->limit ? (i64)q->running * PPM * MILLI / (i64)capacity_milli(a) : 0;

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

static void advance(struct admit *a, u64 now_us)
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

void admit_set_slowness(struct admit *a, u32 percent, u64 now_us)
{
	advance(a, now_us);
	a->slowness_percent = percent ? percent : USUAL_PERCENT;
	a->reports_slowness |= percent > 0;
	slow_period_update(&a->slow_period, a->slowness_percent, now_us);
	/* The expiry of queued calls depends on the slowness. */
	for (u32 i = 0; i < ADMIT_RANKS_MAX; i++)
		a->queues[i].next_expiry_us = 0;
}

void admit_set_rate_limit(struct admit *a, u64 milli_per_s, u64 now_us)
{
	advance(a, now_us);
	rate_limit_set(&a->rate, milli_per_s, now_us);
}

void admit_remove_rate_limit(struct admit *a, u64 now_us)
{
	advance(a, now_us);
	rate_limit_remove(&a->rate);
}

/*
 * Returns the share of the slot time that RANK can rely on: what ranks of higher worth leave, less
 * the floors of lower ranks that wait, but at least its own floor.
 */
static i64 share_ppm(const struct admit *a, u32 rank)
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

/* Returns the slot time of the queued calls that are served before a new one of RANK. */
static u64 work_ahead_us(const struct admit *a, u32 rank)
{
	u64 work = 0;

	for (u32 i = 0; i < a->nranks; i++)
		if (a->ranks[i].worth >= a->ranks[rank].worth)
			work += a->queues[i].waiting.length * service_us(a, i);
	return work;
}

static u64 floor_wait_us(const struct admit *a, u32 rank)
{
	u64 work = (a->queues[rank].waiting.length + 1) * service_us(a, rank);
	u64 floor = capacity_milli(a) * a->ranks[rank].floor_percent;

	return floor ? work * 100 * MILLI / floor : UINT64_MAX;
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
	wanted = (u32)(used_ppm * (i64)capacity_milli(a) / ((i64)PPM * MILLI)) + 1;
	return wanted > running ? wanted - running : 0;
}

/*
 * Returns the slots that RANK may not use, as they are reserved for ranks of higher worth: a long
 * call of RANK would occupy them while short urgent ones wait.
 */
static u32 reserved_slots(const struct admit *a, u32 rank)
{
	u32 reserved = 0;

	for (u32 i = 0; i < a->nranks; i++)
		if (a->ranks[i].worth > a->ranks[rank].worth)
			reserved = MAX(reserved, missing_slots(a, a->ranks[i].worth));
	return MIN(reserved, a->limit * RESERVED_MAX_PERCENT / 100);
}

static bool has_slot(const struct admit *a, u32 rank)
{
	return a->running + reserved_slots(a, rank) < a->limit;
}

/*
 * Returns the calls that the rate limit must allow besides one of RANK: a rank does not take the
 * last one while ranks of higher worth need more.
 */
static u64 reserved_starts(const struct admit *a, u32 rank)
{
	return a->rate.interval_us && reserved_slots(a, rank);
}

/* Returns how long the rate limit delays a start of RANK after AHEAD others. */
static u64 rate_wait_us(const struct admit *a, u32 rank, u64 ahead)
{
	u64 next_us = rate_limit_next_us(&a->rate, ahead + reserved_starts(a, rank));

	return next_us > a->now_us ? next_us - a->now_us : 0;
}

/* Returns the queued calls that are started before a new one of RANK. */
static u64 calls_ahead(const struct admit *a, u32 rank)
{
	u64 n = 0;

	for (u32 i = 0; i < a->nranks; i++)
		if (a->ranks[i].worth >= a->ranks[rank].worth)
			n += a->queues[i].waiting.length;
	return n;
}

/* Returns the mean duration of calls of all ranks at the slowness at which RANK's next starts. */
static u64 mean_service_at_start_us(const struct admit *a, u32 rank)
{
	return mean_work_us(a) * slowness_at_start(a, rank) / USUAL_PERCENT;
}

u64 admit_wait_us(const struct admit *a, u32 rank)
{
	u64 ahead = work_ahead_us(a, rank);
	u64 rate_wait = rate_wait_us(a, rank, calls_ahead(a, rank));
	i64 share = share_ppm(a, rank);
	u64 wait = UINT64_MAX;

	if (a->running < a->limit && !ahead && !rate_wait)
		return deferral_us(a, rank);
	if (!a->limit)
		return UINT64_MAX;
	if (share > 0)
		wait = (ahead + mean_service_at_start_us(a, rank)) * PPM / ((u64)share * a->limit);
	if (share > 0)
		wait = MAX(wait, rate_wait * PPM / (u64)share);
	return MAX(deferral_us(a, rank), MIN(wait, floor_wait_us(a, rank)));
}

static void remove_from_queue(struct admit *a, struct admit_req *r)
{
	struct admit_queue *q = &a->queues[r->rank];

	g_queue_unlink(&q->waiting, &r->link);
	q->bytes -= r->bytes;
	a->queued--;
	a->queued_bytes -= r->bytes;
	r->state = ADMIT_LEFT;
}

/* Returns the queue memory that RANK holds above its floor, if a call of WORTH may evict it. */
static size_t spare_bytes(const struct admit *a, u32 rank, u32 worth)
{
	size_t reserved = (size_t)ADMIT_QUEUE_MAX_BYTES / 100 * a->ranks[rank].floor_percent;
	size_t bytes = a->queues[rank].bytes;

	return a->ranks[rank].worth < worth && bytes > reserved ? bytes - reserved : 0;
}

static size_t all_spare_bytes(const struct admit *a, u32 worth)
{
	size_t sum = 0;

	for (u32 i = 0; i < ADMIT_RANKS_MAX; i++)
		sum += spare_bytes(a, i, worth);
	return sum;
}

/* Returns the rank of lowest worth, below WORTH, that has memory to spare; -1 for none. */
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

/*
 * Makes room in the queue memory for R. Evicts the newest requests of the lowest ranks, as these
 * have waited least, and nothing at all when that would not make enough room.
 */
static bool make_room(struct admit *a, const struct admit_req *r)
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
		remove_from_queue(a, victim);
		victim->reason = CTR_EVICTED;
		g_queue_push_tail_link(&a->evicted, &victim->link);
	}
	return true;
}

/*
 * Returns a duration that about nine in ten calls of RANK do not exceed; the mean one where the
 * upstream does not report its slowness.
 */
static u64 p90_service_us(const struct admit *a, u32 rank)
{
	u64 work_us = MAX(a->queues[rank].work.approx_p90_us, rank_work_us(a, rank));

	if (!a->reports_slowness)
		return service_us(a, rank);
	return work_us * slowness_at_start(a, rank) / USUAL_PERCENT;
}

/* Returns the longest wait that leaves a call of RANK time to run within TARGET_US. */
static u64 target_wait_max_us(const struct admit *a, u32 rank, u64 target_us)
{
	return target_us - MIN(p90_service_us(a, rank), target_us - target_us / WAIT_MIN_DIVISOR);
}

static u64 wait_max_us(const struct admit *a, u32 rank)
{
	return target_wait_max_us(a, rank, a->ranks[rank].target_us);
}

static u64 request_wait_max_us(const struct admit *a, const struct admit_req *r)
{
	return target_wait_max_us(a, r->rank,
				  r->target_us ? r->target_us : a->ranks[r->rank].target_us);
}

/*
 * Returns when R expires in the queue. A call that another upstream may take expires as soon as it
 * would be deferred too long here.
 */
static u64 expiry_us(const struct admit *a, const struct admit_req *r)
{
	u64 last_us = MIN(r->deadline_us, r->queued_us + request_wait_max_us(a, r));

	if (r->has_alternative && a->now_us + deferral_us(a, r->rank) > last_us)
		return a->now_us;
	return last_us;
}

bool admit_is_late(const struct admit *a, const struct admit_req *r)
{
	u64 whole = a->ranks[r->rank].target_us;

	/* A call is not late when the target of its whole rank is too short. */
	return r->target_us < service_us(a, r->rank) && r->target_us < whole;
}

int admit_offer(struct admit *a, struct admit_req *r, u64 now_us)
{
	u64 remaining = r->deadline_us > now_us ? r->deadline_us - now_us : 0;
	struct admit_queue *q = &a->queues[r->rank];
	u64 wait_max;

	advance(a, now_us);
	wait_max = MIN(remaining, request_wait_max_us(a, r));
	if (rate_wait_us(a, r->rank, calls_ahead(a, r->rank)) > wait_max)
		return -CTR_RATE_LIMIT;
	if (admit_wait_us(a, r->rank) > wait_max)
		return -CTR_QUEUE_WAIT;
	if (r->bytes > ADMIT_QUEUE_MAX_BYTES || !make_room(a, r))
		return -CTR_QUEUE_MEMORY;
	r->state = ADMIT_QUEUED;
	r->queued_us = now_us;
	r->link.data = r;
	a->queued++;
	a->queued_bytes += r->bytes;
	q->bytes += r->bytes;
	if (!q->waiting.length || expiry_us(a, r) < q->next_expiry_us)
		q->next_expiry_us = expiry_us(a, r);
	g_queue_push_tail_link(&q->waiting, &r->link);
	return 0;
}

static bool precedes(const struct admit *a, u32 i, u32 than)
{
	const struct admit_req *mine = g_queue_peek_head((GQueue *)&a->queues[i].waiting);
	const struct admit_req *other = g_queue_peek_head((GQueue *)&a->queues[than].waiting);

	if (a->ranks[i].worth != a->ranks[than].worth)
		return a->ranks[i].worth > a->ranks[than].worth;
	return mine->queued_us < other->queued_us;
}

static bool is_below_floor(const struct admit *a, u32 rank)
{
	return a->ranks[rank].floor_percent && a->queues[rank].credit_us > -overdraft_us(a, rank);
}

/* Returns whether RANK was recently below its floor: then it may use reserved slots. */
static bool is_floor_missed(const struct admit *a, u32 rank)
{
	const struct admit_queue *q = &a->queues[rank];
	i64 floor = a->ranks[rank].floor_percent;

	if (!floor || q->credit_us <= 0)
		return false;
	return q->used_ppm < (floor + FLOOR_MARGIN_PERCENT) * PPM_PER_PERCENT;
}

/* Returns whether RANK leaves what is reserved for ranks of higher worth. */
static bool may_start(const struct admit *a, u32 rank)
{
	return has_slot(a, rank) && !rate_wait_us(a, rank, 0);
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
		if (only_below_floor && !is_below_floor(a, i))
			continue;
		if (admit_is_deferred(a, i) || (!may_start(a, i) && !is_floor_missed(a, i)))
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

	remove_from_queue(a, r);
	r->state = ADMIT_RUNNING;
	r->started_us = now_us;
	r->charged_us = is_contended(a, r->rank) ? service_us(a, r->rank) : 0;
	q->credit_us -= (i64)r->charged_us;
	q->running++;
	a->running++;
	/*
	 * Reserved slots count as used: else the limit would not seem saturated, and a harmful cut
	 * would not be reverted.
	 */
	r->running_at_start = MIN(a->running + reserved_slots(a, r->rank), a->limit);
	r->slowness_percent = a->slowness_percent;
	a->total_speed += call_speed(r);
	r->running_us_at_start = a->running_us;
	rate_limit_take(&a->rate, now_us);
}

struct admit_req *admit_next(struct admit *a, u64 now_us)
{
	struct admit_req *r;
	int rank;

	advance(a, now_us);
	if (a->running >= a->limit || rate_limit_next_us(&a->rate, 0) > now_us)
		return NULL;
	rank = pick_rank(a, true);
	if (rank < 0)
		rank = pick_rank(a, false);
	if (rank < 0)
		return NULL;
	r = g_queue_peek_head(&a->queues[rank].waiting);
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
		u64 at = expiry_us(a, l->data);

		if (at <= now_us)
			return l->data;
		first = MIN(first, at);
	}
	q->next_expiry_us = first;
	return NULL;
}

struct admit_req *admit_expired(struct admit *a, u64 now_us)
{
	if (a->evicted.length) {
		GList *l = g_queue_pop_head_link(&a->evicted);

		return l->data;
	}
	for (u32 i = 0; i < ADMIT_RANKS_MAX; i++) {
		struct admit_req *r = first_expired(a, &a->queues[i], now_us);

		if (!r)
			continue;
		remove_from_queue(a, r);
		r->reason = r->deadline_us <= now_us ? CTR_EXPIRED_UNRUN : CTR_QUEUE_WAIT;
		return r;
	}
	return NULL;
}

u64 admit_next_expiry_us(const struct admit *a)
{
	u64 next = a->evicted.length ? 0 : UINT64_MAX;

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

	advance(a, now_us);
	/* Reset to 0 without calls, as rounding errors add up. */
	a->total_speed = a->running > 1 ? MAX(a->total_speed - call_speed(r), 0) : 0;
	r->work_us = took * USUAL_PERCENT / r->slowness_percent;
	r->level = took ? (u32)((a->running_us - r->running_us_at_start) / (double)took + 0.5) : 0;
	a->running--;
	q->running--;
	if (r->charged_us)
		q->credit_us += (i64)r->charged_us - (i64)took;
	r->state = ADMIT_LEFT;
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

void admit_cancel(struct admit *a, struct admit_req *r)
{
	if (r->state == ADMIT_QUEUED)
		remove_from_queue(a, r);
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

/*
 * Returns the work of the calls of RANK, or 0 when it is outdated: else an upstream that was slow
 * long ago would still be avoided.
 */
static u64 recent_work_us(const struct admit *a, u32 rank, u64 now_us)
{
	const struct admit_queue *q = &a->queues[rank];

	return now_us - q->last_done_us < WORK_MAX_AGE_US ? measured_work_us(a, rank) : 0;
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
	load->limit = (u32)((capacity_milli(a) + MILLI - 1) / MILLI);
	load->knee = a->reports_slowness && a->knee.is_found ? a->knee.current_limit : 0;
	load->service_us = mean_work_us(a);
	for (u32 i = 0; i < a->nranks; i++) {
		struct peer_wait wait = { .worth = a->ranks[i].worth,
					  .wait_us = MIN(admit_wait_us(a, i), WAIT_MAX_US),
					  .work_us = recent_work_us(a, i, now_us) };

		add_wait(load, &wait);
	}
}
