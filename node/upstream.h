/*
 * upstream - one HTTP connection to the upstream beside this node
 *
 * Nothing is sent a second time: a connection that breaks after the request
 * was written gives an unknown outcome.
 *
 * ERRORS ERR_REFUSED, ERR_CLOSED, ERR_SHORT, ERR_TIMEOUT, ERR_TOOBIG, ERR_CANCELLED;
 * the call may have run exactly when is_written is set.
 * SOURCE node/upstream.c
 */
#ifndef UPSTREAM_H
#define UPSTREAM_H

#include "lib/http.h"
#include "lib/types.h"

/* A call at the upstream; is_cancelled may be set by another thread. */
struct upstream_call {
	const struct http_msg *request;
	bool is_idempotent;
	u64 deadline_us;
	u64 max_body_bytes;
	bool is_cancelled;
	bool is_written; /* set by upstream_run: bytes may have reached the upstream */
};

struct upstream;

struct upstream *upstream_new(void);
void upstream_free(struct upstream *u);

/*
 * upstream_interrupt - end the wait of upstream_run when its call is cancelled
 * or past its deadline; any thread. It is repeated until upstream_run returns.
 */
void upstream_interrupt(struct upstream *u);

/* upstream_run - send the request to PORT and read the whole answer into *REPLY. */
int upstream_run(struct upstream *u, u16 port, struct upstream_call *call, struct http_msg **reply);

#endif
