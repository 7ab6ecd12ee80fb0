#include "lib/ctr.h"
#include "lib/findings.h"

#include <glib.h>
#include <string.h>

static void test_names(void)
{
	for (int c = 0; c < CTR_COUNT; c++) {
		g_assert_cmpint((int)ctr_find(ctr_name((enum ctr)c)), ==, c);
		g_assert_cmpuint(strspn(ctr_name((enum ctr)c), "abcdefghijklmnopqrstuvwxyz-"), ==,
				 strlen(ctr_name((enum ctr)c)));
	}
	g_assert_cmpint((int)ctr_find("no-such-counter"), ==, CTR_COUNT);
	g_assert_cmpint((int)ctr_find(""), ==, CTR_COUNT);
}

static void test_print(void)
{
	g_autoptr(GString) out = g_string_new(NULL);
	u64 before = ctr_get(CTR_RETRY_NOT_RUN);
	g_autofree char *line = NULL;

	ctr_add(CTR_RETRY_NOT_RUN, 5);
	ctr_inc(CTR_RETRY_NOT_RUN);
	line = g_strdup_printf("\nlavenderlead_retry_not_run_total %" G_GUINT64_FORMAT "\n",
			       before + 6);
	ctr_print(out);
	g_assert_nonnull(strstr(out->str, line));
	g_assert_nonnull(strstr(out->str, "# TYPE lavenderlead_retry_not_run_total counter\n"));
}

/* docs/OPERATIONS.md must document every counter. */
static void test_all_counters_documented(void)
{
	g_autofree char *page = NULL;
	u32 missing = 0;

	g_assert_true(g_file_get_contents("docs/OPERATIONS.md", &page, NULL, NULL));
	for (int c = 0; c < CTR_COUNT; c++) {
		g_autofree char *quoted = g_strdup_printf("`%s`", ctr_name((enum ctr)c));

		if (strstr(page, quoted))
			continue;
		g_test_message("docs/OPERATIONS.md does not mention %s", quoted);
		missing++;
	}
	g_assert_cmpuint(missing, ==, 0);
}

static void test_findings_keep_their_order(void)
{
	FINDINGS_AUTO(found);

	findings_add(&found, "b:2", "%s", "second");
	findings_add(&found, "a:1", "%d%%", 7);
	g_assert_cmpuint(findings_count(&found), ==, 2);
	g_assert_cmpstr(findings_at(&found, 0)->place, ==, "b:2");
	g_assert_cmpstr(findings_at(&found, 1)->text, ==, "7%");
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/ctr/names", test_names);
	g_test_add_func("/ctr/print", test_print);
	g_test_add_func("/ctr/all-counters-documented", test_all_counters_documented);
	g_test_add_func("/ctr/findings-keep-their-order", test_findings_keep_their_order);
	return g_test_run();
}
