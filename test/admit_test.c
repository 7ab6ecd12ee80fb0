/* Admission: slots, order, deadlines, bounded queues, reserved slots. */
#include "lib/rng.h"
#include "node/admit.h"
#include "test/fakes/scenario.h"

#include <string.h>

#define SLOTS SCENARIO_SLOTS
#define TOP SCENARIO_TOP
#define LOW SCENARIO_LOW

static void setup(struct admit *a, const struct admit_rank *ranks, u32 n)
{
	admit_init(a);
	admit_set_slots(a, SLOTS);
	admit_set_ranks(a, ranks, n);
}

static struct admit_req *request(u32 rank, u64 deadline_us, size_t bytes)
{
	struct admit_req *r = g_new0(struct admit_req, 1);

	r->rank = rank;
	r->deadline_us = deadline_us;
	r->bytes = bytes;
	return r;
}

static void test_exact_slots(void)
{
	struct admit a;
	struct admit_req r[SLOTS + 1] = { 0 };

	setup(&a, scenario_ranks, 2);
	for (u32 i = 0; i < SLOTS + 1; i++) {
		r[i].deadline_us = US_PER_S;
		g_assert_cmpint(admit_offer(&a, &r[i], 1), ==, 0);
	}
	for (u32 i = 0; i < SLOTS; i++)
		g_assert_true(admit_next(&a, 1) == &r[i]);
	g_assert_null(admit_next(&a, 1));
	admit_done(&a, &r[3], true, 10 * US_PER_MS);
	g_assert_true(admit_next(&a, 10 * US_PER_MS) == &r[SLOTS]);
	admit_clear(&a);
}

static void test_expired_and_cancelled_requests_do_not_run(void)
{
	struct admit a;
	struct admit_req busy[SLOTS] = { 0 };
	struct admit_req expires = { .deadline_us = 40 * US_PER_MS };
	struct admit_req cancelled = { .deadline_us = US_PER_S };
	struct admit_req over_target = { .deadline_us = 100 * US_PER_S };

	setup(&a, scenario_ranks, 2);
	for (u32 i = 0; i < SLOTS; i++) {
		busy[i].deadline_us = US_PER_S;
		admit_offer(&a, &busy[i], 1);
		admit_next(&a, 1);
	}
	g_assert_cmpint(admit_offer(&a, &expires, 1), ==, 0);
	g_assert_cmpint(admit_offer(&a, &cancelled, 1), ==, 0);
	g_assert_cmpint(admit_offer(&a, &over_target, 1), ==, 0);
	admit_cancel(&a, &cancelled);
	g_assert_null(admit_expired(&a, 39 * US_PER_MS));
	g_assert_true(admit_expired(&a, 40 * US_PER_MS) == &expires);
	g_assert_cmpint(expires.reason, ==, CTR_EXPIRED_UNRUN);
	g_assert_null(admit_expired(&a, 200 * US_PER_MS));
	g_assert_true(admit_expired(&a, 251 * US_PER_MS) == &over_target);
	g_assert_cmpint(over_target.reason, ==, CTR_QUEUE_WAIT);
	admit_done(&a, &busy[0], true, 252 * US_PER_MS);
	g_assert_null(admit_next(&a, 252 * US_PER_MS));
	g_assert_cmpuint(a.queued, ==, 0);
	g_assert_cmpuint(a.queued_bytes, ==, 0);
	admit_clear(&a);
}

static void test_wait_beyond_deadline_is_refused(void)
{
	struct admit a;
	struct admit_req r[100] = { 0 };
	struct admit_req short_deadline = { .rank = TOP, .deadline_us = 5 * US_PER_MS };
	u32 taken = 0;

	setup(&a, scenario_ranks, 2);
	for (u32 i = 0; i < 100; i++) {
		r[i].deadline_us = 30 * US_PER_S;
		taken += !admit_offer(&a, &r[i], 1);
		admit_next(&a, 1);
	}
	g_assert_cmpuint(taken, ==, 100);
	g_assert_cmpint(admit_offer(&a, &short_deadline, 1), ==, -CTR_QUEUE_WAIT);
	g_assert_cmpint(short_deadline.state, ==, ADMIT_NEW);
	admit_clear(&a);
}

static void test_full_memory_evicts_lowest_worth(void)
{
	struct admit a;
	struct admit_req busy[SLOTS] = { 0 };
	struct admit_req low[16] = { 0 };
	struct admit_req top = { .rank = TOP, .deadline_us = US_PER_S, .bytes = 3 << 20 };
	struct admit_req huge = { .rank = TOP, .deadline_us = US_PER_S, .bytes = 15 << 20 };

	setup(&a, scenario_ranks, 2);
	for (u32 i = 0; i < SLOTS; i++) {
		busy[i].deadline_us = US_PER_S;
		admit_offer(&a, &busy[i], 1);
		admit_next(&a, 1);
	}
	for (u32 i = 0; i < 16; i++) {
		low[i] = (struct admit_req){ .rank = LOW, .deadline_us = US_PER_S };
		low[i].bytes = 1 << 20;
		g_assert_cmpint(admit_offer(&a, &low[i], 1), ==, 0);
	}
	g_assert_cmpint(admit_offer(&a, &top, 2), ==, 0);
	for (u32 i = 0; i < 3; i++) {
		g_assert_true(admit_expired(&a, 2) == &low[15 - i]);
		g_assert_cmpint(low[15 - i].reason, ==, CTR_EVICTED);
	}
	g_assert_null(admit_expired(&a, 2));
	/* The low rank keeps its floor of the memory. The rest is too small: nothing is evicted. */
	g_assert_cmpint(admit_offer(&a, &huge, 2), ==, -CTR_QUEUE_MEMORY);
	g_assert_null(admit_expired(&a, 2));
	g_assert_cmpuint(a.queued, ==, 14);
	admit_clear(&a);
}

/* Differential test: without floors, requests start in the order of a sorted list. */
static gint by_worth(gconstpointer x, gconstpointer y, gpointer ranks)
{
	const struct admit_req *a = x;
	const struct admit_req *b = y;
	const struct admit_rank *r = ranks;

	if (r[a->rank].worth != r[b->rank].worth)
		return r[a->rank].worth > r[b->rank].worth ? -1 : 1;
	return a->queued_us < b->queued_us ? -1 : 1;
}

struct model {
	struct admit a;
	struct admit_rank *ranks;
	GQueue waiting; /* the sorted list */
	GQueue given_up; /* until admit_expired returns them */
	GPtrArray *running;
	struct rng rng;
	u64 now_us;
};

static void model_offer(struct model *m)
{
	u64 remaining = rng_below(&m->rng, 400 * US_PER_MS);
	struct admit_req *r = request(rng_below(&m->rng, 4), m->now_us + remaining, 1000);

	if (admit_offer(&m->a, r, m->now_us))
		g_free(r);
	else
		g_queue_insert_sorted(&m->waiting, r, by_worth, m->ranks);
}

/* Returns when R has to start: a call of its rank takes the last eighth of its time, or more. */
static u64 model_last_start_us(const struct model *m, const struct admit_req *r)
{
	u64 all_us = r->deadline_us - r->queued_us;
	u64 service = m->a.queues[r->rank].smoothed_work_us;

	return r->deadline_us - MIN(service, all_us - all_us / 8);
}

/* Removes the first requests if the queue gave them up: each had to be too late to end. */
static void model_give_up(struct model *m)
{
	struct admit_req *r;

	while ((r = g_queue_peek_head(&m->waiting)) && r->state == ADMIT_GIVEN_UP) {
		g_assert_cmpuint(model_last_start_us(m, r), <, m->now_us);
		g_queue_push_tail(&m->given_up, g_queue_pop_head(&m->waiting));
	}
}

static void model_expire(struct model *m)
{
	struct admit_req *r;

	while ((r = admit_expired(&m->a, m->now_us))) {
		u64 target = m->ranks[r->rank].target_us;
		u64 service = m->a.queues[r->rank].smoothed_work_us;
		u64 wait;

		if (m->given_up.length) {
			g_assert_true(g_queue_pop_head(&m->given_up) == r);
			g_free(r);
			continue;
		}

		/* The duration of the call itself is subtracted from its target. */
		wait = target - MIN(service ? service : admit_service_us(&m->a), target / 2);
		g_assert_cmpuint(MIN(model_last_start_us(m, r), r->queued_us + wait), <=,
				 m->now_us);
		g_assert_true(g_queue_remove(&m->waiting, r));
		g_free(r);
	}
	for (GList *l = m->waiting.head; l; l = l->next)
		g_assert_cmpuint(((struct admit_req *)l->data)->deadline_us, >, m->now_us);
}

static void model_cancel_one_of(struct model *m, GQueue *list)
{
	struct admit_req *r;

	if (!list->length)
		return;
	r = g_queue_pop_nth(list, rng_below(&m->rng, list->length));
	g_assert_true(admit_cancel(&m->a, r));
	g_assert_cmpint(r->state, ==, ADMIT_LEFT);
	g_assert_false(admit_cancel(&m->a, r));
	g_free(r);
}

/* Also of those that were given up and not returned yet, and not of those that run. */
static void model_cancel(struct model *m)
{
	model_cancel_one_of(m, &m->waiting);
	model_cancel_one_of(m, &m->given_up);
	if (m->running->len)
		g_assert_false(admit_cancel(&m->a, g_ptr_array_index(m->running, 0)));
}

/* Free slots are reserved only for ranks of higher worth, and never more than half of the limit. */
static void assert_reserved_slots(const struct model *m)
{
	const struct admit_req *first = g_queue_peek_head((GQueue *)&m->waiting);
	u32 most = 0;

	if (!first || m->running->len >= m->a.limit)
		return;
	for (u32 i = 0; i < 4; i++)
		most = MAX(most, m->ranks[i].worth);
	g_assert_cmpuint(m->ranks[first->rank].worth, <, most);
	g_assert_cmpuint(m->running->len, >=, m->a.limit - m->a.limit / 2);
}

static void model_start(struct model *m)
{
	struct admit_req *r;

	while ((r = admit_next(&m->a, m->now_us))) {
		model_give_up(m);
		g_assert_cmpuint(model_last_start_us(m, r), >=, m->now_us);
		g_assert_true(g_queue_pop_head(&m->waiting) == r);
		g_ptr_array_add(m->running, r);
		g_assert_cmpuint(m->running->len, <=, SLOTS);
	}
	model_give_up(m);
	assert_reserved_slots(m);
}

static void model_end(struct model *m)
{
	struct admit_req *r;

	if (!m->running->len)
		return;
	r = g_ptr_array_steal_index_fast(m->running, rng_below(&m->rng, m->running->len));
	admit_done(&m->a, r, true, m->now_us);
	g_free(r);
}

static void test_order_matches_sorted_list(void)
{
	for (u64 seed = 1; seed <= 20; seed++) {
		struct admit_rank ranks[4];
		struct model m = { .ranks = ranks, .rng = { seed }, .now_us = 1 };

		for (u32 i = 0; i < 4; i++)
			ranks[i] = (struct admit_rank){ rng_below(&m.rng, 3), 300 * US_PER_MS, 0 };
		setup(&m.a, ranks, 4);
		m.running = g_ptr_array_new_with_free_func(g_free);
		for (u32 step = 0; step < 5000; step++) {
			u32 what = rng_below(&m.rng, 100);

			m.now_us += 1 + rng_below(&m.rng, 3 * US_PER_MS);
			model_expire(&m);
			if (what < 55)
				model_offer(&m);
			else if (what < 95)
				model_end(&m);
			else
				model_cancel(&m);
			model_start(&m);
			g_assert_cmpuint(m.a.queued, ==, m.waiting.length);
			g_assert_cmpuint(m.a.queued_bytes, ==, m.waiting.length * 1000);
		}
		g_ptr_array_unref(m.running);
		g_queue_clear_full(&m.waiting, g_free);
		g_queue_clear_full(&m.given_up, g_free);
		admit_clear(&m.a);
	}
}

/* Offers a call of RANK and starts all calls that may start. Returns whether R runs. */
static bool runs_at_once(struct admit *a, struct admit_req *r, u32 rank, u64 now_us)
{
	*r = (struct admit_req){ .rank = rank, .deadline_us = now_us + 30 * US_PER_S };
	if (admit_offer(a, r, now_us))
		return false;
	while (admit_next(a, now_us))
		;
	return r->state == ADMIT_RUNNING;
}

/*
 * Short urgent calls among a flood of long ones: the slots that the short calls used recently stay
 * reserved for the next one, and are released when no more of them come.
 */
static void test_short_urgent_calls_among_long_ones(void)
{
	struct admit a;
	struct admit_req urgent = { 0 };
	struct admit_req next = { 0 };
	struct admit_req low[2 * SLOTS] = { 0 };
	u64 now = US_PER_S;
	u32 running = 0;

	setup(&a, scenario_ranks, 2);
	runs_at_once(&a, &urgent, TOP, now);
	g_assert_cmpint(urgent.state, ==, ADMIT_RUNNING);
	now += 200 * US_PER_MS;
	admit_done(&a, &urgent, true, now);
	for (u32 i = 0; i < SLOTS; i++)
		running += runs_at_once(&a, &low[i], LOW, now);
	g_assert_cmpuint(running, <, SLOTS);
	runs_at_once(&a, &next, TOP, now);
	g_assert_cmpint(next.state, ==, ADMIT_RUNNING);
	now += 20 * US_PER_MS;
	admit_done(&a, &next, true, now);
	/* A second after the last urgent call no slot is reserved. */
	now += US_PER_S;
	admit_expired(&a, now);
	for (u32 i = SLOTS; i < 2 * SLOTS && a.running < SLOTS; i++)
		runs_at_once(&a, &low[i], LOW, now);
	g_assert_cmpuint(a.running, ==, SLOTS);
	admit_clear(&a);
}

static void test_errors_do_not_count_as_fast_calls(void)
{
	struct admit a;
	u64 now = 1;

	setup(&a, scenario_ranks, 2);
	for (u32 i = 0; i < 1000; i++) {
		struct admit_req r = { .deadline_us = 100 * US_PER_S };

		admit_offer(&a, &r, now);
		g_assert_true(admit_next(&a, now) == &r);
		now += 50;
		admit_done(&a, &r, false, now);
	}
	g_assert_cmpuint(admit_service_us(&a), ==, 10 * US_PER_MS);
	admit_clear(&a);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/admit/exact-slots", test_exact_slots);
	g_test_add_func("/admit/expiry-and-cancellation",
			test_expired_and_cancelled_requests_do_not_run);
	g_test_add_func("/admit/wait-beyond-deadline", test_wait_beyond_deadline_is_refused);
	g_test_add_func("/admit/memory-evicts", test_full_memory_evicts_lowest_worth);
	g_test_add_func("/admit/sorted-list", test_order_matches_sorted_list);
	g_test_add_func("/admit/short-among-long", test_short_urgent_calls_among_long_ones);
	g_test_add_func("/admit/errors-not-fast", test_errors_do_not_count_as_fast_calls);
	return g_test_run();
}
