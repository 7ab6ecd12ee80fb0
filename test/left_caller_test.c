/*
 * Callers that leave while the home node beside them works through their calls: what was written to
 * them fails, and that ends their other calls in the middle of the work.
 */
#include "test/fakes/fake_config.h"
#include "test/fakes/fake_node.h"
#include "test/fakes/raw_server.h"

#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define WAIT_MS 20000
#define CALLS 8
/* How long the upstream works on the first call. */
#define SLOW_MS 1500
/* How long the loop stands still before its answer. */
#define HELD_MS 500
/* Less time is left then than the first call took, so that the others can no longer end in time. */
#define TIMEOUT_MS 2000
#define LONG_TIMEOUT_MS 20000

static const char service_json[] =
	"{\"name\":\"sightings\",\"hosts\":[\"sightings.example\"],\"ranks\":["
	"{\"name\":\"lookup\",\"match\":[{\"path\":\"/lookup\"}],"
	"\"idempotent\":true,\"target_ms\":20000,\"worth\":100,\"floor_percent\":10},"
	"{\"name\":\"checklist\",\"match\":[{\"method\":\"POST\",\"path\":\"/\"}],"
	"\"idempotent\":false,\"target_ms\":20000,\"worth\":50,\"floor_percent\":10},"
	"{\"name\":\"page\",\"match\":[{\"path\":\"/\"}],"
	"\"idempotent\":true,\"target_ms\":20000,\"worth\":10,\"floor_percent\":10}]}";

static struct fake_node node;
static struct raw_server upstream;
static GAsyncQueue *permits; /* one for each answer that the upstream may send: its headers */
static gint answered;

/* Answers each request after taking a permit. */
static void serve(struct raw_server *s, int fd, u32 nth)
{
	(void)nth;
	while (raw_read_request(s, fd)) {
		g_autofree char *headers = NULL;
		g_autofree char *answer = NULL;

		while (!(headers = g_async_queue_timeout_pop(permits, US_PER_MS)))
			if (raw_is_closed(fd))
				return;
		answer = g_strdup_printf("HTTP/1.1 200 OK\r\n%sContent-Length: 5\r\n\r\nnoted",
					 headers);
		raw_write(fd, answer);
		g_atomic_int_inc(&answered);
	}
}

static void permit(const char *headers)
{
	gint before = g_atomic_int_get(&answered);

	g_async_queue_push(permits, g_strdup(headers));
	for (u32 i = 0; i < WAIT_MS && g_atomic_int_get(&answered) == before; i++)
		g_usleep(US_PER_MS);
}

static void configure(void *arg)
{
	static const char *const json[] = { service_json };

	(void)arg;
	fake_config_declare(2, json, 1);
}

static void start(void)
{
	permits = g_async_queue_new_full(g_free);
	answered = 0;
	fake_node_start(&node);
	loop_call(node.node->loop, configure, NULL);
	raw_server_start(&upstream, serve, NULL);
	fake_node_announce_upstream(&node, upstream.port, 1);
}

static void stop(void)
{
	fake_node_stop(&node);
	raw_server_stop(&upstream);
	g_async_queue_unref(permits);
}

static void wait_requests(gint n)
{
	for (u32 i = 0; i < WAIT_MS && g_atomic_int_get(&upstream.requests) < n; i++)
		g_usleep(US_PER_MS);
	g_assert_cmpint(g_atomic_int_get(&upstream.requests), ==, n);
}

static void count_jobs(void *arg)
{
	*(u32 *)arg = home_in_progress(node.node);
}

static void wait_jobs(u32 n)
{
	u32 jobs = 0;

	for (u32 i = 0; i < WAIT_MS; i++) {
		loop_call(node.node->loop, count_jobs, &jobs);
		if (jobs == n)
			return;
		g_usleep(US_PER_MS);
	}
	g_assert_cmpuint(jobs, ==, n);
}

static int caller(void)
{
	int fd = raw_connect(node.settings.node.caller_port);

	g_assert_cmpint(fd, >=, 0);
	return fd;
}

static void request(int fd, const char *method, const char *path, u32 timeout_ms)
{
	g_autofree char *text =
		g_strdup_printf("%s %s HTTP/1.1\r\nHost: sightings.example\r\n"
				"Lavenderlead-Timeout-Ms: %u\r\nContent-Length: 0\r\n\r\n",
				method, path, timeout_ms);

	raw_write(fd, text);
}

static void reset(int fd)
{
	raw_reset_on_close(fd);
	close(fd);
}

/* Expects the answer of the upstream, which the node must have waited for. */
static void expect_answer(int fd)
{
	g_autoptr(GString) got = g_string_new(NULL);
	char part[1024];
	ssize_t n = 1;

	while (n > 0 && !g_str_has_suffix(got->str, "noted")) {
		n = recv(fd, part, sizeof(part), 0);
		g_string_append_len(got, part, MAX(n, 0));
	}
	g_assert_true(g_str_has_prefix(got->str, "HTTP/1.1 200"));
	close(fd);
}

static void sleep_in_loop(void *until_us)
{
	while (loop_clock_us() < *(const u64 *)until_us)
		g_usleep(US_PER_MS);
}

/* Until UNTIL_US the loop stands still; then it reads what has arrived, in this order. */
static void hold_loop(u64 *until_us)
{
	loop_post(node.node->loop, sleep_in_loop, until_us);
	g_usleep(HELD_MS * US_PER_MS / 4);
}

/*
 * Guards against: a node ends when a caller has left whose calls are given up together, as the
 * refusal of the first can't be written and cancels the others before they are refused.
 */
static void test_calls_given_up_together(void)
{
	u64 until_us;
	int blocker;
	int left;

	start();
	blocker = caller();
	request(blocker, "GET", "/page", LONG_TIMEOUT_MS);
	wait_requests(1);
	until_us = loop_clock_us() + SLOW_MS * US_PER_MS;
	left = caller();
	for (u32 i = 0; i < CALLS; i++)
		request(left, "GET", "/page", TIMEOUT_MS);
	wait_jobs(1 + CALLS);
	g_usleep((SLOW_MS - HELD_MS) * US_PER_MS);
	hold_loop(&until_us);
	permit("");
	reset(left);
	expect_answer(blocker);
	wait_jobs(0);
	wait_requests(1);
	stop();
}

/*
 * Guards against: a node ends when a caller has left one of whose calls is being answered, as the
 * answer changes the load, which refuses another of its calls.
 */
static void test_call_that_is_being_answered(void)
{
	u64 until_us;
	int blocker;
	int left;

	start();
	blocker = caller();
	request(blocker, "POST", "/", LONG_TIMEOUT_MS);
	wait_requests(1);
	left = caller();
	until_us = loop_clock_us() + TIMEOUT_MS * US_PER_MS;
	request(left, "GET", "/page", TIMEOUT_MS / 2);
	request(left, "GET", "/lookup", LONG_TIMEOUT_MS);
	wait_jobs(3);
	permit("");
	expect_answer(blocker);
	/* The second one is worth more, so it runs; the first one waits, and expires meanwhile. */
	wait_requests(2);
	hold_loop(&until_us);
	permit("Lavenderlead-Rate-Limit: 1000\r\n");
	reset(left);
	wait_jobs(0);
	/* What was left of a call that had ended would show by now. */
	g_usleep(HELD_MS * US_PER_MS);
	/* Idempotent, so that it takes the connection that is open: the upstream serves one at a
	 * time. */
	blocker = caller();
	request(blocker, "GET", "/page", LONG_TIMEOUT_MS);
	permit("");
	expect_answer(blocker);
	stop();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/left-caller/calls-given-up-together", test_calls_given_up_together);
	g_test_add_func("/left-caller/call-that-is-being-answered",
			test_call_that_is_being_answered);
	return g_test_run();
}
