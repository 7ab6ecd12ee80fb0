/* Calls of callers: answers, refusals, deadlines. */
#include "node/entry_impl.h"

#include "lib/err.h"
#include "node/config.h"

#include <string.h>

/* How often a waiting call looks whether its caller has left. */
#define CALLER_CHECK_US (100 * US_PER_MS)

void entry_try_end(struct node *n, struct call_try *t)
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

void entry_give_up(struct node *n, struct entry_call *call, enum ctr reason, bool is_not_run)
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

void entry_note_end(struct node *n, const struct call_try *t, enum choose_result result)
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
	struct call_try *t = call->priv->current;
	g_autofree char *home = g_strdup(t->home);
	bool was_sent = t->state != TRY_CONNECTING;
	struct call_id id = t->id;

	entry_note_end(n, t, was_sent ? result : CHOOSE_CANCELLED);
	entry_try_end(n, t);
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
	entry_give_up(n, call, reason, true);
}

static void on_deadline(void *arg, u64 now_us)
{
	struct entry_call *call = arg;
	struct node *n = call->priv->node;

	(void)now_us;
	ctr_inc(CTR_DEADLINE);
	abandon(n, call, CTR_DEADLINE, CHOOSE_TIMED_OUT);
}

void entry_again_or_give_up(struct node *n, struct entry_call *call, enum ctr reason,
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
		entry_attempt(n, call);
		break;
	case RETRY_NO_BUDGET:
		ctr_inc(CTR_RETRY_BUDGET_EMPTY);
		entry_give_up(n, call, reason, is_not_run);
		break;
	default:
		entry_give_up(n, call, reason, is_not_run);
		break;
	}
}

struct call_try *entry_find_try(struct node *n, struct call_id id)
{
	struct call_try *t = NULL;

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
static void learn(struct node *n, const struct call_try *t, const struct http_msg *answer)
{
	const struct entry_call *call = t->call;
	u64 now = loop_clock_us();

	entry_note_end(n, t, answer->status < 500 ? CHOOSE_ANSWERED : CHOOSE_FAILED);
	retry_answered(&n->entry->budget);
	shed_taken(&n->entry->shed, call->service, call->rank, now);
	hedge_answered(&n->entry->hedge, call->service, call->rank, now - t->sent_us);
	if (t == call->priv->hedge)
		ctr_inc(CTR_HEDGE_WON);
}

static void take_load(struct node *n, const struct call_try *t, const struct peer_load *load)
{
	struct choose_target *target = choose_find(&n->choose, t->home);

	if (target && load)
		choose_load(target, load, loop_clock_us());
}

void entry_reply(struct node *n, struct call_id id, struct http_msg *answer,
		 const struct peer_load *load)
{
	struct call_try *t = entry_find_try(n, id);
	struct entry_call *call;

	if (!t) {
		http_free(answer);
		return;
	}
	call = t->call;
	take_load(n, t, load);
	learn(n, t, answer);
	entry_try_end(n, t);
	if (call->priv->current)
		cancel_current(n, call, CHOOSE_CANCELLED);
	call->answer = answer;
	call->status = answer->status;
	wake_caller(n, call);
}

void entry_refuse(struct node *n, struct call_id id, enum ctr reason, bool is_not_run,
		  const struct peer_load *load)
{
	struct call_try *t = entry_find_try(n, id);
	struct entry_call *call;

	if (!t)
		return;
	call = t->call;
	take_load(n, t, load);
	entry_note_end(n, t, result_of(reason, is_not_run));
	entry_try_end(n, t);
	call->reason = reason;
	if (!is_not_run)
		call->priv->may_have_run = true;
	entry_again_or_give_up(n, call, reason, is_not_run);
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
		entry_give_up(n, call, CTR_SHED_AT_SOURCE, true);
		return;
	}
	if (call->is_idempotent)
		entry_start_hedge_timer(n, call);
	entry_attempt(n, call);
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
	p.hedge_timer = (struct loop_timer){ .fire = entry_on_hedge, .arg = call };
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
