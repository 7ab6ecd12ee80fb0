/* The checks of raft's safety properties that fake_group makes at every step. */
#include "test/fakes/fake_group_impl.h"

#include <xxhash.h>

void fake_group_report(struct fake_group *g, const char *what, u32 id, u64 index)
{
	if (!g->violation)
		g->violation = g_strdup_printf("seed %" G_GUINT64_FORMAT " at %" G_GUINT64_FORMAT
					       " us: %s (replica %u, index %" G_GUINT64_FORMAT ")",
					       g->seed, g->now_us, what, id, index);
}

u64 fake_entry_hash(const struct raft_entry *e)
{
	gsize len;
	const void *p = g_bytes_get_data(e->data, &len);

	return XXH64(p, len, e->kind) | 1;
}

void fake_group_check_entry(struct fake_replica *f, const struct raft_entry *e, u64 previous_term)
{
	struct fake_group *g = f->group;
	g_autofree char *key =
		g_strdup_printf("%" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT, e->index, e->term);
	u64 hash = fake_entry_hash(e) ^ (previous_term * 0x9e3779b97f4a7c15ULL);
	u64 *known = g_hash_table_lookup(g->entries, key);

	if (previous_term > e->term)
		fake_group_report(g, "the term decreases along the log", f->id, e->index);
	if (known && *known != hash)
		fake_group_report(g, "different entries with the same index and term", f->id,
				  e->index);
	if (known)
		return;
	known = g_new(u64, 1);
	*known = hash;
	g_hash_table_insert(g->entries, g_steal_pointer(&key), known);
}

struct fake_commit *fake_group_commit_at(struct fake_group *g, u64 index)
{
	if (g->committed->len <= index)
		g_array_set_size(g->committed, (guint)index + 1);
	return &g_array_index(g->committed, struct fake_commit, index);
}

void fake_group_check_state(struct fake_replica *f, u64 index)
{
	struct fake_commit *c = fake_group_commit_at(f->group, index);
	u64 state = f->hash | 1;

	if (c->state && c->state != state)
		fake_group_report(f->group, "replicas have different states at the same index",
				  f->id, index);
	c->state = state;
}

void fake_group_check_leader(struct fake_replica *f)
{
	struct fake_group *g = f->group;
	struct raft *r = &f->control.raft;
	u64 last = g->committed->len - 1;
	gpointer known;

	if (r->role != RAFT_LEADER)
		return;
	known = g_hash_table_lookup(g->leaders, GSIZE_TO_POINTER(r->term));
	if (known && GPOINTER_TO_UINT(known) != f->id)
		fake_group_report(g, "two leaders in one term", f->id, r->term);
	if (known)
		return;
	g_hash_table_insert(g->leaders, GSIZE_TO_POINTER(r->term), GUINT_TO_POINTER(f->id));
	/* The leader's log may already end with its own first entry. */
	if (last > raft_last_index(r) ||
	    (last > r->snap_index && raft_term_at(r, last) != fake_group_commit_at(g, last)->term))
		fake_group_report(g, "a leader lacks a committed entry", f->id, last);
}
