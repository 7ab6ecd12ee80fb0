/*
 * http_read - parses HTTP/1.1 messages from a byte stream
 *
 * Built on http_parser. A message is delivered when it is complete. Input that is
 * malformed (see http_head), has an ambiguous length, has a status line within its
 * reason phrase, has no status from 100 to 599 of three digits, switches to another protocol
 * or exceeds a limit ends the stream.
 *
 * UNITS bytes
 * ERRORS http_read_feed: ERR_INVAL (malformed or ambiguous), ERR_STATUS (a response without a
 * valid status), ERR_TOOBIG (a limit was exceeded: that of the body if is_in_body),
 * ERR_CANCELLED (a callback failed)
 * SOURCE lib/http_read.c
 */
#ifndef HTTP_READ_H
#define HTTP_READ_H

#include "lib/http.h"
#include "lib/http_head.h"

#include <http_parser.h>

struct http_read;

struct http_read_ops {
	/*
	 * head - called when the head of R->msg is complete; an error ends the stream. May be
	 * NULL.
	 */
	int (*head)(struct http_read *r);
	/* message - receives a complete message, which it must free. An error ends the stream. */
	int (*message)(struct http_read *r, struct http_msg *m);
};

struct http_read {
	const struct http_read_ops *ops;
	void *arg;
	size_t max_head_bytes;
	u64 max_body_bytes;
	bool is_response;
	bool has_no_body; /* a response to HEAD: has a Content-Length but no body */
	/* state that callers may read */
	struct http_msg *msg; /* the message being parsed; NULL between messages */
	bool is_in_body;
	bool is_keep_alive; /* of the message that was delivered last */
	bool has_length; /* the head delimits the body: a length or chunked encoding */
	/*
	 * A header's value in the response holds a status line: the head may be two heads, the
	 * first of which was cut.
	 */
	bool is_joined;
	/* private */
	http_parser parser;
	struct http_head head;
	u64 chunk_bytes; /* of the chunk being read, that are missing */
	u32 chunk_end_bytes; /* of the line end behind a chunk, that are missing */
	const char *part_end; /* end of the bytes that are being parsed */
	bool is_delivered; /* a final response, by the bytes that are being fed */
	GString *name;
	GString *value;
	GString *target;
	GString *reason;
	size_t head_bytes;
	u32 interim; /* 1xx responses since the last final response */
	int err;
};

void http_read_init(struct http_read *r, bool is_response, const struct http_read_ops *ops,
		    void *arg);
void http_read_clear(struct http_read *r);

/*
 * http_read_feed - parses LEN bytes; a LEN of 0 signals the end of the stream, which
 * also ends a body without a length. For responses, sets *UNPARSED to the number of bytes
 * after the message that was delivered; they were not parsed.
 */
int http_read_feed(struct http_read *r, const void *data, size_t len, size_t *unparsed);

/* http_read_is_idle - returns whether no message is partially read. */
bool http_read_is_idle(const struct http_read *r);

#endif
