/* A node's link to control, tested against fake control processes. */
#include "lib/set.h"
#include "node/config.h"
#include "test/fakes/fake_config.h"
#include "test/fakes/fake_node.h"
#include "test/fakes/httpc.h"
#include "test/fakes/raw_server.h"
#include "wire/ctl.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define FRESH_INTERVAL_US (50 * US_PER_MS)
#define WAIT_MS 20000
/* A configuration must be in force within this time, so a node must have moved by then. */
#define MOVE_MAX_US (2 * US_PER_S)

/* A fake control process that reports whether it is fresh, and counts the watches it gets. */
struct fake_control {
	struct loop *loop;
	struct link_id self;
	struct link_listener *listener;
	struct link *link;
	struct loop_timer timer;
	u16 port;
	gint is_fresh;
	gint watches;
	u64 watched_us;
	gint sends_views; /* whether it answers CTL_SUBSCRIBE */
	gint subscribed_services; /* services in all CTL_SUBSCRIBE messages */
};

static struct fake_control controls[2];

static void on_timer(void *arg, u64 now_us)
{
	struct fake_control *c = arg;
	FRAME_AUTO(f, CTL_FRESHNESS);

	frame_put_bool(&f, g_atomic_int_get(&c->is_fresh));
	frame_put_u64(&f, 1);
	if (c->link)
		link_send(c->link, &f);
	loop_timer_set(c->loop, &c->timer, now_us + FRESH_INTERVAL_US);
}

static void on_up(struct link *k)
{
	((struct fake_control *)k->arg)->link = k;
}

/* Answers that the requested services have no upstream. */
static void on_subscribe(struct fake_control *c, struct link *k, struct frame_in *in)
{
	u32 n = frame_get_count(in, CTL_SUBSCRIPTIONS_MAX);
	FRAME_AUTO(f, CTL_VIEW);

	frame_put_u64(&f, 1);
	frame_put_u64(&f, n);
	for (u32 i = 0; i < n; i++) {
		g_autofree char *name = frame_get_str(in, CTL_NAME_MAX_BYTES);

		frame_put_str(&f, name);
	}
	frame_put_u64(&f, 0);
	g_atomic_int_add(&c->subscribed_services, (gint)n);
	if (g_atomic_int_get(&c->sends_views))
		link_send(k, &f);
}

static int on_frame(struct link *k, u32 type, struct frame_in *in)
{
	struct fake_control *c = k->arg;

	if (type == CTL_SUBSCRIBE)
		on_subscribe(c, k, in);
	if (type == CTL_WATCH) {
		c->watched_us = loop_clock_us();
		g_atomic_int_inc(&c->watches);
	}
	return 0;
}

static void on_down(struct link *k, int err)
{
	struct fake_control *c = k->arg;

	(void)err;
	if (c->link == k)
		c->link = NULL;
}

static const struct link_ops ops = { .up = on_up, .frame = on_frame, .down = on_down };

static void start_control(struct fake_control *c)
{
	int fd = raw_listen(&c->port);

	close(fd);
	c->loop = loop_new("fake-control");
	c->self = (struct link_id){ .cluster = (char *)"breizh",
				    .role = LINK_CONTROL,
				    .name = g_strdup_printf("127.0.0.1:%u", c->port),
				    .zone = (char *)"elsewhere",
				    .region = (char *)"r",
				    .incarnation = 1 };
	c->is_fresh = 1;
	c->sends_views = 1;
	c->listener = link_listen(c->loop, &c->self, "127.0.0.1", c->port, &ops, c);
	g_assert_nonnull(c->listener);
	c->timer = (struct loop_timer){ .fire = on_timer, .arg = c };
	loop_timer_set(c->loop, &c->timer, loop_clock_us());
	g_assert_cmpint(loop_start(c->loop), ==, 0);
}

static void do_drop_link(void *arg)
{
	struct fake_control *c = arg;

	if (c->link)
		link_close(c->link);
	c->link = NULL;
}

static void drop_link(struct fake_control *c)
{
	loop_call(c->loop, do_drop_link, c);
}

static void wait_watches(struct fake_control *c, gint least)
{
	for (u32 i = 0; i < WAIT_MS && g_atomic_int_get(&c->watches) < least; i++)
		g_usleep(US_PER_MS);
	g_assert_cmpint(g_atomic_int_get(&c->watches), >=, least);
}

/*
 * A control process that was tried because it might be nearer, and was not, must be tried again
 * at once when the main one stops being fresh.
 */
static void test_moves_to_process_tried_before(void)
{
	struct fake_node node;
	struct fake_control *from;
	struct fake_control *to;
	u64 began_us;

	start_control(&controls[0]);
	start_control(&controls[1]);
	fake_node_prepare(&node);
	g_array_set_size(node.settings.node.control, 0);
	for (guint i = 0; i < G_N_ELEMENTS(controls); i++) {
		struct endpoint at = { .host = "127.0.0.1", .port = controls[i].port };

		g_array_append_val(node.settings.node.control, at);
	}
	fake_node_run(&node);
	for (u32 i = 0; i < WAIT_MS && !controls[0].watches && !controls[1].watches; i++)
		g_usleep(US_PER_MS);
	from = controls[0].watches ? &controls[0] : &controls[1];
	to = from == &controls[0] ? &controls[1] : &controls[0];
	/* Time for a trial of the other one. */
	g_usleep(US_PER_S);
	g_assert_cmpint(g_atomic_int_get(&to->watches), ==, 0);
	began_us = loop_clock_us();
	g_atomic_int_set(&from->is_fresh, 0);
	wait_watches(to, 1);
	g_assert_cmpuint(to->watched_us - began_us, <, MOVE_MAX_US);
}

#define SET_TEXT(version, name)                                                                    \
	"{\"version\":" version ",\"routes\":[{\"name\":\"" name                                   \
	"\",\"host\":\"h.example\",\"prefix\":\"/\",\"repeat\":\"always\",\"timeout_ms\":1000,"    \
	"\"target_ms\":250,\"attempts\":2,\"service\":\"a\"}],\"services\":[{\"name\":\"a\"}],"    \
	"\"limits\":{}}"

/* The frames that control makes of its sets, sent on its loop's thread. */
static struct fake_config declared;

static void declare(u64 version, const char *text)
{
	fake_config_replace(&declared, version, text);
}

/* Sends the frames from the revision ARG to the newest. */
static void send_frames(void *arg)
{
	const GPtrArray *frames =
		config_frames_get(&declared.frames, &declared.store, GPOINTER_TO_UINT(arg));

	for (guint i = 0; i < frames->len; i++)
		link_send(controls[0].link, g_ptr_array_index(frames, i));
}

static void send_from(u32 revision)
{
	loop_call(controls[0].loop, send_frames, GUINT_TO_POINTER(revision));
}

/* A compressed frame whose bytes are damaged. */
static void send_damaged(void *arg)
{
	FRAME_AUTO(f, CTL_COMPRESSED);

	(void)arg;
	frame_put_u64(&f, 100000);
	frame_put_bin(&f, "no deflate", 10);
	link_send(controls[0].link, &f);
}

/* A difference without changes, and with a checksum that fits no set. */
struct misfit {
	u64 revision;
	u64 base;
};

static void send_misfit(void *arg)
{
	const struct misfit *m = arg;
	FRAME_AUTO(f, CTL_CONFIG);

	frame_put_u64(&f, CTL_CONFIG_BEGIN);
	frame_put_u64(&f, m->revision);
	frame_put_u64(&f, m->base);
	frame_put_u64(&f, CTL_CONFIG_END);
	frame_put_u64(&f, 1234);
	frame_put_u64(&f, 1);
	frame_put_u64(&f, 1);
	link_send(controls[0].link, &f);
}

static void wait_revision(u64 revision)
{
	for (u32 i = 0; i < WAIT_MS && config_revision() != revision; i++)
		g_usleep(US_PER_MS);
	g_assert_cmpuint(config_revision(), ==, revision);
}

/* Starts a node whose only control process is the first fake one, and waits for its watch. */
static void start_node_of_first_control(struct fake_node *node)
{
	struct endpoint at = { .host = "127.0.0.1" };

	start_control(&controls[0]);
	fake_node_prepare(node);
	g_array_set_size(node->settings.node.control, 0);
	at.port = controls[0].port;
	g_array_append_val(node->settings.node.control, at);
	fake_node_run(node);
	wait_watches(&controls[0], 1);
}

/* A compressed set comes into force; a damaged one ends the link and changes nothing. */
static void test_compressed_set(void)
{
	g_autofree char *text = fake_config_text(2, 1000, UINT32_MAX, 1000);
	struct fake_node node;

	start_node_of_first_control(&node);
	fake_config_init(&declared);
	/* The node already has a configuration with revision 1. */
	declare(1, SET_TEXT("1", "one"));
	declare(2, text);
	send_from(0);
	wait_revision(2);
	g_assert_cmpuint(config_current()->set->routes.count, ==, 1000);
	loop_call(controls[0].loop, send_damaged, NULL);
	wait_watches(&controls[0], 2);
	g_assert_cmpuint(config_revision(), ==, 2);
}

/* A difference that does not fit changes nothing and makes the node request the whole set, once. */
static void test_set_delta(void)
{
	struct misfit m = { .revision = 9, .base = 8 };
	struct fake_node node;

	start_node_of_first_control(&node);
	fake_config_init(&declared);
	declare(1, SET_TEXT("1", "one"));
	declare(2, SET_TEXT("2", "two"));
	send_from(0);
	wait_revision(2);
	declare(3, SET_TEXT("3", "three"));
	send_from(2);
	wait_revision(3);
	g_assert_cmpuint(config_current()->set->version, ==, 3);
	/* Based on a revision that the node does not have; then with a wrong checksum. */
	loop_call(controls[0].loop, send_misfit, &m);
	wait_watches(&controls[0], 2);
	g_assert_cmpuint(config_revision(), ==, 3);
	declare(4, SET_TEXT("4", "four"));
	send_from(0);
	wait_revision(4);
	m = (struct misfit){ .revision = 5, .base = 4 };
	loop_call(controls[0].loop, send_misfit, &m);
	wait_watches(&controls[0], 3);
	g_assert_cmpuint(config_revision(), ==, 4);
	loop_call(controls[0].loop, send_misfit, &m);
	/* A difference to an older revision is ignored. */
	m = (struct misfit){ .revision = 3, .base = 2 };
	loop_call(controls[0].loop, send_misfit, &m);
	declare(5, SET_TEXT("5", "five"));
	send_from(0);
	wait_revision(5);
	g_assert_cmpint(g_atomic_int_get(&controls[0].watches), ==, 3);
}

/* Returns the duration of a call to the configured service, which must fail with REASON. */
static u64 measure_call_us(const struct fake_node *node, const char *reason)
{
	u64 began_us = loop_clock_us();
	struct httpc_reply reply;

	g_assert_cmpint(httpc_call("127.0.0.1", node->settings.node.caller_port, "GET", "/",
				   "Host: sightings.example\r\n", NULL, 5000, &reply),
			==, 0);
	g_assert_cmpint(reply.status, ==, 503);
	g_assert_cmpstr(reply.reason, ==, reason);
	httpc_reply_clear(&reply);
	return loop_clock_us() - began_us;
}

/*
 * The first call of a service waits until control has sent the service's upstreams, even if there
 * are none, but only for a limited time.
 */
static void test_first_call_of_a_service(void)
{
	struct fake_node node;
	struct endpoint at = { .host = "127.0.0.1" };

	start_control(&controls[0]);
	g_atomic_int_set(&controls[0].sends_views, 0);
	fake_node_prepare(&node);
	g_array_set_size(node.settings.node.control, 0);
	at.port = controls[0].port;
	g_array_append_val(node.settings.node.control, at);
	fake_node_run(&node);
	wait_watches(&controls[0], 1);
	g_assert_cmpint(g_atomic_int_get(&controls[0].subscribed_services), ==, 0);
	g_assert_cmpuint(measure_call_us(&node, "no-upstream"), >=, 400 * US_PER_MS);
	g_assert_cmpint(g_atomic_int_get(&controls[0].subscribed_services), ==, 1);
	/* The service is requested from the next control process before a call arrives. */
	g_atomic_int_set(&controls[0].sends_views, 1);
	drop_link(&controls[0]);
	wait_watches(&controls[0], 2);
	g_assert_cmpuint(measure_call_us(&node, "no-upstream"), <, 400 * US_PER_MS);
	g_assert_cmpuint(measure_call_us(&node, "no-upstream"), <, 400 * US_PER_MS);
}

int main(int argc, char **argv)
{
	int ret;

	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/watch/moves-to-process-tried-before", test_moves_to_process_tried_before);
	g_test_add_func("/watch/set-delta", test_set_delta);
	g_test_add_func("/watch/compressed-set", test_compressed_set);
	g_test_add_func("/watch/first-call-of-a-service", test_first_call_of_a_service);
	ret = g_test_run();
	fflush(stdout);
	_exit(ret); /* the node still runs */
}
