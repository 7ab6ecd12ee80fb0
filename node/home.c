/* Calls for the upstream beside this node: admission and execution. */
#include "node/home_impl.h"

#include "lib/err.h"
#include "lib/set.h"
#include "node/slowness_monitor.h"

#include <string.h>

void home_get_load(struct node *n, struct peer_load *load)
{
	admit_load(&n->home->admit, load, loop_clock_us());
	load->is_draining = n->dir_entry.state != DIR_UP || n->is_evacuated;
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

static void count_pick(enum admit_pick pick)
{
	if (pick == ADMIT_BY_ORDER)
		ctr_inc(CTR_PICK_ORDER);
	else if (pick == ADMIT_BY_SHARE)
		ctr_inc(CTR_PICK_SHARE);
	else if (pick == ADMIT_BY_FLOOR)
		ctr_inc(CTR_PICK_FLOOR);
}

static void start_job(struct node *n, struct job *j)
{
	count_pick(j->req.pick);
	j->upstream.instance = n->upstream_instance;
	j->upstream.deadline_us = stop_limit_us(&n->stop, j->upstream.deadline_us);
	j->upstream.done = home_on_upstream_done;
	j->upstream.arg = j;
	n->home->calls_under_limit += n->home->notice.now.has_rate_limit;
	upstream_start(n->home->upstream, &n->upstream_endpoint, &j->upstream);
}

static void refuse_expired(struct node *n, u64 now_us)
{
	struct admit_req *r;

	while ((r = admit_expired(&n->home->admit, now_us)))
		home_refuse_not_run(n, (struct job *)r, r->reason);
}

void home_run_queue(struct node *n)
{
	struct home *h = n->home;
	u64 now = loop_clock_us();
	u64 next_us;
	struct admit_req *r;

	refuse_expired(n, now);
	while (home_may_start(n) && (r = admit_next(&h->admit, now)))
		start_job(n, (struct job *)r);
	/* Those that admit_next gave up. */
	refuse_expired(n, now);
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
	char attempt_id[PEER_ID_TEXT_BYTES];

	j->node = n;
	j->id = call->id;
	j->origin = origin;
	j->is_local = !origin;
	j->msg = g_steal_pointer(&call->msg);
	home_count_call(n, &j->call_bytes, j->msg->body->len);
	peer_id_to_text(j->id, attempt_id);
	n->dialect->set_attempt_id(j->msg, attempt_id);
	j->req.deadline_us = deadline_us;
	j->req.bytes = j->msg->body->len + sizeof(*j);
	j->req.target_us = call->target_us;
	j->req.has_alternative = call->has_alternative;
	j->req.organisation = call->organisation;
	j->req.route = call->route;
	j->req.refused_before = call->refused_before;
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

/*
 * Queues a call that can no longer meet its target. A nested call stays in its rank if it can:
 * behind new calls it would fail more often, and with it the request of which it is a part, whose
 * work is done already.
 */
static int offer_late(struct node *n, struct job *j, const struct peer_call *call, u64 now_us)
{
	int err = -CTR_QUEUE_WAIT;

	if (!strcmp(call->rank, SET_NESTED_RANK)) {
		j->req.target_us = 0;
		err = admit_offer(&n->home->admit, &j->req, now_us);
	}
	return err == -CTR_QUEUE_WAIT ? offer_as_late(n, j, now_us) : err;
}

static int admit_job(struct node *n, struct job *j, const struct peer_call *call, u64 now_us)
{
	int rank = home_find_rank(call, j->msg->method, &j->is_idempotent);
	struct admit *a = &n->home->admit;
	int err;

	if (n->dir_entry.state == DIR_DRAINING || n->is_stopping)
		return -CTR_DRAINING;
	if (n->is_evacuated)
		return -CTR_EVACUATED;
	if (n->dir_entry.state != DIR_UP || strcmp(n->dir_entry.service, call->service))
		return -CTR_WRONG_HOME;
	if (rank < 0)
		return -CTR_NO_RANK;
	if (j->req.deadline_us <= now_us)
		return -CTR_EXPIRED_UNRUN;
	if (!home_may_queue_call(n, j->origin))
		return -CTR_LINK_FULL;
	home_configure(n);
	j->req.rank = (u32)rank;
	j->upstream.is_idempotent = j->is_idempotent;
	if (j->req.target_us && admit_is_late(a, &j->req))
		return offer_late(n, j, call, now_us);
	err = admit_offer(a, &j->req, now_us);
	/* A deferred call that no other upstream can take is queued as late rather than refused. */
	if (err == -CTR_QUEUE_WAIT && !j->req.has_alternative && admit_is_deferred(a, j->req.rank))
		return offer_late(n, j, call, now_us);
	return err;
}

void home_call(struct node *n, struct link *origin, struct peer_call *call, u64 deadline_us)
{
	struct home *h = n->home;
	/* The mesh has checked those of other nodes before it took the body. */
	bool has_room = origin || home_may_hold_call(n, call->msg->body->len);
	struct job *j;
	int err = call_table_begin(&h->table, call->id);

	if (err) {
		if (err == ERR_NOTFOUND)
			home_send_refusal(n, origin, !origin, call->id, CTR_CALL_FORGOTTEN, false);
		peer_call_clear(call);
		return;
	}
	j = job_new(n, origin, call, deadline_us);
	g_hash_table_insert(h->jobs, &j->id, j);
	slowness_monitor_call_started(h->slowness_monitor);
	err = has_room ? admit_job(n, j, call, loop_clock_us()) : -CTR_QUEUE_MEMORY;
	peer_call_clear(call);
	if (err)
		home_refuse_not_run(n, j, (enum ctr) - err);
	else
		home_run_queue(n);
}

void home_expect_calls(struct node *n)
{
	slowness_monitor_call_started(n->home->slowness_monitor);
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
	cold_reset(&n->home->cold);
	n->home->cold_revision = 0;
	n->home->cold_unstated_us = 0;
	n->home->is_new = true;
	home_apply_rate(n);
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
	upstream_set_held(h->upstream, &n->held);
	h->slowness_monitor = slowness_monitor_new(n);
	h->queue_timer = (struct loop_timer){ .fire = on_queue_timer, .arg = n };
	home_cold_init(n);
	return 0;
}

void home_free(struct node *n)
{
	struct home *h = n->home;

	slowness_monitor_free(h->slowness_monitor);
	upstream_free(h->upstream);
	loop_timer_cancel(n->loop, &h->queue_timer);
	loop_timer_cancel(n->loop, &h->cold_timer);
	admit_clear(&h->admit);
	call_table_clear(&h->table);
	g_hash_table_unref(h->jobs);
	g_free(h->ranks_service);
	g_clear_pointer(&n->home, g_free);
}
