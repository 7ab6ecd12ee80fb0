/*
 * Callers that stop within a request, and answers of the server's own that end early. A cut request
 * must not start, and an answer that ends early must not look whole.
 */
#include "kernel/httpd.h"
#include "lib/http_server.h"
#include "test/fakes/raw_server.h"

#include <civetweb.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* More than the sockets of client and server buffer. */
#define LONG_BODY_BYTES (32 * 1024 * 1024)
#define WAIT_MS 20000

#define FIRST "GET /first HTTP/1.1\r\nHost: h\r\n\r\n"

static struct loop *loop;
static struct httpd *server;
static u16 port;
static gint started;
static u32 answer_bytes;

static void on_request(struct httpd_request *r, void *arg)
{
	g_autofree char *body = g_strnfill(answer_bytes, 'x');

	(void)arg;
	g_atomic_int_inc(&started);
	httpd_answer(r, http_json_response(200, body));
}

static bool may_overlap(const struct httpd_request *r, void *arg)
{
	(void)r;
	(void)arg;
	return true;
}

static const struct httpd_ops ops = { .request = on_request, .may_overlap = may_overlap };

static void setup(u32 bytes)
{
	port = raw_free_port();
	answer_bytes = bytes;
	loop = loop_new("cut-request-test");
	server = httpd_listen(loop, "127.0.0.1", port, &ops, NULL);
	g_assert_nonnull(server);
	g_assert_cmpint(loop_start(loop), ==, 0);
}

static void free_server(void *arg)
{
	(void)arg;
	httpd_free(server);
}

static void teardown(void)
{
	loop_stop(loop);
	loop_free(loop);
}

static GString *read_all(int fd)
{
	GString *out = g_string_new(NULL);
	char buf[65536];
	ssize_t n;

	while ((n = recv(fd, buf, sizeof(buf), 0)) > 0)
		g_string_append_len(out, buf, n);
	return out;
}

/* Each ends with a request that may be cut; FIRST before it is whole. */
static const char *const requests[] = {
	"GET /cut HTTP/1.1\r\nHost: h\r\nX-Bird: hoopoe\r\n\r\n",
	"GET /cut HTTP/1.0\r\nHost: h\r\n\r\n",
	"POST /cut HTTP/1.1\r\nHost: h\r\nX-Bird: hoopoe\r\nContent-Length: 5\r\n\r\nhello",
	"POST /cut HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	"5\r\nhello\r\n6;x=1\r\n hoops\r\n0\r\nX-Trailer: owl\r\n\r\n",
	FIRST "GET /cut HTTP/1.1\r\nHost: h\r\nX-Bird: hoopoe\r\n\r\n",
	FIRST "POST /cut HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
};

static void send_cut(const char *text, size_t len, bool is_reset)
{
	g_autofree char *part = g_strndup(text, len);
	int fd = raw_connect(port);

	raw_write(fd, part);
	if (is_reset)
		raw_reset_on_close(fd);
	else
		shutdown(fd, SHUT_WR);
	if (!is_reset)
		g_string_free(read_all(fd), TRUE);
	close(fd);
}

static void nothing(void *arg)
{
	(void)arg;
}

/* A reset may also keep a whole request from starting. */
static void check_cut(const char *text, size_t len, bool is_reset)
{
	gint first = g_str_has_prefix(text, FIRST) && len >= strlen(FIRST);
	gint whole = first + (len == strlen(text));

	g_atomic_int_set(&started, 0);
	send_cut(text, len, is_reset);
	/* The loop has then handled what was sent before. */
	loop_call(loop, nothing, NULL);
	loop_call(loop, nothing, NULL);
	g_test_message("%s, cut after %zu, reset %d", text, len, is_reset);
	g_assert_cmpint(g_atomic_int_get(&started), <=, whole);
	if (!is_reset)
		g_assert_cmpint(g_atomic_int_get(&started), ==, whole);
}

static void check_all_cuts(bool is_reset)
{
	setup(3);
	for (size_t i = 0; i < G_N_ELEMENTS(requests); i++)
		for (size_t len = 0; len <= strlen(requests[i]); len++)
			check_cut(requests[i], len, is_reset);
	loop_call(loop, free_server, NULL);
	teardown();
}

/* Guards against: a request that was cut in its head or body starts. */
static void test_every_byte(void)
{
	check_all_cuts(false);
}

/* Guards against: the same when the caller resets the connection. */
static void test_every_byte_reset(void)
{
	check_all_cuts(true);
}

static const char *const operator_requests[] = {
	"PUT /v1/thing HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello",
	"PUT /v1/thing HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: "
	"chunked\r\n\r\n"
	"5\r\nhello\r\n6\r\n hoops\r\n0\r\n\r\n",
};

static int on_operator_request(struct mg_connection *conn, void *arg)
{
	g_autoptr(GByteArray) body = g_byte_array_new();

	(void)arg;
	if (!http_read_body(conn, body, 1000))
		g_atomic_int_inc(&started);
	return http_send_error(conn, 200, NULL, NULL, "done");
}

/*
 * CivetWeb takes the last chunk for the end of a body. The empty line that ends the trailers may be
 * missing then, as nothing of the body can be.
 */
static bool is_body_whole(const char *text, size_t len)
{
	const char *last_chunk = strstr(text, "\r\n0\r\n\r\n");

	return len == strlen(text) ||
	       (last_chunk && len >= (size_t)(last_chunk - text) + strlen("\r\n0\r\n"));
}

/* Guards against: a change whose body was cut is made, at the interfaces for operators. */
static void test_operator_every_byte(void)
{
	struct mg_context *server_ctx;

	port = raw_free_port();
	server_ctx = http_server_start("127.0.0.1", port, 2, NULL);
	g_assert_nonnull(server_ctx);
	mg_set_request_handler(server_ctx, "/", on_operator_request, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(operator_requests); i++) {
		const char *text = operator_requests[i];

		for (size_t len = 0; len <= strlen(text); len++) {
			g_atomic_int_set(&started, 0);
			send_cut(text, len, false);
			g_test_message("%s, cut after %zu", text, len);
			g_assert_cmpint(g_atomic_int_get(&started), ==, is_body_whole(text, len));
		}
	}
	mg_stop(server_ctx);
}

/* Framing that can't be understood, or that another reader might understand otherwise. */
static const char *const unclear[] = {
	"Content-Length:",
	"Content-Length: 5x",
	"Content-Length: x",
	"Content-Length: -5",
	"Content-Length: 5, 5",
	"Content-Length: 5\r\nContent-Length: 6",
	"Content-Length: 5\r\nTransfer-Encoding: chunked",
	"Transfer-Encoding: chunke",
	"Transfer-Encoding: gzip, chunked",
	"Transfer-Encoding: identity",
	"Transfer-Encoding : chunked",
};

/* By the second length, what looks like another request is a part of the body. */
static void check_second_not_started(void)
{
	g_autofree char *text = g_strdup_printf(
		"PUT /v1/thing HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
		"Content-Length: %zu\r\n\r\nhello%s",
		strlen("hello") + strlen(operator_requests[0]), operator_requests[0]);

	g_atomic_int_set(&started, 0);
	send_cut(text, strlen(text), false);
	g_assert_cmpint(g_atomic_int_get(&started), ==, 0);
}

/* Guards against: a change whose length can't be read is made, at the interfaces for operators. */
static void test_operator_unclear_length(void)
{
	struct mg_context *server_ctx;

	port = raw_free_port();
	server_ctx = http_server_start("127.0.0.1", port, 2, NULL);
	g_assert_nonnull(server_ctx);
	mg_set_request_handler(server_ctx, "/", on_operator_request, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(unclear); i++) {
		g_autofree char *text = g_strconcat("PUT /v1/thing HTTP/1.1\r\nHost: h\r\n"
						    "Connection: close\r\n",
						    unclear[i], "\r\n\r\nhello", NULL);

		g_atomic_int_set(&started, 0);
		send_cut(text, strlen(text), false);
		g_test_message("%s", unclear[i]);
		g_assert_cmpint(g_atomic_int_get(&started), ==, 0);
	}
	check_second_not_started();
	mg_stop(server_ctx);
}

/*
 * Guards against: a change with so many headers that the server did not see its length is taken for
 * one without a body, and the body for another request.
 */
static void test_operator_many_headers(void)
{
	g_autoptr(GString) text = g_string_new("PUT /v1/thing HTTP/1.1\r\nHost: h\r\n");
	struct mg_context *server_ctx;

	for (u32 i = 0; i < MG_MAX_HEADERS; i++)
		g_string_append_printf(text, "Bird-%u: hoopoe\r\n", i);
	g_string_append(text, "Content-Length: 5\r\n\r\nhello");
	port = raw_free_port();
	server_ctx = http_server_start("127.0.0.1", port, 2, NULL);
	g_assert_nonnull(server_ctx);
	mg_set_request_handler(server_ctx, "/", on_operator_request, NULL);
	g_atomic_int_set(&started, 0);
	send_cut(text->str, text->len, false);
	g_assert_cmpint(g_atomic_int_get(&started), ==, 0);
	mg_stop(server_ctx);
}

static void check_refused(const char *framing)
{
	g_autofree char *text =
		g_strconcat("POST /cut HTTP/1.1\r\nHost: h\r\n", framing, "\r\n\r\nhello", NULL);
	int fd = raw_connect(port);
	GString *got;

	raw_write(fd, text);
	got = read_all(fd);
	g_assert_true(g_str_has_prefix(got->str, "HTTP/1.1 400 "));
	g_assert_cmpint(g_atomic_int_get(&started), ==, 0);
	g_string_free(got, TRUE);
	close(fd);
}

/* Guards against: a request with an unreadable length starts without its body. */
static void test_unclear_length(void)
{
	setup(3);
	g_atomic_int_set(&started, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(unclear); i++)
		check_refused(unclear[i]);
	check_refused("Content-Length: \r\nX-Bird: owl");
	check_refused("Content-Length : 5");
	loop_call(loop, free_server, NULL);
	teardown();
}

/* Guards against: an answer that the end of the process cuts looks whole to its caller. */
static void test_own_answer_cut(void)
{
	const char *length;
	GString *got;
	int fd;

	setup(LONG_BODY_BYTES);
	g_atomic_int_set(&started, 0);
	fd = raw_connect(port);
	raw_write(fd, FIRST);
	for (u32 i = 0; i < WAIT_MS && !g_atomic_int_get(&started); i++)
		g_usleep(US_PER_MS);
	loop_call(loop, free_server, NULL);
	got = read_all(fd);
	length = strstr(got->str, "\r\nContent-Length: ");
	g_assert_nonnull(length);
	g_assert_cmpuint(strtoul(length + strlen("\r\nContent-Length: "), NULL, 10), ==,
			 LONG_BODY_BYTES);
	g_assert_cmpuint(got->len, <, LONG_BODY_BYTES);
	g_string_free(got, TRUE);
	close(fd);
	teardown();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cut-request/every-byte", test_every_byte);
	g_test_add_func("/cut-request/every-byte-reset", test_every_byte_reset);
	g_test_add_func("/cut-request/operator-every-byte", test_operator_every_byte);
	g_test_add_func("/cut-request/operator-many-headers", test_operator_many_headers);
	g_test_add_func("/cut-request/operator-unclear-length", test_operator_unclear_length);
	g_test_add_func("/cut-request/unclear-length", test_unclear_length);
	g_test_add_func("/cut-request/own-answer-cut", test_own_answer_cut);
	return g_test_run();
}
