/* Attempts of a call at home nodes, and hedges for slow calls. */
#include "node/entry_impl.h"

#include "lib/log.h"
#include "node/config.h"

#include <string.h>

/* Room for the head and framing of a call; covers the HTTP server's default limit on a head. */
#define CALL_OVERHEAD_BYTES (64 * 1024)

/* How long a call waits for a control process to return the upstreams of its service. */
#define SERVICE_WAIT_TIMEOUT_US (500 * US_PER_MS)

/* At or above this slowness, calls that have just started at an upstream are hedged. */
#define HEDGE_SLOWNESS_MIN_PERCENT 250
/* The other upstream's score must be lower by at least this factor. */
#define HEDGE_SCORE_MIN_RATIO 2
/*
 * Slowness is reported up to this long after it began. A call keeps the speed that it started
 * with, so older calls are not affected.
 */
#define HEDGE_SLOWNESS_MAX_CALL_AGE_US (50 * US_PER_MS)

/* Calls are queued only as a whole: a link without enough room is treated as unavailable. */
static bool has_room(const struct link *k, const struct entry_call *call)
{
	return link_queued_bytes(k) + call->msg->body->len + CALL_OVERHEAD_BYTES <
	       LINK_SEND_QUEUE_MAX_BYTES;
}

static void update_rtt(struct node *n, const char *home, u64 rtt_us)
{
	struct choose_target *target = choose_find(&n->choose, home);

	if (target)
		target->rtt_us = rtt_us;
}

/* Returns the calls of the organisation that were refused here since the last one was sent. */
static u32 take_refused(struct node *n, const struct entry_call *call)
{
	struct shed_key key = entry_shed_key(call);

	if (!call->organisation_hash)
		return 0;
	return shed_take_refused(&n->entry->shed, &key, loop_clock_us());
}

void entry_send_to_peer(struct node *n, struct call_attempt *a, struct link *k)
{
	struct entry_call *call = a->call;
	struct peer_call out = { .id = a->id,
				 .service = call->service,
				 .rank = call->rank,
				 .deadline_us = stop_limit_us(&n->stop, call->deadline_us),
				 .revision = config_revision(),
				 .worth = call->worth,
				 .target_us = call->target_us,
				 .is_idempotent = call->is_idempotent,
				 .has_alternative = call->priv->has_alternative,
				 .organisation = call->organisation_hash,
				 .route = call->route_hash,
				 .refused_before = take_refused(n, call),
				 .body_len = call->msg->body->len,
				 .msg = call->msg };
	FRAME_AUTO(f, PEER_CALL);

	a->state = ATTEMPT_SENT;
	a->home_incarnation = k->remote.incarnation;
	update_rtt(n, a->home, k->rtt_us);
	peer_call_put(&f, &out);
	/* If the link accepts no more bytes it goes down, and a fence determines the outcome. */
	if (!link_send(k, &f))
		peer_send_body(k, a->id, call->msg->body);
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

static void send_to_own_home(struct node *n, struct call_attempt *a)
{
	struct peer_call call = { .id = a->id,
				  .service = g_strdup(a->call->service),
				  .rank = g_strdup(a->call->rank),
				  .worth = a->call->worth,
				  .target_us = a->call->target_us,
				  .is_idempotent = a->call->is_idempotent,
				  .has_alternative = a->call->priv->has_alternative,
				  .organisation = a->call->organisation_hash,
				  .route = a->call->route_hash,
				  .refused_before = take_refused(n, a->call),
				  .msg = copy_request(a->call->msg) };

	a->state = ATTEMPT_SENT;
	home_call(n, NULL, &call, stop_limit_us(&n->stop, a->call->deadline_us));
}

static struct call_id next_attempt_id(const struct node *n)
{
	return (struct call_id){ .incarnation = n->self.incarnation,
				 .seq = n->entry->seq + 1,
				 .origin = n->entry->origin };
}

static struct call_attempt *attempt_new(struct node *n, struct entry_call *call,
					struct choose_target *target, u64 now_us)
{
	struct call_attempt *a = g_new0(struct call_attempt, 1);

	a->id = next_attempt_id(n);
	n->entry->seq++;
	a->call = call;
	a->home = g_strdup(target->entry.node);
	a->sent_us = now_us;
	if (call->priv->current)
		call->priv->hedge = a;
	else
		call->priv->current = a;
	call->last_attempt_id = a->id;
	g_hash_table_insert(n->entry->attempts, &a->id.seq, a);
	choose_sent(target, now_us);
	return a;
}

static void on_service_wait_timeout(void *arg, u64 now_us)
{
	struct entry_call *call = arg;

	(void)now_us;
	ctr_inc(CTR_NO_UPSTREAM);
	entry_fail(call->priv->node, call, CTR_NO_UPSTREAM, true);
}

/* Makes the first call for a service wait for its upstreams. Returns whether it waits. */
static bool wait_for_service(struct node *n, struct entry_call *call, bool is_answer_pending)
{
	struct entry_private *p = call->priv;

	if (p->attempt_count || p->wait_timer.is_set || !is_answer_pending)
		return false;
	p->wait_timer = (struct loop_timer){ .fire = on_service_wait_timeout, .arg = call };
	loop_timer_set(n->loop, &p->wait_timer, loop_clock_us() + SERVICE_WAIT_TIMEOUT_US);
	return true;
}

static bool is_waiting_for(const struct entry_call *call, const char *service)
{
	return call->priv->wait_timer.is_set && !strcmp(call->service, service);
}

void entry_service_known(struct node *n, const char *service)
{
	g_autoptr(GList) calls = g_hash_table_get_keys(n->entry->calls);

	for (GList *l = calls; l; l = l->next) {
		struct entry_call *call = l->data;

		/* Ending one call may end others. */
		if (!g_hash_table_contains(n->entry->calls, call) || !is_waiting_for(call, service))
			continue;
		loop_timer_cancel(n->loop, &call->priv->wait_timer);
		entry_start_attempt(n, call);
	}
}

static void fail_without_target(struct node *n, struct entry_call *call)
{
	enum ctr reason = call->reason == CTR_CALLS ? CTR_NO_UPSTREAM : call->reason;

	if (reason == CTR_NO_UPSTREAM)
		ctr_inc(reason);
	entry_fail(n, call, reason, true);
}

/* Nothing was sent, so the next upstream is tried without counting a retry. */
void entry_skip_unreachable(struct node *n, struct entry_call *call, const char *home)
{
	struct choose_target *target = choose_find(&n->choose, home);

	if (target)
		choose_set_unreachable(target, loop_clock_us());
	ctr_inc(CTR_PEER_UNREACHABLE);
	call->reason = CTR_PEER_UNREACHABLE;
	call->priv->attempt_count--;
	if (!call->priv->current)
		entry_start_attempt(n, call);
}

/* Logs the chosen target with the data behind the choice and the age of that data. */
static void log_choice(const struct node *n, const struct entry_call *call,
		       const struct choose_target *t, u64 now_us)
{
	const char *request = n->dialect->id(call->msg);
	char id[PEER_ID_TEXT_BYTES];

	if (!log_should_write("try", request, call->priv->attempt_count || !call->is_idempotent))
		return;
	peer_id_to_text(next_attempt_id(n), id);
	log_event(LOG_INFO, "try", "request", request ? request : id, "service", call->service,
		  "rank", call->rank, "home", t->entry.node, "score_us",
		  log_u64(choose_score(t, call->worth, now_us)), "load_age_us",
		  log_u64(t->load_at_us ? now_us - t->load_at_us : 0), "slowness",
		  log_u64(t->load.slowness_percent), "running", log_u64(t->load.running), "queued",
		  log_u64(t->load.queued), "in_flight", log_u64(t->in_flight), "tries",
		  log_u64(call->priv->attempt_count), "sends",
		  log_u64(call->priv->upstream_attempts), NULL);
}

static void start_attempt_at(struct node *n, struct entry_call *call, struct choose_target *target,
			     u64 now_us)
{
	struct entry_private *p = call->priv;
	const char *home = target->entry.node;
	struct link *k;

	log_choice(n, call, target, now_us);
	p->attempt_count++;
	g_ptr_array_add(p->tried_homes, g_strdup(home));
	if (!strcmp(home, n->self.name)) {
		send_to_own_home(n, attempt_new(n, call, target, now_us));
		return;
	}
	k = mesh_link(n, home);
	if (k && has_room(k, call))
		entry_send_to_peer(n, attempt_new(n, call, target, now_us), k);
	else if (mesh_is_dialling(n, home))
		attempt_new(n, call, target, now_us); /* sent once the link is up */
	else
		entry_skip_unreachable(n, call, home);
}

/*
 * Opens links to all home nodes of the service's subset. Home nodes report their load as soon
 * as they are linked, so that later choices can use it.
 */
static void link_subset(struct node *n, const char *service)
{
	struct choose_service *s = choose_find_service(&n->choose, service);

	if (!s || s->is_linked)
		return;
	s->is_linked = true;
	for (guint i = 0; i < s->subset->len; i++) {
		const struct choose_target *t = g_ptr_array_index(s->subset, i);

		if (strcmp(t->entry.node, n->self.name))
			mesh_link(n, t->entry.node);
	}
}

void entry_start_attempt(struct node *n, struct entry_call *call)
{
	struct entry_private *p = call->priv;
	u64 now = loop_clock_us();
	struct choose_call wanted = { .service = call->service,
				      .worth = call->worth,
				      .exclude = p->tried_homes,
				      .max_call_us =
					      p->attempt_count ? MAX(call->target_us, 1) : 0 };
	/* Requested even if an upstream is known: it may be only this node's own. */
	bool is_answer_pending = watch_request_service(n, call->service);
	struct choose_target *target = choose_pick(&n->choose, &wanted, now);

	link_subset(n, call->service);
	p->has_alternative = target && p->attempt_count + 1 < ENTRY_HOME_ATTEMPTS_MAX &&
			     choose_has_alternative(&n->choose, &wanted, target, now);
	if (target)
		start_attempt_at(n, call, target, now);
	else if (!wait_for_service(n, call, is_answer_pending))
		fail_without_target(n, call);
}

/*
 * Returns another upstream for a hedge, or NULL. The current attempt counts towards
 * entry_upstream_attempts_max().
 */
static struct choose_target *pick_hedge_target(struct node *n, struct entry_call *call, u64 now_us)
{
	struct entry_private *p = call->priv;
	struct choose_call wanted;

	if (!p->current || p->hedge || p->caller_left ||
	    p->upstream_attempts + 1 >= entry_upstream_attempts_max(call))
		return NULL;
	wanted = (struct choose_call){ .service = call->service,
				       .worth = call->worth,
				       .exclude = p->tried_homes };
	return choose_pick(&n->choose, &wanted, now_us);
}

/* Starts a second attempt of CALL at OTHER in parallel with the current one; increments COUNTER. */
static void hedge_to(struct node *n, struct entry_call *call, struct choose_target *other,
		     enum ctr counter, u64 now_us)
{
	if (!retry_quota_try_withdraw(&n->entry->retry_quota, call->service)) {
		ctr_inc(CTR_SPEND_EMPTY);
		return;
	}
	ctr_inc(counter);
	start_attempt_at(n, call, other, now_us);
}

/* Starts a second attempt of a slow call at another upstream; the first answer wins. */
void entry_on_hedge_timer(void *arg, u64 now_us)
{
	struct entry_call *call = arg;
	struct node *n = call->priv->node;
	struct choose_target *other = pick_hedge_target(n, call, now_us);

	if (!other)
		return;
	if (!hedge_budget_try_withdraw(&n->entry->hedge)) {
		ctr_inc(CTR_HEDGE_BUDGET_EMPTY);
		return;
	}
	hedge_to(n, call, other, CTR_HEDGE, now_us);
}

void entry_start_hedge_timer(struct node *n, struct entry_call *call)
{
	struct hedge *h = &n->entry->hedge;
	u64 delay = hedge_delay_us(h, call->service, call->rank);

	hedge_budget_deposit(h);
	if (delay)
		loop_timer_set(n->loop, &call->priv->hedge_timer, loop_clock_us() + delay);
}

/* Returns the idempotent call whose sent attempt has this sequence, or NULL. */
static struct entry_call *hedgeable_call(struct node *n, u64 seq)
{
	const struct call_attempt *a = entry_attempt_by_seq(n, seq);

	return a && a->call->is_idempotent && a->state == ATTEMPT_SENT ? a->call : NULL;
}

/* Hedges a call whose VM has become slow, if another upstream is likely to answer first. */
static void hedge_slow(struct node *n, struct entry_call *call, u64 now_us)
{
	struct choose_target *current = choose_find(&n->choose, call->priv->current->home);
	struct choose_target *other = pick_hedge_target(n, call, now_us);

	if (!other || !current)
		return;
	if (choose_score(other, call->worth, now_us) * HEDGE_SCORE_MIN_RATIO <=
	    choose_score(current, call->worth, now_us))
		hedge_to(n, call, other, CTR_HEDGE_SLOW, now_us);
}

void entry_slowness_changed(struct node *n, const char *home)
{
	struct choose_target *t = choose_find(&n->choose, home);
	g_autoptr(GArray) list = NULL;
	u64 now = loop_clock_us();

	if (!t || t->load.slowness_percent < HEDGE_SLOWNESS_MIN_PERCENT)
		return;
	list = entry_attempts_at(n, home);
	for (guint i = 0; i < list->len; i++) {
		struct entry_call *call = hedgeable_call(n, g_array_index(list, u64, i));

		if (call && now - call->priv->current->sent_us <= HEDGE_SLOWNESS_MAX_CALL_AGE_US)
			hedge_slow(n, call, now);
	}
}

void entry_home_silent(struct node *n, const char *home)
{
	g_autoptr(GArray) list = entry_attempts_at(n, home);
	u64 now = loop_clock_us();

	for (guint i = 0; i < list->len; i++) {
		struct entry_call *call = hedgeable_call(n, g_array_index(list, u64, i));
		struct choose_target *other = call ? pick_hedge_target(n, call, now) : NULL;

		if (other)
			hedge_to(n, call, other, CTR_HEDGE_SLOW, now);
	}
}
