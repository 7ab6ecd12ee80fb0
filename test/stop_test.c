/* A node that stops while its callers keep sending, with home, entry and upstream by the test. */
#include "lib/err.h"
#include "test/fakes/fake_node.h"
#include "test/fakes/fake_peer.h"
#include "test/fakes/raw_server.h"

#include <glib.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define GRACE_MS 3000
#define GRACE_US (GRACE_MS * US_PER_MS)
#define LONG_GRACE_MS 10000
#define WAIT_MS 20000
/* More than a socket takes whose other end doesn't read. */
#define LONG_BODY_BYTES (8u * 1024 * 1024)

static struct fake_node node;
static struct fake_peer home;
static struct fake_peer entry;
static struct raw_server upstream;
static GThread *stopper;
static u64 stop_us; /* when the node was told to stop */
static u64 ended_us;

/* The schedule of any grace is in order and keeps what the users' rules state in seconds. */
static void test_plan(void)
{
	static const u64 graces_ms[] = { 0,    1,     100,   1000,  2000,  3000,
					 6000, 10000, 30000, 60000, 120000 };

	for (size_t i = 0; i < G_N_ELEMENTS(graces_ms); i++) {
		u64 begin_us = 5 * US_PER_S;
		u64 grace_us = graces_ms[i] * US_PER_MS;
		struct stop s;

		stop_begin(&s, begin_us, grace_us);
		g_assert_cmpuint(s.begin_us, <=, s.serve_us);
		g_assert_cmpuint(s.serve_us, <=, s.read_us);
		g_assert_cmpuint(s.read_us, <=, s.upstream_us);
		g_assert_cmpuint(s.upstream_us, <=, s.end_us);
		g_assert_cmpuint(s.end_us, <=, s.close_us);
		g_assert_cmpuint(s.close_us, <=, begin_us + grace_us);
		/* What is taken without regard to its deadline was sent within 3 s ... */
		g_assert_cmpuint(s.serve_us, <, begin_us + 3 * US_PER_S);
		/* ... and its upstream may work until the last sixth of the grace. */
		g_assert_cmpuint(s.upstream_us, >=, begin_us + grace_us * 5 / 6);
	}
}

/* A node takes any call, then only calls that end in time; upstreams get earlier deadlines. */
static void test_which_calls_are_taken(void)
{
	struct stop s = { 0 };
	u64 begin_us = 5 * US_PER_S;

	g_assert_true(stop_may_take(&s, UINT64_MAX, begin_us));
	g_assert_cmpuint(stop_limit_us(&s, UINT64_MAX), ==, UINT64_MAX);
	stop_begin(&s, begin_us, 6 * US_PER_S);
	g_assert_true(stop_may_take(&s, UINT64_MAX, s.serve_us - 1));
	g_assert_false(stop_may_take(&s, UINT64_MAX, s.serve_us));
	g_assert_false(stop_may_take(&s, s.upstream_us + 1, s.serve_us));
	g_assert_true(stop_may_take(&s, s.upstream_us, s.serve_us));
	g_assert_cmpuint(stop_limit_us(&s, UINT64_MAX), ==, s.upstream_us);
	g_assert_cmpuint(stop_limit_us(&s, begin_us + 1), ==, begin_us + 1);
}

static void start_node(void)
{
	fake_node_prepare(&node);
	node.settings.node.shutdown_grace_ms = GRACE_MS;
	fake_node_run(&node);
}

static gpointer stop_main(gpointer unused)
{
	(void)unused;
	fake_node_stop(&node);
	ended_us = loop_clock_us();
	return NULL;
}

static void begin_stop(void)
{
	stop_us = loop_clock_us();
	stopper = g_thread_new("stopper", stop_main, NULL);
}

/* Waits until PERCENT of the grace has passed. */
static void wait_grace(u32 percent)
{
	u64 until_us = stop_us + GRACE_US * percent / 100;
	u64 now = loop_clock_us();

	if (now < until_us)
		g_usleep(until_us - now);
}

static void start_with_home(void)
{
	start_node();
	fake_peer_start(&home, true);
	fake_node_set_directory_entry(&node, home.name, home.self.incarnation, DIR_UP);
}

static void end(void)
{
	g_thread_join(stopper);
	g_assert_cmpuint(ended_us - stop_us, <, GRACE_US);
}

static int connect_caller(void)
{
	int fd = raw_connect(node.settings.node.caller_port);

	g_assert_cmpint(fd, >=, 0);
	return fd;
}

static void send_request(int fd, const char *method, u32 timeout_ms)
{
	g_autofree char *text =
		g_strdup_printf("%s / HTTP/1.1\r\nHost: sightings.example\r\n"
				"Lavenderlead-Timeout-Ms: %u\r\nContent-Length: 0\r\n\r\n",
				method, timeout_ms);

	raw_write(fd, text);
}

/* Reads until the connection ends. */
static char *read_all(int fd)
{
	GString *got = g_string_new(NULL);
	char buf[65536];
	ssize_t n;

	while ((n = recv(fd, buf, sizeof(buf), 0)) > 0)
		g_string_append_len(got, buf, n);
	return g_string_free(got, FALSE);
}

/* Reads one answer, or "" if the connection ends without one. */
static char *read_answer(int fd)
{
	struct timeval timeout = { .tv_sec = WAIT_MS / 1000 };
	GString *got = g_string_new(NULL);
	char buf[4096];
	ssize_t n;

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	while (!strstr(got->str, "\r\n\r\n") && (n = recv(fd, buf, sizeof(buf), 0)) > 0)
		g_string_append_len(got, buf, n);
	return g_string_free(got, FALSE);
}

static void expect_answer(int fd, const char *status_line, const char *header)
{
	g_autofree char *got = read_answer(fd);

	if (!g_str_has_prefix(got, status_line) || (header && !strstr(got, header)))
		g_error("instead of %s with %s: %s", status_line, header ? header : "-", got);
}

/* The next event at the home node is a call. */
static struct call_id expect_call(u64 *deadline_us)
{
	struct peer_event *e = fake_peer_expect(&home, PEER_CALL);

	if (deadline_us)
		*deadline_us = e->deadline_us;
	return peer_event_take_id(e);
}

static void expect_no_call(void)
{
	struct peer_event *e;

	while ((e = g_async_queue_try_pop(home.events))) {
		g_assert_cmpuint(e->type, !=, PEER_CALL);
		peer_event_free(e);
	}
}

/* Establishes the link and leaves one call at the home node, so that the stop has to wait. */
static struct call_id hold_call(int fd)
{
	send_request(fd, "POST", 60000);
	peer_event_free(fake_peer_expect(&home, PEER_EVENT_UP));
	return expect_call(NULL);
}

/*
 * Guards against: a request that comes late in the grace on an open connection is passed on,
 * though it may last longer than the process, and is broken off at the end.
 */
static void test_late_request_passed_on_and_cut(void)
{
	struct call_id held;
	int first;
	int kept;

	start_with_home();
	first = connect_caller();
	kept = connect_caller();
	held = hold_call(first);
	begin_stop();
	wait_grace(55);
	send_request(kept, "POST", 30000);
	expect_answer(kept, "HTTP/1.1 503 ", "Lavenderlead-Outcome: not-run");
	expect_no_call();
	fake_peer_reply(&home, held, "noted");
	expect_answer(first, "HTTP/1.1 200 ", "Connection: close");
	end();
}

/* A request whose time ends well within the grace is served. */
static void test_late_short_request_is_served(void)
{
	struct call_id held;
	int first;
	int kept;

	start_with_home();
	first = connect_caller();
	kept = connect_caller();
	held = hold_call(first);
	begin_stop();
	wait_grace(55);
	send_request(kept, "POST", 400);
	fake_peer_reply(&home, expect_call(NULL), "noted");
	expect_answer(kept, "HTTP/1.1 200 ", "Connection: close");
	fake_peer_reply(&home, held, "noted");
	expect_answer(first, "HTTP/1.1 200 ", NULL);
	end();
}

/*
 * Guards against: a request that was read in part when reading stopped is passed on once it is
 * complete, moments before the process ends.
 */
static void test_half_read_request_passed_on(void)
{
	const char *head = "POST / HTTP/1.1\r\nHost: sightings.example\r\n"
			   "Lavenderlead-Timeout-Ms: 30000\r\nContent-Length: 10\r\n\r\n01234";
	struct call_id held;
	int first;
	int half;

	start_with_home();
	first = connect_caller();
	half = connect_caller();
	held = hold_call(first);
	raw_write(half, head);
	begin_stop();
	wait_grace(75);
	raw_write(half, "56789");
	expect_answer(half, "HTTP/1.1 503 ", "Lavenderlead-Outcome: not-run");
	expect_no_call();
	fake_peer_reply(&home, held, "noted");
	expect_answer(first, "HTTP/1.1 200 ", NULL);
	end();
}

/*
 * Guards against: the connection of a request that is still incomplete when the process ends is
 * closed without a word, although the request has not run.
 */
static void test_incomplete_request_closed_without_answer(void)
{
	g_autofree char *got = NULL;
	int first;
	int half;

	start_with_home();
	first = connect_caller();
	half = connect_caller();
	hold_call(first);
	raw_write(half, "POST / HTTP/1.1\r\nHost: sightings.example\r\nContent-Length: 10\r\n\r\n");
	begin_stop();
	got = read_all(half);
	g_assert_true(g_str_has_prefix(got, "HTTP/1.1 503 "));
	g_assert_nonnull(strstr(got, "Connection: close"));
	g_assert_nonnull(strstr(got, "Lavenderlead-Reason: stopping"));
	expect_answer(first, "HTTP/1.1 502 ", "Lavenderlead-Outcome: unknown");
	end();
}

/*
 * Guards against: a call is passed on with a deadline after the end of the process, and its
 * upstream works on an answer that nobody can pass back.
 */
static void test_deadline_after_the_end(void)
{
	u64 deadline_us;
	struct call_id held;
	struct call_id id;
	int first;
	int kept;

	start_with_home();
	first = connect_caller();
	kept = connect_caller();
	held = hold_call(first);
	begin_stop();
	wait_grace(15);
	send_request(kept, "POST", 30000);
	id = expect_call(&deadline_us);
	g_assert_cmpuint(deadline_us, <, stop_us + GRACE_US * 9 / 10);
	g_assert_cmpuint(deadline_us, >, stop_us + GRACE_US * 5 / 6);
	fake_peer_reply(&home, id, "noted");
	expect_answer(kept, "HTTP/1.1 200 ", NULL);
	fake_peer_reply(&home, held, "noted");
	expect_answer(first, "HTTP/1.1 200 ", NULL);
	end();
}

/* Guards against: a call of before the stop is sent again with the deadline that it had. */
static void test_retry_after_the_end(void)
{
	struct fake_peer other;
	struct peer_event *e;
	struct call_id held;
	int first;

	start_with_home();
	fake_peer_start(&other, true);
	first = connect_caller();
	held = hold_call(first);
	fake_node_set_directory_entry(&node, other.name, other.self.incarnation, DIR_UP);
	begin_stop();
	wait_grace(10);
	fake_peer_refuse(&home, held, CTR_DRAINING, true);
	peer_event_free(fake_peer_expect(&other, PEER_EVENT_UP));
	e = fake_peer_expect(&other, PEER_CALL);
	g_assert_cmpuint(e->deadline_us, <, stop_us + GRACE_US * 9 / 10);
	fake_peer_reply(&other, peer_event_take_id(e), "noted");
	expect_answer(first, "HTTP/1.1 200 ", NULL);
	end();
	fake_peer_stop(&other);
}

/* A call without an answer is ended before the process, and its caller is told so. */
static void test_unanswered_call_is_told(void)
{
	int first;

	start_with_home();
	first = connect_caller();
	hold_call(first);
	begin_stop();
	expect_answer(first, "HTTP/1.1 502 ", "Lavenderlead-Outcome: unknown");
	g_assert_cmpuint(loop_clock_us() - stop_us, >, GRACE_US * 5 / 6);
	end();
}

/* Answers nothing until the home node closes the connection. */
static void serve_nothing(struct raw_server *s, int fd, u32 nth)
{
	(void)nth;
	if (raw_read_request(s, fd))
		raw_wait_closed(fd);
}

static void start_home(u32 slots)
{
	start_node();
	raw_server_start(&upstream, serve_nothing, NULL);
	fake_node_announce_upstream(&node, upstream.port, slots);
	fake_peer_start(&entry, false);
	fake_peer_dial(&entry, node.settings.node.peer_port);
	peer_event_free(fake_peer_expect(&entry, PEER_EVENT_UP));
}

static struct call_id id_of(u64 seq)
{
	return (struct call_id){ .incarnation = entry.self.incarnation, .seq = seq };
}

static void expect_refusal(u64 seq, bool is_not_run)
{
	struct peer_event *e = fake_peer_expect(&entry, PEER_REFUSE);

	g_assert_cmpuint(e->id.seq, ==, seq);
	g_assert_true(e->is_not_run == is_not_run);
	peer_event_free(e);
}

/*
 * Guards against: a call stays in the queue of a home node that stops until the process ends, when
 * its entry node has no time left to send it elsewhere.
 */
static void test_queued_call_kept_until_the_end(void)
{
	start_home(1);
	fake_peer_call(&entry, id_of(1), "POST", "one", loop_clock_us() + 60 * US_PER_S);
	fake_peer_call(&entry, id_of(2), "POST", "two", loop_clock_us() + 60 * US_PER_S);
	begin_stop();
	expect_refusal(2, true);
	g_assert_cmpuint(loop_clock_us() - stop_us, <, GRACE_US / 2);
	fake_peer_call(&entry, id_of(3), "POST", "three", loop_clock_us() + 60 * US_PER_S);
	expect_refusal(3, true);
	expect_refusal(1, false);
	g_assert_cmpuint(loop_clock_us() - stop_us, >, GRACE_US * 5 / 6);
	end();
}

/*
 * Guards against: a call that its home refuses after the last deadline of an upstream is sent to
 * another, and its caller hears of the refusal only at the end.
 */
static void test_retry_after_the_last_deadline(void)
{
	struct fake_peer other;
	struct call_id held;
	int first;

	start_with_home();
	fake_peer_start(&other, true);
	first = connect_caller();
	held = hold_call(first);
	fake_node_set_directory_entry(&node, other.name, other.self.incarnation, DIR_UP);
	begin_stop();
	wait_grace(90);
	fake_peer_refuse(&home, held, CTR_DRAINING, true);
	expect_answer(first, "HTTP/1.1 503 ", "Lavenderlead-Outcome: not-run");
	end();
	g_assert_null(g_async_queue_try_pop(other.events));
	fake_peer_stop(&other);
}

/* A request that names no time has the default one, which ends after this process. */
static void test_late_request_without_a_time(void)
{
	struct call_id held;
	int first;
	int kept;

	start_with_home();
	first = connect_caller();
	kept = connect_caller();
	held = hold_call(first);
	begin_stop();
	wait_grace(55);
	raw_write(kept, "POST / HTTP/1.1\r\nHost: sightings.example\r\nContent-Length: 0\r\n\r\n");
	expect_answer(kept, "HTTP/1.1 503 ", "Lavenderlead-Outcome: not-run");
	expect_no_call();
	fake_peer_reply(&home, held, "noted");
	expect_answer(first, "HTTP/1.1 200 ", NULL);
	end();
}

/*
 * Guards against: a request that was sent behind an unanswered one is passed on once that is
 * answered, late in the grace.
 */
static void test_request_behind_a_late_answer(void)
{
	g_autofree char *got = NULL;
	struct call_id held;
	int fd;

	start_with_home();
	fd = connect_caller();
	held = hold_call(fd);
	send_request(fd, "POST", 30000);
	begin_stop();
	wait_grace(75);
	fake_peer_reply(&home, held, "noted");
	got = read_all(fd);
	g_assert_true(g_str_has_prefix(got, "HTTP/1.1 200 "));
	g_assert_nonnull(strstr(got, "HTTP/1.1 503 "));
	g_assert_nonnull(strstr(got, "Lavenderlead-Outcome: not-run"));
	g_assert_nonnull(strstr(got, "Connection: close"));
	expect_no_call();
	end();
}

/* A chunked body of before the stop that ends early in the grace is passed on and answered. */
static void test_body_that_ends_early(void)
{
	int fd;

	start_with_home();
	fd = connect_caller();
	raw_write(fd, "POST / HTTP/1.1\r\nHost: sightings.example\r\n"
		      "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
	begin_stop();
	wait_grace(20);
	raw_write(fd, "3\r\ndef\r\n0\r\n\r\n");
	peer_event_free(fake_peer_expect(&home, PEER_EVENT_UP));
	fake_peer_reply(&home, expect_call(NULL), "noted");
	expect_answer(fd, "HTTP/1.1 200 ", NULL);
	end();
}

/*
 * Guards against: a node that stops ends while a caller who reads slowly still reads an answer that
 * was made long before.
 */
static void test_slow_reader_is_cut(void)
{
	g_autofree char *body = g_strnfill(LONG_BODY_BYTES, 'x');
	g_autofree char *got = NULL;
	struct call_id held;
	int fd;

	fake_node_prepare(&node);
	node.settings.node.shutdown_grace_ms = GRACE_MS;
	node.settings.node.max_body_bytes = LONG_BODY_BYTES;
	fake_node_run(&node);
	fake_peer_start(&home, true);
	fake_node_set_directory_entry(&node, home.name, home.self.incarnation, DIR_UP);
	fd = connect_caller();
	held = hold_call(fd);
	begin_stop();
	wait_grace(10);
	fake_peer_reply(&home, held, body);
	wait_grace(80);
	got = read_all(fd);
	g_assert_cmpuint(strlen(got), >, LONG_BODY_BYTES);
	end();
}

/* Returns whether the answer is a refusal; false if the port was closed first. */
static bool is_refusal(int fd)
{
	g_autofree char *got = read_answer(fd);

	if (!*got)
		return false;
	g_assert_true(g_str_has_prefix(got, "HTTP/1.1 503 "));
	return true;
}

/*
 * Guards against: callers who keep sending what is refused at once keep a node from ending, though
 * it takes no call any more.
 */
static void test_refused_calls_prolong_the_stop(void)
{
	bool is_refused;
	int fd;

	start_with_home();
	node.settings.node.shutdown_grace_ms = LONG_GRACE_MS;
	fd = connect_caller();
	fake_peer_reply(&home, hold_call(fd), "noted");
	expect_answer(fd, "HTTP/1.1 200 ", NULL);
	begin_stop();
	while (loop_clock_us() - stop_us < LONG_GRACE_MS * US_PER_MS / 5) {
		send_request(fd, "POST", 60000);
		fake_peer_reply(&home, expect_call(NULL), "noted");
		expect_answer(fd, "HTTP/1.1 200 ", NULL);
		g_usleep(100 * US_PER_MS);
	}
	g_usleep(LONG_GRACE_MS * US_PER_MS / 16);
	while ((fd = raw_connect(node.settings.node.caller_port)) >= 0) {
		send_request(fd, "POST", 60000);
		is_refused = is_refusal(fd);
		close(fd);
		if (!is_refused)
			break;
		g_usleep(20 * US_PER_MS);
	}
	g_assert_cmpuint(loop_clock_us() - stop_us, <, LONG_GRACE_MS * US_PER_MS / 2);
	g_thread_join(stopper);
}

/*
 * Guards against: callers and other nodes hear of a stop only at its end, or from an upstream that
 * announces itself during the stop that it takes calls.
 */
static void test_stop_is_told(void)
{
	start_home(1);
	g_assert_true(node_is_ready(node.node));
	begin_stop();
	while (!g_atomic_int_get(&entry.goaway_count))
		g_usleep(US_PER_MS);
	g_assert_cmpuint(loop_clock_us() - stop_us, <, GRACE_US / 2);
	g_assert_false(node_is_ready(node.node));
	fake_node_announce_upstream(&node, upstream.port, 1);
	g_assert_cmpint(node.node->dir_entry.state, ==, DIR_DRAINING);
	fake_peer_call(&entry, id_of(1), "POST", "one", loop_clock_us() + 60 * US_PER_S);
	expect_refusal(1, true);
	end();
}

/* Answers when the test says so. */
static gint may_answer;

static void serve_long_answer(struct raw_server *s, int fd, u32 nth)
{
	g_autofree char *head =
		g_strdup_printf("HTTP/1.1 200 OK\r\nContent-Length: %u\r\n\r\n", LONG_BODY_BYTES);
	g_autofree char *body = g_strnfill(LONG_BODY_BYTES, 'x');

	(void)nth;
	if (!raw_read_request(s, fd))
		return;
	while (!g_atomic_int_get(&may_answer))
		g_usleep(US_PER_MS);
	raw_write(fd, head);
	raw_write(fd, body);
	raw_wait_closed(fd);
}

static void sleep_until(void *arg)
{
	u64 now = loop_clock_us();
	u64 until_us = *(u64 *)arg;

	if (now < until_us)
		g_usleep(until_us - now);
}

/*
 * Guards against: a home node that stops ends while another node still reads an answer that was
 * made long before.
 */
static void test_slow_entry_node_is_cut(void)
{
	u64 until_us;
	struct peer_event *e;

	fake_node_prepare(&node);
	node.settings.node.shutdown_grace_ms = GRACE_MS;
	node.settings.node.max_body_bytes = LONG_BODY_BYTES;
	fake_node_run(&node);
	raw_server_start(&upstream, serve_long_answer, NULL);
	fake_node_announce_upstream(&node, upstream.port, 4);
	fake_peer_start(&entry, false);
	fake_peer_dial(&entry, node.settings.node.peer_port);
	peer_event_free(fake_peer_expect(&entry, PEER_EVENT_UP));
	fake_peer_call(&entry, id_of(1), "POST", "one", loop_clock_us() + 60 * US_PER_S);
	while (!g_atomic_int_get(&upstream.requests))
		g_usleep(US_PER_MS);
	begin_stop();
	wait_grace(45);
	until_us = stop_us + GRACE_US * 80 / 100;
	loop_post(entry.loop, sleep_until, &until_us);
	g_atomic_int_set(&may_answer, 1);
	e = fake_peer_expect(&entry, PEER_REPLY);
	g_assert_cmpuint(e->body->len, ==, LONG_BODY_BYTES);
	peer_event_free(e);
	end();
}

/*
 * Guards against: a process that was frozen until after its grace gives up calls whose answers have
 * arrived meanwhile.
 */
static void test_answer_that_came_while_frozen(void)
{
	u64 until_us;
	struct call_id held;
	int fd;

	start_with_home();
	fd = connect_caller();
	held = hold_call(fd);
	begin_stop();
	wait_grace(30);
	until_us = stop_us + GRACE_US * 110 / 100;
	loop_post(node.node->loop, sleep_until, &until_us);
	fake_peer_reply(&home, held, "noted");
	expect_answer(fd, "HTTP/1.1 200 ", NULL);
	g_thread_join(stopper);
	g_assert_cmpuint(ended_us - stop_us, <, GRACE_US * 120 / 100);
}

/* A node with no grace at all still tells its callers. */
static void test_no_grace(void)
{
	int fd;

	start_with_home();
	node.settings.node.shutdown_grace_ms = 0;
	fd = connect_caller();
	hold_call(fd);
	stop_us = loop_clock_us();
	stopper = g_thread_new("stopper", stop_main, NULL);
	expect_answer(fd, "HTTP/1.1 502 ", "Lavenderlead-Outcome: unknown");
	g_thread_join(stopper);
	g_assert_cmpuint(ended_us - stop_us, <, GRACE_US);
}

int main(int argc, char **argv)
{
	int ret;

	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/stop/plan", test_plan);
	g_test_add_func("/stop/which-calls-are-taken", test_which_calls_are_taken);
	g_test_add_func("/stop/late-request-passed-on-and-cut",
			test_late_request_passed_on_and_cut);
	g_test_add_func("/stop/late-short-request-is-served", test_late_short_request_is_served);
	g_test_add_func("/stop/half-read-request-passed-on", test_half_read_request_passed_on);
	g_test_add_func("/stop/incomplete-request-closed-without-answer",
			test_incomplete_request_closed_without_answer);
	g_test_add_func("/stop/deadline-after-the-end", test_deadline_after_the_end);
	g_test_add_func("/stop/retry-after-the-end", test_retry_after_the_end);
	g_test_add_func("/stop/unanswered-call-is-told", test_unanswered_call_is_told);
	g_test_add_func("/stop/queued-call-kept-until-the-end",
			test_queued_call_kept_until_the_end);
	g_test_add_func("/stop/retry-after-the-last-deadline", test_retry_after_the_last_deadline);
	g_test_add_func("/stop/late-request-without-a-time", test_late_request_without_a_time);
	g_test_add_func("/stop/request-behind-a-late-answer", test_request_behind_a_late_answer);
	g_test_add_func("/stop/body-that-ends-early", test_body_that_ends_early);
	g_test_add_func("/stop/slow-reader-is-cut", test_slow_reader_is_cut);
	g_test_add_func("/stop/refused-calls-prolong-the-stop",
			test_refused_calls_prolong_the_stop);
	g_test_add_func("/stop/stop-is-told", test_stop_is_told);
	g_test_add_func("/stop/slow-entry-node-is-cut", test_slow_entry_node_is_cut);
	g_test_add_func("/stop/answer-that-came-while-frozen", test_answer_that_came_while_frozen);
	g_test_add_func("/stop/no-grace", test_no_grace);
	ret = g_test_run();
	fflush(stdout);
	_exit(ret); /* threads of the fakes are still running */
}
