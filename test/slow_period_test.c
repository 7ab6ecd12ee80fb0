/* How long a VM stays slow. */
#include "node/slow_period.h"

#include <glib.h>

#define START_US (10 * US_PER_S)
#define SLOW_PERCENT 700
#define USUAL_PERCENT 100

/* Spells of these lengths, one after the other; returns when the last one ended. */
static u64 play(struct slow_period *s, const u64 *lengths_ms, u32 n)
{
	u64 now = START_US;

	for (u32 i = 0; i < n; i++) {
		slow_period_update(s, SLOW_PERCENT, now);
		now += lengths_ms[i] * US_PER_MS;
		slow_period_update(s, USUAL_PERCENT, now);
		now += US_PER_S;
	}
	return now;
}

static void test_rest_of_a_spell(void)
{
	static const u64 lengths_ms[] = { 500, 500, 1000 };
	struct slow_period s = { 0 };
	u64 now = play(&s, lengths_ms, G_N_ELEMENTS(lengths_ms));

	g_assert_cmpuint(slow_period_remaining_us(&s, now), ==, 0);
	slow_period_update(&s, SLOW_PERCENT, now);
	g_assert_cmpuint(slow_period_remaining_us(&s, now), ==, 2000 * US_PER_MS / 3);
	g_assert_cmpuint(slow_period_remaining_us(&s, now + 400 * US_PER_MS), ==,
			 800 * US_PER_MS / 3);
	g_assert_cmpuint(slow_period_remaining_us(&s, now + 600 * US_PER_MS), ==, 400 * US_PER_MS);
	/* Told again, it is the same spell. */
	slow_period_update(&s, SLOW_PERCENT + 1, now + 600 * US_PER_MS);
	g_assert_cmpuint(slow_period_remaining_us(&s, now + 600 * US_PER_MS), ==, 400 * US_PER_MS);
}

/* What lasts longer than any spell before may last as long again. */
static void test_longer_than_known(void)
{
	static const u64 lengths_ms[] = { 500 };
	struct slow_period s = { 0 };
	u64 now = play(&s, lengths_ms, G_N_ELEMENTS(lengths_ms));

	slow_period_update(&s, SLOW_PERCENT, now);
	g_assert_cmpuint(slow_period_remaining_us(&s, now + 3 * US_PER_S), ==, 3 * US_PER_S);
}

static void test_old_spells_are_forgotten(void)
{
	u64 lengths_ms[2 * SLOW_PERIOD_HISTORY];
	struct slow_period s = { 0 };
	u64 now;

	for (u32 i = 0; i < G_N_ELEMENTS(lengths_ms); i++)
		lengths_ms[i] = i < SLOW_PERIOD_HISTORY ? 5000 : 200;
	now = play(&s, lengths_ms, G_N_ELEMENTS(lengths_ms));
	slow_period_update(&s, SLOW_PERCENT, now);
	g_assert_cmpuint(slow_period_remaining_us(&s, now), ==, 200 * US_PER_MS);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/spell/rest", test_rest_of_a_spell);
	g_test_add_func("/spell/longer-than-known", test_longer_than_known);
	g_test_add_func("/spell/forgotten", test_old_spells_are_forgotten);
	return g_test_run();
}
