#include "node/call_table.h"

#include "lib/ctr.h"
#include "lib/err.h"

static guint id_hash(gconstpointer p)
{
	const struct call_id *id = p;

	return (guint)(id->incarnation * 31 + id->seq);
}

static gboolean id_equal(gconstpointer a, gconstpointer b)
{
	const struct call_id *x = a;
	const struct call_id *y = b;

	return x->incarnation == y->incarnation && x->seq == y->seq;
}

static void record_free(gpointer p)
{
	struct call_record *r = p;

	http_free(r->reply);
	g_free(r);
}

void call_table_init(struct call_table *t)
{
	t->records = g_hash_table_new_full(id_hash, id_equal, NULL, record_free);
	t->ended = g_queue_new();
	t->reply_bytes = 0;
}

void call_table_clear(struct call_table *t)
{
	g_queue_free(t->ended);
	g_hash_table_unref(t->records);
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

static void end(struct call_table *t, struct call_record *r, enum call_state state, u64 now_us)
{
	r->state = state;
	r->ended_us = now_us;
	g_queue_push_tail(t->ended, r);
	r->link = t->ended->tail;
}

int call_begin(struct call_table *t, struct call_id id)
{
	struct call_record *r = find(t, id);

	if (r) {
		ctr_inc(r->state == CALL_TOMBSTONE ? CTR_TOMBSTONE_HIT : CTR_DUPLICATE_CALL);
		return ERR_CONFLICT;
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

static void drop_reply(struct call_table *t, struct call_record *r)
{
	if (!r->reply)
		return;
	t->reply_bytes -= r->reply->body->len;
	http_free(r->reply);
	r->reply = NULL;
}

/* Oldest replies go first; their calls stay known as done. */
static void bound_replies(struct call_table *t)
{
	for (GList *l = t->ended->head; l && t->reply_bytes > CALL_REPLIES_MAX_BYTES; l = l->next)
		drop_reply(t, l->data);
}

void call_done(struct call_table *t, struct call_id id, struct http_msg *reply, u64 now_us)
{
	struct call_record *r = find(t, id);

	if (!r || r->state != CALL_ACTIVE) {
		http_free(reply);
		return;
	}
	r->reply = reply;
	if (reply)
		t->reply_bytes += reply->body->len;
	end(t, r, CALL_DONE, now_us);
	bound_replies(t);
}

enum fence_state call_fence(struct call_table *t, struct call_id id, u64 now_us,
			    const struct http_msg **reply)
{
	struct call_record *r = find(t, id);

	*reply = NULL;
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
	struct call_record *r;

	while ((r = g_queue_peek_head(t->ended)) && now_us - r->ended_us > CALL_KEEP_US) {
		g_queue_pop_head(t->ended);
		drop_reply(t, r);
		g_hash_table_remove(t->records, &r->id);
	}
}
