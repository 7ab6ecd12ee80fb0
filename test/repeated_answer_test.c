/*
 * A faulty upstream writes an earlier answer once more, whole or in part, around the answer to the
 * request that it runs. The client must return the request's own answer or an unknown outcome.
 */
#include "kernel/loop.h"
#include "lib/err.h"
#include "node/upstream.h"
#include "platform/dialect.h"
#include "test/fakes/raw_server.h"

#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TIMEOUT_US (20 * US_PER_S)
#define BODY_MAX_BYTES 65536
/* Longer than the client mostly takes to read what was written. */
#define PAUSE_US (1 * US_PER_MS)
/* More than the sockets of client and server buffer. */
#define LONG_BODY_BYTES (16 * 1024 * 1024)

#define REFUSALS 200
#define WAIT_MS 2000

#define ID_HEADER "Lavenderlead-Attempt-Id"
#define ID_A ID_HEADER ": a\r\n"
#define ID_B ID_HEADER ": b\r\n"
#define NOT_RUN "Lavenderlead-Not-Executed: 1\r\n"
#define EMPTY "Content-Length: 0\r\n"

/* The answer to the second request, which the upstream runs. */
#define OWN "HTTP/1.1 200 OK\r\n" ID_B "X-Bird: hoopoe\r\nContent-Length: 5\r\n\r\nnoted"
/* The answer to a third request. */
#define NEXT "HTTP/1.1 200 OK\r\n" ID_HEADER ": c\r\n" EMPTY "\r\n"
#define REFUSAL_A "HTTP/1.1 503 Service Unavailable\r\n" ID_A NOT_RUN EMPTY "\r\n"

/* What the upstream writes on one connection. */
struct play {
	const char *first; /* answers the request a */
	const char *before; /* written before the answer to the request b; may be empty */
	const char *own; /* the answer to the request b */
	const char *behind; /* written after it; may be empty */
	size_t pause_at; /* bytes of the three texts together that are written first; 0 for all */
	bool is_early; /* written before the body of the request b is read */
};

struct fixture {
	struct raw_server server;
	struct loop *loop;
	struct upstream *u;
	struct upstream_call call;
	struct endpoint at;
	GAsyncQueue *done;
	struct play play;
	gint connections;
	gint is_half_written;
};

static struct fixture fixture;

static void read_head(struct raw_server *s, int fd)
{
	g_autoptr(GString) in = g_string_new(NULL);
	char byte;

	while (!strstr(in->str, "\r\n\r\n") && recv(fd, &byte, 1, 0) == 1)
		g_string_append_c(in, byte);
	g_atomic_int_inc(&s->requests);
}

/* Reads until the client closes; what it still has to send would keep its close back. */
static void drain(int fd)
{
	char buf[65536];

	while (recv(fd, buf, sizeof(buf), 0) > 0)
		;
}

static void write_play(const struct play *p, int fd)
{
	g_autofree char *text = g_strconcat(p->before, p->own, p->behind, NULL);
	size_t first_len = p->pause_at ? MIN(p->pause_at, strlen(text)) : strlen(text);
	g_autofree char *first = g_strndup(text, first_len);

	raw_write(fd, first);
	if (first_len == strlen(text))
		return;
	g_usleep(PAUSE_US);
	raw_write(fd, text + first_len);
}

/* Answers the first request, writes the play as the answer to the second, and closes. */
static void serve(struct raw_server *s, int fd, u32 nth)
{
	const struct play *p = &fixture.play;
	int one = 1;

	g_atomic_int_set(&fixture.connections, (gint)nth);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (!raw_read_request(s, fd))
		return;
	raw_write(fd, p->first);
	if (p->is_early)
		read_head(s, fd);
	else if (!raw_read_request(s, fd))
		return;
	write_play(p, fd);
	shutdown(fd, SHUT_WR);
	drain(fd);
}

static void on_done(struct upstream_call *call)
{
	g_async_queue_push(fixture.done, call);
}

static void start_on_loop(void *arg)
{
	(void)arg;
	upstream_start(fixture.u, &fixture.at, &fixture.call);
}

static void close_idle(void *arg)
{
	(void)arg;
	upstream_close_idle(fixture.u);
}

static void setup(raw_server_handler serve_one)
{
	memset(&fixture, 0, sizeof(fixture));
	raw_server_start(&fixture.server, serve_one, NULL);
	fixture.at = (struct endpoint){ .host = "127.0.0.1", .port = fixture.server.port };
	fixture.loop = loop_new("repeated-answer-test");
	fixture.u = upstream_new(fixture.loop, &platform_dialect);
	fixture.done = g_async_queue_new();
	g_assert_cmpint(loop_start(fixture.loop), ==, 0);
}

static void teardown(void)
{
	loop_stop(fixture.loop);
	upstream_free(fixture.u);
	loop_free(fixture.loop);
	g_async_queue_unref(fixture.done);
	raw_server_stop(&fixture.server);
}

static struct http_msg *make_request(const char *method, const char *id, size_t body_len)
{
	struct http_msg *m = http_new();

	m->method = g_strdup(method);
	m->target = g_strdup("/species/hoopoe");
	if (id)
		http_add_header(m, ID_HEADER, id);
	g_byte_array_set_size(m->body, (guint)body_len);
	if (body_len)
		memset(m->body->data, 'x', body_len);
	return m;
}

static struct upstream_call new_call(const struct http_msg *request, bool is_poll)
{
	return (struct upstream_call){ .request = request,
				       .is_idempotent = strcmp(request->method, "POST") != 0,
				       .is_poll = is_poll,
				       .deadline_us = loop_clock_us() + TIMEOUT_US,
				       .max_body_bytes = BODY_MAX_BYTES,
				       .done = on_done };
}

/* Runs one call and frees REQUEST; the caller frees its reply. */
static int run_call(struct http_msg *request, bool is_poll)
{
	fixture.call = new_call(request, is_poll);
	loop_call(fixture.loop, start_on_loop, NULL);
	g_async_queue_pop(fixture.done);
	http_free(request);
	return fixture.call.err;
}

static int run(const char *method, const char *id, size_t body_len)
{
	return run_call(make_request(method, id, body_len), false);
}

static void run_first(const char *method)
{
	int err = run(method, "a", 0);

	g_assert_cmpint(err, ==, 0);
	http_free(g_steal_pointer(&fixture.call.reply));
}

/* The request was read, so its outcome is its own answer or not known. */
static void check_outcome(const struct play *p)
{
	struct http_msg *reply = fixture.call.reply;

	if (fixture.call.err) {
		g_assert_true(fixture.call.is_written);
		g_assert_null(reply);
		return;
	}
	g_test_message("before \"%s\" pause at %zu", p->before, p->pause_at);
	g_assert_cmpuint(reply->status, ==, 200);
	g_assert_cmpstr(http_header(reply, ID_HEADER), ==, "b");
	g_assert_cmpstr(http_header(reply, "X-Bird"), ==, "hoopoe");
	g_assert_cmpmem(reply->body->data, reply->body->len, "noted", 5);
	http_free(g_steal_pointer(&fixture.call.reply));
}

static void play_once(const struct play *p, const char *method)
{
	gint connections;

	fixture.play = *p;
	loop_call(fixture.loop, close_idle, NULL);
	run_first("GET");
	connections = g_atomic_int_get(&fixture.connections);
	run(method, "b", p->is_early ? LONG_BODY_BYTES : 0);
	g_assert_cmpint(g_atomic_int_get(&fixture.connections), ==, connections);
	check_outcome(p);
}

static void play_methods(const struct play *p)
{
	play_once(p, "POST");
	play_once(p, "GET");
}

/* Copies of answers to the request a, or to one that runs on another connection. */
static const char *const copies[] = {
	REFUSAL_A,
	"HTTP/1.1 429 Too Many Requests\r\n" NOT_RUN EMPTY ID_A "\r\n",
	"HTTP/1.1 503 Service Unavailable\r\n" NOT_RUN ID_A "Content-Length: 4\r\n\r\nfull",
	"HTTP/1.1 503 Service Unavailable\r\n" NOT_RUN EMPTY "\r\n",
	"HTTP/1.1 421 Misdirected Request\r\n" NOT_RUN EMPTY "\r\n",
	"HTTP/1.1 400 Bad Request\r\nLavenderlead-Not-Executed: no id\r\n" EMPTY "\r\n",
	"HTTP/1.1 408 Request Timeout\r\n" EMPTY "\r\n",
	"HTTP/1.1 503 Service Unavailable\r\n" ID_HEADER ": z\r\n" NOT_RUN EMPTY "\r\n",
	"HTTP/1.1 503 Service Unavailable\r\n" ID_A ID_B NOT_RUN EMPTY "\r\n",
	"HTTP/1.1 503 Service Unavailable\r\n" ID_B ID_A NOT_RUN EMPTY "\r\n",
	"HTTP/1.1 503 Service Unavailable\r\nLAVENDERLEAD-ATTEMPT-ID: a\r\n"
	"lavenderlead-not-executed: 1\r\n" EMPTY "\r\n",
	"HTTP/1.1 503 Service Unavailable\r\n" ID_HEADER ": a, b\r\n" NOT_RUN EMPTY "\r\n",
	"HTTP/1.1 503 Service Unavailable\r\n" ID_HEADER ": B\r\n" NOT_RUN EMPTY "\r\n",
	"HTTP/1.1 503 Service Unavailable\r\n" ID_HEADER ":\r\n" NOT_RUN EMPTY "\r\n",
	"HTTP/1.1 200 OK\r\n" ID_A "Content-Length: 3\r\n\r\nowl",
	"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nowl",
	"HTTP/1.1 200 OK\r\n" ID_A "Transfer-Encoding: chunked\r\n\r\n3\r\nowl\r\n0\r\n\r\n",
	"HTTP/1.1 404 Not Found\r\n" ID_A "Content-Length: 3\r\n\r\nowl",
	"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 3\r\n\r\nowl",
	"HTTP/1.1 204 No Content\r\n" ID_A "\r\n",
	"HTTP/1.1 304 Not Modified\r\n" ID_A "Content-Length: 50\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\n" REFUSAL_A,
	"HTTP/1.1 503 Service Unavailable\r\n" ID_A NOT_RUN "Connection: close\r\n\r\nfull",
};

/* Guards against: an earlier answer in one segment before the true one passes for it. */
static void test_before(void)
{
	setup(serve);
	for (size_t i = 0; i < G_N_ELEMENTS(copies); i++)
		play_methods(&(struct play){
			.first = REFUSAL_A, .before = copies[i], .own = OWN, .behind = "" });
	teardown();
}

/* Guards against: an upstream that writes one copy after the other is read until the deadline. */
static void test_many_copies(void)
{
	setup(serve);
	play_once(&(struct play){ .first = REFUSAL_A,
				  .before = REFUSAL_A REFUSAL_A REFUSAL_A,
				  .own = OWN,
				  .behind = "" },
		  "POST");
	g_assert_cmpint(fixture.call.err, ==, ERR_CLOSED);
	teardown();
}

/* Guards against: an earlier answer in one segment behind the true one takes its place. */
static void test_behind(void)
{
	setup(serve);
	for (size_t i = 0; i < G_N_ELEMENTS(copies); i++)
		play_methods(&(struct play){
			.first = REFUSAL_A, .before = "", .own = OWN, .behind = copies[i] });
	teardown();
}

/* Guards against: an earlier answer that comes in two parts passes for the true one. */
static void test_split(void)
{
	setup(serve);
	for (size_t i = 0; i < G_N_ELEMENTS(copies); i++) {
		struct play p = {
			.first = REFUSAL_A, .before = copies[i], .own = OWN, .behind = ""
		};

		for (p.pause_at = 1; p.pause_at < strlen(copies[i]) + strlen(OWN); p.pause_at += 3)
			play_once(&p, p.pause_at % 2 ? "POST" : "GET");
	}
	teardown();
}

/*
 * Guards against: an earlier refusal that stops in its head joins the true answer's head, so that
 * a request which has run is reported as not run.
 */
static void test_cut_copy(void)
{
	setup(serve);
	for (size_t i = 0; i < G_N_ELEMENTS(copies); i++) {
		g_autofree char *copy = g_strdup(copies[i]);

		for (size_t len = strlen(copy); len--;) {
			copy[len] = 0;
			play_methods(&(struct play){
				.first = REFUSAL_A, .before = copy, .own = OWN, .behind = "" });
		}
	}
	teardown();
}

/* Guards against: an earlier refusal ends a request whose body is still being sent. */
static void test_while_sending(void)
{
	setup(serve);
	for (size_t i = 0; i < G_N_ELEMENTS(copies); i++)
		play_once(&(struct play){ .first = REFUSAL_A,
					  .before = copies[i],
					  .own = OWN,
					  .behind = "",
					  .is_early = true },
			  "POST");
	teardown();
}

/* Guards against: the same after answers whose end is not stated by a length of the body. */
static void test_after_answers_without_body(void)
{
	static const char *const firsts[] = {
		"HTTP/1.1 304 Not Modified\r\n" ID_A "Content-Length: 50\r\n\r\n",
		"HTTP/1.1 204 No Content\r\n" ID_A "Content-Length: 0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\n" REFUSAL_A,
		"HTTP/1.1 200 OK\r\n" ID_A
		"Transfer-Encoding: chunked\r\n\r\n0\r\nX-T: owl\r\n\r\n",
	};

	setup(serve);
	for (size_t i = 0; i < G_N_ELEMENTS(firsts); i++)
		for (size_t k = 0; k < G_N_ELEMENTS(copies); k++)
			play_methods(&(struct play){ .first = firsts[i],
						     .before = copies[k],
						     .own = OWN,
						     .behind = "" });
	teardown();
}

static void serve_status_lines(struct raw_server *s, int fd, u32 nth)
{
	(void)nth;
	while (raw_read_request(s, fd))
		raw_write(fd, "HTTP/1.1 200 OK\r\n" ID_B "X-Origin: HTTP/1.1 404 Not Found\r\n"
			      "Via: HTTP/1.1 owl\r\nContent-Length: 5\r\n\r\nnoted");
}

/* Guards against: an upstream whose answers have a status line in a header is of no use. */
static void test_header_with_status_line(void)
{
	setup(serve_status_lines);
	for (u32 i = 0; i < 4; i++) {
		int err = run(i % 2 ? "POST" : "GET", "b", 0);

		g_assert_cmpint(err, ==, 0);
		g_assert_cmpstr(http_header(fixture.call.reply, "X-Origin"), ==,
				"HTTP/1.1 404 Not Found");
		http_free(g_steal_pointer(&fixture.call.reply));
	}
	teardown();
}

/* The first answer names its request, the others do not. */
static void *serve_connection(void *arg)
{
	int fd = GPOINTER_TO_INT(arg);

	g_atomic_int_inc(&fixture.connections);
	while (raw_read_request(&fixture.server, fd))
		raw_write(fd, g_atomic_int_get(&fixture.server.requests) == 1 ?
				      OWN :
				      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nnoted");
	close(fd);
	g_atomic_int_add(&fixture.connections, -1);
	return NULL;
}

static void serve_without_ids(struct raw_server *s, int fd, u32 nth)
{
	(void)s;
	(void)nth;
	g_thread_unref(g_thread_new("connection", serve_connection, GINT_TO_POINTER(dup(fd))));
}

/* Guards against: callers that name no request get 502 for each one that follows another. */
static void test_request_without_id(void)
{
	setup(serve_without_ids);
	for (u32 i = 0; i < 4; i++) {
		int err = run(i % 2 ? "POST" : "GET", i ? NULL : "b", 0);

		g_assert_cmpint(err, ==, 0);
		g_assert_cmpuint(fixture.call.reply->status, ==, 200);
		http_free(g_steal_pointer(&fixture.call.reply));
	}
	/* Only the first request's connection is kept. */
	for (u32 i = 0; i < WAIT_MS && g_atomic_int_get(&fixture.connections) > 1; i++)
		g_usleep(US_PER_MS);
	g_assert_cmpint(g_atomic_int_get(&fixture.connections), ==, 1);
	teardown();
}

/* Two calls that run at the same time, on two connections. */
struct crossed {
	GAsyncQueue *connections; /* with a request that has been read */
	struct upstream_call calls[2];
};

/* Writes to each of two connections a refusal that names the other's request, then its answer. */
static void serve_crossed(struct raw_server *s, int fd, u32 nth)
{
	struct crossed *x = s->arg;
	int first;

	g_assert_true(raw_read_request(s, fd));
	g_async_queue_push(x->connections, GINT_TO_POINTER(dup(fd)));
	if (nth == 1)
		return;
	first = GPOINTER_TO_INT(g_async_queue_pop(x->connections));
	raw_write(first, "HTTP/1.1 503 No\r\n" ID_HEADER ": c\r\n" NOT_RUN EMPTY "\r\n");
	raw_write(fd, "HTTP/1.1 503 No\r\n" ID_B NOT_RUN EMPTY "\r\n");
	g_usleep(PAUSE_US);
	raw_write(first, OWN);
	raw_write(fd, NEXT);
	close(first);
	close(GPOINTER_TO_INT(g_async_queue_pop(x->connections)));
}

static void start_crossed(void *arg)
{
	struct crossed *x = arg;

	for (u32 i = 0; i < 2; i++)
		upstream_start(fixture.u, &fixture.at, &x->calls[i]);
}

/* Guards against: a refusal that names a call which runs on another connection ends either call. */
static void test_id_of_call_on_other_connection(void)
{
	static const char *const ids[] = { "b", "c" };
	struct crossed x = { .connections = g_async_queue_new() };

	setup(serve_crossed);
	fixture.server.arg = &x;
	for (u32 i = 0; i < 2; i++)
		x.calls[i] = new_call(make_request("POST", ids[i], 0), false);
	loop_call(fixture.loop, start_crossed, &x);
	for (u32 i = 0; i < 2; i++)
		g_async_queue_pop(fixture.done);
	for (u32 i = 0; i < 2; i++) {
		g_assert_cmpint(x.calls[i].err, ==, 0);
		g_assert_cmpuint(x.calls[i].reply->status, ==, 200);
		g_assert_cmpstr(http_header(x.calls[i].reply, ID_HEADER), ==, ids[i]);
		http_free(x.calls[i].reply);
		http_free((struct http_msg *)x.calls[i].request);
	}
	teardown();
	g_async_queue_unref(x.connections);
}

static void serve_blanks(struct raw_server *s, int fd, u32 nth)
{
	(void)nth;
	while (raw_read_request(s, fd))
		raw_write(fd, "HTTP/1.1 200 OK\r\n" ID_HEADER ": \t b \t \r\n" EMPTY "\r\n");
}

/* Guards against: an answer whose id is followed by blanks counts as another request's. */
static void test_blanks_around_id(void)
{
	setup(serve_blanks);
	for (u32 i = 0; i < 2; i++) {
		int err = run("POST", "b", 0);

		g_assert_cmpint(err, ==, 0);
		g_assert_cmpstr(http_header(fixture.call.reply, ID_HEADER), ==, "b");
		http_free(g_steal_pointer(&fixture.call.reply));
	}
	teardown();
}

struct kept_case {
	const char *text; /* the answer to the first request, b */
	bool is_kept;
};

static const struct kept_case kept_cases[] = {
	{ OWN, true },
	{ "HTTP/1.1 503 No\r\n" ID_B NOT_RUN EMPTY "\r\n", true },
	{ "HTTP/1.1 503 No\r\n" NOT_RUN EMPTY "\r\n", false },
	{ "HTTP/1.1 421 No\r\n" ID_B EMPTY "\r\n", false },
	{ "HTTP/1.1 421 No\r\n" ID_B NOT_RUN EMPTY "\r\n", false },
	{ REFUSAL_A OWN, false },
	{ OWN REFUSAL_A, false },
	{ OWN "HTTP/1.1 200 O", false },
	{ "HTTP/1.1 200 OK\r\n" ID_B "X-Origin: HTTP/1.1 200 OK\r\n" EMPTY "\r\n", false },
	{ "HTTP/1.1 200 OK\r\n" ID_B "Connection: close\r\n" EMPTY "\r\n", false },
	{ "HTTP/1.0 200 OK\r\n" ID_B EMPTY "\r\n", false },
	{ "HTTP/1.1 204 No Content\r\n" ID_B "\r\n", false },
};

static void serve_kept(struct raw_server *s, int fd, u32 nth)
{
	g_atomic_int_set(&fixture.connections, (gint)nth);
	while (raw_read_request(s, fd))
		raw_write(fd, g_atomic_int_get(&s->requests) % 2 ? fixture.play.first : NEXT);
}

/*
 * Guards against: a connection is used again after a refusal that names no request, with bytes of
 * an answer outstanding, or though another upstream has the address; or each answer costs a
 * connection.
 */
static void test_connections_kept(void)
{
	setup(serve_kept);
	for (size_t i = 0; i < G_N_ELEMENTS(kept_cases); i++) {
		const struct kept_case *k = &kept_cases[i];
		gint before;
		int err;

		g_test_message("%s", k->text);
		fixture.play.first = k->text;
		loop_call(fixture.loop, close_idle, NULL);
		err = run("POST", "b", 0);
		g_assert_cmpint(err, ==, 0);
		http_free(g_steal_pointer(&fixture.call.reply));
		before = g_atomic_int_get(&fixture.connections);
		err = run("POST", "c", 0);
		g_assert_cmpint(err, ==, 0);
		http_free(g_steal_pointer(&fixture.call.reply));
		g_assert_true((g_atomic_int_get(&fixture.connections) == before) == k->is_kept);
	}
	teardown();
}

/* On the first connection, writes half of a copy while no request is open, the rest later. */
static void serve_while_idle(struct raw_server *s, int fd, u32 nth)
{
	const char *rest = strstr(REFUSAL_A, "Lavenderlead-Not");
	g_autofree char *half = g_strndup(REFUSAL_A, (gsize)(rest - REFUSAL_A));

	if (nth > 1) {
		while (raw_read_request(s, fd))
			raw_write(fd, NEXT);
		return;
	}
	raw_read_request(s, fd);
	raw_write(fd, OWN);
	g_usleep(PAUSE_US);
	raw_write(fd, half);
	g_atomic_int_set(&fixture.is_half_written, 1);
	if (!raw_read_request(s, fd))
		return;
	raw_write(fd, rest);
	raw_write(fd, NEXT);
}

/* Guards against: the rest of a copy that began on an idle connection spoils the next answer. */
static void test_half_while_idle(void)
{
	int err;

	setup(serve_while_idle);
	err = run("POST", "b", 0);
	g_assert_cmpint(err, ==, 0);
	http_free(g_steal_pointer(&fixture.call.reply));
	while (!g_atomic_int_get(&fixture.is_half_written))
		g_usleep(PAUSE_US);
	g_usleep(20 * PAUSE_US);
	err = run("POST", "c", 0);
	g_assert_cmpint(err, ==, 0);
	http_free(g_steal_pointer(&fixture.call.reply));
	teardown();
}

static void serve_many_refusals(struct raw_server *s, int fd, u32 nth)
{
	g_atomic_int_set(&fixture.connections, (gint)nth);
	while (raw_read_request(s, fd)) {
		g_autofree char *text = g_strdup_printf("HTTP/1.1 503 No\r\n" ID_HEADER
							": %d\r\n" NOT_RUN EMPTY "\r\n",
							g_atomic_int_get(&s->requests));

		raw_write(fd, text);
	}
}

/* Guards against: the ids of refused requests pile up on a connection that stays in use. */
static void test_refused_ids_are_bounded(void)
{
	setup(serve_many_refusals);
	for (u32 i = 1; i <= REFUSALS; i++) {
		g_autofree char *id = g_strdup_printf("%u", i);
		int err = run("POST", id, 0);

		g_assert_cmpint(err, ==, 0);
		http_free(g_steal_pointer(&fixture.call.reply));
	}
	g_assert_cmpint(g_atomic_int_get(&fixture.connections), >, 1);
	g_assert_cmpint(g_atomic_int_get(&fixture.connections), <=, 1 + REFUSALS / 50);
	teardown();
}

static void serve_health(struct raw_server *s, int fd, u32 nth)
{
	g_atomic_int_set(&fixture.connections, (gint)nth);
	while (raw_read_request(s, fd))
		raw_write(fd, g_atomic_int_get(&s->requests) % 2 ?
				      "HTTP/1.1 200 OK\r\n" EMPTY "\r\n" :
				      "HTTP/1.1 503 No\r\n" NOT_RUN EMPTY "\r\n");
}

/* Guards against: polls, whose answers name no request, end as uncertain or take a connection each.
 */
static void test_polls_keep_connection(void)
{
	setup(serve_health);
	for (u32 i = 0; i < 6; i++) {
		int err = run_call(make_request("GET", NULL, 0), true);

		g_assert_cmpint(err, ==, 0);
		g_assert_cmpuint(fixture.call.reply->status, ==, i % 2 ? 503 : 200);
		g_assert_true(fixture.call.may_be_copy == (i > 0));
		http_free(g_steal_pointer(&fixture.call.reply));
	}
	g_assert_cmpint(g_atomic_int_get(&fixture.connections), ==, 1);
	teardown();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/repeated-answer/before", test_before);
	g_test_add_func("/repeated-answer/many-copies", test_many_copies);
	g_test_add_func("/repeated-answer/behind", test_behind);
	g_test_add_func("/repeated-answer/split", test_split);
	g_test_add_func("/repeated-answer/cut-copy", test_cut_copy);
	g_test_add_func("/repeated-answer/while-sending", test_while_sending);
	g_test_add_func("/repeated-answer/after-answers-without-body",
			test_after_answers_without_body);
	g_test_add_func("/repeated-answer/header-with-status-line", test_header_with_status_line);
	g_test_add_func("/repeated-answer/request-without-id", test_request_without_id);
	g_test_add_func("/repeated-answer/id-of-call-on-other-connection",
			test_id_of_call_on_other_connection);
	g_test_add_func("/repeated-answer/blanks-around-id", test_blanks_around_id);
	g_test_add_func("/repeated-answer/connections-kept", test_connections_kept);
	g_test_add_func("/repeated-answer/half-while-idle", test_half_while_idle);
	g_test_add_func("/repeated-answer/refused-ids-are-bounded", test_refused_ids_are_bounded);
	g_test_add_func("/repeated-answer/polls-keep-connection", test_polls_keep_connection);
	return g_test_run();
}
