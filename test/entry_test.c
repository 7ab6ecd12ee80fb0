/* The entry node, with a home node simulated by the test. */
#include "lib/err.h"
#include "test/fakes/fake_node.h"
#include "test/fakes/fake_peer.h"
#include "test/fakes/httpc.h"
#include "test/fakes/raw_server.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CALLERS 32
#define HTTP_WAIT_MS 20000
#define BODY_BYTES 4194304
#define RESET_REQUESTS 24

struct caller {
	struct fake_node *node;
	GThread *thread;
	const char *method;
	u32 timeout_ms;
	char *body;
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

/* Leaves the node running, since its HTTP servers take seconds to stop; one test stops it. */
static void stop(void)
{
	fake_peer_stop(&home);
}

static gpointer caller_main(gpointer arg)
{
	struct caller *c = arg;
	g_autofree char *headers =
		g_strdup_printf("Host: sightings.example\r\nLavenderlead-Timeout-Ms: %u\r\n",
				c->timeout_ms ? c->timeout_ms : 2 * HTTP_WAIT_MS);

	c->err = httpc_call("127.0.0.1", node.settings.node.caller_port, c->method, "/", headers,
			    c->body, HTTP_WAIT_MS, &c->reply);
	return NULL;
}

static void caller_start_call(struct caller *c, const char *method, const char *body,
			      u32 timeout_ms)
{
	memset(c, 0, sizeof(*c));
	c->method = method;
	c->body = g_strdup(body);
	c->timeout_ms = timeout_ms;
	c->thread = g_thread_new("caller", caller_main, c);
}

static void caller_finish(struct caller *c, int status, const char *outcome, const char *body)
{
	g_thread_join(c->thread);
	g_assert_cmpint(c->err, ==, 0);
	g_assert_cmpint(c->reply.status, ==, status);
	g_assert_cmpstr(c->reply.outcome, ==, outcome);
	g_assert_false(c->reply.is_truncated);
	if (body)
		g_assert_cmpstr(c->reply.body, ==, body);
	httpc_reply_clear(&c->reply);
	g_free(c->body);
}

/* Receives the next call and returns its id. */
static struct call_id expect_call(const char *body)
{
	struct peer_event *e = fake_peer_expect(&home, PEER_CALL);
	struct call_id id = e->id;

	if (body)
		g_assert_cmpmem(e->body->data, e->body->len, body, strlen(body));
	peer_event_free(e);
	return id;
}

static void expect_id(u32 type, struct call_id id)
{
	struct peer_event *e = fake_peer_expect(&home, type);

	g_assert_cmpuint(e->id.incarnation, ==, id.incarnation);
	g_assert_cmpuint(e->id.seq, ==, id.seq);
	peer_event_free(e);
}

static void expect_event(u32 type)
{
	peer_event_free(fake_peer_expect(&home, type));
}

static void wait_counter(enum ctr c, u64 least)
{
	for (u32 i = 0; i < HTTP_WAIT_MS && ctr_get(c) < least; i++)
		g_usleep(US_PER_MS);
	g_assert_cmpuint(ctr_get(c), ==, least);
}

/*
 * Many concurrent callers. Answers arrive in reverse order and twice, along with refusals of
 * calls that were already answered and answers to calls that never existed.
 */
static void test_replies_by_id(void)
{
	struct peer_event *calls[CALLERS];
	struct caller callers[CALLERS];
	u64 late = ctr_get(CTR_LATE_REPLY);

	start();
	for (u32 i = 0; i < CALLERS; i++) {
		g_autofree char *body = g_strdup_printf("checklist %u", i);

		caller_start_call(&callers[i], "POST", body, 0);
		/* The first call establishes the link. */
		if (!i)
			expect_event(PEER_EVENT_UP);
		calls[i] = fake_peer_expect(&home, PEER_CALL);
	}
	fake_peer_reply(&home, (struct call_id){ 1, 1, 1 }, "nobody's");
	fake_peer_reply(&home,
			(struct call_id){ calls[0]->id.incarnation, 1 << 20, calls[0]->id.origin },
			"nobody's");
	for (u32 i = CALLERS; i > 0; i--) {
		const struct peer_event *e = calls[i - 1];
		g_autofree char *body = g_strndup((char *)e->body->data, e->body->len);

		fake_peer_reply(&home, e->id, body);
		fake_peer_reply(&home, e->id, "a second answer");
		fake_peer_refuse(&home, e->id, CTR_DRAINING, true);
	}
	for (u32 i = 0; i < CALLERS; i++) {
		g_autofree char *body = g_strdup(callers[i].body);

		caller_finish(&callers[i], 200, NULL, body);
		peer_event_free(calls[i]);
	}
	wait_counter(CTR_LATE_REPLY, late + 2 + 2 * CALLERS);
	stop();
	fake_node_stop(&node);
}

static void start_broken_call(struct caller *c, struct call_id *id)
{
	start();
	caller_start_call(c, "POST", "one hoopoe", 0);
	expect_event(PEER_EVENT_UP);
	*id = expect_call("one hoopoe");
	fake_peer_close_link(&home);
}

/* As start_broken_call, then waits until the link is up again and the fence has arrived. */
static void start_fenced_call(struct caller *c, struct call_id *id)
{
	start_broken_call(c, id);
	expect_event(PEER_EVENT_UP);
	expect_id(PEER_FENCE, *id);
}

/*
 * The first call for a service opens links to all home nodes of its subset. Without their
 * loads, an entry node would choose blindly after a start or when upstreams join.
 */
static void test_first_call_links_all(void)
{
	struct fake_peer other;
	struct caller c;

	start();
	fake_peer_start(&other, true);
	fake_node_set_directory_entry(&node, other.name, other.self.incarnation, DIR_UP);
	caller_start_call(&c, "POST", "one hoopoe", 1000);
	expect_event(PEER_EVENT_UP);
	peer_event_free(fake_peer_expect(&other, PEER_EVENT_UP));
	caller_finish(&c, 504, "unknown", NULL);
	fake_peer_stop(&other);
	stop();
}

/* After its link broke, a call is looked up by id and never sent a second time. */
static void test_fence_not_run(void)
{
	struct call_id id;
	struct caller c;

	start_fenced_call(&c, &id);
	fake_peer_fenced(&home, id, FENCE_NOT_RUN);
	caller_finish(&c, 503, "not-run", NULL);
	g_assert_null(g_async_queue_try_pop(home.events));
	stop();
}

static void test_fence_done(void)
{
	struct call_id id;
	struct caller c;

	start_fenced_call(&c, &id);
	fake_peer_fenced(&home, id, FENCE_DONE);
	fake_peer_reply(&home, id, "noted");
	caller_finish(&c, 200, NULL, "noted");
	g_assert_null(g_async_queue_try_pop(home.events));
	stop();
}

/* If the link breaks again while the call is running, the entry node sends another fence. */
static void test_fence_running(void)
{
	struct call_id id;
	struct caller c;

	start_fenced_call(&c, &id);
	fake_peer_fenced(&home, id, FENCE_RUNNING);
	fake_peer_close_link(&home);
	expect_event(PEER_EVENT_UP);
	expect_id(PEER_FENCE, id);
	fake_peer_fenced(&home, id, FENCE_RUNNING);
	fake_peer_reply(&home, id, "noted");
	caller_finish(&c, 200, NULL, "noted");
	stop();
}

static void test_fence_unknown(void)
{
	struct call_id id;
	struct caller c;

	start_fenced_call(&c, &id);
	fake_peer_fenced(&home, id, FENCE_UNKNOWN);
	caller_finish(&c, 502, "unknown", NULL);
	stop();
}

/* A restarted home node has lost its call table, so no fence is sent. */
static void test_new_incarnation(void)
{
	struct call_id id;
	struct caller c;

	start();
	caller_start_call(&c, "POST", "one hoopoe", 0);
	expect_event(PEER_EVENT_UP);
	id = expect_call("one hoopoe");
	home.self.incarnation++;
	fake_peer_close_link(&home);
	expect_event(PEER_EVENT_UP);
	caller_finish(&c, 502, "unknown", NULL);
	g_assert_null(g_async_queue_try_pop(home.events));
	g_assert_cmpuint(id.seq, >, 0);
	stop();
}

/* If a home node does not return, the directory ends the wait long before the deadline. */
static void check_directory_ends_fence(u64 incarnation_increase, enum dir_state state)
{
	u64 downs = ctr_get(CTR_LINK_DOWN);
	struct call_id id;
	struct caller c;

	start();
	caller_start_call(&c, "POST", "one hoopoe", 0);
	expect_event(PEER_EVENT_UP);
	id = expect_call("one hoopoe");
	fake_peer_stop_listening(&home);
	fake_peer_close_link(&home);
	/* Directory changes have no effect until the entry node has noticed the broken link. */
	while (ctr_get(CTR_LINK_DOWN) == downs)
		g_usleep(US_PER_MS);
	/* Changes of an older incarnation do not concern the call. */
	fake_node_set_directory_entry(&node, home.name, home.self.incarnation - 1, DIR_GONE);
	g_assert_cmpuint(entry_in_progress(node.node), ==, 1);
	fake_node_set_directory_entry(&node, home.name,
				      home.self.incarnation + incarnation_increase, state);
	caller_finish(&c, 502, "unknown", NULL);
	g_assert_cmpuint(id.seq, >, 0);
	stop();
}

static void test_directory_ends_fence(void)
{
	check_directory_ends_fence(0, DIR_GONE);
	check_directory_ends_fence(1, DIR_UP);
}

/* The deadline cancels the call at the home node; a call that was sent is not reported not-run. */
static void test_deadline(void)
{
	struct call_id id;
	struct caller c;

	start();
	caller_start_call(&c, "POST", "one hoopoe", 300);
	expect_event(PEER_EVENT_UP);
	id = expect_call("one hoopoe");
	expect_id(PEER_CANCEL, id);
	caller_finish(&c, 504, "unknown", NULL);
	stop();
}

/*
 * The home node's address does not answer SYNs: the call ends unsent and is reported as not run.
 * Its deadline is shorter than any dial timeout, which would otherwise end the call first.
 */
static void test_deadline_unsent(void)
{
	struct caller c;
	int fillers[8];
	u16 port;
	int fd = raw_listen(&port);
	g_autofree char *name = g_strdup_printf("127.0.0.1:%u", port);

	listen(fd, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(fillers); i++)
		fillers[i] = raw_connect_async(port);
	start();
	fake_node_set_directory_entry(&node, home.name, home.self.incarnation, DIR_GONE);
	fake_node_set_directory_entry(&node, name, 1, DIR_UP);
	caller_start_call(&c, "POST", "one hoopoe", LINK_CONNECT_TIMEOUT_MIN_US / US_PER_MS / 2);
	caller_finish(&c, 504, "not-run", NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(fillers); i++)
		close(fillers[i]);
	close(fd);
	stop();
}

static void send_all(int fd, const char *data, size_t len)
{
	while (len) {
		ssize_t n = send(fd, data, len, MSG_NOSIGNAL);

		if (n <= 0)
			return;
		data += n;
		len -= (size_t)n;
	}
}

static char *read_all(int fd)
{
	GString *in = g_string_new(NULL);
	char part[4096];
	ssize_t n;

	while ((n = recv(fd, part, sizeof(part), 0)) > 0)
		g_string_append_len(in, part, n);
	g_assert_cmpint(n, ==, 0); /* orderly end of stream, not a reset */
	close(fd);
	return g_string_free(in, FALSE);
}

/* The caller sends its whole body, which far exceeds the limit, before it reads the answer. */
static void test_body_too_large(void)
{
	static const char *const heads[] = {
		"POST / HTTP/1.1\r\nHost: sightings.example\r\nContent-Length: 4194304\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: sightings.example\r\nTransfer-Encoding: chunked\r\n\r\n"
		"400000\r\n",
	};
	g_autofree char *body = g_strnfill(BODY_BYTES, 'x');

	start();
	for (size_t i = 0; i < G_N_ELEMENTS(heads); i++) {
		int fd = raw_connect(node.settings.node.caller_port);
		g_autofree char *answer = NULL;

		send_all(fd, heads[i], strlen(heads[i]));
		send_all(fd, body, BODY_BYTES);
		if (i)
			send_all(fd, "\r\n0\r\n\r\n", 7);
		answer = read_all(fd);
		g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 413 "));
		g_assert_nonnull(strstr(answer, "\r\nLavenderlead-Outcome: not-run\r\n"));
		g_assert_nonnull(strstr(answer, "\r\nLavenderlead-Reason: body-too-large\r\n"));
		g_assert_nonnull(strstr(answer, "\r\nConnection: close\r\n"));
	}
	g_assert_null(g_async_queue_try_pop(home.events));
	stop();
}

/* A truncated request body is not forwarded to a home node. */
static void test_short_request_body(void)
{
	const char *text = "POST / HTTP/1.1\r\nHost: sightings.example\r\n"
			   "Content-Length: 100\r\n\r\nhalf a checklist";
	g_autofree char *answer = NULL;
	int fd;

	start();
	fd = raw_connect(node.settings.node.caller_port);
	send_all(fd, text, strlen(text));
	shutdown(fd, SHUT_WR);
	answer = read_all(fd);
	g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 400 "));
	g_assert_null(g_async_queue_try_pop(home.events));
	stop();
}

/* When a caller disconnects, its idempotent call is cancelled at the home node. */
static void test_caller_leaves(void)
{
	const char *text = "GET / HTTP/1.1\r\nHost: sightings.example\r\n\r\n";
	struct call_id id;
	int fd;

	start();
	fd = raw_connect(node.settings.node.caller_port);
	send_all(fd, text, strlen(text));
	expect_event(PEER_EVENT_UP);
	id = expect_call(NULL);
	close(fd);
	expect_id(PEER_CANCEL, id);
	wait_counter(CTR_CALLER_LEFT, 1);
	stop();
}

/* A caller that half-closes its connection after a POST still receives the answer. */
static void test_half_closed_post(void)
{
	const char *text = "POST / HTTP/1.1\r\nHost: sightings.example\r\nContent-Length: 4\r\n"
			   "Connection: close\r\n\r\nfour";
	g_autofree char *answer = NULL;
	struct call_id id;
	int fd;

	start();
	fd = raw_connect(node.settings.node.caller_port);
	send_all(fd, text, strlen(text));
	shutdown(fd, SHUT_WR);
	expect_event(PEER_EVENT_UP);
	id = expect_call("four");
	g_usleep(300 * US_PER_MS); /* the node checks the caller several times */
	fake_peer_reply(&home, id, "noted");
	answer = read_all(fd);
	g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200 "));
	g_assert_true(g_str_has_suffix(answer, "noted"));
	stop();
}

static void block_loop(void *arg)
{
	(void)arg;
	g_usleep(3 * US_PER_S);
}

/*
 * A VM stops responding without closing its connections. Long before its link times out, an
 * idempotent call that waits there is tried elsewhere, and new calls go elsewhere at once.
 */
static void test_unresponsive_home(void)
{
	struct fake_peer other;
	struct caller first, second;
	u64 began;

	start();
	caller_start_call(&first, "GET", NULL, 0);
	expect_event(PEER_EVENT_UP);
	expect_call(NULL);
	fake_peer_start(&other, true);
	fake_node_set_directory_entry(&node, other.name, other.self.incarnation, DIR_UP);
	loop_post(home.loop, block_loop, NULL);
	began = loop_clock_us();
	peer_event_free(fake_peer_expect(&other, PEER_EVENT_UP));
	fake_peer_reply(&other, peer_event_take_id(fake_peer_expect(&other, PEER_CALL)), "first");
	caller_finish(&first, 200, NULL, "first");
	caller_start_call(&second, "GET", NULL, 0);
	fake_peer_reply(&other, peer_event_take_id(fake_peer_expect(&other, PEER_CALL)), "second");
	caller_finish(&second, 200, NULL, "second");
	g_assert_cmpuint(loop_clock_us() - began, <, 2 * US_PER_S);
	fake_peer_stop(&other);
	stop();
}

/* Guards against: a refusal that comes twice also ends the call's next attempt, which runs. */
static void test_refusal_that_comes_twice(void)
{
	u64 late = ctr_get(CTR_LATE_REPLY);
	struct fake_peer other;
	struct call_id refused;
	struct call_id running;
	struct caller c;

	start();
	caller_start_call(&c, "POST", "one hoopoe", 0);
	expect_event(PEER_EVENT_UP);
	refused = expect_call("one hoopoe");
	fake_peer_start(&other, true);
	fake_node_set_directory_entry(&node, other.name, other.self.incarnation, DIR_UP);
	fake_peer_refuse(&home, refused, CTR_DRAINING, true);
	peer_event_free(fake_peer_expect(&other, PEER_EVENT_UP));
	running = peer_event_take_id(fake_peer_expect(&other, PEER_CALL));
	fake_peer_refuse(&home, refused, CTR_DRAINING, true);
	fake_peer_refuse(&home, refused, CTR_UPSTREAM_SHED, true);
	fake_peer_refuse(&home, refused, CTR_UPSTREAM_BROKEN, false);
	wait_counter(CTR_LATE_REPLY, late + 3);
	g_assert_cmpuint(running.seq, !=, refused.seq);
	fake_peer_reply(&other, running, "noted");
	caller_finish(&c, 200, NULL, "noted");
	fake_peer_stop(&other);
	stop();
}

/*
 * Guards against: what a home node says once more of a fenced call ends the call's next attempt,
 * which runs, or starts a third.
 */
static void test_frames_that_come_after_a_fence(void)
{
	u64 late = ctr_get(CTR_LATE_REPLY);
	struct fake_peer other;
	struct call_id fenced;
	struct call_id running;
	struct caller c;

	start_fenced_call(&c, &fenced);
	fake_peer_start(&other, true);
	fake_node_set_directory_entry(&node, other.name, other.self.incarnation, DIR_UP);
	fake_peer_fenced(&home, fenced, FENCE_NOT_RUN);
	peer_event_free(fake_peer_expect(&other, PEER_EVENT_UP));
	running = peer_event_take_id(fake_peer_expect(&other, PEER_CALL));
	fake_peer_fenced(&home, fenced, FENCE_NOT_RUN);
	fake_peer_fenced(&home, fenced, FENCE_UNKNOWN);
	fake_peer_fenced(&home, fenced, FENCE_DONE);
	fake_peer_reply(&home, fenced, "a late answer");
	fake_peer_refuse(&home, fenced, CTR_UPSTREAM_SHED, true);
	fake_peer_refuse(&home, fenced, CTR_UPSTREAM_BROKEN, false);
	/* Nobody has asked for the outcome of the attempt that runs. */
	fake_peer_fenced(&other, running, FENCE_NOT_RUN);
	fake_peer_fenced(&other, running, FENCE_UNKNOWN);
	wait_counter(CTR_LATE_REPLY, late + 6);
	fake_peer_reply(&other, running, "noted");
	fake_peer_refuse(&other, running, CTR_UPSTREAM_SHED, true);
	caller_finish(&c, 200, NULL, "noted");
	fake_peer_stop(&other);
	stop();
}

/* Guards against: a call that runs is told as not run by an earlier outcome of its fence. */
static void test_running_after_a_fence(void)
{
	struct call_id id;
	struct caller c;

	start_fenced_call(&c, &id);
	fake_peer_fenced(&home, id, FENCE_RUNNING);
	fake_peer_fenced(&home, id, FENCE_RUNNING);
	fake_peer_refuse(&home, id, CTR_UPSTREAM_BROKEN, false);
	fake_peer_refuse(&home, id, CTR_UPSTREAM_SHED, true);
	fake_peer_fenced(&home, id, FENCE_NOT_RUN);
	caller_finish(&c, 502, "unknown", NULL);
	stop();
}

/* The link breaks within the body of the reply. */
static void cut_reply(struct caller *c, const char *method, struct call_id *id)
{
	start();
	caller_start_call(c, method, strcmp(method, "POST") ? NULL : "one hoopoe", 0);
	expect_event(PEER_EVENT_UP);
	*id = expect_call(NULL);
	fake_peer_send_reply_head(&home, *id, 10);
	fake_peer_send_body(&home, *id, "not");
	fake_peer_close_link(&home);
}

/* Guards against: a reply whose body was cut between two nodes is passed on as whole. */
static void test_reply_cut_between_nodes(void)
{
	struct call_id id;
	struct caller c;

	cut_reply(&c, "POST", &id);
	expect_event(PEER_EVENT_UP);
	expect_id(PEER_FENCE, id);
	fake_peer_fenced(&home, id, FENCE_DONE);
	fake_peer_send_reply_head(&home, id, 5);
	fake_peer_send_body(&home, id, "noted");
	caller_finish(&c, 200, NULL, "noted");
	stop();
	cut_reply(&c, "GET", &id);
	caller_finish(&c, 502, "unknown", NULL);
	stop();
}

static void block_loop_briefly(void *arg)
{
	(void)arg;
	g_usleep(200 * US_PER_MS);
}

/*
 * Requests of one caller connection wait at a home node whose link breaks while the caller's
 * connection is reset. Refusing the first request detects the reset, which ends the others
 * during the iteration over them.
 */
static void test_reset_beside_a_broken_link(void)
{
	const char *text = "GET / HTTP/1.1\r\nHost: sightings.example\r\n\r\n";
	struct caller after;
	int fd;

	start();
	fd = raw_connect(node.settings.node.caller_port);
	for (u32 i = 0; i < RESET_REQUESTS; i++)
		send_all(fd, text, strlen(text));
	expect_event(PEER_EVENT_UP);
	for (u32 i = 0; i < RESET_REQUESTS; i++)
		expect_call(NULL);
	/* Both events are pending when the node's loop resumes, the broken link first. */
	loop_post(node.node->loop, block_loop_briefly, NULL);
	g_usleep(50 * US_PER_MS);
	fake_peer_stop_listening(&home);
	fake_peer_close_link(&home);
	g_usleep(10 * US_PER_MS);
	raw_reset_on_close(fd);
	close(fd);
	caller_start_call(&after, "GET", NULL, 300);
	g_thread_join(after.thread);
	g_assert_cmpint(after.err, ==, 0);
	stop();
}

int main(int argc, char **argv)
{
	int ret;

	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entry/replies-by-id", test_replies_by_id);
	g_test_add_func("/entry/fence-not-run", test_fence_not_run);
	g_test_add_func("/entry/fence-done", test_fence_done);
	g_test_add_func("/entry/fence-running", test_fence_running);
	g_test_add_func("/entry/fence-unknown", test_fence_unknown);
	g_test_add_func("/entry/new-incarnation", test_new_incarnation);
	g_test_add_func("/entry/directory-ends-fence", test_directory_ends_fence);
	g_test_add_func("/entry/deadline", test_deadline);
	g_test_add_func("/entry/deadline-unsent", test_deadline_unsent);
	g_test_add_func("/entry/body-too-large", test_body_too_large);
	g_test_add_func("/entry/short-request-body", test_short_request_body);
	g_test_add_func("/entry/caller-leaves", test_caller_leaves);
	g_test_add_func("/entry/half-closed-post", test_half_closed_post);
	g_test_add_func("/entry/first-call-links-all", test_first_call_links_all);
	g_test_add_func("/entry/unresponsive-home", test_unresponsive_home);
	g_test_add_func("/entry/refusal-that-comes-twice", test_refusal_that_comes_twice);
	g_test_add_func("/entry/frames-that-come-after-a-fence",
			test_frames_that_come_after_a_fence);
	g_test_add_func("/entry/running-after-a-fence", test_running_after_a_fence);
	g_test_add_func("/entry/reply-cut-between-nodes", test_reply_cut_between_nodes);
	g_test_add_func("/entry/reset-beside-a-broken-link", test_reset_beside_a_broken_link);
	ret = g_test_run();
	fflush(stdout);
	_exit(ret); /* node threads are still running */
}
