#include "lib/set.h"

#include "lib/http.h"
#include "lib/json_text.h"

#include <jansson.h>
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
/* Floor of each rank: its minimum share under any load of ranks with a higher worth. */
#define RANK_FLOOR_PERCENT 20
/* Limit on the sum of a service's floors, so that the rank with the highest worth comes first. */
#define RANK_FLOORS_SUM_PERCENT 40

/* Location of a JSON object, for findings; LIST is NULL for the set itself. */
struct location {
	const char *list;
	size_t index;
};

static void report(struct findings *found, struct location at, const char *key, const char *text)
{
	g_autofree char *path = at.list ? g_strdup_printf("$.%s[%zu].%s", at.list, at.index, key) :
					  g_strdup_printf("$.%s", key);

	findings_add(found, path, "%s", text);
}

static char *get_text(json_t *obj, struct location at, const char *key, struct findings *found)
{
	const char *text = json_string_value(json_object_get(obj, key));

	if (!text || !*text || strlen(text) > SET_TEXT_MAX_BYTES) {
		report(found, at, key, "missing, empty, too long or not a string");
		text = "";
	}
	return g_strdup(text);
}

/*
 * Returns the number at KEY, rounded down, or ABSENT if the key is missing. Adds a finding if the
 * value is not a number from MIN to MAX; a negative ABSENT makes the key required.
 */
static u64 get_number(json_t *obj, struct location at, const char *key, json_int_t min,
		      json_int_t max, json_int_t absent, struct findings *found)
{
	json_t *value = json_object_get(obj, key);
	double n = value && json_is_number(value) ? json_number_value(value) : (double)absent;

	if ((value && !json_is_number(value)) || n < (double)min || n > (double)max) {
		g_autofree char *text =
			g_strdup_printf("missing, or not a number from %lld to %lld",
					(long long)min, (long long)max);

		report(found, at, key, text);
		return 0;
	}
	return (u64)n;
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
	g_free(s);
}

static struct set_split_part *part_new(struct set_route *r)
{
	g_array_set_size(r->parts, r->parts->len + 1);
	return &g_array_index(r->parts, struct set_split_part, r->parts->len - 1);
}

static void add_part(struct set_route *r, json_t *obj, struct location at, struct findings *found)
{
	json_t *weight = json_object_get(obj, "weight");
	struct set_split_part *part = part_new(r);
	double w = json_number_value(weight);

	if (!json_is_number(weight) || w < 0 || w > WEIGHT_MAX)
		report(found, at, "split", "a weight is missing or not a number from 0 on");
	else
		part->weight = (u64)(w * WEIGHT_SCALE);
	part->service = get_text(obj, at, "service", found);
}

static void read_split(struct set_route *r, json_t *split, struct location at,
		       struct findings *found)
{
	json_t *one;
	size_t i;

	if (!json_is_array(split) || !json_array_size(split) ||
	    json_array_size(split) > SPLIT_PARTS_MAX) {
		report(found, at, "split", "not a list of parts");
		return;
	}
	json_array_foreach(split, i, one)
	{
		add_part(r, one, at, found);
	}
}

static void read_parts(struct set_route *r, json_t *obj, struct location at, struct findings *found)
{
	json_t *split = json_object_get(obj, "split");
	struct set_split_part *only;
	u64 sum = 0;

	if (split) {
		read_split(r, split, at, found);
	} else {
		only = part_new(r);
		only->service = get_text(obj, at, "service", found);
		only->weight = WEIGHT_SCALE;
	}
	for (guint i = 0; i < r->parts->len; i++)
		sum += g_array_index(r->parts, struct set_split_part, i).weight;
	if (!sum)
		report(found, at, "split", "no part has a weight");
}

static bool read_repeat(json_t *obj, struct location at, struct findings *found)
{
	const char *text = json_string_value(json_object_get(obj, "repeat"));

	if (!g_strcmp0(text, "always"))
		return true;
	if (g_strcmp0(text, "never"))
		report(found, at, "repeat", "neither \"always\" nor \"never\"");
	return false;
}

static void check_prefix(const struct set_route *r, struct location at, struct findings *found)
{
	size_t len = strlen(r->prefix);

	if (len && (r->prefix[0] != '/' || r->prefix[len - 1] != '/'))
		report(found, at, "prefix", "must begin and end with a slash");
}

static struct set_route *read_route(json_t *obj, size_t i, struct findings *found)
{
	struct set_route *r = set_route_new();
	struct location at = { "routes", i };

	r->name = get_text(obj, at, "name", found);
	r->host = get_text(obj, at, "host", found);
	r->prefix = get_text(obj, at, "prefix", found);
	check_prefix(r, at, found);
	read_parts(r, obj, at, found);
	r->is_idempotent = read_repeat(obj, at, found);
	r->attempts = (u32)get_number(obj, at, "attempts", 1, ATTEMPTS_MAX, -1, found);
	r->timeout_ms = get_number(obj, at, "timeout_ms", 1, TIMEOUT_MAX_MS, -1, found);
	r->target_ms = get_number(obj, at, "target_ms", 0, TIMEOUT_MAX_MS + TARGET_SLACK_MS,
				  (json_int_t)r->timeout_ms, found);
	if (r->target_ms >= r->timeout_ms + TARGET_SLACK_MS)
		report(found, at, "target_ms", "far above timeout_ms");
	r->priority = (u32)get_number(obj, at, "priority", 0, INT32_MAX, 0, found);
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
		struct location at = { "services", i };

		service->name = get_text(one, at, "name", found);
		service->health_path = read_health_path(one);
		service->connections =
			(u32)get_number(one, at, "connections", 0, UINT32_MAX, 0, found);
		g_ptr_array_add(s->services, service);
	}
}

static void read_limits(struct set *s, json_t *obj, struct findings *found)
{
	struct location at = { 0 };

	if (!obj)
		return;
	s->limits.head_bytes = (u32)get_number(obj, at, "head_bytes", 0, INT32_MAX, 0, found);
	s->limits.body_bytes = get_number(obj, at, "body_bytes", 0, INT64_MAX / 2, 0, found);
	s->limits.head_timeout_ms = get_number(obj, at, "head_timeout_ms", 0, INT32_MAX, 0, found);
	s->limits.idle_timeout_ms = get_number(obj, at, "idle_timeout_ms", 0, INT32_MAX, 0, found);
}

static void check_services(const struct set *s, struct findings *found)
{
	g_autoptr(GHashTable) names = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < s->services->len; i++) {
		struct set_service *service = g_ptr_array_index(s->services, i);

		if (!g_hash_table_add(names, service->name))
			report(found, (struct location){ "services", i }, "name", "named twice");
	}
	for (guint i = 0; i < s->routes->len; i++) {
		const struct set_route *r = g_ptr_array_index(s->routes, i);

		for (guint k = 0; k < r->parts->len; k++) {
			const char *name =
				g_array_index(r->parts, struct set_split_part, k).service;

			if (!g_hash_table_contains(names, name))
				report(found, (struct location){ "routes", i }, "service",
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
			report(found, (struct location){ "routes", i }, "prefix",
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
		s->version = get_number(obj, (struct location){ 0 }, "version", 1, INT64_MAX / 2,
					-1, found);
		read_routes(s, json_object_get(obj, "routes"), found);
		read_services(s, json_object_get(obj, "services"), found);
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
			report(found, (struct location){ "services", i }, "health_path",
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

u32 set_worth_of_priority(u32 priority)
{
	return SET_WORTH_MAX - MIN(priority, (u32)SET_WORTH_MAX - 1);
}

char *set_rank_name_of_priority(u32 priority)
{
	return g_strdup_printf("p%u", priority);
}

static int compare_targets(const struct set_target *a, const struct set_target *b)
{
	if (a->priority != b->priority)
		return a->priority < b->priority ? -1 : 1;
	if (a->target_ms != b->target_ms)
		return a->target_ms < b->target_ms ? -1 : 1;
	return 0;
}

/* Returns the index of the first target that is not below T. */
static guint find_target(const GArray *targets, const struct set_target *t)
{
	guint from = 0;
	guint to = targets->len;

	while (from < to) {
		guint middle = from + (to - from) / 2;

		if (compare_targets(&g_array_index(targets, struct set_target, middle), t) < 0)
			from = middle + 1;
		else
			to = middle;
	}
	return from;
}

static struct set_target *target_at(const GArray *targets, guint at, const struct set_target *t)
{
	struct set_target *found =
		at < targets->len ? &g_array_index(targets, struct set_target, at) : NULL;

	return found && !compare_targets(found, t) ? found : NULL;
}

void set_target_add(GArray *targets, u32 priority, u32 target_ms)
{
	struct set_target t = { priority, target_ms, 1 };
	guint at = find_target(targets, &t);
	struct set_target *same = target_at(targets, at, &t);

	if (same)
		same->routes++;
	else
		g_array_insert_val(targets, at, t);
}

bool set_target_remove(GArray *targets, u32 priority, u32 target_ms)
{
	struct set_target t = { priority, target_ms, 0 };
	guint at = find_target(targets, &t);
	struct set_target *same = target_at(targets, at, &t);

	if (!same)
		return false;
	if (!--same->routes)
		g_array_remove_index(targets, at);
	return true;
}

static struct res_rank *rank_new(const struct set_target *t)
{
	struct res_rank *r = res_rank_new(set_rank_name_of_priority(t->priority));

	r->idempotency = RES_IDEMPOTENT_NEVER; /* each request states whether it may be repeated */
	r->target_ms = t->target_ms;
	r->worth = set_worth_of_priority(t->priority);
	return r;
}

void set_make_ranks(struct res_service *s, const GArray *targets)
{
	struct res_rank *last = NULL;

	g_ptr_array_set_size(s->ranks, 0);
	for (guint i = 0; i < targets->len; i++) {
		const struct set_target *t = &g_array_index(targets, struct set_target, i);

		if (last && last->worth == set_worth_of_priority(t->priority)) {
			last->target_ms = MIN(last->target_ms, t->target_ms);
			continue;
		}
		if (s->ranks->len == RES_RANKS_MAX)
			break;
		last = rank_new(t);
		g_ptr_array_add(s->ranks, last);
	}
	for (guint i = 0; i < s->ranks->len; i++)
		((struct res_rank *)g_ptr_array_index(s->ranks, i))->floor_percent =
			MIN(RANK_FLOOR_PERCENT, RANK_FLOORS_SUM_PERCENT / s->ranks->len);
}
