#include "control/recent.h"

#include "lib/delta.h"

#include <string.h>
#include <xxhash.h>

/* Longer sets are not kept, to bound the memory. */
#define SET_MAX_BYTES (4 * 1024 * 1024)

static struct recent_set *find(struct recent *r, u64 revision)
{
	for (u32 i = 0; i < RECENT_SETS && revision; i++)
		if (r->sets[i].revision == revision)
			return &r->sets[i];
	return NULL;
}

/* Its texts point into a set that may go. */
static void forget_difference(struct recent *r)
{
	g_clear_pointer(&r->difference, g_array_unref);
	r->from = 0;
	r->to = 0;
}

void recent_clear(struct recent *r)
{
	forget_difference(r);
	for (u32 i = 0; i < RECENT_SETS; i++)
		g_free(r->sets[i].json);
	memset(r, 0, sizeof(*r));
}

void recent_note(struct recent *r, u64 revision, const char *json)
{
	struct recent_set *place = &r->sets[r->next];

	if (find(r, revision) || strlen(json) > SET_MAX_BYTES)
		return;
	forget_difference(r);
	g_free(place->json);
	place->revision = revision;
	place->json = g_strdup(json);
	place->checksum = XXH64(json, strlen(json), 0);
	r->next = (r->next + 1) % RECENT_SETS;
}

const GArray *recent_difference(struct recent *r, u64 from, u64 to, u64 *checksum)
{
	const struct recent_set *old_set = find(r, from);
	const struct recent_set *new_set = find(r, to);

	if (!old_set || !new_set)
		return NULL;
	if (r->from != from || r->to != to) {
		forget_difference(r);
		r->difference = delta_make(old_set->json, new_set->json);
		r->from = from;
		r->to = to;
	}
	*checksum = new_set->checksum;
	if (r->difference->len > DELTA_OPS_MAX)
		return NULL;
	return delta_bytes(r->difference) < strlen(new_set->json) / 2 ? r->difference : NULL;
}
