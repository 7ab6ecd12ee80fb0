/*
 * Answers name the request they answer. Which call an answer ends, and which connection may be used
 * again after it, depends on that name.
 */
#include "platform/dialect.h"
#include "test/fakes/answer_ids.h"

#include <string.h>
#include <unistd.h>

/* Longer than the client mostly takes to read what was written. */
#define PAUSE_US (1 * US_PER_MS)

#define REFUSALS 200
#define WAIT_MS 2000

/* The answer to a request c. */
#define NEXT "HTTP/1.1 200 OK\r\n" ID_HEADER ": c\r\n" EMPTY "\r\n"

struct fixture {
	struct upstream_client client;
	const char *first; /* what answers each request b */
	gint connections;
	gint is_half_written;
};

static struct fixture fixture;

static void setup(raw_server_handler serve_one)
{
	memset(&fixture, 0, sizeof(fixture));
	upstream_client_start(&fixture.client, "answer-id-test", &platform_dialect, serve_one);
}

static void teardown(void)
{
	upstream_client_stop(&fixture.client);
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
		int err = answer_ids_run(&fixture.client, i % 2 ? "POST" : "GET", "b", 0);

		g_assert_cmpint(err, ==, 0);
		g_assert_cmpstr(http_header(fixture.client.call.reply, "X-Origin"), ==,
				"HTTP/1.1 404 Not Found");
		http_free(g_steal_pointer(&fixture.client.call.reply));
	}
	teardown();
}

/* The first answer names its request, the others do not. */
static void *serve_connection(void *arg)
{
	int fd = GPOINTER_TO_INT(arg);

	g_atomic_int_inc(&fixture.connections);
	while (raw_read_request(&fixture.client.server, fd))
		raw_write(fd, g_atomic_int_get(&fixture.client.server.requests) == 1 ?
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
		int err =
			answer_ids_run(&fixture.client, i % 2 ? "POST" : "GET", i ? NULL : "b", 0);

		g_assert_cmpint(err, ==, 0);
		g_assert_cmpuint(fixture.client.call.reply->status, ==, 200);
		http_free(g_steal_pointer(&fixture.client.call.reply));
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
		upstream_start(fixture.client.u, &fixture.client.at, &x->calls[i]);
}

/* Guards against: a refusal that names a call which runs on another connection ends either call. */
static void test_id_of_call_on_other_connection(void)
{
	static const char *const ids[] = { "b", "c" };
	struct crossed x = { .connections = g_async_queue_new() };

	setup(serve_crossed);
	fixture.client.server.arg = &x;
	for (u32 i = 0; i < 2; i++)
		x.calls[i] = answer_ids_call(&fixture.client, answer_ids_request("POST", ids[i], 0),
					     false);
	loop_call(fixture.client.loop, start_crossed, &x);
	for (u32 i = 0; i < 2; i++)
		g_async_queue_pop(fixture.client.done);
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
		int err = answer_ids_run(&fixture.client, "POST", "b", 0);

		g_assert_cmpint(err, ==, 0);
		g_assert_cmpstr(http_header(fixture.client.call.reply, ID_HEADER), ==, "b");
		http_free(g_steal_pointer(&fixture.client.call.reply));
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
		raw_write(fd, g_atomic_int_get(&s->requests) % 2 ? fixture.first : NEXT);
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
		fixture.first = k->text;
		upstream_client_close_idle(&fixture.client);
		err = answer_ids_run(&fixture.client, "POST", "b", 0);
		g_assert_cmpint(err, ==, 0);
		http_free(g_steal_pointer(&fixture.client.call.reply));
		before = g_atomic_int_get(&fixture.connections);
		err = answer_ids_run(&fixture.client, "POST", "c", 0);
		g_assert_cmpint(err, ==, 0);
		http_free(g_steal_pointer(&fixture.client.call.reply));
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
	err = answer_ids_run(&fixture.client, "POST", "b", 0);
	g_assert_cmpint(err, ==, 0);
	http_free(g_steal_pointer(&fixture.client.call.reply));
	while (!g_atomic_int_get(&fixture.is_half_written))
		g_usleep(PAUSE_US);
	g_usleep(20 * PAUSE_US);
	err = answer_ids_run(&fixture.client, "POST", "c", 0);
	g_assert_cmpint(err, ==, 0);
	http_free(g_steal_pointer(&fixture.client.call.reply));
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
		int err = answer_ids_run(&fixture.client, "POST", id, 0);

		g_assert_cmpint(err, ==, 0);
		http_free(g_steal_pointer(&fixture.client.call.reply));
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
		int err = answer_ids_run_call(&fixture.client, answer_ids_request("GET", NULL, 0),
					      true);

		g_assert_cmpint(err, ==, 0);
		g_assert_cmpuint(fixture.client.call.reply->status, ==, i % 2 ? 503 : 200);
		g_assert_true(fixture.client.call.may_be_copy == (i > 0));
		http_free(g_steal_pointer(&fixture.client.call.reply));
	}
	g_assert_cmpint(g_atomic_int_get(&fixture.connections), ==, 1);
	teardown();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
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
