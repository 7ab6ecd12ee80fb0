/* What a node that is behind gets: the changes since its revision, or the whole state. */
#include "test/fakes/store_model.h"

/* Returns the services that a node has once it has received every change so far. */
static GHashTable *state_copy(struct store_model *n)
{
	GHashTable *t = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);

	for (guint i = 0; i < n->items->len; i++) {
		const struct store_model_item *item = g_ptr_array_index(n->items, i);

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

static void assert_caught_up(GHashTable *node, struct store_model *n)
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
	struct store_model n;

	store_init(&s);
	store_model_init(&n);
	g_ptr_array_add(nodes, state_copy(&n));
	for (u32 i = 0; i < 600; i++) {
		struct store_model_buf buf;
		struct store_change c = store_model_random(&rng, &n, &buf);

		store_model_apply_both(&s, &n, &c);
		if (n.revision == nodes->len)
			g_ptr_array_add(nodes, state_copy(&n));
	}
	for (guint revision = 0; revision < nodes->len; revision++) {
		catch_up(g_ptr_array_index(nodes, revision), &s, revision);
		assert_caught_up(g_ptr_array_index(nodes, revision), &n);
	}
	store_clear(&s);
	store_model_clear(&n);
}

/* Doesn't compare versions, which differ: the model never prunes a tombstone. */
static void change_both(struct store *s, struct store_model *n, const struct store_change *c)
{
	g_autoptr(GBytes) command = store_change_pack(c);
	struct store_result r;

	store_apply(s, command, &r);
	store_model_change(n, c);
	g_assert_cmpuint(s->revision, ==, n->revision);
}

/* A node whose revision is below the pruned tombstones receives the whole state. */
static void test_since_after_pruning(void)
{
	struct store s;
	struct store_model n;
	GHashTable *old_node;
	GHashTable *recent_node = NULL;
	u64 old_revision = 0;
	u64 recent_revision = 0;

	store_init(&s);
	store_model_init(&n);
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
	store_model_clear(&n);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/store/since-every-revision", test_since_every_revision);
	g_test_add_func("/store/since-after-pruning", test_since_after_pruning);
	return g_test_run();
}
