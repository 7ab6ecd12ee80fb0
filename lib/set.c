#include "lib/set_impl.h"

#include "lib/http.h"
#include "lib/json_text.h"

#include <string.h>

#define TIMEOUT_MAX_MS (10 * 60 * 1000)
/* A latency target may exceed the timeout of its route by less than this. */
#define TARGET_SLACK_MS (60 * 1000)
#define ROUTES_MAX 200000
#define SPLIT_PARTS_MAX 64
#define ATTEMPTS_MAX 100
/* Weights may be fractional; they are stored in thousandths. */
#define WEIGHT_SCALE 1000
#define WEIGHT_MAX 1e9
#define COLD_PERIOD_MAX_S 3600
void set_report(struct findings *found, struct set_location at, const char *key, const char *text)
{
	g_autofree char *path = at.list ? g_strdup_printf("$.%s[%zu].%s", at.list, at.index, key) :
					  g_strdup_printf("$.%s", key);

	findings_add(found, path, "%s", text);
}

char *set_get_text(json_t *obj, struct set_location at, const char *key, struct findings *found)
{
	const char *text = json_string_value(json_object_get(obj, key));

	if (!text || !*text || strlen(text) > SET_TEXT_MAX_BYTES) {
		set_report(found, at, key, "missing, empty, too long or not a string");
		text = "";
	}
	return g_strdup(text);
}

u64 set_get_number(json_t *obj, struct set_location at, const char *key, json_int_t min,
		   json_int_t max, json_int_t absent, struct findings *found)
{
	json_t *value = json_object_get(obj, key);
	double n = value && json_is_number(value) ? json_number_value(value) : (double)absent;

	if ((value && !json_is_number(value)) || n < (double)min || n > (double)max) {
		g_autofree char *text =
			g_strdup_printf("missing, or not a number from %lld to %lld",
					(long long)min, (long long)max);

		set_report(found, at, key, text);
		return 0;
	}
	return (u64)n;
}

u64 set_get_milli(json_t *obj, struct set_location at, const char *key, u64 max,
		  struct findings *found)
{
	json_t *value = json_object_get(obj, key);
	double n = json_number_value(value);

	if (!value || json_is_null(value))
		return 0;
	if (json_is_number(value) && n >= 0 && n <= (double)max)
		return (u64)(n * MILLI);
	set_report(found, at, key, "negative, too large, or not a number");
	return 0;
}

bool set_get_bool(json_t *obj, struct set_location at, const char *key, struct findings *found)
{
	json_t *value = json_object_get(obj, key);

	if (value && !json_is_null(value) && !json_is_boolean(value))
		set_report(found, at, key, "neither true nor false");
	return json_is_true(value);
}

static void part_clear(gpointer p)
{
	g_free(((struct set_split_part *)p)->service);
}

struct set_route *set_route_new(void)
{
	struct set_route *r = g_new0(struct set_route, 1);

	r->refs = 1;
	r->parts = g_array_new(FALSE, TRUE, sizeof(struct set_split_part));
	g_array_set_clear_func(r->parts, part_clear);
	return r;
}

void set_route_add_part(struct set_route *r, char *service, u64 weight)
{
	struct set_split_part part = { .service = service, .weight = weight };

	g_array_append_val(r->parts, part);
}

struct set_route *set_route_ref(struct set_route *r)
{
	r->refs++;
	return r;
}

void set_route_free(struct set_route *r)
{
	if (--r->refs)
		return;
	g_free(r->name);
	g_free(r->host);
	g_free(r->prefix);
	g_array_unref(r->parts);
	g_free(r);
}

static void route_free(gpointer p)
{
	set_route_free(p);
}

GPtrArray *set_new_routes(void)
{
	return g_ptr_array_new_with_free_func(route_free);
}

void set_service_free(struct set_service *s)
{
	g_free(s->name);
	g_free(s->health_path);
	g_free(s);
}

static void service_free(gpointer p)
{
	set_service_free(p);
}

void set_free(struct set *s)
{
	if (!s)
		return;
	g_ptr_array_unref(s->routes);
	g_ptr_array_unref(s->services);
	if (s->organisations)
		g_ptr_array_unref(s->organisations);
	g_free(s);
}

static struct set_split_part *part_new(struct set_route *r)
{
	g_array_set_size(r->parts, r->parts->len + 1);
	return &g_array_index(r->parts, struct set_split_part, r->parts->len - 1);
}

static void add_part(struct set_route *r, json_t *obj, struct set_location at,
		     struct findings *found)
{
	json_t *weight = json_object_get(obj, "weight");
	struct set_split_part *part = part_new(r);
	double w = json_number_value(weight);

	if (!json_is_number(weight) || w < 0 || w > WEIGHT_MAX)
		set_report(found, at, "split", "a weight is missing or not a number from 0 on");
	else
		part->weight = (u64)(w * WEIGHT_SCALE);
	part->service = set_get_text(obj, at, "service", found);
}

static void read_split(struct set_route *r, json_t *split, struct set_location at,
		       struct findings *found)
{
	json_t *one;
	size_t i;

	if (!json_is_array(split) || !json_array_size(split) ||
	    json_array_size(split) > SPLIT_PARTS_MAX) {
		set_report(found, at, "split", "not a list of parts");
		return;
	}
	json_array_foreach(split, i, one)
	{
		add_part(r, one, at, found);
	}
}

static void read_parts(struct set_route *r, json_t *obj, struct set_location at,
		       struct findings *found)
{
	json_t *split = json_object_get(obj, "split");
	struct set_split_part *only;
	u64 sum = 0;

	if (split) {
		read_split(r, split, at, found);
	} else {
		only = part_new(r);
		only->service = set_get_text(obj, at, "service", found);
		only->weight = WEIGHT_SCALE;
	}
	for (guint i = 0; i < r->parts->len; i++)
		sum += g_array_index(r->parts, struct set_split_part, i).weight;
	if (!sum)
		set_report(found, at, "split", "no part has a weight");
}

static bool read_repeat(json_t *obj, struct set_location at, struct findings *found)
{
	const char *text = json_string_value(json_object_get(obj, "repeat"));

	if (!g_strcmp0(text, "always"))
		return true;
	if (g_strcmp0(text, "never"))
		set_report(found, at, "repeat", "neither \"always\" nor \"never\"");
	return false;
}

static void check_prefix(const struct set_route *r, struct set_location at, struct findings *found)
{
	size_t len = strlen(r->prefix);

	if (len && (r->prefix[0] != '/' || r->prefix[len - 1] != '/'))
		set_report(found, at, "prefix", "must begin and end with a slash");
}

static struct set_route *read_route(json_t *obj, size_t i, struct findings *found)
{
	struct set_route *r = set_route_new();
	struct set_location at = { "routes", i };

	r->name = set_get_text(obj, at, "name", found);
	r->host = set_get_text(obj, at, "host", found);
	r->prefix = set_get_text(obj, at, "prefix", found);
	check_prefix(r, at, found);
	read_parts(r, obj, at, found);
	r->is_idempotent = read_repeat(obj, at, found);
	r->is_anonymous = set_get_bool(obj, at, "anonymous", found);
	r->attempts = (u32)set_get_number(obj, at, "attempts", 1, ATTEMPTS_MAX, -1, found);
	r->timeout_ms = set_get_number(obj, at, "timeout_ms", 1, TIMEOUT_MAX_MS, -1, found);
	r->target_ms = set_get_number(obj, at, "target_ms", 0, TIMEOUT_MAX_MS + TARGET_SLACK_MS,
				      (json_int_t)r->timeout_ms, found);
	if (r->target_ms >= r->timeout_ms + TARGET_SLACK_MS)
		set_report(found, at, "target_ms", "far above timeout_ms");
	r->priority = (u32)set_get_number(obj, at, "priority", 0, INT32_MAX, 0, found);
	return r;
}

static void read_routes(struct set *s, json_t *list, struct findings *found)
{
	json_t *one;
	size_t i;

	if (!json_is_array(list) || json_array_size(list) > ROUTES_MAX) {
		findings_add(found, "$.routes", "missing, or not a list of routes");
		return;
	}
	json_array_foreach(list, i, one)
	{
		g_ptr_array_add(s->routes, read_route(one, i, found));
	}
}

static bool is_path(const char *text)
{
	return text && *text == '/' && http_is_word(text);
}

static bool is_absent(const json_t *value)
{
	return !value || json_is_null(value) ||
	       (json_is_string(value) && !*json_string_value(value));
}

static char *read_health_path(json_t *obj)
{
	const char *text = json_string_value(json_object_get(obj, "health_path"));

	return is_path(text) ? g_strdup(text) : NULL;
}

static void read_services(struct set *s, json_t *list, struct findings *found)
{
	json_t *one;
	size_t i;

	if (!json_is_array(list) || json_array_size(list) > ROUTES_MAX) {
		findings_add(found, "$.services", "missing, or not a list of services");
		return;
	}
	json_array_foreach(list, i, one)
	{
		struct set_service *service = g_new0(struct set_service, 1);
		struct set_location at = { "services", i };

		service->name = set_get_text(one, at, "name", found);
		service->health_path = read_health_path(one);
		service->connections =
			(u32)set_get_number(one, at, "connections", 0, UINT32_MAX, 0, found);
		service->cold_period_ms =
			set_get_milli(one, at, "cold_period_s", COLD_PERIOD_MAX_S, found);
		service->cold_milli_per_s =
			set_get_milli(one, at, "cold_per_s", SET_PER_S_MAX, found);
		g_ptr_array_add(s->services, service);
	}
}

static void read_limits(struct set *s, json_t *obj, struct findings *found)
{
	struct set_location at = { 0 };

	if (!obj)
		return;
	s->limits.head_bytes = (u32)set_get_number(obj, at, "head_bytes", 0, INT32_MAX, 0, found);
	s->limits.body_bytes = set_get_number(obj, at, "body_bytes", 0, INT64_MAX / 2, 0, found);
	s->limits.head_timeout_ms =
		set_get_number(obj, at, "head_timeout_ms", 0, INT32_MAX, 0, found);
	s->limits.idle_timeout_ms =
		set_get_number(obj, at, "idle_timeout_ms", 0, INT32_MAX, 0, found);
}

static void check_services(const struct set *s, struct findings *found)
{
	g_autoptr(GHashTable) names = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < s->services->len; i++) {
		struct set_service *service = g_ptr_array_index(s->services, i);

		if (!g_hash_table_add(names, service->name))
			set_report(found, (struct set_location){ "services", i }, "name",
				   "named twice");
	}
	for (guint i = 0; i < s->routes->len; i++) {
		const struct set_route *r = g_ptr_array_index(s->routes, i);

		for (guint k = 0; k < r->parts->len; k++) {
			const char *name =
				g_array_index(r->parts, struct set_split_part, k).service;

			if (!g_hash_table_contains(names, name))
				set_report(found, (struct set_location){ "routes", i }, "service",
					   "names no service of the set");
		}
	}
}

char *set_route_key(const char *host, const char *prefix)
{
	g_autofree char *lower = g_ascii_strdown(host, -1);

	return g_strconcat(lower, "\n", prefix, NULL);
}

static void check_prefixes_unique(const struct set *s, struct findings *found)
{
	g_autoptr(GHashTable) keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (guint i = 0; i < s->routes->len; i++) {
		const struct set_route *r = g_ptr_array_index(s->routes, i);

		if (!g_hash_table_add(keys, set_route_key(r->host, r->prefix)))
			set_report(found, (struct set_location){ "routes", i }, "prefix",
				   "another route has this host and prefix");
	}
}

/* Takes the reference to OBJ, which is NULL after ERROR. */
static struct set *read_set(json_t *obj, const json_error_t *error, struct findings *found)
{
	guint before = findings_count(found);
	struct set *s = g_new0(struct set, 1);

	s->routes = set_new_routes();
	s->services = g_ptr_array_new_with_free_func(service_free);
	if (!json_is_object(obj)) {
		findings_add(found, "$", "not a JSON object: %s", obj ? "other type" : error->text);
	} else {
		s->version = set_get_number(obj, (struct set_location){ 0 }, "version", 1,
					    INT64_MAX / 2, -1, found);
		read_routes(s, json_object_get(obj, "routes"), found);
		read_services(s, json_object_get(obj, "services"), found);
		s->organisations =
			set_read_organisations(json_object_get(obj, "organisations"), found);
		read_limits(s, json_object_get(obj, "limits"), found);
	}
	json_decref(obj);
	check_services(s, found);
	check_prefixes_unique(s, found);
	if (findings_count(found) == before)
		return s;
	set_free(s);
	return NULL;
}

/*
 * What a new set must not contain, and earlier versions have accepted: they took it for missing,
 * and so does read_set.
 */
static void check_new(json_t *obj, struct findings *found)
{
	json_t *limits = json_object_get(obj, "limits");
	json_t *one;
	size_t i;

	if (limits && !json_is_null(limits) && !json_is_object(limits))
		findings_add(found, "$.limits", "not an object");
	json_array_foreach(json_object_get(obj, "services"), i, one)
	{
		json_t *path = json_object_get(one, "health_path");

		if (!is_absent(path) && !is_path(json_string_value(path)))
			set_report(found, (struct set_location){ "services", i }, "health_path",
				   "not a path that begins with / and has no spaces");
	}
}

struct set *set_parse(const char *json, size_t len, struct findings *found)
{
	json_error_t error;
	json_t *obj = json_text_load(json, len, JSON_REJECT_DUPLICATES, &error);
	guint before = findings_count(found);
	struct set *s;

	check_new(obj, found);
	s = read_set(obj, &error, found);
	if (findings_count(found) == before)
		return s;
	set_free(s);
	return NULL;
}

struct set *set_parse_accepted(const char *json, size_t len, struct findings *found)
{
	json_error_t error;

	return read_set(json_text_load_accepted(json, len, JSON_REJECT_DUPLICATES, &error), &error,
			found);
}
