/*
 * shift_bound - p99 that no choice of an upstream can better where slowness changes place
 *
 * usage: shift_bound [-s SEED] [-n CALLS]
 *
 * Two of five upstreams are four times slower and the slowness changes place, as in the scenarios
 * of policy_bench. Each call starts at once: no network, no queue, no other calls. Prints the
 * percentiles of four ways to choose its upstream. A call that may not be repeated cannot do better
 * than "fast now" without knowledge of the future.
 */
#include "lib/rng.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#define UPSTREAMS 5
#define SLOW_FACTOR 4.0
#define WORK_MEAN_MS 10.0
#define CALLS_DEFAULT 200000
/* Calls start this far apart, so that each one meets an arrangement of its own. */
#define CALL_INTERVAL_MS 50.0

enum choice { RANDOM, FAST_NOW, TWO_FAST_NOW, FUTURE_KNOWN, CHOICES };

static const char *const choice_names[CHOICES] = { "random", "fast now", "two fast at once",
						   "future known" };

/* Which two upstreams are slow from AT_MS on. */
struct phase {
	double at_ms;
	u32 slow[2];
};

static double draw_exponential(struct rng *r, double mean)
{
	double u = ((double)(rng_next(r) >> 11) + 1) / 9007199254740993.0;

	return -log(u) * mean;
}

static bool is_slow(const struct phase *p, u32 upstream)
{
	return p->slow[0] == upstream || p->slow[1] == upstream;
}

static u32 draw_fast(struct rng *r, const struct phase *p)
{
	u32 k = rng_below(r, UPSTREAMS);

	while (is_slow(p, k))
		k = (k + 1) % UPSTREAMS;
	return k;
}

/* One of the slow upstreams gets its speed back, and a fast one becomes slow. */
static GArray *draw_phases(struct rng *r, double interval_ms, double end_ms)
{
	GArray *phases = g_array_new(FALSE, FALSE, sizeof(struct phase));
	struct phase p = { 0, { 0, 1 } };

	while (p.at_ms < end_ms) {
		u32 to = draw_fast(r, &p);

		g_array_append_val(phases, p);
		p.slow[rng_below(r, 2)] = to;
		p.at_ms += draw_exponential(r, interval_ms / 2);
	}
	g_array_append_val(phases, p);
	return phases;
}

/* Returns when WORK_MS of work that starts at AT_MS, in phase I, ends at UPSTREAM. */
static double end_of_call(const GArray *phases, guint i, double at_ms, double work_ms, u32 upstream)
{
	for (; i + 1 < phases->len; i++) {
		double factor = is_slow(&g_array_index(phases, struct phase, i), upstream) ?
					SLOW_FACTOR :
					1;
		double end_ms = g_array_index(phases, struct phase, i + 1).at_ms;

		if (work_ms * factor <= end_ms - at_ms)
			return at_ms + work_ms * factor;
		work_ms -= (end_ms - at_ms) / factor;
		at_ms = end_ms;
	}
	return at_ms;
}

struct call {
	const GArray *phases;
	guint phase;
	double at_ms;
	double work_ms;
};

static double took_at(const struct call *c, u32 upstream)
{
	return end_of_call(c->phases, c->phase, c->at_ms, c->work_ms, upstream) - c->at_ms;
}

static double took(const struct call *c, enum choice choice, struct rng *r)
{
	const struct phase *p = &g_array_index(c->phases, struct phase, c->phase);
	u32 first = choice == RANDOM ? rng_below(r, UPSTREAMS) : draw_fast(r, p);
	double best = took_at(c, first);

	for (u32 k = 0; k < UPSTREAMS && choice == FUTURE_KNOWN; k++)
		best = MIN(best, took_at(c, k));
	if (choice == TWO_FAST_NOW) {
		u32 second = draw_fast(r, p);

		while (second == first)
			second = draw_fast(r, p);
		best = MIN(best, took_at(c, second));
	}
	return best;
}

static gint compare_double(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

static void print_percentiles(const char *name, GArray *times)
{
	g_array_sort(times, compare_double);
	printf("| %-16s | %6.1f | %6.1f | %8.1f |\n", name,
	       g_array_index(times, double, times->len / 2),
	       g_array_index(times, double, times->len * 99UL / 100),
	       g_array_index(times, double, times->len * 999UL / 1000));
}

static void run(double interval_ms, u64 seed, u32 calls)
{
	struct rng r = { seed };
	/* No call is as long as the last second. */
	double end_ms = calls * CALL_INTERVAL_MS + 1000;
	g_autoptr(GArray) phases = draw_phases(&r, interval_ms, end_ms);
	GArray *times[CHOICES];
	guint i = 0;

	for (u32 k = 0; k < CHOICES; k++)
		times[k] = g_array_new(FALSE, FALSE, sizeof(double));
	for (u32 n = 0; n < calls; n++) {
		struct call c = { phases, 0, n * CALL_INTERVAL_MS,
				  draw_exponential(&r, WORK_MEAN_MS) };

		while (g_array_index(phases, struct phase, i + 1).at_ms <= c.at_ms)
			i++;
		c.phase = i;
		for (u32 k = 0; k < CHOICES; k++) {
			double ms = took(&c, (enum choice)k, &r);

			g_array_append_val(times[k], ms);
		}
	}
	printf("\nslowness changes place every %.0f ms\n\n"
	       "| choice           | p50 ms | p99 ms | p99.9 ms |\n"
	       "| ---------------- | ------ | ------ | -------- |\n",
	       interval_ms);
	for (u32 k = 0; k < CHOICES; k++) {
		print_percentiles(choice_names[k], times[k]);
		g_array_unref(times[k]);
	}
}

int main(int argc, char **argv)
{
	static const double intervals_ms[] = { 20, 100, 500 };
	u64 seed = 1;
	u32 calls = CALLS_DEFAULT;
	int c;

	while ((c = getopt(argc, argv, "s:n:")) != -1) {
		if (c == 's')
			seed = strtoull(optarg, NULL, 10);
		else if (c == 'n')
			calls = (u32)strtoul(optarg, NULL, 10);
		else
			return 2;
	}
	if (!calls)
		return 2;
	for (guint i = 0; i < G_N_ELEMENTS(intervals_ms); i++)
		run(intervals_ms[i], seed, calls);
	return 0;
}
