/* Follower side of replication: AppendEntries and InstallSnapshot. */
#include "control/raft_impl.h"

#include "lib/ctr.h"

/*
 * Returns when the heartbeat round of M began. A message that was long on its way says nothing
 * about what the leader has committed since.
 */
static u64 sent_us(struct raft *r, const struct raft_msg *m, u64 now_us)
{
	u64 at_us = r->ops->to_local_us ? r->ops->to_local_us(r, m->from, m->round) : m->round;

	return MIN(at_us, now_us);
}

/* Becomes a follower of the sender of M and resets the election timeout. */
static void follow_leader(struct raft *r, const struct raft_msg *m, u64 now_us)
{
	if (m->term > r->term || r->role != RAFT_FOLLOWER || r->leader != m->from) {
		raft_become_follower(r, m->term, m->from, now_us);
		r->word.sent_us = 0;
		r->pending = (struct raft_word){ 0 };
		r->caught_up_us = 0;
	}
	r->leader_heard_us = now_us;
	r->word.sent_us = MAX(r->word.sent_us, sent_us(r, m, now_us));
	r->word.commit = MAX(r->word.commit, m->commit);
	if (!r->pending.sent_us)
		r->pending = r->word;
	raft_reset_election_timeout(r, now_us);
}

/* Notes which words are applied by now. Of those that are not, the oldest and the last are kept. */
static void note_applied(struct raft *r)
{
	if (r->applied >= r->word.commit) {
		r->caught_up_us = r->word.sent_us;
		r->pending = (struct raft_word){ 0 };
	} else if (r->applied >= r->pending.commit) {
		r->caught_up_us = r->pending.sent_us;
		r->pending = r->word;
	}
}

/* Returns false when the entries of M are not consecutive or conflict with a committed entry. */
static bool is_valid_append(const struct raft *r, const struct raft_msg *m)
{
	u64 term = m->log_term;

	for (guint i = 0; m->entries && i < m->entries->len; i++) {
		const struct raft_entry *e = g_ptr_array_index(m->entries, i);

		if (e->index != m->index + 1 + i || e->term < term || e->term > m->term)
			return false;
		if (e->index > r->base_index && e->index <= r->commit &&
		    raft_term_at(r, e->index) != e->term)
			return false;
		term = e->term;
	}
	return true;
}

/* Appends the new entries of M and returns the last index that matches the leader's log. */
static u64 append_new_entries(struct raft *r, const struct raft_msg *m)
{
	guint n = m->entries ? m->entries->len : 0;
	guint i = 0;

	while (i < n) {
		const struct raft_entry *e = g_ptr_array_index(m->entries, i);

		if (e->index > r->base_index && raft_term_at(r, e->index) != e->term)
			break;
		i++;
	}
	if (i < n && m->index + 1 + i <= raft_last_index(r))
		raft_truncate(r, m->index + 1 + i);
	for (; i < n; i++) {
		const struct raft_entry *e = g_ptr_array_index(m->entries, i);

		raft_append_entry(r, raft_entry_new(e->index, e->term, e->kind, e->data));
	}
	raft_sync_log(r);
	return m->index + n;
}

static bool log_matches(const struct raft *r, const struct raft_msg *m)
{
	return m->index <= raft_last_index(r) && raft_term_at(r, m->index) == m->log_term;
}

static void set_commit(struct raft *r, u64 index)
{
	if (index <= r->commit)
		return;
	r->commit = index;
	raft_apply_committed(r);
}

static void handle_append(struct raft *r, const struct raft_msg *m, struct raft_msg *reply)
{
	if (m->index < r->base_index) {
		reply->index = r->commit;
		reply->is_ok = true;
	} else if (!log_matches(r, m)) {
		reply->index = MIN(raft_last_index(r), m->index ? m->index - 1 : 0);
	} else {
		reply->index = append_new_entries(r, m);
		reply->is_ok = true;
		set_commit(r, MIN(m->commit, reply->index));
	}
}

void raft_on_append_entries(struct raft *r, const struct raft_msg *m, u64 now_us)
{
	struct raft_msg reply = { .type = RAFT_APPEND_ENTRIES_REPLY,
				  .round = m->round,
				  .is_overtaking = m->is_overtaking };

	if (r->role == RAFT_FORMING) {
		/* The leader only accepts a reply of its own term; it then sends the snapshot. */
		reply.term = m->term;
	} else if (m->term < r->term) {
		reply.index = raft_last_index(r);
	} else if (!is_valid_append(r, m)) {
		ctr_inc(CTR_RAFT_BAD);
		return;
	} else {
		follow_leader(r, m, now_us);
		handle_append(r, m, &reply);
		note_applied(r);
	}
	raft_send(r, m->from, &reply);
}

/* Snapshots in chunks */

void raft_discard_partial_snapshot(struct raft *r)
{
	if (r->incoming.bytes)
		g_byte_array_unref(r->incoming.bytes);
	r->incoming = (struct raft_partial_snapshot){ 0 };
}

static void begin_snapshot(struct raft *r, const struct raft_msg *m)
{
	struct raft_partial_snapshot *in = &r->incoming;

	if (in->bytes && in->term == m->term && in->index == m->index && in->total == m->total)
		return;
	raft_discard_partial_snapshot(r);
	in->term = m->term;
	in->index = m->index;
	in->total = m->total;
	in->bytes = g_byte_array_new();
}

/* Appends the chunk in M if it is the next one. Returns whether the snapshot is complete. */
static bool append_chunk(struct raft *r, const struct raft_msg *m)
{
	struct raft_partial_snapshot *in = &r->incoming;
	gsize len = 0;
	const void *p = m->snapshot ? g_bytes_get_data(m->snapshot, &len) : NULL;

	begin_snapshot(r, m);
	if (m->offset != in->bytes->len || len > in->total - m->offset)
		return false;
	if (len)
		g_byte_array_append(in->bytes, p, (guint)len);
	return in->bytes->len == in->total;
}

static void install_snapshot(struct raft *r, const struct raft_msg *m, u64 now_us)
{
	g_autoptr(GBytes) state = g_bytes_new(r->incoming.bytes->data, r->incoming.bytes->len);

	raft_discard_partial_snapshot(r);
	if (m->term > r->term) {
		r->term = m->term;
		r->vote = 0;
	}
	r->ops->save_snapshot(r, m->index, m->log_term, &m->members, state);
	raft_reset_log(r, m->index, m->log_term, &m->members, state);
	/* A replica whose role was RAFT_FORMING now belongs to the group. */
	follow_leader(r, m, now_us);
	r->ops->restore(r, m->index, state);
}

/* Returns whether the log contains the snapshot's last entry, which is committed. */
static bool has_snapshot(const struct raft *r, const struct raft_msg *m)
{
	return r->role != RAFT_FORMING && (m->index <= r->commit || log_matches(r, m));
}

static void handle_install(struct raft *r, const struct raft_msg *m, struct raft_msg *reply,
			   u64 now_us)
{
	if (r->role != RAFT_FORMING)
		follow_leader(r, m, now_us);
	if (has_snapshot(r, m)) {
		set_commit(r, m->index);
		raft_discard_partial_snapshot(r);
	} else if (append_chunk(r, m)) {
		install_snapshot(r, m, now_us);
	} else {
		reply->term = m->term;
		reply->index = m->index;
		reply->offset = r->incoming.bytes->len;
		return;
	}
	reply->index = r->commit;
	reply->is_ok = true;
}

void raft_on_install_snapshot(struct raft *r, const struct raft_msg *m, u64 now_us)
{
	struct raft_msg reply = { .type = RAFT_INSTALL_SNAPSHOT_REPLY, .round = m->round };

	if (m->total > RAFT_SNAPSHOT_MAX_BYTES || m->to_replica != r->replica) {
		ctr_inc(CTR_RAFT_BAD);
		return;
	}
	if (m->term >= r->term) {
		handle_install(r, m, &reply, now_us);
		note_applied(r);
	}
	raft_send(r, m->from, &reply);
}
