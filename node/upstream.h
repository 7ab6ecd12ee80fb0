/*
 * upstream - HTTP connections to the upstream beside this node
 *
 * A request is never sent twice: when the connection breaks after the request
 * was written, the outcome is unknown. A request that is not idempotent goes out
 * on a new connection or on one that was used within the last half second.
 *
 * A faulty upstream may write an earlier answer again. In a dialect with ids, an answer that names
 * no request is taken only as the first one of its connection; a request without an id therefore
 * gets a connection of its own. In a dialect without, such an answer is taken unless one to another
 * request came on its connection before. A connection on which the upstream has refused a request
 * is used again only for requests with other ids, and only if the refusal named its request.
 *
 * All functions must be called on the loop's thread.
 *
 * ERRORS ERR_REFUSED, ERR_CLOSED, ERR_TRUNCATED, ERR_TIMEOUT, ERR_TOOBIG, ERR_CANCELLED,
 * ERR_UNCERTAIN; the call may have run if and only if is_written is set.
 * SOURCE node/upstream.c (calls and their connections), node/upstream_request.c (what is sent),
 * node/upstream_answer.c (whose answer it is), node/upstream_reuse.c (which connections are used
 * again)
 */
#ifndef UPSTREAM_H
#define UPSTREAM_H

#include "kernel/loop.h"
#include "lib/held.h"
#include "lib/http.h"
#include "lib/settings.h"
#include "lib/types.h"
#include "node/dialect.h"

struct upstream_conn;

struct upstream_call {
	const struct http_msg *request;
	const char *instance; /* instance id expected at the address; may be NULL */
	bool is_idempotent;
	/* Answers that name no request are taken in their order, and refusals have no effect. */
	bool is_poll;
	u64 deadline_us;
	u64 max_body_bytes;
	/* Called exactly once, from the loop, when the call has ended. */
	void (*done)(struct upstream_call *call);
	void *arg;
	/* set before done() */
	int err;
	struct http_msg *reply; /* owned by the caller; NULL after an error */
	bool is_written; /* bytes of the request may have reached the upstream */
	bool is_named; /* the reply names the request */
	bool may_be_copy; /* the reply is told from earlier ones only by its place */
	/* private */
	struct upstream *u;
	struct upstream_conn *conn;
	struct loop_timer timer;
};

struct upstream;

/* Limit on the total size of response bodies being read; a call that exceeds it fails. */
#define UPSTREAM_BUFFERED_MAX_BYTES (32 * 1024 * 1024)

struct upstream *upstream_new(struct loop *l, const struct dialect *d);

/* upstream_set_held - counts the response bodies being read in the account HELD. */
void upstream_set_held(struct upstream *u, struct held *held);

/* upstream_free - closes all connections without calling done() for calls in progress. */
void upstream_free(struct upstream *u);

/* upstream_start - sends the request to AT and reads the whole response. */
void upstream_start(struct upstream *u, const struct endpoint *at, struct upstream_call *call);

/* upstream_abort - closes the connection of a call at once; done() follows from the loop. */
void upstream_abort(struct upstream_call *call, int err);

/* upstream_buffered_bytes - returns the total size of the response bodies being read. */
size_t upstream_buffered_bytes(const struct upstream *u);

/* upstream_close_idle - closes idle connections, as another upstream may now have the address. */
void upstream_close_idle(struct upstream *u);

#endif
