#include "control/store.h"

#include "lib/delta.h"
#include "lib/err.h"
#include "lib/frame.h"
#include "lib/set.h"

#include <string.h>
#include <xxhash.h>

#define STORE_TEXT_MAX_BYTES SET_JSON_MAX_BYTES
#define STORE_ITEMS_MAX 1000000

struct change_record {
	char *id;
	u64 hash;
	struct store_result result;
};

static void item_free(gpointer p)
{
	struct store_item *item = p;

	g_free(item->name);
	g_free(item->json);
	g_free(item);
}

static void record_free(gpointer p)
{
	struct change_record *record = p;

	g_free(record->id);
	g_free(record);
}

void store_init(struct store *s)
{
	memset(s, 0, sizeof(*s));
	s->items = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, item_free);
	s->changes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, record_free);
	s->change_order = g_queue_new();
	recent_init(&s->recent);
}

void store_clear(struct store *s)
{
	recent_clear(&s->recent);
	g_queue_free(s->change_order);
	g_hash_table_unref(s->changes);
	g_hash_table_unref(s->items);
}

GBytes *store_change_pack(const struct store_change *c)
{
	FRAME_AUTO(f, c->op);

	frame_put_str(&f, c->name);
	frame_put_bool(&f, c->has_if_match);
	frame_put_u64(&f, c->if_match);
	frame_put_str(&f, c->change_id);
	frame_put_str(&f, c->json);
	frame_put_u64(&f, c->version);
	if (c->op == STORE_SET_DELTA) {
		frame_put_u64(&f, c->checksum);
		delta_put(&f, c->ops);
	}
	if (c->has_seen)
		frame_put_u64(&f, c->seen);
	frame_end(&f);
	return g_bytes_new(f.buf.data + FRAME_HEADER_BYTES, f.buf.size - FRAME_HEADER_BYTES);
}

int store_change_unpack(struct store_change *c, GBytes *data)
{
	struct frame_in in;
	gsize len;
	const void *p = g_bytes_get_data(data, &len);

	frame_in_init(&in, p, len);
	c->op = (enum store_op)frame_get_u64(&in);
	c->name = frame_get_str(&in, STORE_TEXT_MAX_BYTES);
	c->has_if_match = frame_get_bool(&in);
	c->if_match = frame_get_u64(&in);
	c->change_id = frame_get_str(&in, STORE_CHANGE_ID_MAX_BYTES);
	c->json = frame_get_str(&in, STORE_TEXT_MAX_BYTES);
	c->version = frame_get_u64(&in);
	if (c->op < STORE_PUT || c->op > STORE_SET_DELTA)
		return ERR_INVAL;
	if (c->op == STORE_SET_DELTA) {
		c->checksum = frame_get_u64(&in);
		c->ops = delta_get(&in);
	}
	c->has_seen = frame_has_more(&in);
	if (c->has_seen)
		c->seen = frame_get_u64(&in);
	return frame_done(&in);
}

void store_change_clear(struct store_change *c)
{
	g_free(c->name);
	g_free(c->change_id);
	g_free(c->json);
	g_clear_pointer(&c->ops, g_array_unref);
}

GBytes *store_command_seen(GBytes *command, u64 seen)
{
	__attribute__((cleanup(store_change_clear))) struct store_change c = { 0 };

	if (store_change_unpack(&c, command))
		return g_bytes_ref(command);
	c.has_seen = true;
	c.seen = seen;
	return store_change_pack(&c);
}

const struct store_item *store_find(const struct store *s, const char *name)
{
	const struct store_item *item = g_hash_table_lookup(s->items, name);

	return item && item->json ? item : NULL;
}

static gint compare_revisions(gconstpointer a, gconstpointer b)
{
	const struct store_item *x = *(const struct store_item *const *)a;
	const struct store_item *y = *(const struct store_item *const *)b;

	/* Items that confirm_order has added have none. */
	if (x->revision == y->revision)
		return strcmp(x->name, y->name);
	return x->revision < y->revision ? -1 : 1;
}

GPtrArray *store_changes_since(const struct store *s, u64 revision, bool *is_snapshot)
{
	GPtrArray *out = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	*is_snapshot = revision < s->pruned_revision || revision == 0;
	g_hash_table_iter_init(&iter, s->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct store_item *item = value;

		if (*is_snapshot ? item->json != NULL : item->revision > revision)
			g_ptr_array_add(out, value);
	}
	g_ptr_array_sort(out, compare_revisions);
	return out;
}

/* Prunes the older half of the tombstones at once, so that this runs rarely. */
static void prune_tombstones(struct store *s)
{
	g_autoptr(GPtrArray) deleted = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->items);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!((struct store_item *)value)->json)
			g_ptr_array_add(deleted, value);
	g_ptr_array_sort(deleted, compare_revisions);
	for (guint i = 0; i < deleted->len / 2; i++) {
		struct store_item *item = g_ptr_array_index(deleted, i);

		s->pruned_revision = MAX(s->pruned_revision, item->revision);
		s->pruned_version = MAX(s->pruned_version, item->version);
		g_hash_table_remove(s->items, item->name);
		s->tombstones--;
	}
}

static bool is_order(const char *name)
{
	return *name == STORE_RESERVED_PREFIX && strcmp(name, SET_NAME);
}

static struct store_item *add_item(struct store *s, const char *name)
{
	struct store_item *item = g_new0(struct store_item, 1);

	item->name = g_strdup(name);
	item->version = s->pruned_version;
	g_hash_table_insert(s->items, item->name, item);
	return item;
}

static struct store_item *put_item(struct store *s, const struct store_change *c,
				   struct store_result *out)
{
	struct store_item *item = g_hash_table_lookup(s->items, c->name);

	out->status = item && item->json ? 200 : 201;
	if (!item)
		item = add_item(s, c->name);
	else if (!item->json)
		s->tombstones--;
	g_free(item->json);
	item->json = g_strdup(c->json);
	item->version++;
	item->revision = ++s->revision;
	out->version = item->version;
	return item;
}

static void delete_item(struct store *s, const struct store_change *c, struct store_result *out)
{
	struct store_item *item = g_hash_table_lookup(s->items, c->name);

	if (!item || !item->json) {
		out->status = 404;
		return;
	}
	out->status = 200;
	g_clear_pointer(&item->json, g_free);
	item->version++;
	item->revision = ++s->revision;
	out->version = item->version;
	if (++s->tombstones > STORE_TOMBSTONES_MAX)
		prune_tombstones(s);
}

/* Returns whether the order C asks for what is in force already. */
static bool is_confirmation(const struct store *s, const struct store_change *c)
{
	return is_order(c->name) && (c->op == STORE_PUT) == (store_find(s, c->name) != NULL);
}

/*
 * Makes no revision, since nothing changes for nodes. The version rises, so that an order that was
 * decided on before does not undo this one.
 */
static void confirm_order(struct store *s, const struct store_change *c, struct store_result *out)
{
	struct store_item *item = g_hash_table_lookup(s->items, c->name);

	if (!item) {
		item = add_item(s, c->name);
		s->tombstones++;
	}
	out->status = 200;
	out->version = ++item->version;
	if (s->tombstones > STORE_TOMBSTONES_MAX)
		prune_tombstones(s);
}

/* The operator numbers the versions of a set, so a version identifies the set that was sent. */
static void replace_set(struct store *s, const struct store_change *c, struct store_result *out)
{
	const struct store_item *item = store_find(s, c->name);

	if (item && c->version <= item->version) {
		out->status = 412;
		out->version = item->version;
		return;
	}
	put_item(s, c, out)->version = c->version;
	out->version = c->version;
}

static bool is_set_change(const struct store_change *c)
{
	return c->op == STORE_SET || c->op == STORE_SET_DELTA;
}

/* The same text results at every replica, as they have the same current set. */
static void replace_set_by_delta(struct store *s, struct store_change *c, struct store_result *out)
{
	const struct store_item *item = store_find(s, c->name);
	char *text = item && c->has_if_match ? delta_apply(item->json, c->ops) : NULL;

	if (!text || XXH64(text, strlen(text), 0) != c->checksum) {
		g_free(text);
		out->status = 400;
		return;
	}
	g_free(c->json);
	c->json = text;
	replace_set(s, c, out);
}

u64 store_version(const struct store *s, const char *name)
{
	const struct store_item *item = g_hash_table_lookup(s->items, name);

	if (is_order(name))
		return item ? item->version : s->pruned_version;
	return item && item->json ? item->version : 0;
}

static void execute(struct store *s, struct store_change *c, struct store_result *out)
{
	u64 current = store_version(s, c->name);

	if (c->has_if_match && c->if_match != current) {
		out->status = is_set_change(c) ? 412 : 409;
		out->version = current;
	} else if (c->op == STORE_SET_DELTA) {
		replace_set_by_delta(s, c, out);
	} else if (c->op == STORE_SET) {
		replace_set(s, c, out);
	} else if (is_confirmation(s, c)) {
		confirm_order(s, c, out);
	} else if (c->op == STORE_PUT) {
		put_item(s, c, out);
	} else {
		delete_item(s, c, out);
	}
	out->revision = s->revision;
}

static void record_result(struct store *s, const char *id, u64 hash,
			  const struct store_result *result)
{
	struct change_record *record = g_new0(struct change_record, 1);

	record->id = g_strdup(id);
	record->hash = hash;
	record->result = *result;
	g_hash_table_insert(s->changes, record->id, record);
	g_queue_push_tail(s->change_order, record);
	while (g_queue_get_length(s->change_order) > STORE_CHANGE_IDS_MAX) {
		struct change_record *oldest = g_queue_pop_head(s->change_order);

		g_hash_table_remove(s->changes, oldest->id);
	}
}

/* Returns whether the change, with the current text and the ops of a delta, is worth a delta. */
static bool is_delta_shorter(const struct store_change *c, const GArray *ops)
{
	return ops->len <= DELTA_OPS_MAX && delta_bytes(ops) < strlen(c->json) / 2;
}

GBytes *store_command_shrink(const struct store *s, GBytes *command)
{
	__attribute__((cleanup(store_change_clear))) struct store_change c = { 0 };
	g_autofree char *text = NULL;
	const struct store_item *item;
	GBytes *shorter;

	if (store_change_unpack(&c, command) || c.op != STORE_SET)
		return command;
	item = store_find(s, c.name);
	if (!item || !c.has_if_match || c.if_match != item->version)
		return command;
	c.ops = delta_make(item->json, c.json);
	if (!is_delta_shorter(&c, c.ops))
		return command;
	c.op = STORE_SET_DELTA;
	c.checksum = XXH64(c.json, strlen(c.json), 0);
	text = g_steal_pointer(&c.json); /* the ops point into it */
	shorter = store_change_pack(&c);
	g_bytes_unref(command);
	return shorter;
}

/*
 * Identifies a change, so that an id is not used for another one. The same set may come as a text
 * and as a delta; its id is made from its content. What the sender has seen is no part of a change,
 * since the change may come again through another process.
 */
static u64 hash_change(const struct store_change *c)
{
	struct store_change bare = *c;
	g_autoptr(GBytes) command = NULL;
	const void *p;
	gsize len;

	if (is_set_change(c))
		return XXH64(c->change_id, strlen(c->change_id), STORE_SET);
	bare.has_seen = false;
	command = store_change_pack(&bare);
	p = g_bytes_get_data(command, &len);
	return XXH64(p, len, 0);
}

/* Returns whether the outcome of C is that an order was carried out, or a name that is absent. */
static bool is_accepted(const struct store_change *c, const struct store_result *r)
{
	return r->status < 300 || (c->op == STORE_DELETE && r->status == 404);
}

static bool is_superseded(const struct store *s, const struct store_change *c)
{
	return c->has_seen && recent_is_after(&s->recent, c->name, c->seen);
}

static void refuse_superseded(const struct store *s, const struct store_change *c,
			      struct store_result *out)
{
	out->is_superseded = true;
	out->status = 409;
	out->version = store_version(s, c->name);
	out->revision = s->revision;
	out->serial = s->recent.serial;
}

void store_apply(struct store *s, GBytes *command, struct store_result *out)
{
	__attribute__((cleanup(store_change_clear))) struct store_change c = { 0 };
	struct change_record *record;
	u64 hash;

	memset(out, 0, sizeof(*out));
	if (store_change_unpack(&c, command)) {
		out->status = 400;
		return;
	}
	hash = hash_change(&c);
	record = *c.change_id ? g_hash_table_lookup(s->changes, c.change_id) : NULL;
	if (record && record->hash != hash) {
		out->status = 422;
		out->revision = s->revision;
		return;
	}
	if (record) {
		*out = record->result;
		out->is_repeat = true;
		return;
	}
	/* Not recorded: it may be sent again with the same id by a client that waits. */
	if (is_superseded(s, &c)) {
		refuse_superseded(s, &c, out);
		return;
	}
	execute(s, &c, out);
	if (is_accepted(&c, out))
		recent_add(&s->recent, c.name);
	out->serial = s->recent.serial;
	/* A refused set may be retried with the same change id once its predecessor is in place. */
	if (*c.change_id && (!is_set_change(&c) || out->status < 300))
		record_result(s, c.change_id, hash, out);
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
	g_ptr_array_sort(items, compare_revisions);
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
			item_free(item);
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
		record_result(s, id, hash, &result);
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
