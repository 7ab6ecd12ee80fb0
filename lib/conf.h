/*
 * conf - reads an INI file line by line, with inih
 *
 * conf_read loads the whole file, reports every line that is too long or is not
 * valid INI, and calls back for each section header and each value. A file that is
 * not text is reported and not parsed. An indented line continues the previous value;
 * it causes another call of value.
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

/* conf_read - returns 0 if the file is readable text, else ERR_INVAL; adds problems to FOUND. */
int conf_read(const char *path, const struct conf_ops *ops, void *arg, struct findings *found);

#endif
