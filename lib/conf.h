/*
 * conf - the lines of an INI file, read with inih
 *
 * conf_read takes the whole file, reports every line that is too long, is not
 * text or is not INI, and calls back for each section header and each value.
 * An indented line continues the value before it, as a further call of value.
 *
 * SOURCE lib/conf.c
 */
#ifndef CONF_H
#define CONF_H

#include "lib/findings.h"

#define CONF_LINE_MAX_BYTES 4000
#define CONF_FILE_MAX_BYTES (256 * 1024)

struct conf_ops {
	void (*section)(void *arg, const char *section, int line);
	void (*value)(void *arg, const char *section, const char *name, const char *value,
		      int line);
};

/* conf_read - 0 when the file could be read as text, else ERR_INVAL; problems go to FOUND. */
int conf_read(const char *path, const struct conf_ops *ops, void *arg, struct findings *found);

#endif
