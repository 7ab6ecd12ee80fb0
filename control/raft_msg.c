/* Encodes and decodes memberships and messages. */
#include "control/raft.h"

#include "lib/err.h"
#include "wire/endpoint.h"

#include <string.h>

void raft_members_put(struct frame_out *f, const struct raft_members *m)
{
	frame_put_u64(f, m->n);
	for (u32 i = 0; i < m->n; i++) {
		frame_put_u64(f, m->m[i].id);
		frame_put_u64(f, m->m[i].replica);
		frame_put_bool(f, m->m[i].is_voter);
		endpoint_put(f, &m->m[i].at);
	}
}

void raft_members_get(struct frame_in *in, struct raft_members *m)
{
	memset(m, 0, sizeof(*m));
	m->n = frame_get_count(in, RAFT_MEMBERS_MAX);
	for (u32 i = 0; i < m->n; i++) {
		m->m[i].id = (u32)frame_get_u64(in);
		m->m[i].replica = frame_get_u64(in);
		m->m[i].is_voter = frame_get_bool(in);
		endpoint_get(in, &m->m[i].at);
	}
}

GBytes *raft_members_pack(const struct raft_members *m)
{
	FRAME_AUTO(f, 0);

	raft_members_put(&f, m);
	frame_end(&f);
	return g_bytes_new(f.buf.data + FRAME_HEADER_BYTES, f.buf.size - FRAME_HEADER_BYTES);
}

int raft_members_unpack(struct raft_members *m, GBytes *data)
{
	struct frame_in in;
	gsize len;
	const void *p = g_bytes_get_data(data, &len);

	memset(m, 0, sizeof(*m));
	frame_in_init(&in, p, len);
	frame_get_u64(&in);
	raft_members_get(&in, m);
	return frame_done(&in);
}

static void put_entries(struct frame_out *f, GPtrArray *entries)
{
	guint n = entries ? entries->len : 0;

	frame_put_u64(f, n);
	for (guint i = 0; i < n; i++) {
		const struct raft_entry *e = g_ptr_array_index(entries, i);
		gsize len;
		const void *data = g_bytes_get_data(e->data, &len);

		frame_put_u64(f, e->index);
		frame_put_u64(f, e->term);
		frame_put_u64(f, e->kind);
		frame_put_bin(f, data, len);
	}
}

static void get_entries(struct frame_in *in, struct raft_msg *m)
{
	u32 n = frame_get_count(in, RAFT_BATCH_ENTRIES_MAX);

	m->entries = g_ptr_array_new_with_free_func((GDestroyNotify)raft_entry_free);
	for (u32 i = 0; i < n && !in->err; i++) {
		u64 index = frame_get_u64(in);
		u64 term = frame_get_u64(in);
		enum raft_entry_kind kind = (enum raft_entry_kind)frame_get_u64(in);
		size_t len;
		const void *data = frame_get_bin(in, &len);
		g_autoptr(GBytes) bytes = g_bytes_new(data, len);

		g_ptr_array_add(m->entries, raft_entry_new(index, term, kind, bytes));
	}
}

void raft_msg_put(struct frame_out *f, const struct raft_msg *m)
{
	gsize len = 0;
	const void *state = m->snapshot ? g_bytes_get_data(m->snapshot, &len) : NULL;

	frame_put_u64(f, m->type);
	frame_put_u64(f, m->from);
	frame_put_u64(f, m->replica);
	frame_put_u64(f, m->term);
	frame_put_u64(f, m->index);
	frame_put_u64(f, m->log_term);
	frame_put_u64(f, m->commit);
	frame_put_u64(f, m->round);
	frame_put_bool(f, m->is_ok);
	frame_put_bool(f, m->is_transfer);
	frame_put_bool(f, m->is_overtaking);
	put_entries(f, m->entries);
	raft_members_put(f, &m->members);
	frame_put_u64(f, m->to_replica);
	frame_put_u64(f, m->offset);
	frame_put_u64(f, m->total);
	frame_put_bin(f, state, len);
}

int raft_msg_get(struct frame_in *in, struct raft_msg *m)
{
	const void *state;
	size_t len;

	memset(m, 0, sizeof(*m));
	m->type = (enum raft_msg_type)frame_get_u64(in);
	m->from = (u32)frame_get_u64(in);
	m->replica = frame_get_u64(in);
	m->term = frame_get_u64(in);
	m->index = frame_get_u64(in);
	m->log_term = frame_get_u64(in);
	m->commit = frame_get_u64(in);
	m->round = frame_get_u64(in);
	m->is_ok = frame_get_bool(in);
	m->is_transfer = frame_get_bool(in);
	m->is_overtaking = frame_get_bool(in);
	get_entries(in, m);
	raft_members_get(in, &m->members);
	m->to_replica = frame_get_u64(in);
	m->offset = frame_get_u64(in);
	m->total = frame_get_u64(in);
	state = frame_get_bin(in, &len);
	m->snapshot = g_bytes_new(state, len);
	return frame_done(in);
}

void raft_msg_clear(struct raft_msg *m)
{
	if (m->entries)
		g_ptr_array_unref(m->entries);
	if (m->snapshot)
		g_bytes_unref(m->snapshot);
	memset(m, 0, sizeof(*m));
}
