/* Admission in floods: targets, floors and the adaptive limit, in virtual time. */
#include "test/fakes/scenario.h"

#include <glib.h>

#define SLOTS SCENARIO_SLOTS
#define TOP SCENARIO_TOP
#define LOW SCENARIO_LOW

static void assert_floor(const struct scenario *s, u32 rank)
{
	u64 all = s->slot_time_us[TOP] + s->slot_time_us[LOW];

	g_assert_cmpuint(s->slot_time_us[rank] * 100, >=, all * scenario_ranks[rank].floor_percent);
}

static void assert_target(const struct scenario *s, u32 rank)
{
	g_assert_cmpuint(s->in_target[rank] * 100, >=, s->arrived[rank] * 99);
}

static void test_low_flood_keeps_the_urgent_target(void)
{
	struct scenario s;

	scenario_init(&s, 400, 5000);
	scenario_run(&s, 20 * US_PER_S);
	assert_target(&s, TOP);
	assert_floor(&s, LOW);
	g_assert_cmpuint(s.most_bytes, <=, ADMIT_QUEUE_MAX_BYTES);
	scenario_clear(&s);
}

static void test_urgent_flood_keeps_the_floor(void)
{
	struct scenario s;

	scenario_init(&s, 5000, 300);
	scenario_run(&s, 20 * US_PER_S);
	assert_floor(&s, LOW);
	assert_floor(&s, TOP);
	g_assert_cmpuint(s.slot_time_us[TOP], >, s.slot_time_us[LOW]);
	g_assert_cmpuint(s.most_bytes, <=, ADMIT_QUEUE_MAX_BYTES);
	scenario_clear(&s);
}

static void test_both_floods(void)
{
	struct scenario s;

	scenario_init(&s, 5000, 5000);
	scenario_run(&s, 20 * US_PER_S);
	assert_floor(&s, LOW);
	assert_floor(&s, TOP);
	g_assert_cmpuint(s.slot_time_us[TOP], >, 2 * s.slot_time_us[LOW]);
	g_assert_cmpuint(s.most_bytes, <=, ADMIT_QUEUE_MAX_BYTES);
	scenario_clear(&s);
}

/* Idle time must not earn the low rank credit for a burst that delays urgent calls. */
static void test_low_flood_after_idle_time(void)
{
	struct scenario s;

	scenario_init(&s, 400, 0);
	scenario_run(&s, 20 * US_PER_S);
	scenario_reset_counts(&s);
	s.per_s[LOW] = 5000;
	scenario_run(&s, 2 * US_PER_S);
	assert_target(&s, TOP);
	scenario_clear(&s);
}

/* A noisy neighbour takes processor time: calls slow each other down when more than four run. */
static void test_noisy_neighbour_lowers_the_limit(void)
{
	struct scenario s;
	u32 under_load;

	scenario_init(&s, 100, 0);
	scenario_run(&s, 20 * US_PER_S);
	g_assert_cmpuint(s.a.limit, ==, SLOTS);
	s.parallel = 4;
	s.per_s[TOP] = 2000;
	scenario_run(&s, 5 * US_PER_S);
	scenario_reset_counts(&s);
	scenario_run(&s, 10 * US_PER_S);
	under_load = s.a.limit;
	g_assert_cmpuint(under_load, <, 9);
	g_assert_cmpuint(under_load, >=, SLOTS / 4);
	/* With all 12 slots in use, each call would take 9 times as long: 133 calls per second. */
	g_assert_cmpuint(s.done[TOP], >, 2 * 10 * 133);
	s.parallel = 0;
	s.per_s[TOP] = 600;
	scenario_run(&s, 20 * US_PER_S);
	g_assert_cmpuint(s.a.limit, ==, SLOTS);
	scenario_clear(&s);
}

/* A higher share of calls of a slow rank must not look like slowness. */
static void test_a_new_mix_keeps_the_limit(void)
{
	struct scenario s;

	scenario_init(&s, 200, 20);
	s.service_us[LOW] = 100 * US_PER_MS;
	scenario_run(&s, 20 * US_PER_S);
	s.per_s[LOW] = 500;
	scenario_run(&s, 20 * US_PER_S);
	g_assert_cmpuint(s.a.limit, >=, SLOTS - 2);
	scenario_clear(&s);
}

static void test_lowest_worth_still_admits_some(void)
{
	struct scenario s;
	u32 admitted = 0;

	scenario_init(&s, 5000, 0);
	g_assert_cmpuint(admit_lowest_worth(&s.a, s.now_us), ==, 0);
	for (u32 i = 0; i < 2000; i++) {
		scenario_run(&s, 10 * US_PER_MS);
		/* Entry nodes send low calls only while the reported load admits them. */
		s.per_s[LOW] =
			admit_lowest_worth(&s.a, s.now_us) <= scenario_ranks[LOW].worth ? 1000 : 0;
		admitted += s.per_s[LOW] > 0;
	}
	g_assert_cmpuint(admitted, >, 0);
	assert_floor(&s, LOW);
	scenario_clear(&s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/admit/low-flood", test_low_flood_keeps_the_urgent_target);
	g_test_add_func("/admit/urgent-flood", test_urgent_flood_keeps_the_floor);
	g_test_add_func("/admit/both-floods", test_both_floods);
	g_test_add_func("/admit/flood-after-idle", test_low_flood_after_idle_time);
	g_test_add_func("/admit/noisy-neighbour", test_noisy_neighbour_lowers_the_limit);
	g_test_add_func("/admit/new-mix", test_a_new_mix_keeps_the_limit);
	g_test_add_func("/admit/trickle", test_lowest_worth_still_admits_some);
	return g_test_run();
}
