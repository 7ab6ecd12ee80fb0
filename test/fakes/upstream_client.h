/* upstream_client - the client of node/upstream.h on a loop of its own, with a raw server to call
 */
#ifndef UPSTREAM_CLIENT_H
#define UPSTREAM_CLIENT_H

#include "kernel/loop.h"
#include "node/upstream.h"
#include "test/fakes/raw_server.h"

struct upstream_client {
	struct raw_server server;
	struct loop *loop;
	struct upstream *u;
	struct upstream_call call; /* the newest one of upstream_client_run */
	struct endpoint at; /* of the server */
	GAsyncQueue *done; /* of the calls that ended */
};

/* upstream_client_start - starts a server that runs SERVE and a client for it, on loop NAME. */
void upstream_client_start(struct upstream_client *c, const char *name,
			   const struct dialect *dialect, raw_server_handler serve);
void upstream_client_stop(struct upstream_client *c);

/* upstream_client_done - puts CALL, whose arg is the client, on the queue of ended calls. */
void upstream_client_done(struct upstream_call *call);

/* upstream_client_run - runs CALL until it ends; returns its error. The caller frees its reply. */
int upstream_client_run(struct upstream_client *c, struct upstream_call call);

void upstream_client_close_idle(struct upstream_client *c);

#endif
