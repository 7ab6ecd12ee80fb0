/* Tests the HTTP server through raw sockets. */
#include "kernel/httpd.h"
#include "test/fakes/raw_server.h"

#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LATE_US (60 * US_PER_MS)
#define WAIT_MS 20000

/*
 * Answers "/now" immediately, "/late" after LATE_US and "/held" when the test says so; GET requests
 * may overlap.
 */
struct fixture {
	struct loop *loop;
	struct httpd *h;
	u16 port;
	gint started;
	struct httpd_request *held;
	gint disconnects; /* calls of on_caller_closed */
	struct httpd_limits limits;
	u32 requests; /* the result of count_requests */
	int fd; /* the caller's, when the server's thread acts for it */
};

struct late {
	struct fixture *f;
	struct httpd_request *r;
	struct loop_timer timer;
};

static void answer(struct httpd_request *r)
{
	g_autofree char *body = g_strdup_printf("<%s>", r->msg->target);

	httpd_answer(r, http_json_response(200, body));
}

static void on_late(void *arg, u64 now_us)
{
	struct late *l = arg;

	(void)now_us;
	answer(l->r);
	g_free(l);
}

static void on_request(struct httpd_request *r, void *arg)
{
	struct fixture *f = arg;
	struct late *l;

	g_atomic_int_inc(&f->started);
	if (!strncmp(r->msg->target, "/now", 4)) {
		answer(r);
		return;
	}
	if (!strcmp(r->msg->target, "/held")) {
		f->held = r;
		return;
	}
	l = g_new0(struct late, 1);
	l->f = f;
	l->r = r;
	l->timer = (struct loop_timer){ .fire = on_late, .arg = l };
	loop_timer_set(f->loop, &l->timer, loop_clock_us() + LATE_US);
}

static bool may_overlap(const struct httpd_request *r, void *arg)
{
	(void)arg;
	return !strcmp(r->msg->method, "GET");
}

static void on_caller_closed(struct httpd_request *r, enum httpd_close_kind how, void *arg)
{
	struct fixture *f = arg;

	(void)r;
	(void)how;
	g_atomic_int_inc(&f->disconnects);
}

static const struct httpd_ops ops = { .request = on_request,
				      .may_overlap = may_overlap,
				      .closed = on_caller_closed,
				      .needs_host = true };

static void start(struct fixture *f)
{
	int fd;

	memset(f, 0, sizeof(*f));
	fd = raw_listen(&f->port);
	close(fd);
	f->loop = loop_new("httpd-test");
	f->h = httpd_listen(f->loop, "127.0.0.1", f->port, &ops, f);
	g_assert_nonnull(f->h);
	f->limits = (struct httpd_limits){ .head_bytes = 1000,
					   .body_bytes = 100,
					   .head_timeout_us = 300 * US_PER_MS,
					   .idle_timeout_us = 60 * US_PER_S };
	httpd_set_limits(f->h, &f->limits);
	g_assert_cmpint(loop_start(f->loop), ==, 0);
}

static void free_server(void *arg)
{
	httpd_free(((struct fixture *)arg)->h);
}

static void stop(struct fixture *f)
{
	/* Waits until late requests are answered. */
	g_usleep(2 * LATE_US);
	loop_call(f->loop, free_server, f);
	loop_stop(f->loop);
	loop_free(f->loop);
}

/* Returns all data received until the server closes the connection. */
static char *read_all(int fd)
{
	GString *out = g_string_new(NULL);
	char buf[4096];
	ssize_t n;

	while ((n = recv(fd, buf, sizeof(buf), 0)) > 0)
		g_string_append_len(out, buf, n);
	close(fd);
	return g_string_free(out, FALSE);
}

static char *exchange(struct fixture *f, const char *text)
{
	int fd = raw_connect(f->port);

	raw_write(fd, text);
	return read_all(fd);
}

/* Sends TEXT, of which the server starts REQUESTS. */
static void expect(const char *text, const char *status, gint requests)
{
	struct fixture f;
	g_autofree char *got = NULL;

	start(&f);
	got = exchange(&f, text);
	if (!g_str_has_prefix(got, status))
		g_error("for %.60s: %s", text, got);
	g_assert_cmpint(f.started, ==, requests);
	stop(&f);
}

static void expect_status(const char *text, const char *status)
{
	expect(text, status, 0);
}

#define GET(path) "GET " path " HTTP/1.1\r\nHost: h\r\n\r\n"
#define GET_AND_CLOSE(path) "GET " path " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
#define POST(path) "POST " path " HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"

static void answer_held(void *arg)
{
	answer(((struct fixture *)arg)->held);
}

static void wait_started(struct fixture *f, gint n)
{
	for (u32 i = 0; i < WAIT_MS && g_atomic_int_get(&f->started) < n; i++)
		g_usleep(US_PER_MS);
	g_assert_cmpint(g_atomic_int_get(&f->started), ==, n);
}

/* Pipelined requests start while the first is unanswered, and are answered in order. */
static void test_order(void)
{
	struct fixture f;
	g_autofree char *got = NULL;
	int fd;

	start(&f);
	fd = raw_connect(f.port);
	raw_write(fd, GET("/held") GET("/now/2") GET("/late/3") GET_AND_CLOSE("/now/4"));
	wait_started(&f, 4);
	loop_call(f.loop, answer_held, &f);
	got = read_all(fd);
	g_assert_nonnull(strstr(got, "</held>"));
	g_assert_true(strstr(got, "</held>") < strstr(got, "</now/2>"));
	g_assert_true(strstr(got, "</now/2>") < strstr(got, "</late/3>"));
	g_assert_true(strstr(got, "</late/3>") < strstr(got, "</now/4>"));
	stop(&f);
}

static void count_requests(void *arg)
{
	struct fixture *f = arg;

	f->requests = httpd_requests(f->h);
}

static void wait_requests(struct fixture *f, u32 n)
{
	loop_call(f->loop, count_requests, f);
	for (u32 i = 0; i < WAIT_MS && f->requests != n; i++) {
		g_usleep(US_PER_MS);
		loop_call(f->loop, count_requests, f);
	}
	g_assert_cmpuint(f->requests, ==, n);
}

/*
 * A non-idempotent request starts only after all earlier ones are answered: a
 * caller sends pipelined requests without an answer again after a close.
 */
static void test_no_overlap(void)
{
	struct fixture f;
	int fd;

	start(&f);
	fd = raw_connect(f.port);
	raw_write(fd, GET("/held") POST("/held") POST("/held"));
	wait_started(&f, 1);
	wait_requests(&f, 3);
	g_usleep(LATE_US / 2);
	g_assert_cmpint(g_atomic_int_get(&f.started), ==, 1);
	loop_call(f.loop, answer_held, &f);
	wait_started(&f, 2);
	g_usleep(LATE_US / 2);
	g_assert_cmpint(g_atomic_int_get(&f.started), ==, 2);
	close(fd);
	for (u32 i = 0; i < WAIT_MS && !g_atomic_int_get(&f.disconnects); i++)
		g_usleep(US_PER_MS);
	g_assert_cmpint(g_atomic_int_get(&f.disconnects), >=, 1);
	/* A request that was started is answered, also without its connection. */
	loop_call(f.loop, answer_held, &f);
	stop(&f);
}

static void test_limits(void)
{
	g_autofree char *long_value = g_strnfill(2000, 'x');
	g_autofree char *long_head =
		g_strdup_printf("GET / HTTP/1.1\r\nHost: h\r\nX: %s\r\n\r\n", long_value);
	g_autofree char *long_chunk =
		g_strdup_printf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
				"chunked\r\n\r\n7d0\r\n%s\r\n0\r\n\r\n",
				long_value);

	expect_status(long_head, "HTTP/1.1 431 ");
	expect_status("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n", "HTTP/1.1 413 ");
	expect_status(long_chunk, "HTTP/1.1 413 ");
	expect_status("GET / HTTP/1.1\r\nHost: h\r\nX: slow", "HTTP/1.1 408 ");
}

/* Two lengths, or a length and chunks: another parser could read other requests (smuggling). */
static void test_ambiguous(void)
{
	expect_status("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
		      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		      "HTTP/1.1 400 ");
	expect_status("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\n"
		      "four",
		      "HTTP/1.1 400 ");
	expect_status("what is this\r\n\r\n", "HTTP/1.1 400 ");
}

/*
 * Guards against: a request with two hosts is routed by one of them, and read for the other one at
 * the upstream; or one without a host is taken.
 */
static void test_host(void)
{
	expect_status("GET /now HTTP/1.1\r\nHost: h\r\nHost: h\r\n\r\n", "HTTP/1.1 400 ");
	expect_status("GET /now HTTP/1.1\r\nHost: h\r\nX: y\r\nhost: i\r\n\r\n", "HTTP/1.1 400 ");
	expect_status("GET /now HTTP/1.0\r\nHost: h\r\nHost: i\r\n\r\n", "HTTP/1.1 400 ");
	expect_status("POST /now HTTP/1.1\r\nHost: h\r\nHost: i\r\nExpect: 100-continue\r\n"
		      "Content-Length: 5\r\n\r\n",
		      "HTTP/1.1 400 ");
	expect_status("GET /now HTTP/1.1\r\n\r\n", "HTTP/1.1 400 ");
	expect("GET /now HTTP/1.0\r\n\r\n", "HTTP/1.1 200 ", 1);
	expect("GET /now HTTP/1.1\r\nHost:\r\nConnection: close\r\n\r\n", "HTTP/1.1 200 ", 1);
}

/*
 * Guards against: a caller that waits for the end of the connection, as those of HTTP/1.0 do, waits
 * until the connection has been idle for long.
 */
static void test_last_request(void)
{
	static const char *const requests[] = {
		"GET /now HTTP/1.0\r\n\r\n",
		"GET /now HTTP/1.0\r\nHost: h\r\nConnection: close\r\n\r\n",
		"GET /now HTTP/1.1\r\nHost: h\r\nConnection: TE, close\r\n\r\n",
	};

	for (u32 i = 0; i < G_N_ELEMENTS(requests); i++) {
		g_autofree char *got = NULL;
		struct fixture f;

		start(&f);
		got = exchange(&f, requests[i]);
		g_assert_true(g_str_has_prefix(got, "HTTP/1.1 200 "));
		g_assert_nonnull(strstr(got, "\r\nConnection: close\r\n"));
		stop(&f);
	}
}

static void stop_accepting(void *arg)
{
	httpd_stop_accepting(((struct fixture *)arg)->h);
}

/* The server stops accepting while one request runs and another connection is idle. */
static void test_stop_accepting(void)
{
	struct fixture f;
	g_autofree char *got = NULL;
	int idle;
	int busy;

	start(&f);
	idle = raw_connect(f.port);
	raw_write(idle, GET("/now"));
	busy = raw_connect(f.port);
	raw_write(busy, GET("/held"));
	wait_started(&f, 2);
	loop_call(f.loop, stop_accepting, &f);
	g_assert_cmpint(raw_connect(f.port), ==, -1);
	g_assert_true(raw_wait_closed(idle));
	close(idle);
	loop_call(f.loop, answer_held, &f);
	got = read_all(busy);
	g_assert_nonnull(strstr(got, "</held>"));
	g_assert_nonnull(strstr(got, "Connection: close"));
	stop(&f);
}

/* Sends a request while the server's thread is in this call, so that it has not been read. */
static void send_and_stop_accepting(void *arg)
{
	struct fixture *f = arg;

	raw_write(f->fd, GET("/now/arrived"));
	httpd_stop_accepting(f->h);
}

/*
 * Guards against: a server that stops accepting closes a connection on which a request has arrived,
 * and its caller reads a reset.
 */
static void test_arrived_request_closed_unread(void)
{
	struct fixture f;
	g_autofree char *got = NULL;

	start(&f);
	f.fd = raw_connect(f.port);
	raw_write(f.fd, GET("/now/first"));
	wait_started(&f, 1);
	loop_call(f.loop, send_and_stop_accepting, &f);
	got = read_all(f.fd);
	g_assert_nonnull(strstr(got, "</now/first>"));
	g_assert_nonnull(strstr(got, "</now/arrived>"));
	g_assert_nonnull(strstr(got, "Connection: close"));
	stop(&f);
}

/* Connects and sends a request while the server's thread is in this call: it has not accepted. */
static void connect_and_stop_accepting(void *arg)
{
	struct fixture *f = arg;

	f->fd = raw_connect(f->port);
	raw_write(f->fd, GET("/now/connected"));
	httpd_stop_accepting(f->h);
}

/*
 * Guards against: a server that stops accepting resets the connections that the kernel has accepted
 * for it, and their callers, whose requests have arrived, get no answer.
 */
static void test_connected_caller_is_reset(void)
{
	struct fixture f;
	g_autofree char *got = NULL;

	start(&f);
	loop_call(f.loop, connect_and_stop_accepting, &f);
	got = read_all(f.fd);
	g_assert_nonnull(strstr(got, "</now/connected>"));
	g_assert_nonnull(strstr(got, "Connection: close"));
	stop(&f);
}

/*
 * Guards against: a started request whose connection was reset counts for ever, so that a process
 * that waits for this count before it ends takes its whole grace.
 */
static void test_reset_request_still_counted(void)
{
	struct fixture f;
	int fd;

	start(&f);
	fd = raw_connect(f.port);
	raw_write(fd, GET("/held"));
	wait_started(&f, 1);
	wait_requests(&f, 1);
	raw_reset_on_close(fd);
	close(fd);
	wait_requests(&f, 0);
	loop_call(f.loop, answer_held, &f);
	wait_requests(&f, 0);
	stop(&f);
}

/*
 * Guards against: a server that stops accepting still starts requests that arrive behind an
 * unanswered one, so that a caller who keeps sending is served until the process ends.
 */
static void test_started_behind_another_after_stop(void)
{
	struct fixture f;
	g_autofree char *got = NULL;
	int fd;

	start(&f);
	fd = raw_connect(f.port);
	raw_write(fd, GET("/held"));
	wait_started(&f, 1);
	loop_call(f.loop, stop_accepting, &f);
	raw_write(fd, GET("/now/behind"));
	g_usleep(LATE_US);
	g_assert_cmpint(g_atomic_int_get(&f.started), ==, 1);
	loop_call(f.loop, answer_held, &f);
	got = read_all(fd);
	g_assert_nonnull(strstr(got, "</held>"));
	g_assert_nonnull(strstr(got, "Connection: close"));
	g_assert_null(strstr(got, "</now/behind>"));
	g_assert_cmpint(g_atomic_int_get(&f.started), ==, 1);
	stop(&f);
}

/*
 * Guards against: a connection on which half a request was read behind a started one stays open
 * after the last response that its server gives.
 */
static void test_half_request_behind_another_after_stop(void)
{
	struct fixture f;
	g_autofree char *got = NULL;
	int fd;

	start(&f);
	fd = raw_connect(f.port);
	raw_write(fd, GET("/held") "GET /now/half HTTP/1.1\r\nHo");
	wait_started(&f, 1);
	loop_call(f.loop, stop_accepting, &f);
	loop_call(f.loop, answer_held, &f);
	got = read_all(fd);
	g_assert_nonnull(strstr(got, "</held>"));
	g_assert_nonnull(strstr(got, "Connection: close"));
	g_assert_null(strstr(got, "HTTP/1.1 408 "));
	stop(&f);
}

#define LONG_BODY_BYTES (8u << 20)
#define PART_BYTES (7u << 20)
#define LONG_CALLERS 6

/* Sends a request, of whose body the last LONG_BODY_BYTES - PART_BYTES are missing. */
static int send_part(struct fixture *f)
{
	g_autofree char *head =
		g_strdup_printf("POST /now HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
				"Content-Length: %u\r\n\r\n",
				LONG_BODY_BYTES);
	g_autofree char *part = g_strnfill(PART_BYTES, 'x');
	int fd = raw_connect(f->port);

	raw_write(fd, head);
	raw_write(fd, part);
	return fd;
}

static char *finish(int fd)
{
	g_autofree char *rest = g_strnfill(LONG_BODY_BYTES - PART_BYTES, 'x');

	raw_write(fd, rest);
	return read_all(fd);
}

/* Guards against: callers that send long bodies at once use up the memory of the process. */
static void test_long_bodies_at_once(void)
{
	struct fixture f;
	int fds[LONG_CALLERS];
	u32 refused = 0;

	start(&f);
	f.limits.body_bytes = LONG_BODY_BYTES;
	f.limits.all_request_bytes = httpd_default_limits.all_request_bytes;
	f.limits.head_timeout_us = 60 * US_PER_S;
	httpd_set_limits(f.h, &f.limits);
	for (u32 i = 0; i < LONG_CALLERS; i++)
		fds[i] = send_part(&f);
	for (u32 i = 0; i < LONG_CALLERS; i++) {
		g_autofree char *got = finish(fds[i]);

		if (g_str_has_prefix(got, "HTTP/1.1 503 "))
			refused++;
		else
			g_assert_true(g_str_has_prefix(got, "HTTP/1.1 200 "));
	}
	g_assert_cmpuint(refused, >, 0);
	g_assert_cmpuint(refused, <, LONG_CALLERS / 2);
	g_assert_cmpint(f.started, ==, LONG_CALLERS - refused);
	/* The memory of those that have ended is free again. */
	for (u32 i = 0; i < LONG_CALLERS; i++) {
		g_autofree char *got = finish(send_part(&f));

		g_assert_true(g_str_has_prefix(got, "HTTP/1.1 200 "));
	}
	stop(&f);
}

#define CONNECTIONS_MAX 4

/*
 * Guards against: connections that wait for a request, or for the rest of one, keep others out for
 * as long as they like. A request that is complete goes on.
 */
static void test_waiting_connections_make_room(void)
{
	struct fixture f;
	int waiting[CONNECTIONS_MAX - 1];
	g_autofree char *held = NULL;
	int fd;

	start(&f);
	f.limits.head_timeout_us = 60 * US_PER_S;
	f.limits.connections = CONNECTIONS_MAX;
	httpd_set_limits(f.h, &f.limits);
	fd = raw_connect(f.port);
	raw_write(fd, GET_AND_CLOSE("/held"));
	wait_started(&f, 1);
	for (u32 i = 0; i < G_N_ELEMENTS(waiting); i++) {
		waiting[i] = raw_connect(f.port);
		raw_write(waiting[i], i ? "POST /now HTTP/1.1\r\nHost: h\r\n" : "");
	}
	for (u32 i = 0; i < G_N_ELEMENTS(waiting); i++) {
		g_autofree char *got = exchange(&f, GET_AND_CLOSE("/now"));

		g_assert_true(g_str_has_prefix(got, "HTTP/1.1 200 "));
	}
	/* The idle one went first, and only as many as were needed. */
	g_assert_true(raw_wait_closed(waiting[0]));
	loop_call(f.loop, answer_held, &f);
	held = read_all(fd);
	g_assert_true(g_str_has_prefix(held, "HTTP/1.1 200 "));
	for (u32 i = 0; i < G_N_ELEMENTS(waiting); i++)
		close(waiting[i]);
	stop(&f);
}

struct caller_check {
	struct fixture *f;
	enum httpd_caller state;
};

static void check_caller(void *arg)
{
	struct caller_check *c = arg;

	c->state = httpd_caller(c->f->held);
}

static void expect_caller(struct fixture *f, enum httpd_caller state)
{
	struct caller_check c = { .f = f, .state = HTTPD_CALLER_GONE };

	for (u32 i = 0; i < WAIT_MS; i++) {
		loop_call(f->loop, check_caller, &c);
		if (c.state == state)
			return;
		g_usleep(US_PER_MS);
	}
	g_assert_cmpint(c.state, ==, state);
}

/* Guards against: the owner of a request can't tell whether its caller still waits. */
static void test_state_of_caller(void)
{
	struct fixture f;
	int fd;

	start(&f);
	fd = raw_connect(f.port);
	raw_write(fd, GET("/held"));
	wait_started(&f, 1);
	expect_caller(&f, HTTPD_CALLER_OPEN);
	shutdown(fd, SHUT_WR);
	expect_caller(&f, HTTPD_CALLER_HALF_CLOSED);
	raw_reset_on_close(fd);
	close(fd);
	expect_caller(&f, HTTPD_CALLER_GONE);
	loop_call(f.loop, answer_held, &f);
	stop(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/httpd/order", test_order);
	g_test_add_func("/httpd/no-overlap", test_no_overlap);
	g_test_add_func("/httpd/limits", test_limits);
	g_test_add_func("/httpd/ambiguous", test_ambiguous);
	g_test_add_func("/httpd/host", test_host);
	g_test_add_func("/httpd/last-request", test_last_request);
	g_test_add_func("/httpd/stop-accepting", test_stop_accepting);
	g_test_add_func("/httpd/arrived-request-closed-unread", test_arrived_request_closed_unread);
	g_test_add_func("/httpd/connected-caller-is-reset", test_connected_caller_is_reset);
	g_test_add_func("/httpd/reset-request-still-counted", test_reset_request_still_counted);
	g_test_add_func("/httpd/started-behind-another-after-stop",
			test_started_behind_another_after_stop);
	g_test_add_func("/httpd/half-request-behind-another-after-stop",
			test_half_request_behind_another_after_stop);
	g_test_add_func("/httpd/long-bodies-at-once", test_long_bodies_at_once);
	g_test_add_func("/httpd/state-of-caller", test_state_of_caller);
	g_test_add_func("/httpd/waiting-connections-make-room", test_waiting_connections_make_room);
	return g_test_run();
}
