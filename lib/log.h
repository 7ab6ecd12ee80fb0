/*
 * log - one event a line, as text or as JSON
 *
 * log_event takes a message and then key, value pairs of strings, ended by
 * NULL:  log_event(LOG_INFO, "link up", "peer", id, NULL);
 *
 * SOURCE lib/log.c
 */
#ifndef LOG_H
#define LOG_H

#include "lib/types.h"

enum log_level { LOG_ERROR, LOG_WARN, LOG_INFO, LOG_DEBUG };
enum log_format { LOG_TEXT, LOG_JSON };

/*
 * log_open - write to PATH, or to standard error when PATH is NULL.
 * Returns 0 or ERR_IO.
 */
int log_open(const char *path, enum log_level level, enum log_format format);

/* log_reopen - open the path again; async-signal-safe flag, acted on at the next event. */
void log_reopen(void);

void log_event(enum log_level level, const char *message, ...) __attribute__((sentinel));

/* log_u64 - V as text in a per-thread ring of buffers, for use as a value. */
const char *log_u64(u64 v);

#endif
