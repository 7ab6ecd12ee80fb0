/* Admission: calls that could not end before their deadline. */
#include "node/admit.h"

#define SERVICE_US (50 * US_PER_MS)
#define START_US US_PER_S
#define MEASURED_CALLS 64

static const struct admit_rank ranks[] = {
	{ .worth = 1, .target_us = 10 * US_PER_S, .floor_percent = 10 }
};

/* Runs calls of SERVICE_US one after the other from *NOW_US on, so that the duration is measured.
 */
static void run_calls(struct admit *a, u32 calls, u64 service_us, u64 *now_us)
{
	for (u32 i = 0; i < calls; i++) {
		struct admit_req r = { .deadline_us = *now_us + 60 * US_PER_S };

		g_assert_cmpint(admit_offer(a, &r, *now_us), ==, 0);
		g_assert_true(admit_next(a, *now_us) == &r);
		*now_us += service_us;
		admit_done(a, &r, true, *now_us);
	}
}

static u64 setup(struct admit *a)
{
	u64 now_us = START_US;

	admit_init(a);
	admit_set_slots(a, 1);
	admit_set_ranks(a, ranks, 1);
	run_calls(a, MEASURED_CALLS, SERVICE_US, &now_us);
	return now_us;
}

/* Occupies the slot with BUSY. */
static void occupy(struct admit *a, struct admit_req *busy, u64 now_us)
{
	*busy = (struct admit_req){ .deadline_us = now_us + 60 * US_PER_S };
	g_assert_cmpint(admit_offer(a, busy, now_us), ==, 0);
	g_assert_true(admit_next(a, now_us) == busy);
}

/* Guards against: a queued call starts when it cannot end before its deadline: it runs in vain. */
static void test_started_too_late_to_end(void)
{
	struct admit a;
	struct admit_req busy;
	u64 now_us = setup(&a);
	struct admit_req r = { .deadline_us = now_us + 4 * SERVICE_US };

	occupy(&a, &busy, now_us);
	g_assert_cmpint(admit_offer(&a, &r, now_us), ==, 0);
	g_assert_null(admit_expired(&a, now_us + 2 * SERVICE_US));
	g_assert_true(admit_expired(&a, now_us + 3 * SERVICE_US + US_PER_MS) == &r);
	g_assert_cmpint(r.reason, ==, CTR_QUEUE_WAIT);
	g_assert_cmpint(r.state, ==, ADMIT_LEFT);
	admit_clear(&a);
}

/* Guards against: a call is queued although its wait leaves no time to run before its deadline. */
static void test_queued_though_too_late(void)
{
	struct admit a;
	struct admit_req busy, ahead, r;
	u64 now_us = setup(&a);

	occupy(&a, &busy, now_us);
	ahead = (struct admit_req){ .deadline_us = now_us + 60 * US_PER_S };
	g_assert_cmpint(admit_offer(&a, &ahead, now_us), ==, 0);
	r = (struct admit_req){ .deadline_us = now_us + 2 * SERVICE_US + SERVICE_US / 2 };
	g_assert_cmpint(admit_offer(&a, &r, now_us), ==, -CTR_QUEUE_WAIT);
	admit_clear(&a);
}

/* Guards against: a call whose rank turned slower while it waited starts too late to end. */
static void test_slower_while_it_waited(void)
{
	struct admit a;
	struct admit_req busy;
	u64 now_us = setup(&a);
	u64 slow_us = 20 * SERVICE_US;
	struct admit_req r = { .deadline_us = now_us + slow_us + 2 * SERVICE_US };

	occupy(&a, &busy, now_us);
	g_assert_cmpint(admit_offer(&a, &r, now_us), ==, 0);
	admit_done(&a, &busy, true, now_us + slow_us);
	g_assert_null(admit_next(&a, now_us + slow_us));
	g_assert_true(admit_expired(&a, now_us + slow_us) == &r);
	g_assert_cmpint(r.reason, ==, CTR_QUEUE_WAIT);
	admit_clear(&a);
}

/* Guards against: a free slot stays unused for good once calls seemed longer than their deadlines.
 */
static void test_free_slot_takes_short_deadline(void)
{
	struct admit a;
	u64 now_us = setup(&a);
	struct admit_req r = { .deadline_us = now_us + SERVICE_US / 2 };

	g_assert_cmpint(admit_offer(&a, &r, now_us), ==, 0);
	g_assert_null(admit_expired(&a, now_us));
	g_assert_true(admit_next(&a, now_us) == &r);
	admit_clear(&a);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/admit-deadline/started-too-late-to-end", test_started_too_late_to_end);
	g_test_add_func("/admit-deadline/queued-though-too-late", test_queued_though_too_late);
	g_test_add_func("/admit-deadline/slower-while-it-waited", test_slower_while_it_waited);
	g_test_add_func("/admit-deadline/free-slot-takes-short-deadline",
			test_free_slot_takes_short_deadline);
	return g_test_run();
}
