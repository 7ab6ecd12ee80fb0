/* HTTP server for callers. */
#include "node/node.h"

#include "lib/descriptors.h"
#include "lib/err.h"
#include "lib/hist.h"
#include "lib/log.h"
#include "node/config.h"
#include "node/quota_host.h"
#include "node/retry_after.h"
#include "node/route.h"

#include <string.h>

/* A call is late once it has taken more than its target time divided by this. */
#define LATE_TARGET_DIVISOR 2

/* One caller request, from its arrival until it is answered. */
struct caller {
	struct node *node;
	struct httpd_request *request; /* NULL once the caller has left */
	struct entry_call call;
	struct quota_ticket ticket;
	struct route_request route;
	bool waits_for_token;
	bool has_token;
	u64 start_us;
	u64 caller_deadline_us; /* when the caller stops waiting */
};

static const char *describe_refusal(const struct dialect_refusal *r)
{
	const char *text = route_describe(r->reason);

	if (text)
		return text;
	switch (r->reason) {
	case CTR_QUOTA:
		return "the organisation is over its quota";
	case CTR_QUOTA_NOT_KNOWN:
		return "nobody could tell in time whether the organisation is over its quota";
	default:
		break;
	}
	if (r->status == 504)
		return "the deadline passed";
	return r->is_not_run ? "refused, the call was not run" :
			       "the outcome is not known, the call may have run";
}

static void put_error(struct http_msg *answer, const struct dialect_refusal *refusal)
{
	g_autofree char *body = g_strdup_printf("{\"error\":\"%s\"}\n", describe_refusal(refusal));

	g_byte_array_append(answer->body, (const guint8 *)body, (guint)strlen(body));
}

/* Builds the answer to a refused call. The reason was counted where it occurred. */
static struct http_msg *make_refusal(struct node *n, struct caller *c,
				     struct dialect_refusal *refusal)
{
	u64 now = loop_clock_us();
	struct retry_after params = {
		.reason = refusal->reason,
		.remaining_us = c->caller_deadline_us - MIN(c->caller_deadline_us, now),
		.is_late = c->call.target_us < (now - c->start_us) * LATE_TARGET_DIVISOR,
	};
	struct http_msg *m = http_json_response(refusal->status, "");

	put_error(m, refusal);
	if (refusal->reason == CTR_QUOTA)
		refusal->retry_after_ms = c->ticket.call.wait_ms;
	else if (refusal->is_not_run)
		refusal->retry_after_ms = retry_after_us(&params, &n->choose.rng) / US_PER_MS;
	n->dialect->refuse(m, refusal);
	return m;
}

/* Logs how a call ended, and why. */
static void log_call(const struct node *n, const struct entry_call *call, u64 time_us)
{
	const char *request = n->dialect->id(call->msg);
	char id[PEER_ID_TEXT_BYTES];
	bool is_failure = !call->answer || call->status >= 500;

	if (!log_should_write(call->answer ? "answer" : "refusal", request,
			      is_failure || !call->is_idempotent))
		return;
	peer_id_to_text(call->last_attempt_id, id);
	log_event(call->answer ? LOG_INFO : LOG_WARN, call->answer ? "answer" : "refusal",
		  "request", request ? request : id, "call", id, "service", call->service, "rank",
		  call->rank, "status", log_u64(call->status), "reason",
		  call->answer ? "" : ctr_name(call->reason), "time_us", log_u64(time_us),
		  "target_us", log_u64(call->target_us), "revision", log_u64(config_revision()),
		  "organisation", call->organisation ? call->organisation : "", NULL);
}

static void caller_free(struct caller *c)
{
	http_free(c->call.answer);
	g_free(c->call.service);
	g_free(c->call.rank);
	g_free(c->call.organisation);
	g_free(c);
}

static void on_done(struct node *n, struct entry_call *call)
{
	struct caller *c = call->arg;
	u64 time_us = loop_clock_us() - c->start_us;
	struct dialect_refusal refusal = { .status = call->status,
					   .is_not_run = call->is_not_run,
					   .reason = call->reason };

	log_call(n, call, time_us);
	if (c->has_token && !call->answer && call->is_not_run)
		quota_host_return(n, call->organisation_hash);
	if (call->answer) {
		ctr_inc(CTR_ANSWERS);
		hist_record(call->service, call->rank, time_us);
		httpd_answer(c->request, g_steal_pointer(&call->answer));
	} else {
		httpd_answer(c->request, make_refusal(n, c, &refusal));
	}
	caller_free(c);
}

/* ORGANISATION is NULL if the call has none. */
static void log_unsubmitted(const struct node *n, const char *request, const char *organisation,
			    u16 status, enum ctr reason)
{
	if (log_should_write("refusal", request, true))
		log_event(LOG_WARN, "refusal", "request", request ? request : "", "status",
			  log_u64(status), "reason", ctr_name(reason), "organisation",
			  organisation ? organisation : "", "revision", log_u64(config_revision()),
			  "newest", log_u64(watch_newest_revision(n)), NULL);
}

static void refuse_unsubmitted(struct node *n, struct caller *c, enum ctr reason, u16 status)
{
	struct dialect_refusal refusal = { .status = status, .is_not_run = true, .reason = reason };

	ctr_inc(reason);
	log_unsubmitted(n, n->dialect->id(c->call.msg), c->call.organisation, status, reason);
	httpd_answer(c->request, make_refusal(n, c, &refusal));
	caller_free(c);
}

/* Starts a call that may run by its key and its organisation's quota. */
static void submit(struct node *n, struct caller *c)
{
	n->dialect->set_caller_service(c->call.msg, n->settings->node.service ?
							    n->settings->node.service :
							    n->dir_entry.service);
	entry_submit(n, &c->call);
}

static void on_token(struct quota_ticket *t)
{
	struct caller *c = (struct caller *)((char *)t - offsetof(struct caller, ticket));

	c->waits_for_token = false;
	if (t->call.verdict == QUOTA_EXCEEDED) {
		refuse_unsubmitted(c->node, c, CTR_QUOTA, 429);
	} else if (t->call.verdict != QUOTA_GRANTED) {
		refuse_unsubmitted(c->node, c, CTR_QUOTA_NOT_KNOWN, 503);
	} else {
		c->has_token = true;
		submit(c->node, c);
	}
}

static void wait_for_token(struct node *n, struct caller *c)
{
	c->waits_for_token = true;
	c->ticket.decided = on_token;
	c->ticket.call.organisation = c->call.organisation_hash;
	quota_host_ask(n, &c->ticket, c->call.target_us);
}

static void on_request(struct httpd_request *request, void *arg)
{
	struct node *n = arg;
	struct caller *c = g_new0(struct caller, 1);
	u64 ms = ROUTE_DEFAULT_TIMEOUT_MS;
	enum ctr reason;
	u16 status;

	ctr_inc(CTR_CALLS);
	request->arg = c;
	c->node = n;
	c->request = request;
	c->start_us = loop_clock_us();
	c->call.msg = request->msg;
	c->call.done = on_done;
	c->call.arg = c;
	/* Only nodes and upstreams name attempts. */
	n->dialect->set_attempt_id(request->msg, NULL);
	n->dialect->timeout_ms(request->msg, &ms);
	/* The timeout starts when the request is complete and includes any wait behind others. */
	c->call.deadline_us = request->began_us + ms * US_PER_MS;
	c->caller_deadline_us = c->call.deadline_us;
	c->route.call = &c->call;
	c->route.rng = &n->choose.rng;
	reason = route_decide(n, &c->route, c->start_us, &status);
	c->ticket.call.is_again = c->route.is_again;
	if (reason != CTR_CALLS) {
		refuse_unsubmitted(n, c, reason, status);
		return;
	}
	if (c->route.needs_token)
		wait_for_token(n, c);
	else
		submit(n, c);
}

static bool may_overlap(const struct httpd_request *request, void *arg)
{
	const char *host = http_header(request->msg, "Host");
	const struct config_route *r = NULL;
	bool is_idempotent = !strcmp(request->msg->method, "GET");

	(void)arg;
	config_read_lock();
	if (config_current() && host)
		r = config_find_route(config_current(), host, request->msg->target);
	if (r)
		is_idempotent = r->is_idempotent;
	config_read_unlock();
	return is_idempotent;
}

static void on_closed(struct httpd_request *request, enum httpd_close_kind how, void *arg)
{
	struct caller *c = request->arg;
	struct node *n = arg;
	bool is_final = how == HTTPD_DISCONNECTED || n->dialect->is_close_final;

	if (c && c->waits_for_token && is_final) {
		quota_host_cancel(n, &c->ticket);
		refuse_unsubmitted(n, c, CTR_CALLER_LEFT, 503);
		return;
	}
	/* A caller that closed only its side may still read the answer to a non-idempotent call. */
	if (c && !c->waits_for_token && (is_final || c->call.is_idempotent))
		entry_caller_left(n, &c->call);
}

static enum ctr own_refusal_reason(u16 status, enum ctr reason)
{
	switch (status) {
	case 413:
		return CTR_BODY_TOO_LARGE;
	case 503:
		return reason;
	default:
		return CTR_BAD_REQUEST;
	}
}

/* Returns whether a newer configuration may allow what was refused with STATUS for its size. */
static bool is_limit_of_config(const struct node *n, u16 status)
{
	const struct config *config;
	u64 body_bytes = 0;

	if (status != 413)
		return status == 431;
	config_read_lock();
	config = config_current();
	if (config && config->set)
		body_bytes = config->set->limits.body_bytes;
	config_read_unlock();
	/* Above the limit in the settings, no configuration allows a body. */
	return body_bytes && body_bytes < n->settings->node.max_body_bytes;
}

static void refuse_as_not_current(struct node *n, struct http_msg *answer,
				  struct dialect_refusal *refusal)
{
	struct retry_after params = { .reason = CTR_CONFIG_NOT_CURRENT,
				      .remaining_us = ROUTE_DEFAULT_TIMEOUT_MS * US_PER_MS };

	refusal->status = 503;
	refusal->reason = CTR_CONFIG_NOT_CURRENT;
	refusal->retry_after_ms = retry_after_us(&params, &n->choose.rng) / US_PER_MS;
	ctr_inc(refusal->reason);
	log_unsubmitted(n, NULL, NULL, refusal->status, refusal->reason);
	g_byte_array_set_size(answer->body, 0);
	put_error(answer, refusal);
}

static void on_refuse(struct http_msg *answer, enum ctr reason, void *arg)
{
	struct node *n = arg;
	struct dialect_refusal refusal = { .status = answer->status,
					   .is_not_run = true,
					   .reason = own_refusal_reason(answer->status, reason) };

	if (is_limit_of_config(n, answer->status) &&
	    route_refusal(n, refusal.reason) == CTR_CONFIG_NOT_CURRENT)
		refuse_as_not_current(n, answer, &refusal);
	n->dialect->refuse(answer, &refusal);
}

static const struct httpd_ops ops = {
	.request = on_request,
	.may_overlap = may_overlap,
	.closed = on_closed,
	.refuse = on_refuse,
	.needs_host = true,
};

static u64 or_default(u64 value, u64 fallback)
{
	return value ? value : fallback;
}

void caller_configure(struct node *n)
{
	const struct node_settings *s = &n->settings->node;
	struct httpd_limits limits = httpd_limits_for(&s->callers, DESCRIPTORS_CALLERS_SHARE);
	const struct config *config;

	limits.body_bytes = s->max_body_bytes;
	n->held.max_bytes = s->callers.max_held_bytes;
	config_read_lock();
	config = config_current();
	if (config && config->set) {
		const struct set_limits *l = &config->set->limits;

		limits.head_bytes = or_default(l->head_bytes, limits.head_bytes);
		limits.body_bytes =
			or_default(MIN(l->body_bytes, limits.body_bytes), limits.body_bytes);
		limits.head_timeout_us =
			or_default(l->head_timeout_ms * US_PER_MS, limits.head_timeout_us);
		limits.idle_timeout_us =
			or_default(l->idle_timeout_ms * US_PER_MS, limits.idle_timeout_us);
	}
	config_read_unlock();
	httpd_set_limits(n->caller_http, &limits);
}

int caller_start(struct node *n)
{
	const struct endpoint *at = &n->settings->node.caller_listen;

	n->caller_http = httpd_listen(n->loop, at->host, at->port, &ops, n);
	if (!n->caller_http) {
		log_event(LOG_ERROR, "cannot listen; is the port in use?", "address", at->host,
			  "caller_port", log_u64(at->port), NULL);
		return ERR_IO;
	}
	httpd_set_held(n->caller_http, &n->held);
	caller_configure(n);
	return 0;
}

void caller_refuse_incomplete(struct node *n)
{
	httpd_refuse_incomplete(n->caller_http, 503, CTR_STOPPING);
}

void caller_stop(struct node *n)
{
	if (n->caller_http)
		httpd_free(n->caller_http);
	n->caller_http = NULL;
}
