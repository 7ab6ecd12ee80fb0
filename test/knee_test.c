/* Tests that the knee of an upstream is found if it has one, and that none is found otherwise. */
#include "lib/rng.h"
#include "node/knee.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define SLOTS 12
#define CALL_US 90000.0

/* An upstream whose calls vary in duration, and take longer above a level. */
struct upstream_model {
	u32 knee; /* SLOTS for none */
	double longer; /* factor of the duration above the knee */
	u32 waiting_percent; /* calls that wait for a dependency while the upstream is busy */
	double speed; /* of the code; a slow VM is reported, and so not part of the work */
	struct rng rng;
};

/* Returns a factor that is about log-normal: e to the sum of three uniform numbers. */
static double random_factor(struct rng *r)
{
	double sum = 0;

	for (u32 i = 0; i < 3; i++)
		sum += rng_below(r, 1000) / 1000.0 - 0.5;
	return exp(sum * 0.6);
}

static u64 work_us(struct upstream_model *m, u32 rank, u32 level)
{
	double work = CALL_US / (rank + 1) * random_factor(&m->rng) / m->speed;

	if (level > m->knee)
		work *= m->longer;
	if (level > SLOTS / 2 && rng_below(&m->rng, 100) < m->waiting_percent)
		work += CALL_US * 2;
	return (u64)work;
}

/* Samples N calls of two ranks, at levels from 1 to the current limit. */
static void run_calls(struct knee *k, struct upstream_model *m, u32 n, u64 *now_us)
{
	for (u32 i = 0; i < n; i++) {
		u32 level = 1 + rng_below(&m->rng, k->current_limit);
		u32 rank = rng_below(&m->rng, 2);

		*now_us += 10 * US_PER_MS;
		knee_sample(k, rank, work_us(m, rank, level), level, *now_us);
	}
}

static struct upstream_model model(u32 knee, double longer)
{
	return (struct upstream_model){ .knee = knee, .longer = longer, .speed = 1, .rng = { 5 } };
}

static void test_found(void)
{
	struct upstream_model m = model(9, 1.6);
	struct knee k = { 0 };
	u64 now = 0;

	knee_set_slots(&k, SLOTS);
	g_assert_cmpuint(k.current_limit, ==, SLOTS);
	run_calls(&k, &m, 800, &now);
	g_assert_true(k.is_found);
	g_assert_cmpuint(k.current_limit, >=, 8);
	g_assert_cmpuint(k.current_limit, <=, 10);
}

/* Calls take longer, but throughput still rises: this is no knee. */
static void test_slight_slope(void)
{
	struct upstream_model m = model(9, 1.15);
	struct knee k = { 0 };
	u64 now = 0;

	knee_set_slots(&k, SLOTS);
	run_calls(&k, &m, 3000, &now);
	g_assert_cmpuint(k.current_limit, ==, SLOTS);
}

static void test_none(void)
{
	for (u64 seed = 1; seed <= 20; seed++) {
		struct upstream_model m = model(SLOTS, 1);
		struct knee k = { 0 };
		u64 now = 0;

		m.rng.state = seed;
		knee_set_slots(&k, SLOTS);
		run_calls(&k, &m, 2000, &now);
		g_assert_cmpuint(k.current_limit, ==, SLOTS);
	}
}

/* In a flood, a dependency of the upstream slows down as well: this is no knee of the upstream. */
static void test_waiting_for_dependency(void)
{
	struct upstream_model m = model(SLOTS, 1);
	struct knee k = { 0 };
	u64 now = 0;

	m.waiting_percent = 50;
	knee_set_slots(&k, SLOTS);
	run_calls(&k, &m, 3000, &now);
	g_assert_cmpuint(k.current_limit, ==, SLOTS);
}

/* All calls become longer, as after a deployment of slower code: this is no knee. */
static void test_slower_release(void)
{
	struct upstream_model m = model(SLOTS, 1);
	struct knee k = { 0 };
	u64 now = 0;

	knee_set_slots(&k, SLOTS);
	run_calls(&k, &m, 1000, &now);
	m.speed = 0.5;
	run_calls(&k, &m, 3000, &now);
	g_assert_cmpuint(k.current_limit, ==, SLOTS);
}

/* A knee that goes away is dropped after a while. */
static void test_dropped(void)
{
	struct upstream_model m = model(9, 1.6);
	struct knee k = { 0 };
	u64 now = 0;

	knee_set_slots(&k, SLOTS);
	run_calls(&k, &m, 1000, &now);
	g_assert_true(k.is_found);
	m.knee = SLOTS;
	run_calls(&k, &m, 10000, &now);
	g_assert_cmpuint(k.current_limit, ==, SLOTS);
}

/* An adopted knee applies until one is found in own samples. */
static void test_adopted(void)
{
	struct upstream_model m = model(9, 1.6);
	struct knee k = { 0 };
	u64 now = 0;

	knee_set_slots(&k, SLOTS);
	knee_adopt(&k, 9);
	g_assert_cmpuint(k.current_limit, ==, 9);
	g_assert_false(k.is_found);
	run_calls(&k, &m, 500, &now);
	g_assert_cmpuint(k.current_limit, ==, 9);
	knee_adopt(&k, 0);
	g_assert_cmpuint(k.current_limit, ==, SLOTS);
	/* An adopted knee below half of the slots is ignored. */
	knee_adopt(&k, 2);
	g_assert_cmpuint(k.current_limit, ==, SLOTS);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/knee/found", test_found);
	g_test_add_func("/knee/slight-slope", test_slight_slope);
	g_test_add_func("/knee/none", test_none);
	g_test_add_func("/knee/slow-dependency", test_waiting_for_dependency);
	g_test_add_func("/knee/slower-release", test_slower_release);
	g_test_add_func("/knee/dropped", test_dropped);
	g_test_add_func("/knee/adopted", test_adopted);
	return g_test_run();
}
