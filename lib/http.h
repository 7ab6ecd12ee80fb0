/*
 * http - an HTTP request or response, held in memory
 *
 * SOURCE lib/http.c
 */
#ifndef HTTP_H
#define HTTP_H

#include "lib/frame.h"
#include "lib/types.h"

#include <glib.h>

/* Limit on the headers of a message that is read, as many as fit in 64 KiB; nodes may add some. */
#define HTTP_HEADERS_MAX 16384
#define HTTP_TEXT_MAX_BYTES 16384

struct http_header {
	char *name;
	char *value;
};

#define HTTP_STATUS_FIRST 100
/* Responses with a lower status are interim (1xx). */
#define HTTP_STATUS_FINAL_FIRST 200
#define HTTP_STATUS_LAST 599

/* A request uses method and target; a response uses status. */
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

/* http_is_final_status - returns whether a response with STATUS can end a request. */
bool http_is_final_status(u64 status);

/* http_header - returns the value of the first header called NAME, or NULL. */
const char *http_header(const struct http_msg *m, const char *name);

/* http_count_headers - returns how many headers called NAME there are. */
u32 http_count_headers(const struct http_msg *m, const char *name);

/*
 * http_is_hop_by_hop_header - returns whether a header applies to a single connection and
 * must not be forwarded.
 */
bool http_is_hop_by_hop_header(const char *name);

/*
 * http_is_word - returns whether TEXT is not empty and has no spaces and no control characters, so
 * that it ends neither a request line nor a header in which it is sent.
 */
bool http_is_word(const char *text);

/* http_remove_headers - removes all headers called NAME. */
void http_remove_headers(struct http_msg *m, const char *name);

/* http_reason_phrase - returns the standard reason phrase of STATUS. */
const char *http_reason_phrase(u16 status);

/* http_response - returns a new response with the text BODY, which is of TYPE. */
struct http_msg *http_response(u16 status, const char *type, const char *body);

/* http_json_response - returns a new response with the JSON text as its body. */
struct http_msg *http_json_response(u16 status, const char *json);

/*
 * http_normalize_path - returns the path of TARGET, percent-decoded, without dot segments,
 * repeated slashes or a query. The caller frees it.
 */
char *http_normalize_path(const char *target);

/*
 * http_encode - appends the message, except its body, to a frame
 * http_decode - reads it back; returns NULL if the frame is malformed. Whatever http_read takes
 * must pass, as a malformed frame closes its link: texts are bounded by the frame only.
 */
void http_encode(struct frame_out *f, const struct http_msg *m);
struct http_msg *http_decode(struct frame_in *in);

#endif
