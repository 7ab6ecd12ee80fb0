/* Compares the store with a reference model that keeps the complete history in lists. */
#include "control/store.h"

#include "lib/err.h"
#include "lib/frame.h"
#include "lib/rng.h"
#include "lib/set.h"

#include <string.h>

#define RUNS 60
#define CHANGES_PER_RUN 400
#define NAMES 12
#define GARBAGE 4000
#define SET_ROUTES 40

struct model_item {
	char *name;
	char *json; /* NULL after a deletion */
	u64 version;
	u64 revision;
};

struct model_record {
	char *id;
	GBytes *command;
	struct store_result result;
};

struct model {
	GPtrArray *items; /* of struct model_item, including deleted ones */
	GPtrArray *records; /* of struct model_record, oldest first */
	u64 revision;
};

static void model_item_free(gpointer p)
{
	struct model_item *i = p;

	g_free(i->name);
	g_free(i->json);
	g_free(i);
}

static void model_record_free(gpointer p)
{
	struct model_record *record = p;

	g_free(record->id);
	g_bytes_unref(record->command);
	g_free(record);
}

static void model_init(struct model *n)
{
	n->items = g_ptr_array_new_with_free_func(model_item_free);
	n->records = g_ptr_array_new_with_free_func(model_record_free);
	n->revision = 0;
}

static void model_clear(struct model *n)
{
	g_ptr_array_unref(n->items);
	g_ptr_array_unref(n->records);
}

static struct model_item *model_find(struct model *n, const char *name)
{
	for (guint i = 0; i < n->items->len; i++) {
		struct model_item *item = g_ptr_array_index(n->items, i);

		if (g_str_equal(item->name, name))
			return item;
	}
	return NULL;
}

static struct model_record *model_find_record(struct model *n, const char *id)
{
	guint from =
		n->records->len > STORE_CHANGE_IDS_MAX ? n->records->len - STORE_CHANGE_IDS_MAX : 0;

	for (guint i = from; i < n->records->len; i++) {
		struct model_record *record = g_ptr_array_index(n->records, i);

		if (g_str_equal(record->id, id))
			return record;
	}
	return NULL;
}

static struct store_result model_change(struct model *n, const struct store_change *c)
{
	struct model_item *item = model_find(n, c->name);
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
			item = g_new0(struct model_item, 1);
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

static struct store_result model_apply(struct model *n, const struct store_change *c,
				       GBytes *command)
{
	struct model_record *record = *c->change_id ? model_find_record(n, c->change_id) : NULL;
	struct store_result r;

	if (record && !g_bytes_equal(record->command, command))
		return (struct store_result){ .status = 422, .revision = n->revision };
	if (record) {
		r = record->result;
		r.is_repeat = true;
		return r;
	}
	r = model_change(n, c);
	if (!*c->change_id)
		return r;
	record = g_new0(struct model_record, 1);
	record->id = g_strdup(c->change_id);
	record->command = g_bytes_ref(command);
	record->result = r;
	g_ptr_array_add(n->records, record);
	return r;
}

static void assert_same_result(const struct store_result *a, const struct store_result *b)
{
	g_assert_cmpuint(a->status, ==, b->status);
	g_assert_cmpuint(a->version, ==, b->version);
	g_assert_cmpuint(a->revision, ==, b->revision);
	g_assert_cmpint(a->is_repeat, ==, b->is_repeat);
}

static void assert_same_state(const struct store *s, struct model *n)
{
	g_assert_cmpuint(s->revision, ==, n->revision);
	for (guint i = 0; i < n->items->len; i++) {
		const struct model_item *want = g_ptr_array_index(n->items, i);
		const struct store_item *have = store_find(s, want->name);

		g_assert_cmpint(have != NULL, ==, want->json != NULL);
		if (!have)
			continue;
		g_assert_cmpstr(have->json, ==, want->json);
		g_assert_cmpuint(have->version, ==, want->version);
		g_assert_cmpuint(have->revision, ==, want->revision);
	}
}

/* Storage for the strings of a random change. */
struct change_buf {
	char name[16];
	char id[24];
	char json[32];
};

static struct store_change random_change(struct rng *rng, struct model *n, struct change_buf *b)
{
	struct store_change c = { .name = b->name, .change_id = b->id, .json = b->json };
	const struct model_item *item;

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

static void apply_both(struct store *s, struct model *n, const struct store_change *c)
{
	g_autoptr(GBytes) command = store_change_pack(c);
	struct store_result want = model_apply(n, c, command);
	struct store_result have;

	store_apply(s, command, &have);
	assert_same_result(&have, &want);
}

static void restore_copy(struct store *s)
{
	g_autoptr(GBytes) data = store_snapshot(s);
	g_autoptr(GBytes) again = NULL;
	struct store copy;

	store_init(&copy);
	g_assert_cmpint(store_restore(&copy, data), ==, 0);
	again = store_snapshot(&copy);
	/* Equal states encode to equal bytes, so replicas can be compared. */
	g_assert_true(g_bytes_equal(data, again));
	store_clear(s);
	*s = copy;
}

static void test_against_model(void)
{
	for (u64 seed = 1; seed <= RUNS; seed++) {
		struct rng rng = { .state = seed };
		struct store s;
		struct model n;

		store_init(&s);
		model_init(&n);
		for (u32 i = 0; i < CHANGES_PER_RUN; i++) {
			struct change_buf buf;
			struct store_change c = random_change(&rng, &n, &buf);

			apply_both(&s, &n, &c);
			assert_same_state(&s, &n);
			if (rng_below(&rng, 50) == 0)
				restore_copy(&s);
		}
		store_clear(&s);
		model_clear(&n);
	}
}

static struct store_result apply_change(struct store *s, const char *name, const char *id,
					i64 if_match, const char *json)
{
	struct store_change c = { .op = json ? STORE_PUT : STORE_DELETE,
				  .name = (char *)name,
				  .change_id = (char *)id,
				  .json = (char *)(json ? json : ""),
				  .has_if_match = if_match >= 0,
				  .if_match = if_match >= 0 ? (u64)if_match : 0 };
	g_autoptr(GBytes) command = store_change_pack(&c);
	struct store_result r;

	store_apply(s, command, &r);
	return r;
}

static void test_one_writer_per_version_wins(void)
{
	struct store s;

	store_init(&s);
	for (i64 version = 0; version < 50; version++) {
		u32 won = 0;

		for (u32 writer = 0; writer < 20; writer++) {
			g_autofree char *json = g_strdup_printf("{\"by\":%u}", writer);
			struct store_result r = apply_change(&s, "a", "", version, json);

			won += r.status < 300;
			g_assert_cmpuint(r.version, ==, (u64)version + 1);
		}
		g_assert_cmpuint(won, ==, 1);
	}
	store_clear(&s);
}

static void test_versions_never_repeat(void)
{
	struct store s;
	u64 last = 0;

	store_init(&s);
	for (u32 i = 0; i < 3 * STORE_TOMBSTONES_MAX; i++) {
		g_autofree char *name = g_strdup_printf("n%u", i);

		/* "a" is created and deleted while other deletions push out its tombstone. */
		if (i % 1000 == 0) {
			struct store_result r = apply_change(&s, "a", "", 0, "{}");

			g_assert_cmpuint(r.status, ==, 201);
			g_assert_cmpuint(r.version, >, last);
			last = apply_change(&s, "a", "", (i64)r.version, NULL).version;
		}
		apply_change(&s, name, "", -1, "{}");
		apply_change(&s, name, "", -1, NULL);
		g_assert_cmpuint(s.tombstones, <=, STORE_TOMBSTONES_MAX);
		if (i % 3000 == 0)
			restore_copy(&s);
	}
	store_clear(&s);
}

static void test_repeat_gets_first_result(void)
{
	struct store s;
	struct store_result first;
	struct store_result again;

	store_init(&s);
	first = apply_change(&s, "a", "id1", 0, "{}");
	apply_change(&s, "a", "id2", -1, "{\"x\":1}");
	apply_change(&s, "a", "id3", -1, NULL);
	restore_copy(&s);
	again = apply_change(&s, "a", "id1", 0, "{}");
	g_assert_true(again.is_repeat);
	again.is_repeat = false;
	assert_same_result(&again, &first);
	g_assert_null(store_find(&s, "a"));
	/* The result of a refused change is kept too. */
	first = apply_change(&s, "a", "id4", 7, "{}");
	g_assert_cmpuint(first.status, ==, 409);
	apply_change(&s, "a", "", -1, "{}");
	g_assert_cmpuint(apply_change(&s, "a", "id4", 7, "{}").status, ==, 409);
	g_assert_cmpuint(apply_change(&s, "a", "id4", 8, "{}").status, ==, 422);
	g_assert_cmpuint(apply_change(&s, "b", "id1", 0, "{}").status, ==, 422);
	store_clear(&s);
}

/* All replicas evict the same id at the same change, even if one restored a snapshot meanwhile. */
static void test_ids_are_evicted_by_position(void)
{
	struct store a;
	struct store b;

	store_init(&a);
	store_init(&b);
	for (u32 i = 0; i < STORE_CHANGE_IDS_MAX + 100; i++) {
		g_autofree char *id = g_strdup_printf("id%u", i);

		apply_change(&a, "x", id, -1, "{}");
		apply_change(&b, "x", id, -1, "{}");
		if (i % 5000 == 0)
			restore_copy(&b);
		g_assert_cmpuint(g_hash_table_size(a.changes), <=, STORE_CHANGE_IDS_MAX);
	}
	g_assert_false(apply_change(&a, "x", "id99", -1, "{}").is_repeat);
	g_assert_false(apply_change(&b, "x", "id99", -1, "{}").is_repeat);
	g_assert_true(apply_change(&a, "x", "id101", -1, "{}").is_repeat);
	g_assert_true(apply_change(&b, "x", "id101", -1, "{}").is_repeat);
	store_clear(&a);
	store_clear(&b);
}

/* Returns the services that a node has once it has received every change so far. */
static GHashTable *state_copy(struct model *n)
{
	GHashTable *t = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);

	for (guint i = 0; i < n->items->len; i++) {
		const struct model_item *item = g_ptr_array_index(n->items, i);

		if (item->json)
			g_hash_table_insert(t, g_strdup(item->name), g_strdup(item->json));
	}
	return t;
}

static void catch_up(GHashTable *node, const struct store *s, u64 revision)
{
	bool is_snapshot;
	g_autoptr(GPtrArray) items = store_changes_since(s, revision, &is_snapshot);
	u64 last = 0;

	if (is_snapshot)
		g_hash_table_remove_all(node);
	for (guint i = 0; i < items->len; i++) {
		const struct store_item *item = g_ptr_array_index(items, i);

		g_assert_cmpuint(item->revision, >, last);
		last = item->revision;
		if (item->json)
			g_hash_table_replace(node, g_strdup(item->name), g_strdup(item->json));
		else
			g_hash_table_remove(node, item->name);
	}
}

static void assert_caught_up(GHashTable *node, struct model *n)
{
	g_autoptr(GHashTable) want = state_copy(n);
	GHashTableIter iter;
	gpointer name;
	gpointer json;

	g_assert_cmpuint(g_hash_table_size(node), ==, g_hash_table_size(want));
	g_hash_table_iter_init(&iter, want);
	while (g_hash_table_iter_next(&iter, &name, &json))
		g_assert_cmpstr(g_hash_table_lookup(node, name), ==, json);
}

static void test_since_every_revision(void)
{
	struct rng rng = { .state = 3 };
	g_autoptr(GPtrArray) nodes =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_hash_table_unref);
	struct store s;
	struct model n;

	store_init(&s);
	model_init(&n);
	g_ptr_array_add(nodes, state_copy(&n));
	for (u32 i = 0; i < 600; i++) {
		struct change_buf buf;
		struct store_change c = random_change(&rng, &n, &buf);

		apply_both(&s, &n, &c);
		if (n.revision == nodes->len)
			g_ptr_array_add(nodes, state_copy(&n));
	}
	for (guint revision = 0; revision < nodes->len; revision++) {
		catch_up(g_ptr_array_index(nodes, revision), &s, revision);
		assert_caught_up(g_ptr_array_index(nodes, revision), &n);
	}
	store_clear(&s);
	model_clear(&n);
}

/* Doesn't compare versions, which differ: the model never prunes a tombstone. */
static void change_both(struct store *s, struct model *n, const struct store_change *c)
{
	g_autoptr(GBytes) command = store_change_pack(c);
	struct store_result r;

	store_apply(s, command, &r);
	model_change(n, c);
	g_assert_cmpuint(s->revision, ==, n->revision);
}

/* A node whose revision is below the pruned tombstones receives the whole state. */
static void test_since_after_pruning(void)
{
	struct store s;
	struct model n;
	GHashTable *old_node;
	GHashTable *recent_node = NULL;
	u64 old_revision = 0;
	u64 recent_revision = 0;

	store_init(&s);
	model_init(&n);
	old_node = state_copy(&n);
	for (u32 i = 0; i < STORE_TOMBSTONES_MAX + 500; i++) {
		g_autofree char *name = g_strdup_printf("n%u", i);
		struct store_change c = {
			.op = STORE_PUT, .name = name, .change_id = "", .json = "{}"
		};

		change_both(&s, &n, &c);
		if (i == 10 || i == STORE_TOMBSTONES_MAX) {
			GHashTable **t = i == 10 ? &old_node : &recent_node;

			if (*t)
				g_hash_table_unref(*t);
			*t = state_copy(&n);
			*(i == 10 ? &old_revision : &recent_revision) = n.revision;
		}
		c.op = STORE_DELETE;
		c.json = "";
		if (i % 500 != 499)
			change_both(&s, &n, &c);
	}
	g_assert_cmpuint(s.pruned_revision, >, old_revision);
	g_assert_cmpuint(s.pruned_revision, <, recent_revision);
	catch_up(old_node, &s, old_revision);
	assert_caught_up(old_node, &n);
	catch_up(recent_node, &s, recent_revision);
	assert_caught_up(recent_node, &n);
	g_hash_table_unref(old_node);
	g_hash_table_unref(recent_node);
	store_clear(&s);
	model_clear(&n);
}

/*
 * A garbage command changes nothing. A garbage snapshot, refused or not, leaves the store usable.
 */
static void test_garbage(void)
{
	struct rng rng = { .state = 9 };
	g_autoptr(GBytes) good = NULL;
	struct store s;

	store_init(&s);
	apply_change(&s, "a", "id1", 0, "{}");
	apply_change(&s, "b", "id2", 0, "{}");
	apply_change(&s, "b", "id3", -1, NULL);
	good = store_snapshot(&s);
	for (u32 i = 0; i < GARBAGE; i++) {
		gsize len;
		const u8 *p = g_bytes_get_data(good, &len);
		g_autofree u8 *bytes = g_memdup2(p, len);
		g_autoptr(GBytes) data = NULL;
		struct store_result r;
		struct store copy;

		for (u32 k = 1 + rng_below(&rng, 4); k; k--)
			bytes[rng_below(&rng, (u32)len)] = (u8)rng_next(&rng);
		data = g_bytes_new(bytes, rng_below(&rng, 2) ? len : rng_below(&rng, (u32)len));
		store_init(&copy);
		store_restore(&copy, data);
		apply_change(&copy, "a", "id1", 0, "{}");
		apply_change(&copy, "b", "id4", -1, "{}");
		store_clear(&copy);
		store_apply(&s, data, &r);
		g_assert_cmpuint(r.status, ==, 400);
	}
	g_assert_cmpuint(s.revision, ==, 3);
	store_clear(&s);
}

static void test_unknown_operation_is_refused(void)
{
	struct store_change c = {
		.op = (enum store_op)7, .name = "a", .change_id = "", .json = ""
	};
	g_autoptr(GBytes) command = store_change_pack(&c);
	struct store_result r;
	struct store s;

	store_init(&s);
	apply_change(&s, "a", "", 0, "{}");
	store_apply(&s, command, &r);
	g_assert_cmpuint(r.status, ==, 400);
	g_assert_nonnull(store_find(&s, "a"));
	store_clear(&s);
}

static char *set_text(u64 version, u32 changed)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(text, "{\"version\":%u,\"routes\":[", (u32)version);
	for (u32 i = 0; i < SET_ROUTES; i++)
		g_string_append_printf(text, "%s{\"name\":\"r%u\",\"timeout_ms\":%u}", i ? "," : "",
				       i, i == changed ? 500 + (u32)version : 1000);
	g_string_append(text, "]}");
	return g_string_free(text, FALSE);
}

static GBytes *set_command(u64 version, u64 base, const char *text)
{
	g_autofree char *id = g_strdup_printf("set-%u-%u", (u32)version, (u32)base);
	struct store_change c = { .op = STORE_SET,
				  .name = (char *)SET_NAME,
				  .change_id = id,
				  .json = (char *)text,
				  .version = version,
				  .has_if_match = true,
				  .if_match = base };

	return store_change_pack(&c);
}

static void assert_same_states(const struct store *a, const struct store *b)
{
	g_autoptr(GBytes) x = store_snapshot(a);
	g_autoptr(GBytes) y = store_snapshot(b);

	g_assert_true(g_bytes_equal(x, y));
}

/* A set has the same effect and result as a text and as a difference, also when it is repeated. */
static void test_set_as_difference(void)
{
	struct store plain;
	struct store shrunk;
	struct store_result x;
	struct store_result y;

	store_init(&plain);
	store_init(&shrunk);
	for (u64 version = 1; version <= 6; version++) {
		/* The fourth one builds on an outdated version, and is refused. */
		u64 base = version == 4 ? 1 : version == 5 ? 3 : version - 1;
		g_autofree char *text = set_text(version, (u32)version * 5);
		g_autoptr(GBytes) command = set_command(version, base, text);
		g_autoptr(GBytes) shorter =
			store_command_shrink(&shrunk, set_command(version, base, text));

		g_assert_cmpint(g_bytes_get_size(shorter) < 300, ==, version > 1 && version != 4);
		for (u32 i = 0; i < 2; i++) {
			store_apply(&plain, i ? shorter : command, &x);
			store_apply(&shrunk, i ? command : shorter, &y);
			g_assert_cmpuint(x.status, ==, y.status);
			g_assert_cmpuint(x.status, ==,
					 version == 4 ? 412 :
					 version == 1 ? 201 :
							200);
			g_assert_cmpint(x.is_repeat, ==, y.is_repeat);
			g_assert_cmpint(x.is_repeat, ==, i && version != 4);
			assert_same_states(&plain, &shrunk);
		}
		g_assert_cmpint(!strcmp(store_find(&shrunk, SET_NAME)->json, text), ==,
				version != 4);
	}
	store_clear(&plain);
	store_clear(&shrunk);
}

/* A difference that does not fit changes nothing. */
static void test_difference_that_does_not_fit(void)
{
	struct rng rng = { .state = 17 };
	g_autofree char *first = set_text(1, 3);
	g_autofree char *second = set_text(2, 4);
	g_autoptr(GBytes) command = set_command(1, 0, first);
	g_autoptr(GBytes) shorter = NULL;
	struct store_result r;
	struct store s;

	store_init(&s);
	store_apply(&s, command, &r);
	shorter = store_command_shrink(&s, set_command(2, 1, second));
	for (u32 i = 0; i < GARBAGE; i++) {
		gsize len;
		g_autofree u8 *bytes =
			g_memdup2(g_bytes_get_data(shorter, &len), g_bytes_get_size(shorter));
		g_autoptr(GBytes) garbage = NULL;

		bytes[rng_below(&rng, g_bytes_get_size(shorter))] ^= (u8)(1 << rng_below(&rng, 8));
		g_bytes_get_data(shorter, &len);
		garbage = g_bytes_new(bytes, len);
		store_apply(&s, garbage, &r);
		/* A change of its id, version or base does not make it another text. */
		if (s.revision == 1)
			continue;
		g_assert_cmpstr(store_find(&s, SET_NAME)->json, ==, second);
		store_clear(&s);
		store_init(&s);
		store_apply(&s, command, &r);
	}
	store_clear(&s);
}

static GBytes *snapshot_with_duplicates(bool has_duplicate_items)
{
	FRAME_AUTO(f, 0);

	for (u32 i = 0; i < 3; i++)
		frame_put_u64(&f, i);
	frame_put_u64(&f, has_duplicate_items ? 2 : 0);
	for (u32 i = 0; has_duplicate_items && i < 2; i++) {
		frame_put_str(&f, "a");
		frame_put_u64(&f, 1);
		frame_put_u64(&f, 1 + i);
		frame_put_bool(&f, true);
		frame_put_str(&f, "{}");
	}
	frame_put_u64(&f, has_duplicate_items ? 0 : 2);
	for (u32 i = 0; !has_duplicate_items && i < 2; i++) {
		frame_put_str(&f, "id");
		for (u32 k = 0; k < 4; k++)
			frame_put_u64(&f, 1);
	}
	frame_end(&f);
	return g_bytes_new(f.buf.data + FRAME_HEADER_BYTES, f.buf.size - FRAME_HEADER_BYTES);
}

static void test_duplicates_in_a_snapshot_are_refused(void)
{
	for (u32 i = 0; i < 2; i++) {
		g_autoptr(GBytes) data = snapshot_with_duplicates(i == 0);
		struct store s;

		store_init(&s);
		g_assert_cmpint(store_restore(&s, data), ==, ERR_INVAL);
		apply_change(&s, "a", "id", -1, "{}");
		store_clear(&s);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/store/against-model", test_against_model);
	g_test_add_func("/store/set-as-difference", test_set_as_difference);
	g_test_add_func("/store/difference-that-does-not-fit", test_difference_that_does_not_fit);
	g_test_add_func("/store/one-writer-per-version-wins", test_one_writer_per_version_wins);
	g_test_add_func("/store/versions-never-repeat", test_versions_never_repeat);
	g_test_add_func("/store/repeat-gets-first-result", test_repeat_gets_first_result);
	g_test_add_func("/store/ids-are-evicted-by-position", test_ids_are_evicted_by_position);
	g_test_add_func("/store/since-every-revision", test_since_every_revision);
	g_test_add_func("/store/since-after-pruning", test_since_after_pruning);
	g_test_add_func("/store/garbage", test_garbage);
	g_test_add_func("/store/unknown-operation-is-refused", test_unknown_operation_is_refused);
	g_test_add_func("/store/duplicates-in-a-snapshot-are-refused",
			test_duplicates_in_a_snapshot_are_refused);
	return g_test_run();
}
