/* Admission where calls vary or the VM is slow: which calls wait, are deferred or refused. */
#include "node/admit.h"

#include <glib.h>

#define CALL_US (100 * US_PER_MS)
#define SLOW_PERCENT 700

/*
 * A flood of calls whose durations vary. Where the upstream reports the slowness of its VM, a call
 * is queued only if nine in ten calls of its rank would still meet the target.
 */
static void test_wait_leaves_time_for_long_calls(void)
{
	const struct admit_rank rank = { .worth = 10, .target_us = 250 * US_PER_MS };
	u64 waits[2] = { 0 };

	for (u32 varies = 0; varies < 2; varies++) {
		struct admit_req calls[200] = { 0 };
		struct admit_req waiting[64] = { 0 };
		struct admit a;
		u64 now = 0;

		admit_init(&a);
		admit_set_slots(&a, 1);
		admit_set_ranks(&a, &rank, 1);
		admit_set_slowness(&a, 100, now);
		for (u32 i = 0; i < G_N_ELEMENTS(calls); i++) {
			i64 more = varies ? (i % 2 ? 40 : -40) : 0;

			calls[i].deadline_us = UINT64_MAX;
			g_assert_cmpint(admit_offer(&a, &calls[i], now), ==, 0);
			g_assert_true(admit_next(&a, now) == &calls[i]);
			now += (u64)(100 + more) * US_PER_MS;
			admit_done(&a, &calls[i], true, now);
		}
		for (u32 i = 0; i < G_N_ELEMENTS(waiting); i++) {
			waiting[i].deadline_us = UINT64_MAX;
			if (admit_offer(&a, &waiting[i], now))
				break;
			/* The first one starts at once and is not counted. */
			waits[varies] += !admit_next(&a, now);
		}
		admit_clear(&a);
	}
	/* One call can wait when all calls take 100 ms, and none when durations vary. */
	g_assert_cmpuint(waits[0], ==, 1);
	g_assert_cmpuint(waits[1], ==, 0);
}

/* Sets up an upstream whose calls take CALL_US and whose VM had four slow periods of 400 ms. */
static u64 noisy_setup(struct admit *a, const struct admit_rank *rank)
{
	u64 now = US_PER_S;

	admit_init(a);
	admit_set_slots(a, 4);
	admit_set_ranks(a, rank, 1);
	for (u32 i = 0; i < 4; i++) {
		struct admit_req r = { .deadline_us = UINT64_MAX };

		admit_set_slowness(a, 100, now);
		g_assert_cmpint(admit_offer(a, &r, now), ==, 0);
		g_assert_true(admit_next(a, now) == &r);
		now += CALL_US;
		admit_done(a, &r, true, now);
		admit_set_slowness(a, SLOW_PERCENT, now);
		now += 400 * US_PER_MS;
		admit_set_slowness(a, 100, now);
	}
	return now;
}

/*
 * Noise by a neighbour. A call that starts while the VM is slow takes seven times as long, and
 * occupies its slot for that time, though the VM soon returns to its usual speed.
 */
static void test_slow_vm_defers_calls(void)
{
	const struct admit_rank rank = { .worth = 10, .target_us = US_PER_S };
	struct admit_req r = { .deadline_us = UINT64_MAX };
	struct admit a;
	u64 now = noisy_setup(&a, &rank);

	admit_set_slowness(&a, SLOW_PERCENT, now);
	g_assert_cmpint(admit_offer(&a, &r, now), ==, 0);
	g_assert_null(admit_next(&a, now));
	g_assert_cmpuint(admit_wait_us(&a, 0), >=, 300 * US_PER_MS);
	now += 400 * US_PER_MS;
	admit_set_slowness(&a, 100, now);
	g_assert_true(admit_next(&a, now) == &r);
	/* Slow again while the call runs: the call keeps its speed, so its work is known. */
	admit_set_slowness(&a, SLOW_PERCENT, now + CALL_US / 2);
	admit_done(&a, &r, true, now + CALL_US);
	g_assert_cmpuint(r.work_us, ==, CALL_US);
	admit_clear(&a);
}

/* When slowness lasts, calls start: waiting for its end would take longer than a slow call. */
static void test_lasting_slowness_is_accepted(void)
{
	const struct admit_rank rank = { .worth = 10, .target_us = 60 * US_PER_S };
	struct admit_req r = { .deadline_us = UINT64_MAX };
	struct admit a;
	u64 now = noisy_setup(&a, &rank);

	admit_set_slowness(&a, SLOW_PERCENT, now);
	g_assert_cmpint(admit_offer(&a, &r, now), ==, 0);
	g_assert_null(admit_next(&a, now));
	now += SLOW_PERCENT / 100 * CALL_US;
	g_assert_true(admit_next(&a, now) == &r);
	now += SLOW_PERCENT / 100 * CALL_US;
	admit_done(&a, &r, true, now);
	g_assert_cmpuint(r.work_us, ==, CALL_US);
	admit_clear(&a);
}

/* A call that would miss its target here is refused if another upstream may take it. */
static void test_deferred_call_is_refused(void)
{
	const struct admit_rank rank = { .worth = 10, .target_us = 250 * US_PER_MS };
	struct admit_req refused = { .deadline_us = UINT64_MAX, .has_alternative = true };
	struct admit_req waits = { .deadline_us = UINT64_MAX, .has_alternative = true };
	struct admit a;
	u64 now = noisy_setup(&a, &rank);

	/* A call that waits for a slot when the VM becomes slow expires, too. */
	admit_set_slots(&a, 0);
	a.limit = 1;
	a.running = 1;
	g_assert_cmpint(admit_offer(&a, &waits, now), ==, 0);
	admit_set_slowness(&a, SLOW_PERCENT, now);
	g_assert_true(admit_expired(&a, now) == &waits);
	g_assert_cmpint(waits.reason, ==, CTR_QUEUE_WAIT);
	g_assert_cmpint(admit_offer(&a, &refused, now), ==, -CTR_QUEUE_WAIT);
	g_assert_true(admit_is_deferred(&a, 0));
	admit_clear(&a);
}

/*
 * The last upstream is overloaded and its VM becomes slow. Calls that will miss their target are
 * queued behind all others, so that new ones are in time once the VM has its usual speed.
 */
static void test_deferred_late_call_is_queued_last(void)
{
	const struct admit_rank ranks[] = {
		{ .worth = 10, .target_us = 250 * US_PER_MS },
		{ .worth = 0, .target_us = US_PER_S },
	};
	struct admit_req late = { .deadline_us = UINT64_MAX, .rank = 1 };
	struct admit_req fresh = { .deadline_us = UINT64_MAX };
	struct admit a;
	u64 now = noisy_setup(&a, ranks);

	admit_set_ranks(&a, ranks, 2);
	admit_set_slowness(&a, SLOW_PERCENT, now);
	g_assert_cmpint(admit_offer(&a, &late, now), ==, 0);
	g_assert_null(admit_next(&a, now));
	now += 380 * US_PER_MS;
	g_assert_cmpint(admit_offer(&a, &fresh, now), ==, 0);
	now += 20 * US_PER_MS;
	admit_set_slowness(&a, 100, now);
	g_assert_true(admit_next(&a, now) == &fresh);
	g_assert_true(admit_next(&a, now) == &late);
	admit_clear(&a);
}

/* A caller's retry whose target has nearly passed is late, a first attempt is not. */
static void test_late_retry(void)
{
	const struct admit_rank rank = { .worth = 10, .target_us = 250 * US_PER_MS };
	struct admit_req first = { .target_us = 250 * US_PER_MS };
	struct admit_req retry = { .target_us = 5 * US_PER_MS };
	struct admit a;

	admit_init(&a);
	admit_set_slots(&a, 4);
	admit_set_ranks(&a, &rank, 1);
	g_assert_false(admit_is_late(&a, &first));
	g_assert_true(admit_is_late(&a, &retry));
	admit_clear(&a);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/admit/wait-leaves-time-for-long-calls",
			test_wait_leaves_time_for_long_calls);
	g_test_add_func("/admit/slow-vm-defers-calls", test_slow_vm_defers_calls);
	g_test_add_func("/admit/lasting-slowness", test_lasting_slowness_is_accepted);
	g_test_add_func("/admit/deferred-call-is-refused", test_deferred_call_is_refused);
	g_test_add_func("/admit/deferred-late-call", test_deferred_late_call_is_queued_last);
	g_test_add_func("/admit/late-retry", test_late_retry);
	return g_test_run();
}
