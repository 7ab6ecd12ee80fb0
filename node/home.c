/* Calls for the upstream beside this node: admission, workers, replies. */
#include "node/node.h"

#include "lib/err.h"
#include "lib/log.h"
#include "node/config.h"
#include "node/upstream.h"

#include <pthread.h>
#include <string.h>

#define HOME_WORKERS_MAX 64
#define HOME_WORKER_STACK_BYTES (256 * 1024)
#define HOME_TICK_US (10 * US_PER_MS)

struct job {
	struct admit_req req; /* first, so that admission's pointers lead back */
	struct node *node;
	struct call_id id;
	struct link *origin; /* NULL for a call that entered here, or after the link broke */
	bool is_local;
	bool is_idempotent;
	struct http_msg *msg;
	struct upstream_call upstream;
	u16 port;
	int err;
	struct http_msg *reply;
};

struct worker {
	struct node *node;
	pthread_t thread;
	struct upstream *upstream;
};

struct home {
	struct admit admit;
	struct call_table table;
	GHashTable *jobs; /* call id -> struct job, queued or running */
	GAsyncQueue *work;
	struct worker workers[HOME_WORKERS_MAX];
	u32 nworkers;
	u64 revision; /* of the ranks in admit */
	struct loop_timer tick;
};

static struct job poison;

static void job_free(struct job *j)
{
	http_free(j->msg);
	http_free(j->reply);
	g_free(j);
}

void home_load(struct node *n, struct peer_load *load)
{
	admit_load(&n->home->admit, load, loop_clock_us());
	load->is_draining = n->own.state != DIR_UP;
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

/* The tombstone comes before the word not-run. */
static void refuse_not_run(struct node *n, struct job *j, enum ctr reason)
{
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
	case ERR_SHORT:
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

static bool is_shed(const struct http_msg *m)
{
	const char *outcome = http_header(m, "Lavenderlead-Outcome");

	return m->status == 503 && outcome && !strcmp(outcome, "not-run");
}

/* A refusal with a reason was made by a deeper node, for a call of the upstream. */
static enum ctr shed_reason(const struct http_msg *m)
{
	return http_header(m, "Lavenderlead-Reason") ? CTR_REFUSED_BELOW : CTR_UPSTREAM_SHED;
}

static void start_next(struct node *n);

/* Only a call from another node that may not be repeated is asked for later by a fence. */
static void deliver(struct node *n, struct job *j)
{
	struct peer_load load;

	home_load(n, &load);
	if (j->is_local)
		entry_reply(n, j->id, g_steal_pointer(&j->reply), &load);
	else if (j->origin)
		send_reply(n, j->origin, j->id, j->reply);
	if (j->is_idempotent)
		http_free(g_steal_pointer(&j->reply));
	call_done(&n->home->table, j->id, g_steal_pointer(&j->reply), loop_clock_us());
	end_job(n, j);
}

static bool is_served(const struct job *j)
{
	return !j->err && j->reply->status < 500;
}

static void finish_job(void *arg)
{
	struct job *j = arg;
	struct node *n = j->node;

	admit_done(&n->home->admit, &j->req, is_served(j), loop_clock_us());
	if (!j->err && is_shed(j->reply))
		refuse_not_run(n, j, shed_reason(j->reply));
	else if (!j->err)
		deliver(n, j);
	else if (!j->upstream.is_written)
		refuse_not_run(n, j, unrun_reason_of(j->err));
	else
		refuse_unknown(n, j, reason_of(j->err));
	start_next(n);
}

static void *worker_main(void *arg)
{
	struct worker *w = arg;
	struct node *n = w->node;
	struct job *j;

	while ((j = g_async_queue_pop(n->home->work)) != &poison) {
		j->err = upstream_run(w->upstream, j->port, &j->upstream, &j->reply);
		loop_post(n->loop, finish_job, j);
	}
	return NULL;
}

static void start_next(struct node *n)
{
	struct home *h = n->home;
	u64 now = loop_clock_us();
	struct admit_req *r;

	while ((r = admit_expired(&h->admit, now)))
		refuse_not_run(n, (struct job *)r, r->reason);
	while ((r = admit_next(&h->admit, now))) {
		struct job *j = (struct job *)r;

		j->port = n->upstream_port;
		g_async_queue_push(h->work, j);
	}
}

/* Finds the rank in the own configuration. Returns -1 when it is not declared here. */
static int find_rank(const struct peer_call *call, const char *method, bool *is_idempotent)
{
	const struct config_service *s;
	int found = -1;

	config_read_lock();
	s = config_current() ? config_find(config_current(), call->service) : NULL;
	for (guint i = 0; s && i < s->res->ranks->len; i++) {
		const struct res_rank *r = g_ptr_array_index(s->res->ranks, i);

		if (strcmp(r->name, call->rank))
			continue;
		found = (int)i;
		*is_idempotent = res_is_idempotent(r, method);
	}
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
	j->upstream.request = j->msg;
	j->upstream.deadline_us = deadline_us;
	j->upstream.max_body_bytes = n->settings->node.max_body_bytes;
	return j;
}

static int admit_job(struct node *n, struct job *j, const struct peer_call *call, u64 now_us)
{
	int rank = find_rank(call, j->msg->method, &j->is_idempotent);

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
	return admit_offer(&n->home->admit, &j->req, now_us);
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
	__atomic_store_n(&j->upstream.is_cancelled, true, __ATOMIC_RELEASE);
}

void home_cancel(struct node *n, struct call_id id)
{
	struct job *j = g_hash_table_lookup(n->home->jobs, &id);

	if (j)
		cancel_job(n, j);
}

void home_cancel_all(struct node *n)
{
	g_autoptr(GList) list = g_hash_table_get_values(n->home->jobs);

	for (GList *l = list; l; l = l->next)
		cancel_job(n, l->data);
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

void home_link_down(struct node *n, struct link *origin)
{
	g_autoptr(GList) list = g_hash_table_get_values(n->home->jobs);

	for (GList *l = list; l; l = l->next) {
		struct job *j = l->data;

		if (j->origin != origin || j->is_local)
			continue;
		j->origin = NULL;
		/* The entry has tried an idempotent call elsewhere, and fences the others. */
		if (j->is_idempotent)
			cancel_job(n, j);
	}
}

void home_configure(struct node *n)
{
	u32 slots = MIN(n->own.slots, n->home->nworkers);
	struct admit_rank ranks[ADMIT_RANKS_MAX];
	const struct config_service *s;
	u32 count = 0;

	if (n->home->admit.slots != slots)
		admit_set_slots(&n->home->admit, slots);
	if (n->home->revision == config_revision())
		return;
	config_read_lock();
	n->home->revision = config_current()->revision;
	s = config_find(config_current(), n->own.service);
	for (guint i = 0; s && i < s->res->ranks->len && i < ADMIT_RANKS_MAX; i++) {
		const struct res_rank *r = g_ptr_array_index(s->res->ranks, i);

		ranks[count].worth = r->worth;
		ranks[count].target_us = r->target_ms * US_PER_MS;
		ranks[count].floor_percent = r->floor_percent;
		count++;
	}
	config_read_unlock();
	admit_set_ranks(&n->home->admit, ranks, count);
}

void home_second(struct node *n, u64 now_us)
{
	call_expire(&n->home->table, now_us);
}

static void on_tick(void *arg, u64 now_us)
{
	struct node *n = arg;
	struct home *h = n->home;

	start_next(n);
	for (u32 i = 0; i < h->nworkers && h->admit.running; i++)
		upstream_interrupt(h->workers[i].upstream);
	loop_timer_set(n->loop, &h->tick, now_us + HOME_TICK_US);
}

int home_start(struct node *n)
{
	struct home *h = g_new0(struct home, 1);
	pthread_attr_t attr;

	n->home = h;
	admit_init(&h->admit);
	call_table_init(&h->table);
	h->jobs = g_hash_table_new(call_id_hash, call_id_equal);
	h->work = g_async_queue_new();
	h->tick = (struct loop_timer){ .fire = on_tick, .arg = n };
	loop_timer_set(n->loop, &h->tick, loop_clock_us() + HOME_TICK_US);
	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, HOME_WORKER_STACK_BYTES);
	while (h->nworkers < HOME_WORKERS_MAX) {
		struct worker *w = &h->workers[h->nworkers];

		w->node = n;
		w->upstream = upstream_new();
		if (pthread_create(&w->thread, &attr, worker_main, w)) {
			upstream_free(w->upstream);
			break;
		}
		h->nworkers++;
	}
	pthread_attr_destroy(&attr);
	return h->nworkers ? 0 : ERR_IO;
}

void home_stop(struct node *n)
{
	struct home *h = n->home;

	for (u32 i = 0; i < h->nworkers; i++)
		g_async_queue_push(h->work, &poison);
	for (u32 i = 0; i < h->nworkers; i++)
		pthread_join(h->workers[i].thread, NULL);
}

void home_free(struct node *n)
{
	struct home *h = n->home;

	for (u32 i = 0; i < h->nworkers; i++)
		upstream_free(h->workers[i].upstream);
	loop_timer_cancel(n->loop, &h->tick);
	admit_clear(&h->admit);
	call_table_clear(&h->table);
	g_hash_table_unref(h->jobs);
	g_async_queue_unref(h->work);
	g_clear_pointer(&n->home, g_free);
}
