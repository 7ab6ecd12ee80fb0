/* Times of calls by quantiles. */
#include "node/quantiles.h"

#include <glib.h>

static void test_quantiles(void)
{
	struct quantiles t = { 0 };

	g_assert_cmpuint(t.median_us, ==, 0);
	for (u32 i = 1; i <= QUANTILES_SAMPLES; i++)
		quantiles_add(&t, i * 1000);
	g_assert_cmpuint(t.median_us, ==, 17000);
	g_assert_cmpuint(t.approx_p90_us, ==, 17000 + 25000 - 9000);
}

/* The pattern: one call in five is of a route that is answered at once. */
static void test_quick_calls_beside_long_ones(void)
{
	struct quantiles t = { 0 };

	for (u32 i = 0; i < 2 * QUANTILES_SAMPLES; i++)
		quantiles_add(&t, i % 5 ? 300 * US_PER_MS : US_PER_MS);
	g_assert_cmpuint(t.median_us, ==, 300 * US_PER_MS);
	g_assert_cmpuint(t.approx_p90_us, ==, 300 * US_PER_MS);
}

static void test_old_times_are_forgotten(void)
{
	struct quantiles t = { 0 };

	for (u32 i = 0; i < 2 * QUANTILES_SAMPLES; i++)
		quantiles_add(&t, i < QUANTILES_SAMPLES ? US_PER_S : US_PER_MS);
	g_assert_cmpuint(t.approx_p90_us, ==, US_PER_MS);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/times/quantiles", test_quantiles);
	g_test_add_func("/times/quick-beside-long", test_quick_calls_beside_long_ones);
	g_test_add_func("/times/forgotten", test_old_times_are_forgotten);
	return g_test_run();
}
