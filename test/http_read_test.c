/*
 * Heads and chunks that are spoilt. What can't be understood must not be taken as absent: a length
 * that is lost that way makes a part of an answer look whole.
 */
#include "lib/err.h"
#include "lib/http_read.h"

#include <glib.h>
#include <string.h>

#define HEAD_MAX_BYTES 65536
#define BODY_MAX_BYTES 100

struct result {
	int err;
	u32 messages;
	GString *texts; /* status, headers and body of each message */
};

static int on_message(struct http_read *r, struct http_msg *m)
{
	struct result *result = r->arg;

	result->messages++;
	g_string_append_printf(result->texts, "%u %s %s\n", m->status, m->method ? m->method : "",
			       m->target ? m->target : "");
	for (guint i = 0; i < m->headers->len; i++) {
		const struct http_header *h = g_ptr_array_index(m->headers, i);

		g_string_append_printf(result->texts, "%s: %s\n", h->name, h->value);
	}
	g_string_append_len(result->texts, (const char *)m->body->data, m->body->len);
	http_free(m);
	return 0;
}

static const struct http_read_ops ops = { .message = on_message };

/* Feeds the text in parts of STEP bytes until the first response or an error, then the end. */
static struct result read_text(bool is_response, const char *text, size_t len, size_t step)
{
	struct result result = { .texts = g_string_new(NULL) };
	struct http_read r;

	http_read_init(&r, is_response, &ops, &result);
	r.max_head_bytes = HEAD_MAX_BYTES;
	r.max_body_bytes = BODY_MAX_BYTES;
	while (len && !result.err && !(is_response && result.messages)) {
		size_t n = MIN(step, len);
		size_t unparsed = 0;

		result.err = http_read_feed(&r, text, n, &unparsed);
		text += n;
		len -= n;
	}
	if (!result.err && !result.messages)
		result.err = http_read_feed(&r, NULL, 0, NULL);
	http_read_clear(&r);
	return result;
}

static void check_refused_len(bool is_response, const char *text, size_t len)
{
	for (size_t step = 1; step <= len; step += step < 8 ? 1 : len) {
		struct result result = read_text(is_response, text, len, step);

		g_test_message("%s, in parts of %zu bytes", text, step);
		g_assert_cmpint(result.err, <, 0);
		g_assert_cmpuint(result.messages, ==, 0);
		g_string_free(result.texts, TRUE);
	}
}

static void check_refused(bool is_response, const char *text)
{
	check_refused_len(is_response, text, strlen(text));
}

/* The text must be read alike in parts of any size. */
static void check_taken(bool is_response, const char *text, const char *expected)
{
	size_t len = strlen(text);

	for (size_t step = 1; step <= len; step++) {
		struct result result = read_text(is_response, text, len, step);

		g_test_message("%s, in parts of %zu bytes", text, step);
		g_assert_cmpint(result.err, ==, 0);
		g_assert_cmpstr(result.texts->str, ==, expected);
		g_string_free(result.texts, TRUE);
	}
}

/* Guards against: an answer that comes in small parts is read otherwise than at once. */
static void test_any_parts(void)
{
	check_taken(true, "HTTP/1.1 200 OK\r\nX-Bird: hoopoe\r\nContent-Length: 5\r\n\r\nhello",
		    "200  \nX-Bird: hoopoe\nContent-Length: 5\nhello");
	check_taken(true, "HTTP/1.1 200\r\nX-Bird:\r\nX-Owl: \t \r\nContent-Length: 0\r\n\r\n",
		    "200  \nX-Bird: \nX-Owl: \nContent-Length: 0\n");
	check_taken(true,
		    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		    "5\r\nhello\r\n6;x=1\r\n hoops\r\n0\r\nX-Trailer: owl\r\n\r\n",
		    "200  \nTransfer-Encoding: chunked\nhello hoops");
	check_taken(true,
		    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: </a>\r\n\r\n"
		    "HTTP/1.1 200 OK\r\nX-Bird: a: b\r\n\r\nhello",
		    "200  \nX-Bird: a: b\nhello");
	check_taken(true, "HTTP/1.1 200 OK\nContent-Length: 5\n\nhello",
		    "200  \nContent-Length: 5\nhello");
	check_taken(true, "HTTP/1.1 204 No Content\r\n\r\n", "204  \n");
	check_taken(false,
		    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"
		    "\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n"
		    "POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"
		    "GET /d HTTP/1.1\r\nX-Bird: a b\r\n\r\n",
		    "0 POST /a\nHost: h\nContent-Length: 5\nhello0 GET /b\nHost: h\n"
		    "0 POST /c\nTransfer-Encoding: chunked\nhi0 GET /d\nX-Bird: a b\n");
}

/* Guards against: a length behind a line end that is spoilt is lost, and the body read to the
 * close. */
static void test_spoilt_line_end(void)
{
	check_refused(true, "HTTP/1.1 200 OK\rContent-Length: 50\r\n\r\nhello");
	check_refused(true, "HTTP/1.1 200 OK\r\rContent-Length: 50\r\n\r\nhello");
	check_refused(true, "HTTP/1.1 200 OK\r\nX-Bird: owl\rContent-Length: 50\r\n\r\nhello");
	check_refused(true, "HTTP/1.1 200 OK\r\n\rContent-Length: 50\r\n\r\nhello");
	check_refused(true, "HTTP/1.1 200 OK\r\nX-Bird: owl\r\n\rhello");
	check_refused(false, "GET / HTTP/1.1\rHost: h\r\n\r\n");
	check_refused(false, "GET / HTTP/1.1\r\nHost: h\r\n\rX");
}

/* Guards against: a length in a line that is spoilt is lost, and the body read to the close. */
static void test_spoilt_field(void)
{
	static const char nul[] = "HTTP/1.1 200 O\0\r\nContent-Length: 5\r\n\r\nhello";

	check_refused(true, "HTTP/1.1 200 OK\r\n Content-Length: 50\r\n\r\nhello");
	check_refused(true, "HTTP/1.1 200 OK\r\n\tContent-Length: 50\r\n\r\nhello");
	check_refused(true, "HTTP/1.1 200 OK\r\nX-Bird: owl\r\n Content-Length: 50\r\n\r\nhello");
	check_refused(true, "HTTP/1.1 200 OK\r\nX-Bird: owl\r\n\tContent-Length: 50\r\n\r\nhello");
	check_refused(true, "HTTP/1.1 200 OK\r\nContent-Length:\r\n 5\r\n\r\nhello");
	check_refused(true, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n 2\r\n\r\nhello hello!");
	check_refused(true, "HTTP/1.1 200 OK\r\nContent Length: 50\r\n\r\nhello");
	check_refused(true, "HTTP/1.1 200 OK\r\nContent-Length 50\r\n\r\nhello");
	check_refused(true, "HTTP/1.1 200 OK\r\nContent-Len\r\n\r\nhello");
	check_refused(true, "HTTP/1.1 200 OK\r\n: 50\r\n\r\nhello");
	check_refused(true, "HTTP/1.1 200 OK\r\nTransfer-Encoding : gzip\r\n\r\nhello");
	check_refused_len(true, nul, sizeof(nul) - 1);
}

/* Guards against: a length with a space before its colon is passed on beside our own length. */
static void test_space_before_colon(void)
{
	check_refused(true, "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nhello");
	check_refused(true, "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n"
			    "5\r\nhello\r\n0\r\n\r\n");
	check_refused(false, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 5\r\n\r\nhello");
	check_refused(false, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n"
			     "5\r\nhello\r\n0\r\n\r\n");
	check_refused(false, "POST / HTTP/1.1\r\nHost: h\r\nTransfer Encoding: chunked\r\n\r\n"
			     "5\r\nhello\r\n0\r\n\r\n");
}

/* Guards against: an answer whose status lost a digit is skipped as an interim one. */
static void test_status_below_100(void)
{
	check_refused(true, "HTTP/1.1 20 OK\r\nContent-Length: 5\r\n\r\nhello");
	check_refused(true, "HTTP/1.1 2\r\n\r\nhello");
	check_refused(true, "HTTP/1.1 20 OK\r\nContent-Length: 5\r\n\r\nhello"
			    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhoops");
	check_refused(true, "HTTP/1.1 20 OK\r\n\r\n"
			    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
	check_refused(true, "HTTP/1.1 101 Switching Protocols\r\n\r\nhello");
	check_refused(true, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n"
			    "Connection: upgrade\r\n\r\nhello");
	check_refused(true, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n"
			    "Connection: upgrade\r\n\r\n"
			    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
}

/* Guards against: the start of the final answer is read as the body of an interim one. */
static void test_interim_with_length(void)
{
	check_taken(true,
		    "HTTP/1.1 103 Early\r\nContent-Length: 53\r\n\r\n"
		    "HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 57\r\n\r\n------"
		    "HTTP/1.1 200 OK\r\nX-A: 2\r\nContent-Length: 5\r\n\r\nhello",
		    "200  \nX-A: 1\nContent-Length: 57\n------"
		    "HTTP/1.1 200 OK\r\nX-A: 2\r\nContent-Length: 5\r\n\r\nhello");
	check_taken(true,
		    "HTTP/1.1 103 Early\r\nTransfer-Encoding: chunked\r\n\r\n"
		    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		    "200  \nContent-Length: 5\nhello");
}

/* Guards against: an answer without a body fails for the length of the body that it leaves out. */
static void test_long_length_without_body(void)
{
	check_taken(true, "HTTP/1.1 304 Not Modified\r\nContent-Length: 5000\r\n\r\n",
		    "304  \nContent-Length: 5000\n");
	check_taken(true, "HTTP/1.1 204 No Content\r\nContent-Length: 5000\r\n\r\n",
		    "204  \nContent-Length: 5000\n");
}

/* Guards against: bytes of a body are taken as the line end behind a chunk, and so left out. */
static void test_chunk_without_line_end(void)
{
	check_refused(true, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
			    "5\r\nhello!!0\r\n\r\n");
	check_refused(true, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
			    "5\r\nhello\r!0\r\n\r\n");
	check_refused(true, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
			    "2\r\nhi\r\n5\r\nhello!\n0\r\n\r\n");
	check_refused(false, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
			     "5\r\nhello!!0\r\n\r\n");
}

/* Guards against: a chunk whose length can't be read is taken in part. */
static void test_spoilt_chunk_length(void)
{
	static const char *const lengths[] = { "",   "x",  "-5",
					       "+5", "5x", "0x5",
					       " 5", "5 ", "FFFFFFFFFFFFFFFFF" };

	for (size_t i = 0; i < G_N_ELEMENTS(lengths); i++) {
		g_autofree char *text =
			g_strdup_printf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
					"%s\r\nhello\r\n0\r\n",
					lengths[i]);

		check_refused(true, text);
	}
}

static void check_heads_refused(const char *const *heads, size_t n, const char *body)
{
	for (size_t i = 0; i < n; i++) {
		g_autofree char *response =
			g_strdup_printf("HTTP/1.1 200 OK\r\n%s\r\n\r\n%s", heads[i], body);
		g_autofree char *request =
			g_strdup_printf("POST / HTTP/1.1\r\n%s\r\n\r\n%s", heads[i], body);

		check_refused(true, response);
		check_refused(false, request);
	}
}

/* Guards against: two or unreadable lengths, of which another reader might choose the other one. */
static void test_two_lengths(void)
{
	static const char *const heads[] = {
		"Content-Length: 5\r\nContent-Length: 5",
		"Content-Length: 5\r\nContent-Length: 4",
		"Content-Length: 5\r\nX-Bird: owl\r\ncontent-length: 4",
		"Content-Length: 5, 5",
		"Content-Length: 5 5",
		"Content-Length: +5",
		"Content-Length: -5",
		"Content-Length: 0x5",
		"Content-Length: 5.0",
		"Content-Length: 18446744073709551615",
		"Content-Length: 18446744073709551621",
		"Content-Length: 101",
	};

	check_heads_refused(heads, G_N_ELEMENTS(heads), "hello");
}

/* Guards against: an encoding that is stated twice, or with more, is read as chunked or as none. */
static void test_unclear_encoding(void)
{
	static const char *const heads[] = {
		"Content-Length: 5\r\nTransfer-Encoding: chunked",
		"Transfer-Encoding: chunked\r\nContent-Length: 5",
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
		"Transfer-Encoding: identity\r\nTransfer-Encoding: chunked",
		"Transfer-Encoding: chunked, chunked",
		"Transfer-Encoding: chunked;q=1",
		"Transfer-Encoding: chunkedx",
		"Transfer-Encoding: chunke",
		"Transfer-Encoding: x chunked",
		"Transfer-Encoding:",
	};

	check_heads_refused(heads, G_N_ELEMENTS(heads), "5\r\nhello\r\n0\r\n\r\n");
}

/* Guards against: an upstream keeps a call waiting with interim answers without end. */
static void test_many_interim(void)
{
	g_autoptr(GString) text = g_string_new(NULL);

	for (u32 i = 0; i < 17; i++)
		g_string_append(text, "HTTP/1.1 103 Early\r\n\r\n");
	g_string_append(text, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
	check_refused(true, text->str);
	g_string_erase(text, 0, strlen("HTTP/1.1 103 Early\r\n\r\n"));
	check_taken(true, text->str, "200  \nContent-Length: 5\nhello");
}

/* Guards against: a body without a stated length grows beyond the limit. */
static void test_long_body(void)
{
	g_autofree char *body = g_strnfill(BODY_MAX_BYTES + 1, 'x');
	g_autofree char *to_close = g_strconcat("HTTP/1.1 200 OK\r\n\r\n", body, NULL);
	g_autofree char *chunked =
		g_strdup_printf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
				BODY_MAX_BYTES + 1, body);
	g_autofree char *response = g_strconcat("HTTP/1.1 200 OK\r\n", chunked, NULL);
	g_autofree char *request = g_strconcat("POST / HTTP/1.1\r\n", chunked, NULL);

	check_refused(true, to_close);
	check_refused(true, response);
	check_refused(false, request);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/http-read/any-parts", test_any_parts);
	g_test_add_func("/http-read/spoilt-line-end", test_spoilt_line_end);
	g_test_add_func("/http-read/spoilt-field", test_spoilt_field);
	g_test_add_func("/http-read/space-before-colon", test_space_before_colon);
	g_test_add_func("/http-read/status-below-100", test_status_below_100);
	g_test_add_func("/http-read/interim-with-length", test_interim_with_length);
	g_test_add_func("/http-read/long-length-without-body", test_long_length_without_body);
	g_test_add_func("/http-read/chunk-without-line-end", test_chunk_without_line_end);
	g_test_add_func("/http-read/spoilt-chunk-length", test_spoilt_chunk_length);
	g_test_add_func("/http-read/two-lengths", test_two_lengths);
	g_test_add_func("/http-read/unclear-encoding", test_unclear_encoding);
	g_test_add_func("/http-read/long-body", test_long_body);
	g_test_add_func("/http-read/many-interim", test_many_interim);
	return g_test_run();
}
