/* Quantiles of call durations. */
#include "node/quantiles.h"

#include <glib.h>

static void test_quantiles(void)
{
	struct quantiles q = { 0 };

	g_assert_cmpuint(q.median_us, ==, 0);
	for (u32 i = 1; i <= QUANTILES_SAMPLES; i++)
		quantiles_add(&q, i * 1000);
	g_assert_cmpuint(q.median_us, ==, 17000);
	g_assert_cmpuint(q.approx_p90_us, ==, 17000 + 25000 - 9000);
}

/* One call in five is for a route that answers at once; this must not lower the quantiles. */
static void test_quick_calls_among_long_ones(void)
{
	struct quantiles q = { 0 };

	for (u32 i = 0; i < 2 * QUANTILES_SAMPLES; i++)
		quantiles_add(&q, i % 5 ? 300 * US_PER_MS : US_PER_MS);
	g_assert_cmpuint(q.median_us, ==, 300 * US_PER_MS);
	g_assert_cmpuint(q.approx_p90_us, ==, 300 * US_PER_MS);
}

static void test_old_samples_are_dropped(void)
{
	struct quantiles q = { 0 };

	for (u32 i = 0; i < 2 * QUANTILES_SAMPLES; i++)
		quantiles_add(&q, i < QUANTILES_SAMPLES ? US_PER_S : US_PER_MS);
	g_assert_cmpuint(q.approx_p90_us, ==, US_PER_MS);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/quantiles/quantiles", test_quantiles);
	g_test_add_func("/quantiles/quick-among-long", test_quick_calls_among_long_ones);
	g_test_add_func("/quantiles/old-samples", test_old_samples_are_dropped);
	return g_test_run();
}
