/* Calls of callers: choice, tries, fences, deadlines. */
#include "node/node.h"

#include "lib/err.h"
#include "node/config.h"

#include <pthread.h>
#include <string.h>

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
	GPtrArray *tried; /* of char: home nodes that refused or failed */
	struct try *current;
	u32 tries;
	bool may_have_run;
};

struct entry {
	GHashTable *tries; /* sequence -> struct try */
	u64 seq;
	struct retry_budget budget;
	u32 in_progress;
};

static void attempt(struct node *n, struct entry_call *call);

static void try_end(struct node *n, struct try *t)
{
	t->call->priv->current = NULL;
	g_hash_table_remove(n->entry->tries, &t->id.seq);
	g_free(t->home);
	g_free(t);
}

static void wake_caller(struct node *n, struct entry_call *call)
{
	struct entry_private *p = call->priv;

	loop_timer_cancel(n->loop, &p->deadline);
	n->entry->in_progress--;
	pthread_mutex_lock(&p->lock);
	p->is_done = true;
	pthread_cond_signal(&p->cond);
	pthread_mutex_unlock(&p->lock);
}

static u16 status_of(enum ctr reason, bool is_not_run)
{
	if (reason == CTR_DEADLINE || reason == CTR_UPSTREAM_TIMEOUT)
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

/* The try ends before the cancel goes out, so the home's refusal finds nobody. */
static void cancel_current(struct node *n, struct entry_call *call, enum choose_result result)
{
	struct try *t = call->priv->current;
	g_autofree char *home = g_strdup(t->home);
	struct call_id id = t->id;

	call->priv->may_have_run = true;
	note_end(n, t, result);
	try_end(n, t);
	send_cancel(n, home, id);
}

static void on_deadline(void *arg, u64 now_us)
{
	struct entry_call *call = arg;
	struct node *n = call->priv->node;

	(void)now_us;
	ctr_inc(CTR_DEADLINE);
	if (!call->priv->current) {
		give_up(n, call, CTR_DEADLINE, true);
		return;
	}
	cancel_current(n, call, CHOOSE_FAILED);
	give_up(n, call, CTR_DEADLINE, false);
}

static void again_or_give_up(struct node *n, struct entry_call *call, enum ctr reason,
			     bool is_not_run)
{
	u64 now = loop_clock_us();
	u64 left = call->deadline_us > now ? call->deadline_us - now : 0;

	switch (retry_decide(&n->entry->budget, call->priv->tries, is_not_run, call->is_idempotent,
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

static void send_to_peer(struct try *t, struct link *k)
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
	peer_call_put(&f, &out);
	/* A link that takes no more bytes goes down soon, and the fence tells the outcome. */
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
	call->priv->current = t;
	call->last_id = t->id;
	g_hash_table_insert(n->entry->tries, &t->id.seq, t);
	choose_sent(target);
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
	attempt(n, call);
}

static void attempt(struct node *n, struct entry_call *call)
{
	struct entry_private *p = call->priv;
	u64 now = loop_clock_us();
	struct choose_target *target = choose_pick(&n->choose, call->service, p->tried, now);
	const char *home;
	struct link *k;

	if (!target) {
		no_target(n, call);
		return;
	}
	home = target->entry.node;
	p->tries++;
	g_ptr_array_add(p->tried, g_strdup(home));
	if (!strcmp(home, n->self.name)) {
		send_home(n, try_new(n, call, target, now));
		return;
	}
	k = mesh_link(n, home);
	if (k)
		send_to_peer(try_new(n, call, target, now), k);
	else if (mesh_is_dialling(n, home))
		try_new(n, call, target, now); /* sent when the link is up */
	else
		skip_unreachable(n, call, home);
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
	note_end(n, t, CHOOSE_ANSWERED);
	retry_answered(&n->entry->budget);
	try_end(n, t);
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
	note_end(n, t, is_not_run ? CHOOSE_REFUSED : CHOOSE_FAILED);
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
			send_to_peer(t, mesh_link(n, peer));
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

u32 entry_in_progress(struct node *n)
{
	return n->entry->in_progress;
}

static void submit(void *arg)
{
	struct entry_call *call = arg;
	struct entry_private *p = call->priv;
	struct node *n = p->node;

	n->entry->in_progress++;
	loop_timer_set(n->loop, &p->deadline, call->deadline_us);
	attempt(n, call);
}

void entry_run(struct node *n, struct entry_call *call)
{
	struct entry_private p = { .node = n };

	pthread_mutex_init(&p.lock, NULL);
	pthread_cond_init(&p.cond, NULL);
	p.tried = g_ptr_array_new_with_free_func(g_free);
	p.deadline = (struct loop_timer){ .fire = on_deadline, .arg = call };
	call->priv = &p;
	call->reason = CTR_CALLS;
	loop_post(n->loop, submit, call);
	pthread_mutex_lock(&p.lock);
	while (!p.is_done)
		pthread_cond_wait(&p.cond, &p.lock);
	pthread_mutex_unlock(&p.lock);
	g_ptr_array_unref(p.tried);
	pthread_cond_destroy(&p.cond);
	pthread_mutex_destroy(&p.lock);
	call->priv = NULL;
}

int entry_start(struct node *n)
{
	n->entry = g_new0(struct entry, 1);
	n->entry->tries = g_hash_table_new(g_int64_hash, g_int64_equal);
	retry_budget_init(&n->entry->budget);
	return 0;
}

void entry_stop(struct node *n)
{
	g_hash_table_unref(n->entry->tries);
	g_clear_pointer(&n->entry, g_free);
}
