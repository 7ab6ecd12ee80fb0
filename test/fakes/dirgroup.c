#include "test/fakes/dirgroup.h"

#include <string.h>

void dirgroup_start_process(struct dirgroup *g, u32 i, u64 incarnation)
{
	memset(&g->p[i], 0, sizeof(g->p[i]));
	directory_init(&g->p[i].d, i + 1, incarnation);
	for (u32 j = 0; j < DIRGROUP_PROCESSES; j++)
		g->p[j].sent[i] = 0;
}

struct dirgroup *dirgroup_new(void)
{
	struct dirgroup *g = g_new0(struct dirgroup, 1);

	g->now_us = DIRGROUP_START_US;
	for (u32 i = 0; i < DIRGROUP_PROCESSES; i++)
		dirgroup_start_process(g, i, 100);
	return g;
}

void dirgroup_free(struct dirgroup *g)
{
	for (u32 i = 0; i < DIRGROUP_PROCESSES; i++)
		directory_clear(&g->p[i].d);
	g_free(g);
}

static void send_changes(struct dirgroup *g, u32 from, u32 to)
{
	struct dirgroup_process *a = &g->p[from];
	struct dirgroup_process *b = &g->p[to];
	g_autoptr(GPtrArray) items = directory_changes_since(&a->d, a->sent[to]);
	GHashTableIter iter;
	gpointer id;
	gpointer value;

	for (guint i = 0; i < items->len; i++)
		directory_merge(&b->d, g_ptr_array_index(items, i), from + 1, g->now_us);
	a->sent[to] = a->d.seq;
	directory_record_heartbeat(&b->d, from + 1, a->d.incarnation, a->heartbeat_seq, g->now_us);
	g_hash_table_iter_init(&iter, a->d.owners);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		const struct directory_owner *o = value;

		if (GPOINTER_TO_UINT(id) != to + 1)
			directory_record_heartbeat(&b->d, GPOINTER_TO_UINT(id), o->incarnation,
						   o->heartbeat_seq, g->now_us);
	}
}

static bool can_reach(const struct dirgroup *g, u32 from, u32 to)
{
	return from != to && !g->is_cut[from][to] && !g->p[from].is_suspended &&
	       !g->p[to].is_suspended;
}

void dirgroup_exchange(struct dirgroup *g)
{
	for (u32 i = 0; i < DIRGROUP_PROCESSES; i++)
		g->p[i].heartbeat_seq += !g->p[i].is_suspended;
	for (u32 round = 0; round < 2; round++)
		for (u32 i = 0; i < DIRGROUP_PROCESSES; i++)
			for (u32 j = 0; j < DIRGROUP_PROCESSES; j++)
				if (can_reach(g, i, j))
					send_changes(g, i, j);
}

void dirgroup_advance_second(struct dirgroup *g)
{
	g->now_us += US_PER_S;
	for (u32 i = 0; i < DIRGROUP_PROCESSES; i++)
		if (!g->p[i].is_suspended)
			directory_expire(&g->p[i].d, g->now_us);
	dirgroup_exchange(g);
}

struct dir_entry dirgroup_entry(const char *node, u64 incarnation, u64 version,
				enum dir_state state)
{
	return (struct dir_entry){ .node = (char *)node,
				   .zone = (char *)"breizh-brest",
				   .region = (char *)"breizh",
				   .service = (char *)"sightings",
				   .incarnation = incarnation,
				   .version = version,
				   .state = state,
				   .slots = 12 };
}

int dirgroup_register(struct dirgroup *g, u32 i, const char *node, u64 incarnation, u64 version,
		      enum dir_state state)
{
	struct dir_entry e = dirgroup_entry(node, incarnation, version, state);

	return directory_register(&g->p[i].d, &e, g->now_us);
}

enum dir_state dirgroup_state(const struct dirgroup *g, u32 i, const char *node)
{
	const struct directory_item *item = directory_find(&g->p[i].d, node);

	return item ? directory_state(item) : DIR_GONE;
}

void dirgroup_assert_state(const struct dirgroup *g, const char *node, enum dir_state state)
{
	for (u32 i = 0; i < DIRGROUP_PROCESSES; i++)
		g_assert_cmpint(dirgroup_state(g, i, node), ==, state);
}

void dirgroup_set_cut(struct dirgroup *g, u32 a, u32 b, bool is_cut)
{
	g->is_cut[a][b] = is_cut;
	g->is_cut[b][a] = is_cut;
	/* A link that reconnects starts with a full transfer. */
	g->p[a].sent[b] = 0;
	g->p[b].sent[a] = 0;
}
