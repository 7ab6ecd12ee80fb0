/*
 * log - structured logging, one event per line, as text or JSON
 *
 * log_event takes a message and then pairs of strings, key and value, terminated
 * by NULL:  log_event(LOG_INFO, "link up", "peer", id, NULL);
 * Text lines are "TIME LEVEL MESSAGE KEY=VALUE ..."; a value with blanks, quotes
 * or control characters is quoted and escaped, so that no input can forge a line
 * or a key. Invalid UTF-8 is replaced.
 *
 * An event about a request has the key "request". Unless the level is debug, only
 * requests that failed or are not idempotent and a sample of the others are logged.
 * The sample is chosen by the id that the caller gave, so that all processes log the same
 * requests; a request without one is in no sample.
 *
 * Writing never blocks: a line that cannot be written at once is dropped and counted
 * by log-lost. Events are rate limited by message, so that a flood of one kind does not
 * hide another; a separate line reports how many events were suppressed.
 *
 * SOURCE lib/log.c
 */
#ifndef LOG_H
#define LOG_H

#include "lib/types.h"

enum log_level { LOG_ERROR, LOG_WARN, LOG_INFO, LOG_DEBUG };
enum log_format { LOG_TEXT, LOG_JSON };

/* Limit for each kind of event: a line costs a node about as much as a small frame. */
#define LOG_RATE_PER_S 20
/* One in this many requests that are idempotent and succeed is logged. */
#define LOG_SAMPLE_RATE 64

/*
 * log_open - directs the log to PATH, or to standard output if PATH is NULL. Until the
 * first call the log goes to standard error. Returns 0 or ERR_IO.
 */
int log_open(const char *path, enum log_level level, enum log_format format);

/*
 * log_reopen - reopens the log file immediately rather than at the next event, since an
 * idle process must not keep a rotated file open. Not async-signal-safe. Returns 0, or
 * ERR_IO if the old file stays in use.
 */
int log_reopen(void);

void log_set_level(enum log_level level);

/* log_is_on - returns whether events of LEVEL are written, before their values are built. */
bool log_is_on(enum log_level level);

/*
 * log_should_write - returns whether to log an event of KIND about REQUEST (the id that the
 * caller gave, may be NULL); called before its values are built. IS_IMPORTANT is set for requests
 * that failed or are not idempotent. An event that exceeds the rate limit of KIND is counted as
 * suppressed.
 */
bool log_should_write(const char *kind, const char *request, bool is_important);

void log_event(enum log_level level, const char *message, ...) __attribute__((sentinel));

/* log_u64 - formats V as a value, in a per-thread ring of 16 buffers. */
const char *log_u64(u64 v);

#endif
