/* The entry node against a home node that the test plays. */
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
	fake_node_directory(&node, home.name, home.self.incarnation, DIR_UP);
}

/* The node runs on, since its HTTP servers take seconds to stop; one test stops it. */
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

static void caller_end(struct caller *c, int status, const char *outcome, const char *body)
{
	g_thread_join(c->thread);
	g_assert_cmpint(c->err, ==, 0);
	g_assert_cmpint(c->reply.status, ==, status);
	g_assert_cmpstr(c->reply.outcome, ==, outcome);
	g_assert_false(c->reply.is_short);
	if (body)
		g_assert_cmpstr(c->reply.body, ==, body);
	httpc_reply_clear(&c->reply);
	g_free(c->body);
}

/* Takes the next call; its id. */
static struct call_id take_call(const char *body)
{
	struct peer_event *e = fake_peer_next(&home, PEER_CALL);
	struct call_id id = e->id;

	if (body)
		g_assert_cmpmem(e->body->data, e->body->len, body, strlen(body));
	peer_event_free(e);
	return id;
}

static void take_id(u32 type, struct call_id id)
{
	struct peer_event *e = fake_peer_next(&home, type);

	g_assert_cmpuint(e->id.incarnation, ==, id.incarnation);
	g_assert_cmpuint(e->id.seq, ==, id.seq);
	peer_event_free(e);
}

static void take_event(u32 type)
{
	peer_event_free(fake_peer_next(&home, type));
}

static void wait_counter(enum ctr c, u64 least)
{
	for (u32 i = 0; i < HTTP_WAIT_MS && ctr_get(c) < least; i++)
		g_usleep(US_PER_MS);
	g_assert_cmpuint(ctr_get(c), ==, least);
}

/*
 * Many callers at once; their answers come in the reverse order, each twice,
 * with refusals for calls already answered and answers to calls that never were.
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
		/* The first call brings the link up. */
		if (!i)
			take_event(PEER_EVENT_UP);
		calls[i] = fake_peer_next(&home, PEER_CALL);
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

		caller_end(&callers[i], 200, NULL, body);
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
	take_event(PEER_EVENT_UP);
	*id = take_call("one hoopoe");
	fake_peer_break(&home);
}

/* As start_broken_call; the link is up again and the fence has come. */
static void start_fenced_call(struct caller *c, struct call_id *id)
{
	start_broken_call(c, id);
	take_event(PEER_EVENT_UP);
	take_id(PEER_FENCE, *id);
}

/*
 * The first call for a service links all homes of its subset, so that the next choices know
 * their loads: after a start, or when upstreams join, an entry would choose blindly.
 */
static void test_first_call_links_all(void)
{
	struct fake_peer other;
	struct caller c;

	start();
	fake_peer_start(&other, true);
	fake_node_directory(&node, other.name, other.self.incarnation, DIR_UP);
	caller_start_call(&c, "POST", "one hoopoe", 1000);
	take_event(PEER_EVENT_UP);
	peer_event_free(fake_peer_next(&other, PEER_EVENT_UP));
	caller_end(&c, 504, "unknown", NULL);
	fake_peer_stop(&other);
	stop();
}

/* A call whose link broke is asked for by id, and never sent a second time. */
static void test_fence_not_run(void)
{
	struct call_id id;
	struct caller c;

	start_fenced_call(&c, &id);
	fake_peer_fenced(&home, id, FENCE_NOT_RUN);
	caller_end(&c, 503, "not-run", NULL);
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
	caller_end(&c, 200, NULL, "noted");
	g_assert_null(g_async_queue_try_pop(home.events));
	stop();
}

/* The link breaks again while the home says running: the entry asks again. */
static void test_fence_running(void)
{
	struct call_id id;
	struct caller c;

	start_fenced_call(&c, &id);
	fake_peer_fenced(&home, id, FENCE_RUNNING);
	fake_peer_break(&home);
	take_event(PEER_EVENT_UP);
	take_id(PEER_FENCE, id);
	fake_peer_fenced(&home, id, FENCE_RUNNING);
	fake_peer_reply(&home, id, "noted");
	caller_end(&c, 200, NULL, "noted");
	stop();
}

static void test_fence_unknown(void)
{
	struct call_id id;
	struct caller c;

	start_fenced_call(&c, &id);
	fake_peer_fenced(&home, id, FENCE_UNKNOWN);
	caller_end(&c, 502, "unknown", NULL);
	stop();
}

/* A restarted home remembers nothing, so it isn't asked. */
static void test_new_incarnation(void)
{
	struct call_id id;
	struct caller c;

	start();
	caller_start_call(&c, "POST", "one hoopoe", 0);
	take_event(PEER_EVENT_UP);
	id = take_call("one hoopoe");
	home.self.incarnation++;
	fake_peer_break(&home);
	take_event(PEER_EVENT_UP);
	caller_end(&c, 502, "unknown", NULL);
	g_assert_null(g_async_queue_try_pop(home.events));
	g_assert_cmpuint(id.seq, >, 0);
	stop();
}

/* A home that does not come back: the directory ends the wait long before the deadline. */
static void check_directory_ends_fence(u64 newer, enum dir_state state)
{
	u64 downs = ctr_get(CTR_LINK_DOWN);
	struct call_id id;
	struct caller c;

	start();
	caller_start_call(&c, "POST", "one hoopoe", 0);
	take_event(PEER_EVENT_UP);
	id = take_call("one hoopoe");
	fake_peer_unlisten(&home);
	fake_peer_break(&home);
	/* Until the entry has seen the break, the directory tells it nothing. */
	while (ctr_get(CTR_LINK_DOWN) == downs)
		g_usleep(US_PER_MS);
	/* News of an older incarnation say nothing of the call. */
	fake_node_directory(&node, home.name, home.self.incarnation - 1, DIR_GONE);
	g_assert_cmpuint(entry_in_progress(node.node), ==, 1);
	fake_node_directory(&node, home.name, home.self.incarnation + newer, state);
	caller_end(&c, 502, "unknown", NULL);
	g_assert_cmpuint(id.seq, >, 0);
	stop();
}

static void test_directory_ends_fence(void)
{
	check_directory_ends_fence(0, DIR_GONE);
	check_directory_ends_fence(1, DIR_UP);
}

/* At the deadline the home is told; what was sent is not called not-run. */
static void test_deadline(void)
{
	struct call_id id;
	struct caller c;

	start();
	caller_start_call(&c, "POST", "one hoopoe", 300);
	take_event(PEER_EVENT_UP);
	id = take_call("one hoopoe");
	take_id(PEER_CANCEL, id);
	caller_end(&c, 504, "unknown", NULL);
	stop();
}

/*
 * A home whose address answers no SYN: the call ends unsent, and says so. Its deadline comes
 * before any dial is given up, after which the call would be refused sooner.
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
		fillers[i] = raw_connect_soon(port);
	start();
	fake_node_directory(&node, home.name, home.self.incarnation, DIR_GONE);
	fake_node_directory(&node, name, 1, DIR_UP);
	caller_start_call(&c, "POST", "one hoopoe", LINK_CONNECT_TIMEOUT_MIN_US / US_PER_MS / 2);
	caller_end(&c, 504, "not-run", NULL);
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
	g_assert_cmpint(n, ==, 0); /* the end, not a reset */
	close(fd);
	return g_string_free(in, FALSE);
}

/* The caller sends its whole body, far over the limit, and then reads the answer. */
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

/* A body that ends early reaches no home. */
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

/* A caller that leaves: its idempotent call is cancelled at the home. */
static void test_caller_leaves(void)
{
	const char *text = "GET / HTTP/1.1\r\nHost: sightings.example\r\n\r\n";
	struct call_id id;
	int fd;

	start();
	fd = raw_connect(node.settings.node.caller_port);
	send_all(fd, text, strlen(text));
	take_event(PEER_EVENT_UP);
	id = take_call(NULL);
	close(fd);
	take_id(PEER_CANCEL, id);
	wait_counter(CTR_CALLER_LEFT, 1);
	stop();
}

/* A caller of a POST that only closed its side still gets the answer. */
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
	take_event(PEER_EVENT_UP);
	id = take_call("four");
	g_usleep(300 * US_PER_MS); /* several looks at the caller */
	fake_peer_reply(&home, id, "noted");
	answer = read_all(fd);
	g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200 "));
	g_assert_true(g_str_has_suffix(answer, "noted"));
	stop();
}

static void block(void *arg)
{
	(void)arg;
	g_usleep(3 * US_PER_S);
}

/*
 * The pattern: a VM goes dark without a word. Long before its link is given up, a call
 * that waits there and may be repeated is tried elsewhere, and new ones go there at once.
 */
static void test_dark_home(void)
{
	struct fake_peer other;
	struct caller first, second;
	u64 began;

	start();
	caller_start_call(&first, "GET", NULL, 0);
	take_event(PEER_EVENT_UP);
	take_call(NULL);
	fake_peer_start(&other, true);
	fake_node_directory(&node, other.name, other.self.incarnation, DIR_UP);
	loop_post(home.loop, block, NULL);
	began = loop_clock_us();
	peer_event_free(fake_peer_next(&other, PEER_EVENT_UP));
	fake_peer_reply(&other, peer_event_take_id(fake_peer_next(&other, PEER_CALL)), "first");
	caller_end(&first, 200, NULL, "first");
	caller_start_call(&second, "GET", NULL, 0);
	fake_peer_reply(&other, peer_event_take_id(fake_peer_next(&other, PEER_CALL)), "second");
	caller_end(&second, 200, NULL, "second");
	g_assert_cmpuint(loop_clock_us() - began, <, 2 * US_PER_S);
	fake_peer_stop(&other);
	stop();
}

static void block_shortly(void *arg)
{
	(void)arg;
	g_usleep(200 * US_PER_MS);
}

/*
 * The pattern: many connections are reset at once. Requests of one connection wait at a
 * home whose link breaks; the refusal of the first finds the connection reset, which ends
 * the others too.
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
	take_event(PEER_EVENT_UP);
	for (u32 i = 0; i < RESET_REQUESTS; i++)
		take_call(NULL);
	/* Both are there when the node looks again, the broken link first. */
	loop_post(node.node->loop, block_shortly, NULL);
	g_usleep(50 * US_PER_MS);
	fake_peer_unlisten(&home);
	fake_peer_break(&home);
	g_usleep(10 * US_PER_MS);
	raw_reset(fd);
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
	g_test_add_func("/entry/dark-home", test_dark_home);
	g_test_add_func("/entry/reset-beside-a-broken-link", test_reset_beside_a_broken_link);
	ret = g_test_run();
	fflush(stdout);
	_exit(ret); /* nodes still run */
}
