#include "control/directory.h"

#include "lib/ctr.h"
#include "lib/err.h"

static void item_free(gpointer p)
{
	struct directory_item *item = p;

	dir_entry_clear(&item->entry);
	g_free(item);
}

void directory_init(struct directory *d)
{
	d->items = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, item_free);
	d->seq = 0;
}

void directory_clear(struct directory *d)
{
	g_hash_table_unref(d->items);
}

struct directory_item *directory_find(const struct directory *d, const char *node)
{
	return g_hash_table_lookup(d->items, node);
}

static int add(struct directory *d, const struct dir_entry *e, u32 owner, u64 now_us)
{
	struct directory_item *item = g_new0(struct directory_item, 1);

	dir_entry_copy(&item->entry, e);
	item->owner = owner;
	item->renewed_us = now_us;
	item->seq = ++d->seq;
	g_hash_table_insert(d->items, item->entry.node, item);
	return 1;
}

int directory_put(struct directory *d, const struct dir_entry *e, u32 owner, u64 now_us)
{
	struct directory_item *item = directory_find(d, e->node);

	if (!item)
		return add(d, e, owner, now_us);
	if (dir_entry_is_newer(&item->entry, e)) {
		ctr_inc(CTR_REGISTER_STALE);
		return ERR_CONFLICT;
	}
	if (!dir_entry_is_newer(e, &item->entry)) {
		if (item->owner != owner)
			return 0;
		item->renewed_us = now_us;
		if (item->entry.state == e->state)
			return 0;
		/* The owner says that the node expired, or that it did not. */
		item->entry.state = e->state;
		item->seq = ++d->seq;
		return 1;
	}
	g_hash_table_remove(d->items, e->node);
	return add(d, e, owner, now_us);
}

int directory_renew(struct directory *d, const char *node, u64 incarnation, u64 now_us)
{
	struct directory_item *item = directory_find(d, node);

	if (!item || item->entry.incarnation != incarnation || item->entry.state == DIR_GONE)
		return ERR_NOTFOUND;
	item->renewed_us = now_us;
	return 0;
}

void directory_renew_owned(struct directory *d, u32 owner, u64 now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct directory_item *item = value;

		if (item->owner == owner && item->entry.state != DIR_GONE)
			item->renewed_us = now_us;
	}
}

static bool expire_one(struct directory *d, struct directory_item *item, u64 now_us)
{
	if (item->entry.state == DIR_GONE || now_us - item->renewed_us < DIRECTORY_TTL_US)
		return false;
	ctr_inc(CTR_REGISTER_EXPIRED);
	item->entry.state = DIR_GONE;
	item->seq = ++d->seq;
	return true;
}

u32 directory_expire(struct directory *d, u64 now_us)
{
	GHashTableIter iter;
	gpointer value;
	u32 n = 0;

	g_hash_table_iter_init(&iter, d->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct directory_item *item = value;

		if (expire_one(d, item, now_us))
			n++;
		else if (item->entry.state == DIR_GONE &&
			 now_us - item->renewed_us > DIRECTORY_TOMBSTONE_US)
			g_hash_table_iter_remove(&iter);
	}
	return n;
}

static gint by_seq(gconstpointer a, gconstpointer b)
{
	const struct directory_item *x = *(const struct directory_item *const *)a;
	const struct directory_item *y = *(const struct directory_item *const *)b;

	if (x->seq == y->seq)
		return 0;
	return x->seq < y->seq ? -1 : 1;
}

GPtrArray *directory_since(const struct directory *d, u64 seq)
{
	GPtrArray *out = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->items);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((struct directory_item *)value)->seq > seq)
			g_ptr_array_add(out, value);
	g_ptr_array_sort(out, by_seq);
	return out;
}
