/*
 * http - a whole HTTP request or answer, held in memory
 *
 * SOURCE lib/http.c
 */
#ifndef HTTP_H
#define HTTP_H

#include "lib/frame.h"
#include "lib/types.h"

#include <glib.h>

#define HTTP_HEADERS_MAX 64
#define HTTP_TEXT_MAX_BYTES 16384

struct http_header {
	char *name;
	char *value;
};

/* A request uses method and target; an answer uses status. */
struct http_msg {
	u16 status;
	char *method;
	char *target; /* path and query */
	GPtrArray *headers; /* of struct http_header */
	GByteArray *body;
};

struct http_msg *http_new(void);
void http_free(struct http_msg *m);
void http_add_header(struct http_msg *m, const char *name, const char *value);

/* http_header - the value of the first header called NAME, or NULL. */
const char *http_header(const struct http_msg *m, const char *name);

/* http_is_hop_by_hop_header - true for headers that belong to one connection and are not passed on.
 */
bool http_is_hop_by_hop_header(const char *name);

/* http_remove_headers - remove all headers called NAME. */
void http_remove_headers(struct http_msg *m, const char *name);

/* http_reason_phrase - the usual phrase for STATUS. */
const char *http_reason_phrase(u16 status);

/* http_json_response - a new answer with a body of JSON text. */
struct http_msg *http_json_response(u16 status, const char *json);

/*
 * http_normalize_path - the path of TARGET, decoded, without dot segments, doubled
 * slashes or a query; to be freed.
 */
char *http_normalize_path(const char *target);

/* http_encode - append all but the body to a frame; http_decode - read it back, NULL on a bad
 * frame. */
void http_encode(struct frame_out *f, const struct http_msg *m);
struct http_msg *http_decode(struct frame_in *in);

#endif
