/* A node that did not run for a while and continues, with its home by the test. */
#include "test/fakes/fake_node.h"
#include "test/fakes/fake_peer.h"
#include "test/fakes/httpc.h"
#include "test/fakes/raw_server.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HTTP_WAIT_MS 20000
/* Longer than a node waits for a sign of life of a home that has calls. */
#define FROZEN_US (800 * US_PER_MS)
/* How much longer a home is frozen; much less than it may be silent. */
#define SILENT_LATER_US (250 * US_PER_MS)
/* Within this time a node checks for silent homes. */
#define CHECKED_US (150 * US_PER_MS)
/* Less than the time for which a home that was silent gets no calls. */
#define SERVED_WITHIN_US (500 * US_PER_MS)

#define UPSTREAM_TTL_MS 2000
#define GRACE_MS 3000

static struct fake_node node;
static struct fake_peer home;

struct caller {
	GThread *thread;
	const char *method;
	u32 timeout_ms;
	struct httpc_reply reply;
};

static gpointer caller_main(gpointer arg)
{
	struct caller *c = arg;
	g_autofree char *headers = g_strdup_printf("Host: sightings.example\r\n"
						   "Lavenderlead-Timeout-Ms: %u\r\n",
						   c->timeout_ms);
	int err = httpc_call("127.0.0.1", node.settings.node.caller_port, c->method, "/", headers,
			     "noted", HTTP_WAIT_MS, &c->reply);

	g_assert_cmpint(err, ==, 0);
	return NULL;
}

static void begin_call(struct caller *c, const char *method, u32 timeout_ms)
{
	memset(c, 0, sizeof(*c));
	c->method = method;
	c->timeout_ms = timeout_ms;
	c->thread = g_thread_new("caller", caller_main, c);
}

static void end_call(struct caller *c, int status)
{
	g_thread_join(c->thread);
	g_assert_cmpint(c->reply.status, ==, status);
	httpc_reply_clear(&c->reply);
}

static struct call_id expect_call(void)
{
	return peer_event_take_id(fake_peer_expect(&home, PEER_CALL));
}

/* Starts a node whose calls go to the home, and a call that the home holds. */
static struct call_id start_with_held_call(struct caller *c, u32 timeout_ms)
{
	fake_node_start(&node);
	fake_peer_start(&home, true);
	fake_node_set_directory_entry(&node, home.name, home.self.incarnation, DIR_UP);
	begin_call(c, "POST", timeout_ms);
	peer_event_free(fake_peer_expect(&home, PEER_EVENT_UP));
	return expect_call();
}

struct freeze {
	u64 span_us;
	gint has_begun;
};

static void sleep_in_loop(void *arg)
{
	struct freeze *f = arg;

	g_atomic_int_set(&f->has_begun, 1);
	g_usleep(f->span_us);
}

/* Keeps the loop from running for SPAN_US; returns when this has begun. */
static void freeze(struct freeze *f, struct loop *l, u64 span_us)
{
	*f = (struct freeze){ .span_us = span_us };
	loop_post(l, sleep_in_loop, f);
	while (!g_atomic_int_get(&f->has_begun))
		g_usleep(US_PER_MS);
}

/* Leaves the node running: its servers take seconds to stop. */
static void end(void)
{
	fake_peer_stop(&home);
}

/*
 * Guards against: a node that was frozen past the deadline of a call answers with 504 although the
 * answer has arrived.
 */
static void test_answer_that_came_in_time(void)
{
	struct freeze f;
	struct caller held;
	struct call_id id = start_with_held_call(&held, FROZEN_US / US_PER_MS);

	freeze(&f, node.node->loop, 2 * FROZEN_US);
	fake_peer_reply(&home, id, "noted");
	end_call(&held, 200);
	end();
}

static void do_nothing(void *arg)
{
	(void)arg;
}

/*
 * Guards against: a node that was frozen counts that time as silence of its homes, and refuses all
 * calls for a second after it continues. Nothing comes from the home, which is frozen for longer.
 */
static void test_own_pause_is_silence_of_homes(void)
{
	struct freeze of_home;
	struct freeze of_node;
	struct caller held;
	struct caller next;
	struct call_id id = start_with_held_call(&held, HTTP_WAIT_MS);

	freeze(&of_home, home.loop, FROZEN_US + SILENT_LATER_US);
	freeze(&of_node, node.node->loop, FROZEN_US);
	loop_call(node.node->loop, do_nothing, NULL);
	g_usleep(CHECKED_US);
	begin_call(&next, "GET", HTTP_WAIT_MS);
	fake_peer_reply(&home, expect_call(), "next");
	end_call(&next, 200);
	fake_peer_reply(&home, id, "noted");
	end_call(&held, 200);
	end();
}

struct usable {
	struct fake_node *node;
	bool is_usable; /* the result */
};

static void do_check_usable(void *arg)
{
	struct usable *u = arg;
	const struct choose_target *t = choose_find(&u->node->node->choose, home.name);

	u->is_usable = choose_is_usable(t, loop_clock_us());
}

static bool is_home_usable(void)
{
	struct usable u = { .node = &node };

	loop_call(node.node->loop, do_check_usable, &u);
	return u.is_usable;
}

static void wait_home_usable(bool is_usable)
{
	u64 until_us = loop_clock_us() + HTTP_WAIT_MS * US_PER_MS;
	bool now_usable = is_home_usable();

	while (now_usable != is_usable && loop_clock_us() < until_us) {
		g_usleep(US_PER_MS);
		now_usable = is_home_usable();
	}
	g_assert_cmpint(now_usable, ==, is_usable);
}

/* Guards against: a home that was frozen and answers again gets no calls for another second. */
static void test_home_that_answers_again_is_avoided(void)
{
	struct freeze f;
	u64 thawed_us;
	struct caller held;
	struct call_id id = start_with_held_call(&held, HTTP_WAIT_MS);

	freeze(&f, home.loop, FROZEN_US);
	wait_home_usable(false);
	loop_call(home.loop, do_nothing, NULL);
	thawed_us = loop_clock_us();
	wait_home_usable(true);
	g_assert_cmpuint(loop_clock_us() - thawed_us, <, SERVED_WITHIN_US);
	fake_peer_reply(&home, id, "noted");
	end_call(&held, 200);
	end();
}

static void do_check_upstream(void *arg)
{
	g_assert_cmpint(((struct fake_node *)arg)->node->dir_entry.state, ==, DIR_UP);
}

/*
 * Guards against: a node that was frozen for longer than the TTL of its upstream, whose VM may have
 * paused with it, removes the upstream before that can announce itself again.
 */
static void test_own_pause_is_silence_of_the_upstream(void)
{
	struct freeze f;

	fake_node_prepare(&node);
	node.settings.node.upstream_ttl_ms = UPSTREAM_TTL_MS;
	fake_node_run(&node);
	fake_node_announce_upstream(&node, 1, 4);
	freeze(&f, node.node->loop, UPSTREAM_TTL_MS * US_PER_MS * 3 / 2);
	loop_call(node.node->loop, do_nothing, NULL);
	g_usleep(CHECKED_US);
	loop_call(node.node->loop, do_check_upstream, &node);
}

static gpointer stop_main(gpointer unused)
{
	(void)unused;
	fake_node_stop(&node);
	return NULL;
}

/* Reads one answer without a body after its head, or what came until the connection ended. */
static char *read_head(int fd)
{
	GString *got = g_string_new(NULL);
	char byte;

	while (!strstr(got->str, "\r\n\r\n") && recv(fd, &byte, 1, 0) == 1)
		g_string_append_c(got, byte);
	return g_string_free(got, FALSE);
}

/*
 * Guards against: a node that was frozen until its grace had passed answers without "Connection:
 * close" and closes the connection at once, as the caller sends its next request.
 */
static void test_next_request_after_the_grace(void)
{
	struct freeze f;
	struct call_id id;
	GThread *stopper;
	g_autofree char *got = NULL;
	int fd;

	fake_node_prepare(&node);
	node.settings.node.shutdown_grace_ms = GRACE_MS;
	fake_node_run(&node);
	fake_peer_start(&home, true);
	fake_node_set_directory_entry(&node, home.name, home.self.incarnation, DIR_UP);
	fd = raw_connect(node.settings.node.caller_port);
	raw_write(fd, "POST / HTTP/1.1\r\nHost: sightings.example\r\nContent-Length: 0\r\n\r\n");
	peer_event_free(fake_peer_expect(&home, PEER_EVENT_UP));
	id = expect_call();
	stopper = g_thread_new("stopper", stop_main, NULL);
	g_usleep(CHECKED_US);
	freeze(&f, node.node->loop, GRACE_MS * US_PER_MS);
	fake_peer_reply(&home, id, "noted");
	got = read_head(fd);
	g_assert_true(g_str_has_prefix(got, "HTTP/1.1 200 "));
	g_assert_nonnull(strstr(got, "Connection: close"));
	g_thread_join(stopper);
	close(fd);
	end();
}

int main(int argc, char **argv)
{
	int ret;

	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/thaw/answer-that-came-in-time", test_answer_that_came_in_time);
	g_test_add_func("/thaw/own-pause-is-silence-of-homes", test_own_pause_is_silence_of_homes);
	g_test_add_func("/thaw/home-that-answers-again-is-avoided",
			test_home_that_answers_again_is_avoided);
	g_test_add_func("/thaw/own-pause-is-silence-of-the-upstream",
			test_own_pause_is_silence_of_the_upstream);
	g_test_add_func("/thaw/next-request-after-the-grace", test_next_request_after_the_grace);
	ret = g_test_run();
	fflush(stdout);
	_exit(ret); /* threads of the fakes are still running */
}
