/* A node that starts while the clock of its VM is behind that of its last start. */
#include "control/directory.h"
#include "lib/ctr.h"
#include "test/fakes/fake_node.h"
#include "test/fakes/lone_control.h"

#define WAIT_US (10 * US_PER_S)
#define AHEAD_US (3600 * US_PER_S)

static struct lone_control control;
static struct fake_node node;
static u64 known;

/* Control knows an earlier start of the node, by a clock that was an hour ahead. */
static void register_earlier_start(void *arg)
{
	struct dir_entry e = { .node = arg,
			       .zone = (char *)"z",
			       .region = (char *)"r",
			       .incarnation = known,
			       .version = 7,
			       .state = DIR_UP,
			       .service = (char *)"sightings",
			       .slots = 4,
			       .connections = 4 };

	directory_register(&control.control->directory, &e, loop_clock_us());
}

struct query {
	const char *name;
	u64 incarnation;
	enum dir_state state;
};

static void look_up(void *arg)
{
	struct query *q = arg;
	const struct directory_item *item = directory_find(&control.control->directory, q->name);

	q->incarnation = item->entry.incarnation;
	q->state = directory_state(item);
}

/*
 * Guards against: control refuses the registration of a node whose incarnation is lower than that
 * of its last start, so that it gets no configuration and answers 503 for up to 600 s.
 */
static void test_clock_behind_at_a_restart(void)
{
	g_autofree char *name = NULL;
	struct endpoint at = { .host = "127.0.0.1" };
	struct query q = { 0 };
	u64 end_us;

	lone_control_start(&control, "z");
	fake_node_prepare(&node);
	name = g_strdup_printf("127.0.0.1:%u", node.settings.node.peer_port);
	q.name = name;
	known = loop_wall_clock_us() + AHEAD_US;
	loop_call(control.control->loop, register_earlier_start, name);
	g_array_set_size(node.settings.node.control, 0);
	at.port = control.settings.control.peer_port;
	g_array_append_val(node.settings.node.control, at);
	end_us = loop_clock_us() + WAIT_US;
	fake_node_run(&node);
	while (q.incarnation <= known && loop_clock_us() < end_us) {
		g_usleep(US_PER_MS);
		loop_call(control.control->loop, look_up, &q);
	}
	g_assert_cmpuint(q.incarnation, ==, known + 1);
	g_assert_cmpint(q.state, ==, DIR_NO_UPSTREAM);
	g_assert_cmpuint(ctr_get(CTR_INCARNATION_RAISED), ==, 1);
	/* Its link stays, and is renewed. */
	g_usleep(2 * US_PER_S);
	loop_call(control.control->loop, look_up, &q);
	g_assert_cmpint(q.state, ==, DIR_NO_UPSTREAM);
	g_assert_cmpuint(ctr_get(CTR_INCARNATION_RAISED), ==, 1);
	fake_node_stop(&node);
	lone_control_stop(&control);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/incarnation/clock-behind-at-a-restart", test_clock_behind_at_a_restart);
	return g_test_run();
}
