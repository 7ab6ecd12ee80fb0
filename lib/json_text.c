#include "lib/json_text.h"

#include <stdio.h>
#include <string.h>

static bool is_opening(char c)
{
	return c == '{' || c == '[';
}

static bool is_closing(char c)
{
	return c == '}' || c == ']';
}

static bool is_space(char c)
{
	return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

const char *json_text_skip_string(const char *p, const char *end)
{
	for (p++; p < end; p++) {
		if (*p == '"')
			return p + 1;
		if (*p == '\\')
			p++;
	}
	return NULL;
}

const char *json_text_skip_nested(const char *p, const char *end)
{
	u32 levels = 0;

	while (p && p < end) {
		char c = *p;

		if (c == '"') {
			p = json_text_skip_string(p, end);
			continue;
		}
		p++;
		if (is_opening(c))
			levels++;
		else if (is_closing(c) && !--levels)
			return p;
	}
	return NULL;
}

/*
 * Returns where the first object or list beyond MAX levels begins, or NULL. Sets *DEEPEST, at most
 * MAX + 1.
 */
static const char *find_deeper(const char *p, const char *end, u32 max, u32 *deepest)
{
	u32 levels = 0;

	*deepest = 0;
	while (p && p < end) {
		if (*p == '"') {
			p = json_text_skip_string(p, end);
			continue;
		}
		if (is_opening(*p))
			levels++;
		else if (is_closing(*p) && levels)
			levels--;
		*deepest = MAX(*deepest, levels);
		if (levels > max)
			return p;
		p++;
	}
	return NULL;
}

u32 json_text_levels(const char *text, size_t len)
{
	u32 deepest;

	find_deeper(text, text + len, UINT32_MAX, &deepest);
	return deepest;
}

static void set_error(json_error_t *error, const char *text, const char *at)
{
	memset(error, 0, sizeof(*error));
	error->line = 1;
	for (const char *p = text; p < at; p++)
		error->line += *p == '\n';
	error->position = (int)(at - text);
	snprintf(error->text, sizeof(error->text), "nested deeper than %d levels",
		 JSON_TEXT_MAX_LEVELS);
}

json_t *json_text_load(const char *text, size_t len, size_t flags, json_error_t *error)
{
	u32 deepest;
	const char *deeper = find_deeper(text, text + len, JSON_TEXT_MAX_LEVELS, &deepest);

	if (!deeper)
		return json_loadb(text, len, flags, error);
	set_error(error, text, deeper);
	return NULL;
}

/* Returns the text with null in place of each value beyond JSON_TEXT_MAX_LEVELS levels. */
static GString *leave_out_deeper(const char *text, size_t len)
{
	GString *out = g_string_new(NULL);
	const char *end = text + len;
	const char *from = text;
	u32 levels = 0;

	for (const char *p = text; p && p < end;) {
		if (is_opening(*p) && levels == JSON_TEXT_MAX_LEVELS) {
			g_string_append_len(out, from, p - from);
			g_string_append(out, "null");
			p = json_text_skip_nested(p, end);
			from = p ? p : end;
			continue;
		}
		if (*p == '"') {
			p = json_text_skip_string(p, end);
			continue;
		}
		if (is_opening(*p))
			levels++;
		else if (is_closing(*p) && levels)
			levels--;
		p++;
	}
	g_string_append_len(out, from, end - from);
	return out;
}

json_t *json_text_load_accepted(const char *text, size_t len, size_t flags, json_error_t *error)
{
	GString *shallow;
	json_t *obj;

	if (json_text_levels(text, len) <= JSON_TEXT_MAX_LEVELS)
		return json_loadb(text, len, flags, error);
	shallow = leave_out_deeper(text, len);
	obj = json_loadb(shallow->str, shallow->len, flags, error);
	g_string_free(shallow, TRUE);
	return obj;
}

void json_text_append_line(GString *out, const char *text)
{
	const char *end = text + strlen(text);

	for (const char *p = text; p < end;) {
		const char *next = *p == '"' ? json_text_skip_string(p, end) : p + 1;

		if (!next)
			next = end;
		if (!is_space(*p))
			g_string_append_len(out, p, next - p);
		p = next;
	}
}
