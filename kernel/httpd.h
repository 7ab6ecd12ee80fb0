/*
 * httpd - an HTTP/1.1 server on the event loop
 *
 * Requests that come behind one another on a connection are started at once,
 * when the owner says that they may overlap, and answered in their order. All
 * functions are called on the loop's thread.
 *
 * A request that may not be repeated must not overlap: callers send again what
 * follows an answer that ends its connection.
 *
 * UNITS microseconds, bytes
 * SOURCE kernel/httpd.c
 */
#ifndef HTTPD_H
#define HTTPD_H

#include "kernel/loop.h"
#include "lib/http.h"

struct httpd;
struct httpd_conn;

struct httpd_limits {
	size_t head_bytes;
	u64 body_bytes;
	u64 head_timeout_us; /* from the first byte of a request to the end of its head */
	u64 idle_timeout_us; /* without a request in progress */
};

/* What a server has until it is set. */
extern const struct httpd_limits httpd_default_limits;

struct httpd_request {
	struct httpd_conn *conn; /* NULL when the connection is gone */
	struct http_msg *msg;
	u64 began_us; /* when the request was whole */
	void *arg; /* the owner's */
	bool is_started;
	bool has_left; /* the caller left before it was started */
	struct http_msg *answer;
	GList link; /* in the connection's order */
};

enum httpd_close_kind { HTTPD_HALF_CLOSED, HTTPD_DISCONNECTED };

struct httpd_ops {
	/* request - a whole request; exactly one httpd_answer must follow, now or later. */
	void (*request)(struct httpd_request *r, void *arg);
	/* may_overlap - whether R may start before the requests before it are answered. */
	bool (*may_overlap)(const struct httpd_request *r, void *arg);
	/* left - the caller of R closed its side, or broke the connection. May be NULL. */
	void (*left)(struct httpd_request *r, enum httpd_close_kind how, void *arg);
	/* refuse - the answer to what the server refuses by itself; fills in headers. May be NULL.
	 */
	void (*refuse)(struct http_msg *answer, void *arg);
};

/* httpd_listen - a server on HOST:PORT, or NULL when the port cannot be bound. */
struct httpd *httpd_listen(struct loop *l, const char *host, u16 port, const struct httpd_ops *ops,
			   void *arg);

/* httpd_set_limits - for requests that begin from now on. */
void httpd_set_limits(struct httpd *h, const struct httpd_limits *limits);

/* httpd_answer - take ANSWER as the answer to R, and free R. */
void httpd_answer(struct httpd_request *r, struct http_msg *answer);

/* httpd_disable_keep_alive - from now on each answer with nothing behind it ends its connection. */
void httpd_disable_keep_alive(struct httpd *h);

/*
 * httpd_stop_accepting - take no further request: the port and the connections
 * without a request in progress are closed, the others after their answer.
 */
void httpd_stop_accepting(struct httpd *h);

/* httpd_connections - open connections; httpd_requests - requests without a sent answer. */
u32 httpd_connections(const struct httpd *h);
u32 httpd_requests(const struct httpd *h);

/* httpd_free - close everything; requests in progress lose their connection. */
void httpd_free(struct httpd *h);

#endif
