/* How often an upstream is asked for its speed. */
#include "node/pace.h"

#include <glib.h>

#define LEAST_US (20 * US_PER_MS)

static u64 interval_at(u64 gap_us, u32 calls)
{
	struct pace p = { .interval_min_us = LEAST_US };
	u64 now = US_PER_S;

	for (u32 i = 0; i < calls; i++) {
		pace_call(&p, now);
		now += gap_us;
	}
	return pace_interval_us(&p);
}

/* Questions follow the calls, between the budget's rate and the time that a held call may wait. */
static void test_follows_the_calls(void)
{
	g_assert_cmpuint(interval_at(US_PER_MS, 100), ==, LEAST_US);
	g_assert_cmpuint(interval_at(100 * US_PER_MS, 100) / US_PER_MS, >=, 49);
	g_assert_cmpuint(interval_at(100 * US_PER_MS, 100) / US_PER_MS, <=, 50);
	g_assert_cmpuint(interval_at(20 * US_PER_S, 100), ==, PACE_INTERVAL_MAX_US);
}

/* A flood after a pause is followed within some calls. */
static void test_flood_after_a_pause(void)
{
	struct pace p = { .interval_min_us = LEAST_US };
	u64 now = 100 * US_PER_S;

	pace_call(&p, now);
	for (u32 i = 0; i < 16; i++)
		pace_call(&p, now += US_PER_MS);
	g_assert_cmpuint(pace_interval_us(&p), ==, LEAST_US);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/pace/follows-the-calls", test_follows_the_calls);
	g_test_add_func("/pace/flood-after-a-pause", test_flood_after_a_pause);
	return g_test_run();
}
