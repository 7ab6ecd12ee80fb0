/*
 * An upstream that stops within its answer and closes or resets the connection. The client must
 * return an answer only if it is whole, wherever the cut is.
 */
#include "lib/err.h"
#include "test/fakes/upstream_client.h"

#include <glib.h>
#include <string.h>
#include <sys/socket.h>

#define TIMEOUT_US (20 * US_PER_S)
#define BODY_MAX_BYTES 65536
/* Longer than any delay within the client. */
#define PAUSE_US (60 * US_PER_MS)
/* More than the sockets of client and server buffer. */
#define LONG_BODY_BYTES (32 * 1024 * 1024)

#define WHOLE "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown"

struct answer {
	const char *method;
	const char *before; /* answers an earlier request on the connection; NULL for none */
	const char *head;
	const char *body; /* as framed */
	const char *expected; /* the body that callers get */
	bool ends_with_close;
};

struct cut {
	const struct answer *answer;
	size_t len; /* bytes of the answer that are sent */
	bool is_reset;
};

struct fixture {
	struct upstream_client client;
	struct http_msg *request;
	struct cut cut; /* served on the next connection */
};

static struct fixture fixture;

/* The client gets a whole answer, unless the parts of an answer are cut. */
static const struct answer answers[] = {
	{ "GET", NULL, "HTTP/1.1 200 OK\r\nX-Bird: hoopoe\r\nContent-Length: 5\r\n\r\n", "hello",
	  "hello", false },
	{ "GET", NULL, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Bird: hoopoe\r\n\r\n", "", "",
	  false },
	{ "GET", NULL, "HTTP/1.1 200 OK\r\nX-Bird: hoopoe\r\nTransfer-Encoding: chunked\r\n\r\n",
	  "5\r\nhello\r\n6;x=1\r\n hoops\r\n0\r\nX-Trailer: owl\r\n\r\n", "hello hoops", false },
	{ "GET", NULL, "HTTP/1.1 200 OK\r\nTransfer-Encoding: \t Chunked \r\n\r\n",
	  "5\r\nhello\r\n0\r\n\r\n", "hello", false },
	{ "GET", NULL, "HTTP/1.1 200 OK\r\nX-Bird: hoopoe\r\n\r\n", "hello", NULL, true },
	{ "GET", NULL, "HTTP/1.0 200 OK\r\nX-Bird: hoopoe\r\n\r\n", "hello", NULL, true },
	{ "GET", NULL, "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\n", "hello", "hello", false },
	{ "GET", NULL,
	  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\nX-Bird: hoopoe\r\n\r\n"
	  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
	  "hello", "hello", false },
	{ "GET", NULL, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Bird: owl\r\n\r\n",
	  "hello", NULL, true },
	{ "HEAD", NULL, "HTTP/1.1 200 OK\r\nContent-Length: 50\r\nX-Bird: hoopoe\r\n\r\n", "", "",
	  false },
	{ "GET", NULL, "HTTP/1.1 204 No Content\r\nX-Bird: hoopoe\r\n\r\n", "", "", false },
	{ "GET", NULL, "HTTP/1.1 304 Not Modified\r\nContent-Length: 50\r\n\r\n", "", "", false },
	{ "GET", WHOLE, "HTTP/1.1 200 OK\r\nX-Bird: hoopoe\r\nContent-Length: 5\r\n\r\n", "hello",
	  "hello", false },
	{ "GET", WHOLE, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	  "5\r\nhello\r\n0\r\n\r\n", "hello", false },
	{ "GET", WHOLE, "HTTP/1.1 200 OK\r\nX-Bird: hoopoe\r\n\r\n", "hello", NULL, true },
	{ "GET",
	  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\nX-T: owl\r\n\r\n",
	  "HTTP/1.1 200 OK\r\nX-Bird: hoopoe\r\n\r\n", "hello", NULL, true },
	{ "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 50\r\n\r\n",
	  "HTTP/1.1 200 OK\r\nX-Bird: hoopoe\r\nContent-Length: 5\r\n\r\n", "hello", "hello",
	  false },
};

static void serve(struct raw_server *s, int fd, u32 nth)
{
	const struct cut *cut = &fixture.cut;
	const struct answer *a = cut->answer;
	g_autofree char *text = g_strconcat(a->head, a->body, NULL);

	(void)nth;
	if (!raw_read_request(s, fd))
		return;
	if (a->before) {
		raw_write(fd, a->before);
		if (!raw_read_request(s, fd))
			return;
	}
	text[cut->len] = 0;
	raw_write(fd, text);
	if (cut->is_reset)
		raw_reset_on_close(fd);
}

static void setup(raw_server_handler serve_one)
{
	memset(&fixture, 0, sizeof(fixture));
	upstream_client_start(&fixture.client, "cut-answer-test", &dialect_native, serve_one);
	fixture.request = http_new();
	fixture.request->target = g_strdup("/species/hoopoe");
}

static void teardown(void)
{
	upstream_client_stop(&fixture.client);
	http_free(fixture.request);
}

/* Runs one call; the caller frees its reply. */
static int run(const char *method)
{
	g_free(fixture.request->method);
	fixture.request->method = g_strdup(method);
	return upstream_client_run(
		&fixture.client,
		(struct upstream_call){ .request = fixture.request,
					.is_idempotent = true,
					.deadline_us = loop_clock_us() + TIMEOUT_US,
					.max_body_bytes = BODY_MAX_BYTES });
}

static void check_run(const char *method, int expected)
{
	int err = run(method);

	g_assert_cmpint(err, ==, expected);
}

/* Whether a caller may get the answer, and must get it if it was not reset. */
static bool is_whole(const struct cut *cut)
{
	const struct answer *a = cut->answer;

	if (a->ends_with_close)
		return cut->len >= strlen(a->head) && !cut->is_reset;
	return cut->len == strlen(a->head) + strlen(a->body);
}

static void check_reply(const struct cut *cut, const struct http_msg *reply)
{
	const struct answer *a = cut->answer;
	const char *expected = a->ends_with_close ? a->body : a->expected;
	size_t len = a->ends_with_close ? cut->len - strlen(a->head) : strlen(expected);

	g_assert_true(is_whole(cut));
	g_assert_cmpmem(reply->body->data, reply->body->len, expected, len);
}

static void check_cut(const struct cut *cut)
{
	int err;

	fixture.cut = *cut;
	if (cut->answer->before) {
		check_run("GET", 0);
		http_free(fixture.client.call.reply);
	}
	err = run(cut->answer->method);
	/* Both went to one connection. */
	g_assert_cmpint(g_atomic_int_get(&fixture.client.server.requests), ==,
			cut->answer->before ? 2 : 1);
	g_atomic_int_set(&fixture.client.server.requests, 0);
	g_test_message("%s%s, cut after %zu, reset %d: %d", cut->answer->head, cut->answer->body,
		       cut->len, cut->is_reset, err);
	if (!err)
		check_reply(cut, fixture.client.call.reply);
	else
		g_assert_null(fixture.client.call.reply);
	if (is_whole(cut) && !cut->is_reset)
		g_assert_cmpint(err, ==, 0);
	http_free(fixture.client.call.reply);
	upstream_client_close_idle(&fixture.client);
}

static void check_all_cuts(bool is_reset)
{
	setup(serve);
	for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
		struct cut cut = { .answer = &answers[i], .is_reset = is_reset };
		size_t end = strlen(answers[i].head) + strlen(answers[i].body);

		for (cut.len = 0; cut.len <= end; cut.len++)
			check_cut(&cut);
	}
	teardown();
}

/* Guards against: a cut answer is returned as whole, with an empty or short body. */
static void test_every_byte(void)
{
	check_all_cuts(false);
}

/* Guards against: the same when the upstream resets the connection. */
static void test_every_byte_reset(void)
{
	check_all_cuts(true);
}

/* Answers before it has read the request's body, then resets the connection. */
static void serve_early_then_reset(struct raw_server *s, int fd, u32 nth)
{
	char head[16];

	(void)s;
	(void)nth;
	g_assert_cmpint(recv(fd, head, sizeof(head), 0), >, 0);
	raw_write(fd, "HTTP/1.1 200 OK\r\n\r\nhel");
	g_usleep(PAUSE_US);
	raw_reset_on_close(fd);
}

/* Guards against: a body that a reset has cut passes as whole while the request is being sent. */
static void test_reset_while_sending(void)
{
	setup(serve_early_then_reset);
	g_byte_array_set_size(fixture.request->body, LONG_BODY_BYTES);
	memset(fixture.request->body->data, 'x', LONG_BODY_BYTES);
	check_run("POST", ERR_TRUNCATED);
	g_assert_null(fixture.client.call.reply);
	teardown();
}

/* On the first connection, answers before it has read the body, and reads on. */
static void serve_early(struct raw_server *s, int fd, u32 nth)
{
	char buf[65536];

	if (nth == 2) {
		if (raw_read_request(s, fd))
			raw_write(fd, WHOLE);
		return;
	}
	g_assert_cmpint(recv(fd, buf, 16, 0), >, 0);
	raw_write(fd, WHOLE);
	g_usleep(PAUSE_US);
	while (recv(fd, buf, sizeof(buf), 0) > 0)
		;
}

/* Guards against: a request is written where the upstream still expects the last one's body. */
static void test_answer_before_whole_request(void)
{
	setup(serve_early);
	g_byte_array_set_size(fixture.request->body, LONG_BODY_BYTES);
	memset(fixture.request->body->data, 'x', LONG_BODY_BYTES);
	check_run("POST", 0);
	http_free(fixture.client.call.reply);
	g_byte_array_set_size(fixture.request->body, 0);
	check_run("POST", 0);
	g_assert_cmpmem(fixture.client.call.reply->body->data, fixture.client.call.reply->body->len,
			"own", 3);
	http_free(fixture.client.call.reply);
	g_assert_cmpint(g_atomic_int_get(&fixture.client.server.requests), ==, 1);
	teardown();
}

/* Heads whose length or encoding can't be understood, for instance because they are spoilt. */
static const struct answer unclear[] = {
	{ "GET", NULL, "HTTP/1.1 200 OK\r\nContent-Length:\r\nX-Bird: owl\r\n\r\n", "hello", NULL,
	  false },
	{ "GET", NULL, "HTTP/1.1 200 OK\r\nContent-Length: \r\n\r\n", "hello", NULL, false },
	{ "GET", NULL, "HTTP/1.1 200 OK\r\nContent-Length: 5x\r\n\r\n", "hello", NULL, false },
	{ "GET", NULL, "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n", "hello", NULL, false },
	{ "GET", NULL, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunke\r\n\r\n",
	  "5\r\nhello\r\n0\r\n\r\n", NULL, false },
	{ "GET", NULL, "HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n\r\n", "5\r\nhello\r\n0\r\n\r\n",
	  NULL, false },
	{ "GET", NULL, "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
	  "5\r\nhello\r\n0\r\n\r\n", NULL, false },
	{ "GET", NULL, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, gzip\r\n\r\n",
	  "5\r\nhello\r\n0\r\n\r\n", NULL, false },
};

/* Guards against: an answer with an unreadable length is read to the close, as if it had none. */
static void test_unclear_length(void)
{
	setup(serve);
	for (size_t i = 0; i < G_N_ELEMENTS(unclear); i++) {
		const struct answer *a = &unclear[i];
		int err;

		fixture.cut = (struct cut){ .answer = a, .len = strlen(a->head) + strlen(a->body) };
		g_test_message("%s", a->head);
		err = run(a->method);
		g_assert_cmpint(err, <, 0);
		g_assert_null(fixture.client.call.reply);
	}
	teardown();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cut-answer/every-byte", test_every_byte);
	g_test_add_func("/cut-answer/every-byte-reset", test_every_byte_reset);
	g_test_add_func("/cut-answer/reset-while-sending", test_reset_while_sending);
	g_test_add_func("/cut-answer/answer-before-whole-request",
			test_answer_before_whole_request);
	g_test_add_func("/cut-answer/unclear-length", test_unclear_length);
	return g_test_run();
}
