#include "kernel/module.h"
#include "lib/err.h"
#include "lib/log.h"

#include <glib.h>

/* A module that records its start and stop in a transcript. */
struct recorder {
	struct module module;
	int start_error;
};

static GString *transcript;

static int recorder_start(struct module *m, struct module_registry *r)
{
	struct recorder *p = (struct recorder *)m;

	(void)r;
	if (!p->start_error)
		g_string_append_printf(transcript, "+%s", m->ops->name);
	return p->start_error;
}

static void recorder_stop(struct module *m)
{
	g_string_append_printf(transcript, "-%s", m->ops->name);
}

static const char *const depends_on_a[] = { "a", NULL };
static const char *const depends_on_b[] = { "b", NULL };
static const char *const depends_on_nobody[] = { "nobody", NULL };

static const struct module_ops ops_a = { .name = "a",
					 .start = recorder_start,
					 .stop = recorder_stop };
static const struct module_ops ops_b = {
	.name = "b", .dependencies = depends_on_a, .start = recorder_start, .stop = recorder_stop
};
static const struct module_ops ops_c = {
	.name = "c", .dependencies = depends_on_b, .start = recorder_start, .stop = recorder_stop
};
static const struct module_ops ops_missing = { .name = "lonely",
					       .dependencies = depends_on_nobody,
					       .start = recorder_start,
					       .stop = recorder_stop };
static const struct module_ops ops_circular = {
	.name = "a", .dependencies = depends_on_b, .start = recorder_start, .stop = recorder_stop
};

static void expect(const char *text)
{
	g_assert_cmpstr(transcript->str, ==, text);
	g_string_free(transcript, TRUE);
}

static void begin(struct module_registry *r)
{
	transcript = g_string_new(NULL);
	module_registry_init(r);
}

static void test_dependency_order(void)
{
	struct recorder a = { .module.ops = &ops_a };
	struct recorder b = { .module.ops = &ops_b };
	struct recorder c = { .module.ops = &ops_c };
	struct module_registry r;

	begin(&r);
	module_add(&r, &c.module);
	module_add(&r, &b.module);
	module_add(&r, &a.module);
	g_assert_cmpint(module_start_all(&r), ==, 0);
	g_assert_true(module_find(&r, "b") == &b);
	g_assert_null(module_find(&r, "d"));
	module_stop_all(&r);
	expect("+a+b+c-c-b-a");
	module_registry_clear(&r);
}

static void test_failure_stops_started_modules(void)
{
	struct recorder a = { .module.ops = &ops_a };
	struct recorder b = { .module.ops = &ops_b, .start_error = ERR_IO };
	struct module_registry r;

	begin(&r);
	module_add(&r, &a.module);
	module_add(&r, &b.module);
	g_assert_cmpint(module_start_all(&r), ==, ERR_IO);
	expect("+a-a");
	module_registry_clear(&r);
}

static void test_missing_dependency(void)
{
	struct recorder missing = { .module.ops = &ops_missing };
	struct module_registry r;

	begin(&r);
	module_add(&r, &missing.module);
	g_assert_cmpint(module_start_all(&r), ==, ERR_NOTFOUND);
	expect("");
	module_registry_clear(&r);
}

static void test_circular_dependency(void)
{
	struct recorder a = { .module.ops = &ops_circular };
	struct recorder b = { .module.ops = &ops_b };
	struct module_registry r;

	begin(&r);
	module_add(&r, &a.module);
	module_add(&r, &b.module);
	g_assert_cmpint(module_start_all(&r), ==, ERR_INVAL);
	expect("");
	module_registry_clear(&r);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_open(NULL, LOG_ERROR, LOG_TEXT);
	g_test_add_func("/module/dependency-order", test_dependency_order);
	g_test_add_func("/module/failure-stops-started-modules",
			test_failure_stops_started_modules);
	g_test_add_func("/module/missing-dependency", test_missing_dependency);
	g_test_add_func("/module/circular-dependency", test_circular_dependency);
	return g_test_run();
}
