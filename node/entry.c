/* Calls of callers: choice, tries, fences, deadlines. */
#include "node/node.h"

#include "lib/err.h"
#include "node/config.h"

#include <pthread.h>
#include <string.h>

/* Head and framing of a call, more than the HTTP server takes in. */
#define CALL_OVERHEAD_BYTES (64 * 1024)

/* How often a waiting call looks whether its caller has left. */
#define CALLER_CHECK_US (100 * US_PER_MS)

enum try_state { TRY_CONNECTING, TRY_SENT, TRY_FENCING };

/* One try of a call at one home node; each has its own id. */
struct
try {
	struct call_id id;
	struct entry_call *call;
	enum try_state state;
	char *home;
	u64 home_incarnation;
	u64 sent_us;
};

struct entry_private {
	struct node *node;
	pthread_mutex_t lock;
	pthread_cond_t cond;
	bool is_done;
	struct loop_timer deadline;
	struct loop_timer hedge_timer;
	GPtrArray *tried; /* of char: home nodes that refused or failed */
	struct try *current;
	struct try *hedge; /* second try of a slow call, beside the current one */
	u32 tries;
	bool may_have_run;
};

struct entry {
	GHashTable *tries; /* sequence -> struct try */
	GHashTable *calls; /* set of struct entry_call */
	u64 seq;
	struct retry_budget budget;
	struct hedge hedge;
	struct shed shed;
};

static void attempt(struct node *n, struct entry_call *call);

static void try_end(struct node *n, struct try *t)
{
	struct entry_private *p = t->call->priv;

	if (t == p->current)
		p->current = p->hedge;
	p->hedge = NULL;
	g_hash_table_remove(n->entry->tries, &t->id.seq);
	g_free(t->home);
	g_free(t);
}

static void wake_caller(struct node *n, struct entry_call *call)
{
	struct entry_private *p = call->priv;

	loop_timer_cancel(n->loop, &p->deadline);
	loop_timer_cancel(n->loop, &p->hedge_timer);
	g_hash_table_remove(n->entry->calls, call);
	pthread_mutex_lock(&p->lock);
	p->is_done = true;
	pthread_cond_signal(&p->cond);
	pthread_mutex_unlock(&p->lock);
}

static u16 status_of(enum ctr reason, bool is_not_run)
{
	if (reason == CTR_DEADLINE || reason == CTR_UPSTREAM_TIMEOUT || reason == CTR_EXPIRED_UNRUN)
		return 504;
	return is_not_run ? 503 : 502;
}

static void give_up(struct node *n, struct entry_call *call, enum ctr reason, bool is_not_run)
{
	call->reason = reason;
	call->is_not_run = is_not_run && !call->priv->may_have_run;
	call->status = status_of(reason, call->is_not_run);
	wake_caller(n, call);
}

static void send_cancel(struct node *n, const char *home, struct call_id id)
{
	struct link *k;
	FRAME_AUTO(f, PEER_CANCEL);

	if (!strcmp(home, n->self.name)) {
		home_cancel(n, id);
		return;
	}
	k = mesh_link(n, home);
	if (!k)
		return;
	peer_id_put(&f, id);
	link_send(k, &f);
}

static void note_end(struct node *n, const struct try *t, enum choose_result result)
{
	struct choose_target *target = choose_find(&n->choose, t->home);
	u64 now = loop_clock_us();

	if (target)
		choose_ended(target, result, now - t->sent_us, now);
}

/*
 * The try ends before the cancel goes out, so the home's refusal finds nobody.
 * A call that waits for its link was sent to nobody.
 */
static void cancel_current(struct node *n, struct entry_call *call, enum choose_result result)
{
	struct try *t = call->priv->current;
	g_autofree char *home = g_strdup(t->home);
	bool was_sent = t->state != TRY_CONNECTING;
	struct call_id id = t->id;

	note_end(n, t, was_sent ? result : CHOOSE_CANCELLED);
	try_end(n, t);
	if (!was_sent)
		return;
	call->priv->may_have_run = true;
	send_cancel(n, home, id);
}

/* Ends a call without its answer; not-run is said when no try was sent. */
static void abandon(struct node *n, struct entry_call *call, enum ctr reason,
		    enum choose_result result)
{
	while (call->priv->current)
		cancel_current(n, call, result);
	give_up(n, call, reason, true);
}

static void on_deadline(void *arg, u64 now_us)
{
	struct entry_call *call = arg;
	struct node *n = call->priv->node;

	(void)now_us;
	ctr_inc(CTR_DEADLINE);
	abandon(n, call, CTR_DEADLINE, CHOOSE_TIMED_OUT);
}

static void again_or_give_up(struct node *n, struct entry_call *call, enum ctr reason,
			     bool is_not_run)
{
	u64 now = loop_clock_us();
	u64 left = call->deadline_us > now ? call->deadline_us - now : 0;
	struct retry_failure failure = { .is_not_run = is_not_run,
					 .is_refused_below = reason == CTR_REFUSED_BELOW };

	if (call->priv->current)
		return; /* the other try goes on */
	switch (retry_decide(&n->entry->budget, call->priv->tries, failure, call->is_idempotent,
			     left)) {
	case RETRY_AGAIN:
		ctr_inc(is_not_run ? CTR_RETRY_NOT_RUN : CTR_RETRY_IDEMPOTENT);
		attempt(n, call);
		break;
	case RETRY_NO_BUDGET:
		ctr_inc(CTR_RETRY_BUDGET_EMPTY);
		give_up(n, call, reason, is_not_run);
		break;
	default:
		give_up(n, call, reason, is_not_run);
		break;
	}
}

/* Only whole calls are queued: a link without room counts as one that is not there. */
static bool has_room(const struct link *k, const struct entry_call *call)
{
	return link_queued_bytes(k) + call->msg->body->len + CALL_OVERHEAD_BYTES <
	       LINK_SEND_QUEUE_MAX_BYTES;
}

static void note_rtt(struct node *n, const char *home, u64 rtt_us)
{
	struct choose_target *target = choose_find(&n->choose, home);

	if (target)
		target->rtt_us = rtt_us;
}

static void send_to_peer(struct node *n, struct try *t, struct link *k)
{
	struct entry_call *call = t->call;
	struct peer_call out = { .id = t->id,
				 .service = call->service,
				 .rank = call->rank,
				 .deadline_us = call->deadline_us,
				 .revision = config_revision(),
				 .body_len = call->msg->body->len,
				 .msg = call->msg };
	FRAME_AUTO(f, PEER_CALL);

	t->state = TRY_SENT;
	t->home_incarnation = k->remote.incarnation;
	note_rtt(n, t->home, k->rtt_us);
	peer_call_put(&f, &out);
	/* A link that takes no more bytes goes down, and the fence tells the outcome. */
	if (!link_send(k, &f))
		peer_send_body(k, t->id, call->msg->body);
}

static struct http_msg *copy_request(const struct http_msg *m)
{
	struct http_msg *copy = http_new();

	copy->method = g_strdup(m->method);
	copy->target = g_strdup(m->target);
	for (guint i = 0; i < m->headers->len; i++) {
		const struct http_header *h = g_ptr_array_index(m->headers, i);

		http_add_header(copy, h->name, h->value);
	}
	g_byte_array_append(copy->body, m->body->data, m->body->len);
	return copy;
}

static void send_home(struct node *n, struct try *t)
{
	struct peer_call call = { .id = t->id,
				  .service = g_strdup(t->call->service),
				  .rank = g_strdup(t->call->rank),
				  .msg = copy_request(t->call->msg) };

	t->state = TRY_SENT;
	home_call(n, NULL, &call, t->call->deadline_us);
}

static struct try *try_new(struct node *n, struct entry_call *call, struct choose_target *target,
			   u64 now_us)
{
	struct try *t = g_new0(struct try, 1);

	t->id = (struct call_id){ .incarnation = n->self.incarnation, .seq = ++n->entry->seq };
	t->call = call;
	t->home = g_strdup(target->entry.node);
	t->sent_us = now_us;
	if (call->priv->current)
		call->priv->hedge = t;
	else
		call->priv->current = t;
	call->last_id = t->id;
	g_hash_table_insert(n->entry->tries, &t->id.seq, t);
	choose_sent(target, now_us);
	return t;
}

static void no_target(struct node *n, struct entry_call *call)
{
	enum ctr reason = call->reason == CTR_CALLS ? CTR_NO_UPSTREAM : call->reason;

	if (reason == CTR_NO_UPSTREAM)
		ctr_inc(reason);
	give_up(n, call, reason, true);
}

/* Nothing was sent, so the next upstream costs no retry. */
static void skip_unreachable(struct node *n, struct entry_call *call, const char *home)
{
	struct choose_target *target = choose_find(&n->choose, home);

	if (target)
		choose_unreachable(target, loop_clock_us());
	ctr_inc(CTR_PEER_UNREACHABLE);
	call->reason = CTR_PEER_UNREACHABLE;
	call->priv->tries--;
	if (!call->priv->current)
		attempt(n, call);
}

static void try_at(struct node *n, struct entry_call *call, struct choose_target *target,
		   u64 now_us)
{
	struct entry_private *p = call->priv;
	const char *home = target->entry.node;
	struct link *k;

	p->tries++;
	g_ptr_array_add(p->tried, g_strdup(home));
	if (!strcmp(home, n->self.name)) {
		send_home(n, try_new(n, call, target, now_us));
		return;
	}
	k = mesh_link(n, home);
	if (k && has_room(k, call))
		send_to_peer(n, try_new(n, call, target, now_us), k);
	else if (mesh_is_dialling(n, home))
		try_new(n, call, target, now_us); /* sent when the link is up */
	else
		skip_unreachable(n, call, home);
}

static void attempt(struct node *n, struct entry_call *call)
{
	struct entry_private *p = call->priv;
	u64 now = loop_clock_us();
	struct choose_target *target =
		choose_pick(&n->choose, call->service, call->worth, p->tried, now);

	if (target)
		try_at(n, call, target, now);
	else
		no_target(n, call);
}

/* A slow call is tried a second time elsewhere; the first answer counts. */
static void on_hedge(void *arg, u64 now_us)
{
	struct entry_call *call = arg;
	struct entry_private *p = call->priv;
	struct node *n = p->node;
	struct choose_target *target;

	if (!p->current || p->hedge || p->tries >= RETRY_TRIES_MAX)
		return;
	target = choose_pick(&n->choose, call->service, call->worth, p->tried, now_us);
	if (!target)
		return;
	if (!hedge_take(&n->entry->hedge)) {
		ctr_inc(CTR_HEDGE_BUDGET_EMPTY);
		return;
	}
	ctr_inc(CTR_HEDGE);
	try_at(n, call, target, now_us);
}

static void start_hedge_timer(struct node *n, struct entry_call *call)
{
	struct hedge *h = &n->entry->hedge;
	u64 delay = hedge_delay_us(h, call->service, call->rank);

	hedge_called(h);
	if (delay)
		loop_timer_set(n->loop, &call->priv->hedge_timer, loop_clock_us() + delay);
}

static struct try *find_try(struct node *n, struct call_id id)
{
	struct try *t = NULL;

	if (id.incarnation == n->self.incarnation)
		t = g_hash_table_lookup(n->entry->tries, &id.seq);
	if (!t)
		ctr_inc(CTR_LATE_REPLY);
	return t;
}

static enum choose_result result_of(enum ctr reason, bool is_not_run)
{
	if (reason == CTR_REFUSED_BELOW || reason == CTR_CANCELLED)
		return CHOOSE_CANCELLED;
	if (reason == CTR_UPSTREAM_SHED || reason == CTR_UPSTREAM_REFUSED || !is_not_run)
		return CHOOSE_FAILED;
	return CHOOSE_REFUSED;
}

/* What the answer teaches: latency, budgets, and that the rank is admitted. */
static void learn(struct node *n, const struct try *t, const struct http_msg *answer)
{
	const struct entry_call *call = t->call;
	u64 now = loop_clock_us();

	note_end(n, t, answer->status < 500 ? CHOOSE_ANSWERED : CHOOSE_FAILED);
	retry_answered(&n->entry->budget);
	shed_taken(&n->entry->shed, call->service, call->rank, now);
	hedge_answered(&n->entry->hedge, call->service, call->rank, now - t->sent_us);
	if (t == call->priv->hedge)
		ctr_inc(CTR_HEDGE_WON);
}

static void take_load(struct node *n, const struct try *t, const struct peer_load *load)
{
	struct choose_target *target = choose_find(&n->choose, t->home);

	if (target && load)
		choose_load(target, load, loop_clock_us());
}

void entry_reply(struct node *n, struct call_id id, struct http_msg *answer,
		 const struct peer_load *load)
{
	struct try *t = find_try(n, id);
	struct entry_call *call;

	if (!t) {
		http_free(answer);
		return;
	}
	call = t->call;
	take_load(n, t, load);
	learn(n, t, answer);
	try_end(n, t);
	if (call->priv->current)
		cancel_current(n, call, CHOOSE_CANCELLED);
	call->answer = answer;
	call->status = answer->status;
	wake_caller(n, call);
}

void entry_refuse(struct node *n, struct call_id id, enum ctr reason, bool is_not_run,
		  const struct peer_load *load)
{
	struct try *t = find_try(n, id);
	struct entry_call *call;

	if (!t)
		return;
	call = t->call;
	take_load(n, t, load);
	note_end(n, t, result_of(reason, is_not_run));
	try_end(n, t);
	call->reason = reason;
	if (!is_not_run)
		call->priv->may_have_run = true;
	again_or_give_up(n, call, reason, is_not_run);
}

static void lost(struct node *n, struct try *t)
{
	struct entry_call *call = t->call;

	ctr_inc(CTR_PEER_LOST);
	note_end(n, t, CHOOSE_FAILED);
	try_end(n, t);
	call->reason = CTR_PEER_LOST;
	call->priv->may_have_run = true;
	again_or_give_up(n, call, CTR_PEER_LOST, false);
}

static void never_sent(struct node *n, struct try *t)
{
	struct entry_call *call = t->call;
	g_autofree char *home = g_strdup(t->home);

	note_end(n, t, CHOOSE_CANCELLED);
	try_end(n, t);
	skip_unreachable(n, call, home);
}

void entry_fenced(struct node *n, struct call_id id, enum fence_state state)
{
	struct try *t = find_try(n, id);
	struct entry_call *call;

	if (!t || t->state != TRY_FENCING)
		return;
	call = t->call;
	switch (state) {
	case FENCE_NOT_RUN:
		ctr_inc(CTR_FENCE_NOT_RUN);
		note_end(n, t, CHOOSE_REFUSED);
		try_end(n, t);
		call->reason = CTR_PEER_LOST;
		again_or_give_up(n, call, CTR_PEER_LOST, true);
		break;
	case FENCE_RUNNING:
		ctr_inc(CTR_FENCE_RUNNING);
		break;
	case FENCE_DONE:
		ctr_inc(CTR_FENCE_DONE);
		break;
	default:
		lost(n, t);
		break;
	}
}

static GList *tries_at(struct node *n, const char *home)
{
	GList *out = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, n->entry->tries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!strcmp(((struct try *)value)->home, home))
			out = g_list_prepend(out, value);
	return out;
}

/* The last load came from before the upstream was up again. */
static void end_draining(struct node *n, const struct dir_entry *e)
{
	struct choose_target *target = choose_find(&n->choose, e->node);

	if (target && e->state == DIR_UP && !dir_entry_is_newer(&target->entry, e))
		target->load.is_draining = false;
}

void entry_directory(struct node *n, const struct dir_entry *e)
{
	g_autoptr(GList) list = tries_at(n, e->node);

	end_draining(n, e);
	for (GList *l = list; l; l = l->next) {
		struct try *t = l->data;

		if (t->state != TRY_FENCING || e->incarnation < t->home_incarnation)
			continue;
		if (e->state == DIR_GONE || e->incarnation > t->home_incarnation)
			lost(n, t);
	}
}

void entry_link_down(struct node *n, const char *peer)
{
	g_autoptr(GList) list = tries_at(n, peer);

	for (GList *l = list; l; l = l->next) {
		struct try *t = l->data;

		/* An idempotent call need not wait for the truth. */
		if (t->state == TRY_CONNECTING)
			never_sent(n, t);
		else if (t->call->is_idempotent)
			lost(n, t);
		else
			t->state = TRY_FENCING;
	}
	/* Fences go out when the link is up again. */
	if (g_list_length(list))
		mesh_link(n, peer);
}

void entry_link_up(struct node *n, const char *peer, u64 incarnation)
{
	g_autoptr(GList) list = tries_at(n, peer);
	struct choose_target *target = choose_find(&n->choose, peer);

	if (target)
		target->unreachable_until_us = 0;
	for (GList *l = list; l; l = l->next) {
		struct try *t = l->data;
		FRAME_AUTO(f, PEER_FENCE);

		if (t->state == TRY_CONNECTING)
			send_to_peer(n, t, mesh_link(n, peer));
		if (t->state != TRY_FENCING)
			continue;
		if (t->home_incarnation != incarnation) {
			lost(n, t);
			continue;
		}
		ctr_inc(CTR_FENCE_SENT);
		peer_id_put(&f, t->id);
		link_send(mesh_link(n, peer), &f);
	}
}

void entry_abandon_all(struct node *n)
{
	g_autoptr(GList) list = g_hash_table_get_values(n->entry->calls);

	for (GList *l = list; l; l = l->next) {
		ctr_inc(CTR_DRAINING);
		abandon(n, l->data, CTR_DRAINING, CHOOSE_CANCELLED);
	}
}

u32 entry_in_progress(struct node *n)
{
	return g_hash_table_size(n->entry->calls);
}

static bool is_shed_here(struct node *n, const struct entry_call *call)
{
	u64 now = loop_clock_us();
	u32 lowest = choose_lowest_worth(&n->choose, call->service, now);

	return shed_decide(&n->entry->shed, &n->choose.rng, call->service, call->rank, call->worth,
			   lowest, now);
}

static void submit(void *arg)
{
	struct entry_call *call = arg;
	struct entry_private *p = call->priv;
	struct node *n = p->node;

	g_hash_table_add(n->entry->calls, call);
	loop_timer_set(n->loop, &p->deadline, call->deadline_us);
	if (is_shed_here(n, call)) {
		ctr_inc(CTR_SHED_AT_SOURCE);
		give_up(n, call, CTR_SHED_AT_SOURCE, true);
		return;
	}
	if (call->is_idempotent)
		start_hedge_timer(n, call);
	attempt(n, call);
}

/* Nobody waits for the answer, so the work is not wanted any more. */
static void leave(void *arg)
{
	struct entry_call *call = arg;
	struct node *n = call->priv->node;

	if (!g_hash_table_contains(n->entry->calls, call))
		return;
	ctr_inc(CTR_CALLER_LEFT);
	abandon(n, call, CTR_CALLER_LEFT, CHOOSE_CANCELLED);
}

static void cond_init(pthread_cond_t *cond)
{
	pthread_condattr_t attr;

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(cond, &attr);
	pthread_condattr_destroy(&attr);
}

/* Waits for the end of the call or one step. Returns true at the end. */
static bool wait_step(struct entry_private *p)
{
	u64 until_us = loop_clock_us() + CALLER_CHECK_US;
	struct timespec until = { .tv_sec = (time_t)(until_us / US_PER_S),
				  .tv_nsec = (long)(until_us % US_PER_S * 1000) };
	bool is_done;
	int err = 0;

	pthread_mutex_lock(&p->lock);
	while (!p->is_done && !err)
		err = pthread_cond_timedwait(&p->cond, &p->lock, &until);
	is_done = p->is_done;
	pthread_mutex_unlock(&p->lock);
	return is_done;
}

void entry_run(struct node *n, struct entry_call *call)
{
	struct entry_private p = { .node = n };

	pthread_mutex_init(&p.lock, NULL);
	cond_init(&p.cond);
	p.tried = g_ptr_array_new_with_free_func(g_free);
	p.deadline = (struct loop_timer){ .fire = on_deadline, .arg = call };
	p.hedge_timer = (struct loop_timer){ .fire = on_hedge, .arg = call };
	call->priv = &p;
	call->reason = CTR_CALLS;
	loop_post(n->loop, submit, call);
	while (!wait_step(&p))
		if (call->has_left && call->has_left(call))
			loop_call(n->loop, leave, call);
	g_ptr_array_unref(p.tried);
	pthread_cond_destroy(&p.cond);
	pthread_mutex_destroy(&p.lock);
	call->priv = NULL;
}

int entry_start(struct node *n)
{
	n->entry = g_new0(struct entry, 1);
	n->entry->tries = g_hash_table_new(g_int64_hash, g_int64_equal);
	n->entry->calls = g_hash_table_new(NULL, NULL);
	retry_budget_init(&n->entry->budget);
	hedge_init(&n->entry->hedge);
	shed_init(&n->entry->shed);
	return 0;
}

void entry_stop(struct node *n)
{
	g_hash_table_unref(n->entry->calls);
	g_hash_table_unref(n->entry->tries);
	hedge_clear(&n->entry->hedge);
	shed_clear(&n->entry->shed);
	g_clear_pointer(&n->entry, g_free);
}
