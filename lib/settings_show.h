/*
 * settings_show - the settings in force as text, and what a new file would change
 *
 * SOURCE lib/settings_show.c, lib/settings_keys.c (the keys)
 */
#ifndef SETTINGS_SHOW_H
#define SETTINGS_SHOW_H

#include "lib/settings.h"

#include <glib.h>

/* When a changed value takes effect. */
enum settings_effect {
	SETTINGS_ON_RELOAD, /* as soon as it is read again */
	SETTINGS_ON_RESTART,
	SETTINGS_BLOCKS_RELOAD, /* with a start only, and what is read with it is refused until then
				 */
};

struct settings_line {
	char *key; /* "section.key" */
	char *value; /* as in a file; "" when absent */
	enum settings_effect when;
};

/* settings_lines - all keys of the roles that are on (struct settings_line), to be freed. */
GPtrArray *settings_lines(const struct settings *s);

/* settings_changed - the lines of NEXT that differ from those of NOW, to be freed. */
GPtrArray *settings_changed(const struct settings *now, const struct settings *next);

#endif
