#include "test/fakes/lone_control.h"

#include "control/op.h"
#include "test/fakes/raw_server.h"
#include "test/fakes/set_change.h"

#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#define WAIT_US (20 * US_PER_S)

static void run(struct lone_control *p)
{
	p->control = control_new(&p->settings);
	g_assert_cmpint(p->control->module.ops->start(&p->control->module, NULL), ==, 0);
}

static void end(struct lone_control *p)
{
	p->control->module.ops->stop(&p->control->module);
	control_free(p->control);
}

void lone_control_start(struct lone_control *p, const char *zone)
{
	struct settings *s = &p->settings;
	struct member_setting self = { .id = 1 };

	s->cluster = g_strdup("breizh");
	s->control.id = 1;
	s->control.address = g_strdup("127.0.0.1");
	s->control.zone = g_strdup(zone);
	s->control.region = g_strdup("r");
	s->control.data = g_dir_make_tmp("lone_control_XXXXXX", NULL);
	s->control.api_port = raw_free_port();
	s->control.api_listen =
		(struct endpoint){ .host = "127.0.0.1", .port = s->control.api_port };
	s->control.peer_port = raw_free_port();
	s->control.members = g_array_new(FALSE, FALSE, sizeof(struct member_setting));
	s->node.control = g_array_new(FALSE, FALSE, sizeof(struct endpoint));
	self.at = (struct endpoint){ .host = "127.0.0.1", .port = s->control.peer_port };
	g_array_append_val(s->control.members, self);
	run(p);
}

void lone_control_restart(struct lone_control *p)
{
	end(p);
	run(p);
}

struct declaration {
	struct control *control;
	GBytes *command;
	struct store_result result;
	gint outcome; /* OP_PENDING until the change has ended */
};

static void on_declared(struct control *c, struct op *o)
{
	struct declaration *d = o->arg;

	(void)c;
	d->result = o->result;
	g_atomic_int_set(&d->outcome, o->outcome);
	op_free(o);
}

static void submit(void *arg)
{
	struct declaration *d = arg;
	struct op *o = op_new(OP_CHANGE);

	o->command = g_bytes_ref(d->command);
	o->done = on_declared;
	o->arg = d;
	op_submit(d->control, o);
}

/* Submits the change and waits for its end. */
static int declare_once(struct declaration *d, u64 end_us)
{
	g_atomic_int_set(&d->outcome, OP_PENDING);
	loop_call(d->control->loop, submit, d);
	while (g_atomic_int_get(&d->outcome) == OP_PENDING && loop_clock_us() < end_us)
		g_usleep(US_PER_MS);
	return g_atomic_int_get(&d->outcome);
}

u16 lone_control_declare(struct lone_control *p, u64 version, u64 base, const char *text)
{
	g_autoptr(GBytes) command = set_change_pack(version, base, "", text);
	struct declaration d = { .control = p->control, .command = command };
	u64 end_us = loop_clock_us() + WAIT_US;

	while (declare_once(&d, end_us) == OP_NOT_RUN && loop_clock_us() < end_us)
		;
	return d.outcome == OP_DONE ? d.result.status : 0;
}

void lone_control_remove_folder(struct lone_control *p)
{
	const char *path = p->settings.control.data;
	g_autoptr(GDir) dir = path ? g_dir_open(path, 0, NULL) : NULL;
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		g_autofree char *file = g_build_filename(path, name, NULL);

		g_unlink(file);
	}
	if (path)
		g_rmdir(path);
}

void lone_control_stop(struct lone_control *p)
{
	end(p);
	lone_control_remove_folder(p);
	settings_clear(&p->settings);
	memset(p, 0, sizeof(*p));
}
