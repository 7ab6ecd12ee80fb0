#include "control/set_history.h"

#include "lib/delta.h"

#include <string.h>
#include <xxhash.h>

/* Larger sets are not kept, to bound the memory. */
#define SET_MAX_BYTES (4 * 1024 * 1024)

static struct set_history_entry *find(struct set_history *h, u64 revision)
{
	for (u32 i = 0; i < SET_HISTORY_ENTRIES && revision; i++)
		if (h->sets[i].revision == revision)
			return &h->sets[i];
	return NULL;
}

/* The delta points into the JSON of a set, so it is dropped before the set may be freed. */
static void drop_delta(struct set_history *h)
{
	g_clear_pointer(&h->delta, g_array_unref);
	h->delta_from = 0;
	h->delta_to = 0;
}

void set_history_clear(struct set_history *h)
{
	drop_delta(h);
	for (u32 i = 0; i < SET_HISTORY_ENTRIES; i++)
		g_free(h->sets[i].json);
	memset(h, 0, sizeof(*h));
}

void set_history_add(struct set_history *h, u64 revision, const char *json)
{
	struct set_history_entry *slot = &h->sets[h->next_slot];

	if (find(h, revision) || strlen(json) > SET_MAX_BYTES)
		return;
	drop_delta(h);
	g_free(slot->json);
	slot->revision = revision;
	slot->json = g_strdup(json);
	slot->checksum = XXH64(json, strlen(json), 0);
	h->next_slot = (h->next_slot + 1) % SET_HISTORY_ENTRIES;
}

const GArray *set_history_delta(struct set_history *h, u64 from, u64 to, u64 *checksum)
{
	const struct set_history_entry *old_set = find(h, from);
	const struct set_history_entry *new_set = find(h, to);

	if (!old_set || !new_set)
		return NULL;
	if (h->delta_from != from || h->delta_to != to) {
		drop_delta(h);
		h->delta = delta_make(old_set->json, new_set->json);
		h->delta_from = from;
		h->delta_to = to;
	}
	*checksum = new_set->checksum;
	if (h->delta->len > DELTA_OPS_MAX)
		return NULL;
	return delta_bytes(h->delta) < strlen(new_set->json) / 2 ? h->delta : NULL;
}
