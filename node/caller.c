/* The HTTP server for callers. */
#include "node/node.h"

#include "lib/err.h"
#include "lib/hist.h"
#include "lib/http_server.h"
#include "lib/log.h"
#include "node/config.h"

#include <civetweb.h>
#include <stdlib.h>
#include <string.h>

#define CALLER_THREADS 256
#define DEFAULT_TIMEOUT_MS 30000
#define TIMEOUT_MAX_MS 600000

static int refuse(struct mg_connection *conn, int status, const char *outcome, enum ctr reason,
		  const char *text)
{
	return http_send_error(conn, status, outcome, ctr_name(reason), text);
}

static int refuse_counted(struct mg_connection *conn, int status, enum ctr reason, const char *text)
{
	ctr_inc(reason);
	return refuse(conn, status, "not-run", reason, text);
}

/* Fills in service, rank and idempotence. Returns CTR_CALLS, or the reason of a refusal. */
static enum ctr route(const struct mg_request_info *ri, const char *host, struct entry_call *call)
{
	const struct config *config;
	const struct config_service *s;
	const struct res_rank *rank;
	enum ctr result = CTR_CALLS;
	int at;

	config_read_lock();
	config = config_current();
	s = config && host ? config_find_host(config, host) : NULL;
	at = s ? res_rank_of(s->res, ri->request_method, ri->local_uri) : -1;
	if (!config) {
		result = CTR_NO_CONFIG;
	} else if (!s) {
		result = CTR_NO_SERVICE;
	} else if (at < 0) {
		result = CTR_NO_RANK;
	} else {
		rank = g_ptr_array_index(s->res->ranks, (guint)at);
		call->service = g_strdup(s->res->name);
		call->rank = g_strdup(rank->name);
		call->is_idempotent = res_is_idempotent(rank, ri->request_method);
	}
	config_read_unlock();
	return result;
}

static u64 timeout_ms(struct mg_connection *conn)
{
	const char *text = mg_get_header(conn, "Lavenderlead-Timeout-Ms");
	u64 ms;
	char *end;

	if (!text)
		return DEFAULT_TIMEOUT_MS;
	ms = strtoull(text, &end, 10);
	if (end == text || *end || *text == '-')
		return DEFAULT_TIMEOUT_MS;
	return MIN(ms, (u64)TIMEOUT_MAX_MS);
}

static struct http_msg *make_request(const struct mg_request_info *ri)
{
	struct http_msg *m = http_new();

	m->method = g_strdup(ri->request_method);
	m->target = ri->query_string ? g_strconcat(ri->local_uri_raw, "?", ri->query_string, NULL) :
				       g_strdup(ri->local_uri_raw);
	for (int i = 0; i < ri->num_headers; i++)
		if (!http_is_hop_header(ri->http_headers[i].name))
			http_add_header(m, ri->http_headers[i].name, ri->http_headers[i].value);
	return m;
}

static int send_answer(struct mg_connection *conn, const struct http_msg *m, bool is_head)
{
	g_autoptr(GString) head = g_string_new(NULL);

	g_string_printf(head, "HTTP/1.1 %d %s\r\n", m->status,
			mg_get_response_code_text(conn, m->status));
	for (guint i = 0; i < m->headers->len; i++) {
		const struct http_header *h = g_ptr_array_index(m->headers, i);

		g_string_append_printf(head, "%s: %s\r\n", h->name, h->value);
	}
	if (!is_head && m->status != 204 && m->status != 304)
		g_string_append_printf(head, "Content-Length: %u\r\n", m->body->len);
	g_string_append(head, "\r\n");
	mg_write(conn, head->str, head->len);
	if (!is_head)
		mg_write(conn, m->body->data, m->body->len);
	return m->status;
}

static const char *describe(const struct entry_call *call)
{
	if (call->status == 504)
		return "the deadline passed";
	return call->is_not_run ? "refused, the call was not run" :
				  "the outcome is not known, the call may have run";
}

/* One line a call, for looking into a single call; never at level info. */
static void log_call(const struct entry_call *call, u64 time_us)
{
	g_autofree char *id = NULL;

	if (!log_is_on(LOG_DEBUG))
		return;
	id = g_strdup_printf("%llx-%llu", (unsigned long long)call->last_id.incarnation,
			     (unsigned long long)call->last_id.seq);
	log_event(LOG_DEBUG, "call", "call", id, "service", call->service, "rank", call->rank,
		  "status", log_u64(call->status), "reason",
		  call->answer ? "" : ctr_name(call->reason), "time_us", log_u64(time_us), NULL);
}

static int finish(struct mg_connection *conn, struct entry_call *call, u64 start_us)
{
	u64 time_us = loop_clock_us() - start_us;
	int ret;

	log_call(call, time_us);
	if (call->answer) {
		ctr_inc(CTR_ANSWERS);
		hist_record(call->service, call->rank, time_us);
		ret = send_answer(conn, call->answer, !strcmp(call->msg->method, "HEAD"));
	} else {
		ret = refuse(conn, call->status, call->is_not_run ? "not-run" : "unknown",
			     call->reason, describe(call));
	}
	http_free(call->answer);
	http_free(call->msg);
	g_free(call->service);
	g_free(call->rank);
	return ret;
}

static int on_call(struct mg_connection *conn, void *arg)
{
	struct node *n = arg;
	const struct mg_request_info *ri = mg_get_request_info(conn);
	struct entry_call call = { 0 };
	u64 start_us = loop_clock_us();
	u64 ms = timeout_ms(conn);
	enum ctr reason;
	int err;

	ctr_inc(CTR_CALLS);
	call.deadline_us = start_us + ms * US_PER_MS;
	if (__atomic_load_n(&n->is_stopping, __ATOMIC_ACQUIRE))
		return refuse_counted(conn, 503, CTR_DRAINING, "this node is shutting down");
	reason = route(ri, mg_get_header(conn, "Host"), &call);
	if (reason == CTR_NO_SERVICE)
		return refuse_counted(conn, 404, reason, "no service for this host");
	if (reason == CTR_NO_RANK)
		return refuse_counted(conn, 404, reason, "no rank of the service matches");
	if (reason != CTR_CALLS)
		return refuse_counted(conn, 503, reason, "no configuration received yet");
	call.msg = make_request(ri);
	err = http_read_body(conn, call.msg->body, n->settings->node.max_body_bytes);
	if (err) {
		ctr_inc(err == ERR_TOOBIG ? CTR_BODY_TOO_LARGE : CTR_BAD_REQUEST);
		call.reason = err == ERR_TOOBIG ? CTR_BODY_TOO_LARGE : CTR_BAD_REQUEST;
		call.status = err == ERR_TOOBIG ? 413 : 400;
		call.is_not_run = true;
		mg_disable_connection_keep_alive(conn);
	} else if (!ms) {
		ctr_inc(CTR_DEADLINE);
		call.reason = CTR_DEADLINE;
		call.status = 504;
		call.is_not_run = true;
	} else {
		entry_run(n, &call);
	}
	return finish(conn, &call, start_us);
}

int caller_start(struct node *n)
{
	const struct node_settings *s = &n->settings->node;

	n->caller_http = http_listen(s->address, s->caller_port, CALLER_THREADS);
	if (!n->caller_http) {
		log_event(LOG_ERROR, "cannot listen; is the port in use?", "address", s->address,
			  "caller_port", log_u64(s->caller_port), NULL);
		return ERR_IO;
	}
	mg_set_request_handler(n->caller_http, "/", on_call, n);
	return 0;
}

void caller_stop(struct node *n)
{
	if (n->caller_http)
		mg_stop(n->caller_http);
}
