#include "lib/settings_show.h"

#include "lib/settings_impl.h"

#include <string.h>

static const char *const reload_keys[] = {
	"node.control",
	"node.seeds",
	"node.upstream_ttl_ms",
	"node.retry_budget_ratio",
	"node.retry_budget_slack",
	"node.retry_budget_window_s",
	"node.load_asks_per_s",
	"node.key_confirmation_ms",
	"node.probe_budget_per_s",
	"node.probe_budget_bytes_per_s",
	"node.max_body_bytes",
	"node.max_held_bytes",
	"node.max_caller_bytes",
	"node.max_caller_connections",
	"node.caller_stall_s",
	"node.shutdown_grace_s",
	"control.max_held_bytes",
	"control.max_caller_bytes",
	"control.max_caller_connections",
	"control.caller_stall_s",
	"control.shutdown_grace_s",
	"log.level",
};

/* Keys that are read only when the process starts. */
static const char *const restart_keys[] = {
	"control.members", "control.seeds", "control.found", "log.format", "log.file",
};

static bool has(const char *const *keys, size_t n, const char *key)
{
	for (size_t i = 0; i < n; i++)
		if (!strcmp(keys[i], key))
			return true;
	return false;
}

static enum settings_effect effect_of(const char *key)
{
	if (has(reload_keys, G_N_ELEMENTS(reload_keys), key))
		return SETTINGS_ON_RELOAD;
	if (has(restart_keys, G_N_ELEMENTS(restart_keys), key))
		return SETTINGS_ON_RESTART;
	return SETTINGS_BLOCKS_RELOAD;
}

static void line_free(gpointer p)
{
	struct settings_line *l = p;

	g_free(l->key);
	g_free(l->value);
	g_free(l);
}

static void add_line(void *arg, const char *section, const char *name, char *value)
{
	GPtrArray *out = arg;
	struct settings_line *l = g_new0(struct settings_line, 1);

	l->key = g_strconcat(section, ".", name, NULL);
	l->value = value;
	l->effect = effect_of(l->key);
	g_ptr_array_add(out, l);
}

GPtrArray *settings_lines(const struct settings *s)
{
	GPtrArray *out = g_ptr_array_new_with_free_func(line_free);

	settings_foreach(s, add_line, out);
	return out;
}

/* Both have the same keys unless a role is enabled in only one of them. */
GPtrArray *settings_changed(const struct settings *now, const struct settings *next)
{
	g_autoptr(GPtrArray) old = settings_lines(now);
	GPtrArray *lines = settings_lines(next);

	for (guint i = lines->len; i > 0; i--) {
		const struct settings_line *l = g_ptr_array_index(lines, i - 1);

		for (guint k = 0; k < old->len; k++) {
			const struct settings_line *o = g_ptr_array_index(old, k);

			if (strcmp(o->key, l->key) || strcmp(o->value, l->value))
				continue;
			g_ptr_array_remove_index(lines, i - 1);
			break;
		}
	}
	return lines;
}
