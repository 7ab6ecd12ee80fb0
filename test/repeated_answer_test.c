/*
 * A faulty upstream writes an earlier answer once more, whole or in part, around the answer to the
 * request that it runs. The client must return the request's own answer or an unknown outcome.
 */
#include "lib/err.h"
#include "platform/dialect.h"
#include "test/fakes/answer_ids.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

/* Longer than the client mostly takes to read what was written. */
#define PAUSE_US (1 * US_PER_MS)
/* More than the sockets of client and server buffer. */
#define LONG_BODY_BYTES (16 * 1024 * 1024)

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
	struct upstream_client client;
	struct play play;
	gint connections;
};

static struct fixture fixture;

static void setup(raw_server_handler serve_one)
{
	memset(&fixture, 0, sizeof(fixture));
	upstream_client_start(&fixture.client, "repeated-answer-test", &platform_dialect,
			      serve_one);
}

static void teardown(void)
{
	upstream_client_stop(&fixture.client);
}

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

static void run_first(const char *method)
{
	int err = answer_ids_run(&fixture.client, method, "a", 0);

	g_assert_cmpint(err, ==, 0);
	http_free(g_steal_pointer(&fixture.client.call.reply));
}

/* The request was read, so its outcome is its own answer or not known. */
static void check_outcome(const struct play *p)
{
	struct http_msg *reply = fixture.client.call.reply;

	if (fixture.client.call.err) {
		g_assert_true(fixture.client.call.is_written);
		g_assert_null(reply);
		return;
	}
	g_test_message("before \"%s\" pause at %zu", p->before, p->pause_at);
	g_assert_cmpuint(reply->status, ==, 200);
	g_assert_cmpstr(http_header(reply, ID_HEADER), ==, "b");
	g_assert_cmpstr(http_header(reply, "X-Bird"), ==, "hoopoe");
	g_assert_cmpmem(reply->body->data, reply->body->len, "noted", 5);
	http_free(g_steal_pointer(&fixture.client.call.reply));
}

static void play_once(const struct play *p, const char *method)
{
	gint connections;

	fixture.play = *p;
	upstream_client_close_idle(&fixture.client);
	run_first("GET");
	connections = g_atomic_int_get(&fixture.connections);
	answer_ids_run(&fixture.client, method, "b", p->is_early ? LONG_BODY_BYTES : 0);
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
	g_assert_cmpint(fixture.client.call.err, ==, ERR_CLOSED);
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
	return g_test_run();
}
