/* The server of the API: its loop, the paths, and its stop. */
#include "control/api.h"

#include "lib/ctr.h"
#include "lib/descriptors.h"
#include "lib/err.h"
#include "lib/hist.h"
#include "lib/log.h"
#include "lib/set.h"

#include <string.h>

/* Within this time the answers of operations that were ended are written. */
#define WRITE_US (100 * US_PER_MS)
#define STOP_POLL_US (5 * US_PER_MS)

static void on_metrics(struct api_call *call)
{
	g_autoptr(GString) out = g_string_new(NULL);

	ctr_print(out);
	hist_print(out);
	api_answer(call, 200, "text/plain; version=0.0.4", NULL, NULL, out->str);
}

static void on_unknown(struct api_call *call)
{
	api_answer_error(call, 404, NULL, NULL, "no such resource");
}

static void on_stopping(struct api_call *call)
{
	ctr_inc(CTR_STOPPING);
	api_answer_error(call, 503, "not-run", ctr_name(CTR_STOPPING),
			 "this process stops; use another one");
}

#define PLAIN_RESOURCE(path, serve)                                                                \
	{                                                                                          \
		path, sizeof(struct api_call), serve, NULL, NULL                                   \
	}

static const struct api_resource metrics = PLAIN_RESOURCE("/v1/metrics", on_metrics);
static const struct api_resource unknown = PLAIN_RESOURCE("/", on_unknown);
static const struct api_resource stopping = PLAIN_RESOURCE("/", on_stopping);

static const struct api_resource *const resources[] = {
	&api_services, &api_set, &api_evacuations, &api_watch, &api_status, &api_members, &metrics,
};

/* Returns the resource of PATH, and in *REST what stands behind its path and a slash. */
static const struct api_resource *find_resource(const char *path, const char **rest)
{
	for (size_t i = 0; i < G_N_ELEMENTS(resources); i++) {
		size_t len = strlen(resources[i]->path);

		if (strncmp(path, resources[i]->path, len) || (path[len] && path[len] != '/'))
			continue;
		*rest = path[len] && path[len + 1] ? path + len + 1 : NULL;
		return resources[i];
	}
	return &unknown;
}

static void on_request(struct httpd_request *request, void *arg)
{
	struct api *a = arg;
	g_autofree char *path = http_normalize_path(request->msg->target);
	const char *rest = NULL;
	const struct api_resource *resource =
		a->is_stopping ? &stopping : find_resource(path, &rest);
	struct api_call *call = g_malloc0(resource->call_bytes);

	call->resource = resource;
	call->api = a;
	call->request = request;
	call->rest = g_strdup(rest);
	request->arg = call;
	a->calls++;
	resource->serve(call);
}

/* Requests behind one another run one at a time: orders take effect as they were sent. */
static bool may_overlap(const struct httpd_request *r, void *arg)
{
	(void)r;
	(void)arg;
	return false;
}

/* An order goes on without its client. */
static void on_closed(struct httpd_request *r, enum httpd_close_kind how, void *arg)
{
	struct api_call *call = r->arg;

	(void)arg;
	if (how == HTTPD_DISCONNECTED && call->resource->closed)
		call->resource->closed(call);
}

static void on_refuse(struct http_msg *answer, enum ctr reason, void *arg)
{
	(void)arg;
	api_add_outcome(answer, "not-run", ctr_name(reason));
}

static const struct httpd_ops ops = {
	.request = on_request,
	.may_overlap = may_overlap,
	.closed = on_closed,
	.refuse = on_refuse,
};

static void configure(struct api *a, const struct caller_settings *s)
{
	struct httpd_limits limits = httpd_limits_for(s, DESCRIPTORS_OPERATORS_SHARE);

	limits.body_bytes = SET_JSON_MAX_BYTES;
	a->held.max_bytes = s->max_held_bytes;
	httpd_set_limits(a->httpd, &limits);
}

static void api_free(struct api *a)
{
	loop_free(a->loop);
	g_free(a);
}

int api_start(struct control *c)
{
	const struct control_settings *s = &c->settings->control;
	struct api *a = g_new0(struct api, 1);

	a->control = c;
	a->loop = loop_new("api");
	a->httpd = httpd_listen(a->loop, s->api_listen.host, s->api_listen.port, &ops, a);
	if (!a->httpd) {
		log_event(LOG_ERROR, "cannot listen; is the port in use?", "address",
			  s->api_listen.host, "api_port", log_u64(s->api_listen.port), NULL);
		api_free(a);
		return ERR_IO;
	}
	httpd_set_held(a->httpd, &a->held);
	configure(a, &s->callers);
	api_orders_start(a);
	c->api = a;
	return loop_start(a->loop);
}

static void reload_on_loop(void *arg)
{
	struct api *a = arg;

	configure(a, &a->control->settings->control.callers);
}

void api_reload(struct control *c)
{
	if (c->api)
		loop_call(c->api->loop, reload_on_loop, c->api);
}

/* Stop */

struct drain {
	struct api *api;
	bool is_done;
};

static void begin_stop(void *arg)
{
	struct api *a = arg;

	a->is_stopping = true;
	httpd_end_keep_alive(a->httpd, 0);
	api_watch_end_all(a);
}

static void check_drain(void *arg)
{
	struct drain *d = arg;
	struct api *a = d->api;

	d->is_done = !a->calls && (!a->httpd || !httpd_unsent_bytes(a->httpd));
}

/* Returns whether all requests that were begun are answered. */
static bool wait_for_answers(struct api *a, u64 end_us)
{
	struct drain d = { .api = a };

	for (;;) {
		loop_call(a->loop, check_drain, &d);
		if (d.is_done || loop_clock_us() >= end_us)
			return d.is_done;
		g_usleep(STOP_POLL_US);
	}
}

static void end_operations(void *arg)
{
	op_end_all(arg);
}

static void close_server(void *arg)
{
	struct api *a = arg;

	httpd_free(a->httpd);
	a->httpd = NULL;
	api_orders_stop(a);
}

void api_stop(struct control *c, u64 end_us)
{
	struct api *a = c->api;

	if (!a)
		return;
	loop_call(a->loop, begin_stop, a);
	if (!wait_for_answers(a, MIN(end_us, loop_clock_us() + OP_TIMEOUT_US))) {
		loop_call(c->loop, end_operations, c);
		wait_for_answers(a, loop_clock_us() + WRITE_US);
	}
	loop_call(a->loop, close_server, a);
	/* The control loop must hold no call of a loop that is freed. */
	while (!wait_for_answers(a, loop_clock_us() + WRITE_US))
		loop_call(c->loop, end_operations, c);
	loop_stop(a->loop);
	api_free(a);
	c->api = NULL;
}
