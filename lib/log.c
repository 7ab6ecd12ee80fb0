#include "lib/log.h"

#include "lib/ctr.h"
#include "lib/err.h"

#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

static pthread_mutex_t log_lock = PTHREAD_MUTEX_INITIALIZER;
static FILE *log_file;
static char *log_path;
static enum log_level log_max = LOG_INFO;
static enum log_format log_fmt = LOG_TEXT;

static const char *const level_names[] = { "error", "warn", "info", "debug" };

/* Called with log_lock held. */
static void use_file(FILE *file)
{
	if (log_file && log_file != stderr)
		fclose(log_file);
	log_file = file;
}

int log_open(const char *path, enum log_level level, enum log_format format)
{
	FILE *file = path ? fopen(path, "ae") : stderr;

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

static void add_json(json_t *line, const char *key, const char *value)
{
	g_autofree char *text = clean(value);

	json_object_set_new(line, key, json_string(text));
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

static void write_line(const char *line)
{
	bool is_lost;

	pthread_mutex_lock(&log_lock);
	if (!log_file)
		log_file = stderr;
	is_lost = fprintf(log_file, "%s\n", line) < 0;
	is_lost |= fflush(log_file) != 0;
	clearerr(log_file);
	pthread_mutex_unlock(&log_lock);
	if (is_lost)
		ctr_inc(CTR_LOG_LOST);
}

void log_event(enum log_level level, const char *message, ...)
{
	g_autofree char *line = NULL;
	char time[64];
	va_list ap;

	if (!log_is_on(level))
		return;
	format_time(time, sizeof(time));
	va_start(ap, message);
	if (log_fmt == LOG_JSON)
		line = render_json(time, level, message, ap);
	else
		line = render_text(time, level, message, ap);
	va_end(ap);
	write_line(line);
}

const char *log_u64(u64 v)
{
	static __thread char ring[16][24];
	static __thread unsigned int next;
	char *out = ring[next++ % 16];

	snprintf(out, sizeof(ring[0]), "%llu", (unsigned long long)v);
	return out;
}
