/* Polling interval of an upstream's slowness. */
#include "node/pace.h"

#include <glib.h>

#define INTERVAL_MIN_US (20 * US_PER_MS)

static u64 interval_at(u64 gap_us, u32 calls)
{
	struct pace p = { .interval_min_us = INTERVAL_MIN_US };
	u64 now = US_PER_S;

	for (u32 i = 0; i < calls; i++) {
		pace_record_call(&p, now);
		now += gap_us;
	}
	return pace_interval_us(&p);
}

/*
 * The interval follows the call rate. It is bounded below by the poll budget, and above by the time
 * that a deferred call may wait.
 */
static void test_interval_follows_call_rate(void)
{
	g_assert_cmpuint(interval_at(US_PER_MS, 100), ==, INTERVAL_MIN_US);
	g_assert_cmpuint(interval_at(100 * US_PER_MS, 100) / US_PER_MS, >=, 49);
	g_assert_cmpuint(interval_at(100 * US_PER_MS, 100) / US_PER_MS, <=, 50);
	g_assert_cmpuint(interval_at(20 * US_PER_S, 100), ==, PACE_INTERVAL_MAX_US);
}

/* A flood after a pause brings the interval to its minimum within a few calls. */
static void test_flood_after_pause(void)
{
	struct pace p = { .interval_min_us = INTERVAL_MIN_US };
	u64 now = 100 * US_PER_S;

	pace_record_call(&p, now);
	for (u32 i = 0; i < 16; i++)
		pace_record_call(&p, now += US_PER_MS);
	g_assert_cmpuint(pace_interval_us(&p), ==, INTERVAL_MIN_US);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/pace/follows-call-rate", test_interval_follows_call_rate);
	g_test_add_func("/pace/flood-after-a-pause", test_flood_after_pause);
	return g_test_run();
}
