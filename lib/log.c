#include "lib/log.h"

#include "lib/clock.h"
#include "lib/ctr.h"
#include "lib/err.h"

#include <errno.h>
#include <glib.h>
#include <limits.h>
#include <jansson.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>

/* A line up to this length is written to a pipe as a whole, or not at all. */
#define LINE_MAX_BYTES PIPE_BUF
#define CATEGORIES_MAX 256

/* What one kind of event may still write. */
struct category {
	char *message;
	double tokens;
	u64 filled_us;
	u64 dropped;
};

static GHashTable *categories; /* message -> struct category */
static pthread_mutex_t log_lock = PTHREAD_MUTEX_INITIALIZER;
static FILE *log_file;
static char *log_path;
static enum log_level log_max = LOG_INFO;
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
	log_max = level;
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
	log_max = level;
}

bool log_is_on(enum log_level level)
{
	return level <= log_max;
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

/* JSON and terminals take UTF-8 only. */
static char *clean(const char *value)
{
	return g_utf8_make_valid(value ? value : "", -1);
}

/* A field that has the name of an earlier one gets another name, so that both are kept. */
static void add_json(json_t *line, const char *key, const char *value)
{
	g_autofree char *text = clean(value);
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
	g_autofree char *text = clean(value);

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
	g_autofree char *text = clean(message);
	const char *key;

	g_string_printf(line, "%s %s ", time, level_names[level]);
	add_escaped(line, text);
	while ((key = va_arg(ap, const char *)))
		add_text(line, key, va_arg(ap, const char *));
	return g_string_free(line, FALSE);
}

/* True when a line can be written to FD without waiting for whoever reads it. */
static bool has_room(int fd)
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
	if (!has_room(fd) || write(fd, line, len + 1) != (ssize_t)(len + 1))
		ctr_inc(CTR_LOG_LOST);
}

static void category_free(gpointer p)
{
	struct category *c = p;

	g_free(c->message);
	g_free(c);
}

static struct category *find_category(const char *message)
{
	struct category *c;

	if (!categories)
		categories = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, category_free);
	c = g_hash_table_lookup(categories, message);
	if (c)
		return c;
	if (g_hash_table_size(categories) >= CATEGORIES_MAX)
		g_hash_table_remove_all(categories);
	c = g_new0(struct category, 1);
	c->message = g_strdup(message);
	c->tokens = LOG_RATE_PER_S;
	c->filled_us = clock_us(CLOCK_BOOTTIME);
	g_hash_table_insert(categories, c->message, c);
	return c;
}

static void refill(struct category *c)
{
	u64 now = clock_us(CLOCK_BOOTTIME);

	c->tokens += (double)(now - c->filled_us) * LOG_RATE_PER_S / (double)US_PER_S;
	c->tokens = MIN(c->tokens, LOG_RATE_PER_S);
	c->filled_us = now;
}

/* Takes one line of the rate. *DROPPED is how many were left out since the last one. */
static bool take_rate(const char *message, u64 *dropped)
{
	struct category *c = find_category(message);

	refill(c);
	*dropped = c->dropped;
	if (c->tokens < 1) {
		c->dropped++;
		return false;
	}
	c->tokens -= 1;
	c->dropped = 0;
	return true;
}

/* Without a line left, what would have been one is counted. */
static bool has_rate(const char *kind)
{
	struct category *c;
	bool ret;

	pthread_mutex_lock(&log_lock);
	c = find_category(kind);
	refill(c);
	ret = c->tokens >= 1;
	c->dropped += !ret;
	pthread_mutex_unlock(&log_lock);
	return ret;
}

bool log_should_write(const char *kind, const char *request, bool is_important)
{
	if (log_max >= LOG_DEBUG)
		return true;
	if (log_max < LOG_INFO)
		return false;
	if (!is_important &&
	    (!request || XXH64(request, strlen(request), 0) % LOG_SAMPLE_RATE != 0))
		return false;
	return has_rate(kind);
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
	g_autofree char *line = render_one(time, LOG_WARN, "log lines left out", "kind", message,
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
	if (log_max < LOG_DEBUG && !take_rate(message, &dropped)) {
		pthread_mutex_unlock(&log_lock);
		return;
	}
	format_time(time, sizeof(time));
	va_start(ap, message);
	line = render(time, level, message, ap);
	va_end(ap);
	if (log_max < LOG_DEBUG && dropped)
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
