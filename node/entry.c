/* Calls from callers: answers, refusals and deadlines. */
#include "node/entry_impl.h"

#include "lib/err.h"
#include "node/config.h"

#include <string.h>
#include <xxhash.h>

void entry_attempt_free(struct node *n, struct call_attempt *a)
{
	struct entry_private *p = a->call->priv;

	if (a == p->current)
		p->current = p->hedge;
	p->hedge = NULL;
	g_hash_table_remove(n->entry->attempts, &a->id.seq);
	g_free(a->home);
	g_free(a);
}

/* Ends the call and notifies its owner, which may free it. */
static void finish(struct node *n, struct entry_call *call)
{
	struct entry_private *p = call->priv;

	loop_timer_cancel(n->loop, &p->deadline);
	loop_timer_cancel(n->loop, &p->hedge_timer);
	loop_timer_cancel(n->loop, &p->wait_timer);
	g_hash_table_remove(n->entry->calls, call);
	g_ptr_array_unref(p->tried_homes);
	g_clear_pointer(&call->priv, g_free);
	call->done(n, call);
}

void entry_note_run(struct entry_call *call, enum ctr reason)
{
	call->priv->may_have_run = true;
	call->priv->has_run_reason = true;
	call->priv->run_reason = reason;
}

static u16 failure_status(enum ctr reason, bool is_not_run)
{
	if (reason == CTR_DEADLINE || reason == CTR_UPSTREAM_TIMEOUT || reason == CTR_EXPIRED_UNRUN)
		return 504;
	return is_not_run ? 503 : 502;
}

void entry_fail(struct node *n, struct entry_call *call, enum ctr reason, bool is_not_run)
{
	/* A later attempt that was not run does not say why the call failed. */
	if (is_not_run && call->priv->has_run_reason)
		reason = call->priv->run_reason;
	call->reason = reason;
	call->is_not_run = is_not_run && !call->priv->may_have_run;
	call->status = failure_status(reason, call->is_not_run);
	finish(n, call);
}

/*
 * TYPE is PEER_CANCEL, or PEER_CALLER_LEFT when the home node should end the call only if it can
 * do so safely.
 */
static void send_cancel(struct node *n, const char *home, struct call_id id, enum peer_type type)
{
	struct link *k;
	FRAME_AUTO(f, type);

	if (!strcmp(home, n->self.name)) {
		if (type == PEER_CALLER_LEFT)
			home_caller_left(n, id);
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

void entry_record_result(struct node *n, const struct call_attempt *a, enum choose_result result)
{
	struct choose_target *target = choose_find(&n->choose, a->home);
	u64 now = loop_clock_us();

	if (target)
		choose_ended(target, result, now - a->sent_us, now);
}

/*
 * Removes the attempt before sending the cancel, so that the home node's refusal no longer
 * matches it. An attempt that still waits for its link was never sent and needs no cancel.
 */
static void cancel_current(struct node *n, struct entry_call *call, enum choose_result result)
{
	struct call_attempt *a = call->priv->current;
	g_autofree char *home = g_strdup(a->home);
	bool was_sent = a->state != ATTEMPT_CONNECTING;
	struct call_id id = a->id;

	entry_record_result(n, a, was_sent ? result : CHOOSE_CANCELLED);
	entry_attempt_free(n, a);
	if (!was_sent)
		return;
	call->priv->may_have_run = true;
	send_cancel(n, home, id, PEER_CANCEL);
}

/* Ends a call without an answer; it is reported as not run if no attempt was sent. */
static void abandon(struct node *n, struct entry_call *call, enum ctr reason,
		    enum choose_result result)
{
	while (call->priv->current)
		cancel_current(n, call, result);
	entry_fail(n, call, reason, true);
}

static void on_deadline(void *arg, u64 now_us)
{
	struct entry_call *call = arg;
	struct node *n = call->priv->node;

	(void)now_us;
	ctr_inc(CTR_DEADLINE);
	abandon(n, call, CTR_DEADLINE, CHOOSE_TIMED_OUT);
}

/* A refusal by the upstream itself cost it a request, although the call did not run. */
static bool has_reached_upstream(enum ctr reason, bool is_not_run)
{
	return !is_not_run || reason == CTR_UPSTREAM_SHED || reason == CTR_OTHER_INSTANCE ||
	       reason == CTR_REFUSED_BELOW;
}

u32 entry_upstream_attempts_max(const struct entry_call *call)
{
	return call->attempts ? MIN(call->attempts, (u32)RETRY_ATTEMPTS_MAX) : RETRY_ATTEMPTS_MAX;
}

static enum retry_verdict decide_retry(struct node *n, struct entry_call *call, enum ctr reason,
				       bool is_not_run)
{
	struct entry_private *p = call->priv;
	u64 now = loop_clock_us();
	u64 deadline_us = stop_limit_us(&n->stop, call->deadline_us);
	u64 remaining_us = deadline_us > now ? deadline_us - now : 0;
	struct retry_failure failure = { .is_not_run = is_not_run,
					 .is_refused_below = reason == CTR_REFUSED_BELOW };
	enum retry_verdict verdict;

	if (p->caller_left)
		return RETRY_GIVE_UP;
	/* No upstream saw the attempt: a retry adds no load there and needs no retry budget. */
	if (!has_reached_upstream(reason, is_not_run))
		return p->attempt_count < ENTRY_HOME_ATTEMPTS_MAX && remaining_us ? RETRY_AGAIN :
										    RETRY_GIVE_UP;
	p->upstream_attempts++;
	if (p->upstream_attempts >= entry_upstream_attempts_max(call))
		return RETRY_GIVE_UP;
	verdict = retry_decide(&n->entry->budget, p->upstream_attempts, failure,
			       call->is_idempotent, remaining_us);
	if (verdict != RETRY_AGAIN ||
	    retry_quota_try_withdraw(&n->entry->retry_quota, call->service))
		return verdict;
	ctr_inc(CTR_SPEND_EMPTY);
	return RETRY_NO_BUDGET;
}

void entry_retry_or_fail(struct node *n, struct entry_call *call, enum ctr reason, bool is_not_run)
{
	if (call->priv->current) {
		/* The other attempt is still pending. */
		call->priv->upstream_attempts += has_reached_upstream(reason, is_not_run);
		return;
	}
	switch (decide_retry(n, call, reason, is_not_run)) {
	case RETRY_AGAIN:
		ctr_inc(is_not_run ? CTR_RETRY_NOT_RUN : CTR_RETRY_IDEMPOTENT);
		entry_start_attempt(n, call);
		break;
	case RETRY_NO_BUDGET:
		ctr_inc(CTR_RETRY_BUDGET_EMPTY);
		entry_fail(n, call, reason, is_not_run);
		break;
	default:
		entry_fail(n, call, reason, is_not_run);
		break;
	}
}

GArray *entry_attempts_at(struct node *n, const char *home)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(u64));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, n->entry->attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct call_attempt *a = value;

		if (!strcmp(a->home, home))
			g_array_append_val(out, a->id.seq);
	}
	return out;
}

bool entry_has_attempts_at(struct node *n, const char *home)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, n->entry->attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct call_attempt *a = value;

		if (!strcmp(a->home, home))
			return true;
	}
	return false;
}

struct call_attempt *entry_attempt_by_seq(struct node *n, u64 seq)
{
	return g_hash_table_lookup(n->entry->attempts, &seq);
}

struct call_attempt *entry_find_attempt(struct node *n, struct call_id id)
{
	struct call_attempt *a = NULL;

	if (id.incarnation == n->self.incarnation && id.origin == n->entry->origin)
		a = g_hash_table_lookup(n->entry->attempts, &id.seq);
	if (!a)
		ctr_inc(CTR_LATE_REPLY);
	return a;
}

static enum choose_result choose_result_of(enum ctr reason, bool is_not_run)
{
	if (reason == CTR_REFUSED_BELOW || reason == CTR_CANCELLED)
		return CHOOSE_CANCELLED;
	if (reason == CTR_UPSTREAM_SHED || reason == CTR_UPSTREAM_REFUSED || !is_not_run)
		return CHOOSE_FAILED;
	return CHOOSE_REFUSED;
}

struct shed_key entry_shed_key(const struct entry_call *call)
{
	return (struct shed_key){ .service = call->service,
				  .rank = call->rank,
				  .organisation = call->organisation_hash };
}

/* Updates latency statistics and budgets from an answer, and records that its rank was admitted. */
static void record_answer(struct node *n, const struct call_attempt *a,
			  const struct http_msg *answer)
{
	const struct entry_call *call = a->call;
	struct shed_key key = entry_shed_key(call);
	u64 now = loop_clock_us();

	entry_record_result(n, a, answer->status < 500 ? CHOOSE_ANSWERED : CHOOSE_FAILED);
	retry_budget_deposit(&n->entry->budget);
	shed_accepted_of(&n->entry->shed, &key, now);
	hedge_record_latency(&n->entry->hedge, call->service, call->rank, now - a->sent_us);
	if (a == call->priv->hedge)
		ctr_inc(CTR_HEDGE_WON);
}

static void update_load(struct node *n, const struct call_attempt *a, const struct peer_load *load)
{
	struct choose_target *target = choose_find(&n->choose, a->home);

	if (target && load)
		choose_set_load(target, load, loop_clock_us());
}

void entry_reply(struct node *n, struct call_id id, struct http_msg *answer,
		 const struct peer_load *load)
{
	struct call_attempt *a = entry_find_attempt(n, id);
	struct entry_call *call;

	if (!a) {
		http_free(answer);
		return;
	}
	call = a->call;
	update_load(n, a, load);
	record_answer(n, a, answer);
	entry_attempt_free(n, a);
	if (call->priv->current)
		cancel_current(n, call, CHOOSE_CANCELLED);
	call->answer = answer;
	call->status = answer->status;
	finish(n, call);
}

void entry_refuse(struct node *n, struct call_id id, enum ctr reason, bool is_not_run,
		  const struct peer_load *load)
{
	struct call_attempt *a = entry_find_attempt(n, id);
	struct entry_call *call;

	if (!a)
		return;
	call = a->call;
	update_load(n, a, load);
	entry_record_result(n, a, choose_result_of(reason, is_not_run));
	entry_attempt_free(n, a);
	call->reason = reason;
	if (!is_not_run)
		entry_note_run(call, reason);
	entry_retry_or_fail(n, call, reason, is_not_run);
}

void entry_abandon_all(struct node *n)
{
	GHashTableIter iter;
	gpointer call;

	/* Ending one call may end others, so iteration restarts after each. */
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

static bool should_shed(struct node *n, const struct entry_call *call)
{
	struct shed_key key = entry_shed_key(call);
	u64 now = loop_clock_us();
	u32 lowest = choose_lowest_worth(&n->choose, call->service, now);

	return shed_should_refuse_of(&n->entry->shed, &n->choose.rng, &key, call->worth, lowest,
				     now);
}

bool entry_would_shed(struct node *n, const struct entry_call *call, struct rng *rng, u64 now_us)
{
	struct shed_key key = entry_shed_key(call);
	u32 lowest = choose_preview_lowest_worth(&n->choose, call->service, now_us);

	return shed_preview(&n->entry->shed, rng, &key, call->worth, lowest, now_us);
}

void entry_submit(struct node *n, struct entry_call *call)
{
	struct entry_private *p = g_new0(struct entry_private, 1);

	p->node = n;
	p->tried_homes = g_ptr_array_new_with_free_func(g_free);
	p->deadline = (struct loop_timer){ .fire = on_deadline, .arg = call };
	p->hedge_timer = (struct loop_timer){ .fire = entry_on_hedge_timer, .arg = call };
	call->priv = p;
	call->reason = CTR_CALLS;
	g_hash_table_add(n->entry->calls, call);
	retry_quota_deposit(&n->entry->retry_quota, call->service);
	loop_timer_set(n->loop, &p->deadline, call->deadline_us);
	if (should_shed(n, call)) {
		ctr_inc(CTR_SHED_AT_SOURCE);
		entry_fail(n, call, CTR_SHED_AT_SOURCE, true);
		return;
	}
	if (call->is_idempotent)
		entry_start_hedge_timer(n, call);
	entry_start_attempt(n, call);
}

/*
 * Cancelling a running non-idempotent call would leave its outcome unknown, and its effect may
 * still be wanted, so such a call is ended only while it is queued.
 */
void entry_caller_left(struct node *n, struct entry_call *call)
{
	struct entry_private *p = call->priv;

	if (p->caller_left)
		return;
	p->caller_left = true;
	ctr_inc(CTR_CALLER_LEFT);
	if (call->is_idempotent || !p->current || p->current->state == ATTEMPT_CONNECTING)
		abandon(n, call, CTR_CALLER_LEFT, CHOOSE_CANCELLED);
	else
		send_cancel(n, p->current->home, p->current->id, PEER_CALLER_LEFT);
}

int entry_start(struct node *n)
{
	n->entry = g_new0(struct entry, 1);
	n->entry->origin = XXH64(n->self.name, strlen(n->self.name), 0);
	n->entry->attempts = g_hash_table_new(g_int64_hash, g_int64_equal);
	n->entry->calls = g_hash_table_new(NULL, NULL);
	retry_budget_init(&n->entry->budget);
	hedge_init(&n->entry->hedge);
	shed_init(&n->entry->shed);
	retry_quota_init(&n->entry->retry_quota, n->settings->node.retry_budget_percent,
			 n->settings->node.retry_budget_slack);
	return 0;
}

void entry_stop(struct node *n)
{
	g_hash_table_unref(n->entry->calls);
	g_hash_table_unref(n->entry->attempts);
	hedge_clear(&n->entry->hedge);
	shed_clear(&n->entry->shed);
	retry_quota_clear(&n->entry->retry_quota);
	g_clear_pointer(&n->entry, g_free);
}
