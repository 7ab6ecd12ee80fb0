/*
 * settings_impl - declarations shared by the source files of settings
 *
 * SOURCE lib/settings.c (loading, defaults), lib/settings_value.c (parsing of single
 * values), lib/settings_keys.c (the keys), lib/settings_check.c (required keys and
 * consistency), lib/settings_show.c (formatting)
 */
#ifndef SETTINGS_IMPL_H
#define SETTINGS_IMPL_H

#include "lib/settings.h"

#include <glib.h>

#define SETTINGS_MEMBERS_MAX 32

/* State of settings_load. */
struct loader {
	struct settings *s;
	struct findings *found;
	const char *path;
	int line;
	GHashTable *seen; /* "section" and "section.key" -> line */
};

/* settings_location - returns FILE:LINE, to be freed. */
char *settings_location(const struct loader *l, int line);

/* settings_report - adds a finding at the current line. */
void settings_report(struct loader *l, const char *text, const char *value);

/* These parse a single value and report an invalid one. The caller frees strings. */
u64 settings_number(struct loader *l, const char *value, u64 min, u64 max);
u16 settings_port(struct loader *l, const char *value);
char *settings_text(struct loader *l, const char *value);
char *settings_name(struct loader *l, const char *value);
char *settings_address(struct loader *l, const char *value);
void settings_endpoint(struct loader *l, const char *v, struct endpoint *out);

/* settings_decimal - parses a decimal from MIN to MAX; returns it times SCALE, rounded down. */
u64 settings_decimal(struct loader *l, const char *value, u64 min, u64 max, u64 scale);

/* settings_enum - returns the index of V in NAMES; reports an unknown one and returns 0. */
int settings_enum(struct loader *l, const char *v, const char *const *names, int n);

/* settings_each_item - calls ADD for each item of a comma-separated list; skips empty items. */
void settings_each_item(struct loader *l, const char *v,
			void (*add)(struct loader *l, const char *item));

/* settings_parse_number - parses an integer from MIN to MAX; reports nothing. */
bool settings_parse_number(const char *text, u64 min, u64 max, u64 *out);

bool settings_has_section(const char *section);

bool settings_has_key(const char *section, const char *name);

/* settings_set_value - parses and stores the value of a key, which must exist. */
void settings_set_value(struct loader *l, const char *section, const char *name, const char *value);

/*
 * settings_foreach - calls FN for each key of the enabled roles. VALUE is as in a settings
 * file; FN takes ownership of it.
 */
void settings_foreach(const struct settings *s,
		      void (*fn)(void *arg, const char *section, const char *name, char *value),
		      void *arg);

/* settings_check - reports missing keys and inconsistent values. */
void settings_check(struct loader *l);

#endif
