#include "lib/log.h"

#include "lib/err.h"

#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

static pthread_mutex_t log_lock = PTHREAD_MUTEX_INITIALIZER;
static FILE *log_file;
static char *log_path;
static enum log_level log_max = LOG_INFO;
static enum log_format log_fmt = LOG_TEXT;
static volatile sig_atomic_t log_must_reopen;

static const char *const level_names[] = { "error", "warn", "info", "debug" };

int log_open(const char *path, enum log_level level, enum log_format format)
{
	FILE *file = path ? fopen(path, "a") : stderr;

	if (!file)
		return ERR_IO;
	pthread_mutex_lock(&log_lock);
	if (log_file && log_file != stderr)
		fclose(log_file);
	if (path != log_path) {
		g_free(log_path);
		log_path = g_strdup(path);
	}
	log_file = file;
	log_max = level;
	log_fmt = format;
	pthread_mutex_unlock(&log_lock);
	return 0;
}

void log_reopen(void)
{
	log_must_reopen = 1;
}

/* Called with log_lock held. An unwritable path keeps the old file. */
static void reopen(void)
{
	FILE *file;

	log_must_reopen = 0;
	if (!log_path)
		return;
	file = fopen(log_path, "a");
	if (!file)
		return;
	fclose(log_file);
	log_file = file;
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

static char *render_json(const char *time, enum log_level level, const char *message, va_list ap)
{
	json_t *line = json_pack("{s:s, s:s, s:s}", "time", time, "level", level_names[level],
				 "event", message);
	const char *key;
	char *text;

	while ((key = va_arg(ap, const char *)))
		json_object_set_new(line, key, json_string(va_arg(ap, const char *)));
	text = json_dumps(line, JSON_COMPACT);
	json_decref(line);
	return text;
}

static char *render_text(const char *time, enum log_level level, const char *message, va_list ap)
{
	GString *line = g_string_new(NULL);
	const char *key;

	g_string_printf(line, "%s %s %s", time, level_names[level], message);
	while ((key = va_arg(ap, const char *)))
		g_string_append_printf(line, " %s=%s", key, va_arg(ap, const char *));
	for (char *p = line->str; *p; p++)
		if (*p == '\n' || *p == '\r')
			*p = ' ';
	return g_string_free(line, FALSE);
}

void log_event(enum log_level level, const char *message, ...)
{
	char time[64];
	char *line;
	va_list ap;

	if (level > log_max)
		return;
	format_time(time, sizeof(time));
	va_start(ap, message);
	if (log_fmt == LOG_JSON)
		line = render_json(time, level, message, ap);
	else
		line = render_text(time, level, message, ap);
	va_end(ap);
	pthread_mutex_lock(&log_lock);
	if (log_must_reopen)
		reopen();
	if (!log_file)
		log_file = stderr;
	fprintf(log_file, "%s\n", line ? line : message);
	fflush(log_file);
	pthread_mutex_unlock(&log_lock);
	free(line);
}

const char *log_u64(u64 v)
{
	static __thread char ring[4][24];
	static __thread unsigned int next;
	char *out = ring[next++ % 4];

	snprintf(out, sizeof(ring[0]), "%llu", (unsigned long long)v);
	return out;
}
