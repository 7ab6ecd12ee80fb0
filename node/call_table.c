#include "node/call_table.h"

#include "lib/ctr.h"
#include "lib/err.h"

static void record_free(gpointer p)
{
	struct call_record *r = p;

	http_free(r->reply);
	g_free(r);
}

/* Orders by incarnation, the start time of the entry node, so that the oldest comes first. */
static gint compare_incarnations(gconstpointer a, gconstpointer b, gpointer unused)
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
	t->watermarks = g_tree_new_full(compare_incarnations, NULL, NULL, g_free);
	t->evicted_incarnation = 0;
}

void call_table_clear(struct call_table *t)
{
	g_queue_free(t->ended);
	g_queue_free(t->replied);
	g_hash_table_unref(t->records);
	g_tree_destroy(t->watermarks);
}

static bool may_be_evicted(struct call_table *t, struct call_id id)
{
	const struct call_watermark *w = g_tree_lookup(t->watermarks, &id);

	return w ? id.seq <= w->seq : id.incarnation <= t->evicted_incarnation;
}

/* Evicts the oldest incarnation: its node has most likely restarted since. */
static void limit_watermarks(struct call_table *t)
{
	struct call_watermark *w;

	if (g_tree_nnodes(t->watermarks) <= CALL_INCARNATIONS_MAX)
		return;
	w = g_tree_node_value(g_tree_node_first(t->watermarks));
	t->evicted_incarnation = MAX(t->evicted_incarnation, w->entry.incarnation);
	g_tree_remove(t->watermarks, &w->entry);
}

static void raise_watermark(struct call_table *t, struct call_id id)
{
	struct call_watermark *w = g_tree_lookup(t->watermarks, &id);

	if (!w) {
		w = g_new0(struct call_watermark, 1);
		w->entry = id;
		w->seq = id.incarnation <= t->evicted_incarnation ? UINT64_MAX : id.seq;
		g_tree_insert(t->watermarks, &w->entry, w);
		limit_watermarks(t);
		/* cppcheck-suppress memleak ; the tree owns it */
		return;
	}
	w->seq = MAX(w->seq, id.seq);
}

static struct call_record *find_record(struct call_table *t, struct call_id id)
{
	return g_hash_table_lookup(t->records, &id);
}

static struct call_record *add_record(struct call_table *t, struct call_id id,
				      enum call_state state)
{
	struct call_record *r = g_new0(struct call_record, 1);

	r->id = id;
	r->state = state;
	g_hash_table_insert(t->records, &r->id, r);
	return r;
}

static void drop_reply(struct call_table *t, struct call_record *r)
{
	g_queue_remove(t->replied, r); /* the oldest, so found at the head */
	t->reply_bytes -= r->reply->body->len;
	http_free(g_steal_pointer(&r->reply));
}

static void evict_oldest(struct call_table *t)
{
	struct call_record *r = g_queue_pop_head(t->ended);

	if (r->reply)
		drop_reply(t, r);
	raise_watermark(t, r->id);
	g_hash_table_remove(t->records, &r->id);
}

static void end_record(struct call_table *t, struct call_record *r, enum call_state state,
		       u64 now_us)
{
	r->state = state;
	r->ended_us = now_us;
	g_queue_push_tail(t->ended, r);
	if (g_queue_get_length(t->ended) > CALL_ENDED_MAX)
		evict_oldest(t);
}

int call_table_begin(struct call_table *t, struct call_id id)
{
	struct call_record *r = find_record(t, id);

	if (r) {
		ctr_inc(r->state == CALL_TOMBSTONE ? CTR_TOMBSTONE_HIT : CTR_DUPLICATE_CALL);
		return ERR_CONFLICT;
	}
	if (may_be_evicted(t, id)) {
		ctr_inc(CTR_CALL_FORGOTTEN);
		return ERR_NOTFOUND;
	}
	add_record(t, id, CALL_ACTIVE);
	return 0;
}

void call_table_refuse(struct call_table *t, struct call_id id, u64 now_us)
{
	struct call_record *r = find_record(t, id);

	if (!r)
		r = add_record(t, id, CALL_ACTIVE);
	if (r->state == CALL_ACTIVE)
		end_record(t, r, CALL_TOMBSTONE, now_us);
}

/* Evicts the oldest replies; their calls remain known as done. */
static void limit_replies(struct call_table *t)
{
	while (t->reply_bytes > CALL_KEPT_REPLIES_MAX_BYTES)
		drop_reply(t, g_queue_peek_head(t->replied));
}

void call_table_done(struct call_table *t, struct call_id id, struct http_msg *reply, u64 now_us)
{
	struct call_record *r = find_record(t, id);

	if (!r || r->state != CALL_ACTIVE) {
		http_free(reply);
		return;
	}
	r->reply = reply;
	if (reply) {
		t->reply_bytes += reply->body->len;
		g_queue_push_tail(t->replied, r);
	}
	end_record(t, r, CALL_DONE, now_us);
	limit_replies(t);
}

enum fence_state call_table_fence(struct call_table *t, struct call_id id, u64 now_us,
				  const struct http_msg **reply)
{
	struct call_record *r = find_record(t, id);

	*reply = NULL;
	if (!r && may_be_evicted(t, id))
		return FENCE_UNKNOWN;
	if (!r) {
		call_table_refuse(t, id, now_us);
		return FENCE_NOT_RUN;
	}
	if (r->state == CALL_TOMBSTONE)
		return FENCE_NOT_RUN;
	if (r->state == CALL_ACTIVE)
		return FENCE_RUNNING;
	*reply = r->reply;
	return r->reply ? FENCE_DONE : FENCE_UNKNOWN;
}

void call_table_expire(struct call_table *t, u64 now_us)
{
	const struct call_record *r;

	while ((r = g_queue_peek_head(t->ended)) && now_us - r->ended_us > CALL_RETENTION_US)
		evict_oldest(t);
}
