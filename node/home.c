/* Calls for the upstream beside this node: admission, execution and replies. */
#include "node/home_impl.h"

#include "lib/err.h"
#include "lib/log.h"
#include "node/slowness_monitor.h"

#include <string.h>

struct job {
	struct admit_req req; /* must be first: admission's requests are cast to jobs */
	struct node *node;
	struct call_id id;
	struct link *origin; /* NULL for a call of a local caller, or after the link broke */
	bool is_local;
	bool is_idempotent;
	struct http_msg *msg;
	struct upstream_call upstream;
};

static void job_free(struct job *j)
{
	http_free(j->msg);
	http_free(j->upstream.reply);
	g_free(j);
}

void home_get_load(struct node *n, struct peer_load *load)
{
	admit_load(&n->home->admit, load, loop_clock_us());
	load->is_draining = n->dir_entry.state != DIR_UP;
	load->slowness_percent = slowness_monitor_percent(n->home->slowness_monitor);
}

void home_push_load(struct node *n)
{
	u64 now = loop_clock_us();
	struct choose_target *self = choose_find(&n->choose, n->self.name);
	struct peer_load load;

	admit_set_slowness(&n->home->admit, slowness_monitor_percent(n->home->slowness_monitor),
			   now);
	home_get_load(n, &load);
	if (self)
		choose_set_load(self, &load, now);
	entry_slowness_changed(n, n->self.name);
	mesh_push_load(n);
	home_run_queue(n);
}

u32 home_in_progress(struct node *n)
{
	return g_hash_table_size(n->home->jobs);
}

static void send_refusal(struct node *n, struct link *origin, bool is_local, struct call_id id,
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

/* Logs one line for each refusal, with the values that led to it. */
static void log_refusal(const struct node *n, const struct job *j, enum ctr reason)
{
	const struct admit *a = &n->home->admit;
	const char *request = n->dialect->id(j->msg);
	u64 now = loop_clock_us();
	u64 wait_us;

	if (!log_should_write("refuse", request, !j->is_idempotent))
		return;
	wait_us = admit_wait_us(a, j->req.rank);
	log_event(LOG_INFO, "refuse", "request", request ? request : "", "reason", ctr_name(reason),
		  "rank", log_u64(j->req.rank), "wait_us",
		  wait_us == UINT64_MAX ? "not known" : log_u64(wait_us), "target_us",
		  log_u64(j->req.target_us), "left_us",
		  log_u64(j->req.deadline_us > now ? j->req.deadline_us - now : 0), "running",
		  log_u64(a->running), "queued", log_u64(a->queued), "limit", log_u64(a->limit),
		  "slowness", log_u64(a->slowness_percent), NULL);
}

/* Refuses a call that has not run. The tombstone must exist before not-run is reported. */
static void refuse_not_run(struct node *n, struct job *j, enum ctr reason)
{
	log_refusal(n, j, reason);
	ctr_inc(reason);
	call_table_refuse(&n->home->table, j->id, loop_clock_us());
	send_refusal(n, j->origin, j->is_local, j->id, reason, true);
	remove_job(n, j);
}

static void report_unknown_outcome(struct node *n, struct job *j, enum ctr reason)
{
	ctr_inc(reason);
	call_table_done(&n->home->table, j->id, NULL, loop_clock_us());
	send_refusal(n, j->origin, j->is_local, j->id, reason, false);
	remove_job(n, j);
}

static void send_reply(struct node *n, struct link *origin, struct call_id id,
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

/* Keeps the reply only if a fence may ask for it: a remote call that is not idempotent. */
static void deliver_reply(struct node *n, struct job *j)
{
	struct peer_load load;
	struct http_msg *reply = g_steal_pointer(&j->upstream.reply);

	home_get_load(n, &load);
	if (j->is_local) {
		entry_reply(n, j->id, reply, &load);
		reply = NULL;
	} else if (j->origin) {
		send_reply(n, j->origin, j->id, reply);
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

/* Returns the reason if the answer says that the request was not run, else CTR_COUNT. */
static enum ctr not_run_answer(struct node *n, const struct http_msg *reply)
{
	if (n->dialect->is_other_instance(reply))
		return CTR_OTHER_INSTANCE;
	if (n->dialect->is_refused_below(reply))
		return CTR_REFUSED_BELOW;
	return n->dialect->is_not_run(reply) ? CTR_UPSTREAM_SHED : CTR_COUNT;
}

/* Logs one line for each call that ended at the upstream, with its times and load there. */
static void log_completion(const struct node *n, const struct job *j)
{
	const struct admit_req *r = &j->req;
	const char *request = n->dialect->id(j->msg);
	u64 now = loop_clock_us();

	if (!log_should_write("run", request, j->upstream.err || !j->is_idempotent))
		return;
	log_event(LOG_INFO, "run", "request", request ? request : "", "rank", log_u64(r->rank),
		  "waited_us", log_u64(r->started_us - r->queued_us), "took_us",
		  log_u64(now - r->started_us), "work_us", log_u64(r->work_us), "beside",
		  log_u64(r->level), "slowness", log_u64(r->slowness_percent), "error",
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

static void on_upstream_done(struct upstream_call *call)
{
	struct job *j = call->arg;
	struct node *n = j->node;
	enum ctr not_run = call->err ? CTR_COUNT : not_run_answer(n, call->reply);

	if (!call->err && not_run != CTR_OTHER_INSTANCE) {
		slowness_monitor_record_answer(n->home->slowness_monitor, call->reply);
		home_record_notice(n, call, j->req.started_us, "call");
	}
	release_admission(n, j);
	log_completion(n, j);
	if (not_run == CTR_OTHER_INSTANCE)
		mark_upstream_lost(n, not_run);
	else if (call->err == ERR_REFUSED)
		mark_upstream_lost(n, CTR_UPSTREAM_REFUSED);
	if (not_run != CTR_COUNT)
		refuse_not_run(n, j, not_run);
	else if (!call->err && n->dialect->is_unstated_refusal(call->reply))
		report_unknown_outcome(n, j, CTR_REFUSAL_UNSTATED);
	else if (!call->err)
		deliver_reply(n, j);
	else if (!call->is_written)
		refuse_not_run(n, j, not_run_reason(call->err));
	else
		report_unknown_outcome(n, j, unknown_outcome_reason(call->err));
	home_run_queue(n);
}

static void start_job(struct node *n, struct job *j)
{
	j->upstream.instance = n->upstream_instance;
	j->upstream.deadline_us = stop_limit_us(&n->stop, j->upstream.deadline_us);
	j->upstream.done = on_upstream_done;
	j->upstream.arg = j;
	n->home->calls_under_limit += n->home->notice.now.has_rate_limit;
	upstream_start(n->home->upstream, &n->upstream_endpoint, &j->upstream);
}

void home_run_queue(struct node *n)
{
	struct home *h = n->home;
	u64 now = loop_clock_us();
	u64 next_us;
	struct admit_req *r;

	while ((r = admit_expired(&h->admit, now)))
		refuse_not_run(n, (struct job *)r, r->reason);
	while (home_may_start(n) && (r = admit_next(&h->admit, now)))
		start_job(n, (struct job *)r);
	next_us = MIN(admit_next_expiry_us(&h->admit), admit_next_start_us(&h->admit));
	if (next_us == UINT64_MAX)
		loop_timer_cancel(n->loop, &h->queue_timer);
	else
		loop_timer_set(n->loop, &h->queue_timer, next_us);
}

static struct job *job_new(struct node *n, struct link *origin, struct peer_call *call,
			   u64 deadline_us)
{
	struct job *j = g_new0(struct job, 1);

	j->node = n;
	j->id = call->id;
	j->origin = origin;
	j->is_local = !origin;
	j->msg = g_steal_pointer(&call->msg);
	j->req.deadline_us = deadline_us;
	j->req.bytes = j->msg->body->len + sizeof(*j);
	j->req.target_us = call->target_us;
	j->req.has_alternative = call->has_alternative;
	j->upstream.request = j->msg;
	j->upstream.deadline_us = deadline_us;
	j->upstream.max_body_bytes = n->settings->node.max_body_bytes;
	return j;
}

/* Queues a call that can no longer meet its target behind all others. */
static int offer_as_late(struct node *n, struct job *j, u64 now_us)
{
	ctr_inc(CTR_LATE_CALL);
	j->req.rank = n->home->late_rank;
	j->req.target_us = 0;
	return admit_offer(&n->home->admit, &j->req, now_us);
}

static int admit_job(struct node *n, struct job *j, const struct peer_call *call, u64 now_us)
{
	int rank = home_find_rank(call, j->msg->method, &j->is_idempotent);
	struct admit *a = &n->home->admit;
	int err;

	if (n->dir_entry.state == DIR_DRAINING || n->is_stopping)
		return -CTR_DRAINING;
	if (n->dir_entry.state != DIR_UP || strcmp(n->dir_entry.service, call->service))
		return -CTR_WRONG_HOME;
	if (rank < 0)
		return -CTR_NO_RANK;
	if (j->req.deadline_us <= now_us)
		return -CTR_EXPIRED_UNRUN;
	home_configure(n);
	j->req.rank = (u32)rank;
	j->upstream.is_idempotent = j->is_idempotent;
	if (j->req.target_us && admit_is_late(a, &j->req))
		return offer_as_late(n, j, now_us);
	err = admit_offer(a, &j->req, now_us);
	/* A deferred call that no other upstream can take is queued as late rather than refused. */
	if (err == -CTR_QUEUE_WAIT && !j->req.has_alternative && admit_is_deferred(a, j->req.rank))
		return offer_as_late(n, j, now_us);
	return err;
}

void home_call(struct node *n, struct link *origin, struct peer_call *call, u64 deadline_us)
{
	struct home *h = n->home;
	struct job *j;
	int err = call_table_begin(&h->table, call->id);

	if (err) {
		if (err == ERR_NOTFOUND)
			send_refusal(n, origin, !origin, call->id, CTR_CALL_FORGOTTEN, false);
		peer_call_clear(call);
		return;
	}
	j = job_new(n, origin, call, deadline_us);
	g_hash_table_insert(h->jobs, &j->id, j);
	slowness_monitor_call_started(h->slowness_monitor);
	err = admit_job(n, j, call, loop_clock_us());
	peer_call_clear(call);
	if (err)
		refuse_not_run(n, j, (enum ctr) - err);
	else
		home_run_queue(n);
}

static void cancel_job(struct node *n, struct job *j)
{
	if (j->req.state == ADMIT_QUEUED) {
		admit_cancel(&n->home->admit, &j->req);
		refuse_not_run(n, j, CTR_CANCELLED);
		return;
	}
	upstream_abort(&j->upstream, ERR_CANCELLED);
}

void home_cancel(struct node *n, struct call_id id)
{
	struct job *j = g_hash_table_lookup(n->home->jobs, &id);

	if (j)
		cancel_job(n, j);
}

void home_caller_left(struct node *n, struct call_id id)
{
	struct job *j = g_hash_table_lookup(n->home->jobs, &id);

	if (j && (j->is_idempotent || j->req.state == ADMIT_QUEUED))
		cancel_job(n, j);
}

/* Returns the ids of all jobs. Ending one job may end others, so look up each id again. */
static GArray *list_job_ids(const struct node *n)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct call_id));
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, n->home->jobs);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_array_append_val(out, *(const struct call_id *)key);
	return out;
}

static struct job *find_job(const struct node *n, const GArray *ids, guint i)
{
	return g_hash_table_lookup(n->home->jobs, &g_array_index(ids, struct call_id, i));
}

void home_cancel_all(struct node *n)
{
	g_autoptr(GArray) ids = list_job_ids(n);

	for (guint i = 0; i < ids->len; i++) {
		struct job *j = find_job(n, ids, i);

		if (j)
			cancel_job(n, j);
	}
}

void home_refuse_queued(struct node *n, enum ctr reason)
{
	g_autoptr(GArray) ids = list_job_ids(n);

	for (guint i = 0; i < ids->len; i++) {
		struct job *j = find_job(n, ids, i);

		if (!j || j->req.state != ADMIT_QUEUED)
			continue;
		admit_cancel(&n->home->admit, &j->req);
		refuse_not_run(n, j, reason);
	}
}

void home_fence(struct node *n, struct link *origin, struct call_id id)
{
	const struct http_msg *reply;
	enum fence_state state = call_table_fence(&n->home->table, id, loop_clock_us(), &reply);
	struct job *j = g_hash_table_lookup(n->home->jobs, &id);
	FRAME_AUTO(f, PEER_FENCED);

	if (state == FENCE_RUNNING && j)
		j->origin = origin;
	peer_id_put(&f, id);
	frame_put_u64(&f, state);
	link_send(origin, &f);
	if (state == FENCE_DONE)
		send_reply(n, origin, id, reply);
}

void home_expect_calls(struct node *n)
{
	slowness_monitor_call_started(n->home->slowness_monitor);
}

void home_link_down(struct node *n, struct link *origin)
{
	g_autoptr(GArray) ids = list_job_ids(n);

	for (guint i = 0; i < ids->len; i++) {
		struct job *j = find_job(n, ids, i);

		if (!j || j->origin != origin || j->is_local)
			continue;
		j->origin = NULL;
		/* The entry node retries idempotent calls elsewhere, and fences the others. */
		if (j->is_idempotent)
			cancel_job(n, j);
	}
}

void home_apply_settings(struct node *n)
{
	slowness_monitor_apply_settings(n->home->slowness_monitor);
}

void home_upstream_changed(struct node *n)
{
	upstream_close_idle(n->home->upstream);
	slowness_monitor_reset(n->home->slowness_monitor);
	n->home->notice = (struct notice){ 0 };
	n->home->notice_source = NOTICE_NONE;
	n->home->upstream_since_us = loop_clock_us();
	admit_remove_rate_limit(&n->home->admit, loop_clock_us());
}

void home_tick(struct node *n, u64 now_us)
{
	call_table_expire(&n->home->table, now_us);
	admit_adopt_knee(&n->home->admit,
			 choose_median_knee(&n->choose, n->dir_entry.service, n->dir_entry.slots));
}

static void on_queue_timer(void *arg, u64 now_us)
{
	(void)now_us;
	home_run_queue(arg);
}

int home_start(struct node *n)
{
	struct home *h = g_new0(struct home, 1);

	n->home = h;
	admit_init(&h->admit);
	call_table_init(&h->table);
	h->jobs = g_hash_table_new(call_id_hash, call_id_equal);
	h->upstream = upstream_new(n->loop, n->dialect);
	h->slowness_monitor = slowness_monitor_new(n);
	h->queue_timer = (struct loop_timer){ .fire = on_queue_timer, .arg = n };
	return 0;
}

void home_free(struct node *n)
{
	struct home *h = n->home;

	slowness_monitor_free(h->slowness_monitor);
	upstream_free(h->upstream);
	loop_timer_cancel(n->loop, &h->queue_timer);
	admit_clear(&h->admit);
	call_table_clear(&h->table);
	g_hash_table_unref(h->jobs);
	g_free(h->ranks_service);
	g_clear_pointer(&n->home, g_free);
}
