/* Tries of a call at home nodes, and second tries of slow calls. */
#include "node/entry_impl.h"

#include "lib/log.h"
#include "node/config.h"

#include <string.h>

/* Head and framing of a call, more than the HTTP server takes in. */
#define CALL_OVERHEAD_BYTES (64 * 1024)

/* A control process answers what a service's upstreams are within this time. */
#define SERVICE_WAIT_US (500 * US_PER_MS)

/* From this slowness on, calls that just started there are tried elsewhere too. */
#define SLOW_PERCENT 250
/* So many times faster the other upstream must look. */
#define SLOW_GAIN 2
/* The slowness is heard of this long after it began, and a call keeps the speed it started with. */
#define SLOW_START_US (50 * US_PER_MS)

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

void entry_send_to_peer(struct node *n, struct call_try *t, struct link *k)
{
	struct entry_call *call = t->call;
	struct peer_call out = { .id = t->id,
				 .service = call->service,
				 .rank = call->rank,
				 .deadline_us = call->deadline_us,
				 .revision = config_revision(),
				 .worth = call->worth,
				 .target_us = call->target_us,
				 .is_idempotent = call->is_idempotent,
				 .may_move = call->priv->may_move,
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

static void send_home(struct node *n, struct call_try *t)
{
	struct peer_call call = { .id = t->id,
				  .service = g_strdup(t->call->service),
				  .rank = g_strdup(t->call->rank),
				  .worth = t->call->worth,
				  .target_us = t->call->target_us,
				  .is_idempotent = t->call->is_idempotent,
				  .may_move = t->call->priv->may_move,
				  .msg = copy_request(t->call->msg) };

	t->state = TRY_SENT;
	home_call(n, NULL, &call, t->call->deadline_us);
}

static struct call_try *try_new(struct node *n, struct entry_call *call,
				struct choose_target *target, u64 now_us)
{
	struct call_try *t = g_new0(struct call_try, 1);

	t->id = (struct call_id){ .incarnation = n->self.incarnation,
				  .seq = ++n->entry->seq,
				  .origin = n->entry->origin };
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

static void on_wait_end(void *arg, u64 now_us)
{
	struct entry_call *call = arg;

	(void)now_us;
	ctr_inc(CTR_NO_UPSTREAM);
	entry_give_up(call->priv->node, call, CTR_NO_UPSTREAM, true);
}

/* The first call of a service waits until its upstreams were told. */
static bool waits_for_service(struct node *n, struct entry_call *call, bool is_asked)
{
	struct entry_private *p = call->priv;

	if (p->tries || p->wait_timer.is_set || !is_asked)
		return false;
	p->wait_timer = (struct loop_timer){ .fire = on_wait_end, .arg = call };
	loop_timer_set(n->loop, &p->wait_timer, loop_clock_us() + SERVICE_WAIT_US);
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

		/* What ends one call may end others. */
		if (!g_hash_table_contains(n->entry->calls, call) || !is_waiting_for(call, service))
			continue;
		loop_timer_cancel(n->loop, &call->priv->wait_timer);
		entry_attempt(n, call);
	}
}

static void no_target(struct node *n, struct entry_call *call)
{
	enum ctr reason = call->reason == CTR_CALLS ? CTR_NO_UPSTREAM : call->reason;

	if (reason == CTR_NO_UPSTREAM)
		ctr_inc(reason);
	entry_give_up(n, call, reason, true);
}

/* Nothing was sent, so the next upstream costs no retry. */
void entry_skip_unreachable(struct node *n, struct entry_call *call, const char *home)
{
	struct choose_target *target = choose_find(&n->choose, home);

	if (target)
		choose_unreachable(target, loop_clock_us());
	ctr_inc(CTR_PEER_UNREACHABLE);
	call->reason = CTR_PEER_UNREACHABLE;
	call->priv->tries--;
	if (!call->priv->current)
		entry_attempt(n, call);
}

/* One line a choice: what it rests on, and how old that is. */
static void log_choice(const struct node *n, const struct entry_call *call,
		       const struct choose_target *t, u64 now_us)
{
	const char *request = n->dialect->id(call->msg);

	if (!log_should_write("try", request, call->priv->tries || !call->is_idempotent))
		return;
	log_event(LOG_INFO, "try", "request", request ? request : "", "service", call->service,
		  "rank", call->rank, "home", t->entry.node, "score_us",
		  log_u64(choose_score(t, call->worth, now_us)), "load_age_us",
		  log_u64(t->load_us ? now_us - t->load_us : 0), "slowness",
		  log_u64(t->load.slowness_percent), "running", log_u64(t->load.running), "queued",
		  log_u64(t->load.queued), "in_flight", log_u64(t->in_flight), "tries",
		  log_u64(call->priv->tries), "sends", log_u64(call->priv->sends), NULL);
}

static void try_at(struct node *n, struct entry_call *call, struct choose_target *target,
		   u64 now_us)
{
	struct entry_private *p = call->priv;
	const char *home = target->entry.node;
	struct link *k;

	log_choice(n, call, target, now_us);
	p->tries++;
	g_ptr_array_add(p->tried, g_strdup(home));
	if (!strcmp(home, n->self.name)) {
		send_home(n, try_new(n, call, target, now_us));
		return;
	}
	k = mesh_link(n, home);
	if (k && has_room(k, call))
		entry_send_to_peer(n, try_new(n, call, target, now_us), k);
	else if (mesh_is_dialling(n, home))
		try_new(n, call, target, now_us); /* sent when the link is up */
	else
		entry_skip_unreachable(n, call, home);
}

/* Their homes tell their load as soon as they are linked, so that the next choices know it. */
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

void entry_attempt(struct node *n, struct entry_call *call)
{
	struct entry_private *p = call->priv;
	u64 now = loop_clock_us();
	struct choose_call wanted = { .service = call->service,
				      .worth = call->worth,
				      .exclude = p->tried,
				      .most_us = p->tries ? MAX(call->target_us, 1) : 0 };
	/* Also where an upstream is known: it may be the one beside this node, and there are
	 * others. */
	bool is_asked = watch_awaits(n, call->service);
	struct choose_target *target = choose_pick(&n->choose, &wanted, now);

	link_subset(n, call->service);
	p->may_move = target && p->tries + 1 < ENTRY_HOME_TRIES_MAX &&
		      choose_has_other(&n->choose, &wanted, target, now);
	if (target)
		try_at(n, call, target, now);
	else if (!waits_for_service(n, call, is_asked))
		no_target(n, call);
}

/* Another upstream for a second try, or NULL; the current try counts as sent. */
static struct choose_target *pick_other(struct node *n, struct entry_call *call, u64 now_us)
{
	struct entry_private *p = call->priv;
	struct choose_call wanted;

	if (!p->current || p->hedge || p->has_left || p->sends + 1 >= entry_sends_max(call))
		return NULL;
	wanted = (struct choose_call){ .service = call->service,
				       .worth = call->worth,
				       .exclude = p->tried };
	return choose_pick(&n->choose, &wanted, now_us);
}

/* A second try of CALL at OTHER, beside the one that goes on; WHY counts it. */
static void hedge_at(struct node *n, struct entry_call *call, struct choose_target *other,
		     enum ctr why, u64 now_us)
{
	if (!spend_take(&n->entry->spend, call->service)) {
		ctr_inc(CTR_SPEND_EMPTY);
		return;
	}
	ctr_inc(why);
	try_at(n, call, other, now_us);
}

/* A slow call is tried a second time elsewhere; the first answer counts. */
void entry_on_hedge(void *arg, u64 now_us)
{
	struct entry_call *call = arg;
	struct node *n = call->priv->node;
	struct choose_target *other = pick_other(n, call, now_us);

	if (!other)
		return;
	if (!hedge_take(&n->entry->hedge)) {
		ctr_inc(CTR_HEDGE_BUDGET_EMPTY);
		return;
	}
	hedge_at(n, call, other, CTR_HEDGE, now_us);
}

void entry_start_hedge_timer(struct node *n, struct entry_call *call)
{
	struct hedge *h = &n->entry->hedge;
	u64 delay = hedge_delay_us(h, call->service, call->rank);

	hedge_called(h);
	if (delay)
		loop_timer_set(n->loop, &call->priv->hedge_timer, loop_clock_us() + delay);
}

/* The call of a try that waits for an answer and may be repeated, or NULL. */
static struct entry_call *repeatable(struct node *n, u64 seq)
{
	const struct call_try *t = entry_try_of(n, seq);

	return t && t->call->is_idempotent && t->state == TRY_SENT ? t->call : NULL;
}

/* The VM that runs the call is slow now: another one may answer first. */
static void hedge_slow(struct node *n, struct entry_call *call, u64 now_us)
{
	struct choose_target *at = choose_find(&n->choose, call->priv->current->home);
	struct choose_target *other = pick_other(n, call, now_us);

	if (!other || !at)
		return;
	if (choose_score(other, call->worth, now_us) * SLOW_GAIN <=
	    choose_score(at, call->worth, now_us))
		hedge_at(n, call, other, CTR_HEDGE_SLOW, now_us);
}

void entry_slowness(struct node *n, const char *home)
{
	struct choose_target *t = choose_find(&n->choose, home);
	g_autoptr(GArray) list = NULL;
	u64 now = loop_clock_us();

	if (!t || t->load.slowness_percent < SLOW_PERCENT)
		return;
	list = entry_tries_at(n, home);
	for (guint i = 0; i < list->len; i++) {
		struct entry_call *call = repeatable(n, g_array_index(list, u64, i));

		if (call && now - call->priv->current->sent_us <= SLOW_START_US)
			hedge_slow(n, call, now);
	}
}

void entry_silence(struct node *n, const char *home)
{
	g_autoptr(GArray) list = entry_tries_at(n, home);
	u64 now = loop_clock_us();

	for (guint i = 0; i < list->len; i++) {
		struct entry_call *call = repeatable(n, g_array_index(list, u64, i));
		struct choose_target *other = call ? pick_other(n, call, now) : NULL;

		if (other)
			hedge_at(n, call, other, CTR_HEDGE_SLOW, now);
	}
}
