#include "node/admit_order.h"

#include "node/admit_impl.h"

#include <math.h>

/*
 * A call that is e times as long as usual in its rank goes behind those whose last start is up to
 * this part of the rank's target later, and no call by more than the target.
 */
#define DELAY_DIVISOR 2
/*
 * Length counts in full from this part of refused calls on, and in proportion below: while all
 * calls are served in time by their last starts, an order by length only delays the long ones.
 */
#define REFUSED_FULL_PERCENT 10
/* A far target counts as this many times the target of the rank: such calls do not starve. */
#define SLACK_MAX_TARGETS 2
/* Organisations within this many calls of the one that was served least are equal. */
#define QUANTUM_CALLS 2

/* Under a rate limit that binds, each call costs a start, whatever its work. */
static bool is_rate_bound(const struct admit *a)
{
	return a->rate.interval_us && admit_capacity_milli(a) < (u64)a->limit * MILLI;
}

/*
 * Returns how far length counts, from 0 to 1: by the part of the rank's calls that were refused of
 * late, and by the part of the target that a call waits, as refusals are near then.
 */
static double length_weight(const struct admit *a, u32 rank)
{
	const struct share_tally *all = &a->queues[rank].all;
	double n = all->served + all->refused;
	double refused = n > 0 ? all->refused / n * 100 / REFUSED_FULL_PERCENT : 0;
	double waits = (double)admit_wait_us(a, rank) / (double)MAX(a->ranks[rank].target_us, 1);

	return MIN(MAX(refused, waits), 1);
}

/* Returns how much later than others with the same last start a call of this work goes. */
static i64 delay_us(const struct admit *a, u32 rank, struct work work, struct work usual)
{
	double target_us = (double)a->ranks[rank].target_us;
	double span_us = target_us / DELAY_DIVISOR * length_weight(a, rank);
	double delay_us = span_us * log((double)work.mean_us / (double)usual.mean_us);

	return (i64)CLAMP(delay_us, -target_us, target_us);
}

/* Sets what is expected of R; the rank's own values apply unless R differs from it. */
static void set_expected(struct admit *a, struct admit_req *r)
{
	struct work work = work_expect(&a->work, r->route, r->organisation);
	struct work usual = work_mean_get(&a->queues[r->rank].mean_work);

	r->differs = work_differs(work, usual);
	r->is_long = r->differs && work.mean_us > usual.mean_us;
	r->delay_us = r->differs && !is_rate_bound(a) ? delay_us(a, r->rank, work, usual) : 0;
	r->expected_us = work.mean_us ? work.mean_us : admit_rank_work_us(a, r->rank);
}

/* Counts the calls that the entry node refused, once. */
static void count_refused_before(struct admit *a, struct admit_req *r)
{
	if (!r->organisation || !r->refused_before)
		return;
	share_count(&a->share, r->rank, r->organisation, 0, r->refused_before, a->now_us);
	r->refused_before = 0;
}

u64 order_prepare(struct admit *a, struct admit_req *r)
{
	u64 slack_max_us = SLACK_MAX_TARGETS * a->ranks[r->rank].target_us;
	u64 wait_max_us;

	r->share = NULL;
	r->shared_us = 0;
	r->pick = ADMIT_OLDEST;
	count_refused_before(a, r);
	set_expected(a, r);
	wait_max_us =
		MIN(admit_deadline_wait_max_us(a, r, a->now_us), admit_request_wait_max_us(a, r));
	r->order_us = (i64)(a->now_us + MIN(wait_max_us, slack_max_us)) + r->delay_us;
	return wait_max_us;
}

void order_queued(struct admit *a, struct admit_req *r)
{
	a->queues[r->rank].ordered += r->differs;
	r->share = share_get(&a->share, r->rank, r->organisation);
	if (r->share)
		share_queued(&a->share, r->share, r->expected_us);
}

void order_left(struct admit *a, struct admit_req *r)
{
	a->queues[r->rank].ordered -= r->differs;
	if (r->share)
		share_left(&a->share, r->share, r->expected_us);
	r->share = NULL;
}

void order_count(struct admit *a, const struct admit_req *r, bool is_served)
{
	struct admit_queue *q = &a->queues[r->rank];

	if (r->organisation)
		share_count(&a->share, r->rank, r->organisation, is_served, !is_served, a->now_us);
	if (!r->route)
		return;
	share_tally_add(&q->all, is_served, !is_served, a->now_us);
	if (r->is_long)
		share_tally_add(&q->delayed, is_served, !is_served, a->now_us);
}

bool order_is_by_arrival(const struct admit *a, const struct admit_req *r)
{
	const struct admit_queue *q = &a->queues[r->rank];

	if (!q->waiting.length)
		return true;
	return !q->ordered && !r->differs && !a->share.ranks[r->rank].waiting.length;
}

/* Returns whether delayed calls are served too seldom, so that the oldest of them goes first. */
static bool are_delayed_below_floor(const struct admit_queue *q)
{
	return share_is_below_floor(&q->delayed, &q->all);
}

/* Returns whether X, which waits, goes before the new call R, as far as organisations are equal. */
static bool is_ahead(const struct admit *a, const struct admit_req *x, const struct admit_req *r)
{
	const struct admit_queue *q = &a->queues[r->rank];

	if (r->is_long && are_delayed_below_floor(q))
		return x->is_long;
	return (!q->ordered && !r->differs) || x->order_us <= r->order_us;
}

struct order_ahead order_ahead(const struct admit *a, const struct admit_req *r)
{
	const struct share_rank *rank = &a->share.ranks[r->rank];
	const struct share_entry *own = share_find(&a->share, r->rank, r->organisation);
	u64 quantum_us = QUANTUM_CALLS * admit_rank_work_us(a, r->rank);
	struct order_ahead same = { 0 };
	struct order_ahead all;

	for (const GList *l = a->queues[r->rank].waiting.head; l; l = l->next) {
		const struct admit_req *x = l->data;

		if ((r->organisation && x->share && x->share != own) || !is_ahead(a, x, r))
			continue;
		same.work_us += x->expected_us;
		same.calls++;
	}
	if (!r->organisation || (own && share_is_below_floor(&own->tally, &rank->tally)))
		return same;
	all = same;
	for (const GList *l = rank->waiting.head; l; l = l->next) {
		const struct share_entry *e = l->data;

		if (e == own)
			continue;
		all.work_us += MIN(e->waiting_us, same.work_us + r->expected_us + quantum_us);
		all.calls += MIN(e->waiting, same.calls + 1 + QUANTUM_CALLS);
	}
	return all;
}

/* Returns the first call by key, or by age without an order; NULL if none may start. */
static struct admit_req *first_of(const struct admit_queue *q, const struct share_turn *turn,
				  bool only_delayed)
{
	struct admit_req *first = NULL;

	for (GList *l = q->waiting.head; l; l = l->next) {
		struct admit_req *x = l->data;

		if (!share_may_start(turn, x->share) || (only_delayed && !x->is_long))
			continue;
		if (!first || (q->ordered && !only_delayed && x->order_us < first->order_us))
			first = x;
		if (!q->ordered || only_delayed)
			break;
	}
	return first;
}

struct admit_req *order_pick(const struct admit *a, u32 rank)
{
	const struct admit_queue *q = &a->queues[rank];
	struct admit_req *oldest = g_queue_peek_head((GQueue *)&q->waiting);
	struct admit_req *picked = NULL;
	struct share_turn turn;

	oldest->pick = ADMIT_OLDEST;
	if (!q->ordered && !share_is_contended(&a->share, rank))
		return oldest;
	turn = share_turn(&a->share, rank, QUANTUM_CALLS * admit_rank_work_us(a, rank));
	if (q->ordered && are_delayed_below_floor(q))
		picked = first_of(q, &turn, true);
	if (picked)
		picked->pick = ADMIT_BY_FLOOR;
	else
		picked = first_of(q, &turn, false);
	if (picked == oldest)
		oldest->pick = ADMIT_OLDEST;
	else if (turn.is_floor)
		picked->pick = ADMIT_BY_FLOOR;
	else if (picked->pick != ADMIT_BY_FLOOR)
		picked->pick =
			share_may_start(&turn, oldest->share) ? ADMIT_BY_ORDER : ADMIT_BY_SHARE;
	return picked;
}

void order_charge(struct admit *a, struct admit_req *r)
{
	if (!r->share || !share_is_contended(&a->share, r->rank))
		return;
	if (is_rate_bound(a)) {
		share_charge(&a->share, r->share, admit_rank_work_us(a, r->rank));
		return;
	}
	r->shared_us = r->expected_us;
	share_charge(&a->share, r->share, r->shared_us);
}

void order_done(struct admit *a, const struct admit_req *r, bool is_served)
{
	if (r->shared_us)
		share_correct(&a->share, r->rank, r->organisation,
			      (i64)r->work_us - (i64)r->shared_us);
	if (!is_served || !r->route)
		return;
	work_add(&a->work, r->route, r->organisation, MAX(r->work_us, 1));
	work_mean_add(&a->queues[r->rank].mean_work, MAX(r->work_us, 1));
}
