/* The leader's side of replication: entries, snapshots in parts, commit, reads. */
#include "control/raft_impl.h"

#include "lib/err.h"

#include <stdlib.h>

static int cmp_u64_down(const void *a, const void *b)
{
	u64 x = *(const u64 *)a;
	u64 y = *(const u64 *)b;

	return x > y ? -1 : x < y;
}

/* The highest index that a quorum holds on disk. */
static u64 quorum_index(struct raft *r)
{
	u64 match[RAFT_MEMBERS_MAX];
	u32 n = 0;

	for (u32 i = 0; i < r->members.n; i++)
		if (r->members.m[i].is_voter)
			match[n++] = r->members.m[i].id == r->id ? r->synced_index :
								   r->progress[i].match;
	if (!n)
		return 0;
	qsort(match, n, sizeof(match[0]), cmp_u64_down);
	return match[MAX(raft_quorum(r), MIN(r->copies_min, n)) - 1];
}

static void send_timeout_now(struct raft *r, u32 to)
{
	struct raft_msg m = { .type = RAFT_TIMEOUT_NOW };

	raft_send(r, to, &m);
}

/* A leader that was removed hands over to the voter that holds most. */
static void retire(struct raft *r, u64 now_us)
{
	u32 best = RAFT_MEMBERS_MAX;

	for (u32 i = 0; i < r->members.n; i++)
		if (r->members.m[i].is_voter &&
		    (best == RAFT_MEMBERS_MAX || r->progress[i].match > r->progress[best].match))
			best = i;
	if (best < RAFT_MEMBERS_MAX)
		send_timeout_now(r, r->members.m[best].id);
	raft_become_follower(r, r->term, 0, now_us);
}

/* The state is sent in parts; the next part goes out when the last one is answered. */
static void send_install(struct raft *r, u32 pos, u64 now_us)
{
	struct raft_progress *p = &r->progress[pos];
	struct raft_msg m = { .type = RAFT_INSTALL_SNAPSHOT,
			      .index = r->snap_index,
			      .log_term = r->snap_term,
			      .commit = r->commit,
			      .round = r->round,
			      .members = r->snap_members,
			      .to_replica = r->members.m[pos].replica,
			      .total = g_bytes_get_size(r->snap_state) };
	g_autoptr(GBytes) part = NULL;

	if (p->snapshot_index != r->snap_index) {
		p->snapshot_index = r->snap_index;
		p->snapshot_offset = 0;
		p->chunk_sent_us = 0;
	}
	if (p->chunk_sent_us && now_us - p->chunk_sent_us < RAFT_CHUNK_RESEND_US)
		return;
	m.offset = MIN(p->snapshot_offset, m.total);
	part = g_bytes_new_from_bytes(r->snap_state, m.offset,
				      MIN(r->chunk_bytes, m.total - m.offset));
	m.snapshot = part;
	p->chunk_sent_us = now_us;
	raft_send(r, r->members.m[pos].id, &m);
}

/* Entries from FIRST on, as many as one message may hold. */
static GPtrArray *take_batch(const struct raft *r, u64 first)
{
	GPtrArray *batch = g_ptr_array_new();
	gsize bytes = 0;

	for (u64 i = first; i <= raft_last_index(r) && batch->len < RAFT_BATCH_ENTRIES_MAX; i++) {
		const struct raft_entry *e = raft_entry_at(r, i);

		bytes += g_bytes_get_size(e->data);
		if (batch->len && bytes > RAFT_BATCH_BYTES_MAX)
			break;
		g_ptr_array_add(batch, (gpointer)e);
	}
	return batch;
}

/* An append after PREVIOUS; returns the number of entries in it. */
static u32 send_after(struct raft *r, u32 pos, u64 previous, bool is_empty)
{
	g_autoptr(GPtrArray) batch = is_empty ? g_ptr_array_new() : take_batch(r, previous + 1);
	struct raft_msg m = { .type = RAFT_APPEND_ENTRIES,
			      .index = previous,
			      .log_term = raft_term_at(r, previous),
			      .commit = r->commit,
			      .round = r->round,
			      .entries = batch };

	raft_send(r, r->members.m[pos].id, &m);
	return batch->len;
}

static bool needs_snapshot(const struct raft *r, u32 pos)
{
	return r->progress[pos].next <= r->base_index;
}

static bool is_window_full(const struct raft_progress *p)
{
	return p->next > p->match + RAFT_INFLIGHT_ENTRIES_MAX;
}

/* Entries that it gets next follow those that it was sent before. */
static bool keeps_up(const struct raft *r, u32 pos)
{
	return r->members.m[pos].id != r->id && !r->progress[pos].is_probing &&
	       !needs_snapshot(r, pos);
}

/*
 * Members that lack no entry would hear of it with the next heartbeat only, and what they
 * answer or serve waits for it.
 */
static void tell_commit(struct raft *r)
{
	for (u32 i = 0; i < r->members.n; i++) {
		const struct raft_progress *p = &r->progress[i];

		if (keeps_up(r, i) && p->next > raft_last_index(r))
			send_after(r, i, p->next - 1, true);
	}
}

static void advance_commit(struct raft *r, u64 now_us)
{
	u64 index = quorum_index(r);

	/* Only an entry of the own term proves that the log before it is final. */
	if (index <= r->commit || raft_term_at(r, index) != r->term)
		return;
	r->commit = index;
	raft_apply_committed(r);
	tell_commit(r);
	if (r->role == RAFT_LEADER && !raft_is_voter(r) && r->members_index <= r->commit)
		retire(r, now_us);
}

/* Sends what the member lacks. Entries sent count as received until an answer says otherwise. */
static void send_lacking(struct raft *r, u32 pos, u64 now_us)
{
	struct raft_progress *p = &r->progress[pos];
	u32 n;

	if (needs_snapshot(r, pos)) {
		send_install(r, pos, now_us);
		return;
	}
	n = send_after(r, pos, p->next - 1, !p->is_probing && is_window_full(p));
	if (!p->is_probing)
		p->next += n;
}

/* A member that needs the snapshot gets an empty append, which asks whether it still does. */
static void send_heartbeat(struct raft *r, u32 pos, u64 now_us)
{
	if (needs_snapshot(r, pos))
		send_after(r, pos, r->snap_index, true);
	else
		send_lacking(r, pos, now_us);
}

void raft_send_heartbeats(struct raft *r, u64 now_us)
{
	r->round = MAX(r->round + 1, now_us);
	r->is_round_due = false;
	r->heartbeat_due_us = now_us + RAFT_HEARTBEAT_US;
	for (u32 i = 0; i < r->members.n; i++)
		if (r->members.m[i].id != r->id)
			send_heartbeat(r, i, now_us);
}

/* New entries go to the members that keep up; the others get them in answer to their replies. */
static void send_new(struct raft *r, u64 now_us)
{
	for (u32 i = 0; i < r->members.n; i++) {
		const struct raft_progress *p = &r->progress[i];

		if (keeps_up(r, i) && p->next <= raft_last_index(r) && !is_window_full(p))
			send_lacking(r, i, now_us);
	}
}

static void finish_reads(struct raft *r)
{
	while (r->role == RAFT_LEADER && r->reads->len) {
		struct raft_read_index read = g_array_index(r->reads, struct raft_read_index, 0);
		u32 acks = raft_is_voter(r) ? 1 : 0;

		for (u32 i = 0; i < r->members.n; i++)
			if (r->members.m[i].is_voter && r->members.m[i].id != r->id)
				acks += r->progress[i].round >= read.round;
		if (acks < raft_quorum(r))
			return;
		g_array_remove_index(r->reads, 0);
		r->ops->read_ready(r, read.id, true);
	}
}

void raft_flush(struct raft *r, u64 now_us)
{
	r->is_flush_due = false;
	/* The others write while this replica does. */
	if (r->is_round_due)
		raft_send_heartbeats(r, now_us);
	else
		send_new(r, now_us);
	raft_sync_log(r);
	advance_commit(r, now_us);
	finish_reads(r);
}

int raft_propose(struct raft *r, enum raft_entry_kind kind, GBytes *data, u64 now_us, u64 *index)
{
	(void)now_us;
	if (r->role != RAFT_LEADER)
		return ERR_NOTLEADER;
	*index = raft_last_index(r) + 1;
	raft_append_entry(r, raft_entry_new(*index, r->term, kind, data));
	r->is_flush_due = true;
	return 0;
}

int raft_read_index(struct raft *r, u64 read_id, u64 now_us)
{
	struct raft_read_index read = { .id = read_id, .round = r->round + 1 };

	(void)now_us;
	if (r->role != RAFT_LEADER)
		return ERR_NOTLEADER;
	/* Before that, the leader may not know of entries that were committed earlier. */
	if (raft_term_at(r, r->commit) != r->term)
		return ERR_BUSY;
	g_array_append_val(r->reads, read);
	r->is_flush_due = true;
	r->is_round_due = true;
	return 0;
}

static void finish_transfer(struct raft *r, u32 pos)
{
	if (r->transfer_to == r->members.m[pos].id && r->progress[pos].match == raft_last_index(r))
		send_timeout_now(r, r->transfer_to);
}

int raft_transfer_leadership(struct raft *r, u32 to, u64 now_us)
{
	struct raft_member *member = raft_member_find(&r->members, to);

	if (r->role != RAFT_LEADER)
		return ERR_NOTLEADER;
	if (!member || !member->is_voter || to == r->id)
		return ERR_NOTFOUND;
	r->transfer_to = to;
	r->transfer_due_us = now_us + RAFT_TRANSFER_TIMEOUT_US;
	finish_transfer(r, raft_member_position(r, member));
	return 0;
}

/*
 * Notes that the sender was heard. Returns its progress when it is the data
 * folder that the membership names and the answer is for this term, else NULL.
 */
static struct raft_progress *hear_member(struct raft *r, const struct raft_msg *m, u64 now_us)
{
	struct raft_member *any = raft_member_find(&r->members, m->from);
	struct raft_progress *p;

	if (!any)
		return NULL;
	p = &r->progress[raft_member_position(r, any)];
	p->last_reply_replica = m->replica;
	p->seen_us = now_us;
	if (r->role == RAFT_LEADER && m->round <= r->round)
		p->last_reply_round = m->round;
	if (!raft_verified_sender(r, m))
		return NULL;
	if (m->term > r->term) {
		raft_become_follower(r, m->term, 0, now_us);
		return NULL;
	}
	if (r->role != RAFT_LEADER || m->term != r->term)
		return NULL;
	p->heard_us = now_us;
	p->round = MAX(p->round, m->round);
	finish_reads(r);
	return r->role == RAFT_LEADER ? p : NULL;
}

/* The member holds the log up to INDEX on disk. */
static void take_match(struct raft *r, struct raft_progress *p, u64 index, u64 now_us)
{
	u32 pos = (u32)(p - r->progress);

	p->match = MAX(p->match, index);
	p->next = MAX(p->next, p->match + 1);
	p->is_probing = false;
	if (!needs_snapshot(r, pos))
		p->snapshot_index = 0;
	advance_commit(r, now_us);
	if (r->role != RAFT_LEADER)
		return;
	finish_transfer(r, pos);
	if (p->next <= raft_last_index(r) && !is_window_full(p))
		send_lacking(r, pos, now_us);
}

/* Takes an answer that says yes; returns the member's progress when it says no. */
static struct raft_progress *hear_refusal(struct raft *r, const struct raft_msg *m, u64 now_us)
{
	struct raft_progress *p = hear_member(r, m, now_us);

	if (!p || m->index > raft_last_index(r))
		return NULL;
	if (!m->is_ok)
		return p;
	take_match(r, p, m->index, now_us);
	return NULL;
}

void raft_on_append_entries_reply(struct raft *r, const struct raft_msg *m, u64 now_us)
{
	struct raft_progress *p = hear_refusal(r, m, now_us);

	if (!p)
		return;
	p->next = MAX(p->match + 1, MIN(m->index + 1, p->next - 1));
	p->is_probing = true;
	send_lacking(r, (u32)(p - r->progress), now_us);
}

void raft_on_install_snapshot_reply(struct raft *r, const struct raft_msg *m, u64 now_us)
{
	struct raft_progress *p = hear_refusal(r, m, now_us);

	if (!p)
		return;
	/* An answer for the part sent before, or for another snapshot, moves nothing. */
	if (m->index != p->snapshot_index || m->offset == p->snapshot_offset)
		return;
	p->snapshot_offset = m->offset;
	p->chunk_sent_us = 0;
	if (needs_snapshot(r, (u32)(p - r->progress)))
		send_install(r, (u32)(p - r->progress), now_us);
}
