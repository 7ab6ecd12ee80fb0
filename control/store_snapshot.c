/* Snapshots of the store. */
#include "control/store_impl.h"

#include "lib/err.h"

#include <string.h>

#define STORE_ITEMS_MAX 1000000

gint store_compare_revisions(gconstpointer a, gconstpointer b)
{
	const struct store_item *x = *(const struct store_item *const *)a;
	const struct store_item *y = *(const struct store_item *const *)b;

	/* Items that confirm_order has added have none. */
	if (x->revision == y->revision)
		return strcmp(x->name, y->name);
	return x->revision < y->revision ? -1 : 1;
}

void store_item_put(struct frame_out *f, const struct store_item *item)
{
	frame_put_str(f, item->name);
	frame_put_u64(f, item->version);
	frame_put_u64(f, item->revision);
	frame_put_bool(f, item->json != NULL);
	frame_put_str(f, item->json);
}

/* Returns all items, also deleted ones, in order of revision. */
static GPtrArray *sorted_items(const struct store *s)
{
	GPtrArray *items = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->items);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(items, value);
	g_ptr_array_sort(items, store_compare_revisions);
	return items;
}

static void put_items(struct frame_out *f, const struct store *s)
{
	g_autoptr(GPtrArray) items = sorted_items(s);

	frame_put_u64(f, items->len);
	for (guint i = 0; i < items->len; i++)
		store_item_put(f, g_ptr_array_index(items, i));
}

static void put_records(struct frame_out *f, const struct store *s)
{
	frame_put_u64(f, g_queue_get_length(s->change_order));
	for (GList *l = s->change_order->head; l; l = l->next) {
		const struct change_record *record = l->data;

		frame_put_str(f, record->id);
		frame_put_u64(f, record->hash);
		frame_put_u64(f, record->result.status);
		frame_put_u64(f, record->result.version);
		frame_put_u64(f, record->result.revision);
	}
}

GBytes *store_snapshot(const struct store *s)
{
	FRAME_AUTO(f, 0);

	frame_put_u64(&f, s->revision);
	frame_put_u64(&f, s->pruned_revision);
	frame_put_u64(&f, s->pruned_version);
	put_items(&f, s);
	put_records(&f, s);
	recent_put(&f, &s->recent);
	frame_end(&f);
	return g_bytes_new(f.buf.data + FRAME_HEADER_BYTES, f.buf.size - FRAME_HEADER_BYTES);
}

static void get_items(struct store *s, struct frame_in *in)
{
	u32 n = frame_get_count(in, STORE_ITEMS_MAX);

	for (u32 i = 0; i < n && !in->err; i++) {
		struct store_item *item = g_new0(struct store_item, 1);
		bool is_live;

		item->name = frame_get_str(in, STORE_TEXT_MAX_BYTES);
		item->version = frame_get_u64(in);
		item->revision = frame_get_u64(in);
		is_live = frame_get_bool(in);
		item->json = frame_get_str(in, STORE_TEXT_MAX_BYTES);
		if (!is_live) {
			g_clear_pointer(&item->json, g_free);
			s->tombstones++;
		}
		/* The key is owned by the value, so a duplicate name must be refused. */
		if (g_hash_table_contains(s->items, item->name)) {
			in->err = ERR_INVAL;
			store_item_free(item);
			return;
		}
		g_hash_table_insert(s->items, item->name, item);
	}
}

static void get_records(struct store *s, struct frame_in *in)
{
	u32 n = frame_get_count(in, STORE_CHANGE_IDS_MAX);

	for (u32 i = 0; i < n && !in->err; i++) {
		g_autofree char *id = frame_get_str(in, STORE_CHANGE_ID_MAX_BYTES);
		u64 hash = frame_get_u64(in);
		struct store_result result = { 0 };

		result.status = (u16)frame_get_u64(in);
		result.version = frame_get_u64(in);
		result.revision = frame_get_u64(in);
		if (g_hash_table_contains(s->changes, id)) {
			in->err = ERR_INVAL;
			return;
		}
		store_record_result(s, id, hash, &result);
	}
}

/*
 * For a snapshot of a version that did not count changes: there, each accepted change made a
 * revision.
 */
static void count_revisions(struct store *s)
{
	g_autoptr(GPtrArray) items = sorted_items(s);

	s->recent.forgotten = s->pruned_revision;
	for (guint i = 0; i < items->len; i++) {
		const struct store_item *item = g_ptr_array_index(items, i);

		recent_add_at(&s->recent, item->name, item->revision);
	}
	s->recent.serial = s->revision;
}

int store_restore(struct store *s, GBytes *data)
{
	struct frame_in in;
	gsize len;
	const void *p = g_bytes_get_data(data, &len);

	store_clear(s);
	store_init(s);
	if (!len)
		return 0;
	frame_in_init(&in, p, len);
	frame_get_u64(&in);
	s->revision = frame_get_u64(&in);
	s->pruned_revision = frame_get_u64(&in);
	s->pruned_version = frame_get_u64(&in);
	get_items(s, &in);
	get_records(s, &in);
	if (frame_has_more(&in))
		recent_get(&s->recent, &in);
	else
		count_revisions(s);
	return frame_done(&in);
}
