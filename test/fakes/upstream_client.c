#include "test/fakes/upstream_client.h"

#include <string.h>

void upstream_client_start(struct upstream_client *c, const char *name,
			   const struct dialect *dialect, raw_server_handler serve)
{
	memset(c, 0, sizeof(*c));
	raw_server_start(&c->server, serve, NULL);
	c->at = (struct endpoint){ .host = "127.0.0.1", .port = c->server.port };
	c->loop = loop_new(name);
	c->u = upstream_new(c->loop, dialect);
	c->done = g_async_queue_new();
	g_assert_cmpint(loop_start(c->loop), ==, 0);
}

void upstream_client_stop(struct upstream_client *c)
{
	loop_stop(c->loop);
	upstream_free(c->u);
	loop_free(c->loop);
	g_async_queue_unref(c->done);
	raw_server_stop(&c->server);
}

void upstream_client_done(struct upstream_call *call)
{
	struct upstream_client *c = call->arg;

	g_async_queue_push(c->done, call);
}

static void start_on_loop(void *arg)
{
	struct upstream_client *c = arg;

	upstream_start(c->u, &c->at, &c->call);
}

int upstream_client_run(struct upstream_client *c, struct upstream_call call)
{
	c->call = call;
	c->call.done = upstream_client_done;
	c->call.arg = c;
	loop_call(c->loop, start_on_loop, c);
	g_async_queue_pop(c->done);
	return c->call.err;
}

static void close_on_loop(void *arg)
{
	struct upstream_client *c = arg;

	upstream_close_idle(c->u);
}

void upstream_client_close_idle(struct upstream_client *c)
{
	loop_call(c->loop, close_on_loop, c);
}
