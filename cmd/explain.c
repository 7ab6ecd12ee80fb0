/* Puts the log lines of one request from several processes in the order of time. */
#include "cmd/cmd.h"

#include "lib/types.h"

#include <argtable2.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#define FILES_MAX 4096

/* One line of a log that names the request. */
struct line {
	char *time;
	char *file;
	char *text;
	guint order; /* in which it was read */
};

static void line_free(gpointer p)
{
	struct line *l = p;

	g_free(l->time);
	g_free(l->file);
	g_free(l->text);
	g_free(l);
}

static gint by_time(gconstpointer a, gconstpointer b)
{
	const struct line *x = *(const struct line *const *)a;
	const struct line *y = *(const struct line *const *)b;
	int diff = strcmp(x->time, y->time);

	if (diff)
		return diff;
	return x->order < y->order ? -1 : x->order > y->order;
}

static bool names(json_t *obj, const char *key, const char *id)
{
	const char *value = json_string_value(json_object_get(obj, key));

	return value && !strcmp(value, id);
}

/* "EVENT key=value ..." of a line in JSON; NULL when it does not name the request. */
static char *read_json(json_t *obj, const char *id, char **time)
{
	GString *out;
	const char *key;
	json_t *value;

	if (!names(obj, "request", id) && !names(obj, "call", id))
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

/* A line of text: "TIME LEVEL MESSAGE KEY=VALUE ...". */
static char *read_text(const char *line, const char *id, char **time)
{
	g_autofree char *request = g_strdup_printf(" request=%s", id);
	g_autofree char *call = g_strdup_printf(" call=%s", id);
	const char *blank = strchr(line, ' ');

	if (!blank || (!strstr(line, request) && !strstr(line, call)))
		return NULL;
	*time = g_strndup(line, (gsize)(blank - line));
	return g_strdup(blank + 1);
}

static void take_line(GPtrArray *found, const char *file, const char *text, const char *id)
{
	/* What stands before the object, as the name of a process, is passed over. */
	const char *brace = strchr(text, '{');
	json_t *obj = brace ? json_loads(brace, JSON_DISABLE_EOF_CHECK, NULL) : NULL;
	char *time = NULL;
	char *what = obj ? read_json(obj, id, &time) : read_text(text, id, &time);
	struct line *l;

	json_decref(obj);
	if (!what)
		return;
	l = g_new0(struct line, 1);
	l->time = time ? time : g_strdup("");
	l->file = g_path_get_basename(file);
	l->text = what;
	l->order = found->len;
	g_ptr_array_add(found, l);
}

static int take_file(GPtrArray *found, const char *path, const char *id)
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
			take_line(found, path, *l, id);
	return CMD_DONE;
}

int cmd_explain(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this text");
	struct arg_str *id = arg_str1(NULL, NULL, "ID", "the id of a request, or of a call");
	struct arg_file *files = arg_filen(NULL, NULL, "FILE", 1, FILES_MAX, "logs");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, id, files, end };
	int code = cmd_parse(argc, argv, table,
			     "Print the log lines of one request in the order of time.");
	g_autoptr(GPtrArray) found = g_ptr_array_new_with_free_func(line_free);

	if (code >= 0)
		return code;
	for (int i = 0; i < files->count; i++) {
		code = take_file(found, files->filename[i], id->sval[0]);
		if (code > 0)
			return code;
	}
	g_ptr_array_sort(found, by_time);
	for (guint i = 0; i < found->len; i++) {
		const struct line *l = g_ptr_array_index(found, i);

		printf("%s %s: %s\n", l->time, l->file, l->text);
	}
	if (found->len)
		return CMD_DONE;
	fprintf(stderr, "no line names %s\n", id->sval[0]);
	return CMD_REFUSED;
}
