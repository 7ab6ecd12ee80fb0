/*
 * Faulty upstreams that send an endless response. The client must bound its memory, close the
 * connection and fail the call, while other calls continue.
 */
#include "kernel/loop.h"
#include "lib/err.h"
#include "node/upstream.h"
#include "test/fakes/raw_server.h"

#include <glib.h>
#include <string.h>
#include <sys/socket.h>

#define BODY_MAX_BYTES (1024 * 1024)
/* Upper bound on the bytes buffered by the sockets of client and server. */
#define SOCKET_BUFFERS_BYTES (16 * 1024 * 1024)
#define TIMEOUT_US (3 * US_PER_S)
#define SERVERS 64

/* A server sends FIRST once, then PIECE repeatedly. */
struct stream {
	struct raw_server server;
	const char *first;
	const char *piece;
	size_t bytes; /* sent after FIRST */
	struct upstream_call call;
	struct http_msg *request;
};

struct fixture {
	struct loop *loop;
	struct upstream *u;
	GAsyncQueue *done;
};

static struct fixture fixture;

static void serve_without_end(struct raw_server *s, int fd, u32 nth)
{
	struct stream *t = s->arg;
	g_autoptr(GString) pieces = g_string_new(NULL);

	(void)nth;
	if (!raw_read_request(s, fd))
		return;
	raw_write(fd, t->first);
	while (pieces->len < 16384)
		g_string_append(pieces, t->piece);
	for (;;) {
		ssize_t n = send(fd, pieces->str, pieces->len, MSG_NOSIGNAL);

		if (n <= 0)
			return;
		t->bytes += (size_t)n;
	}
}

static void serve_one(struct raw_server *s, int fd, u32 nth)
{
	(void)nth;
	while (raw_read_request(s, fd))
		raw_write(fd, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none");
}

static void on_done(struct upstream_call *call)
{
	g_async_queue_push(fixture.done, call);
}

static void start_on_loop(void *arg)
{
	struct stream *t = arg;
	struct endpoint at = { .host = "127.0.0.1", .port = t->server.port };

	upstream_start(fixture.u, &at, &t->call);
}

static void start(struct stream *t, raw_server_handler serve)
{
	raw_server_start(&t->server, serve, t);
	t->request = http_new();
	t->request->method = g_strdup("GET");
	t->request->target = g_strdup("/species/hoopoe");
	t->call = (struct upstream_call){ .request = t->request,
					  .deadline_us = loop_clock_us() + TIMEOUT_US,
					  .max_body_bytes = BODY_MAX_BYTES,
					  .is_idempotent = true,
					  .done = on_done,
					  .arg = t };
	loop_call(fixture.loop, start_on_loop, t);
}

static void stop(struct stream *t)
{
	raw_server_stop(&t->server);
	http_free(t->request);
	http_free(t->call.reply);
}

static void setup(void)
{
	fixture.loop = loop_new("endless-test");
	fixture.u = upstream_new(fixture.loop, &dialect_native);
	fixture.done = g_async_queue_new();
	g_assert_cmpint(loop_start(fixture.loop), ==, 0);
}

static void teardown(void)
{
	loop_stop(fixture.loop);
	upstream_free(fixture.u);
	loop_free(fixture.loop);
	g_async_queue_unref(fixture.done);
}

/* The client closes the connection long before the deadline, and the call fails. */
static void check_endless(const char *first, const char *piece)
{
	struct stream endless = { .first = first, .piece = piece };
	struct stream other = { 0 };

	setup();
	start(&endless, serve_without_end);
	start(&other, serve_one);
	g_async_queue_pop(fixture.done);
	g_async_queue_pop(fixture.done);
	g_assert_cmpint(other.call.err, ==, 0);
	g_assert_cmpmem(other.call.reply->body->data, other.call.reply->body->len, "one", 3);
	g_assert_cmpint(endless.call.err, !=, 0);
	g_assert_cmpint(endless.call.err, !=, ERR_TIMEOUT);
	g_assert_null(endless.call.reply);
	/* Waits for the server's thread, which ends when the client closes the connection. */
	stop(&endless);
	g_assert_cmpuint(endless.bytes, <, BODY_MAX_BYTES + SOCKET_BUFFERS_BYTES);
	teardown();
	stop(&other);
}

static void test_status_line(void)
{
	check_endless("HTTP/1.1 200 O", "K");
}

static void test_header_value(void)
{
	check_endless("HTTP/1.1 200 OK\r\nX-Long: ", "hoopoe");
}

static void test_headers(void)
{
	check_endless("HTTP/1.1 200 OK\r\n", "X-Bird: hoopoe\r\n");
}

static void test_interim_answers(void)
{
	check_endless("", "HTTP/1.1 100 Continue\r\n\r\n");
}

static void test_body_without_length(void)
{
	check_endless("HTTP/1.1 200 OK\r\n\r\n", "hoopoe");
}

static void test_chunks(void)
{
	check_endless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "6\r\nhoopoe\r\n");
}

static void test_chunk_extension(void)
{
	check_endless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6;", "hoopoe");
}

static void test_trailer(void)
{
	check_endless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nhoopoe\r\n0\r\n",
		      "X-Bird: hoopoe\r\n");
}

/* Bytes after a whole answer belong to no request; the connection is not reused. */
static void test_after_a_whole_answer(void)
{
	struct stream endless = { .first = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nhoopoe",
				  .piece = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nowl" };

	setup();
	start(&endless, serve_without_end);
	g_async_queue_pop(fixture.done);
	g_assert_cmpint(endless.call.err, ==, 0);
	g_assert_cmpmem(endless.call.reply->body->data, endless.call.reply->body->len, "hoopoe", 6);
	stop(&endless);
	g_assert_cmpuint(endless.bytes, <, SOCKET_BUFFERS_BYTES);
	teardown();
}

static void serve_all_but_one_byte(struct raw_server *s, int fd, u32 nth)
{
	struct stream *t = s->arg;
	g_autofree char *body = g_strnfill(BODY_MAX_BYTES - 1, 'h');

	(void)nth;
	if (!raw_read_request(s, fd))
		return;
	raw_write(fd, t->first);
	raw_write(fd, body);
	raw_wait_closed(fd);
}

static void get_buffered_bytes(void *arg)
{
	*(size_t *)arg = upstream_buffered_bytes(fixture.u);
}

/* Each body is within its limit, but their total exceeds the limit for all of them. */
static void test_many_at_once(void)
{
	struct stream *all = g_new0(struct stream, SERVERS);
	u32 too_big = 0;
	size_t bytes;

	setup();
	for (u32 i = 0; i < SERVERS; i++) {
		all[i].first = "HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n";
		start(&all[i], serve_all_but_one_byte);
	}
	for (u32 i = 0; i < SERVERS; i++) {
		const struct upstream_call *call = g_async_queue_pop(fixture.done);

		too_big += call->err == ERR_TOOBIG;
		g_assert_true(call->err == ERR_TOOBIG || call->err == ERR_TIMEOUT);
		loop_call(fixture.loop, get_buffered_bytes, &bytes);
		g_assert_cmpuint(bytes, <=, UPSTREAM_BUFFERED_MAX_BYTES);
	}
	g_assert_cmpuint(too_big, ==, SERVERS - UPSTREAM_BUFFERED_MAX_BYTES / BODY_MAX_BYTES);
	g_assert_cmpuint(bytes, ==, 0);
	teardown();
	for (u32 i = 0; i < SERVERS; i++)
		stop(&all[i]);
	g_free(all);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/endless/status-line", test_status_line);
	g_test_add_func("/endless/header-value", test_header_value);
	g_test_add_func("/endless/headers", test_headers);
	g_test_add_func("/endless/interim-answers", test_interim_answers);
	g_test_add_func("/endless/body-without-length", test_body_without_length);
	g_test_add_func("/endless/chunks", test_chunks);
	g_test_add_func("/endless/chunk-extension", test_chunk_extension);
	g_test_add_func("/endless/trailer", test_trailer);
	g_test_add_func("/endless/after-a-whole-answer", test_after_a_whole_answer);
	g_test_add_func("/endless/many-at-once", test_many_at_once);
	return g_test_run();
}
