#include "lib/conf.h"

#include "lib/err.h"

#include <ini.h>
#include <string.h>

/* Stops after this many syntax errors: a file with more is not an INI file. */
#define BAD_LINES_MAX 100

struct reader {
	const char *path;
	GStrv lines;
	int line; /* number of the line that inih is parsing, from 1 */
	const struct conf_ops *ops;
	void *arg;
	struct findings *found;
};

static void report_line(struct reader *r, int line, const char *text)
{
	g_autofree char *at = g_strdup_printf("%s:%d", r->path, line);

	findings_add(r->found, at, "%s", text);
}

/* Passes the next line to inih; an ini_reader, with the semantics of fgets. */
static char *next_line(char *out, int size, void *arg)
{
	struct reader *r = arg;
	const char *text = r->lines[r->line];

	if (!text)
		return NULL;
	r->line++;
	g_snprintf(out, (gulong)size, "%s\n", text);
	return out;
}

static int ignore_value(void *arg, const char *section, const char *name, const char *value)
{
	(void)arg;
	(void)section;
	(void)name;
	(void)value;
	return 1;
}

/* inih does not pass the line number to its handler, so the reader tracks it. */
static int on_value(void *arg, const char *section, const char *name, const char *value)
{
	struct reader *r = arg;

	r->ops->value(r->arg, section, name, value, r->line);
	return 1;
}

/* inih does not report section headers, and a section may be empty, so they are parsed here. */
static char *next_line_with_sections(char *out, int size, void *arg)
{
	struct reader *r = arg;
	char *line = next_line(out, size, arg);
	const char *end = line && *line == '[' ? strchr(line, ']') : NULL;

	if (end) {
		g_autofree char *name = g_strndup(line + 1, (gsize)(end - line - 1));

		r->ops->section(r->arg, name, r->line);
	}
	return line;
}

static void blank_line(struct reader *r, int line)
{
	r->lines[line - 1][0] = 0;
}

static void check_line(struct reader *r, int line)
{
	const char *text = r->lines[line - 1];

	if (strlen(text) > CONF_LINE_MAX_BYTES)
		report_line(r, line,
			    "the line is longer than " G_STRINGIFY(CONF_LINE_MAX_BYTES) " bytes");
	else if (text[0] != '[' && text[strspn(text, " \t")] == '[')
		report_line(r, line, "a section header must not be indented");
	else
		return;
	blank_line(r, line);
}

/* inih returns only the first bad line. Reports and blanks that line, then parses again. */
static void check_syntax(struct reader *r)
{
	for (int i = 0; i < BAD_LINES_MAX; i++) {
		int line;

		r->line = 0;
		line = ini_parse_stream(next_line, r, ignore_value, NULL);
		if (line <= 0)
			return;
		report_line(r, line, "neither a section, a key with a value nor a comment");
		blank_line(r, line);
	}
}

static void set_up_inih(void)
{
	ini_use_stack = false;
	ini_allow_realloc = false;
	ini_max_line = CONF_LINE_MAX_BYTES + 3;
	ini_initial_alloc = CONF_LINE_MAX_BYTES + 3;
}

static int line_at(const char *text, const char *at)
{
	int line = 1;

	for (const char *p = text; p < at; p++)
		line += *p == '\n';
	return line;
}

/* Returns the contents of the file, or NULL after adding a finding. */
static char *load_file(struct reader *r)
{
	g_autoptr(GError) error = NULL;
	g_autofree char *text = NULL;
	const char *bad;
	gsize len;

	if (!g_file_get_contents(r->path, &text, &len, &error)) {
		findings_add(r->found, r->path, "cannot read: %s", error->message);
		return NULL;
	}
	if (len > CONF_FILE_MAX_BYTES) {
		findings_add(r->found, r->path, "longer than %d bytes", CONF_FILE_MAX_BYTES);
		return NULL;
	}
	if (!g_utf8_validate(text, (gssize)len, &bad)) {
		report_line(r, line_at(text, bad), "not a text file: neither ASCII nor UTF-8");
		return NULL;
	}
	return g_steal_pointer(&text);
}

int conf_read(const char *path, const struct conf_ops *ops, void *arg, struct findings *found)
{
	struct reader r = { .path = path, .ops = ops, .arg = arg, .found = found };
	g_autofree char *text = load_file(&r);
	g_auto(GStrv) lines = NULL;

	if (!text)
		return ERR_INVAL;
	lines = g_strsplit(text, "\n", -1);
	r.lines = lines;
	for (int i = 0; lines[i]; i++)
		check_line(&r, i + 1);
	set_up_inih();
	check_syntax(&r);
	r.line = 0;
	ini_parse_stream(next_line_with_sections, &r, on_value, &r);
	return 0;
}
