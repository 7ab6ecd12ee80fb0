/*
 * settings_impl - what the parts of the settings' reader share
 *
 * SOURCE lib/settings.c (file and defaults), lib/settings_value.c (single values),
 * lib/settings_keys.c (the keys), lib/settings_check.c (what must fit together),
 * lib/settings_show.c (back to text)
 */
#ifndef SETTINGS_IMPL_H
#define SETTINGS_IMPL_H

#include "lib/settings.h"

#include <glib.h>

#define SETTINGS_MEMBERS_MAX 32

/* State of one load. */
struct loader {
	struct settings *s;
	struct findings *found;
	const char *path;
	int line;
	GHashTable *seen; /* "section" and "section.key" -> line */
};

/* settings_location - FILE:LINE, to be freed. */
char *settings_location(const struct loader *l, int line);

/* settings_report - a finding at the line that is read now. */
void settings_report(struct loader *l, const char *text, const char *value);

/* Single values; each reports what is wrong. Strings are to be freed. */
u64 settings_number(struct loader *l, const char *value, u64 min, u64 max);
u16 settings_port(struct loader *l, const char *value);
char *settings_text(struct loader *l, const char *value);
char *settings_name(struct loader *l, const char *value);
char *settings_address(struct loader *l, const char *value);
void settings_endpoint(struct loader *l, const char *v, struct endpoint *out);

/* settings_decimal - a number from MIN to MAX, which may have a fraction, times SCALE. */
u64 settings_decimal(struct loader *l, const char *value, u64 min, u64 max, u64 scale);

/* settings_enum - the place of V in NAMES. */
int settings_enum(struct loader *l, const char *v, const char *const *names, int n);

/* settings_each_item - calls ADD for each part of a list; empty parts are passed over. */
void settings_each_item(struct loader *l, const char *v,
			void (*add)(struct loader *l, const char *part));

/* settings_parse_number - a whole number from MIN to MAX, without a report. */
bool settings_parse_number(const char *text, u64 min, u64 max, u64 *out);

bool settings_has_section(const char *section);

bool settings_has_key(const char *section, const char *name);

/* settings_set_value - takes the value of a key that there is. */
void settings_set_value(struct loader *l, const char *section, const char *name, const char *value);

/*
 * settings_foreach - calls FN with each key of the roles that are on, and its value as in a
 * file, which FN takes.
 */
void settings_foreach(const struct settings *s,
		      void (*fn)(void *arg, const char *section, const char *name, char *value),
		      void *arg);

/* settings_check - what must be there, and what must fit together. */
void settings_check(struct loader *l);

#endif
