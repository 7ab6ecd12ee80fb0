/* How calls for the upstream beside this node end: replies, refusals and unknown outcomes. */
#include "node/home_impl.h"

#include "lib/err.h"
#include "lib/log.h"
#include "node/config.h"
#include "node/slowness_monitor.h"

#include <string.h>

static void job_free(struct job *j)
{
	home_count_call(j->node, &j->call_bytes, 0);
	http_free(j->msg);
	http_free(j->upstream.reply);
	g_free(j);
}

void home_send_refusal(struct node *n, struct link *origin, bool is_local, struct call_id id,
		       enum ctr reason, bool is_not_run)
{
	struct peer_refuse refuse = { .id = id, .is_not_run = is_not_run };
	FRAME_AUTO(f, PEER_REFUSE);

	home_get_load(n, &refuse.load);
	if (is_local) {
		entry_refuse(n, id, reason, is_not_run, &refuse.load);
		return;
	}
	if (!origin)
		return;
	refuse.reason = (char *)ctr_name(reason);
	peer_refuse_put(&f, &refuse);
	link_send(origin, &f);
}

static void remove_job(struct node *n, struct job *j)
{
	g_hash_table_remove(n->home->jobs, &j->id);
	job_free(j);
}

/* Returns the name of the organisation with HASH; NULL for none, or while it is not known here. */
static char *organisation_name(u64 hash)
{
	const struct config_organisation *o;
	char *name;

	if (!hash)
		return NULL;
	config_read_lock();
	o = config_current() ? config_find_organisation(config_current(), hash) : NULL;
	name = o ? g_strdup(o->name) : NULL;
	config_read_unlock();
	return name;
}

static const char *pick_name(enum admit_pick pick)
{
	static const char *const names[] = { [ADMIT_OLDEST] = "oldest",
					     [ADMIT_BY_ORDER] = "order",
					     [ADMIT_BY_SHARE] = "share",
					     [ADMIT_BY_FLOOR] = "floor" };

	return names[pick];
}

/* Logs one line for each refusal, with the values that led to it. */
static void log_refusal(const struct node *n, const struct job *j, enum ctr reason)
{
	const struct admit *a = &n->home->admit;
	const char *request = n->dialect->id(j->msg);
	g_autofree char *organisation = NULL;
	u64 now = loop_clock_us();
	u64 wait_us;

	if (!log_should_write("refuse", dialect_sample_id(n->dialect, j->msg), !j->is_idempotent))
		return;
	organisation = organisation_name(j->req.organisation);
	wait_us = admit_request_wait_us(a, &j->req);
	log_event(LOG_INFO, "refuse", "request", request ? request : "", "reason", ctr_name(reason),
		  "rank", log_u64(j->req.rank), "wait_us",
		  wait_us == UINT64_MAX ? "not known" : log_u64(wait_us), "target_us",
		  log_u64(j->req.target_us), "organisation", organisation ? organisation : "",
		  "expected_us", log_u64(j->req.expected_us), "left_us",
		  log_u64(j->req.deadline_us > now ? j->req.deadline_us - now : 0), "running",
		  log_u64(a->running), "queued", log_u64(a->queued), "limit", log_u64(a->limit),
		  "slowness", log_u64(a->slowness_percent), NULL);
}

/* The tombstone must exist before not-run is reported. */
void home_refuse_not_run(struct node *n, struct job *j, enum ctr reason)
{
	log_refusal(n, j, reason);
	ctr_inc(reason);
	call_table_refuse(&n->home->table, j->id, loop_clock_us());
	home_send_refusal(n, j->origin, j->is_local, j->id, reason, true);
	remove_job(n, j);
}

static void report_unknown_outcome(struct node *n, struct job *j, enum ctr reason)
{
	ctr_inc(reason);
	call_table_done(&n->home->table, j->id, NULL, loop_clock_us());
	home_send_refusal(n, j->origin, j->is_local, j->id, reason, false);
	remove_job(n, j);
}

void home_send_reply(struct node *n, struct link *origin, struct call_id id,
		     const struct http_msg *msg)
{
	struct peer_reply reply = { .id = id, .body_len = msg->body->len };
	FRAME_AUTO(f, PEER_REPLY);

	home_get_load(n, &reply.load);
	reply.msg = (struct http_msg *)msg;
	peer_reply_put(&f, &reply);
	if (!link_send(origin, &f))
		peer_send_body(origin, id, msg->body);
}

static enum ctr unknown_outcome_reason(int err)
{
	switch (err) {
	case ERR_TRUNCATED:
		return CTR_UPSTREAM_SHORT;
	case ERR_UNCERTAIN:
		return CTR_ANSWER_UNCERTAIN;
	case ERR_STATUS:
		return CTR_STATUS_INVALID;
	case ERR_TIMEOUT:
		return CTR_UPSTREAM_TIMEOUT;
	case ERR_TOOBIG:
		return CTR_REPLY_TOO_LARGE;
	case ERR_CANCELLED:
		return CTR_CANCELLED;
	default:
		return CTR_UPSTREAM_BROKEN;
	}
}

/* Returns the reason for a call of which nothing was written to the upstream. */
static enum ctr not_run_reason(int err)
{
	switch (err) {
	case ERR_TIMEOUT:
		return CTR_EXPIRED_UNRUN;
	case ERR_CANCELLED:
		return CTR_CANCELLED;
	default:
		return CTR_UPSTREAM_REFUSED;
	}
}

/* The call has run, but its entry node is told only that the outcome is not known. */
static void drop_reply(struct node *n, struct job *j, struct http_msg *reply)
{
	log_event(LOG_WARN, "reply dropped", "peer", j->origin->remote.name, "bytes",
		  log_u64(reply->body->len), "queued_bytes", log_u64(link_queued_bytes(j->origin)),
		  "held_bytes", log_u64(n->held.bytes), NULL);
	http_free(reply);
	report_unknown_outcome(n, j, CTR_REPLY_HELD);
}

/* Keeps the reply only if a fence may ask for it: a remote call that is not idempotent. */
static void deliver_reply(struct node *n, struct job *j)
{
	struct peer_load load;
	struct http_msg *reply = g_steal_pointer(&j->upstream.reply);

	if (j->origin && !home_may_queue_reply(n, j->origin, reply->body->len)) {
		drop_reply(n, j, reply);
		return;
	}
	home_get_load(n, &load);
	if (j->is_local) {
		entry_reply(n, j->id, reply, &load);
		reply = NULL;
	} else if (j->origin) {
		home_send_reply(n, j->origin, j->id, reply);
	}
	if (j->is_idempotent)
		http_free(g_steal_pointer(&reply));
	call_table_done(&n->home->table, j->id, reply, loop_clock_us());
	remove_job(n, j);
}

static bool is_success(const struct job *j)
{
	return !j->upstream.err && j->upstream.reply->status < 500;
}

/* Withdraws the upstream: another one has its address, or nothing listens there. */
static void mark_upstream_lost(struct node *n, enum ctr reason)
{
	if (n->dir_entry.state == DIR_NO_UPSTREAM)
		return;
	log_event(LOG_WARN, "upstream lost", "service", n->dir_entry.service, "reason",
		  ctr_name(reason), NULL);
	upstream_close_idle(n->home->upstream);
	node_set_state(n, DIR_NO_UPSTREAM);
}

/* An answer to what was sent before the announcement in force says nothing of that one. */
static void mark_other_instance(struct node *n, const struct job *j)
{
	if (j->req.started_us < n->home->upstream_since_us)
		return;
	local_upstream_disproved(n);
	mark_upstream_lost(n, CTR_OTHER_INSTANCE);
}

/* Returns the reason if the answer says that the request was not run, else CTR_COUNT. */
static enum ctr not_run_answer(struct node *n, const struct http_msg *reply)
{
	if (n->dialect->is_other_instance(reply))
		return CTR_OTHER_INSTANCE;
	if (n->dialect->is_refused_below(reply))
		return CTR_REFUSED_BELOW;
	return n->dialect->is_not_run(reply) ? CTR_UPSTREAM_SHED : CTR_COUNT;
}

/* A call that a node refused below, after its own attempts, is not tried again in any case. */
static enum ctr unnamed_refusal_reason(enum ctr not_run)
{
	return not_run == CTR_REFUSED_BELOW ? not_run : CTR_REFUSAL_UNNAMED;
}

/* Logs one line for each call that ended at the upstream, with its times and load there. */
static void log_completion(const struct node *n, const struct job *j)
{
	const struct admit_req *r = &j->req;
	const char *request = n->dialect->id(j->msg);
	u64 now = loop_clock_us();

	if (!log_should_write("run", dialect_sample_id(n->dialect, j->msg),
			      j->upstream.err || !j->is_idempotent))
		return;
	log_event(LOG_INFO, "run", "request", request ? request : "", "rank", log_u64(r->rank),
		  "waited_us", log_u64(r->started_us - r->queued_us), "took_us",
		  log_u64(now - r->started_us), "work_us", log_u64(r->work_us), "expected_us",
		  log_u64(r->expected_us), "pick", pick_name(r->pick), "beside", log_u64(r->level),
		  "slowness", log_u64(r->slowness_percent), "error",
		  j->upstream.err ? err_text(j->upstream.err) : "", NULL);
}

static void release_admission(struct node *n, struct job *j)
{
	struct admit *a = &n->home->admit;
	u32 before = a->limit;

	admit_done(a, &j->req, is_success(j), loop_clock_us());
	if (a->limit != before)
		log_event(LOG_INFO, "limit", "service", n->dir_entry.service, "from",
			  log_u64(before), "to", log_u64(a->limit), "knee",
			  log_u64(a->knee.current_limit), "slots", log_u64(a->slots), NULL);
}

void home_on_upstream_done(struct upstream_call *call)
{
	struct job *j = call->arg;
	struct node *n = j->node;
	enum ctr not_run = call->err ? CTR_COUNT : not_run_answer(n, call->reply);
	bool is_believed = call->is_named || !n->dialect->are_refusals_named;

	/*
	 * First, so that it can't be cancelled any more: what the answer says of the upstream may
	 * end other calls of the same caller, and with them this one.
	 */
	release_admission(n, j);
	if (!call->err && not_run != CTR_OTHER_INSTANCE) {
		slowness_monitor_record_answer(n->home->slowness_monitor, call->reply);
		home_record_notice(n, call, j->req.started_us, "call");
		if (j->req.started_us >= n->home->upstream_since_us)
			local_upstream_confirmed(n);
	}
	log_completion(n, j);
	if (not_run == CTR_OTHER_INSTANCE)
		mark_other_instance(n, j);
	else if (call->err == ERR_REFUSED)
		mark_upstream_lost(n, CTR_UPSTREAM_REFUSED);
	if (not_run != CTR_COUNT && is_believed)
		home_refuse_not_run(n, j, not_run);
	else if (not_run != CTR_COUNT)
		report_unknown_outcome(n, j, unnamed_refusal_reason(not_run));
	else if (!call->err && n->dialect->is_unstated_refusal(call->reply))
		report_unknown_outcome(n, j, CTR_REFUSAL_UNSTATED);
	else if (!call->err)
		deliver_reply(n, j);
	else if (!call->is_written)
		home_refuse_not_run(n, j, not_run_reason(call->err));
	else
		report_unknown_outcome(n, j, unknown_outcome_reason(call->err));
	home_run_queue(n);
}
