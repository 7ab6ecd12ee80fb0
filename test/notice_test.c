/* What an upstream says of itself in its answers: its rate limit, and that it is leaving. */
#include "lib/err.h"
#include "node/notice.h"
#include "platform/dialect.h"

#include <glib.h>

#define LIMITED(milli)                                                                             \
	((struct dialect_notice){ .has_rate_limit = true, .rate_limit_milli_per_s = milli })

static const struct dialect_notice nothing;
static const struct dialect_notice leaving = { .is_leaving = true };

static void check_rate(const char *text, u64 expected)
{
	u64 milli = 0;

	g_assert_cmpint(dialect_parse_rate(text, &milli), ==, 0);
	g_assert_cmpuint(milli, ==, expected);
}

static void test_parse_rate(void)
{
	static const char *const invalid[] = { "",    " ",   "-1",   "fast", "inf", "nan", "1e3",
					       "0x1", "1,5", "1.5.", "+2",   ".5",  "1 " };
	u64 milli = 77;

	check_rate("15.4", 15400);
	check_rate("0", 0);
	check_rate("0.0004", 0);
	check_rate("12", 12000);
	check_rate("3.", 3000);
	check_rate("99999999999999999999", 1000000000);
	for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++)
		g_assert_cmpint(dialect_parse_rate(invalid[i], &milli), ==, ERR_INVAL);
	g_assert_cmpuint(milli, ==, 77);
}

static int read_notice(const struct dialect *d, const char *name, const char *value,
		       struct dialect_notice *out)
{
	struct http_msg *m = http_new();
	int err;

	http_add_header(m, name, value);
	err = d->notice(m, out);
	http_free(m);
	return err;
}

static void check_rate_header(const struct dialect *d, const char *rate_header)
{
	struct dialect_notice n;

	g_assert_cmpint(read_notice(d, rate_header, "9.4", &n), ==, 0);
	g_assert_true(n.has_rate_limit && !n.is_leaving);
	g_assert_cmpuint(n.rate_limit_milli_per_s, ==, 9400);
	g_assert_cmpint(read_notice(d, rate_header, "few", &n), ==, ERR_INVAL);
	g_assert_false(n.has_rate_limit);
}

static void test_headers(void)
{
	struct dialect_notice n;

	check_rate_header(&platform_dialect, "Server-Limit");
	check_rate_header(&dialect_native, "Lavenderlead-Rate-Limit");
	g_assert_cmpint(read_notice(&platform_dialect, "Server-Leaving", "1", &n), ==, 0);
	g_assert_true(n.is_leaving && !n.has_rate_limit);
	g_assert_cmpint(read_notice(&platform_dialect, "Server-Leaving", "0", &n), ==, 0);
	g_assert_false(n.is_leaving);
}

static void test_changes(void)
{
	struct notice n = { 0 };

	g_assert_false(notice_update(&n, &nothing, 1, 2, false));
	g_assert_true(notice_update(&n, &LIMITED(9400), 3, 4, false));
	g_assert_false(notice_update(&n, &LIMITED(9400), 5, 6, false));
	g_assert_true(notice_update(&n, &LIMITED(4000), 7, 8, false));
	g_assert_cmpuint(n.now.rate_limit_milli_per_s, ==, 4000);
	g_assert_true(notice_update(&n, &nothing, 9, 10, false));
	g_assert_false(n.now.has_rate_limit);
}

/* An answer that was on its way when the limit was named must not end it. */
static void test_late_answer_without_limit(void)
{
	struct notice n = { 0 };

	notice_update(&n, &LIMITED(9400), 10, 20, false);
	g_assert_false(notice_update(&n, &nothing, 19, 30, false));
	g_assert_true(n.now.has_rate_limit);
	g_assert_true(notice_update(&n, &nothing, 20, 31, false));
	g_assert_false(n.now.has_rate_limit);
}

/* Guards against: an earlier answer that is written once more ends or raises the limit in force. */
static void test_copy_of_earlier_answer(void)
{
	struct notice n = { 0 };

	notice_update(&n, &LIMITED(9400), 1, 2, true);
	g_assert_false(notice_update(&n, &nothing, 3, 4, true));
	g_assert_false(notice_update(&n, &LIMITED(9400), 5, 6, true));
	g_assert_false(notice_update(&n, &LIMITED(9500), 7, 8, true));
	g_assert_true(notice_update(&n, &LIMITED(4000), 9, 10, true));
	/* One that was sent too early does not count as the first of two. */
	g_assert_false(notice_update(&n, &nothing, 9, 11, true));
	g_assert_false(notice_update(&n, &nothing, 12, 13, true));
	g_assert_true(notice_update(&n, &nothing, 14, 15, true));
	g_assert_false(n.now.has_rate_limit);
	g_assert_true(notice_update(&n, &LIMITED(4000), 16, 17, true));
	g_assert_false(notice_update(&n, &LIMITED(5000), 18, 19, true));
	g_assert_true(notice_update(&n, &LIMITED(5000), 20, 21, true));
	g_assert_true(notice_update(&n, &nothing, 22, 23, false));
}

static void test_leaving_is_final(void)
{
	struct notice n = { 0 };

	g_assert_true(notice_update(&n, &leaving, 1, 2, false));
	g_assert_false(notice_update(&n, &leaving, 3, 4, false));
	g_assert_false(notice_update(&n, &nothing, 5, 6, false));
	g_assert_true(n.now.is_leaving);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/notice/parse-rate", test_parse_rate);
	g_test_add_func("/notice/headers", test_headers);
	g_test_add_func("/notice/changes", test_changes);
	g_test_add_func("/notice/late-answer-without-limit", test_late_answer_without_limit);
	g_test_add_func("/notice/copy-of-earlier-answer", test_copy_of_earlier_answer);
	g_test_add_func("/notice/leaving-is-final", test_leaving_is_final);
	return g_test_run();
}
