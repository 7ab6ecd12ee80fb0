/* Heartbeats of an upstream's instance: one that can't be understood names no upstream to use. */
#include "test/fakes/fake_node.h"
#include "test/fakes/httpc.h"

#include <glib.h>
#include <string.h>

#define TIMEOUT_MS 20000

/* Fields that say nothing of which upstream it is. */
#define DETAILS "\"zone\":\"z\",\"version\":\"v1\",\"cold_ms\":0,"
#define WHOLE                                                                                      \
	"{\"service\":\"sightings\",\"address\":\"127.0.0.1:9\"," DETAILS "\"slots\":4,"           \
	"\"state\":\"ready\",\"born\":1000,\"sequence\":1}"

static struct fake_node node;

static int put_as(const char *instance, const char *body)
{
	g_autofree char *path = g_strconcat("/v1/instances/", instance, NULL);
	struct httpc_reply reply;
	int err = httpc_call("127.0.0.1", node.settings.node.local_port, "PUT", path, NULL, body,
			     TIMEOUT_MS, &reply);
	int status = reply.status;

	g_assert_cmpint(err, ==, 0);
	httpc_reply_clear(&reply);
	return status;
}

static int put(const char *body)
{
	return put_as("i-1", body);
}

static enum dir_state state(void)
{
	return node.node->dir_entry.state;
}

/* A field that each heartbeat has, its value in a sound one, and values that name no upstream. */
struct field {
	const char *key;
	const char *sound;
	const char *spoilt[8];
};

static const struct field fields[] = {
	{ "service", "\"sightings\"", { "5", "null", "\"\"", "[]" } },
	{ "address", "\"127.0.0.1:9\"", { "9", "\"here\"", "\"\"", "null", "{}" } },
	{ "zone", "\"z\"", { "5", "null", "\"\"", "{}", "true" } },
	{ "version", "\"v1\"", { "1", "null", "\"\"", "[\"v1\"]" } },
	{ "slots", "4", { "\"4\"", "null", "4.5", "0", "-1", "100001" } },
	{ "state", "\"ready\"", { "\"gone\"", "null", "1", "\"\"", "\"READY\"" } },
	{ "cold_ms", "0", { "\"0\"", "null", "-1", "[]", "false" } },
	{ "born", "1000", { "\"1000\"", "1000.5", "null", "0" } },
	{ "sequence", "2", { "\"2\"", "null", "2.5", "0" } },
};

/* Returns a heartbeat in which the fields that VALUES names have those; "" leaves one out. */
static char *heartbeat_of(const char *const values[G_N_ELEMENTS(fields)])
{
	GString *text = g_string_new("{\"extra\":1");

	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
		const char *value = values[i] ? values[i] : fields[i].sound;

		if (*value)
			g_string_append_printf(text, ",\"%s\":%s", fields[i].key, value);
	}
	g_string_append_c(text, '}');
	return g_string_free(text, FALSE);
}

/* Returns the Nth way in which field I can be wrong: the first one is that it is missing. */
static const char *spoilt_value(size_t i, size_t n)
{
	if (!n)
		return "";
	return n <= G_N_ELEMENTS(fields[i].spoilt) ? fields[i].spoilt[n - 1] : NULL;
}

static const char *const unreadable[] = { "", "[]", "null", WHOLE "x",
					  "{\"service\":\"sightings\"}" };

static void check_refused(const char *body, enum dir_state expected)
{
	int status = put(body);

	g_test_message("%s: %d", body, status);
	g_assert_cmpint(status, ==, 400);
	g_assert_cmpint(state(), ==, expected);
}

/* One field is spoilt, or two of them are, each in each way. */
static void check_spoilt_fields(enum dir_state expected)
{
	const char *values[G_N_ELEMENTS(fields)] = { NULL };

	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
		for (size_t n = 0; (values[i] = spoilt_value(i, n)); n++) {
			g_autofree char *one = heartbeat_of(values);

			check_refused(one, expected);
			for (size_t j = 0; j < i; j++) {
				for (size_t k = 0; (values[j] = spoilt_value(j, k)); k++) {
					g_autofree char *two = heartbeat_of(values);

					check_refused(two, expected);
				}
			}
		}
	}
}

static void check_all_refused(enum dir_state expected)
{
	for (size_t i = 0; i < G_N_ELEMENTS(unreadable); i++)
		check_refused(unreadable[i], expected);
	for (size_t len = 0; len < strlen(WHOLE); len++) {
		g_autofree char *part = g_strndup(WHOLE, len);

		check_refused(part, expected);
	}
	check_spoilt_fields(expected);
}

/* Guards against: a heartbeat that is cut, or misses a field, names an upstream to use. */
static void test_spoilt(void)
{
	static const char *const sound[G_N_ELEMENTS(fields)] = { NULL };
	g_autofree char *next = heartbeat_of(sound);

	fake_node_prepare(&node);
	node.settings.node.upstream_ttl_ms = 600000;
	fake_node_run(&node);
	check_all_refused(DIR_NO_UPSTREAM);
	g_assert_cmpint(put(WHOLE), ==, 200);
	g_assert_cmpint(state(), ==, DIR_UP);
	check_all_refused(DIR_UP);
	g_assert_cmpuint(node.node->dir_entry.slots, ==, 4);
	g_assert_cmpuint(node.node->upstream_sequence, ==, 1);
	g_assert_cmpint(put(next), ==, 200);
	g_assert_cmpuint(node.node->upstream_sequence, ==, 2);
}

static int leave(void)
{
	struct httpc_reply reply;
	int err = httpc_call("127.0.0.1", node.settings.node.local_port, "DELETE",
			     "/v1/instances/i-1", NULL, NULL, TIMEOUT_MS, &reply);
	int status = reply.status;

	g_assert_cmpint(err, ==, 0);
	httpc_reply_clear(&reply);
	return status;
}

/*
 * Guards against: a node that has just started acknowledges that an upstream leaves, and uses it
 * when a heartbeat arrives that was sent before.
 */
static void test_heartbeat_after_leaving(void)
{
	g_autofree char *restarted = g_strdup_printf(
		"{\"service\":\"sightings\",\"address\":\"127.0.0.1:9\"," DETAILS "\"slots\":4,"
		"\"state\":\"ready\",\"born\":%llu,\"sequence\":1}",
		(unsigned long long)g_get_real_time() / 1000 + 5000);

	fake_node_prepare(&node);
	node.settings.node.upstream_ttl_ms = 600000;
	fake_node_run(&node);
	g_assert_cmpint(leave(), ==, 200);
	g_assert_cmpint(put(WHOLE), ==, 200);
	g_assert_cmpint(state(), ==, DIR_NO_UPSTREAM);
	/* It starts again under its name. */
	g_assert_cmpint(put(restarted), ==, 200);
	g_assert_cmpint(state(), ==, DIR_UP);
}

/* A whole heartbeat of instance i-1 but for SERVICE, START_MS and SEQUENCE. */
static char *heartbeat(const char *service, u64 start_ms, u64 sequence)
{
	return g_strdup_printf("{\"service\":\"%s\",\"address\":\"127.0.0.1:9\"," DETAILS
			       "\"slots\":4,"
			       "\"state\":\"ready\",\"born\":%llu,\"sequence\":%llu}",
			       service, (unsigned long long)start_ms, (unsigned long long)sequence);
}

static u64 now_ms(void)
{
	return (u64)g_get_real_time() / US_PER_MS;
}

/*
 * Guards against: a heartbeat of another writer, with a service that the settings don't name, takes
 * the place of the upstream, whose own ones are then stale as long as it lives.
 */
static void test_other_writer_displaces_the_upstream(void)
{
	g_autofree char *first = heartbeat("sightings", 1000, 1);
	g_autofree char *other = heartbeat("elsewhere", now_ms(), 1);
	g_autofree char *second = heartbeat("sightings", 1000, 2);

	fake_node_prepare(&node);
	node.settings.node.upstream_ttl_ms = 600000;
	node.settings.node.service = g_strdup("sightings");
	fake_node_run(&node);
	g_assert_cmpint(put(first), ==, 200);
	check_refused(other, DIR_UP);
	g_assert_cmpstr(node.node->dir_entry.service, ==, "sightings");
	g_assert_cmpint(put(second), ==, 200);
	g_assert_cmpuint(node.node->upstream_sequence, ==, 2);
	fake_node_stop(&node);
}

/* Guards against: a start time that lies far ahead makes all later heartbeats stale. */
static void test_start_in_the_future(void)
{
	g_autofree char *future = heartbeat("sightings", INT64_MAX, 1);
	g_autofree char *true_one = heartbeat("sightings", now_ms(), 1);

	fake_node_prepare(&node);
	node.settings.node.upstream_ttl_ms = 600000;
	fake_node_run(&node);
	check_refused(future, DIR_NO_UPSTREAM);
	g_assert_cmpint(put(true_one), ==, 200);
	g_assert_cmpint(state(), ==, DIR_UP);
	fake_node_stop(&node);
}

/* Values of one field that another writer may leave. */
static const char *const odd_values[] = {
	"-1", "0",     "1e400", "1e3",	 "18446744073709551616", "99999999999999999999999999999999",
	"{}", "false", "\"\"",	"[[1]]",
};

static const char *const odd_addresses[] = {
	"127.0.0.1:0",	"127.0.0.1:65536", "127.0.0.1:70000", "127.0.0.1:18446744073709551617",
	"127.0.0.1:-1", "127.0.0.1:",	   "127.0.0.1",	      "256.0.0.1:9",
};

/* Guards against: one odd entry among those of the upstreams ends the node, or what it does next.
 */
static void test_odd_entry(void)
{
	static const char *const keys[] = { "slots", "born", "sequence", "connections" };
	g_autofree char *nested = g_strnfill(1500, '[');
	g_autofree char *closed = g_strnfill(1500, ']');
	g_autofree char *deep = g_strdup_printf("{\"service\":%s%s}", nested, closed);

	fake_node_prepare(&node);
	node.settings.node.upstream_ttl_ms = 600000;
	fake_node_run(&node);
	g_assert_cmpint(put(WHOLE), ==, 200);
	check_refused(deep, DIR_UP);
	check_refused(nested, DIR_UP);
	for (size_t k = 0; k < G_N_ELEMENTS(keys); k++)
		for (size_t v = 0; v < G_N_ELEMENTS(odd_values); v++) {
			g_autofree char *body = g_strdup_printf(
				"{\"service\":\"sightings\",\"address\":\"127.0.0.1:9\"," DETAILS
				"\"slots\":%s,"
				"\"state\":\"ready\",\"born\":%s,\"sequence\":%s,\"connections\":%"
				"s}",
				k == 0 ? odd_values[v] : "4", k == 1 ? odd_values[v] : "1000",
				k == 2 ? odd_values[v] : "2", k == 3 ? odd_values[v] : "4");

			check_refused(body, DIR_UP);
		}
	for (size_t i = 0; i < G_N_ELEMENTS(odd_addresses); i++) {
		g_autofree char *body = g_strdup_printf(
			"{\"service\":\"sightings\",\"address\":\"%s\"," DETAILS "\"slots\":4,"
			"\"state\":\"ready\",\"born\":1000,\"sequence\":2}",
			odd_addresses[i]);

		check_refused(body, DIR_UP);
	}
	g_assert_cmpuint(node.node->dir_entry.slots, ==, 4);
	g_assert_cmpuint(node.node->upstream_sequence, ==, 1);
	fake_node_stop(&node);
}

/* Guards against: an instance's name that ends a header adds another one to each request. */
static void test_name_that_ends_a_header(void)
{
	static const char *const names[] = { "i%0d%0aX:%20y", "i%0ax", "i%20x", "i%7fx", "i%09" };

	fake_node_start(&node);
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		g_assert_cmpint(put_as(names[i], WHOLE), ==, 400);
	g_assert_cmpint(state(), ==, DIR_NO_UPSTREAM);
	g_assert_cmpint(put_as("i-1%2E~\xc3\xa9", WHOLE), ==, 200);
	fake_node_stop(&node);
}

static void start_instance_case(void)
{
	fake_node_prepare(&node);
	node.settings.node.upstream_ttl_ms = 600000;
	fake_node_run(&node);
}

static void end_withdrawal(void *arg)
{
	(void)arg;
	node.node->withdrawn_us = 1;
	node.node->upstream_left_us = 1;
}

/*
 * Guards against: a late leave of an earlier run, which has the same name, makes the heartbeats of
 * the run in force stale as long as it lives.
 */
static void test_late_leave_of_an_earlier_run(void)
{
	g_autofree char *earlier = heartbeat("sightings", 1000, 7);
	g_autofree char *first = heartbeat("sightings", 2000, 1);
	g_autofree char *second = heartbeat("sightings", 2000, 2);
	g_autofree char *third = heartbeat("sightings", 2000, 3);

	start_instance_case();
	g_assert_cmpint(put(earlier), ==, 200);
	g_assert_cmpint(put(first), ==, 200);
	/* It may be a leave of the run in force, whose heartbeats may come late. */
	g_assert_cmpint(leave(), ==, 200);
	g_assert_cmpint(put(second), ==, 200);
	g_assert_cmpint(state(), ==, DIR_NO_UPSTREAM);
	/* None comes that late. */
	loop_call(node.node->loop, end_withdrawal, NULL);
	g_assert_cmpint(put(third), ==, 200);
	g_assert_cmpint(state(), ==, DIR_UP);
	fake_node_stop(&node);
}

/*
 * Guards against: an upstream that leaves and starts again under its name is ignored, as the clock
 * of the VM, by which the node dates the leave, was ahead of the upstream's.
 */
static void test_new_run_while_the_clock_is_ahead(void)
{
	u64 now = now_ms();
	g_autofree char *earlier = heartbeat("sightings", now - 60000, 1);
	g_autofree char *late = heartbeat("sightings", now - 60000, 2);
	g_autofree char *new_run = heartbeat("sightings", now - 2400, 1);

	start_instance_case();
	g_assert_cmpint(put(earlier), ==, 200);
	g_assert_cmpint(leave(), ==, 200);
	g_assert_cmpint(put(late), ==, 200);
	g_assert_cmpint(state(), ==, DIR_NO_UPSTREAM);
	g_assert_cmpint(put(new_run), ==, 200);
	g_assert_cmpint(state(), ==, DIR_UP);
	fake_node_stop(&node);
}

/* Announces INSTANCE, which started at START_MS; expects IN_FORCE to be in force afterwards. */
static void announce(const char *instance, u64 start_ms, u64 sequence, const char *in_force)
{
	g_autofree char *body = heartbeat("sightings", start_ms, sequence);

	g_assert_cmpint(put_as(instance, body), ==, 200);
	g_assert_cmpstr(node.node->upstream_instance, ==, in_force);
	g_assert_cmpint(state(), ==, DIR_UP);
}

static void disprove(void *arg)
{
	(void)arg;
	local_upstream_disproved(node.node);
	node_set_state(node.node, DIR_NO_UPSTREAM);
}

static void confirm(void *arg)
{
	(void)arg;
	local_upstream_confirmed(node.node);
}

/*
 * Guards against: a whole heartbeat of another writer, with a later start, displaces the upstream
 * as long as that lives, though its address answers for the true one.
 */
static void test_disproved_claim(void)
{
	u64 later_ms = now_ms();

	start_instance_case();
	announce("i-true", 1000, 1, "i-true");
	announce("i-other", later_ms, 1, "i-other");
	announce("i-true", 1000, 2, "i-other");
	loop_call(node.node->loop, disprove, NULL);
	/* Nothing else is known, so it is tried again, but the next other one takes its place. */
	announce("i-other", later_ms, 2, "i-other");
	announce("i-true", 1000, 3, "i-true");
	announce("i-other", later_ms, 3, "i-true");
	loop_call(node.node->loop, confirm, NULL);
	announce("i-other", later_ms, 4, "i-true");
	/* A target that takes its place starts later. */
	announce("i-next", later_ms + 1, 1, "i-next");
	announce("i-true", 1000, 4, "i-next");
	fake_node_stop(&node);
}

/* An upstream that was disproved once, and answers again, is not displaced by an earlier one. */
static void test_claim_that_holds_again(void)
{
	start_instance_case();
	announce("i-true", 2000, 1, "i-true");
	loop_call(node.node->loop, disprove, NULL);
	announce("i-true", 2000, 2, "i-true");
	loop_call(node.node->loop, confirm, NULL);
	announce("i-earlier", 1000, 9, "i-true");
	fake_node_stop(&node);
}

/* Guards against: another writer displaces the upstream, and its heartbeats end. */
static void test_claim_that_ends(void)
{
	fake_node_prepare(&node);
	node.settings.node.upstream_ttl_ms = 500;
	fake_node_run(&node);
	announce("i-true", 1000, 1, "i-true");
	announce("i-other", now_ms(), 1, "i-other");
	for (u32 i = 0; i < TIMEOUT_MS && state() == DIR_UP; i++)
		g_usleep(US_PER_MS);
	announce("i-true", 1000, 2, "i-true");
	announce("i-true", 1000, 3, "i-true");
	fake_node_stop(&node);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/instance/heartbeat-after-leaving", test_heartbeat_after_leaving);
	g_test_add_func("/instance/late-leave-of-an-earlier-run",
			test_late_leave_of_an_earlier_run);
	g_test_add_func("/instance/new-run-while-the-clock-is-ahead",
			test_new_run_while_the_clock_is_ahead);
	g_test_add_func("/instance/name-that-ends-a-header", test_name_that_ends_a_header);
	g_test_add_func("/instance/odd-entry", test_odd_entry);
	g_test_add_func("/instance/other-writer-displaces-the-upstream",
			test_other_writer_displaces_the_upstream);
	g_test_add_func("/instance/spoilt", test_spoilt);
	g_test_add_func("/instance/start-in-the-future", test_start_in_the_future);
	g_test_add_func("/instance/disproved-claim", test_disproved_claim);
	g_test_add_func("/instance/claim-that-holds-again", test_claim_that_holds_again);
	g_test_add_func("/instance/claim-that-ends", test_claim_that_ends);
	return g_test_run();
}
