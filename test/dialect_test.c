/* The platform's dialect, and the retry quota shared by all nodes. */
#include "node/retry_quota.h"
#include "platform/dialect.h"

#include <glib.h>
#include <string.h>

static struct http_msg *make_message(u16 status, const char *name, const char *value)
{
	struct http_msg *m = http_new();

	m->status = status;
	if (name)
		http_add_header(m, name, value);
	return m;
}

static void check_not_run(u16 status, const char *name, bool expected)
{
	struct http_msg *m = make_message(status, name, "1");

	g_assert_true(platform_dialect.is_not_run(m) == expected);
	http_free(m);
}

/* Only the target's explicit header marks a request as not run. */
static void test_not_run(void)
{
	check_not_run(503, "Lavenderlead-Not-Executed", true);
	check_not_run(429, "lavenderlead-not-executed", true);
	check_not_run(400, "Lavenderlead-Not-Executed", true);
	check_not_run(503, NULL, false);
	check_not_run(500, NULL, false);
	check_not_run(504, "Retry-After", false);
	check_not_run(200, "Lavenderlead-Not-Executed", false);
}

static void test_is_answer_to(void)
{
	struct http_msg *request = make_message(0, "Lavenderlead-Attempt-Id", "one");
	struct http_msg *matching = make_message(200, "Lavenderlead-Attempt-Id", "one");
	struct http_msg *other = make_message(200, "Lavenderlead-Attempt-Id", "two");
	struct http_msg *without_id = make_message(200, NULL, NULL);
	struct http_msg *refusal = make_message(503, NULL, NULL);

	g_assert_true(platform_dialect.is_answer_to(matching, request));
	g_assert_false(platform_dialect.is_answer_to(other, request));
	g_assert_false(platform_dialect.is_answer_to(without_id, request));
	g_assert_true(platform_dialect.is_answer_to(refusal, request));
	http_free(request);
	http_free(matching);
	http_free(other);
	http_free(without_id);
	http_free(refusal);
}

/* Guards against: a request that was sent without an id gets the answer to another one. */
static void test_request_without_id(void)
{
	struct http_msg *request = make_message(0, NULL, NULL);
	struct http_msg *other = make_message(200, "Lavenderlead-Attempt-Id", "one");
	struct http_msg *without_id = make_message(200, NULL, NULL);

	g_assert_false(platform_dialect.is_answer_to(other, request));
	g_assert_true(platform_dialect.is_answer_to(without_id, request));
	http_free(request);
	http_free(other);
	http_free(without_id);
}

/* Guards against: a head that was cut, with the next answer's behind it, passes for the first. */
static void test_two_ids(void)
{
	struct http_msg *request = make_message(0, "Lavenderlead-Attempt-Id", "one");
	struct http_msg *both = make_message(200, "Lavenderlead-Attempt-Id", "one");

	http_add_header(both, "lavenderlead-attempt-id", "two");
	g_assert_false(platform_dialect.is_answer_to(both, request));
	g_assert_false(platform_dialect.names_request(both, request));
	http_free(request);
	http_free(both);
}

static void check_names_request(const char *request_id, const char *answer_id, bool expected)
{
	const char *name = "Lavenderlead-Attempt-Id";
	struct http_msg *request = make_message(0, request_id ? name : NULL, request_id);
	struct http_msg *answer = make_message(503, answer_id ? name : NULL, answer_id);

	g_assert_true(platform_dialect.names_request(answer, request) == expected);
	http_free(request);
	http_free(answer);
}

/* Guards against: a copy of an earlier refusal passes for one that names the request. */
static void test_names_request(void)
{
	check_names_request("one", "one", true);
	check_names_request("one", "two", false);
	check_names_request("one", NULL, false);
	check_names_request(NULL, "one", false);
	check_names_request(NULL, NULL, false);
}

/* Values that a caller sends for its own service or the target's instance are not forwarded. */
static void test_rewritten_headers(void)
{
	struct http_msg *m = make_message(0, "lavenderlead-caller-service", "forged");
	g_autoptr(GString) head = g_string_new(NULL);
	struct dialect_request_info info = { .remaining_ms = 12, .instance = "i-1" };

	platform_dialect.set_caller_service(m, "sightings");
	g_assert_cmpuint(m->headers->len, ==, 1);
	g_assert_cmpstr(http_header(m, "Lavenderlead-Caller-Service"), ==, "sightings");
	g_assert_true(platform_dialect.is_rewritten_header("lavenderlead-expected-instance"));
	g_assert_true(platform_dialect.is_rewritten_header("Lavenderlead-Deadline-Remaining"));
	g_assert_false(platform_dialect.is_rewritten_header("Lavenderlead-Attempt-Id"));
	platform_dialect.write_request_headers(head, &info);
	g_assert_cmpstr(head->str, ==,
			"Lavenderlead-Deadline-Remaining: 12\r\n"
			"Lavenderlead-Expected-Instance: i-1\r\n");
	http_free(m);
}

static bool read_load(const char *text, struct dialect_load *load)
{
	struct http_msg *m = make_message(200, "Lavenderlead-Instance-Load", text);
	bool ret = platform_dialect.load(m, load);

	http_free(m);
	return ret;
}

static void test_load(void)
{
	struct dialect_load load = { 0 };

	g_assert_true(read_load("3,1,12,700", &load));
	g_assert_cmpuint(load.running, ==, 3);
	g_assert_cmpuint(load.waiting, ==, 1);
	g_assert_cmpuint(load.slots, ==, 12);
	g_assert_cmpuint(load.slowness_percent, ==, 700);
	g_assert_true(read_load("3,0,8", &load));
	g_assert_cmpuint(load.slowness_percent, ==, 0);
	g_assert_false(read_load("three", &load));
	g_assert_false(read_load("", &load));
}

static void test_timeout(void)
{
	static const char *const bad[] = { "", "-1", "soon", "1s" };
	u64 ms = 77;

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		struct http_msg *m = make_message(0, "Lavenderlead-Deadline-Remaining", bad[i]);

		g_assert_false(platform_dialect.timeout_ms(m, &ms));
		g_assert_cmpuint(ms, ==, 77);
		http_free(m);
	}
}

/*
 * Eleven nodes ask for three retries of every request. Each retry may cause a nested call that is
 * a retry too: the sum over all nodes must stay within the common bound.
 */
static void test_retry_quota(void)
{
	struct retry_quota nodes[11];
	u64 requests = 0;
	u64 sent = 0;

	for (u32 i = 0; i < G_N_ELEMENTS(nodes); i++) {
		retry_quota_init(&nodes[i], 20, 58);
		retry_quota_set_nodes(&nodes[i], G_N_ELEMENTS(nodes));
	}
	for (u32 round = 0; round < 1000; round++) {
		struct retry_quota *q = &nodes[round % G_N_ELEMENTS(nodes)];

		retry_quota_deposit(q, "sightings");
		requests++;
		for (u32 k = 0; k < 3; k++)
			sent += retry_quota_try_withdraw(q, "sightings");
	}
	g_assert_cmpuint(sent, >, 0);
	/* Each of these may cause one nested call, which is a retry as well. */
	g_assert_cmpuint(2 * sent, <=, requests * 20 / 100 + 58);
	for (u32 i = 0; i < G_N_ELEMENTS(nodes); i++)
		retry_quota_clear(&nodes[i]);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/dialect/not-run", test_not_run);
	g_test_add_func("/dialect/is-answer-to", test_is_answer_to);
	g_test_add_func("/dialect/request-without-id", test_request_without_id);
	g_test_add_func("/dialect/two-ids", test_two_ids);
	g_test_add_func("/dialect/names-request", test_names_request);
	g_test_add_func("/dialect/rewritten-headers", test_rewritten_headers);
	g_test_add_func("/dialect/load", test_load);
	g_test_add_func("/dialect/timeout", test_timeout);
	g_test_add_func("/retry-quota/all-nodes-together", test_retry_quota);
	return g_test_run();
}
