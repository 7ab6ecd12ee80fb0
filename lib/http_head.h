/*
 * http_head - checks the lines of a message's head
 *
 * http_parser takes any byte after a CR for the LF, joins folded lines and accepts spaces in names,
 * so a Content-Length or Transfer-Encoding near a spoilt byte would count as absent. A head is
 * refused if a CR is not followed by LF, if a header line begins with a space or a tab or has one
 * before its colon, or if it contains a NUL. A lone LF ends a line.
 *
 * It also counts the bytes of a status, of which http_parser tells the value only.
 *
 * UNITS bytes
 * ERRORS ERR_INVAL
 * SOURCE lib/http_head.c
 */
#ifndef HTTP_HEAD_H
#define HTTP_HEAD_H

#include "lib/types.h"

#include <stddef.h>

enum http_head_place {
	HTTP_HEAD_START, /* before the first line; empty lines there are skipped */
	HTTP_HEAD_FIRST_LINE,
	HTTP_HEAD_LINE_START,
	HTTP_HEAD_NAME,
	HTTP_HEAD_VALUE,
	HTTP_HEAD_END,
};

/* All bits zero before the first byte of a head. */
struct http_head {
	enum http_head_place place;
	bool is_after_cr;
	bool is_in_word; /* of the first line */
	u32 words; /* of the first line, so far */
	u32 second_word_bytes; /* of a response: of its status */
};

/*
 * http_head_check - checks the next LEN bytes, up to the end of the head, and sets *CHECKED to how
 * many those are.
 */
int http_head_check(struct http_head *h, const char *data, size_t len, size_t *checked);

#endif
