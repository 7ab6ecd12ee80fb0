#include "node/choose.h"

#include <string.h>

#define SAMPLES 2
#define LATENCY_SMOOTHING 8
#define UNREACHABLE_US (1 * US_PER_S)

static void target_free(gpointer p)
{
	struct choose_target *t = p;

	dir_entry_clear(&t->entry);
	g_free(t);
}

void choose_init(struct choose *c, const char *zone, u64 seed)
{
	c->zone = g_strdup(zone);
	c->targets = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, target_free);
	c->rng.state = seed;
}

void choose_clear(struct choose *c)
{
	g_free(c->zone);
	g_hash_table_unref(c->targets);
}

struct choose_target *choose_find(struct choose *c, const char *node)
{
	return g_hash_table_lookup(c->targets, node);
}

void choose_set(struct choose *c, const struct dir_entry *e)
{
	struct choose_target *t = choose_find(c, e->node);

	if (t && dir_entry_is_newer(&t->entry, e))
		return;
	if (e->state == DIR_GONE) {
		if (t)
			t->entry.state = DIR_GONE;
		return;
	}
	if (t) {
		g_hash_table_steal(c->targets, e->node);
		dir_entry_clear(&t->entry);
	} else {
		t = g_new0(struct choose_target, 1);
	}
	dir_entry_copy(&t->entry, e);
	g_hash_table_insert(c->targets, t->entry.node, t);
}

static bool is_excluded(const char *node, GPtrArray *exclude)
{
	for (guint i = 0; exclude && i < exclude->len; i++)
		if (!strcmp(g_ptr_array_index(exclude, i), node))
			return true;
	return false;
}

static GPtrArray *candidates(struct choose *c, const char *service, GPtrArray *exclude, u64 now_us)
{
	GPtrArray *out = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->targets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct choose_target *t = value;

		if (t->entry.state != DIR_UP || strcmp(t->entry.service, service))
			continue;
		if (t->load.is_draining || t->unreachable_until_us > now_us)
			continue;
		if (!is_excluded(t->entry.node, exclude))
			g_ptr_array_add(out, t);
	}
	return out;
}

static u64 score(const struct choose *c, const struct choose_target *t)
{
	u32 slots = MAX(t->entry.slots, 1u);
	u64 work = t->load.running + t->load.queued + t->sent_since;
	u64 zone_us = strcmp(t->entry.zone, c->zone) ? US_PER_MS : 0;

	return zone_us + (work + 1) * MAX(t->latency_us, 100) / slots;
}

struct choose_target *choose_pick(struct choose *c, const char *service, GPtrArray *exclude,
				  u64 now_us)
{
	g_autoptr(GPtrArray) list = candidates(c, service, exclude, now_us);
	struct choose_target *best = NULL;

	for (u32 i = 0; i < SAMPLES && list->len; i++) {
		guint at = rng_below(&c->rng, list->len);
		struct choose_target *t = g_ptr_array_index(list, at);

		if (!best || score(c, t) < score(c, best))
			best = t;
		g_ptr_array_remove_index_fast(list, at);
	}
	return best;
}

void choose_sent(struct choose_target *t)
{
	t->sent_since++;
	t->in_flight++;
}

void choose_ended(struct choose_target *t, enum choose_result result, u64 took_us, u64 now_us)
{
	(void)now_us;
	if (t->in_flight)
		t->in_flight--;
	if (result == CHOOSE_ANSWERED)
		t->latency_us = t->latency_us ?
					(t->latency_us * (LATENCY_SMOOTHING - 1) + took_us) /
						LATENCY_SMOOTHING :
					took_us;
}

void choose_load(struct choose_target *t, const struct peer_load *load, u64 now_us)
{
	t->load = *load;
	t->load_us = now_us;
	t->sent_since = 0;
}

void choose_unreachable(struct choose_target *t, u64 now_us)
{
	t->unreachable_until_us = now_us + UNREACHABLE_US;
}
