/*
 * settings_show - formats the current settings, and compares them with a new file
 *
 * SOURCE lib/settings_show.c, lib/settings_keys.c (the keys)
 */
#ifndef SETTINGS_SHOW_H
#define SETTINGS_SHOW_H

#include "lib/settings.h"

#include <glib.h>

/* When a changed value takes effect after a reload. */
enum settings_effect {
	SETTINGS_ON_RELOAD, /* immediately */
	SETTINGS_ON_RESTART, /* at the next start; the reload is accepted */
	SETTINGS_BLOCKS_RELOAD, /* only at a start; a reload that changes it is rejected */
};

struct settings_line {
	char *key; /* "SECTION.KEY" */
	char *value; /* as in a settings file; "" if absent */
	enum settings_effect effect;
};

/* settings_lines - returns all keys of the enabled roles (struct settings_line), to be freed. */
GPtrArray *settings_lines(const struct settings *s);

/* settings_changed - returns the lines of NEXT that differ from those of NOW, to be freed. */
GPtrArray *settings_changed(const struct settings *now, const struct settings *next);

#endif
