/* Prints the log lines of one request from several processes, sorted by time. */
#include "cmd/cmd.h"

#include "lib/json_text.h"
#include "lib/types.h"

#include <argtable2.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#define FILES_MAX 4096

/* A log line that refers to the request. */
struct log_line {
	char *time;
	char *file;
	char *text;
	guint read_order; /* position in which it was read */
};

static void log_line_free(gpointer p)
{
	struct log_line *l = p;

	g_free(l->time);
	g_free(l->file);
	g_free(l->text);
	g_free(l);
}

static gint by_time(gconstpointer a, gconstpointer b)
{
	const struct log_line *x = *(const struct log_line *const *)a;
	const struct log_line *y = *(const struct log_line *const *)b;
	int diff = strcmp(x->time, y->time);

	if (diff)
		return diff;
	return x->read_order < y->read_order ? -1 : x->read_order > y->read_order;
}

static bool has_value(json_t *obj, const char *key, const char *id)
{
	const char *value = json_string_value(json_object_get(obj, key));

	return value && !strcmp(value, id);
}

/*
 * Returns a JSON log line as "EVENT key=value ...", or NULL when it does not refer to the request.
 * Sets TIME to its timestamp.
 */
static char *format_json_line(json_t *obj, const char *id, char **time)
{
	GString *out;
	const char *key;
	json_t *value;

	if (!has_value(obj, "request", id) && !has_value(obj, "call", id))
		return NULL;
	out = g_string_new(json_string_value(json_object_get(obj, "event")));
	json_object_foreach(obj, key, value)
	{
		const char *text = json_string_value(value);

		if (text && *text && strcmp(key, "time") && strcmp(key, "event"))
			g_string_append_printf(out, " %s=%s", key, text);
	}
	*time = g_strdup(json_string_value(json_object_get(obj, "time")));
	return g_string_free(out, FALSE);
}

/* Does the same for a text log line, "TIME LEVEL MESSAGE KEY=VALUE ...". */
static char *format_text_line(const char *log_line, const char *id, char **time)
{
	g_autofree char *request = g_strdup_printf(" request=%s", id);
	g_autofree char *call = g_strdup_printf(" call=%s", id);
	const char *space = strchr(log_line, ' ');

	if (!space || (!strstr(log_line, request) && !strstr(log_line, call)))
		return NULL;
	*time = g_strndup(log_line, (gsize)(space - log_line));
	return g_strdup(space + 1);
}

static void add_line(GPtrArray *found, const char *file, const char *text, const char *id)
{
	/* Skip text before the object, such as a process name. */
	const char *brace = strchr(text, '{');
	json_error_t error;
	json_t *obj =
		brace ? json_text_load(brace, strlen(brace), JSON_DISABLE_EOF_CHECK, &error) : NULL;
	char *time = NULL;
	char *formatted =
		obj ? format_json_line(obj, id, &time) : format_text_line(text, id, &time);
	struct log_line *l;

	json_decref(obj);
	if (!formatted)
		return;
	l = g_new0(struct log_line, 1);
	l->time = time ? time : g_strdup("");
	l->file = g_path_get_basename(file);
	l->text = formatted;
	l->read_order = found->len;
	g_ptr_array_add(found, l);
}

static int add_file(GPtrArray *found, const char *path, const char *id)
{
	g_autoptr(GError) error = NULL;
	g_autofree char *text = NULL;
	g_auto(GStrv) lines = NULL;

	if (!g_file_get_contents(path, &text, NULL, &error)) {
		fprintf(stderr, "%s\n", error->message);
		return CMD_USAGE;
	}
	lines = g_strsplit(text, "\n", -1);
	for (char **l = lines; *l; l++)
		if (strstr(*l, id))
			add_line(found, path, *l, id);
	return CMD_DONE;
}

int cmd_explain(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_str *id = arg_str1(NULL, NULL, "ID", "the id of a request or a call");
	struct arg_file *files = arg_filen(NULL, NULL, "FILE", 1, FILES_MAX, "logs");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, id, files, end };
	int code =
		cmd_parse(argc, argv, table, "Print the log lines of one request, sorted by time.");
	g_autoptr(GPtrArray) found = g_ptr_array_new_with_free_func(log_line_free);

	if (code >= 0)
		return code;
	for (int i = 0; i < files->count; i++) {
		code = add_file(found, files->filename[i], id->sval[0]);
		if (code > 0)
			return code;
	}
	g_ptr_array_sort(found, by_time);
	for (guint i = 0; i < found->len; i++) {
		const struct log_line *l = g_ptr_array_index(found, i);

		printf("%s %s: %s\n", l->time, l->file, l->text);
	}
	if (found->len)
		return CMD_DONE;
	fprintf(stderr, "no log line refers to %s\n", id->sval[0]);
	return CMD_REFUSED;
}
