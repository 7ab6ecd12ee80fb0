#include "lib/hist.h"
#include "lib/rng.h"

#include <glib.h>
#include <string.h>

static char *print_series(void)
{
	GString *out = g_string_new(NULL);

	hist_print(out);
	return g_string_free(out, FALSE);
}

static void expect_line(const char *text, const char *line)
{
	g_autofree char *whole = g_strconcat("\n", line, "\n", NULL);

	if (!strstr(text, whole))
		g_test_message("no line %s", line);
	g_assert_nonnull(strstr(text, whole));
}

static void test_buckets_are_cumulative(void)
{
	g_autofree char *text = NULL;

	hist_reset();
	hist_record("atlas", "tile", 0);
	hist_record("atlas", "tile", 500);
	hist_record("atlas", "tile", 501);
	hist_record("atlas", "tile", 10000001);
	text = print_series();
	g_assert_true(g_str_has_prefix(text, "# HELP lavenderlead_call_seconds "));
	expect_line(text, "# TYPE lavenderlead_call_seconds histogram");
	expect_line(text, "lavenderlead_call_seconds_bucket{service=\"atlas\",rank=\"tile\","
			  "le=\"0.0005\"} 2");
	expect_line(text, "lavenderlead_call_seconds_bucket{service=\"atlas\",rank=\"tile\","
			  "le=\"0.001\"} 3");
	expect_line(text, "lavenderlead_call_seconds_bucket{service=\"atlas\",rank=\"tile\","
			  "le=\"10\"} 3");
	expect_line(text, "lavenderlead_call_seconds_bucket{service=\"atlas\",rank=\"tile\","
			  "le=\"+Inf\"} 4");
	expect_line(text,
		    "lavenderlead_call_seconds_sum{service=\"atlas\",rank=\"tile\"} 10.001002");
	expect_line(text, "lavenderlead_call_seconds_count{service=\"atlas\",rank=\"tile\"} 4");
}

static u64 count_of(const char *text, const char *le)
{
	g_autofree char *line = g_strdup_printf("_bucket{service=\"s\",rank=\"r\",le=\"%s\"} ", le);
	const char *at = strstr(text, line);

	g_assert_nonnull(at);
	return g_ascii_strtoull(at + strlen(line), NULL, 10);
}

/* Compares random samples with a direct count of the times up to each bound. */
static void test_matches_direct_count(void)
{
	static const struct {
		const char *le;
		u64 us;
	} bounds[] = { { "0.0015", 1500 }, { "0.05", 50000 }, { "1", 1000000 } };
	struct rng rng = { .state = 7 };
	u64 want[G_N_ELEMENTS(bounds)] = { 0 };
	g_autofree char *text = NULL;

	hist_reset();
	for (int i = 0; i < 10000; i++) {
		u64 us = rng_next(&rng) >> (44 + rng_below(&rng, 16));

		hist_record("s", "r", us);
		for (size_t k = 0; k < G_N_ELEMENTS(bounds); k++)
			want[k] += us <= bounds[k].us;
	}
	text = print_series();
	for (size_t k = 0; k < G_N_ELEMENTS(bounds); k++)
		g_assert_cmpuint(count_of(text, bounds[k].le), ==, want[k]);
	g_assert_cmpuint(count_of(text, "+Inf"), ==, 10000);
}

static void test_series_are_bounded(void)
{
	g_autofree char *text = NULL;
	u32 series = 0;

	hist_reset();
	for (int i = 0; i < HIST_SERIES_MAX * 2; i++) {
		g_autofree char *service = g_strdup_printf("s%d", i);

		hist_record(service, "r", 1);
	}
	text = print_series();
	for (const char *p = text; (p = strstr(p, "_count{")); p++)
		series++;
	g_assert_cmpuint(series, ==, HIST_SERIES_MAX);
	expect_line(text, "lavenderlead_call_seconds_count{service=\"other\",rank=\"other\"} 1025");
}

static gpointer record_many(gpointer unused)
{
	(void)unused;
	for (int i = 0; i < 10000; i++)
		hist_record("s", "r", 1);
	return NULL;
}

static void test_threads(void)
{
	g_autofree char *text = NULL;
	GThread *threads[4];

	hist_reset();
	for (size_t i = 0; i < G_N_ELEMENTS(threads); i++)
		threads[i] = g_thread_new("record", record_many, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(threads); i++)
		g_thread_join(threads[i]);
	text = print_series();
	g_assert_cmpuint(count_of(text, "+Inf"), ==, 40000);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/hist/buckets-are-cumulative", test_buckets_are_cumulative);
	g_test_add_func("/hist/matches-direct-count", test_matches_direct_count);
	g_test_add_func("/hist/series-are-bounded", test_series_are_bounded);
	g_test_add_func("/hist/threads", test_threads);
	return g_test_run();
}
