/*
 * upstream - HTTP connections to the upstream beside this node
 *
 * Nothing is sent a second time: a connection that breaks after the request
 * was written gives an unknown outcome. A request that may not be repeated
 * goes out on a new connection or on one that was used a moment ago.
 *
 * All functions are called on the loop's thread.
 *
 * ERRORS ERR_REFUSED, ERR_CLOSED, ERR_TRUNCATED, ERR_TIMEOUT, ERR_TOOBIG, ERR_CANCELLED;
 * the call may have run exactly when is_written is set.
 * SOURCE node/upstream.c
 */
#ifndef UPSTREAM_H
#define UPSTREAM_H

#include "kernel/loop.h"
#include "lib/http.h"
#include "lib/settings.h"
#include "lib/types.h"
#include "node/dialect.h"

struct upstream_conn;

struct upstream_call {
	const struct http_msg *request;
	const char *instance; /* expected at the address; may be NULL */
	bool is_idempotent;
	u64 deadline_us;
	u64 max_body_bytes;
	/* done - the call has ended; called once, from the loop. */
	void (*done)(struct upstream_call *call);
	void *arg;
	/* set when done */
	int err;
	struct http_msg *reply; /* of the owner; NULL after an error */
	bool is_written; /* bytes may have reached the upstream */
	/* private */
	struct upstream *u;
	struct upstream_conn *conn;
	struct loop_timer timer;
};

struct upstream;

/* Bodies that are being read hold no more than this together; what goes over it fails. */
#define UPSTREAM_READING_MAX_BYTES (32 * 1024 * 1024)

struct upstream *upstream_new(struct loop *l, const struct dialect *d);

/* upstream_free - closes all connections; calls in progress are not told. */
void upstream_free(struct upstream *u);

/* upstream_run - send the request to AT and read the whole answer. */
void upstream_run(struct upstream *u, const struct endpoint *at, struct upstream_call *call);

/* upstream_end - close the connection of a call at once; done() follows from the loop. */
void upstream_end(struct upstream_call *call, int err);

/* upstream_reading_bytes - what the bodies hold that are being read. */
size_t upstream_reading_bytes(const struct upstream *u);

/* upstream_forget - close the idle connections: another upstream may have the address. */
void upstream_forget(struct upstream *u);

#endif
