/*
 * An upstream that stops within its answer, or spoils it, as its callers see that: through an entry
 * node beside the upstream, and through one that reaches it over a link. A caller gets the whole
 * answer or a failure of our own, and the answers of a connection in the order of its requests.
 */
#include "platform/dialect.h"
#include "node/home_impl.h"
#include "node/upstream_impl.h"
#include "test/fakes/fake_node.h"
#include "test/fakes/raw_server.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TIMEOUT_MS 20000
#define SHORT_TIMEOUT_MS 100
/* Longer than a test takes on a busy machine. */
#define TTL_MS 600000
/* Within the limit on the head of an upstream's answer. */
#define LONG_HEADER_BYTES 60000
/* Longer than the nodes take to pass on what was written. */
#define PAUSE_US (20 * US_PER_MS)

enum ending { END_CLOSE, END_RESET, END_HALF_CLOSE, END_SILENCE, ENDINGS };

/* What the upstream does with the requests to one path; those to other paths are answered. */
struct script {
	const char *text;
	size_t len; /* bytes of TEXT that are sent */
	enum ending ending;
};

struct answer {
	int status;
	GString *head;
	GString *body;
	bool is_cut; /* the connection ended within it */
};

static struct fake_node home;
static struct fake_node entry; /* reaches the upstream over a link */
static const struct dialect *entry_dialect; /* NULL for the product's own */
static struct raw_server upstream;
static struct script script;
static gint scripted; /* requests that the script answered */

/* Reads one request and returns its target, or NULL when the connection ended. */
static char *read_target(int fd)
{
	g_autoptr(GString) in = g_string_new(NULL);
	const char *length;
	size_t whole = 0;
	char buf[4096];

	while (!whole || in->len < whole) {
		ssize_t n = recv(fd, buf, sizeof(buf), 0);
		const char *end;

		if (n <= 0)
			return NULL;
		g_string_append_len(in, buf, n);
		end = strstr(in->str, "\r\n\r\n");
		length = strstr(in->str, "\r\nContent-Length: ");
		if (end)
			whole = (size_t)(end + 4 - in->str) +
				(length ? strtoul(length + 18, NULL, 10) : 0);
	}
	g_strdelimit(in->str, "\r", '\0');
	return g_strdup(strchr(in->str, ' ') + 1);
}

static void end_connection(int fd)
{
	if (script.ending == END_RESET)
		raw_reset_on_close(fd);
	if (script.ending == END_HALF_CLOSE)
		shutdown(fd, SHUT_WR);
	if (script.ending == END_HALF_CLOSE || script.ending == END_SILENCE)
		raw_wait_closed(fd);
}

static gpointer serve_conn(gpointer arg)
{
	int fd = GPOINTER_TO_INT(arg);
	char *target;

	while ((target = read_target(fd))) {
		bool is_scripted = g_str_has_prefix(target, "/cut");
		g_autofree char *text = NULL;

		*strchrnul(target, ' ') = 0;
		text = is_scripted ? g_strndup(script.text, script.len) :
				     g_strdup_printf("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n"
						     "\r\n%s",
						     strlen(target), target);
		/* Counted first, as the caller may have its answer before this goes on. */
		if (is_scripted)
			g_atomic_int_inc(&scripted);
		raw_write(fd, text);
		g_free(target);
		if (!is_scripted)
			continue;
		end_connection(fd);
		break;
	}
	close(fd);
	return NULL;
}

/* The server closes FD when this returns, so its copy goes to a thread of the connection's own. */
static void serve(struct raw_server *s, int fd, u32 nth)
{
	(void)s;
	(void)nth;
	g_thread_unref(g_thread_new("upstream", serve_conn, GINT_TO_POINTER(dup(fd))));
}

static void start(void)
{
	raw_server_start(&upstream, serve, NULL);
	fake_node_prepare(&home);
	/* The upstream announces itself once. */
	home.settings.node.upstream_ttl_ms = TTL_MS;
	fake_node_run(&home);
	fake_node_announce_upstream(&home, upstream.port, 64);
	fake_node_set_directory_entry(&home, home.node->self.name, home.node->self.incarnation,
				      DIR_UP);
	fake_node_prepare(&entry);
	entry.settings.node.service = g_strdup("marsh");
	entry.dialect = entry_dialect;
	fake_node_run(&entry);
	fake_node_set_directory_entry(&entry, home.node->self.name, home.node->self.incarnation,
				      DIR_UP);
}

static u16 port_of(const struct fake_node *n)
{
	return n->settings.node.caller_port;
}

static char *request_text(const char *method, const char *target, u32 timeout_ms)
{
	bool has_body = !strcmp(method, "POST");

	return g_strdup_printf("%s %s HTTP/1.1\r\nHost: sightings.example\r\n"
			       "Lavenderlead-Timeout-Ms: %u\r\n%s\r\n%s",
			       method, target, timeout_ms, has_body ? "Content-Length: 3\r\n" : "",
			       has_body ? "owl" : "");
}

static int send_request(const struct fake_node *n, const char *method, const char *target,
			u32 timeout_ms)
{
	g_autofree char *text = request_text(method, target, timeout_ms);
	int fd = raw_connect(port_of(n));

	raw_write(fd, text);
	return fd;
}

/* Reads until the text contains END or the connection ends; returns false when it ended first. */
static bool read_past(int fd, GString *out, const char *end)
{
	char c;

	while (!end || !g_str_has_suffix(out->str, end)) {
		if (recv(fd, &c, 1, 0) != 1)
			return false;
		g_string_append_c(out, c);
	}
	return true;
}

static bool read_bytes(int fd, GString *out, size_t len)
{
	char buf[65536];

	while (out->len < len) {
		ssize_t n = recv(fd, buf, MIN(sizeof(buf), len - out->len), 0);

		if (n <= 0)
			return false;
		g_string_append_len(out, buf, n);
	}
	return true;
}

/* Answers of the node state their length if and only if they may have a body. */
static struct answer read_answer(int fd, bool has_body)
{
	struct answer a = { .head = g_string_new(NULL), .body = g_string_new(NULL) };
	const char *length;

	a.is_cut = !read_past(fd, a.head, "\r\n\r\n");
	if (a.is_cut)
		return a;
	g_test_message("%s", a.head->str);
	a.status = atoi(a.head->str + strlen("HTTP/1.1 "));
	length = strstr(a.head->str, "\r\nContent-Length: ");
	if (!has_body) {
		g_assert_null(length);
		return a;
	}
	g_assert_nonnull(length);
	g_assert_null(strstr(length + 1, "\r\nContent-Length"));
	g_assert_null(strcasestr(a.head->str, "\r\nTransfer-Encoding"));
	a.is_cut = !read_bytes(fd, a.body, strtoul(length + 18, NULL, 10));
	return a;
}

static void answer_clear(struct answer *a)
{
	g_string_free(a->head, TRUE);
	g_string_free(a->body, TRUE);
}

/* The next answer on FD must be the whole answer of the upstream to the path. */
static void expect_path(int fd, const char *path)
{
	struct answer a = read_answer(fd, true);

	g_assert_false(a.is_cut);
	g_assert_cmpint(a.status, ==, 200);
	g_assert_cmpstr(a.body->str, ==, path);
	answer_clear(&a);
}

static void expect_failure(int fd)
{
	struct answer a = read_answer(fd, true);

	g_assert_false(a.is_cut);
	g_assert_true(a.status == 502 || a.status == 504);
	g_assert_nonnull(strstr(a.body->str, "\"error\""));
	answer_clear(&a);
}

/* A POST, as a GET would be tried again. The kept connection must serve another call. */
static void check_failed(const struct fake_node *n, const char *text, size_t len,
			 enum ending ending)
{
	bool is_silent = ending == END_SILENCE;
	gint before = g_atomic_int_get(&scripted);
	g_autofree char *next = request_text("GET", "/next", TIMEOUT_MS);
	int fd;

	script = (struct script){ .text = text, .len = len, .ending = ending };
	g_test_message("%s, %zu bytes, ending %d, at %s", text, len, ending,
		       n == &home ? "home" : "entry");
	fd = send_request(n, "POST", "/cut", is_silent ? SHORT_TIMEOUT_MS : TIMEOUT_MS);
	expect_failure(fd);
	raw_write(fd, next);
	expect_path(fd, "/next");
	close(fd);
	/* Silence may end the call before it has reached the upstream. */
	if (!is_silent)
		g_assert_cmpint(g_atomic_int_get(&scripted), ==, before + 1);
}

static void check_failed_everywhere(const char *text, enum ending ending)
{
	check_failed(&home, text, strlen(text), ending);
	check_failed(&entry, text, strlen(text), ending);
}

#define LONG_HEAD "HTTP/1.1 200 OK\r\nX-Bird: hoopoe\r\nContent-Length: 12\r\nX-Owl: a\r\n\r\n"

static void check_cuts(enum ending ending, size_t step)
{
	for (size_t len = 0; len < strlen(LONG_HEAD "hello hoopo"); len += step) {
		check_failed(&home, LONG_HEAD "hello hoopoe", len, ending);
		check_failed(&entry, LONG_HEAD "hello hoopoe", len, ending);
	}
}

/* Guards against: callers get a 200 when an upstream stops within its head or body and closes. */
static void test_cut_close(void)
{
	start();
	check_cuts(END_CLOSE, 1);
}

/* Guards against: the same when it resets the connection. */
static void test_cut_reset(void)
{
	start();
	check_cuts(END_RESET, 1);
}

/* Guards against: the same when it ends only its sending direction. */
static void test_cut_half_close(void)
{
	start();
	check_cuts(END_HALF_CLOSE, 1);
}

/* Guards against: the same when it stays silent until the caller's deadline. */
static void test_cut_silence(void)
{
	start();
	check_cuts(END_SILENCE, 9);
}

static const char *const spoilt[] = {
	"HTTP/1.1 20\r\nContent-Length: 5\r\n\r\nhello",
	"HTTP/1.1 200 OK\rContent-Length: 12\r\n\r\nhello",
	"HTTP/1.1 200 OK\r\n Content-Length: 12\r\n\r\nhello",
	"HTTP/1.1 200 OK\r\nX-Bird: owl\r\n Content-Length: 12\r\n\r\nhello",
	"HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nhello",
	"HTTP/1.1 200 OK\r\nContent-Le\r\n\r\nhello",
	"HTTP/1.1 200 OK\r\nContent-Length: 1",
	"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n2\r\n\r\nhello",
	"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r",
	"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 12\r\n\r\nhello",
	"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nhello",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunke\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding : gzip\r\n\r\nhello",
	"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nhello",
	"HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551615\r\n\r\nhello",
	"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\nhello",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=1\r\nhello\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-T: o",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-T: owl\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello!!0\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n",
	"HTTP/1.1 103 Early\r\nLink: </a>\r\n",
};

/* Guards against: callers get a 200 for an answer that can't be understood. */
static void test_spoilt(void)
{
	g_autofree char *filler = g_strnfill(100000, 'x');
	g_autofree char *long_head =
		g_strconcat("HTTP/1.1 200 OK\r\nX-Bird: ", filler, "\r\n\r\nhello", NULL);

	start();
	for (size_t i = 0; i < G_N_ELEMENTS(spoilt); i++) {
		check_failed_everywhere(spoilt[i], END_CLOSE);
		check_failed_everywhere(spoilt[i], END_HALF_CLOSE);
	}
	check_failed_everywhere(long_head, END_CLOSE);
	check_failed_everywhere("HTTP/1.1 200 OK\r\n\r\nhello", END_RESET);
	check_failed_everywhere("HTTP/1.0 200 OK\r\n\r\nhello", END_RESET);
}

static void count_idle_connections(void *arg)
{
	*(u32 *)arg = home.node->home->upstream->idle.length;
}

/*
 * The upstream closes each connection of a scripted answer; a request that the home sends on one
 * before it has seen the close would fail.
 */
static void wait_until_closes_are_seen(void)
{
	u64 until_us = loop_clock_us() + TIMEOUT_MS * US_PER_MS;
	u32 idle = 1;

	while (idle && loop_clock_us() < until_us) {
		loop_call(home.node->loop, count_idle_connections, &idle);
		if (idle)
			g_usleep(US_PER_MS);
	}
	g_assert_cmpuint(idle, ==, 0);
}

static void check_passed(const struct fake_node *n, const char *method, const char *text,
			 int status, const char *body)
{
	bool has_body = body != NULL;
	struct answer a;
	char byte;
	int fd;

	wait_until_closes_are_seen();
	script = (struct script){ .text = text, .len = strlen(text) };
	g_test_message("%s %s", method, text);
	fd = send_request(n, method, "/cut", TIMEOUT_MS);
	a = read_answer(fd, has_body);
	g_assert_false(a.is_cut);
	g_assert_cmpint(a.status, ==, status);
	if (has_body)
		g_assert_cmpstr(a.body->str, ==, body);
	answer_clear(&a);
	/* Nothing may follow the answer. */
	g_assert_cmpint(recv(fd, &byte, sizeof(byte), MSG_DONTWAIT), ==, -1);
	close(fd);
}

static void check_all_passed(const struct fake_node *n)
{
	check_passed(n, "POST", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 200, "");
	check_passed(n, "POST", "HTTP/1.1 200 OK\r\n\r\nhello", 200, "hello");
	check_passed(n, "POST", "HTTP/1.1 200 OK\r\n\r\n", 200, "");
	check_passed(n, "POST", "HTTP/1.0 200 OK\r\n\r\nhello", 200, "hello");
	check_passed(n, "POST",
		     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		     "5;x=1\r\nhello\r\n0\r\nX-T: owl\r\n\r\n",
		     200, "hello");
	check_passed(n, "POST", "HTTP/1.1 204 No Content\r\n\r\n", 204, NULL);
	check_passed(n, "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 999999\r\n\r\n", 304,
		     NULL);
	check_passed(n, "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 999999\r\n\r\n", 200, NULL);
	check_passed(n, "POST",
		     "HTTP/1.1 103 Early\r\nContent-Length: 7\r\n\r\n"
		     "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		     200, "hello");
}

/* Guards against: an answer that an upstream means to be empty, or has no length, is refused. */
static void test_meant(void)
{
	start();
	check_all_passed(&home);
	check_all_passed(&entry);
}

/* Guards against: an answer with a long header breaks the link between the nodes, with its calls.
 */
static void test_long_header(void)
{
	g_autofree char *filler = g_strnfill(LONG_HEADER_BYTES, 'x');
	g_autofree char *text = g_strconcat("HTTP/1.1 200 OK\r\nX-Bird: ", filler,
					    "\r\nContent-Length: 5\r\n\r\nhello", NULL);
	u64 down;

	start();
	check_all_passed(&entry);
	down = ctr_get(CTR_LINK_DOWN);
	check_passed(&home, "POST", text, 200, "hello");
	check_passed(&entry, "POST", text, 200, "hello");
	g_assert_cmpuint(ctr_get(CTR_LINK_DOWN), ==, down);
}

/*
 * Guards against: a request with as many headers as are taken breaks the link between the nodes, as
 * the node adds some.
 */
static void test_many_headers(void)
{
	g_autoptr(GString) text = g_string_new(NULL);
	u64 down;
	int fd;

	entry_dialect = &platform_dialect;
	start();
	entry_dialect = NULL;
	g_string_append(text, "POST /many HTTP/1.1\r\nHost: sightings.example\r\n"
			      "Content-Length: 3\r\n");
	while (text->len + strlen("B:\r\n\r\n") <= HTTP_TEXT_MAX_BYTES)
		g_string_append(text, "B:\r\n");
	g_string_append(text, "\r\nowl");
	check_passed(&entry, "POST", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", 200,
		     "hello");
	down = ctr_get(CTR_LINK_DOWN);
	fd = raw_connect(port_of(&entry));
	raw_write(fd, text->str);
	expect_path(fd, "/many");
	close(fd);
	g_assert_cmpuint(ctr_get(CTR_LINK_DOWN), ==, down);
}

static void check_order(const struct fake_node *n, const char *text, enum ending ending)
{
	g_autofree char *cut = request_text("POST", "/cut", TIMEOUT_MS);
	g_autofree char *second = request_text("GET", "/second", TIMEOUT_MS);
	g_autofree char *third = request_text("POST", "/third", TIMEOUT_MS);
	g_autofree char *all = g_strconcat(cut, second, third, NULL);
	int fd = raw_connect(port_of(n));

	script = (struct script){ .text = text, .len = strlen(text), .ending = ending };
	raw_write(fd, all);
	expect_failure(fd);
	expect_path(fd, "/second");
	expect_path(fd, "/third");
	close(fd);
}

/* Guards against: a broken answer shifts or joins the answers to the requests sent behind it. */
static void test_order(void)
{
	start();
	for (enum ending e = END_CLOSE; e <= END_HALF_CLOSE; e++) {
		check_order(&home, LONG_HEAD "hello", e);
		check_order(&entry, LONG_HEAD "hello", e);
		check_order(&home, "HTTP/1.1 200 OK\r\nX-Bird: hoo", e);
		check_order(&entry, "HTTP/1.1 200 OK\r\nX-Bird: hoo", e);
	}
}

/* Guards against: a caller that is still sending its body gets the answer to nothing. */
static void test_while_sending(void)
{
	gint before = g_atomic_int_get(&scripted);
	int fd;

	start();
	script = (struct script){ .text = "HTTP/1.1 200 OK\r\nX-B", .len = 20 };
	fd = raw_connect(port_of(&entry));
	raw_write(fd, "POST /cut HTTP/1.1\r\nHost: sightings.example\r\n"
		      "Content-Length: 6\r\n\r\nowl");
	g_usleep(PAUSE_US);
	g_assert_cmpint(g_atomic_int_get(&scripted), ==, before);
	raw_write(fd, "owl");
	expect_failure(fd);
	close(fd);
}

/* Guards against: a caller that reads late gets a broken answer in the middle of another one. */
static void test_slow_reader(void)
{
	g_autofree char *cut = request_text("POST", "/cut", TIMEOUT_MS);
	g_autofree char *next = request_text("POST", "/next", TIMEOUT_MS);
	g_autofree char *all = g_strconcat(next, cut, next, NULL);
	int bytes = 2048;
	int fd;

	start();
	script = (struct script){ .text = LONG_HEAD "hel", .len = strlen(LONG_HEAD "hel") };
	fd = raw_connect(port_of(&entry));
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	for (u32 i = 0; i < 50; i++)
		raw_write(fd, all);
	g_usleep(PAUSE_US);
	for (u32 i = 0; i < 50; i++) {
		expect_path(fd, "/next");
		expect_failure(fd);
		expect_path(fd, "/next");
	}
	close(fd);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/spoilt-answer/cut-close", test_cut_close);
	g_test_add_func("/spoilt-answer/cut-reset", test_cut_reset);
	g_test_add_func("/spoilt-answer/cut-half-close", test_cut_half_close);
	g_test_add_func("/spoilt-answer/cut-silence", test_cut_silence);
	g_test_add_func("/spoilt-answer/spoilt", test_spoilt);
	g_test_add_func("/spoilt-answer/meant", test_meant);
	g_test_add_func("/spoilt-answer/long-header", test_long_header);
	g_test_add_func("/spoilt-answer/many-headers", test_many_headers);
	g_test_add_func("/spoilt-answer/order", test_order);
	g_test_add_func("/spoilt-answer/while-sending", test_while_sending);
	g_test_add_func("/spoilt-answer/slow-reader", test_slow_reader);
	return g_test_run();
}
