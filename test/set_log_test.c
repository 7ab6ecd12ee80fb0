/* What a change of a set costs the replicated log, at a real control process. */
#include "control/control.h"
#include "control/op.h"
#include "lib/log.h"
#include "lib/set.h"
#include "test/fakes/fake_config.h"
#include "test/fakes/raw_server.h"

#include <glib/gstdio.h>
#include <stdio.h>
#include <unistd.h>

#define ROUTES 2000
#define CHANGED_ROUTE 77
#define TIMEOUT_MS 1000
#define WAIT_MS 20000
/*
 * Each change goes to four other members over links that are paid for, and to each disk. It costs
 * what has changed: a route of less than 200 bytes, and the record around it.
 */
#define CHANGE_MAX_BYTES 1024

static struct settings settings;
static struct control *control;

static u16 free_port(void)
{
	u16 port;

	close(raw_listen(&port));
	return port;
}

/* Starts a control process, the only member of its group. */
static void start(void)
{
	struct settings *s = &settings;
	struct member_setting self = { .id = 1 };

	log_open(NULL, LOG_ERROR, LOG_TEXT);
	s->cluster = g_strdup("breizh");
	s->control.id = 1;
	s->control.address = g_strdup("127.0.0.1");
	s->control.zone = g_strdup("z");
	s->control.region = g_strdup("r");
	s->control.data = g_dir_make_tmp("set_log_test_XXXXXX", NULL);
	s->control.api_port = free_port();
	s->control.api_listen =
		(struct endpoint){ .host = "127.0.0.1", .port = s->control.api_port };
	s->control.peer_port = free_port();
	s->control.members = g_array_new(FALSE, FALSE, sizeof(struct member_setting));
	self.at = (struct endpoint){ .host = "127.0.0.1", .port = s->control.peer_port };
	g_array_append_val(s->control.members, self);
	control = control_new(s);
	g_assert_cmpint(control->module.ops->start(&control->module, NULL), ==, 0);
}

struct declaration {
	GBytes *command;
	struct store_result result;
	gint is_done;
};

static void on_declared(struct control *c, struct op *o)
{
	struct declaration *d = o->arg;

	(void)c;
	d->result = o->result;
	g_atomic_int_set(&d->is_done, o->outcome == OP_DONE ? 1 : -1);
	op_free(o);
}

static void submit(void *arg)
{
	struct declaration *d = arg;
	struct op *o = op_new(OP_CHANGE);

	o->command = g_bytes_ref(d->command);
	o->done = on_declared;
	o->arg = d;
	op_submit(control, o);
}

/* Declares TEXT as the set of VERSION on BASE. Returns the status. */
static u16 declare(u64 version, u64 base, const char *text)
{
	struct store_change change = { .op = STORE_SET,
				       .name = (char *)SET_NAME,
				       .change_id = (char *)"",
				       .json = (char *)text,
				       .version = version,
				       .has_if_match = true,
				       .if_match = base };
	g_autoptr(GBytes) command = store_change_pack(&change);
	struct declaration d = { .command = command };

	for (u32 i = 0; i < WAIT_MS; i++) {
		d.is_done = 0;
		loop_call(control->loop, submit, &d);
		while (!g_atomic_int_get(&d.is_done))
			g_usleep(US_PER_MS);
		if (d.is_done == 1)
			return d.result.status;
	}
	return 0;
}

static u64 folder_bytes(void)
{
	g_autoptr(GDir) dir = g_dir_open(settings.control.data, 0, NULL);
	const char *name;
	u64 sum = 0;

	while ((name = g_dir_read_name(dir))) {
		g_autofree char *path = g_build_filename(settings.control.data, name, NULL);
		GStatBuf st;

		if (!g_stat(path, &st))
			sum += (u64)st.st_size;
	}
	return sum;
}

static void copy_text(void *arg)
{
	*(char **)arg = g_strdup(store_find(&control->store, SET_NAME)->json);
}

static void assert_text(const char *want)
{
	g_autofree char *text = NULL;

	loop_call(control->loop, copy_text, &text);
	g_assert_true(!g_strcmp0(text, want));
}

/* Guards against: the log, and the links between control processes, carry all routes at a change.
 */
static void test_one_route_fills_the_log(void)
{
	g_autofree char *first = fake_config_text(1, ROUTES, UINT32_MAX, TIMEOUT_MS);
	g_autofree char *second = fake_config_text(2, ROUTES, CHANGED_ROUTE, TIMEOUT_MS);
	u64 before;

	start();
	g_assert_cmpuint(declare(1, 0, first), ==, 201);
	before = folder_bytes();
	g_assert_cmpuint(before, >, 0);
	g_assert_cmpuint(declare(2, 1, second), ==, 200);
	assert_text(second);
	g_assert_cmpuint(folder_bytes(), >, before);
	g_assert_cmpuint(folder_bytes() - before, <=, CHANGE_MAX_BYTES);
}

int main(int argc, char **argv)
{
	int ret;

	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/set-log/one-route-fills-the-log", test_one_route_fills_the_log);
	ret = g_test_run();
	fflush(stdout);
	_exit(ret); /* the process still runs */
}
