#include "control/evacuation.h"

#include <string.h>

#define PREFIX "/evacuations/"
#define ZONE_CHARACTERS                                                                            \
	"abcdefghijklmnopqrstuvwxyz"                                                               \
	"ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."

bool evacuation_is_zone(const char *text)
{
	size_t len = strlen(text);

	return len && len < EVACUATION_ZONE_BYTES && strspn(text, ZONE_CHARACTERS) == len;
}

char *evacuation_item_name(const char *zone)
{
	return g_strconcat(PREFIX, zone, NULL);
}

const char *evacuation_zone(const char *name)
{
	return g_str_has_prefix(name, PREFIX) ? name + strlen(PREFIX) : NULL;
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

GPtrArray *evacuation_zones(const struct store *s)
{
	GPtrArray *zones = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct store_item *item = value;
		const char *zone = evacuation_zone(item->name);

		if (zone && item->json)
			g_ptr_array_add(zones, (gpointer)zone);
	}
	g_ptr_array_sort(zones, compare_names);
	return zones;
}
