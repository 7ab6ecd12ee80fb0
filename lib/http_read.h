/*
 * http_read - HTTP/1.1 messages from a stream of bytes
 *
 * Built on http_parser. A message is handed over when it is whole; what is
 * malformed, ambiguous in its length or over a limit ends the stream.
 *
 * UNITS bytes
 * ERRORS http_read_feed: ERR_INVAL (not HTTP, or ambiguous), ERR_TOOBIG (over
 * a limit; is_in_body tells which), ERR_CANCELLED (a callback asked to end)
 * SOURCE lib/http_read.c
 */
#ifndef HTTP_READ_H
#define HTTP_READ_H

#include "lib/http.h"

#include <http_parser.h>

struct http_read;

struct http_read_ops {
	/* head - the head of R->msg is complete; an error ends the stream. May be NULL. */
	int (*head)(struct http_read *r);
	/* message - a whole message, to be freed by the callee; an error ends the stream. */
	int (*message)(struct http_read *r, struct http_msg *m);
};

struct http_read {
	const struct http_read_ops *ops;
	void *arg;
	size_t max_head_bytes;
	u64 max_body_bytes;
	bool is_answer;
	bool has_no_body; /* the answer to HEAD: a length without a body */
	/* set while reading */
	struct http_msg *msg; /* the one being read; NULL between messages */
	bool is_in_body;
	bool is_keep_alive; /* of the message handed over last */
	bool has_length; /* the end of the body is known from the head */
	/* private */
	http_parser parser;
	GString *name;
	GString *value;
	GString *target;
	size_t head_bytes;
	u32 interim; /* answers since the last one that counts */
	int err;
};

void http_read_init(struct http_read *r, bool is_answer, const struct http_read_ops *ops,
		    void *arg);
void http_read_clear(struct http_read *r);

/*
 * http_read_feed - take LEN bytes; LEN 0 tells the end of the stream, which
 * may end a body without a length. For answers, *LEFT is how many bytes came
 * after the message that was handed over; they were not looked at.
 */
int http_read_feed(struct http_read *r, const void *data, size_t len, size_t *left);

/* http_read_is_idle - no byte of a message has been read. */
bool http_read_is_idle(const struct http_read *r);

#endif
