/* Parsing a set whose routes are mostly those of another one. */
#include "lib/set.h"

#include "lib/json_text.h"

#include <string.h>
#include <xxhash.h>

/* A part of the text. */
struct span {
	const char *at;
	const char *end;
};

/* The text of the list of routes, with its brackets, and of each route. */
struct layout {
	struct span list;
	GArray *routes; /* of struct span */
};

static const char *skip_spaces(const char *p, const char *end)
{
	while (p < end && (*p == ' ' || *p == '\t' || *p == '\n' || *p == '\r'))
		p++;
	return p;
}

static const char *skip_value(const char *p, const char *end)
{
	if (p < end && *p == '"')
		return json_text_skip_string(p, end);
	if (p < end && (*p == '{' || *p == '['))
		return json_text_skip_nested(p, end);
	while (p < end && !strchr(",]} \t\n\r", *p))
		p++;
	return p;
}

/* Collects the objects of the list that begins at P. Returns its end, or NULL. */
static const char *read_list(const char *p, const char *end, GArray *out)
{
	p = skip_spaces(p + 1, end);
	while (p < end && *p == '{') {
		struct span one = { p, json_text_skip_nested(p, end) };

		if (!one.end)
			return NULL;
		g_array_append_val(out, one);
		p = skip_spaces(one.end, end);
		if (p < end && *p == ',')
			p = skip_spaces(p + 1, end);
	}
	return p < end && *p == ']' ? p + 1 : NULL;
}

/* Returns the value after the key that begins at P, or NULL. */
static const char *skip_key(const char *p, const char *end)
{
	p = p < end && *p == '"' ? json_text_skip_string(p, end) : NULL;
	if (!p)
		return NULL;
	p = skip_spaces(p, end);
	return p < end && *p == ':' ? skip_spaces(p + 1, end) : NULL;
}

/* Finds the routes in the text. Returns false if it is not laid out as expected. */
static bool find_routes(const char *json, size_t len, struct layout *out)
{
	static const char name[] = "\"routes\"";
	const char *end = json + len;
	const char *p = skip_spaces(json, end);

	if (p == end || *p != '{')
		return false;
	p = skip_spaces(p + 1, end);
	for (;;) {
		const char *value = skip_key(p, end);

		if (!value || value == end)
			return false;
		if (!strncmp(p, name, strlen(name)) && *value == '[') {
			out->list.at = value;
			out->list.end = read_list(value, end, out->routes);
			return out->list.end;
		}
		p = skip_value(value, end);
		p = p ? skip_spaces(p, end) : end;
		if (p == end || *p != ',')
			return false;
		p = skip_spaces(p + 1, end);
	}
}

static void set_text_hash(struct set_route *r, const struct span *text)
{
	XXH128_hash_t hash = XXH3_128bits(text->at, (size_t)(text->end - text->at));

	r->text_hash[0] = hash.low64;
	r->text_hash[1] = hash.high64;
}

static guint hash_text_hash(gconstpointer route)
{
	return (guint)((const struct set_route *)route)->text_hash[0];
}

static gboolean equal_text_hashes(gconstpointer a, gconstpointer b)
{
	return !memcmp(((const struct set_route *)a)->text_hash,
		       ((const struct set_route *)b)->text_hash,
		       sizeof(((const struct set_route *)a)->text_hash));
}

/* Returns the route of each text in PREVIOUS, NULL for one that is new. */
static GPtrArray *find_known(const struct set *previous, const struct layout *layout)
{
	GPtrArray *known = g_ptr_array_new();
	g_autoptr(GHashTable) by_text = g_hash_table_new(hash_text_hash, equal_text_hashes);

	for (guint i = 0; i < previous->routes->len; i++)
		g_hash_table_add(by_text, g_ptr_array_index(previous->routes, i));
	for (guint i = 0; i < layout->routes->len; i++) {
		struct set_route key;

		set_text_hash(&key, &g_array_index(layout->routes, struct span, i));
		g_ptr_array_add(known, g_hash_table_lookup(by_text, &key));
	}
	return known;
}

/* Returns the text without the routes that are known. */
static GString *leave_out(const char *json, size_t len, const struct layout *layout,
			  const GPtrArray *known)
{
	GString *text = g_string_new_len(json, layout->list.at + 1 - json);
	const char *comma = "";

	for (guint i = 0; i < known->len; i++) {
		const struct span *one = &g_array_index(layout->routes, struct span, i);

		if (g_ptr_array_index(known, i))
			continue;
		g_string_append(text, comma);
		g_string_append_len(text, one->at, one->end - one->at);
		comma = ",";
	}
	g_string_append_len(text, layout->list.end - 1, json + len - (layout->list.end - 1));
	return text;
}

/* Puts the known routes between the new ones of S, in the order of the text. */
static void merge_known(struct set *s, const GPtrArray *known)
{
	GPtrArray *all = set_new_routes();
	guint next = 0;

	for (guint i = 0; i < known->len; i++) {
		struct set_route *r = g_ptr_array_index(known, i);

		g_ptr_array_add(all, set_route_ref(r ? r : g_ptr_array_index(s->routes, next++)));
	}
	g_ptr_array_unref(s->routes);
	s->routes = all;
}

/* Parses what is not known; NULL if that does not succeed. */
static struct set *parse_rest(const struct set *previous, const char *json, size_t len,
			      const struct layout *layout)
{
	FINDINGS_AUTO(found);
	g_autoptr(GPtrArray) known = find_known(previous, layout);
	GString *text = leave_out(json, len, layout, known);
	struct set *s = set_parse_accepted(text->str, text->len, &found);

	g_string_free(text, TRUE);
	if (s)
		merge_known(s, known);
	return s;
}

struct set *set_parse_after(const struct set *previous, const char *json, size_t len,
			    struct findings *found)
{
	g_autoptr(GArray) routes = g_array_new(FALSE, FALSE, sizeof(struct span));
	struct layout layout = { .routes = routes };
	bool is_laid_out = find_routes(json, len, &layout);
	struct set *s = NULL;

	if (is_laid_out && previous)
		s = parse_rest(previous, json, len, &layout);
	if (!s)
		s = set_parse_accepted(json, len, found);
	for (guint i = 0; s && is_laid_out && i < s->routes->len; i++)
		set_text_hash(g_ptr_array_index(s->routes, i),
			      &g_array_index(routes, struct span, i));
	return s;
}
