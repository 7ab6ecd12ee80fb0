#include "lib/res.h"
#include "node/config.h"
#include "test/fakes/fake_config.h"

#include <glib.h>
#include <string.h>

#define RANK(name, match)                                                                          \
	"{\"name\":\"" name "\",\"match\":[" match "],\"target_ms\":100,\"worth\":1,"              \
	"\"floor_percent\":10}"

static struct res_service *parse(const char *json)
{
	FINDINGS_AUTO(found);
	struct res_service *s = res_parse(json, strlen(json), &found);

	if (findings_count(&found))
		g_test_message("%s: %s", findings_at(&found, 0)->place,
			       findings_at(&found, 0)->text);
	g_assert_nonnull(s);
	return s;
}

static void expect(const char *json, size_t len, const char *want)
{
	FINDINGS_AUTO(found);
	g_autoptr(GString) got = g_string_new(NULL);

	g_assert_null(res_parse(json, len, &found));
	for (guint i = 0; i < findings_count(&found); i++)
		g_string_append_printf(got, "%s: %s\n", findings_at(&found, i)->place,
				       findings_at(&found, i)->text);
	g_assert_cmpstr(got->str, ==, want);
}

static void test_all_findings_in_one_run(void)
{
	static const char json[] =
		"{\"name\":\"a b\",\"colour\":1,\"hosts\":[\"x:80\",7,\"ok\",\"OK\"],\"ranks\":["
		"{\"name\":\"r\",\"match\":[],\"idempotent\":1,\"target_ms\":0,\"worth\":-1,"
		"\"floor_percent\":60},"
		"{\"name\":\"r\",\"match\":[{\"path\":\"x\",\"method\":\"get\",\"verb\":1},5],"
		"\"target_ms\":1.5,\"worth\":\"1\",\"floor_percent\":60},"
		"{},7]}";

	expect(json, strlen(json),
	       "$.colour: unknown key\n"
	       "$.name: use letters, digits, '-' and '_', at most 63\n"
	       "$.hosts[0]: not a host name without port\n"
	       "$.hosts[1]: not a host name without port\n"
	       "$.hosts[3]: this host came before: \"OK\"\n"
	       "$.ranks[0].idempotent: not true or false\n"
	       "$.ranks[0].target_ms: not a whole number from 1 to 86400000\n"
	       "$.ranks[0].worth: not a whole number from 0 to 1000000\n"
	       "$.ranks[0].match: not a list of 1 to 64 items\n"
	       "$.ranks[1].target_ms: not a whole number from 1 to 86400000\n"
	       "$.ranks[1].worth: not a whole number from 0 to 1000000\n"
	       "$.ranks[1].match[0].verb: unknown key\n"
	       "$.ranks[1].match[0].path: must begin with /\n"
	       "$.ranks[1].match[0].method: not a method in capital letters, as in GET\n"
	       "$.ranks[1].match[1]: not an object\n"
	       "$.ranks[1]: a rank with this name came before: \"r\"\n"
	       "$.ranks[2].name: missing\n"
	       "$.ranks[2].target_ms: missing\n"
	       "$.ranks[2].worth: missing\n"
	       "$.ranks[2].floor_percent: missing\n"
	       "$.ranks[2].match: missing\n"
	       "$.ranks[3]: not an object\n"
	       "$.ranks: floor_percent adds up to 120, more than 100\n");
}

static void test_not_an_object(void)
{
	g_autofree char *deep = g_strnfill(100000, '[');
	g_autofree char *longer = g_strnfill(RES_JSON_MAX_BYTES + 1, ' ');

	expect("", 0, "line 1: not a JSON object: '[' or '{' expected near end of file\n");
	expect("[]", 2, "line 1: not a JSON object: other type\n");
	expect("{\"name\":\"a\",\n\"name\":\"b\"}", 24,
	       "line 2: not a JSON object: duplicate object key near '\"name\"'\n");
	expect("{\"name\":\"\\u0000\"}", 17,
	       "line 1: not a JSON object: \\u0000 is not allowed without JSON_ALLOW_NUL "
	       "near '\"\\u0000\"'\n");
	expect(deep, strlen(deep), "line 1: not a JSON object: nested deeper than 64 levels\n");
	expect(longer, strlen(longer), "$: longer than 262144 bytes\n");
}

static void test_paths_that_never_match(void)
{
	static const char *const bad[] = { "/a?b", "/a#b",  "/a%20b", "/a//b",	"/a/./b",
					   "/..",  "/a/..", "/a/.",   "/a\\tb", "/a\\\\b" };

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		FINDINGS_AUTO(found);
		g_autofree char *match = g_strdup_printf("{\"path\":\"%s\"}", bad[i]);
		g_autofree char *json =
			g_strdup_printf("{\"name\":\"s\",\"ranks\":[{\"name\":\"r\",\"match\":[%s],"
					"\"target_ms\":1,\"worth\":1,\"floor_percent\":0}]}",
					match);

		g_assert_null(res_parse(json, strlen(json), &found));
		g_assert_cmpuint(findings_count(&found), ==, 1);
		g_assert_cmpstr(findings_at(&found, 0)->place, ==, "$.ranks[0].match[0].path");
	}
}

static void test_dump_is_canonical(void)
{
	static const char one[] =
		"{\"name\":\"s\",\"hosts\":[\"A.example\"],\"ranks\":[{\"name\":\"r\",\"match\":["
		"{\"path\":\"/\",\"method\":\"GET\"}],\"target_ms\":1,\"worth\":2,"
		"\"floor_percent\":3,\"idempotent\":false}]}";
	static const char other[] =
		"{ "
		"\"ranks\":[{\"floor_percent\":3,\"idempotent\":false,\"worth\":2,\"target_ms\":1,"
		"\"match\":[{\"method\":\"GET\",\"path\":\"/\"}],\"name\":\"r\"}],\"status\":{},"
		"\"version\":7,\"revision\":9,\"hosts\":[\"a.example\"],\n\"name\":\"s\"}";
	struct res_service *a = parse(one);
	struct res_service *b = parse(other);
	g_autofree char *dump_a = res_dump(a);
	g_autofree char *dump_b = res_dump(b);
	struct res_service *again = parse(dump_a);
	g_autofree char *dump_again = res_dump(again);

	g_assert_cmpstr(dump_a, ==, dump_b);
	g_assert_cmpstr(dump_a, ==, dump_again);
	res_free(a);
	res_free(b);
	res_free(again);
}

static void test_rank_matching(void)
{
	struct res_service *s = parse("{\"name\":\"s\",\"ranks\":[" RANK(
		"checklist",
		"{\"method\":"
		"\"POST\","
		"\"path\":\"/"
		"checklists\""
		"}") "," RANK("photo", "{\"path\":\"/photos/\"},{\"method\":\"PUT\",\"path\":\"/"
				       "p\"}") "," RANK("get", "{\"method\":\"GET\",\"path\":\"/"
							       "\"}") "]}");
	static const struct {
		const char *method;
		const char *path;
		int rank;
	} cases[] = {
		{ "POST", "/checklists", 0 },
		{ "POST", "/checklists/", 0 },
		{ "POST", "/checklists/7", 0 },
		{ "POST", "/checklistsx", -1 },
		{ "POST", "/Checklists", -1 },
		{ "post", "/checklists", -1 },
		{ "GET", "/checklists", 2 },
		{ "POST", "/photos/1", 1 },
		{ "POST", "/photos", -1 },
		{ "PUT", "/p", 1 },
		{ "PUT", "/p/q", 1 },
		{ "PUT", "/pq", -1 },
		{ "GET", "/photos/1", 1 },
		{ "GET", "/", 2 },
		{ "GET", "", -1 },
		{ "GET", "*", -1 },
		{ "POST", "", -1 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_test_message("%s %s", cases[i].method, cases[i].path);
		g_assert_cmpint(res_find_rank(s, cases[i].method, cases[i].path), ==,
				cases[i].rank);
	}
	res_free(s);
}

/* By default POST is not idempotent: a retry could execute the request twice. */
static void test_idempotence_by_method(void)
{
	struct res_rank r = { .idempotency = RES_IDEMPOTENT_BY_METHOD };

	g_assert_true(res_is_idempotent(&r, "GET"));
	g_assert_true(res_is_idempotent(&r, "HEAD"));
	g_assert_true(res_is_idempotent(&r, "PUT"));
	g_assert_true(res_is_idempotent(&r, "DELETE"));
	g_assert_false(res_is_idempotent(&r, "POST"));
	g_assert_false(res_is_idempotent(&r, "PATCH"));
	g_assert_false(res_is_idempotent(&r, "get"));
	r.idempotency = RES_IDEMPOTENT_ALWAYS;
	g_assert_true(res_is_idempotent(&r, "POST"));
	r.idempotency = RES_IDEMPOTENT_NEVER;
	g_assert_false(res_is_idempotent(&r, "GET"));
}

static char *make_json(const char *name, const char *host)
{
	return g_strdup_printf("{\"name\":\"%s\",\"hosts\":[\"%s\"],\"ranks\":[%s]}", name, host,
			       RANK("r", "{\"path\":\"/\"}"));
}

/* All nodes route a host that several services claim to the same one, in any order of updates. */
static void test_host_of_two_services(void)
{
	static const char *const order[][3] = { { "atlas", "bulletin", "checklist" },
						{ "checklist", "bulletin", "atlas" },
						{ "bulletin", "checklist", "atlas" } };

	for (size_t i = 0; i < G_N_ELEMENTS(order); i++) {
		const struct config_service *s;
		char *json[3];

		for (size_t j = 0; j < 3; j++)
			json[j] = make_json(order[i][j], "one.example");
		fake_config_declare(i + 1, (const char *const *)json, 3);
		for (size_t j = 0; j < 3; j++)
			g_free(json[j]);
		config_read_lock();
		s = config_find_service_by_host(config_current(), "ONE.example:8080");
		g_assert_cmpstr(s->res->name, ==, "atlas");
		config_read_unlock();
		config_reset();
	}
}

static void test_host_clash(void)
{
	struct res_service *a = parse("{\"name\":\"a\",\"hosts\":[\"x.example\",\"y.example\"],"
				      "\"ranks\":[" RANK("r", "{\"path\":\"/\"}") "]}");
	struct res_service *b = parse("{\"name\":\"b\",\"hosts\":[\"Y.example\"],\"ranks\":[" RANK(
		"r", "{\"path\":\"/\"}") "]}");

	g_assert_cmpstr(res_shared_host(a, b), ==, "y.example");
	g_ptr_array_set_size(b->hosts, 0);
	g_assert_null(res_shared_host(a, b));
	res_free(a);
	res_free(b);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/res/all-findings-in-one-run", test_all_findings_in_one_run);
	g_test_add_func("/res/not-an-object", test_not_an_object);
	g_test_add_func("/res/paths-that-never-match", test_paths_that_never_match);
	g_test_add_func("/res/dump-is-canonical", test_dump_is_canonical);
	g_test_add_func("/res/rank-matching", test_rank_matching);
	g_test_add_func("/res/idempotence-by-method", test_idempotence_by_method);
	g_test_add_func("/res/host-of-two-services", test_host_of_two_services);
	g_test_add_func("/res/host-clash", test_host_clash);
	return g_test_run();
}
