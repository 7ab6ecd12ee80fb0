/*
 * log - one event a line, as text or as JSON
 *
 * log_event takes a message and then key, value pairs of strings, ended by
 * NULL:  log_event(LOG_INFO, "link up", "peer", id, NULL);
 * Text lines are "TIME LEVEL MESSAGE KEY=VALUE ..."; a value with blanks, quotes
 * or control characters is quoted and escaped, so that no input can begin a line
 * or a key of its own. Bytes that are not UTF-8 are replaced.
 *
 * An event about a request has the key "request". Below level debug those of all
 * requests that failed or may not be repeated are told, and those of a sample of the
 * others, the same requests at all processes.
 *
 * Writing never blocks: a line for which there is no room is counted by log-lost and
 * dropped. Each kind of event, by its message, has a rate of its own, so that a flood
 * of one does not hide another; what was left out is counted in a line of its own.
 *
 * SOURCE lib/log.c
 */
#ifndef LOG_H
#define LOG_H

#include "lib/types.h"

enum log_level { LOG_ERROR, LOG_WARN, LOG_INFO, LOG_DEBUG };
enum log_format { LOG_TEXT, LOG_JSON };

/* Lines a second of one kind of event: each costs a node about as much as a small frame. */
#define LOG_RATE_PER_S 20
/* One in so many requests is told though nothing is wrong with it. */
#define LOG_SAMPLE_RATE 64

/*
 * log_open - write to PATH, or to standard output when PATH is NULL; before that,
 * to standard error. Returns 0 or ERR_IO.
 */
int log_open(const char *path, enum log_level level, enum log_format format);

/*
 * log_reopen - open the path again, at once: an idle process must not hold a
 * rotated file open. Not for signal handlers. Returns 0, or ERR_IO when the old
 * file stays in use.
 */
int log_reopen(void);

/* log_set_level - from now on. */
void log_set_level(enum log_level level);

/* log_is_on - true when events of LEVEL are written; saves making their values. */
bool log_is_on(enum log_level level);

/*
 * log_should_write - whether an event of KIND about REQUEST (may be NULL) is told; asked
 * before its values are made. IS_IMPORTANT is for requests that fail or may not be
 * repeated. What the rate of KIND leaves out is counted.
 */
bool log_should_write(const char *kind, const char *request, bool is_important);

void log_event(enum log_level level, const char *message, ...) __attribute__((sentinel));

/* log_u64 - V as text in a per-thread ring of buffers, for use as a value. */
const char *log_u64(u64 v);

#endif
