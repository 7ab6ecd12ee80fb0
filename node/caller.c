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
		call->worth = rank->worth;
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

/* IS_LAST ends the connection, and says so. */
static int send_answer(struct mg_connection *conn, const struct http_msg *m, bool is_last)
{
	bool is_head = !strcmp(mg_get_request_info(conn)->request_method, "HEAD");
	g_autoptr(GString) head = g_string_new(NULL);

	g_string_printf(head, "HTTP/1.1 %d %s\r\n", m->status,
			mg_get_response_code_text(conn, m->status));
	for (guint i = 0; i < m->headers->len; i++) {
		const struct http_header *h = g_ptr_array_index(m->headers, i);

		g_string_append_printf(head, "%s: %s\r\n", h->name, h->value);
	}
	if (!is_head && m->status != 204 && m->status != 304)
		g_string_append_printf(head, "Content-Length: %u\r\n", m->body->len);
	if (is_last) {
		g_string_append(head, "Connection: close\r\n");
		mg_disable_connection_keep_alive(conn);
	}
	g_string_append(head, "\r\n");
	mg_write(conn, head->str, head->len);
	if (!is_head)
		mg_write(conn, m->body->data, m->body->len);
	return m->status;
}

/* An answer made by the system; the reason was counted where it arose. */
static int refuse(struct mg_connection *conn, u16 status, bool is_not_run, enum ctr reason,
		  const char *text, bool is_last)
{
	g_autofree char *body = g_strdup_printf("{\"error\":\"%s\"}\n", text);
	struct http_msg *m = http_new();

	m->status = status;
	http_add_header(m, "Content-Type", "application/json");
	http_add_header(m, "Lavenderlead-Outcome", is_not_run ? "not-run" : "unknown");
	http_add_header(m, "Lavenderlead-Reason", ctr_name(reason));
	g_byte_array_append(m->body, (const guint8 *)body, (guint)strlen(body));
	send_answer(conn, m, is_last);
	http_free(m);
	return status;
}

static const char *describe(const struct entry_call *call)
{
	if (call->status == 504)
		return "the deadline passed";
	return call->is_not_run ? "refused, the call was not run" :
				  "the outcome is not known, the call may have run";
}

static bool is_stopping(const struct node *n)
{
	return __atomic_load_n(&n->is_stopping, __ATOMIC_ACQUIRE);
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

/*
 * A call that may not be repeated goes on when its caller only closed its
 * side: it is wanted, and a cancellation would leave its outcome unknown.
 */
static bool has_left(const struct entry_call *call)
{
	int state = http_client_state(call->conn);

	return state == HTTP_CLIENT_GONE || (state == HTTP_CLIENT_SENT_ALL && call->is_idempotent);
}

static int answer_call(struct node *n, struct mg_connection *conn, struct entry_call *call)
{
	u64 start_us = loop_clock_us();
	u64 time_us;

	call->has_left = has_left;
	call->conn = conn;
	entry_run(n, call);
	time_us = loop_clock_us() - start_us;
	log_call(call, time_us);
	if (!call->answer)
		return refuse(conn, call->status, call->is_not_run, call->reason, describe(call),
			      is_stopping(n));
	ctr_inc(CTR_ANSWERS);
	hist_record(call->service, call->rank, time_us);
	return send_answer(conn, call->answer, is_stopping(n));
}

static int refuse_body(struct mg_connection *conn, int err)
{
	if (err != ERR_TOOBIG) {
		ctr_inc(CTR_BAD_REQUEST);
		return refuse(conn, 400, true, CTR_BAD_REQUEST,
			      "the request body ended before its length", true);
	}
	ctr_inc(CTR_BODY_TOO_LARGE);
	return refuse(conn, 413, true, CTR_BODY_TOO_LARGE, "the request body is too large", true);
}

static void allow_body(struct mg_connection *conn, u64 max)
{
	const char *expect = mg_get_header(conn, "Expect");
	const struct mg_request_info *ri = mg_get_request_info(conn);

	if (!expect || g_ascii_strcasecmp(expect, "100-continue"))
		return;
	if (ri->content_length <= 0 || (u64)ri->content_length <= max)
		mg_printf(conn, "HTTP/1.1 100 Continue\r\n\r\n");
}

static int take_call(struct node *n, struct mg_connection *conn, struct entry_call *call, u64 ms)
{
	u64 max = n->settings->node.max_body_bytes;
	int err;

	allow_body(conn, max);
	err = http_read_body(conn, call->msg->body, max);
	if (err)
		return refuse_body(conn, err);
	if (ms)
		return answer_call(n, conn, call);
	ctr_inc(CTR_DEADLINE);
	return refuse(conn, 504, true, CTR_DEADLINE, "the deadline passed", is_stopping(n));
}

/* Refused before the body was read, so the connection cannot be used again when there is one. */
static int refuse_early(struct node *n, struct mg_connection *conn, enum ctr reason)
{
	bool has_body = mg_get_request_info(conn)->content_length > 0 ||
			mg_get_header(conn, "Transfer-Encoding");

	ctr_inc(reason);
	switch (reason) {
	case CTR_NO_SERVICE:
		return refuse(conn, 404, true, reason, "no service for this host", has_body);
	case CTR_NO_RANK:
		return refuse(conn, 404, true, reason, "no rank of the service matches", has_body);
	case CTR_DRAINING:
		return refuse(conn, 503, true, reason, "this node is shutting down", true);
	default:
		return refuse(conn, 503, true, reason, "no configuration received yet",
			      has_body || is_stopping(n));
	}
}

static int serve(struct node *n, struct mg_connection *conn)
{
	const struct mg_request_info *ri = mg_get_request_info(conn);
	struct entry_call call = { 0 };
	u64 ms = timeout_ms(conn);
	enum ctr reason;
	int status;

	ctr_inc(CTR_CALLS);
	call.deadline_us = loop_clock_us() + ms * US_PER_MS;
	reason = is_stopping(n) ? CTR_DRAINING : route(ri, mg_get_header(conn, "Host"), &call);
	if (reason != CTR_CALLS)
		return refuse_early(n, conn, reason);
	call.msg = make_request(ri);
	status = take_call(n, conn, &call, ms);
	http_free(call.answer);
	http_free(call.msg);
	g_free(call.service);
	g_free(call.rank);
	return status;
}

static int on_call(struct mg_connection *conn, void *arg)
{
	struct node *n = arg;
	int status;

	__atomic_add_fetch(&n->callers, 1, __ATOMIC_ACQ_REL);
	status = serve(n, conn);
	__atomic_sub_fetch(&n->callers, 1, __ATOMIC_ACQ_REL);
	return status;
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
