/* Closing of links to homes that are not used, and the calls that need them again. */
#include "test/fakes/fake_node.h"
#include "test/fakes/fake_peer.h"
#include "test/fakes/httpc.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define HTTP_WAIT_MS 20000
/* In which a node that dials again, or closes a link, would have done so. */
#define QUIET_US (700 * US_PER_MS)
#define BLOCK_US (200 * US_PER_MS)
#define HOUR_US (3600 * US_PER_S)

struct caller {
	GThread *thread;
	const char *method;
	int err;
	struct httpc_reply reply;
};

static struct fake_node node;
static struct fake_peer home;

static void start(void)
{
	fake_node_start(&node);
	fake_peer_start(&home, true);
	fake_node_set_directory_entry(&node, home.name, home.self.incarnation, DIR_UP);
}

/* Leaves the node running, as its HTTP servers take seconds to stop. */
static void stop(void)
{
	fake_peer_stop(&home);
}

static gpointer caller_main(gpointer arg)
{
	struct caller *c = arg;

	c->err = httpc_call("127.0.0.1", node.settings.node.caller_port, c->method, "/",
			    "Host: sightings.example\r\nLavenderlead-Timeout-Ms: 15000\r\n",
			    strcmp(c->method, "POST") ? NULL : "one hoopoe", HTTP_WAIT_MS,
			    &c->reply);
	return NULL;
}

static void caller_start_call(struct caller *c, const char *method)
{
	memset(c, 0, sizeof(*c));
	c->method = method;
	c->thread = g_thread_new("caller", caller_main, c);
}

static void caller_finish(struct caller *c, int status, const char *outcome)
{
	g_thread_join(c->thread);
	g_assert_cmpint(c->err, ==, 0);
	g_assert_cmpint(c->reply.status, ==, status);
	g_assert_cmpstr(c->reply.outcome, ==, outcome);
	httpc_reply_clear(&c->reply);
}

static void expect_event(u32 type)
{
	peer_event_free(fake_peer_expect(&home, type));
}

/* The home gets the call and answers it. */
static void answer_call(struct caller *c)
{
	fake_peer_reply(&home, peer_event_take_id(fake_peer_expect(&home, PEER_CALL)), "noted");
	caller_finish(c, 200, NULL);
}

/* Makes a first call, which opens the link. */
static void link_by_call(void)
{
	struct caller c;

	caller_start_call(&c, "POST");
	expect_event(PEER_EVENT_UP);
	answer_call(&c);
}

static void close_idle(void *arg)
{
	mesh_close_idle_links(node.node, loop_clock_us() + *(const u64 *)arg);
}

/* Closes the links that are idle in IN_US, with the state of now. Returns how many were closed. */
static u64 close_idle_in(u64 in_us)
{
	u64 before = ctr_get(CTR_LINK_IDLE);

	loop_call(node.node->loop, close_idle, &in_us);
	return ctr_get(CTR_LINK_IDLE) - before;
}

static void block_loop_briefly(void *arg)
{
	(void)arg;
	g_usleep(BLOCK_US);
}

static gint is_blocked; /* the node's loop is in block_and_close_idle */

static void block_and_close_idle(void *arg)
{
	u64 span_us = MESH_IDLE_LINK_US;

	(void)arg;
	g_atomic_int_set(&is_blocked, 1);
	g_usleep(BLOCK_US);
	close_idle(&span_us);
}

/* The loop reads what the test sends after this only once it has closed the idle links. */
static void begin_close(void)
{
	g_atomic_int_set(&is_blocked, 0);
	loop_post(node.node->loop, block_and_close_idle, NULL);
	while (!g_atomic_int_get(&is_blocked))
		g_usleep(US_PER_MS);
}

static void assert_no_event(void)
{
	g_usleep(QUIET_US);
	g_assert_null(g_async_queue_try_pop(home.events));
}

/* Guards against: a link to a home that is not called any more takes bandwidth for ever. */
static void test_unused_link_is_closed(void)
{
	u64 silent = ctr_get(CTR_LINK_SILENT);

	start();
	link_by_call();
	g_assert_cmpuint(close_idle_in(MESH_IDLE_LINK_US - 10 * US_PER_S), ==, 0);
	g_assert_cmpuint(close_idle_in(MESH_IDLE_LINK_US), ==, 1);
	expect_event(PEER_EVENT_DOWN);
	g_assert_cmpuint(close_idle_in(MESH_IDLE_LINK_US), ==, 0);
	/* Nothing dials again, and the home is neither silent nor unreachable. */
	assert_no_event();
	g_assert_cmpuint(ctr_get(CTR_LINK_SILENT), ==, silent);
	g_assert_true(
		choose_is_usable(choose_find(&node.node->choose, home.name), loop_clock_us()));
	stop();
}

/* Guards against: the first call after a pause is lost, repeated or refused. */
static void check_reopen(const char *method)
{
	u64 unreachable = ctr_get(CTR_PEER_UNREACHABLE);
	struct caller c;

	start();
	for (u32 i = 0; i < 3; i++) {
		caller_start_call(&c, method);
		expect_event(PEER_EVENT_UP);
		answer_call(&c);
		g_assert_cmpuint(close_idle_in(MESH_IDLE_LINK_US), ==, 1);
		expect_event(PEER_EVENT_DOWN);
	}
	g_assert_null(g_async_queue_try_pop(home.events));
	g_assert_cmpuint(ctr_get(CTR_PEER_UNREACHABLE), ==, unreachable);
	stop();
}

static void test_next_call_reopens(void)
{
	check_reopen("POST");
	check_reopen("GET");
}

/* Answers the call that comes to one of two homes; both links come up, in any order. */
static void answer_at_either(struct fake_peer *other, struct caller *c)
{
	struct fake_peer *both[] = { &home, other };
	u32 ups = 0;
	u32 calls = 0;

	for (u32 i = 0; (ups < 2 || calls < 1) && i < 2 * HTTP_WAIT_MS; i++) {
		struct peer_event *e = g_async_queue_timeout_pop(both[i % 2]->events, US_PER_MS);

		ups += e && e->type == PEER_EVENT_UP;
		calls += e && e->type == PEER_CALL;
		if (e && e->type == PEER_CALL)
			fake_peer_reply(both[i % 2], e->id, "noted");
		peer_event_free(e);
	}
	g_assert_cmpuint(ups, ==, 2);
	g_assert_cmpuint(calls, ==, 1);
	caller_finish(c, 200, NULL);
}

/*
 * Guards against: after a pause only the home that is called is linked, so that the choice among
 * the others is blind and a hedge has to dial.
 */
static void test_next_call_links_the_whole_subset(void)
{
	struct fake_peer other;
	struct caller c;

	start();
	fake_peer_start(&other, true);
	fake_node_set_directory_entry(&node, other.name, other.self.incarnation, DIR_UP);
	for (u32 i = 0; i < 3; i++) {
		caller_start_call(&c, "POST");
		answer_at_either(&other, &c);
		g_assert_cmpuint(close_idle_in(MESH_IDLE_LINK_US), ==, 2);
		expect_event(PEER_EVENT_DOWN);
		peer_event_free(fake_peer_expect(&other, PEER_EVENT_DOWN));
	}
	fake_peer_stop(&other);
	stop();
}

static void call_service_in_an_hour(void *arg)
{
	(void)arg;
	choose_find_service(&node.node->choose, "sightings")->last_used_us =
		loop_clock_us() + HOUR_US;
}

/*
 * Guards against: of a service that is called all the time, the links to the homes that happen to
 * get no call are closed and opened again and again.
 */
static void test_used_service_keeps_its_links(void)
{
	start();
	link_by_call();
	loop_call(node.node->loop, call_service_in_an_hour, NULL);
	g_assert_cmpuint(close_idle_in(HOUR_US), ==, 0);
	g_assert_cmpuint(close_idle_in(HOUR_US + MESH_IDLE_LINK_US), ==, 1);
	expect_event(PEER_EVENT_DOWN);
	stop();
}

/* Guards against: a long call is cut off, because nothing is sent while it runs. */
static void test_call_in_progress_keeps_its_link(void)
{
	struct call_id id;
	struct caller c;

	start();
	caller_start_call(&c, "POST");
	expect_event(PEER_EVENT_UP);
	id = peer_event_take_id(fake_peer_expect(&home, PEER_CALL));
	g_assert_cmpuint(close_idle_in(HOUR_US), ==, 0);
	assert_no_event();
	fake_peer_reply(&home, id, "noted");
	caller_finish(&c, 200, NULL);
	g_assert_cmpuint(close_idle_in(HOUR_US), ==, 1);
	stop();
}

/* Guards against: the answer to a call that runs on after its link broke comes to no link. */
static void test_fenced_call_keeps_its_link(void)
{
	struct call_id id;
	struct caller c;

	start();
	caller_start_call(&c, "POST");
	expect_event(PEER_EVENT_UP);
	id = peer_event_take_id(fake_peer_expect(&home, PEER_CALL));
	fake_peer_close_link(&home);
	expect_event(PEER_EVENT_UP);
	expect_event(PEER_FENCE);
	g_assert_cmpuint(close_idle_in(HOUR_US), ==, 0);
	fake_peer_fenced(&home, id, FENCE_RUNNING);
	g_assert_cmpuint(close_idle_in(HOUR_US), ==, 0);
	fake_peer_reply(&home, id, "noted");
	caller_finish(&c, 200, NULL);
	stop();
}

/* Waits for the call after a close; the home may hear of the new link before the old one's end. */
static struct call_id expect_call_on_new_link(void)
{
	struct call_id id = { 0 };
	u32 ups = 0;

	while (!id.seq) {
		struct peer_event *e = fake_peer_expect_any(&home);

		ups += e->type == PEER_EVENT_UP;
		if (e->type == PEER_CALL)
			id = e->id;
		peer_event_free(e);
	}
	g_assert_cmpuint(ups, ==, 1);
	return id;
}

/* Guards against: a call right after the close goes to the closed link, or is sent on both. */
static void test_call_right_after_the_close(void)
{
	u64 span_us = MESH_IDLE_LINK_US;
	struct call_id id;
	struct caller c;

	start();
	link_by_call();
	/* When the home's loop goes on, the end of the old link and the new one wait for it. */
	loop_post(home.loop, block_loop_briefly, NULL);
	loop_call(node.node->loop, close_idle, &span_us);
	caller_start_call(&c, "POST");
	id = expect_call_on_new_link();
	fake_peer_reply(&home, id, "noted");
	caller_finish(&c, 200, NULL);
	g_usleep(BLOCK_US);
	while (g_async_queue_length(home.events) > 0)
		expect_event(PEER_EVENT_DOWN);
	stop();
}

/* Guards against: a call that waits while the close is decided finds a link that is gone. */
static void test_call_that_waits_during_the_close(void)
{
	struct caller c;

	start();
	link_by_call();
	begin_close();
	caller_start_call(&c, "POST");
	fake_peer_reply(&home, expect_call_on_new_link(), "noted");
	caller_finish(&c, 200, NULL);
	stop();
}

/* Guards against: a frame that the home sends at the moment of the close breaks what follows. */
static void test_frame_of_the_home_crosses_the_close(void)
{
	u64 late = ctr_get(CTR_LATE_REPLY);
	struct caller c;

	start();
	link_by_call();
	begin_close();
	fake_peer_refuse(&home, (struct call_id){ 1, 1, 1 }, CTR_DRAINING, true);
	expect_event(PEER_EVENT_DOWN);
	/* It was never read: the link was closed with it. */
	g_assert_cmpuint(ctr_get(CTR_LATE_REPLY), ==, late);
	caller_start_call(&c, "POST");
	expect_event(PEER_EVENT_UP);
	answer_call(&c);
	stop();
}

/* Guards against: the close of a node's own link ends the calls that the same peer sends to it. */
static void test_call_of_the_peer_crosses_the_close(void)
{
	struct call_id id = { .incarnation = 1000, .seq = 1, .origin = 1 };
	struct fake_peer entry;
	struct peer_event *e;

	start();
	link_by_call();
	fake_peer_start(&entry, false);
	g_free(entry.name);
	entry.name = g_strdup(home.name);
	entry.self.name = entry.name;
	fake_peer_dial(&entry, node.settings.node.peer_port);
	peer_event_free(fake_peer_expect(&entry, PEER_EVENT_UP));
	begin_close();
	fake_peer_call(&entry, id, "POST", "one hoopoe", loop_clock_us() + 15 * US_PER_S);
	expect_event(PEER_EVENT_DOWN);
	/* This node has no upstream, which is its answer. */
	e = fake_peer_expect(&entry, PEER_REFUSE);
	g_assert_cmpuint(e->id.seq, ==, id.seq);
	g_assert_true(e->is_not_run);
	peer_event_free(e);
	g_assert_null(g_async_queue_try_pop(entry.events));
	fake_peer_stop(&entry);
	stop();
}

/* Guards against: a call to a home that died without a link is reported as one that may have run.
 */
static void test_home_that_died_meanwhile(void)
{
	struct caller c;

	start();
	link_by_call();
	g_assert_cmpuint(close_idle_in(MESH_IDLE_LINK_US), ==, 1);
	expect_event(PEER_EVENT_DOWN);
	fake_peer_stop_listening(&home);
	caller_start_call(&c, "POST");
	caller_finish(&c, 503, "not-run");
	g_assert_null(g_async_queue_try_pop(home.events));
	stop();
}

int main(int argc, char **argv)
{
	int ret;

	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/mesh-idle/unused-link-is-closed", test_unused_link_is_closed);
	g_test_add_func("/mesh-idle/next-call-reopens", test_next_call_reopens);
	g_test_add_func("/mesh-idle/next-call-links-the-whole-subset",
			test_next_call_links_the_whole_subset);
	g_test_add_func("/mesh-idle/used-service-keeps-its-links",
			test_used_service_keeps_its_links);
	g_test_add_func("/mesh-idle/call-in-progress-keeps-its-link",
			test_call_in_progress_keeps_its_link);
	g_test_add_func("/mesh-idle/fenced-call-keeps-its-link", test_fenced_call_keeps_its_link);
	g_test_add_func("/mesh-idle/call-right-after-the-close", test_call_right_after_the_close);
	g_test_add_func("/mesh-idle/call-that-waits-during-the-close",
			test_call_that_waits_during_the_close);
	g_test_add_func("/mesh-idle/frame-of-the-home-crosses-the-close",
			test_frame_of_the_home_crosses_the_close);
	g_test_add_func("/mesh-idle/call-of-the-peer-crosses-the-close",
			test_call_of_the_peer_crosses_the_close);
	g_test_add_func("/mesh-idle/home-that-died-meanwhile", test_home_that_died_meanwhile);
	ret = g_test_run();
	fflush(stdout);
	_exit(ret); /* node threads are still running */
}
