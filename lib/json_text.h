/*
 * json_text - JSON that comes from outside the process
 *
 * Jansson reads, writes and frees a value by functions that call themselves once for each level of
 * nesting, and takes up to a hundred times the bytes of the text for its values. A text from
 * outside must not choose how much stack or heap that takes, so this is the only module that hands
 * a text to jansson's parser, and it measures the text first.
 *
 * UNITS levels: objects and lists within one another; a plain value has none; bytes
 * ERRORS in json_error_t, like jansson's own
 * SOURCE lib/json_text.c
 */
#ifndef JSON_TEXT_H
#define JSON_TEXT_H

#include "lib/types.h"

#include <glib.h>
#include <jansson.h>

/* The product's own formats take 5 levels. */
#define JSON_TEXT_MAX_LEVELS 64
/* Of the values of one text. A set of 20,000 routes takes less than half of it. */
#define JSON_TEXT_MAX_HEAP_BYTES (64 * 1024 * 1024)

/* json_text_levels - returns how many levels the text has; it need not be valid JSON. */
u32 json_text_levels(const char *text, size_t len);

/* json_text_heap_bytes - returns about how much the values of the text take once parsed. */
u64 json_text_heap_bytes(const char *text, size_t len);

/*
 * json_text_load - parses the text, with jansson's FLAGS. Returns NULL with ERROR filled in if it
 * is not valid, has more than JSON_TEXT_MAX_LEVELS levels, or takes more than
 * JSON_TEXT_MAX_HEAP_BYTES. ERROR must not be NULL.
 */
json_t *json_text_load(const char *text, size_t len, size_t flags, json_error_t *error);

/*
 * json_text_load_accepted - the same for a text that was accepted, maybe by a version without this
 * bound: values that are nested deeper are read as null.
 */
json_t *json_text_load_accepted(const char *text, size_t len, size_t flags, json_error_t *error);

/* json_text_append_line - appends a valid text without the white space between its tokens. */
void json_text_append_line(GString *out, const char *text);

/* json_text_skip_string - returns the end of the string that begins at P, or NULL. */
const char *json_text_skip_string(const char *p, const char *end);

/* json_text_skip_nested - returns the end of the object or list that begins at P, or NULL. */
const char *json_text_skip_nested(const char *p, const char *end);

#endif
