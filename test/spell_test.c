/* How long a VM stays slow. */
#include "node/spell.h"

#include <glib.h>

#define START_US (10 * US_PER_S)
#define SLOW_PERCENT 700
#define USUAL_PERCENT 100

/* Spells of these lengths, one after the other; returns when the last one ended. */
static u64 play(struct spell *s, const u64 *lengths_ms, u32 n)
{
	u64 now = START_US;

	for (u32 i = 0; i < n; i++) {
		spell_note(s, SLOW_PERCENT, now);
		now += lengths_ms[i] * US_PER_MS;
		spell_note(s, USUAL_PERCENT, now);
		now += US_PER_S;
	}
	return now;
}

static void test_rest_of_a_spell(void)
{
	static const u64 lengths_ms[] = { 500, 500, 1000 };
	struct spell s = { 0 };
	u64 now = play(&s, lengths_ms, G_N_ELEMENTS(lengths_ms));

	g_assert_cmpuint(spell_left_us(&s, now), ==, 0);
	spell_note(&s, SLOW_PERCENT, now);
	g_assert_cmpuint(spell_left_us(&s, now), ==, 2000 * US_PER_MS / 3);
	g_assert_cmpuint(spell_left_us(&s, now + 400 * US_PER_MS), ==, 800 * US_PER_MS / 3);
	g_assert_cmpuint(spell_left_us(&s, now + 600 * US_PER_MS), ==, 400 * US_PER_MS);
	/* Told again, it is the same spell. */
	spell_note(&s, SLOW_PERCENT + 1, now + 600 * US_PER_MS);
	g_assert_cmpuint(spell_left_us(&s, now + 600 * US_PER_MS), ==, 400 * US_PER_MS);
}

/* What lasts longer than any spell before may last as long again. */
static void test_longer_than_known(void)
{
	static const u64 lengths_ms[] = { 500 };
	struct spell s = { 0 };
	u64 now = play(&s, lengths_ms, G_N_ELEMENTS(lengths_ms));

	spell_note(&s, SLOW_PERCENT, now);
	g_assert_cmpuint(spell_left_us(&s, now + 3 * US_PER_S), ==, 3 * US_PER_S);
}

static void test_old_spells_are_forgotten(void)
{
	u64 lengths_ms[2 * SPELL_LENGTHS];
	struct spell s = { 0 };
	u64 now;

	for (u32 i = 0; i < G_N_ELEMENTS(lengths_ms); i++)
		lengths_ms[i] = i < SPELL_LENGTHS ? 5000 : 200;
	now = play(&s, lengths_ms, G_N_ELEMENTS(lengths_ms));
	spell_note(&s, SLOW_PERCENT, now);
	g_assert_cmpuint(spell_left_us(&s, now), ==, 200 * US_PER_MS);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/spell/rest", test_rest_of_a_spell);
	g_test_add_func("/spell/longer-than-known", test_longer_than_known);
	g_test_add_func("/spell/forgotten", test_old_spells_are_forgotten);
	return g_test_run();
}
