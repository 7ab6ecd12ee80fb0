#include "control/store_impl.h"

#include "lib/delta.h"
#include "lib/set.h"

#include <string.h>
#include <xxhash.h>

void store_item_free(gpointer p)
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
	s->items = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, store_item_free);
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

const struct store_item *store_find(const struct store *s, const char *name)
{
	const struct store_item *item = g_hash_table_lookup(s->items, name);

	return item && item->json ? item : NULL;
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
	g_ptr_array_sort(out, store_compare_revisions);
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
	g_ptr_array_sort(deleted, store_compare_revisions);
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
		out->status = store_is_set_change(c) ? 412 : 409;
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

void store_record_result(struct store *s, const char *id, u64 hash,
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
	hash = store_change_hash(&c, command);
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
	if (*c.change_id && (!store_is_set_change(&c) || out->status < 300))
		store_record_result(s, c.change_id, hash, out);
}
