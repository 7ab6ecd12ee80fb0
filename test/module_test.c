#include "kernel/module.h"
#include "lib/err.h"
#include "lib/log.h"

#include <glib.h>

/* A service that writes its name to a transcript at start and at stop. */
struct probe {
	struct module service;
	int start_error;
};

static GString *transcript;

static int probe_start(struct module *s, struct module_registry *k)
{
	struct probe *p = (struct probe *)s;

	(void)k;
	if (!p->start_error)
		g_string_append_printf(transcript, "+%s", s->ops->name);
	return p->start_error;
}

static void probe_stop(struct module *s)
{
	g_string_append_printf(transcript, "-%s", s->ops->name);
}

static const char *const needs_a[] = { "a", NULL };
static const char *const needs_b[] = { "b", NULL };
static const char *const needs_nobody[] = { "nobody", NULL };

static const struct module_ops ops_a = { .name = "a", .start = probe_start, .stop = probe_stop };
static const struct module_ops ops_b = {
	.name = "b", .needs = needs_a, .start = probe_start, .stop = probe_stop
};
static const struct module_ops ops_c = {
	.name = "c", .needs = needs_b, .start = probe_start, .stop = probe_stop
};
static const struct module_ops ops_lonely = {
	.name = "lonely", .needs = needs_nobody, .start = probe_start, .stop = probe_stop
};
static const struct module_ops ops_circle = {
	.name = "a", .needs = needs_b, .start = probe_start, .stop = probe_stop
};

static void expect(const char *text)
{
	g_assert_cmpstr(transcript->str, ==, text);
	g_string_free(transcript, TRUE);
}

static void begin(struct module_registry *k)
{
	transcript = g_string_new(NULL);
	module_registry_init(k);
}

static void test_order_of_need(void)
{
	struct probe a = { .service.ops = &ops_a };
	struct probe b = { .service.ops = &ops_b };
	struct probe c = { .service.ops = &ops_c };
	struct module_registry k;

	begin(&k);
	module_add(&k, &c.service);
	module_add(&k, &b.service);
	module_add(&k, &a.service);
	g_assert_cmpint(module_start_all(&k), ==, 0);
	g_assert_true(module_find(&k, "b") == &b);
	g_assert_null(module_find(&k, "d"));
	module_stop_all(&k);
	expect("+a+b+c-c-b-a");
	module_registry_clear(&k);
}

static void test_failure_stops_what_runs(void)
{
	struct probe a = { .service.ops = &ops_a };
	struct probe b = { .service.ops = &ops_b, .start_error = ERR_IO };
	struct module_registry k;

	begin(&k);
	module_add(&k, &a.service);
	module_add(&k, &b.service);
	g_assert_cmpint(module_start_all(&k), ==, ERR_IO);
	expect("+a-a");
	module_registry_clear(&k);
}

static void test_missing_need(void)
{
	struct probe lonely = { .service.ops = &ops_lonely };
	struct module_registry k;

	begin(&k);
	module_add(&k, &lonely.service);
	g_assert_cmpint(module_start_all(&k), ==, ERR_NOTFOUND);
	expect("");
	module_registry_clear(&k);
}

static void test_circle_of_needs(void)
{
	struct probe a = { .service.ops = &ops_circle };
	struct probe b = { .service.ops = &ops_b };
	struct module_registry k;

	begin(&k);
	module_add(&k, &a.service);
	module_add(&k, &b.service);
	g_assert_cmpint(module_start_all(&k), ==, ERR_INVAL);
	expect("");
	module_registry_clear(&k);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_open(NULL, LOG_ERROR, LOG_TEXT);
	g_test_add_func("/krn/order-of-need", test_order_of_need);
	g_test_add_func("/krn/failure-stops-what-runs", test_failure_stops_what_runs);
	g_test_add_func("/krn/missing-need", test_missing_need);
	g_test_add_func("/krn/circle-of-needs", test_circle_of_needs);
	return g_test_run();
}
