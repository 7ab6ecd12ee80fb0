/* The knee of an upstream: found where it is, and only there. */
#include "lib/rng.h"
#include "node/knee.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define SLOTS 12
#define CALL_US 90000.0

/* An upstream whose calls vary, and take longer above a level. */
struct upstream_model {
	u32 knee; /* SLOTS for none */
	double longer; /* factor above it */
	u32 waiting_percent; /* of the calls wait for calls of their own when it is busy */
	double speed; /* of the calls; a slow VM is told, so it is not in the work */
	struct rng rng;
};

/* About normal: the sum of three even ones. */
static double spread(struct rng *r)
{
	double sum = 0;

	for (u32 i = 0; i < 3; i++)
		sum += rng_below(r, 1000) / 1000.0 - 0.5;
	return exp(sum * 0.6);
}

static u64 work_us(struct upstream_model *m, u32 rank, u32 level)
{
	double work = CALL_US / (rank + 1) * spread(&m->rng) / m->speed;

	if (level > m->knee)
		work *= m->longer;
	if (level > SLOTS / 2 && rng_below(&m->rng, 100) < m->waiting_percent)
		work += CALL_US * 2;
	return (u64)work;
}

/* N calls of two ranks, at levels from the lowest to what the knee lets in. */
static void load(struct knee *k, struct upstream_model *m, u32 n, u64 *now_us)
{
	for (u32 i = 0; i < n; i++) {
		u32 level = 1 + rng_below(&m->rng, k->now);
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
	g_assert_cmpuint(k.now, ==, SLOTS);
	load(&k, &m, 800, &now);
	g_assert_true(k.is_found);
	g_assert_cmpuint(k.now, >=, 8);
	g_assert_cmpuint(k.now, <=, 10);
}

/* Calls take longer, but more is done all the same: no reason to let fewer in. */
static void test_slight_slope(void)
{
	struct upstream_model m = model(9, 1.15);
	struct knee k = { 0 };
	u64 now = 0;

	knee_set_slots(&k, SLOTS);
	load(&k, &m, 3000, &now);
	g_assert_cmpuint(k.now, ==, SLOTS);
}

static void test_none(void)
{
	for (u64 seed = 1; seed <= 20; seed++) {
		struct upstream_model m = model(SLOTS, 1);
		struct knee k = { 0 };
		u64 now = 0;

		m.rng.state = seed;
		knee_set_slots(&k, SLOTS);
		load(&k, &m, 2000, &now);
		g_assert_cmpuint(k.now, ==, SLOTS);
	}
}

/* The pattern: in a flood, what the upstream calls is slow too. It is no knee of its own. */
static void test_waiting_for_others(void)
{
	struct upstream_model m = model(SLOTS, 1);
	struct knee k = { 0 };
	u64 now = 0;

	m.waiting_percent = 50;
	knee_set_slots(&k, SLOTS);
	load(&k, &m, 3000, &now);
	g_assert_cmpuint(k.now, ==, SLOTS);
}

/* All calls become longer, as after a release: that is no knee either. */
static void test_slower_release(void)
{
	struct upstream_model m = model(SLOTS, 1);
	struct knee k = { 0 };
	u64 now = 0;

	knee_set_slots(&k, SLOTS);
	load(&k, &m, 1000, &now);
	m.speed = 0.5;
	load(&k, &m, 3000, &now);
	g_assert_cmpuint(k.now, ==, SLOTS);
}

/* The knee goes away, and is given up after a time. */
static void test_given_up(void)
{
	struct upstream_model m = model(9, 1.6);
	struct knee k = { 0 };
	u64 now = 0;

	knee_set_slots(&k, SLOTS);
	load(&k, &m, 1000, &now);
	g_assert_true(k.is_found);
	m.knee = SLOTS;
	load(&k, &m, 10000, &now);
	g_assert_cmpuint(k.now, ==, SLOTS);
}

/* What others found counts until something is found here. */
static void test_adopted(void)
{
	struct upstream_model m = model(9, 1.6);
	struct knee k = { 0 };
	u64 now = 0;

	knee_set_slots(&k, SLOTS);
	knee_adopt(&k, 9);
	g_assert_cmpuint(k.now, ==, 9);
	g_assert_false(k.is_found);
	load(&k, &m, 500, &now);
	g_assert_cmpuint(k.now, ==, 9);
	knee_adopt(&k, 0);
	g_assert_cmpuint(k.now, ==, SLOTS);
	/* Less than half of the slots is not believed. */
	knee_adopt(&k, 2);
	g_assert_cmpuint(k.now, ==, SLOTS);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/knee/found", test_found);
	g_test_add_func("/knee/slight-slope", test_slight_slope);
	g_test_add_func("/knee/none", test_none);
	g_test_add_func("/knee/waiting-for-others", test_waiting_for_others);
	g_test_add_func("/knee/slower-release", test_slower_release);
	g_test_add_func("/knee/given-up", test_given_up);
	g_test_add_func("/knee/adopted", test_adopted);
	return g_test_run();
}
