#include "lib/res.h"

#include "lib/json_text.h"

#include <jansson.h>
#include <string.h>

#define NAME_MAX_BYTES 63
#define TEXT_MAX_BYTES 255
#define TARGET_MAX_MS (24 * 3600 * 1000)
#define WORTH_MAX 1000000

static void match_free(gpointer p)
{
	struct res_match *m = p;

	g_free(m->method);
	g_free(m->path);
	g_free(m);
}

static void rank_free(gpointer p)
{
	struct res_rank *r = p;

	g_free(r->name);
	g_ptr_array_unref(r->matches);
	g_free(r);
}

struct res_service *res_new(void)
{
	struct res_service *s = g_new0(struct res_service, 1);

	s->hosts = g_ptr_array_new_with_free_func(g_free);
	s->ranks = g_ptr_array_new_with_free_func(rank_free);
	return s;
}

struct res_rank *res_rank_new(char *name)
{
	struct res_rank *r = g_new0(struct res_rank, 1);

	r->name = name;
	r->matches = g_ptr_array_new_with_free_func(match_free);
	return r;
}

void res_free(struct res_service *s)
{
	if (!s)
		return;
	g_free(s->name);
	g_ptr_array_unref(s->hosts);
	g_ptr_array_unref(s->ranks);
	g_free(s);
}

bool res_is_valid_name(const char *name)
{
	size_t len = strlen(name);

	if (len == 0 || len > NAME_MAX_BYTES)
		return false;
	for (const char *p = name; *p; p++)
		if (!g_ascii_isalnum(*p) && *p != '-' && *p != '_')
			return false;
	return true;
}

static void check_keys(json_t *obj, const char *path, const char *const *known,
		       struct findings *found)
{
	const char *key;
	json_t *value;

	json_object_foreach(obj, key, value)
	{
		g_autofree char *at = g_strdup_printf("%s.%s", path, key);

		if (!g_strv_contains(known, key))
			findings_add(found, at, "unknown key");
	}
}

static char *get_text(json_t *obj, const char *path, const char *key, struct findings *found)
{
	g_autofree char *at = g_strdup_printf("%s.%s", path, key);
	json_t *value = json_object_get(obj, key);
	const char *text = json_string_value(value);

	if (!value)
		findings_add(found, at, "missing");
	else if (!text)
		findings_add(found, at, "not a string");
	else if (!*text || strlen(text) > TEXT_MAX_BYTES)
		findings_add(found, at, "empty, or longer than %d bytes", TEXT_MAX_BYTES);
	return g_strdup(text ? text : "");
}

static char *get_name(json_t *obj, const char *path, struct findings *found)
{
	g_autofree char *at = g_strdup_printf("%s.name", path);
	guint before = findings_count(found);
	char *name = get_text(obj, path, "name", found);

	if (findings_count(found) == before && !res_is_valid_name(name))
		findings_add(found, at, "use letters, digits, '-' and '_', at most %d",
			     NAME_MAX_BYTES);
	return name;
}

static u32 get_number(json_t *obj, const char *path, const char *key, u32 min, u32 max,
		      struct findings *found)
{
	g_autofree char *at = g_strdup_printf("%s.%s", path, key);
	json_t *value = json_object_get(obj, key);
	json_int_t n = json_integer_value(value);

	if (!value) {
		findings_add(found, at, "missing");
		return 0;
	}
	if (!json_is_integer(value) || n < (json_int_t)min || n > (json_int_t)max) {
		findings_add(found, at, "not a whole number from %u to %u", min, max);
		return 0;
	}
	return (u32)n;
}

static enum res_idempotency get_idempotency(json_t *obj, const char *path, struct findings *found)
{
	g_autofree char *at = g_strdup_printf("%s.idempotent", path);
	json_t *value = json_object_get(obj, "idempotent");

	if (!value)
		return RES_IDEMPOTENT_BY_METHOD;
	if (!json_is_boolean(value))
		findings_add(found, at, "not true or false");
	return json_is_true(value) ? RES_IDEMPOTENT_ALWAYS : RES_IDEMPOTENT_NEVER;
}

/*
 * Returns the list at KEY, or NULL after adding a finding if it is not a list of MIN to MAX
 * items. If MIN is 0 the list is optional.
 */
static json_t *get_list(json_t *obj, const char *path, const char *key, size_t min, size_t max,
			struct findings *found)
{
	g_autofree char *at = g_strdup_printf("%s.%s", path, key);
	json_t *list = json_object_get(obj, key);

	if (!list && min == 0)
		return NULL;
	if (!list) {
		findings_add(found, at, "missing");
		return NULL;
	}
	if (!json_is_array(list) || json_array_size(list) < min || json_array_size(list) > max) {
		findings_add(found, at, "not a list of %zu to %zu items", min, max);
		return NULL;
	}
	return list;
}

/* Methods are case-sensitive, so "get" would never match. */
static bool is_method(const char *text)
{
	for (const char *p = text; *p; p++)
		if (!g_ascii_isupper(*p) && *p != '-')
			return false;
	return *text;
}

/*
 * Returns why PATH could never match, or NULL: requests are matched by their normalized path
 * without a query.
 */
static const char *path_error(const char *path)
{
	if (*path != '/')
		return "must begin with /";
	if (strpbrk(path, "?#"))
		return "a path has no query: leave out what follows ? or #";
	if (strchr(path, '%'))
		return "paths are matched decoded: write the character instead of its % code";
	if (strstr(path, "//") || strstr(path, "/./") || strstr(path, "/../") ||
	    g_str_has_suffix(path, "/.") || g_str_has_suffix(path, "/.."))
		return "must have no //, /. or /..";
	for (const char *p = path; *p; p++)
		if (g_ascii_iscntrl(*p) || *p == '\\')
			return "must have no control characters and no backslash";
	return NULL;
}

static struct res_match *parse_match(json_t *obj, const char *path, struct findings *found)
{
	static const char *const known[] = { "method", "path", NULL };
	struct res_match *m = g_new0(struct res_match, 1);
	g_autofree char *at_path = g_strdup_printf("%s.path", path);
	g_autofree char *at_method = g_strdup_printf("%s.method", path);
	const char *error;

	check_keys(obj, path, known, found);
	if (json_object_get(obj, "method"))
		m->method = get_text(obj, path, "method", found);
	m->path = get_text(obj, path, "path", found);
	error = *m->path ? path_error(m->path) : NULL;
	if (error)
		findings_add(found, at_path, "%s", error);
	if (m->method && *m->method && !is_method(m->method))
		findings_add(found, at_method, "not a method in capital letters, as in GET");
	return m;
}

static struct res_rank *parse_rank(json_t *obj, const char *path, struct findings *found)
{
	static const char *const known[] = { "name",  "match",	       "idempotent", "target_ms",
					     "worth", "floor_percent", NULL };
	struct res_rank *r = res_rank_new(NULL);
	json_t *list;
	json_t *one;
	size_t i;

	check_keys(obj, path, known, found);
	r->name = get_name(obj, path, found);
	r->idempotency = get_idempotency(obj, path, found);
	r->target_ms = get_number(obj, path, "target_ms", 1, TARGET_MAX_MS, found);
	r->worth = get_number(obj, path, "worth", 0, WORTH_MAX, found);
	r->floor_percent = get_number(obj, path, "floor_percent", 0, 100, found);
	list = get_list(obj, path, "match", 1, RES_MATCHES_MAX, found);
	json_array_foreach(list, i, one)
	{
		g_autofree char *at = g_strdup_printf("%s.match[%zu]", path, i);

		if (json_is_object(one))
			g_ptr_array_add(r->matches, parse_match(one, at, found));
		else
			findings_add(found, at, "not an object");
	}
	return r;
}

static bool is_host(const char *host)
{
	size_t len = strlen(host);

	if (len == 0 || len > TEXT_MAX_BYTES || *host == '.' || host[len - 1] == '.')
		return false;
	for (const char *p = host; *p; p++)
		if (!g_ascii_isalnum(*p) && !strchr("-_.", *p))
			return false;
	return true;
}

static bool has_host(const struct res_service *s, const char *host)
{
	for (guint i = 0; i < s->hosts->len; i++)
		if (!g_ascii_strcasecmp(g_ptr_array_index(s->hosts, i), host))
			return true;
	return false;
}

const char *res_shared_host(const struct res_service *a, const struct res_service *b)
{
	for (guint i = 0; i < a->hosts->len; i++)
		if (has_host(b, g_ptr_array_index(a->hosts, i)))
			return g_ptr_array_index(a->hosts, i);
	return NULL;
}

static void parse_hosts(struct res_service *s, json_t *root, struct findings *found)
{
	json_t *list = get_list(root, "$", "hosts", 0, RES_HOSTS_MAX, found);
	json_t *one;
	size_t i;

	json_array_foreach(list, i, one)
	{
		g_autofree char *at = g_strdup_printf("$.hosts[%zu]", i);
		const char *host = json_string_value(one);

		if (!host || !is_host(host))
			findings_add(found, at, "not a host name without port");
		else if (has_host(s, host))
			findings_add(found, at, "this host came before: \"%s\"", host);
		else
			g_ptr_array_add(s->hosts, g_ascii_strdown(host, -1));
	}
}

static bool has_rank(const struct res_service *s, const char *name)
{
	for (guint i = 0; i < s->ranks->len; i++) {
		const struct res_rank *r = g_ptr_array_index(s->ranks, i);

		if (!strcmp(r->name, name))
			return true;
	}
	return false;
}

static void parse_ranks(struct res_service *s, json_t *root, struct findings *found)
{
	json_t *list = get_list(root, "$", "ranks", 1, RES_RANKS_MAX, found);
	u32 floor_sum = 0;
	json_t *one;
	size_t i;

	json_array_foreach(list, i, one)
	{
		g_autofree char *at = g_strdup_printf("$.ranks[%zu]", i);
		struct res_rank *r;

		if (!json_is_object(one)) {
			findings_add(found, at, "not an object");
			continue;
		}
		r = parse_rank(one, at, found);
		if (*r->name && has_rank(s, r->name))
			findings_add(found, at, "a rank with this name came before: \"%s\"",
				     r->name);
		floor_sum += r->floor_percent;
		g_ptr_array_add(s->ranks, r);
	}
	if (floor_sum > 100)
		findings_add(found, "$.ranks", "floor_percent adds up to %u, more than 100",
			     floor_sum);
}

struct res_service *res_parse(const char *json, size_t len, struct findings *found)
{
	static const char *const known[] = { "name",	 "hosts",  "ranks", "version",
					     "revision", "status", NULL };
	guint before = findings_count(found);
	struct res_service *s;
	json_error_t err;
	json_t *root;

	if (len > RES_JSON_MAX_BYTES) {
		findings_add(found, "$", "longer than %d bytes", RES_JSON_MAX_BYTES);
		return NULL;
	}
	root = json_text_load(json, len, JSON_REJECT_DUPLICATES, &err);
	if (!json_is_object(root)) {
		g_autofree char *at = g_strdup_printf("line %d", root ? 1 : err.line);

		findings_add(found, at, "not a JSON object: %s", root ? "other type" : err.text);
		json_decref(root);
		return NULL;
	}
	s = res_new();
	check_keys(root, "$", known, found);
	s->name = get_name(root, "$", found);
	parse_hosts(s, root, found);
	parse_ranks(s, root, found);
	json_decref(root);
	if (findings_count(found) > before) {
		res_free(s);
		return NULL;
	}
	return s;
}

static json_t *dump_rank(const struct res_rank *r)
{
	json_t *matches = json_array();
	json_t *rank;

	for (guint i = 0; i < r->matches->len; i++) {
		const struct res_match *m = g_ptr_array_index(r->matches, i);
		json_t *one = json_pack("{s:s}", "path", m->path);

		if (m->method)
			json_object_set_new(one, "method", json_string(m->method));
		json_array_append_new(matches, one);
	}
	rank = json_pack("{s:s, s:o, s:i, s:i, s:i}", "name", r->name, "match", matches,
			 "target_ms", (int)r->target_ms, "worth", (int)r->worth, "floor_percent",
			 (int)r->floor_percent);
	if (r->idempotency != RES_IDEMPOTENT_BY_METHOD)
		json_object_set_new(rank, "idempotent",
				    json_boolean(r->idempotency == RES_IDEMPOTENT_ALWAYS));
	return rank;
}

char *res_dump(const struct res_service *s)
{
	json_t *hosts = json_array();
	json_t *ranks = json_array();
	json_t *root;
	char *text;
	char *copy;

	for (guint i = 0; i < s->hosts->len; i++)
		json_array_append_new(hosts, json_string(g_ptr_array_index(s->hosts, i)));
	for (guint i = 0; i < s->ranks->len; i++)
		json_array_append_new(ranks, dump_rank(g_ptr_array_index(s->ranks, i)));
	root = json_pack("{s:s, s:o, s:o}", "name", s->name, "hosts", hosts, "ranks", ranks);
	text = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);
	copy = g_strdup(text);
	free(text);
	json_decref(root);
	return copy;
}

static bool matches(const struct res_match *m, const char *method, const char *path)
{
	size_t len = strlen(m->path);

	if (m->method && strcmp(m->method, method))
		return false;
	if (strncmp(m->path, path, len))
		return false;
	/* "/a" matches "/a" and "/a/b", but not "/ab". */
	return m->path[len - 1] == '/' || path[len] == 0 || path[len] == '/';
}

int res_find_rank(const struct res_service *s, const char *method, const char *path)
{
	for (guint i = 0; i < s->ranks->len; i++) {
		const struct res_rank *r = g_ptr_array_index(s->ranks, i);

		for (guint j = 0; j < r->matches->len; j++)
			if (matches(g_ptr_array_index(r->matches, j), method, path))
				return (int)i;
	}
	return -1;
}

bool res_is_idempotent(const struct res_rank *r, const char *method)
{
	static const char *const idempotent[] = { "GET", "HEAD",   "OPTIONS", "TRACE",
						  "PUT", "DELETE", NULL };

	if (r->idempotency == RES_IDEMPOTENT_BY_METHOD)
		return g_strv_contains(idempotent, method);
	return r->idempotency == RES_IDEMPOTENT_ALWAYS;
}
