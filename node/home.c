/* Calls for the upstream beside this node: admission, the calls there, replies. */
#include "node/node.h"

#include "lib/err.h"
#include "lib/log.h"
#include "node/config.h"
#include "node/gauge.h"
#include "node/upstream.h"

#include <string.h>

/* A call of the late rank waits no longer than this, or than its deadline. */
#define LATE_TARGET_US (1 * US_PER_S)

struct job {
	struct admit_req req; /* first, so that admission's pointers lead back */
	struct node *node;
	struct call_id id;
	struct link *origin; /* NULL for a call that entered here, or after the link broke */
	bool is_local;
	bool is_idempotent;
	struct http_msg *msg;
	struct upstream_call upstream;
};

struct home {
	struct admit admit;
	struct call_table table;
	GHashTable *jobs; /* call id -> struct job, queued or running */
	struct upstream *upstream;
	struct gauge *gauge;
	u64 revision; /* of the ranks in admit */
	char *ranks_of; /* the service whose ranks are in admit */
	u32 late_rank; /* of calls that can't meet their targets any more */
	struct loop_timer leave_timer; /* when the next request leaves the queue unrun */
};

static void job_free(struct job *j)
{
	http_free(j->msg);
	http_free(j->upstream.reply);
	g_free(j);
}

void home_load(struct node *n, struct peer_load *load)
{
	admit_load(&n->home->admit, load, loop_clock_us());
	load->is_draining = n->own.state != DIR_UP;
	load->slowness_percent = gauge_slowness_percent(n->home->gauge);
}

static void start_next(struct node *n);

void home_push_load(struct node *n)
{
	u64 now = loop_clock_us();
	struct choose_target *self = choose_find(&n->choose, n->self.name);
	struct peer_load load;

	admit_set_slowness(&n->home->admit, gauge_slowness_percent(n->home->gauge), now);
	home_load(n, &load);
	if (self)
		choose_load(self, &load, now);
	entry_slowness(n, n->self.name);
	mesh_push_load(n);
	start_next(n);
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

	home_load(n, &refuse.load);
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

static void end_job(struct node *n, struct job *j)
{
	g_hash_table_remove(n->home->jobs, &j->id);
	job_free(j);
}

/* One line a refusal, with what it rests on. */
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

/* The tombstone comes before the word not-run. */
static void refuse_not_run(struct node *n, struct job *j, enum ctr reason)
{
	log_refusal(n, j, reason);
	ctr_inc(reason);
	call_refused(&n->home->table, j->id, loop_clock_us());
	send_refusal(n, j->origin, j->is_local, j->id, reason, true);
	end_job(n, j);
}

static void refuse_unknown(struct node *n, struct job *j, enum ctr reason)
{
	ctr_inc(reason);
	call_done(&n->home->table, j->id, NULL, loop_clock_us());
	send_refusal(n, j->origin, j->is_local, j->id, reason, false);
	end_job(n, j);
}

static void send_reply(struct node *n, struct link *origin, struct call_id id,
		       const struct http_msg *msg)
{
	struct peer_reply reply = { .id = id, .body_len = msg->body->len };
	FRAME_AUTO(f, PEER_REPLY);

	home_load(n, &reply.load);
	reply.msg = (struct http_msg *)msg;
	peer_reply_put(&f, &reply);
	if (!link_send(origin, &f))
		peer_send_body(origin, id, msg->body);
}

static enum ctr reason_of(int err)
{
	switch (err) {
	case ERR_TRUNCATED:
		return CTR_UPSTREAM_SHORT;
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

/* The same for a call of which nothing was written. */
static enum ctr unrun_reason_of(int err)
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

/* Only a call from another node that may not be repeated is asked for later by a fence. */
static void deliver(struct node *n, struct job *j)
{
	struct peer_load load;
	struct http_msg *reply = g_steal_pointer(&j->upstream.reply);

	home_load(n, &load);
	if (j->is_local) {
		entry_reply(n, j->id, reply, &load);
		reply = NULL;
	} else if (j->origin) {
		send_reply(n, j->origin, j->id, reply);
	}
	if (j->is_idempotent)
		http_free(g_steal_pointer(&reply));
	call_done(&n->home->table, j->id, reply, loop_clock_us());
	end_job(n, j);
}

static bool is_served(const struct job *j)
{
	return !j->upstream.err && j->upstream.reply->status < 500;
}

/* The address belongs to another upstream, so the one that was announced is gone. */
static void lose_upstream(struct node *n, enum ctr why)
{
	if (n->own.state == DIR_NO_UPSTREAM)
		return;
	log_event(LOG_WARN, "upstream lost", "service", n->own.service, "reason", ctr_name(why),
		  NULL);
	upstream_forget(n->home->upstream);
	node_set_state(n, DIR_NO_UPSTREAM);
}

/* The reason for which the answer says that the request was not run, or CTR_COUNT. */
static enum ctr unrun_answer(struct node *n, const struct http_msg *reply)
{
	if (n->dialect->is_other_instance(reply))
		return CTR_OTHER_INSTANCE;
	if (n->dialect->is_refused_below(reply))
		return CTR_REFUSED_BELOW;
	return n->dialect->is_not_run(reply) ? CTR_UPSTREAM_SHED : CTR_COUNT;
}

/* One line a call that ended at the upstream, with what it met there. */
static void log_run(const struct node *n, const struct job *j)
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

static void end_in_admission(struct node *n, struct job *j)
{
	struct admit *a = &n->home->admit;
	u32 before = a->limit;

	admit_done(a, &j->req, is_served(j), loop_clock_us());
	if (a->limit != before)
		log_event(LOG_INFO, "limit", "service", n->own.service, "from", log_u64(before),
			  "to", log_u64(a->limit), "knee", log_u64(a->knee.now), "slots",
			  log_u64(a->slots), NULL);
}

static void finish_job(struct upstream_call *call)
{
	struct job *j = call->arg;
	struct node *n = j->node;
	enum ctr unrun = call->err ? CTR_COUNT : unrun_answer(n, call->reply);

	if (!call->err)
		gauge_answer(n->home->gauge, call->reply);
	end_in_admission(n, j);
	log_run(n, j);
	if (unrun == CTR_OTHER_INSTANCE)
		lose_upstream(n, unrun);
	else if (call->err == ERR_REFUSED)
		lose_upstream(n, CTR_UPSTREAM_REFUSED);
	if (unrun != CTR_COUNT)
		refuse_not_run(n, j, unrun);
	else if (!call->err)
		deliver(n, j);
	else if (!call->is_written)
		refuse_not_run(n, j, unrun_reason_of(call->err));
	else
		refuse_unknown(n, j, reason_of(call->err));
	start_next(n);
}

static void start_job(struct node *n, struct job *j)
{
	j->upstream.instance = n->upstream_instance;
	j->upstream.done = finish_job;
	j->upstream.arg = j;
	upstream_run(n->home->upstream, &n->upstream_at, &j->upstream);
}

static void start_next(struct node *n)
{
	struct home *h = n->home;
	u64 now = loop_clock_us();
	u64 leave_us;
	struct admit_req *r;

	while ((r = admit_expired(&h->admit, now)))
		refuse_not_run(n, (struct job *)r, r->reason);
	while ((r = admit_next(&h->admit, now)))
		start_job(n, (struct job *)r);
	leave_us = admit_next_leave_us(&h->admit);
	if (leave_us == UINT64_MAX)
		loop_timer_cancel(n->loop, &h->leave_timer);
	else
		loop_timer_set(n->loop, &h->leave_timer, leave_us);
}

/* The rank of the same worth, or the next lower one, for a call that a newer set declares. */
static int nearest_rank(const struct config_service *s, u32 worth)
{
	int found = -1;
	u32 best = 0;

	for (guint i = 0; i < s->res->ranks->len; i++) {
		const struct res_rank *r = g_ptr_array_index(s->res->ranks, i);

		if (found < 0 || (r->worth <= worth && (r->worth > best || best > worth))) {
			found = (int)i;
			best = r->worth;
		}
	}
	return found;
}

/* Finds the rank in the own configuration. Returns -1 when it is not declared here. */
static int find_rank(const struct peer_call *call, const char *method, bool *is_idempotent)
{
	const struct config_service *s;
	int found = -1;

	*is_idempotent = call->is_idempotent;

	config_read_lock();
	s = config_current() ? config_find(config_current(), call->service) : NULL;
	for (guint i = 0; s && i < s->res->ranks->len; i++) {
		const struct res_rank *r = g_ptr_array_index(s->res->ranks, i);

		if (strcmp(r->name, call->rank))
			continue;
		found = (int)i;
		*is_idempotent |= res_is_idempotent(r, method);
	}
	if (s && found < 0 && call->target_us)
		found = nearest_rank(s, call->worth);
	config_read_unlock();
	return found;
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
	j->req.may_move = call->may_move;
	j->upstream.request = j->msg;
	j->upstream.deadline_us = deadline_us;
	j->upstream.max_body_bytes = n->settings->node.max_body_bytes;
	return j;
}

/* What can't meet its target any more waits behind all else. */
static int offer_late(struct node *n, struct job *j, u64 now_us)
{
	ctr_inc(CTR_LATE_CALL);
	j->req.rank = n->home->late_rank;
	j->req.target_us = 0;
	return admit_offer(&n->home->admit, &j->req, now_us);
}

static int admit_job(struct node *n, struct job *j, const struct peer_call *call, u64 now_us)
{
	int rank = find_rank(call, j->msg->method, &j->is_idempotent);
	struct admit *a = &n->home->admit;
	int err;

	if (n->own.state == DIR_DRAINING || n->is_stopping)
		return -CTR_DRAINING;
	if (n->own.state != DIR_UP || strcmp(n->own.service, call->service))
		return -CTR_WRONG_HOME;
	if (rank < 0)
		return -CTR_NO_RANK;
	if (j->req.deadline_us <= now_us)
		return -CTR_EXPIRED_UNRUN;
	home_configure(n);
	j->req.rank = (u32)rank;
	j->upstream.is_idempotent = j->is_idempotent;
	if (j->req.target_us && admit_is_late(a, &j->req))
		return offer_late(n, j, now_us);
	err = admit_offer(a, &j->req, now_us);
	/* Late is better than never where no other upstream can take it. */
	if (err == -CTR_QUEUE_WAIT && !j->req.may_move && admit_is_held(a, j->req.rank))
		return offer_late(n, j, now_us);
	return err;
}

void home_call(struct node *n, struct link *origin, struct peer_call *call, u64 deadline_us)
{
	struct home *h = n->home;
	struct job *j;
	int err = call_begin(&h->table, call->id);

	if (err) {
		if (err == ERR_NOTFOUND)
			send_refusal(n, origin, !origin, call->id, CTR_CALL_FORGOTTEN, false);
		peer_call_clear(call);
		return;
	}
	j = job_new(n, origin, call, deadline_us);
	g_hash_table_insert(h->jobs, &j->id, j);
	gauge_used(h->gauge);
	err = admit_job(n, j, call, loop_clock_us());
	peer_call_clear(call);
	if (err)
		refuse_not_run(n, j, (enum ctr) - err);
	else
		start_next(n);
}

static void cancel_job(struct node *n, struct job *j)
{
	if (j->req.state == ADMIT_QUEUED) {
		admit_cancel(&n->home->admit, &j->req);
		refuse_not_run(n, j, CTR_CANCELLED);
		return;
	}
	upstream_end(&j->upstream, ERR_CANCELLED);
}

void home_cancel(struct node *n, struct call_id id)
{
	struct job *j = g_hash_table_lookup(n->home->jobs, &id);

	if (j)
		cancel_job(n, j);
}

void home_left(struct node *n, struct call_id id)
{
	struct job *j = g_hash_table_lookup(n->home->jobs, &id);

	if (j && (j->is_idempotent || j->req.state == ADMIT_QUEUED))
		cancel_job(n, j);
}

/* The ids of all calls here: what ends one may end others, so each is looked up again. */
static GArray *all_ids(const struct node *n)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct call_id));
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, n->home->jobs);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_array_append_val(out, *(const struct call_id *)key);
	return out;
}

static struct job *job_at(const struct node *n, const GArray *ids, guint i)
{
	return g_hash_table_lookup(n->home->jobs, &g_array_index(ids, struct call_id, i));
}

void home_cancel_all(struct node *n)
{
	g_autoptr(GArray) ids = all_ids(n);

	for (guint i = 0; i < ids->len; i++) {
		struct job *j = job_at(n, ids, i);

		if (j)
			cancel_job(n, j);
	}
}

void home_fence(struct node *n, struct link *origin, struct call_id id)
{
	const struct http_msg *reply;
	enum fence_state state = call_fence(&n->home->table, id, loop_clock_us(), &reply);
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

void home_awaits_calls(struct node *n)
{
	gauge_used(n->home->gauge);
}

void home_link_down(struct node *n, struct link *origin)
{
	g_autoptr(GArray) ids = all_ids(n);

	for (guint i = 0; i < ids->len; i++) {
		struct job *j = job_at(n, ids, i);

		if (!j || j->origin != origin || j->is_local)
			continue;
		j->origin = NULL;
		/* The entry has tried an idempotent call elsewhere, and fences the others. */
		if (j->is_idempotent)
			cancel_job(n, j);
	}
}

static void set_ranks(struct node *n)
{
	struct home *h = n->home;
	struct admit_rank ranks[ADMIT_RANKS_MAX];
	const struct config_service *s;
	u32 count = 0;

	config_read_lock();
	h->revision = config_current()->revision;
	s = config_find(config_current(), n->own.service);
	for (guint i = 0; s && i < s->res->ranks->len && i < ADMIT_RANKS_MAX; i++) {
		const struct res_rank *r = g_ptr_array_index(s->res->ranks, i);

		ranks[count].worth = r->worth;
		ranks[count].target_us = r->target_ms * US_PER_MS;
		ranks[count].floor_percent = r->floor_percent;
		count++;
	}
	config_read_unlock();
	/* What comes too late for its target goes behind all else. */
	h->late_rank = MIN(count, ADMIT_RANKS_MAX - 1);
	ranks[h->late_rank] = (struct admit_rank){ .target_us = LATE_TARGET_US };
	admit_set_ranks(&h->admit, ranks, h->late_rank + 1);
	g_free(h->ranks_of);
	h->ranks_of = g_strdup(n->own.service);
}

void home_configure(struct node *n)
{
	struct home *h = n->home;

	if (h->admit.slots != n->own.slots)
		admit_set_slots(&h->admit, n->own.slots);
	if (h->revision != config_revision() || g_strcmp0(h->ranks_of, n->own.service))
		set_ranks(n);
}

void home_settings(struct node *n)
{
	gauge_settings(n->home->gauge);
}

void home_upstream_changed(struct node *n)
{
	upstream_forget(n->home->upstream);
	gauge_reset(n->home->gauge);
}

void home_second(struct node *n, u64 now_us)
{
	call_expire(&n->home->table, now_us);
	admit_adopt_knee(&n->home->admit, choose_knee(&n->choose, n->own.service, n->own.slots));
}

static void on_leave(void *arg, u64 now_us)
{
	(void)now_us;
	start_next(arg);
}

int home_start(struct node *n)
{
	struct home *h = g_new0(struct home, 1);

	n->home = h;
	admit_init(&h->admit);
	call_table_init(&h->table);
	h->jobs = g_hash_table_new(call_id_hash, call_id_equal);
	h->upstream = upstream_new(n->loop, n->dialect);
	h->gauge = gauge_new(n);
	h->leave_timer = (struct loop_timer){ .fire = on_leave, .arg = n };
	return 0;
}

void home_free(struct node *n)
{
	struct home *h = n->home;

	gauge_free(h->gauge);
	upstream_free(h->upstream);
	loop_timer_cancel(n->loop, &h->leave_timer);
	admit_clear(&h->admit);
	call_table_clear(&h->table);
	g_hash_table_unref(h->jobs);
	g_free(h->ranks_of);
	g_clear_pointer(&n->home, g_free);
}
