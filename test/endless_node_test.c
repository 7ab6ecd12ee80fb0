/*
 * A node beside a faulty upstream that answers each request, also those for its health path, with
 * bytes that don't end. The node's memory stays bounded, and it goes on to answer others.
 */
#include "platform/dialect.h"
#include "test/fakes/fake_config.h"
#include "test/fakes/fake_node.h"
#include "test/fakes/httpc.h"
#include "test/fakes/raw_server.h"

#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#define CALLERS 16
#define CALLS 3
#define SLOTS 8
#define CALL_TIMEOUT_MS 2000
/* What the address sanitizer keeps of freed memory, see its option quarantine_size_mb. */
#ifdef __SANITIZE_ADDRESS__
#define QUARANTINE_BYTES (256 * 1024 * 1024)
#else
#define QUARANTINE_BYTES 0
#endif
/* What the upstream's answers may take, and as much again for what is passed on. */
#define GROWTH_MAX_BYTES (2 * UPSTREAM_BUFFERED_MAX_BYTES + QUARANTINE_BYTES)
/* Longer than a node takes to answer for itself in calm. */
#define STATUS_MAX_US (1 * US_PER_S)
#define POLLS_PER_S 60

static const char set_json[] =
	"{\"version\":1,\"services\":[{\"name\":\"sightings\",\"health_path\":\"/health\"}],"
	"\"routes\":[{\"name\":\"r\",\"host\":\"sightings.example\",\"prefix\":\"/\","
	"\"repeat\":\"always\",\"timeout_ms\":1500,\"target_ms\":500,\"priority\":0,\"attempts\":2,"
	"\"service\":\"sightings\"}]}";

static struct fake_node node;
static struct raw_server upstream;
static const char *first; /* the bytes that an answer begins with */
static const char *piece; /* what follows, again and again */
static gint closed; /* answers that the node has put an end to */

static void *flood(void *arg)
{
	int fd = GPOINTER_TO_INT(arg);
	g_autoptr(GString) pieces = g_string_new(NULL);

	while (pieces->len < 16384)
		g_string_append(pieces, piece);
	raw_write(fd, first);
	while (send(fd, pieces->str, pieces->len, MSG_NOSIGNAL) > 0)
		;
	g_atomic_int_inc(&closed);
	close(fd);
	return NULL;
}

static void serve(struct raw_server *s, int fd, u32 nth)
{
	(void)s;
	(void)nth;
	g_thread_unref(g_thread_new("flood", flood, GINT_TO_POINTER(dup(fd))));
}

static u64 resident_bytes(void)
{
	unsigned long pages = 0;
	FILE *in = fopen("/proc/self/statm", "r");

	g_assert_nonnull(in);
	g_assert_cmpint(fscanf(in, "%*u %lu", &pages), ==, 1);
	fclose(in);
	return (u64)pages * (u64)sysconf(_SC_PAGESIZE);
}

static void *make_calls(void *arg)
{
	for (u32 i = 0; i < CALLS; i++) {
		struct httpc_reply reply = { 0 };
		int err = httpc_call("127.0.0.1", node.settings.node.caller_port, "GET", "/",
				     "Host: sightings.example\r\nLavenderlead-Attempt-Id: a\r\n",
				     NULL, 2 * CALL_TIMEOUT_MS, &reply);

		/* No answer that looks whole. */
		g_assert_true(err || reply.status >= 500 || reply.is_truncated);
		httpc_reply_clear(&reply);
	}
	return arg;
}

static void check_status(void)
{
	u64 began_us = loop_clock_us();
	struct httpc_reply reply;

	g_assert_cmpint(httpc_call("127.0.0.1", node.settings.node.local_port, "GET", "/v1/status",
				   NULL, NULL, 20000, &reply),
			==, 0);
	g_assert_cmpint(reply.status, ==, 200);
	httpc_reply_clear(&reply);
	g_assert_cmpuint(loop_clock_us() - began_us, <, STATUS_MAX_US);
}

static void configure(void *arg)
{
	(void)arg;
	fake_config_put_set(2, set_json);
}

static void check_endless(const char *begin, const char *rest)
{
	GThread *callers[CALLERS];
	u64 before;

	first = begin;
	piece = rest;
	fake_node_prepare(&node);
	node.settings.node.load_asks_per_s = POLLS_PER_S;
	node.settings.node.max_body_bytes = 8 << 20;
	node.dialect = &platform_dialect;
	fake_node_run(&node);
	loop_call(node.node->loop, configure, NULL);
	raw_server_start(&upstream, serve, NULL);
	fake_node_announce_upstream(&node, upstream.port, SLOTS);
	before = resident_bytes();
	for (u32 i = 0; i < CALLERS; i++)
		callers[i] = g_thread_new("caller", make_calls, NULL);
	for (u32 i = 0; i < 20; i++) {
		check_status();
		g_assert_cmpuint(resident_bytes(), <, before + GROWTH_MAX_BYTES);
		g_usleep(50 * US_PER_MS);
	}
	for (u32 i = 0; i < CALLERS; i++)
		g_thread_join(callers[i]);
	check_status();
	g_assert_cmpuint(resident_bytes(), <, before + GROWTH_MAX_BYTES);
	g_assert_cmpint(g_atomic_int_get(&closed), >, 0);
	fake_node_stop(&node);
	raw_server_stop(&upstream);
}

/* Guards against: bytes that are no answer, in a head, fill the memory of the node. */
static void test_head(void)
{
	check_endless("HTTP/1.1 200 OK\r\nX-Long: ", "hoopoe");
}

static void test_no_answer(void)
{
	check_endless("", "hoopoe");
}

/* Guards against: the same in a body. */
static void test_body(void)
{
	check_endless("HTTP/1.1 200 OK\r\n\r\n", "hoopoe");
}

static void test_chunks(void)
{
	check_endless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "6\r\nhoopoe\r\n");
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/endless-node/body", test_body);
	g_test_add_func("/endless-node/chunks", test_chunks);
	g_test_add_func("/endless-node/head", test_head);
	g_test_add_func("/endless-node/no-answer", test_no_answer);
	return g_test_run();
}
