/* A node's link to control, tested against fake control processes. */
#include "control/config_stream.h"
#include "lib/ctr.h"
#include "lib/delta.h"
#include "lib/err.h"
#include "lib/set.h"
#include "node/config.h"
#include "test/fakes/fake_node.h"
#include "test/fakes/httpc.h"
#include "test/fakes/raw_server.h"
#include "wire/ctl.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>

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
	gint word_age_ms; /* of its words of freshness when they are sent */
	gint watches;
	u64 request; /* number of the last one */
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
	frame_put_u64(&f, now_us - (u64)g_atomic_int_get(&c->word_age_ms) * US_PER_MS);
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

	frame_put_bool(&f, false);
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
		struct config_request r;

		if (config_request_get(in, &r))
			return ERR_INVAL;
		c->request = r.number;
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

/*
 * Guards against: a word of freshness that waited on its way counts as new, so the node stays with
 * a control process that was fresh a while ago.
 */
static void test_late_word_taken_for_new(void)
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
	began_us = loop_clock_us();
	g_atomic_int_set(&from->word_age_ms, 2000);
	wait_watches(to, 1);
	g_assert_cmpuint(to->watched_us - began_us, <, MOVE_MAX_US);
	/* Nor does it go back to one whose words are old. */
	g_usleep(2 * US_PER_S);
	g_assert_cmpint(g_atomic_int_get(&from->watches), ==, 1);
}

static void do_stall(void *arg)
{
	(void)arg;
	g_usleep(US_PER_S);
}

/*
 * Guards against: a node that was busy itself for a while takes its control process for not fresh,
 * though its words wait to be read.
 */
static void test_own_stall_taken_for_old_word(void)
{
	struct fake_node node;
	struct endpoint at = { .host = "127.0.0.1" };

	start_control(&controls[0]);
	fake_node_prepare(&node);
	g_array_set_size(node.settings.node.control, 0);
	at.port = controls[0].port;
	g_array_append_val(node.settings.node.control, at);
	fake_node_run(&node);
	wait_watches(&controls[0], 1);
	for (u32 i = 0; i < 3; i++) {
		loop_call(node.node->loop, do_stall, NULL);
		g_usleep(300 * US_PER_MS);
		g_assert_cmpuint(ctr_get(CTR_CONTROL_NOT_FRESH), ==, 0);
	}
}

#define SET_TEXT(version, name)                                                                    \
	"{\"version\":" version ",\"routes\":[{\"name\":\"" name                                   \
	"\",\"host\":\"h.example\",\"prefix\":\"/\",\"repeat\":\"always\",\"timeout_ms\":1000,"    \
	"\"target_ms\":250,\"attempts\":2,\"service\":\"a\"}],\"services\":[{\"name\":\"a\"}],"    \
	"\"limits\":{}}"

/* The next message of the control process, sent on its loop's thread. */
struct to_send {
	u64 revision;
	u64 base;
	const char *old_set;
	const char *new_set;
	const char *checksum_text; /* the text that the checksum is computed from */
};

static void put_set(struct frame_out *f, const struct to_send *s)
{
	frame_put_u64(f, s->revision);
	frame_put_bool(f, true);
	frame_put_bool(f, true);
	frame_put_u64(f, 1);
	frame_put_str(f, SET_NAME);
	frame_put_u64(f, s->revision);
	frame_put_u64(f, s->revision);
	frame_put_bool(f, true);
	frame_put_str(f, s->new_set);
}

/* Sends FRAME to the node of the first control process, as a stream of one part. Frees it. */
static void send_stream(const struct to_send *s, struct frame_out *frame)
{
	g_autoptr(GPtrArray) frames = g_ptr_array_new_with_free_func(ctl_frame_free);
	struct config_stream *stream;
	struct config_part p;
	FRAME_AUTO(f, CTL_CONFIG_PART);

	g_ptr_array_add(frames, frame);
	stream = config_stream_new(s->base, s->revision, frames);
	p = (struct config_part){ .request = controls[0].request,
				  .stream = stream->id,
				  .total = stream->bytes->len,
				  .bytes = stream->bytes->data,
				  .len = stream->bytes->len };
	config_part_put(&f, &p);
	link_send(controls[0].link, &f);
	config_stream_unref(stream);
}

static void send_set(void *arg)
{
	struct frame_out *f = ctl_frame_new(CTL_CONFIG);

	put_set(f, arg);
	send_stream(arg, f);
}

/* A part whose bytes are not in deflate form. */
static void send_damaged(void *arg)
{
	struct config_part p = { .request = controls[0].request,
				 .stream = { .to = 6, .checksum = 1 },
				 .total = 100,
				 .bytes = "no deflate",
				 .len = 10 };
	FRAME_AUTO(f, CTL_CONFIG_PART);

	(void)arg;
	config_part_put(&f, &p);
	link_send(controls[0].link, &f);
}

/* A stream with a frame that does not belong into one. */
static void send_foreign_frame(void *arg)
{
	struct to_send s = { .revision = 6 };

	(void)arg;
	send_stream(&s, ctl_frame_new(CTL_MEMBERS));
}

static void send_delta(void *arg)
{
	const struct to_send *s = arg;
	g_autoptr(GArray) ops = delta_make(s->old_set, s->new_set);
	struct frame_out *f = ctl_frame_new(CTL_SET_DELTA);

	frame_put_u64(f, s->revision);
	frame_put_u64(f, s->base);
	frame_put_u64(f, s->revision);
	frame_put_u64(f, XXH64(s->checksum_text, strlen(s->checksum_text), 0));
	delta_put(f, ops);
	send_stream(s, f);
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
	g_autofree char *padding = g_strnfill(4000, ' ');
	g_autofree char *text = g_strconcat(SET_TEXT("1", "one"), padding, NULL);
	struct to_send first = { .revision = 5, .new_set = text };
	struct fake_node node;

	start_node_of_first_control(&node);
	loop_call(controls[0].loop, send_set, &first);
	wait_revision(5);
	loop_call(controls[0].loop, send_damaged, NULL);
	wait_watches(&controls[0], 2);
	loop_call(controls[0].loop, send_foreign_frame, NULL);
	wait_watches(&controls[0], 3);
	g_assert_cmpuint(config_revision(), ==, 5);
}

/* A delta that does not apply changes nothing and makes the node request the whole set. */
static void test_set_delta(void)
{
	struct fake_node node;
	struct to_send first = { .revision = 5, .new_set = SET_TEXT("1", "one") };
	struct to_send next = { .revision = 6,
				.base = 5,
				.old_set = SET_TEXT("1", "one"),
				.new_set = SET_TEXT("2", "two"),
				.checksum_text = SET_TEXT("2", "two") };

	start_node_of_first_control(&node);
	loop_call(controls[0].loop, send_set, &first);
	wait_revision(5);
	loop_call(controls[0].loop, send_delta, &next);
	wait_revision(6);
	/* Based on a revision that the node does not have, then with a wrong checksum. */
	next.revision = 8;
	next.base = 7;
	loop_call(controls[0].loop, send_delta, &next);
	wait_watches(&controls[0], 2);
	next.base = 6;
	next.old_set = SET_TEXT("2", "two");
	next.new_set = SET_TEXT("3", "three");
	next.checksum_text = "another text";
	loop_call(controls[0].loop, send_delta, &next);
	wait_watches(&controls[0], 3);
	g_assert_cmpuint(config_revision(), ==, 6);
	/* A delta to an older revision is ignored. */
	next.revision = 4;
	loop_call(controls[0].loop, send_delta, &next);
	first.revision = 9;
	loop_call(controls[0].loop, send_set, &first);
	wait_revision(9);
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
	g_test_add_func("/watch/late-word-taken-for-new", test_late_word_taken_for_new);
	g_test_add_func("/watch/own-stall-taken-for-old-word", test_own_stall_taken_for_old_word);
	g_test_add_func("/watch/set-delta", test_set_delta);
	g_test_add_func("/watch/compressed-set", test_compressed_set);
	g_test_add_func("/watch/first-call-of-a-service", test_first_call_of_a_service);
	ret = g_test_run();
	fflush(stdout);
	_exit(ret); /* the node still runs */
}
