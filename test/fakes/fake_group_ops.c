/* What a replica of fake_group does for its raft: writes to the disk, state, reads. */
#include "test/fakes/fake_group_impl.h"

#include <string.h>
#include <xxhash.h>

static void crash_on_error(struct fake_replica *f, int err)
{
	if (err)
		f->is_ending = true;
}

static void group_save_state(struct raft *r, u64 term, u32 vote)
{
	struct fake_replica *f = replica_of(r);

	crash_on_error(f, wal_save_state(&f->control.wal, term, vote));
}

static void group_append(struct raft *r, GPtrArray *entries)
{
	struct fake_replica *f = replica_of(r);
	const struct raft_entry *first = g_ptr_array_index(entries, 0);
	u64 previous = raft_term_at(r, first->index - 1);

	for (guint i = 0; i < entries->len; i++) {
		const struct raft_entry *e = g_ptr_array_index(entries, i);

		fake_group_check_entry(f, e, previous);
		previous = e->term;
	}
	if (first->index <= r->commit)
		fake_group_report(f->group, "a committed entry was overwritten", f->id,
				  first->index);
	crash_on_error(f, wal_append(&f->control.wal, entries));
}

static void group_save_snapshot(struct raft *r, u64 index, u64 term,
				const struct raft_members *members, GBytes *state)
{
	struct fake_replica *f = replica_of(r);

	crash_on_error(f, wal_save_snapshot(&f->control.wal, r, index, term, members, state));
}

static void acknowledge(struct fake_replica *f, const struct raft_entry *e)
{
	GArray *all = f->group->proposals;

	for (guint i = all->len; i > 0; i--) {
		struct fake_proposal *p = &g_array_index(all, struct fake_proposal, i - 1);

		if (p->id != f->id || p->index != e->index || p->term != e->term || p->is_acked)
			continue;
		p->is_acked = true;
		f->group->acked++;
		return;
	}
}

/* A valid change of the store may be refused for its version, but never be unreadable. */
static void apply_to_store(struct fake_replica *f, const struct raft_entry *e)
{
	struct store_result result;

	if (!f->group->has_store)
		return;
	store_apply(&f->control.store, e->data, &result);
	if (result.status == 400)
		fake_group_report(f->group, "a change cannot be applied", f->id, e->index);
}

static void group_apply(struct raft *r, const struct raft_entry *e)
{
	struct fake_replica *f = replica_of(r);
	struct fake_commit *c;
	u64 hash = fake_entry_hash(e);

	if (f->is_ending)
		return;
	c = fake_group_commit_at(f->group, e->index);
	if (c->hash && (c->hash != hash || c->term != e->term))
		fake_group_report(f->group, "a committed entry changed", f->id, e->index);
	c->hash = hash;
	c->term = e->term;
	if (e->kind == RAFT_COMMAND) {
		f->count++;
		f->hash = XXH64(&hash, sizeof(hash), f->hash);
		apply_to_store(f, e);
		acknowledge(f, e);
	}
	fake_group_check_state(f, e->index);
}

static void restore_store(struct fake_replica *f, GBytes *state)
{
	gsize len = g_bytes_get_size(state);
	g_autoptr(GBytes) data = g_bytes_new_from_bytes(state, MIN(len, 16), len - MIN(len, 16));

	if (store_restore(&f->control.store, data))
		fake_group_report(f->group, "a snapshot of the store is malformed", f->id, 0);
}

static void group_restore(struct raft *r, u64 index, GBytes *state)
{
	struct fake_replica *f = replica_of(r);
	gsize len;
	const u8 *p = g_bytes_get_data(state, &len);

	f->count = 0;
	f->hash = 0;
	if (len >= 16) {
		memcpy(&f->count, p, 8);
		memcpy(&f->hash, p + 8, 8);
	}
	if (f->group->has_store) {
		restore_store(f, state);
		len = 0;
	}
	for (gsize i = 16; i < len; i++)
		if (p[i] != (u8)(i * 31 + f->count))
			fake_group_report(f->group, "a received snapshot is corrupted", f->id,
					  index);
	if (!f->is_ending)
		fake_group_check_state(f, index);
}

static GBytes *snapshot_with_store(const struct fake_replica *f)
{
	g_autoptr(GBytes) store = store_snapshot(&f->control.store);
	GByteArray *out = g_byte_array_new();
	gsize len;
	const void *p = g_bytes_get_data(store, &len);

	g_byte_array_append(out, (const guint8 *)&f->count, 8);
	g_byte_array_append(out, (const guint8 *)&f->hash, 8);
	g_byte_array_append(out, p, (guint)len);
	return g_byte_array_free_to_bytes(out);
}

static GBytes *group_snapshot(struct raft *r)
{
	struct fake_replica *f = replica_of(r);

	if (f->group->has_store)
		return snapshot_with_store(f);

	gsize len = 16 + f->group->state_pad_bytes;
	u8 *p;

	p = g_malloc(len);
	memcpy(p, &f->count, 8);
	memcpy(p + 8, &f->hash, 8);
	for (gsize i = 16; i < len; i++)
		p[i] = (u8)(i * 31 + f->count);
	return g_bytes_new_take(p, len);
}

static void group_read_ready(struct raft *r, u64 read_id, bool is_ok)
{
	struct fake_replica *f = replica_of(r);
	struct fake_read *read = &g_array_index(f->group->reads, struct fake_read, read_id);

	if (f->is_ending)
		return;
	if (read->is_done || read->id != f->id)
		fake_group_report(f->group, "a read completed twice or on another replica", f->id,
				  read_id);
	read->is_done = true;
	if (!is_ok)
		return;
	f->group->reads_done++;
	if (r->commit < read->min_commit_index)
		fake_group_report(f->group, "a read returned stale state", f->id,
				  read->min_commit_index);
}

const struct raft_ops fake_group_ops = {
	.send = fake_group_send,
	.is_sending = fake_group_is_sending,
	.save_state = group_save_state,
	.append = group_append,
	.save_snapshot = group_save_snapshot,
	.apply = group_apply,
	.restore = group_restore,
	.snapshot = group_snapshot,
	.read_ready = group_read_ready,
};
