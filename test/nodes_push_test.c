/* What a control process spends in one turn of its loop on the configuration of many nodes. */
#include "control/control.h"
#include "lib/ctr.h"
#include "lib/log.h"
#include "test/fakes/fake_config.h"
#include "test/fakes/lone_control.h"
#include "test/fakes/quiet_link.h"
#include "test/fakes/raw_server.h"
#include "test/fakes/set_change.h"
#include "wire/ctl.h"

#include <stdio.h>
#include <unistd.h>

#define LISTENERS 23
#define NODES 1105 /* of one control process at the size that is aimed at: docs/CAPACITY.md */
#define ROUTES 6000
#define WAIT_US (10 * US_PER_S)
/* For the links to connect; those that say nothing are closed after 2 s. */
#define CONNECTED_US (200 * US_PER_MS)
/*
 * The loop of a control process may be held up for 25 ms, a sixth of the interval of heartbeats, at
 * 0.6 of a core.
 */
#define TURN_MAX_US (15 * US_PER_MS)

#define FIRST_SET "{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"a\"}],\"limits\":{}}"

static struct lone_control process;
static u16 ports[LISTENERS];
static u64 longest_us;

static void on_link_down(struct link *k, int err)
{
	(void)err;
	nodes_on_link_down(process.control, k);
}

/* Connects as many nodes, which have the revision of the store. Nobody reads at the other end. */
static void add_nodes(void *arg)
{
	static const struct link_ops ops = { .up = quiet_link_up,
					     .frame = quiet_link_frame,
					     .down = on_link_down };
	struct control *c = arg;

	for (u32 i = 0; i < NODES; i++) {
		struct config_request q = { .number = 1, .revision = c->store.revision };
		struct link *k =
			link_dial(c->loop, &c->self, "127.0.0.1", ports[i % LISTENERS], &ops, NULL);
		struct frame_in in;
		FRAME_AUTO(f, CTL_WATCH);

		g_assert_nonnull(k);
		k->remote.name = g_strdup_printf("10.0.%u.%u:7000", i / 250, i % 250);
		k->remote.zone = g_strdup("elsewhere");
		k->remote.region = g_strdup("r");
		nodes_on_link_up(c, k);
		config_request_put(&f, &q);
		frame_in_init(&in, f.buf.data + FRAME_HEADER_BYTES,
			      frame_end(&f) - FRAME_HEADER_BYTES);
		g_assert_cmpuint(frame_get_u64(&in), ==, CTL_WATCH);
		g_assert_cmpint(nodes_on_frame(c, k, CTL_WATCH, &in), ==, 0);
	}
}

/* Changes the store as an entry of the log would, makes the stream, and pushes it to all nodes. */
static void push_change(void *arg)
{
	struct control *c = arg;
	g_autofree char *text = fake_config_text(2, ROUTES, 0, 1000);
	g_autoptr(GBytes) command = set_change_pack(2, 1, "", text);
	u64 from = c->store.revision;
	struct store_result result;
	u64 began_us;

	store_apply(&c->store, command, &result);
	config_stream_unref(config_streams_get(&c->config_streams, &c->store, from));
	g_assert_true(raft_is_fresh(&c->raft, CTL_LEASE_US, loop_clock_us()));
	began_us = fake_config_cpu_us();
	nodes_push(c);
	longest_us = fake_config_cpu_us() - began_us;
}

/*
 * Guards against: a control process sends a change to all of its nodes in one turn of its loop, and
 * its heartbeats and words of freshness wait.
 */
static void test_change_holds_up_control(void)
{
	u64 before;
	u64 expected;
	u64 start_us;

	g_assert_cmpint(lone_control_declare(&process, 1, 0, FIRST_SET) / 100, ==, 2);
	loop_call(process.control->loop, add_nodes, process.control);
	g_usleep(CONNECTED_US);
	before = ctr_get(CTR_CONFIG_SENT_BYTES);
	loop_call(process.control->loop, push_change, process.control);
	g_test_message("%u us for %u nodes", (u32)longest_us, NODES);
	expected = before + (u64)NODES * CONFIG_WINDOW_BYTES;
	start_us = loop_clock_us();
	while (ctr_get(CTR_CONFIG_SENT_BYTES) < expected && loop_clock_us() - start_us < WAIT_US)
		g_usleep(US_PER_MS);
	g_assert_cmpuint(ctr_get(CTR_CONFIG_SENT_BYTES), ==, expected);
	g_assert_cmpuint(longest_us, <=, TURN_MAX_US);
}

int main(int argc, char **argv)
{
	int ret;

	g_test_init(&argc, &argv, NULL);
	log_open(NULL, LOG_ERROR, LOG_TEXT);
	for (u32 i = 0; i < LISTENERS; i++)
		raw_listen(&ports[i]);
	lone_control_start(&process, "elsewhere");
	g_test_add_func("/nodes-push/change-holds-up-control", test_change_holds_up_control);
	ret = g_test_run();
	lone_control_remove_folder(&process);
	fflush(stdout);
	_exit(ret); /* the process still runs */
}
