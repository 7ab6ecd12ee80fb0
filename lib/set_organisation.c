/* Organisations of a set: their keys, priorities and limits. */
#include "lib/set_impl.h"

#include "lib/res.h"

#include <string.h>

#define ORGANISATIONS_MAX 100000
#define KEYS_MAX 64
#define KEY_MAX_BYTES 256

struct set_digest set_digest_of_key(const char *key)
{
	g_autofree char *sum = g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);
	struct set_digest digest;

	g_strlcpy(digest.text, sum, sizeof(digest.text));
	return digest;
}

struct set_organisation *set_organisation_new(void)
{
	struct set_organisation *o = g_new0(struct set_organisation, 1);

	o->keys = g_array_new(FALSE, TRUE, sizeof(struct set_digest));
	return o;
}

void set_organisation_free(struct set_organisation *o)
{
	g_array_unref(o->keys);
	g_free(o->name);
	g_free(o);
}

static void organisation_free(gpointer p)
{
	set_organisation_free(p);
}

/* A key is a header's value, so it has visible characters only. */
static bool is_key(const char *text)
{
	size_t len = text ? strlen(text) : 0;

	if (!len || len > KEY_MAX_BYTES)
		return false;
	for (const char *p = text; *p; p++)
		if (!g_ascii_isgraph(*p))
			return false;
	return true;
}

/* Adds the key to O. KEYS has the digests of all keys so far. */
static void read_key(struct set_organisation *o, const char *text, GHashTable *keys,
		     struct set_location at, struct findings *found)
{
	struct set_digest digest;

	if (!is_key(text)) {
		set_report(found, at, "keys",
			   "a key is empty, too long, not a string, or has invalid characters");
		return;
	}
	digest = set_digest_of_key(text);
	if (!g_hash_table_add(keys, g_strdup(digest.text)))
		set_report(found, at, "keys", "a key is used twice");
	g_array_append_val(o->keys, digest);
}

static void read_keys(struct set_organisation *o, json_t *list, GHashTable *keys,
		      struct set_location at, struct findings *found)
{
	json_t *one;
	size_t i;

	if (!list || json_is_null(list))
		return;
	if (!json_is_array(list) || json_array_size(list) > KEYS_MAX) {
		set_report(found, at, "keys", "not a list of keys, or too many");
		return;
	}
	json_array_foreach(list, i, one)
	{
		read_key(o, json_string_value(one), keys, at, found);
	}
}

static void read_priority(struct set_organisation *o, json_t *obj, struct set_location at,
			  struct findings *found)
{
	json_t *value = json_object_get(obj, "priority");

	o->has_priority = value && !json_is_null(value);
	if (!o->has_priority)
		return;
	if (json_is_integer(value) && json_integer_value(value) >= 0 &&
	    json_integer_value(value) <= INT32_MAX)
		o->priority = (u32)json_integer_value(value);
	else
		set_report(found, at, "priority", "not a whole number from 0");
}

static struct set_organisation *read_organisation(json_t *obj, size_t i, GHashTable *names,
						  GHashTable *keys, struct findings *found)
{
	struct set_organisation *o = set_organisation_new();
	struct set_location at = { "organisations", i };

	o->name = set_get_text(obj, at, "name", found);
	if (*o->name && !res_is_valid_name(o->name))
		set_report(found, at, "name", "not 1 to 63 letters, digits, '-' and '_'");
	if (*o->name && !g_hash_table_add(names, g_strdup(o->name)))
		set_report(found, at, "name", "named twice");
	read_keys(o, json_object_get(obj, "keys"), keys, at, found);
	read_priority(o, obj, at, found);
	o->rate_milli_per_s = set_get_milli(obj, at, "rate_per_s", SET_PER_S_MAX, found);
	o->burst = set_get_milli(obj, at, "burst", SET_PER_S_MAX, found) / MILLI;
	return o;
}

GPtrArray *set_read_organisations(json_t *list, struct findings *found)
{
	g_autoptr(GHashTable) names = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_autoptr(GHashTable) keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GPtrArray *out;
	json_t *one;
	size_t i;

	if (!list || json_is_null(list))
		return NULL;
	out = g_ptr_array_new_with_free_func(organisation_free);
	if (!json_is_array(list) || json_array_size(list) > ORGANISATIONS_MAX) {
		findings_add(found, "$.organisations", "not a list of organisations, or too many");
		return out;
	}
	json_array_foreach(list, i, one)
	{
		g_ptr_array_add(out, read_organisation(one, i, names, keys, found));
	}
	return out;
}
