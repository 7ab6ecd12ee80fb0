#include "lib/log.h"

#include "lib/clock.h"
#include "lib/ctr.h"
#include "lib/err.h"

#include <errno.h>
#include <glib.h>
#include <jansson.h>
#include <limits.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>

/* POSIX guarantees that a write of up to PIPE_BUF bytes to a pipe is atomic. */
#define LINE_MAX_BYTES PIPE_BUF
#define RATE_LIMITS_MAX 256

/* Token bucket that limits the rate of one kind of event. */
struct rate_limit {
	char *message;
	double tokens;
	u64 refilled_us;
	u64 dropped;
};

static GHashTable *rate_limits; /* message -> struct rate_limit */
static pthread_mutex_t log_lock = PTHREAD_MUTEX_INITIALIZER;
static FILE *log_file;
static char *log_path;
static enum log_level log_max_level = LOG_INFO;
static enum log_format log_fmt = LOG_TEXT;

static const char *const level_names[] = { "error", "warn", "info", "debug" };

/* Called with log_lock held. */
static void use_file(FILE *file)
{
	if (log_file && log_file != stderr && log_file != stdout)
		fclose(log_file);
	log_file = file;
}

int log_open(const char *path, enum log_level level, enum log_format format)
{
	FILE *file = path ? fopen(path, "ae") : stdout;

	if (!file)
		return ERR_IO;
	pthread_mutex_lock(&log_lock);
	use_file(file);
	g_free(log_path);
	log_path = g_strdup(path);
	log_max_level = level;
	log_fmt = format;
	pthread_mutex_unlock(&log_lock);
	return 0;
}

int log_reopen(void)
{
	FILE *file = NULL;
	bool has_path;

	pthread_mutex_lock(&log_lock);
	has_path = log_path;
	if (has_path)
		file = fopen(log_path, "ae");
	if (file)
		use_file(file);
	pthread_mutex_unlock(&log_lock);
	return has_path && !file ? ERR_IO : 0;
}

void log_set_level(enum log_level level)
{
	log_max_level = level;
}

bool log_is_on(enum log_level level)
{
	return level <= log_max_level;
}

static void format_time(char *out, size_t size)
{
	struct timespec now;
	struct tm tm;
	char date[32];

	clock_gettime(CLOCK_REALTIME, &now);
	gmtime_r(&now.tv_sec, &tm);
	strftime(date, sizeof(date), "%Y-%m-%dT%H:%M:%S", &tm);
	snprintf(out, size, "%s.%03ldZ", date, now.tv_nsec / 1000000);
}

/* JSON and terminals accept valid UTF-8 only. */
static char *to_utf8(const char *value)
{
	return g_utf8_make_valid(value ? value : "", -1);
}

/* Prefixes a key that is already in use with "field_", so that both values are kept. */
static void add_json(json_t *line, const char *key, const char *value)
{
	g_autofree char *text = to_utf8(value);
	g_autofree char *other =
		json_object_get(line, key) ? g_strdup_printf("field_%s", key) : NULL;

	json_object_set_new(line, other ? other : key, json_string(text));
}

static char *render_json(const char *time, enum log_level level, const char *message, va_list ap)
{
	json_t *line = json_object();
	const char *key;
	char *text;
	char *copy;

	add_json(line, "time", time);
	add_json(line, "level", level_names[level]);
	add_json(line, "event", message);
	while ((key = va_arg(ap, const char *)))
		add_json(line, key, va_arg(ap, const char *));
	text = json_dumps(line, JSON_COMPACT);
	copy = g_strdup(text);
	free(text);
	json_decref(line);
	return copy;
}

static bool is_plain(const char *text)
{
	for (const char *p = text; *p; p++)
		if (g_ascii_iscntrl(*p) || strchr(" \"\\=", *p))
			return false;
	return *text;
}

static void add_escaped(GString *line, const char *text)
{
	for (const char *p = text; *p; p++) {
		if (*p == '"' || *p == '\\')
			g_string_append_printf(line, "\\%c", *p);
		else if (g_ascii_iscntrl(*p))
			g_string_append_printf(line, "\\x%02x", (u8)*p);
		else
			g_string_append_c(line, *p);
	}
}

static void add_text(GString *line, const char *key, const char *value)
{
	g_autofree char *text = to_utf8(value);

	g_string_append_printf(line, " %s=", key);
	if (is_plain(text)) {
		g_string_append(line, text);
		return;
	}
	g_string_append_c(line, '"');
	add_escaped(line, text);
	g_string_append_c(line, '"');
}

static char *render_text(const char *time, enum log_level level, const char *message, va_list ap)
{
	GString *line = g_string_new(NULL);
	g_autofree char *text = to_utf8(message);
	const char *key;

	g_string_printf(line, "%s %s ", time, level_names[level]);
	add_escaped(line, text);
	while ((key = va_arg(ap, const char *)))
		add_text(line, key, va_arg(ap, const char *));
	return g_string_free(line, FALSE);
}

/* Returns whether a line can be written to FD without blocking on its reader. */
static bool is_writable(int fd)
{
	struct pollfd p = { .fd = fd, .events = POLLOUT };

	return poll(&p, 1, 0) == 1 && (p.revents & POLLOUT);
}

/* Called with log_lock held. */
static void write_line(char *line)
{
	size_t len = strlen(line);
	int fd;

	if (!log_file)
		log_file = stderr;
	fd = fileno(log_file);
	len = MIN(len, (size_t)LINE_MAX_BYTES - 1);
	line[len] = '\n';
	if (!is_writable(fd) || write(fd, line, len + 1) != (ssize_t)(len + 1))
		ctr_inc(CTR_LOG_LOST);
}

static void rate_limit_free(gpointer p)
{
	struct rate_limit *limit = p;

	g_free(limit->message);
	g_free(limit);
}

static struct rate_limit *find_rate_limit(const char *message)
{
	struct rate_limit *limit;

	if (!rate_limits)
		rate_limits = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, rate_limit_free);
	limit = g_hash_table_lookup(rate_limits, message);
	if (limit)
		return limit;
	if (g_hash_table_size(rate_limits) >= RATE_LIMITS_MAX)
		g_hash_table_remove_all(rate_limits);
	limit = g_new0(struct rate_limit, 1);
	limit->message = g_strdup(message);
	limit->tokens = LOG_RATE_PER_S;
	limit->refilled_us = clock_us(CLOCK_BOOTTIME);
	g_hash_table_insert(rate_limits, limit->message, limit);
	return limit;
}

static void refill(struct rate_limit *limit)
{
	u64 now = clock_us(CLOCK_BOOTTIME);

	limit->tokens += (double)(now - limit->refilled_us) * LOG_RATE_PER_S / (double)US_PER_S;
	limit->tokens = MIN(limit->tokens, LOG_RATE_PER_S);
	limit->refilled_us = now;
}

/* Takes a token for one line. Sets *DROPPED to the lines suppressed since the last one written. */
static bool take_token(const char *message, u64 *dropped)
{
	struct rate_limit *limit = find_rate_limit(message);

	refill(limit);
	*dropped = limit->dropped;
	if (limit->tokens < 1) {
		limit->dropped++;
		return false;
	}
	limit->tokens -= 1;
	limit->dropped = 0;
	return true;
}

/* Returns whether KIND has a token left, without taking it; if not, counts a suppressed line. */
static bool has_token(const char *kind)
{
	struct rate_limit *limit;
	bool ret;

	pthread_mutex_lock(&log_lock);
	limit = find_rate_limit(kind);
	refill(limit);
	ret = limit->tokens >= 1;
	limit->dropped += !ret;
	pthread_mutex_unlock(&log_lock);
	return ret;
}

bool log_should_write(const char *kind, const char *request, bool is_important)
{
	if (log_max_level >= LOG_DEBUG)
		return true;
	if (log_max_level < LOG_INFO)
		return false;
	if (!is_important &&
	    (!request || XXH64(request, strlen(request), 0) % LOG_SAMPLE_RATE != 0))
		return false;
	return has_token(kind);
}

static char *render(const char *time, enum log_level level, const char *message, va_list ap)
{
	return log_fmt == LOG_JSON ? render_json(time, level, message, ap) :
				     render_text(time, level, message, ap);
}

static char *render_one(const char *time, enum log_level level, const char *message, ...)
{
	va_list ap;
	char *line;

	va_start(ap, message);
	line = render(time, level, message, ap);
	va_end(ap);
	return line;
}

static void write_dropped(const char *time, const char *message, u64 dropped)
{
	g_autofree char *line = render_one(time, LOG_WARN, "log lines suppressed", "kind", message,
					   "count", log_u64(dropped), NULL);

	write_line(line);
}

void log_event(enum log_level level, const char *message, ...)
{
	g_autofree char *line = NULL;
	char time[64];
	u64 dropped = 0;
	va_list ap;

	if (!log_is_on(level))
		return;
	pthread_mutex_lock(&log_lock);
	if (log_max_level < LOG_DEBUG && !take_token(message, &dropped)) {
		pthread_mutex_unlock(&log_lock);
		return;
	}
	format_time(time, sizeof(time));
	va_start(ap, message);
	line = render(time, level, message, ap);
	va_end(ap);
	if (log_max_level < LOG_DEBUG && dropped)
		write_dropped(time, message, dropped);
	write_line(line);
	pthread_mutex_unlock(&log_lock);
}

const char *log_u64(u64 v)
{
	static __thread char ring[16][24];
	static __thread unsigned int next;
	char *out = ring[next++ % 16];

	snprintf(out, sizeof(ring[0]), "%llu", (unsigned long long)v);
	return out;
}
