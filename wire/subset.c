#include "wire/subset.h"

#include <string.h>
#include <xxhash.h>

static struct subset_item *item(GArray *items, guint i)
{
	return &g_array_index(items, struct subset_item, i);
}

/* Sorts by own zone first, then by descending weight. */
static gint compare_items(gconstpointer a, gconstpointer b)
{
	const struct subset_item *x = a;
	const struct subset_item *y = b;

	if (x->is_own_zone != y->is_own_zone)
		return x->is_own_zone ? -1 : 1;
	return x->weight > y->weight ? -1 : x->weight < y->weight;
}

u64 subset_seed(const char *node)
{
	return XXH64(node, strlen(node), 0);
}

u64 subset_weight(u64 seed, const char *node)
{
	return XXH64(node, strlen(node), seed);
}

u32 subset_own_share(u32 own, u32 others)
{
	u32 left = SUBSET_MAX - MIN(others, (u32)SUBSET_MAX);

	return MIN(own, MAX((u32)SUBSET_OWN_ZONE, left));
}

u32 subset_pick(const char *node, GArray *items)
{
	u64 seed = subset_seed(node);
	u32 own = 0;
	u32 kept;

	for (guint i = 0; i < items->len; i++) {
		struct subset_item *one = item(items, i);

		one->weight = subset_weight(seed, one->node);
		own += one->is_own_zone;
	}
	g_array_sort(items, compare_items);
	kept = subset_own_share(own, items->len - own);
	g_array_remove_range(items, kept, own - kept);
	if (items->len > SUBSET_MAX)
		g_array_set_size(items, SUBSET_MAX);
	return kept;
}
