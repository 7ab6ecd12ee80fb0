/* Tests which upstreams of a service a node uses. */
#include "wire/subset.h"

#include <string.h>

#define NAME_BYTES 32

static char names[512][NAME_BYTES];

/* Returns N upstreams; every ZONES-th is in the node's own zone. */
static GArray *make_items(u32 n, u32 zones)
{
	GArray *items = g_array_new(FALSE, FALSE, sizeof(struct subset_item));

	for (u32 i = 0; i < n; i++) {
		struct subset_item item = { .node = names[i], .is_own_zone = i % zones == 0 };

		g_snprintf(names[i], NAME_BYTES, "10.0.%u.%u:8081", i / 256, i % 256);
		g_array_append_val(items, item);
	}
	return items;
}

/* Checks that PICKED of N upstreams are picked, OWN of them in the own zone. */
static void check_subset(u32 n, u32 zones, u32 picked, u32 own)
{
	g_autoptr(GArray) items = make_items(n, zones);
	u32 found = subset_pick("10.9.9.9:8081", items);

	g_assert_cmpuint(items->len, ==, picked);
	g_assert_cmpuint(found, ==, own);
	for (guint i = 0; i < items->len; i++)
		g_assert_true(g_array_index(items, struct subset_item, i).is_own_zone == (i < own));
}

static void test_own_zone_share(void)
{
	check_subset(500, 5, SUBSET_MAX, SUBSET_OWN_ZONE);
	/* Other zones have too few upstreams: the own zone fills the subset. */
	check_subset(40, 1, SUBSET_MAX, SUBSET_MAX);
	/* The own zone has too few upstreams: other zones fill the subset. */
	check_subset(40, 40, SUBSET_MAX, 1);
	check_subset(5, 2, 5, 3);
	check_subset(0, 1, 0, 0);
}

/* If an upstream leaves, another one replaces it in the subset, and the others stay. */
static void test_upstream_leaves(void)
{
	g_autoptr(GArray) before = make_items(300, 5);
	g_autoptr(GArray) after = make_items(300, 5);
	const char *gone;
	u32 kept = 0;

	subset_pick("10.9.9.9:8081", before);
	gone = g_array_index(before, struct subset_item, 3).node;
	for (guint i = 0; i < after->len; i++)
		if (!strcmp(g_array_index(after, struct subset_item, i).node, gone))
			g_array_remove_index(after, i);
	subset_pick("10.9.9.9:8081", after);
	for (guint i = 0; i < before->len; i++)
		for (guint k = 0; k < after->len; k++)
			kept += !strcmp(g_array_index(before, struct subset_item, i).node,
					g_array_index(after, struct subset_item, k).node);
	g_assert_cmpuint(kept, ==, SUBSET_MAX - 1);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/subset/own-zone-share", test_own_zone_share);
	g_test_add_func("/subset/one-leaves", test_upstream_leaves);
	return g_test_run();
}
