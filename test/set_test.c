/* Tests parsing of sets, with the JSON path of each problem, and route lookup at a node. */
#include "lib/set.h"
#include "node/config.h"

#include <glib.h>
#include <string.h>

#define SERVICES "\"services\":[{\"name\":\"a\"},{\"name\":\"b\"}]"
#define ROUTE                                                                                      \
	"\"name\":\"r\",\"host\":\"h.example\",\"prefix\":\"/x/\",\"repeat\":\"always\","          \
	"\"timeout_ms\":1000,\"target_ms\":250,\"attempts\":2"
#define SET(version, routes)                                                                       \
	"{\"version\":" version ",\"routes\":[" routes "]," SERVICES ",\"limits\":{}}"

static struct set *parse(const char *json, struct findings *found)
{
	return set_parse(json, strlen(json), found);
}

/* Expects findings at exactly the paths in WANT, one per line. */
static void expect(const char *json, const char *want)
{
	FINDINGS_AUTO(found);
	g_autoptr(GString) got = g_string_new(NULL);
	struct set *s = parse(json, &found);

	g_assert_null(s);
	for (guint i = 0; i < findings_count(&found); i++)
		g_string_append_printf(got, "%s\n", findings_at(&found, i)->place);
	g_assert_cmpstr(got->str, ==, want);
}

static void test_complete_set(void)
{
	FINDINGS_AUTO(found);
	struct set *s = parse(SET("7", "{" ROUTE ",\"service\":\"a\",\"priority\":2}"), &found);
	const struct set_route *r;

	g_assert_nonnull(s);
	g_assert_cmpuint(s->version, ==, 7);
	r = g_ptr_array_index(s->routes, 0);
	g_assert_true(r->is_idempotent);
	g_assert_cmpuint(r->attempts, ==, 2);
	g_assert_cmpuint(r->timeout_ms, ==, 1000);
	g_assert_cmpuint(set_worth_of_priority(r->priority), <, set_worth_of_priority(0));
	set_free(s);
}

/*
 * Under sustained overload each rank keeps its floor; the floors add up to so little
 * that most of the capacity is left to the rank of the highest worth.
 */
static void test_floors(void)
{
	struct res_service *service = res_new();
	struct set_route route = { .target_ms = 250 };
	const struct res_rank *r;
	u32 sum = 0;

	for (route.priority = 0; route.priority < 2; route.priority++)
		set_add_rank(service, &route);
	r = g_ptr_array_index(service->ranks, 1);
	g_assert_cmpuint(r->floor_percent, ==, 20);
	for (; route.priority < 8; route.priority++)
		set_add_rank(service, &route);
	for (guint i = 0; i < service->ranks->len; i++) {
		r = g_ptr_array_index(service->ranks, i);
		sum += r->floor_percent;
		g_assert_cmpuint(r->floor_percent, >, 0);
	}
	g_assert_cmpuint(sum, <=, 40);
	res_free(service);
}

static void test_findings(void)
{
	expect("{\"version\":", "$\n");
	expect("[]", "$\n");
	expect("{}", "$.version\n$.routes\n$.services\n");
	expect(SET("0", ""), "$.version\n");
	expect(SET("1", "{" ROUTE ",\"service\":\"nobody\"}"), "$.routes[0].service\n");
	expect(SET("1", "{" ROUTE ",\"service\":\"a\"},{" ROUTE ",\"service\":\"b\"}"),
	       "$.routes[1].prefix\n");
	expect(SET("1", "{}"), "$.routes[0].name\n$.routes[0].host\n$.routes[0].prefix\n"
			       "$.routes[0].service\n$.routes[0].repeat\n$.routes[0].attempts\n"
			       "$.routes[0].timeout_ms\n$.routes[0].service\n");
}

static void expect_route(const char *changed, const char *want)
{
	g_autofree char *json = g_strdup_printf(SET("1", "{%s}"), changed);

	expect(json, want);
}

static void test_value_ranges(void)
{
	const char *const rest = "\"name\":\"r\",\"repeat\":\"never\",\"service\":\"a\"";
	g_autofree char *no_attempts = g_strconcat(
		rest, ",\"host\":\"h\",\"prefix\":\"/\",\"timeout_ms\":1,\"attempts\":0", NULL);
	g_autofree char *long_timeout = g_strconcat(
		rest, ",\"host\":\"h\",\"prefix\":\"/\",\"timeout_ms\":600001,\"attempts\":1",
		NULL);
	g_autofree char *far_target = g_strconcat(
		rest,
		",\"host\":\"h\",\"prefix\":\"/\",\"timeout_ms\":1000,\"target_ms\":61000,"
		"\"attempts\":1",
		NULL);
	g_autofree char *no_host = g_strconcat(
		rest, ",\"host\":\"\",\"prefix\":\"/\",\"timeout_ms\":1,\"attempts\":1", NULL);
	g_autofree char *bad_prefix = g_strconcat(
		rest, ",\"host\":\"h\",\"prefix\":\"/a\",\"timeout_ms\":1,\"attempts\":1", NULL);

	expect_route(no_attempts, "$.routes[0].attempts\n");
	expect_route(long_timeout, "$.routes[0].timeout_ms\n");
	expect_route(far_target, "$.routes[0].target_ms\n");
	expect_route(no_host, "$.routes[0].host\n");
	expect_route(bad_prefix, "$.routes[0].prefix\n");
	expect_route(ROUTE ",\"split\":[{\"service\":\"a\",\"weight\":0}]", "$.routes[0].split\n");
}

static void apply(u64 revision, const char *json)
{
	g_autoptr(GPtrArray) changes = g_ptr_array_new_with_free_func(config_change_free);
	struct config_change *change = g_new0(struct config_change, 1);

	change->name = g_strdup(SET_NAME);
	change->version = revision;
	change->json = g_strdup(json);
	g_ptr_array_add(changes, change);
	g_assert_cmpint(config_apply(revision, false, changes), ==, 0);
}

static const char *route_of(const char *host, const char *target)
{
	const struct config_route *r = config_find_route(config_current(), host, target);

	return r ? r->route->name : NULL;
}

#define NAMED_ROUTE(name, host, prefix, service)                                                   \
	"{\"name\":\"" name "\",\"host\":\"" host "\",\"prefix\":\"" prefix                        \
	"\",\"repeat\":\"never\",\"timeout_ms\":9,\"attempts\":1,\"service\":\"" service "\"}"

static void test_longest_prefix(void)
{
	config_reset();
	apply(1, SET("1", NAMED_ROUTE("all", "h.example", "/", "a") "," NAMED_ROUTE(
				  "deep", "h.example", "/x/y/",
				  "b") "," NAMED_ROUTE("other", "g.example", "/x/", "b")));
	g_assert_cmpstr(route_of("h.example", "/x/y/z?q=/x/"), ==, "deep");
	g_assert_cmpstr(route_of("H.Example:8080", "/x/y/"), ==, "deep");
	g_assert_cmpstr(route_of("h.example", "/x/y"), ==, "all");
	g_assert_cmpstr(route_of("h.example", "/x/yz/"), ==, "all");
	g_assert_cmpstr(route_of("g.example", "/x/"), ==, "other");
	g_assert_null(route_of("g.example", "/"));
	g_assert_null(route_of("nobody.example", "/x/"));
	g_assert_nonnull(config_find_service(config_current(), "a"));
	config_reset();
}

/* A malformed set leaves the current set in force. */
static void test_bad_set_changes_nothing(void)
{
	config_reset();
	apply(1, SET("1", NAMED_ROUTE("all", "h.example", "/", "a")));
	apply(2, "{\"version\":2");
	g_assert_cmpstr(route_of("h.example", "/"), ==, "all");
	config_reset();
}

/* The split holds in every short window of requests. */
static void test_split(void)
{
	struct rng rng = { 3 };
	struct config_route *r;

	config_reset();
	apply(1, SET("1", "{" ROUTE ",\"split\":[{\"service\":\"a\",\"weight\":90},"
			  "{\"service\":\"b\",\"weight\":10}]}"));
	r = config_find_route(config_current(), "h.example", "/x/");
	for (u32 window = 0; window < 50; window++) {
		u32 b = 0;

		for (u32 i = 0; i < 20; i++)
			b += !strcmp(config_route_pick_service(r, &rng), "b");
		g_assert_cmpuint(b, >=, 1);
		g_assert_cmpuint(b, <=, 3);
	}
	config_reset();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/set/complete", test_complete_set);
	g_test_add_func("/set/floors", test_floors);
	g_test_add_func("/set/findings", test_findings);
	g_test_add_func("/set/value-ranges", test_value_ranges);
	g_test_add_func("/set/longest-prefix", test_longest_prefix);
	g_test_add_func("/set/bad-set-changes-nothing", test_bad_set_changes_nothing);
	g_test_add_func("/set/split", test_split);
	return g_test_run();
}
