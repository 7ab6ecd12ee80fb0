#include "node/call_table.h"

#include "lib/ctr.h"
#include "lib/err.h"

static void record_free(gpointer p)
{
	struct call_record *r = p;

	http_free(r->reply);
	g_free(r);
}

/* By the time of the entry node's start, so that the oldest is the first. */
static gint start_cmp(gconstpointer a, gconstpointer b, gpointer unused)
{
	const struct call_id *x = a;
	const struct call_id *y = b;

	(void)unused;
	if (x->incarnation != y->incarnation)
		return x->incarnation < y->incarnation ? -1 : 1;
	if (x->origin == y->origin)
		return 0;
	return x->origin < y->origin ? -1 : 1;
}

void call_table_init(struct call_table *t)
{
	t->records = g_hash_table_new_full(call_id_hash, call_id_equal, NULL, record_free);
	t->ended = g_queue_new();
	t->replied = g_queue_new();
	t->reply_bytes = 0;
	t->floors = g_tree_new_full(start_cmp, NULL, NULL, g_free);
	t->old_incarnation = 0;
}

void call_table_clear(struct call_table *t)
{
	g_queue_free(t->ended);
	g_queue_free(t->replied);
	g_hash_table_unref(t->records);
	g_tree_destroy(t->floors);
}

static bool may_be_forgotten(struct call_table *t, struct call_id id)
{
	const struct call_floor *f = g_tree_lookup(t->floors, &id);

	return f ? id.seq <= f->seq : id.incarnation <= t->old_incarnation;
}

/* The oldest incarnation goes first; its node has restarted since, or soon will have. */
static void bound_floors(struct call_table *t)
{
	struct call_floor *f;

	if (g_tree_nnodes(t->floors) <= CALL_INCARNATIONS_MAX)
		return;
	f = g_tree_node_value(g_tree_node_first(t->floors));
	t->old_incarnation = MAX(t->old_incarnation, f->entry.incarnation);
	g_tree_remove(t->floors, &f->entry);
}

static void raise_floor(struct call_table *t, struct call_id id)
{
	struct call_floor *f = g_tree_lookup(t->floors, &id);

	if (!f) {
		f = g_new0(struct call_floor, 1);
		f->entry = id;
		f->seq = id.incarnation <= t->old_incarnation ? UINT64_MAX : id.seq;
		g_tree_insert(t->floors, &f->entry, f);
		bound_floors(t);
		/* cppcheck-suppress memleak ; the tree owns it */
		return;
	}
	f->seq = MAX(f->seq, id.seq);
}

static struct call_record *find(struct call_table *t, struct call_id id)
{
	return g_hash_table_lookup(t->records, &id);
}

static struct call_record *add(struct call_table *t, struct call_id id, enum call_state state)
{
	struct call_record *r = g_new0(struct call_record, 1);

	r->id = id;
	r->state = state;
	g_hash_table_insert(t->records, &r->id, r);
	return r;
}

static void drop_reply(struct call_table *t, struct call_record *r)
{
	g_queue_remove(t->replied, r); /* it is the oldest one, so the first */
	t->reply_bytes -= r->reply->body->len;
	http_free(g_steal_pointer(&r->reply));
}

static void forget_oldest(struct call_table *t)
{
	struct call_record *r = g_queue_pop_head(t->ended);

	if (r->reply)
		drop_reply(t, r);
	raise_floor(t, r->id);
	g_hash_table_remove(t->records, &r->id);
}

static void end(struct call_table *t, struct call_record *r, enum call_state state, u64 now_us)
{
	r->state = state;
	r->ended_us = now_us;
	g_queue_push_tail(t->ended, r);
	if (g_queue_get_length(t->ended) > CALL_ENDED_MAX)
		forget_oldest(t);
}

int call_begin(struct call_table *t, struct call_id id)
{
	struct call_record *r = find(t, id);

	if (r) {
		ctr_inc(r->state == CALL_TOMBSTONE ? CTR_TOMBSTONE_HIT : CTR_DUPLICATE_CALL);
		return ERR_CONFLICT;
	}
	if (may_be_forgotten(t, id)) {
		ctr_inc(CTR_CALL_FORGOTTEN);
		return ERR_NOTFOUND;
	}
	add(t, id, CALL_ACTIVE);
	return 0;
}

void call_refused(struct call_table *t, struct call_id id, u64 now_us)
{
	struct call_record *r = find(t, id);

	if (!r)
		r = add(t, id, CALL_ACTIVE);
	if (r->state == CALL_ACTIVE)
		end(t, r, CALL_TOMBSTONE, now_us);
}

/* Oldest replies go first; their calls stay known as done. */
static void bound_replies(struct call_table *t)
{
	while (t->reply_bytes > CALL_REPLIES_MAX_BYTES)
		drop_reply(t, g_queue_peek_head(t->replied));
}

void call_done(struct call_table *t, struct call_id id, struct http_msg *reply, u64 now_us)
{
	struct call_record *r = find(t, id);

	if (!r || r->state != CALL_ACTIVE) {
		http_free(reply);
		return;
	}
	r->reply = reply;
	if (reply) {
		t->reply_bytes += reply->body->len;
		g_queue_push_tail(t->replied, r);
	}
	end(t, r, CALL_DONE, now_us);
	bound_replies(t);
}

enum fence_state call_fence(struct call_table *t, struct call_id id, u64 now_us,
			    const struct http_msg **reply)
{
	struct call_record *r = find(t, id);

	*reply = NULL;
	if (!r && may_be_forgotten(t, id))
		return FENCE_UNKNOWN;
	if (!r) {
		call_refused(t, id, now_us);
		return FENCE_NOT_RUN;
	}
	if (r->state == CALL_TOMBSTONE)
		return FENCE_NOT_RUN;
	if (r->state == CALL_ACTIVE)
		return FENCE_RUNNING;
	*reply = r->reply;
	return r->reply ? FENCE_DONE : FENCE_UNKNOWN;
}

void call_expire(struct call_table *t, u64 now_us)
{
	const struct call_record *r;

	while ((r = g_queue_peek_head(t->ended)) && now_us - r->ended_us > CALL_KEEP_US)
		forget_oldest(t);
}
