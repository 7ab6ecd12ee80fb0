/* What a change of a set costs the replicated log, at a real control process. */
#include "lib/log.h"
#include "lib/set.h"
#include "test/fakes/fake_config.h"
#include "test/fakes/lone_control.h"

#include <glib/gstdio.h>
#include <stdio.h>
#include <unistd.h>

#define ROUTES 2000
#define CHANGED_ROUTE 77
#define TIMEOUT_MS 1000
/*
 * Each change goes to four other members over links that are paid for, and to each disk. It costs
 * what has changed: a route of less than 200 bytes, and the record around it.
 */
#define CHANGE_MAX_BYTES 1024

static struct lone_control control;

static u64 folder_bytes(void)
{
	g_autoptr(GDir) dir = g_dir_open(control.settings.control.data, 0, NULL);
	const char *name;
	u64 sum = 0;

	while ((name = g_dir_read_name(dir))) {
		g_autofree char *path = g_build_filename(control.settings.control.data, name, NULL);
		GStatBuf st;

		if (!g_stat(path, &st))
			sum += (u64)st.st_size;
	}
	return sum;
}

static void copy_text(void *arg)
{
	*(char **)arg = g_strdup(store_find(&control.control->store, SET_NAME)->json);
}

static void assert_text(const char *want)
{
	g_autofree char *text = NULL;

	loop_call(control.control->loop, copy_text, &text);
	g_assert_true(!g_strcmp0(text, want));
}

/*
 * Guards against: the log, and the links between control processes, carry all routes at a change.
 */
static void test_one_route_fills_the_log(void)
{
	g_autofree char *first = fake_config_text(1, ROUTES, UINT32_MAX, TIMEOUT_MS);
	g_autofree char *second = fake_config_text(2, ROUTES, CHANGED_ROUTE, TIMEOUT_MS);
	u64 before;

	lone_control_start(&control, "z");
	g_assert_cmpuint(lone_control_declare(&control, 1, 0, first), ==, 201);
	before = folder_bytes();
	g_assert_cmpuint(before, >, 0);
	g_assert_cmpuint(lone_control_declare(&control, 2, 1, second), ==, 200);
	assert_text(second);
	g_assert_cmpuint(folder_bytes(), >, before);
	g_assert_cmpuint(folder_bytes() - before, <=, CHANGE_MAX_BYTES);
}

int main(int argc, char **argv)
{
	int ret;

	g_test_init(&argc, &argv, NULL);
	log_open(NULL, LOG_ERROR, LOG_TEXT);
	g_test_add_func("/set-log/one-route-fills-the-log", test_one_route_fills_the_log);
	ret = g_test_run();
	lone_control_remove_folder(&control);
	fflush(stdout);
	_exit(ret); /* the process still runs */
}
