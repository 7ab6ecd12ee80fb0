/* Prediction of how long a VM stays slow. */
#include "node/slow_period.h"

#include <glib.h>

#define START_US (10 * US_PER_S)
#define SLOW_PERCENT 700
#define USUAL_PERCENT 100

/* Plays N slow periods of these durations, 1 s apart. Returns the time after the last pause. */
static u64 play_periods(struct slow_period *p, const u64 *durations_ms, u32 n)
{
	u64 now = START_US;

	for (u32 i = 0; i < n; i++) {
		slow_period_update(p, SLOW_PERCENT, now);
		now += durations_ms[i] * US_PER_MS;
		slow_period_update(p, USUAL_PERCENT, now);
		now += US_PER_S;
	}
	return now;
}

static void test_remaining_time(void)
{
	static const u64 durations_ms[] = { 500, 500, 1000 };
	struct slow_period p = { 0 };
	u64 now = play_periods(&p, durations_ms, G_N_ELEMENTS(durations_ms));

	g_assert_cmpuint(slow_period_remaining_us(&p, now), ==, 0);
	slow_period_update(&p, SLOW_PERCENT, now);
	g_assert_cmpuint(slow_period_remaining_us(&p, now), ==, 2000 * US_PER_MS / 3);
	g_assert_cmpuint(slow_period_remaining_us(&p, now + 400 * US_PER_MS), ==,
			 800 * US_PER_MS / 3);
	g_assert_cmpuint(slow_period_remaining_us(&p, now + 600 * US_PER_MS), ==, 400 * US_PER_MS);
	/* Another report of slowness does not start a new period. */
	slow_period_update(&p, SLOW_PERCENT + 1, now + 600 * US_PER_MS);
	g_assert_cmpuint(slow_period_remaining_us(&p, now + 600 * US_PER_MS), ==, 400 * US_PER_MS);
}

/* A period longer than all past ones is expected to last as long again. */
static void test_longer_than_all_past_periods(void)
{
	static const u64 durations_ms[] = { 500 };
	struct slow_period p = { 0 };
	u64 now = play_periods(&p, durations_ms, G_N_ELEMENTS(durations_ms));

	slow_period_update(&p, SLOW_PERCENT, now);
	g_assert_cmpuint(slow_period_remaining_us(&p, now + 3 * US_PER_S), ==, 3 * US_PER_S);
}

static void test_old_periods_are_dropped(void)
{
	u64 durations_ms[2 * SLOW_PERIOD_HISTORY];
	struct slow_period p = { 0 };
	u64 now;

	for (u32 i = 0; i < G_N_ELEMENTS(durations_ms); i++)
		durations_ms[i] = i < SLOW_PERIOD_HISTORY ? 5000 : 200;
	now = play_periods(&p, durations_ms, G_N_ELEMENTS(durations_ms));
	slow_period_update(&p, SLOW_PERCENT, now);
	g_assert_cmpuint(slow_period_remaining_us(&p, now), ==, 200 * US_PER_MS);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/slow-period/remaining-time", test_remaining_time);
	g_test_add_func("/slow-period/longer-than-past", test_longer_than_all_past_periods);
	g_test_add_func("/slow-period/old-periods", test_old_periods_are_dropped);
	return g_test_run();
}
