/*
 * httpd - an HTTP/1.1 server on the event loop
 *
 * Pipelined requests are started concurrently if the owner's may_overlap()
 * allows it, and are answered in order. All functions must be called on the
 * loop's thread.
 *
 * A non-idempotent request must not overlap: when a response closes the
 * connection, callers resend the requests that were pipelined after it.
 *
 * UNITS microseconds, bytes
 * What callers make the server hold is bounded: where the bytes of answers exceed a limit, the
 * connections whose callers read slowest are closed, in the middle of an answer; where those of
 * requests do, the incomplete one that is sent slowest is refused. No request starts
 * while its connection has more than 1 MiB of answers to send.
 *
 * SOURCE kernel/httpd.c, kernel/httpd_conn.c, kernel/httpd_request.c, kernel/httpd_read.c,
 * kernel/httpd_stream.c, kernel/httpd_caller.c
 */
#ifndef HTTPD_H
#define HTTPD_H

#include "kernel/loop.h"
#include "lib/ctr.h"
#include "lib/held.h"
#include "lib/http.h"
#include "lib/settings.h"

struct httpd;
struct httpd_conn;

struct httpd_limits {
	size_t head_bytes;
	u64 body_bytes;
	u64 all_request_bytes; /* of all requests without a response; one always fits */
	u64 head_timeout_us; /* from the first byte of a request to the end of its head */
	u64 idle_timeout_us; /* without a request in progress */
	/* Of the following, 0 is no limit. */
	u64 stall_us; /* in which a caller takes no byte of an answer */
	u64 answer_bytes; /* of answers that were not sent, on all connections */
	u64 address_bytes; /* of these, on the connections of one caller's address */
	u32 address_connections; /* of one caller's address */
	u32 connections; /* of all callers */
};

/* The limits of a server until httpd_set_limits is called. */
extern const struct httpd_limits httpd_default_limits;

/*
 * httpd_limits_for - returns the limits by the settings S, with the default ones of a request, and
 * as many connections as SHARE of lib/descriptors.h allows.
 */
struct httpd_limits httpd_limits_for(const struct caller_settings *s, u32 share);

struct httpd_request {
	struct httpd_conn *conn; /* NULL after the connection was closed */
	struct http_msg *msg;
	u64 began_us; /* when the request was received completely */
	u32 head_bytes;
	void *arg; /* for use by the owner */
	bool is_started;
	bool asks_to_close; /* the connection, after its response */
	bool caller_closed; /* the caller closed its side before the request was started */
	struct http_msg *answer;
	GList link; /* in the connection's request queue */
};

enum httpd_close_kind { HTTPD_HALF_CLOSED, HTTPD_DISCONNECTED };

struct httpd_ops {
	/* request - handles a complete request; httpd_answer must be called once, now or later. */
	void (*request)(struct httpd_request *r, void *arg);
	/* may_overlap - returns whether R may start before all earlier requests are answered. */
	bool (*may_overlap)(const struct httpd_request *r, void *arg);
	/* closed - the caller of R closed its side or disconnected. May be NULL. */
	void (*closed)(struct httpd_request *r, enum httpd_close_kind how, void *arg);
	/*
	 * refuse - adds headers to an error response of the server itself, for REASON. May be NULL.
	 */
	void (*refuse)(struct http_msg *answer, enum ctr reason, void *arg);
	bool needs_host; /* a request of HTTP/1.1 without a Host is malformed; two always are */
};

enum httpd_caller { HTTPD_CALLER_OPEN, HTTPD_CALLER_HALF_CLOSED, HTTPD_CALLER_GONE };

/*
 * httpd_caller - returns what is known of the caller of R by now, also if the loop has not read it
 * yet. A caller that has closed its connection is GONE only once its system has said so; until then
 * it is HALF_CLOSED, as one that has closed its side and waits for the response.
 */
enum httpd_caller httpd_caller(const struct httpd_request *r);

/* httpd_listen - starts a server on HOST:PORT; returns NULL if the port cannot be bound. */
struct httpd *httpd_listen(struct loop *l, const char *host, u16 port, const struct httpd_ops *ops,
			   void *arg);

/* httpd_set_limits - sets the limits, also for connections that are open. */
void httpd_set_limits(struct httpd *h, const struct httpd_limits *limits);

/*
 * httpd_set_held - counts the bodies of requests and the answers in the account HELD. While it is
 * over its bound, slow readers are closed and bodies refused.
 */
void httpd_set_held(struct httpd *h, struct held *held);

/*
 * httpd_make_room - closes connections of slow readers until the account has room for BYTES more,
 * if that helps.
 */
void httpd_make_room(struct httpd *h, u64 bytes);

/* httpd_answer - sends ANSWER as the response to R; takes ownership of ANSWER and R. */
void httpd_answer(struct httpd_request *r, struct http_msg *answer);

/*
 * httpd_stream_begin - begins a response to R whose length is not known, with the status and the
 * headers of HEAD, which it takes. R must be the first request of its connection, and stays valid
 * until httpd_stream_end, also when its connection is closed.
 */
void httpd_stream_begin(struct httpd_request *r, struct http_msg *head);

/* httpd_stream_write - sends LEN bytes of the response; dropped if the connection is closed. */
void httpd_stream_write(struct httpd_request *r, const void *data, size_t len);

/* httpd_stream_end - completes the response, and frees R. */
void httpd_stream_end(struct httpd_request *r);

/* httpd_stream_unsent - returns the bytes that R's connection has not written to its socket. */
size_t httpd_stream_unsent(const struct httpd_request *r);

/*
 * httpd_end_keep_alive - from AT_US on, closes each connection once all requests read from it are
 * answered, also if the loop runs only later.
 */
void httpd_end_keep_alive(struct httpd *h, u64 at_us);

/*
 * httpd_stop_accepting - closes the port and all connections on which no request has arrived. Each
 * other connection is closed after the responses to the requests that were read from it; no more
 * are read behind an unanswered one.
 */
void httpd_stop_accepting(struct httpd *h);

/* httpd_refuse_incomplete - answers requests that have not arrived as a whole, and closes. */
void httpd_refuse_incomplete(struct httpd *h, u16 status, enum ctr reason);

/* httpd_unsent_bytes - returns the bytes of responses that were not written to a socket yet. */
size_t httpd_unsent_bytes(const struct httpd *h);

/* httpd_connections - returns the number of open connections. */
u32 httpd_connections(const struct httpd *h);

/* httpd_requests - returns the number of requests on open connections without a response. */
u32 httpd_requests(const struct httpd *h);

/* httpd_free - closes all connections, also those with requests in progress. */
void httpd_free(struct httpd *h);

#endif
