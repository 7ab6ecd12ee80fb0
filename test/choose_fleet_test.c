/* Scenarios with all decision modules, against the naive policies with the same calls. */
#include "test/fakes/fleet.h"

static u64 p99(const struct fleet_result *r, u32 rank)
{
	return fleet_percentile(&r->ranks[rank], 990);
}

/* Returns the percentage of attempts that were sent to target 0. */
static u64 first_target_percent(const struct fleet_result *r)
{
	u64 all = 0;
	u64 first = 0;

	for (u32 rank = 0; rank < 2; rank++) {
		first += r->ranks[rank].sent[0];
		for (u32 i = 0; i < FLEET_TARGETS_MAX; i++)
			all += r->ranks[rank].sent[i];
	}
	return first * 100 / MAX(all, 1);
}

static void run(enum fleet_policy policy, void (*change)(struct fleet_plan *plan),
		struct fleet_result *r)
{
	struct fleet_plan plan = fleet_sightings_plan(policy, 11, 50);

	change(&plan);
	fleet_run(&plan, r);
	g_assert_cmpuint(r->running_max, <=, plan.slots);
}

static void straggler(struct fleet_plan *plan)
{
	plan->straggler_percent = 400;
}

static void test_straggler(void)
{
	struct fleet_result naive, ours;

	run(FLEET_RANDOM, straggler, &naive);
	run(FLEET_OURS, straggler, &ours);
	for (u32 rank = 0; rank < 2; rank++)
		g_assert_cmpuint(p99(&ours, rank) * 2, <=, p99(&naive, rank));
	fleet_result_clear(&naive);
	fleet_result_clear(&ours);
}

static void recovering(struct fleet_plan *plan)
{
	plan->straggler_percent = 2000;
	plan->straggler_us = 3 * US_PER_S;
	plan->sent_after_us = 7 * US_PER_S;
}

static void test_recovered_straggler_gets_its_share(void)
{
	struct fleet_result ours;

	run(FLEET_OURS, recovering, &ours);
	g_assert_cmpuint(first_target_percent(&ours), >=, 100 / 5 / 2);
	fleet_result_clear(&ours);
}

static void shifting(struct fleet_plan *plan)
{
	plan->shift_us = 100 * US_PER_MS;
	plan->shift_percent = 400;
}

static void test_shifting_load(void)
{
	struct fleet_result naive, ours;

	run(FLEET_RANDOM, shifting, &naive);
	run(FLEET_OURS, shifting, &ours);
	for (u32 rank = 0; rank < 2; rank++)
		g_assert_cmpuint(p99(&ours, rank) * 2, <=, p99(&naive, rank));
	fleet_result_clear(&naive);
	fleet_result_clear(&ours);
}

static void failing_fast(struct fleet_plan *plan)
{
	plan->is_failing_fast = true;
}

/* Naive least load prefers the upstream that is always idle because it fails its calls at once. */
static void test_fail_fast_attracts_no_work(void)
{
	struct fleet_result naive, ours;

	run(FLEET_POLLED, failing_fast, &naive);
	run(FLEET_OURS, failing_fast, &ours);
	g_assert_cmpuint(first_target_percent(&naive), >, 100 / 5);
	g_assert_cmpuint(first_target_percent(&ours), <, 100 / 5 / 4);
	fleet_result_clear(&naive);
	fleet_result_clear(&ours);
}

static void lying(struct fleet_plan *plan)
{
	plan->straggler_percent = 400;
	plan->is_lying = true;
}

static void test_lying_load_endpoint(void)
{
	struct fleet_result naive, ours;

	run(FLEET_POLLED, lying, &naive);
	run(FLEET_OURS, lying, &ours);
	for (u32 rank = 0; rank < 2; rank++) {
		g_assert_cmpuint(naive.ranks[rank].in_target * 2, <, naive.ranks[rank].arrived);
		g_assert_cmpuint(ours.ranks[rank].in_target * 100ULL, >=,
				 ours.ranks[rank].arrived * 99ULL);
	}
	fleet_result_clear(&naive);
	fleet_result_clear(&ours);
}

static void cold(struct fleet_plan *plan)
{
	plan->cold_percent = 2000;
	plan->end_us = plan->event_us + 4 * US_PER_S;
}

static void warmed_up(struct fleet_plan *plan)
{
	plan->cold_percent = 2000;
	plan->sent_after_us = 7 * US_PER_S;
}

static void test_cold_start_ramps_up(void)
{
	struct fleet_result naive, ours;

	run(FLEET_RANDOM, cold, &naive);
	run(FLEET_OURS, cold, &ours);
	g_assert_cmpuint(first_target_percent(&ours), <, first_target_percent(&naive) / 2);
	g_assert_cmpuint(ours.ranks[0].sent[0] + ours.ranks[1].sent[0], >, 0);
	for (u32 rank = 0; rank < 2; rank++)
		g_assert_cmpuint(p99(&ours, rank) * 2, <=, p99(&naive, rank));
	fleet_result_clear(&naive);
	fleet_result_clear(&ours);
	run(FLEET_OURS, warmed_up, &ours);
	g_assert_cmpuint(first_target_percent(&ours), >=, 100 / 5 / 2);
	fleet_result_clear(&ours);
}

static void low_flood(struct fleet_plan *plan)
{
	plan->ranks[1].flood_per_s = 12000;
}

static void urgent_flood(struct fleet_plan *plan)
{
	plan->ranks[0].flood_per_s = 12000;
}

static void both_floods(struct fleet_plan *plan)
{
	low_flood(plan);
	urgent_flood(plan);
}

static void assert_floor(const struct fleet_result *r, u32 rank)
{
	g_assert_cmpuint(r->ranks[rank].slot_time_us * 10, >=, r->slot_time_us);
}

static void test_floods(void)
{
	struct fleet_result naive, ours;

	run(FLEET_POLLED, low_flood, &naive);
	run(FLEET_OURS, low_flood, &ours);
	g_assert_cmpuint(naive.ranks[0].in_target * 100ULL, <, naive.ranks[0].arrived * 99ULL);
	g_assert_cmpuint(ours.ranks[0].in_target * 100ULL, >=, ours.ranks[0].arrived * 99ULL);
	assert_floor(&ours, 1);
	fleet_result_clear(&naive);
	fleet_result_clear(&ours);
	run(FLEET_OURS, urgent_flood, &ours);
	assert_floor(&ours, 1);
	/* Shedding at the source leaves no slots idle. */
	g_assert_cmpuint(ours.slot_time_us * 100, >=, 60ULL * 10 * US_PER_S * 95);
	fleet_result_clear(&ours);
	run(FLEET_OURS, both_floods, &ours);
	assert_floor(&ours, 1);
	g_assert_cmpuint(ours.slot_time_us * 100, >=, 60ULL * 10 * US_PER_S * 95);
	fleet_result_clear(&ours);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/choose/straggler", test_straggler);
	g_test_add_func("/choose/recovered", test_recovered_straggler_gets_its_share);
	g_test_add_func("/choose/shifting", test_shifting_load);
	g_test_add_func("/choose/fail-fast", test_fail_fast_attracts_no_work);
	g_test_add_func("/choose/lying-load", test_lying_load_endpoint);
	g_test_add_func("/choose/cold-start", test_cold_start_ramps_up);
	g_test_add_func("/choose/floods", test_floods);
	return g_test_run();
}
