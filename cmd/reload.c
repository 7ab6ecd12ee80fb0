/* Reloads the settings file of a running process. */
#include "cmd/reload.h"

#include "lib/log.h"
#include "lib/settings_show.h"

static void log_findings(struct findings *found)
{
	for (guint i = 0; i < findings_listed(found); i++)
		log_event(LOG_ERROR, "settings not taken: not valid", "place",
			  findings_at(found, i)->place, "text", findings_at(found, i)->text, NULL);
}

/*
 * Returns whether any of the changed keys blocks a reload, and logs these. Such a file is rejected
 * as a whole, so that the same file has the same effect in each process.
 */
static bool has_blocking_key(const GPtrArray *lines)
{
	bool has_key = false;

	for (guint i = 0; i < lines->len; i++) {
		const struct settings_line *l = g_ptr_array_index(lines, i);

		if (l->effect != SETTINGS_BLOCKS_RELOAD)
			continue;
		has_key = true;
		log_event(LOG_ERROR, "settings not taken: a key takes a start to change", "key",
			  l->key, "value", l->value, NULL);
	}
	return has_key;
}

static void log_applied(const GPtrArray *lines)
{
	for (guint i = 0; i < lines->len; i++) {
		const struct settings_line *l = g_ptr_array_index(lines, i);

		log_event(LOG_INFO, "setting changed", "key", l->key, "value", l->value, "from",
			  l->effect == SETTINGS_ON_RELOAD ? "now" : "the next start", NULL);
	}
	log_event(LOG_INFO, "settings taken", "changed", log_u64(lines->len), NULL);
}

struct settings *reload_settings(struct module_registry *modules, struct settings *current,
				 const char *path)
{
	struct settings *next = g_new0(struct settings, 1);
	g_autoptr(GPtrArray) lines = NULL;
	FINDINGS_AUTO(found);

	if (settings_load(next, path, &found)) {
		log_findings(&found);
		reload_settings_free(next);
		return current;
	}
	lines = settings_changed(current, next);
	if (has_blocking_key(lines)) {
		reload_settings_free(next);
		return current;
	}
	log_set_level(next->log_level);
	module_reload_all(modules, next);
	log_applied(lines);
	reload_settings_free(current);
	return next;
}

void reload_settings_free(struct settings *s)
{
	settings_clear(s);
	g_free(s);
}
