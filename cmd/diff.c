#include "cmd/diff.h"

#include "cmd/client.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>

static void diff_values(const char *path, json_t *old, json_t *new, FILE *out);

static char *json_text(json_t *value)
{
	char *text = value ? json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY) : NULL;
	char *copy = g_strdup(text ? text : "(none)");

	free(text);
	return copy;
}

static void diff_objects(const char *path, json_t *old, json_t *new, FILE *out)
{
	const char *key;
	json_t *value;

	json_object_foreach(old, key, value)
	{
		g_autofree char *member_path = g_strdup_printf("%s.%s", path, key);

		diff_values(member_path, value, json_object_get(new, key), out);
	}
	json_object_foreach(new, key, value)
	{
		g_autofree char *member_path = g_strdup_printf("%s.%s", path, key);

		if (!json_object_get(old, key))
			diff_values(member_path, NULL, value, out);
	}
}

static void diff_arrays(const char *path, json_t *old, json_t *new, FILE *out)
{
	size_t n = MAX(json_array_size(old), json_array_size(new));

	for (size_t i = 0; i < n; i++) {
		g_autofree char *item_path = g_strdup_printf("%s[%zu]", path, i);

		diff_values(item_path, json_array_get(old, i), json_array_get(new, i), out);
	}
}

static void diff_values(const char *path, json_t *old, json_t *new, FILE *out)
{
	g_autofree char *old_text = NULL;
	g_autofree char *new_text = NULL;

	if (json_equal(old, new))
		return;
	if (json_is_object(old) && json_is_object(new)) {
		diff_objects(path, old, new, out);
		return;
	}
	if (json_is_array(old) && json_is_array(new)) {
		diff_arrays(path, old, new, out);
		return;
	}
	old_text = json_text(old);
	new_text = json_text(new);
	fprintf(out, "  %s: %s -> %s\n", path, old_text, new_text);
}

void diff_print(const char *old_json, const char *new_json, FILE *out)
{
	json_t *old = client_load(old_json);
	json_t *new = client_load(new_json);

	if (old && new)
		diff_values("$", old, new, out);
	json_decref(old);
	json_decref(new);
}
