/* Starts and stops the HTTP API. A request that was begun is answered before the process ends. */
#include "control/api.h"

#include "lib/ctr.h"
#include "lib/err.h"
#include "lib/http_server.h"
#include "lib/log.h"

#define API_THREADS 64
/* Within this time the answers of operations that were ended are written. */
#define WRITE_US (100 * US_PER_MS)
#define STOP_POLL_US (5 * US_PER_MS)

static int refuse(struct mg_connection *conn)
{
	ctr_inc(CTR_STOPPING);
	mg_disable_connection_keep_alive(conn);
	return http_send_error(conn, 503, "not-run", ctr_name(CTR_STOPPING),
			       "this process stops; use another one");
}

/* Counts the request before the check, so that api_stop waits for it or it is refused. */
static int on_request(struct mg_connection *conn, void *arg)
{
	const struct api_path *p = arg;
	struct control *c = http_server_owner(conn);
	int status;

	__atomic_add_fetch(&c->api_requests, 1, __ATOMIC_SEQ_CST);
	if (__atomic_load_n(&c->is_stopping, __ATOMIC_SEQ_CST))
		status = refuse(conn);
	else
		status = p->serve(conn, c);
	__atomic_sub_fetch(&c->api_requests, 1, __ATOMIC_SEQ_CST);
	return status;
}

int api_start(struct control *c)
{
	const struct control_settings *s = &c->settings->control;

	c->http = http_server_start(s->api_listen.host, s->api_listen.port, API_THREADS, c);
	if (!c->http) {
		log_event(LOG_ERROR, "cannot listen; is the port in use?", "address",
			  s->api_listen.host, "api_port", log_u64(s->api_listen.port), NULL);
		return ERR_IO;
	}
	for (const struct api_path *p = api_paths; p->path; p++)
		mg_set_request_handler(c->http, p->path, on_request, (void *)p);
	return 0;
}

/* Returns whether all requests that were begun are answered. */
static bool wait_for_answers(struct control *c, u64 end_us)
{
	while (__atomic_load_n(&c->api_requests, __ATOMIC_SEQ_CST)) {
		if (loop_clock_us() >= end_us)
			return false;
		g_usleep(STOP_POLL_US);
	}
	return true;
}

static void end_operations(void *arg)
{
	op_end_all(arg);
}

/* CivetWeb writes nothing more once it has been told to stop. */
void api_stop(struct control *c, u64 end_us)
{
	__atomic_store_n(&c->is_stopping, true, __ATOMIC_SEQ_CST);
	if (!c->http)
		return;
	if (!wait_for_answers(c, MIN(end_us, loop_clock_us() + OP_TIMEOUT_US))) {
		loop_call(c->loop, end_operations, c);
		wait_for_answers(c, loop_clock_us() + WRITE_US);
	}
	mg_stop(c->http);
}
