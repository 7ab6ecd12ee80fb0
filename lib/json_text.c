#include "lib/json_text.h"

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

/* A place in a text that has the objects and lists before it open. */
struct position {
	const char *at; /* NULL: the text ends within a string */
	u32 levels;
	u32 deepest;
};

/*
 * Moves on to the next object or list beyond MAX levels. Returns false if there is none up to END.
 */
static bool find_deeper(struct position *p, const char *end, u32 max)
{
	while (p->at && p->at < end) {
		if (is_opening(*p->at) && p->levels == max)
			return true;
		if (*p->at == '"') {
			p->at = json_text_skip_string(p->at, end);
			continue;
		}
		if (is_opening(*p->at))
			p->levels++;
		else if (is_closing(*p->at) && p->levels)
			p->levels--;
		p->deepest = MAX(p->deepest, p->levels);
		p->at++;
	}
	return false;
}

u32 json_text_levels(const char *text, size_t len)
{
	struct position p = { .at = text };

	find_deeper(&p, text + len, UINT32_MAX);
	return p.deepest;
}

/* What jansson takes for a value besides its text: an object has a table, a list its slots. */
#define OBJECT_BYTES 256
#define LIST_BYTES 160
#define ITEM_BYTES 64 /* what a comma separates: a number, and its slot */
#define PAIR_BYTES 80 /* a name and its place in the table */

static u32 heap_bytes_of(char c)
{
	switch (c) {
	case '{':
		return OBJECT_BYTES;
	case '[':
		return LIST_BYTES;
	case ',':
		return ITEM_BYTES;
	case ':':
		return PAIR_BYTES;
	default:
		return 0;
	}
}

u64 json_text_heap_bytes(const char *text, size_t len)
{
	const char *end = text + len;
	u64 sum = len;

	for (const char *p = text; p && p < end;) {
		if (*p == '"')
			p = json_text_skip_string(p, end);
		else
			sum += heap_bytes_of(*p++);
	}
	return sum;
}

/* Places the error at AT. */
static void set_error(json_error_t *error, const char *text, const char *at, const char *what)
{
	memset(error, 0, sizeof(*error));
	error->line = 1;
	for (const char *p = text; p < at; p++)
		error->line += *p == '\n';
	error->position = (int)(at - text);
	g_strlcpy(error->text, what, sizeof(error->text));
}

json_t *json_text_load(const char *text, size_t len, size_t flags, json_error_t *error)
{
	struct position p = { .at = text };

	if (find_deeper(&p, text + len, JSON_TEXT_MAX_LEVELS)) {
		set_error(error, text, p.at,
			  "nested deeper than " G_STRINGIFY(JSON_TEXT_MAX_LEVELS) " levels");
		return NULL;
	}
	if (json_text_heap_bytes(text, len) > JSON_TEXT_MAX_HEAP_BYTES) {
		set_error(error, text, text, "too many values");
		return NULL;
	}
	return json_loadb(text, len, flags, error);
}

/* Returns the text with null in place of each value beyond JSON_TEXT_MAX_LEVELS levels. */
static GString *leave_out_deeper(const char *text, size_t len)
{
	GString *out = g_string_new(NULL);
	const char *end = text + len;
	struct position p = { .at = text };
	const char *from = text;

	while (find_deeper(&p, end, JSON_TEXT_MAX_LEVELS)) {
		g_string_append_len(out, from, p.at - from);
		g_string_append(out, "null");
		p.at = json_text_skip_nested(p.at, end);
		from = p.at ? p.at : end;
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
