/* Calls of callers: answers, refusals, deadlines. */
#include "node/entry_impl.h"

#include "lib/err.h"
#include "node/config.h"

#include <string.h>
#include <xxhash.h>

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

/* Ends the call; its owner may free it. */
static void finish(struct node *n, struct entry_call *call)
{
	struct entry_private *p = call->priv;

	loop_timer_cancel(n->loop, &p->deadline);
	loop_timer_cancel(n->loop, &p->hedge_timer);
	loop_timer_cancel(n->loop, &p->wait_timer);
	g_hash_table_remove(n->entry->calls, call);
	g_ptr_array_unref(p->tried);
	g_clear_pointer(&call->priv, g_free);
	call->done(n, call);
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
	finish(n, call);
}

/* TYPE is PEER_CANCEL, or PEER_CALLER_LEFT for what the home is to end only when it can. */
static void send_cancel(struct node *n, const char *home, struct call_id id, enum peer_type type)
{
	struct link *k;
	FRAME_AUTO(f, type);

	if (!strcmp(home, n->self.name)) {
		if (type == PEER_CALLER_LEFT)
			home_left(n, id);
		else
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
	send_cancel(n, home, id, PEER_CANCEL);
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

/* What an upstream itself refused has cost it a request, though it did not run. */
static bool has_reached_upstream(enum ctr reason, bool is_not_run)
{
	return !is_not_run || reason == CTR_UPSTREAM_SHED || reason == CTR_OTHER_INSTANCE ||
	       reason == CTR_REFUSED_BELOW;
}

u32 entry_sends_max(const struct entry_call *call)
{
	return call->attempts ? MIN(call->attempts, (u32)RETRY_TRIES_MAX) : RETRY_TRIES_MAX;
}

static enum retry_verdict decide(struct node *n, struct entry_call *call, enum ctr reason,
				 bool is_not_run)
{
	struct entry_private *p = call->priv;
	u64 now = loop_clock_us();
	u64 left = call->deadline_us > now ? call->deadline_us - now : 0;
	struct retry_failure failure = { .is_not_run = is_not_run,
					 .is_refused_below = reason == CTR_REFUSED_BELOW };
	enum retry_verdict verdict;

	if (p->has_left)
		return RETRY_GIVE_UP;
	/* No upstream has seen it, so this adds no load there and takes nothing from the budget. */
	if (!has_reached_upstream(reason, is_not_run))
		return p->tries < ENTRY_HOME_TRIES_MAX && left ? RETRY_AGAIN : RETRY_GIVE_UP;
	p->sends++;
	if (p->sends >= entry_sends_max(call))
		return RETRY_GIVE_UP;
	verdict = retry_decide(&n->entry->budget, p->sends, failure, call->is_idempotent, left);
	if (verdict != RETRY_AGAIN || spend_take(&n->entry->spend, call->service))
		return verdict;
	ctr_inc(CTR_SPEND_EMPTY);
	return RETRY_NO_BUDGET;
}

void entry_again_or_give_up(struct node *n, struct entry_call *call, enum ctr reason,
			    bool is_not_run)
{
	if (call->priv->current) {
		/* The other try goes on. */
		call->priv->sends += has_reached_upstream(reason, is_not_run);
		return;
	}
	switch (decide(n, call, reason, is_not_run)) {
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

GArray *entry_tries_at(struct node *n, const char *home)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(u64));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, n->entry->tries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct call_try *t = value;

		if (!strcmp(t->home, home))
			g_array_append_val(out, t->id.seq);
	}
	return out;
}

struct call_try *entry_try_of(struct node *n, u64 seq)
{
	return g_hash_table_lookup(n->entry->tries, &seq);
}

struct call_try *entry_find_try(struct node *n, struct call_id id)
{
	struct call_try *t = NULL;

	if (id.incarnation == n->self.incarnation && id.origin == n->entry->origin)
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
	finish(n, call);
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
	GHashTableIter iter;
	gpointer call;

	/* The end of one call may end others, so the table is looked at anew each time. */
	while (g_hash_table_iter_init(&iter, n->entry->calls),
	       g_hash_table_iter_next(&iter, &call, NULL)) {
		ctr_inc(CTR_DRAINING);
		abandon(n, call, CTR_DRAINING, CHOOSE_CANCELLED);
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

void entry_submit(struct node *n, struct entry_call *call)
{
	struct entry_private *p = g_new0(struct entry_private, 1);

	p->node = n;
	p->tried = g_ptr_array_new_with_free_func(g_free);
	p->deadline = (struct loop_timer){ .fire = on_deadline, .arg = call };
	p->hedge_timer = (struct loop_timer){ .fire = entry_on_hedge, .arg = call };
	call->priv = p;
	call->reason = CTR_CALLS;
	g_hash_table_add(n->entry->calls, call);
	spend_requested(&n->entry->spend, call->service);
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

/*
 * A cancellation would leave the outcome of a call that may not be repeated
 * unknown, and its work may be wanted, so it ends only while it waits.
 */
void entry_left(struct node *n, struct entry_call *call)
{
	struct entry_private *p = call->priv;

	if (p->has_left)
		return;
	p->has_left = true;
	ctr_inc(CTR_CALLER_LEFT);
	if (call->is_idempotent || !p->current || p->current->state == TRY_CONNECTING)
		abandon(n, call, CTR_CALLER_LEFT, CHOOSE_CANCELLED);
	else
		send_cancel(n, p->current->home, p->current->id, PEER_CALLER_LEFT);
}

int entry_start(struct node *n)
{
	n->entry = g_new0(struct entry, 1);
	n->entry->origin = XXH64(n->self.name, strlen(n->self.name), 0);
	n->entry->tries = g_hash_table_new(g_int64_hash, g_int64_equal);
	n->entry->calls = g_hash_table_new(NULL, NULL);
	retry_budget_init(&n->entry->budget);
	hedge_init(&n->entry->hedge);
	shed_init(&n->entry->shed);
	spend_init(&n->entry->spend, n->settings->node.retry_budget_percent,
		   n->settings->node.retry_budget_slack);
	return 0;
}

void entry_stop(struct node *n)
{
	g_hash_table_unref(n->entry->calls);
	g_hash_table_unref(n->entry->tries);
	hedge_clear(&n->entry->hedge);
	shed_clear(&n->entry->shed);
	spend_clear(&n->entry->spend);
	g_clear_pointer(&n->entry, g_free);
}
