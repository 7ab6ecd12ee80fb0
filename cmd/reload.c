/* A settings file that is read again while the process serves. */
#include "cmd/reload.h"

#include "lib/log.h"
#include "lib/settings_show.h"

static void log_findings(struct findings *found)
{
	for (guint i = 0; i < find_count(found); i++)
		log_event(LOG_ERROR, "settings not taken: not valid", "place",
			  find_at(found, i)->place, "text", find_at(found, i)->text, NULL);
}

/* A file is taken whole or not at all, so that it means the same in each process. */
static bool has_fixed(const GPtrArray *lines)
{
	bool is_found = false;

	for (guint i = 0; i < lines->len; i++) {
		const struct settings_line *l = g_ptr_array_index(lines, i);

		if (l->when != SETTINGS_FIXED)
			continue;
		is_found = true;
		log_event(LOG_ERROR, "settings not taken: a key takes a start to change", "key",
			  l->key, "value", l->value, NULL);
	}
	return is_found;
}

static void log_taken(const GPtrArray *lines)
{
	for (guint i = 0; i < lines->len; i++) {
		const struct settings_line *l = g_ptr_array_index(lines, i);

		log_event(LOG_INFO, "setting changed", "key", l->key, "value", l->value, "from",
			  l->when == SETTINGS_NOW ? "now" : "the next start", NULL);
	}
	log_event(LOG_INFO, "settings taken", "changed", log_u64(lines->len), NULL);
}

struct settings *reload_settings(struct module_registry *k, struct settings *now, const char *path)
{
	struct settings *next = g_new0(struct settings, 1);
	g_autoptr(GPtrArray) lines = NULL;
	FIND_AUTO(found);

	if (settings_load(next, path, &found)) {
		log_findings(&found);
		reload_settings_free(next);
		return now;
	}
	lines = settings_changed(now, next);
	if (has_fixed(lines)) {
		reload_settings_free(next);
		return now;
	}
	log_set_level(next->log_level);
	module_reload_all(k, next);
	log_taken(lines);
	reload_settings_free(now);
	return next;
}

void reload_settings_free(struct settings *s)
{
	settings_clear(s);
	g_free(s);
}
