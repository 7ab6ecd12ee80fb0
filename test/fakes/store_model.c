#include "test/fakes/store_model.h"

#define NAMES 12

static void model_item_free(gpointer p)
{
	struct store_model_item *i = p;

	g_free(i->name);
	g_free(i->json);
	g_free(i);
}

static void model_record_free(gpointer p)
{
	struct store_model_record *record = p;

	g_free(record->id);
	g_bytes_unref(record->command);
	g_free(record);
}

void store_model_init(struct store_model *n)
{
	n->items = g_ptr_array_new_with_free_func(model_item_free);
	n->records = g_ptr_array_new_with_free_func(model_record_free);
	n->revision = 0;
}

void store_model_clear(struct store_model *n)
{
	g_ptr_array_unref(n->items);
	g_ptr_array_unref(n->records);
}

static struct store_model_item *model_find(struct store_model *n, const char *name)
{
	for (guint i = 0; i < n->items->len; i++) {
		struct store_model_item *item = g_ptr_array_index(n->items, i);

		if (g_str_equal(item->name, name))
			return item;
	}
	return NULL;
}

static struct store_model_record *model_find_record(struct store_model *n, const char *id)
{
	guint from =
		n->records->len > STORE_CHANGE_IDS_MAX ? n->records->len - STORE_CHANGE_IDS_MAX : 0;

	for (guint i = from; i < n->records->len; i++) {
		struct store_model_record *record = g_ptr_array_index(n->records, i);

		if (g_str_equal(record->id, id))
			return record;
	}
	return NULL;
}

struct store_result store_model_change(struct store_model *n, const struct store_change *c)
{
	struct store_model_item *item = model_find(n, c->name);
	bool is_live = item && item->json;
	u64 current = is_live ? item->version : 0;
	struct store_result r = { .status = is_live ? 200 : 201 };

	if (c->has_if_match && c->if_match != current) {
		r.status = 409;
		r.version = current;
	} else if (c->op == STORE_DELETE && !is_live) {
		r.status = 404;
	} else {
		if (!item) {
			item = g_new0(struct store_model_item, 1);
			item->name = g_strdup(c->name);
			g_ptr_array_add(n->items, item);
		}
		g_free(item->json);
		item->json = c->op == STORE_PUT ? g_strdup(c->json) : NULL;
		item->revision = ++n->revision;
		r.version = ++item->version;
	}
	r.revision = n->revision;
	return r;
}

static struct store_result model_apply(struct store_model *n, const struct store_change *c,
				       GBytes *command)
{
	struct store_model_record *record =
		*c->change_id ? model_find_record(n, c->change_id) : NULL;
	struct store_result r;

	if (record && !g_bytes_equal(record->command, command))
		return (struct store_result){ .status = 422, .revision = n->revision };
	if (record) {
		r = record->result;
		r.is_repeat = true;
		return r;
	}
	r = store_model_change(n, c);
	if (!*c->change_id)
		return r;
	record = g_new0(struct store_model_record, 1);
	record->id = g_strdup(c->change_id);
	record->command = g_bytes_ref(command);
	record->result = r;
	g_ptr_array_add(n->records, record);
	return r;
}

void store_model_assert_result(const struct store_result *a, const struct store_result *b)
{
	g_assert_cmpuint(a->status, ==, b->status);
	g_assert_cmpuint(a->version, ==, b->version);
	g_assert_cmpuint(a->revision, ==, b->revision);
	g_assert_cmpint(a->is_repeat, ==, b->is_repeat);
}

void store_model_assert_state(const struct store *s, struct store_model *n)
{
	g_assert_cmpuint(s->revision, ==, n->revision);
	for (guint i = 0; i < n->items->len; i++) {
		const struct store_model_item *want = g_ptr_array_index(n->items, i);
		const struct store_item *have = store_find(s, want->name);

		g_assert_cmpint(have != NULL, ==, want->json != NULL);
		if (!have)
			continue;
		g_assert_cmpstr(have->json, ==, want->json);
		g_assert_cmpuint(have->version, ==, want->version);
		g_assert_cmpuint(have->revision, ==, want->revision);
	}
}

struct store_change store_model_random(struct rng *rng, struct store_model *n,
				       struct store_model_buf *b)
{
	struct store_change c = { .name = b->name, .change_id = b->id, .json = b->json };
	const struct store_model_item *item;

	g_snprintf(b->name, sizeof(b->name), "s%u", rng_below(rng, NAMES));
	g_snprintf(b->json, sizeof(b->json), "{\"v\":%u}", rng_below(rng, 4));
	b->id[0] = 0;
	if (rng_below(rng, 2))
		g_snprintf(b->id, sizeof(b->id), "id%u", rng_below(rng, 200));
	c.op = rng_below(rng, 3) ? STORE_PUT : STORE_DELETE;
	if (c.op == STORE_DELETE)
		b->json[0] = 0;
	c.has_if_match = rng_below(rng, 2);
	item = model_find(n, b->name);
	if (c.has_if_match)
		c.if_match = item && rng_below(rng, 4) ? item->version : rng_below(rng, 5);
	return c;
}

void store_model_apply_both(struct store *s, struct store_model *n, const struct store_change *c)
{
	g_autoptr(GBytes) command = store_change_pack(c);
	struct store_result want = model_apply(n, c, command);
	struct store_result have;

	store_apply(s, command, &have);
	store_model_assert_result(&have, &want);
}
