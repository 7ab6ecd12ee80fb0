/* Which upstreams a node uses. */
#include "wire/subset.h"

#include <string.h>

#define NAME_BYTES 32

static char names[512][NAME_BYTES];

static GArray *make(u32 n, u32 zones)
{
	GArray *items = g_array_new(FALSE, FALSE, sizeof(struct subset_item));

	for (u32 i = 0; i < n; i++) {
		struct subset_item item = { .node = names[i], .is_own_zone = i % zones == 0 };

		g_snprintf(names[i], NAME_BYTES, "10.0.%u.%u:8081", i / 256, i % 256);
		g_array_append_val(items, item);
	}
	return items;
}

/* Of N upstreams, every ZONES-th in the own zone, so many are picked, OWN of them there. */
static void check_places(u32 n, u32 zones, u32 picked, u32 own)
{
	g_autoptr(GArray) items = make(n, zones);
	u32 found = subset_pick("10.9.9.9:8081", items);

	g_assert_cmpuint(items->len, ==, picked);
	g_assert_cmpuint(found, ==, own);
	for (guint i = 0; i < items->len; i++)
		g_assert_true(g_array_index(items, struct subset_item, i).is_own_zone == (i < own));
}

static void test_places(void)
{
	check_places(500, 5, SUBSET_MAX, SUBSET_OWN_ZONE);
	/* Few elsewhere: the own zone has the rest. */
	check_places(40, 1, SUBSET_MAX, SUBSET_MAX);
	/* Few in the own zone: the others have the rest. */
	check_places(40, 40, SUBSET_MAX, 1);
	check_places(5, 2, 5, 3);
	check_places(0, 1, 0, 0);
}

/* One upstream that leaves changes one place of the subsets that had it, and no other. */
static void test_one_leaves(void)
{
	g_autoptr(GArray) before = make(300, 5);
	g_autoptr(GArray) after = make(300, 5);
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
	g_test_add_func("/subset/places", test_places);
	g_test_add_func("/subset/one-leaves", test_one_leaves);
	return g_test_run();
}
