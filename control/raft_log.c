/* The in-memory log: entries, commit index, snapshot. */
#include "control/raft_impl.h"

struct raft_entry *raft_entry_new(u64 index, u64 term, enum raft_entry_kind kind, GBytes *data)
{
	struct raft_entry *e = g_new0(struct raft_entry, 1);

	e->index = index;
	e->term = term;
	e->kind = kind;
	e->data = data ? g_bytes_ref(data) : g_bytes_new(NULL, 0);
	return e;
}

void raft_entry_free(struct raft_entry *e)
{
	g_bytes_unref(e->data);
	g_free(e);
}

u64 raft_last_index(const struct raft *r)
{
	return r->base_index + r->log->len;
}

const struct raft_entry *raft_entry_at(const struct raft *r, u64 index)
{
	if (index <= r->base_index || index > raft_last_index(r))
		return NULL;
	return g_ptr_array_index(r->log, (guint)(index - r->base_index - 1));
}

u64 raft_term_at(const struct raft *r, u64 index)
{
	const struct raft_entry *e;

	if (index == r->base_index)
		return r->base_term;
	e = raft_entry_at(r, index);
	return e ? e->term : 0;
}

void raft_truncate(struct raft *r, u64 index)
{
	g_ptr_array_set_size(r->log, (gint)(index - r->base_index - 1));
	r->synced_index = MIN(r->synced_index, raft_last_index(r));
	if (r->members_index >= index)
		raft_use_latest_members(r);
}

void raft_append_entry(struct raft *r, struct raft_entry *e)
{
	struct raft_members m;

	g_ptr_array_add(r->log, e);
	if (e->kind == RAFT_MEMBERS && !raft_members_unpack(&m, e->data))
		raft_set_members(r, &m, e->index);
}

void raft_sync_log(struct raft *r)
{
	g_autoptr(GPtrArray) unsynced = g_ptr_array_new();
	u64 last = raft_last_index(r);

	for (u64 i = r->synced_index + 1; i <= last; i++)
		g_ptr_array_add(unsynced, (gpointer)raft_entry_at(r, i));
	if (unsynced->len)
		r->ops->append(r, unsynced);
	r->synced_index = last;
}

void raft_apply_committed(struct raft *r)
{
	while (r->applied < r->commit) {
		const struct raft_entry *e = raft_entry_at(r, r->applied + 1);
		struct raft_members m;

		r->applied++;
		if (e->kind == RAFT_MEMBERS && !raft_members_unpack(&m, e->data))
			r->committed_members = m;
		r->ops->apply(r, e);
	}
}

static void set_snapshot(struct raft *r, u64 index, u64 term, const struct raft_members *members,
			 GBytes *state)
{
	g_bytes_ref(state);
	if (r->snap_state)
		g_bytes_unref(r->snap_state);
	r->snap_state = state;
	r->snap_index = index;
	r->snap_term = term;
	r->snap_members = *members;
}

void raft_reset_log(struct raft *r, u64 index, u64 term, const struct raft_members *members,
		    GBytes *state)
{
	set_snapshot(r, index, term, members, state);
	g_ptr_array_set_size(r->log, 0);
	r->base_index = index;
	r->base_term = term;
	r->synced_index = index;
	r->commit = index;
	r->applied = index;
	r->committed_members = *members;
	raft_use_latest_members(r);
}

u64 raft_entry_bytes(const struct raft_entry *e)
{
	return e->data ? g_bytes_get_size(e->data) : 0;
}

u64 raft_log_bytes(const struct raft *r, u64 after)
{
	u64 bytes = 0;

	for (u64 i = MAX(after, r->base_index) + 1; i <= raft_last_index(r); i++)
		bytes += raft_entry_bytes(raft_entry_at(r, i));
	return bytes;
}

/* Returns the index after which entries are retained for followers that are slightly behind. */
static u64 retained_base(const struct raft *r, u64 index)
{
	u64 first = index > r->retained_entries_max ? index - r->retained_entries_max : 0;
	u64 retained_bytes = 0;
	u64 base = index;

	for (; base > MAX(first, r->base_index); base--) {
		retained_bytes += raft_entry_bytes(raft_entry_at(r, base));
		if (retained_bytes > RAFT_RETAINED_BYTES_MAX)
			break;
	}
	return base;
}

void raft_compact(struct raft *r)
{
	g_autoptr(GBytes) state = NULL;
	u64 index = r->applied;
	u64 term = raft_term_at(r, index);
	u64 base;

	if (index <= r->snap_index)
		return;
	raft_sync_log(r);
	state = r->ops->snapshot(r);
	r->ops->save_snapshot(r, index, term, &r->committed_members, state);
	set_snapshot(r, index, term, &r->committed_members, state);
	base = retained_base(r, index);
	if (base <= r->base_index)
		return;
	term = raft_term_at(r, base);
	g_ptr_array_remove_range(r->log, 0, (guint)(base - r->base_index));
	r->base_index = base;
	r->base_term = term;
}
