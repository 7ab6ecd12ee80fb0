/* Leader side of replication: AppendEntries, InstallSnapshot, commit index, read index. */
#include "control/raft_impl.h"

#include "lib/err.h"

#include <stdlib.h>

static int compare_u64_descending(const void *a, const void *b)
{
	u64 x = *(const u64 *)a;
	u64 y = *(const u64 *)b;

	return x > y ? -1 : x < y;
}

/*
 * Returns whether the log may hold what was proposed from outside. Until then there is nothing that
 * lost disks could lose, and the founders must be able to replace one of them.
 */
static bool may_hold_commands(const struct raft *r)
{
	if (r->snap_index > RAFT_FOUNDING_INDEX)
		return true;
	for (u64 i = r->snap_index + 1; i <= raft_last_index(r); i++)
		if (raft_entry_at(r, i)->kind == RAFT_COMMAND)
			return true;
	return false;
}

/* Returns the highest index that enough voters have synced for it to be committed. */
static u64 quorum_index(struct raft *r)
{
	u64 match[RAFT_MEMBERS_MAX];
	u32 copies_min = may_hold_commands(r) ? r->copies_min : 0;
	u32 n = 0;

	for (u32 i = 0; i < r->members.n; i++)
		if (r->members.m[i].is_voter)
			match[n++] = r->members.m[i].id == r->id ? r->synced_index :
								   r->progress[i].match;
	if (!n)
		return 0;
	qsort(match, n, sizeof(match[0]), compare_u64_descending);
	return match[MAX(raft_quorum(r), MIN(copies_min, n)) - 1];
}

static void send_timeout_now(struct raft *r, u32 to)
{
	struct raft_msg m = { .type = RAFT_TIMEOUT_NOW };

	raft_send(r, to, &m);
}

/* A leader that was removed transfers leadership to the voter with the highest match index. */
static void hand_over_and_step_down(struct raft *r, u64 now_us)
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

static bool is_sending(struct raft *r, u32 pos)
{
	return r->ops->is_sending && r->ops->is_sending(r, r->members.m[pos].id);
}

/* Sends one chunk of the snapshot; the next is sent when this one is acknowledged. */
static void send_snapshot_chunk(struct raft *r, u32 pos, u64 now_us)
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
	g_autoptr(GBytes) chunk = NULL;

	if (p->snapshot_index != r->snap_index) {
		p->snapshot_index = r->snap_index;
		p->snapshot_offset = 0;
		p->chunk_sent_us = 0;
	}
	if (p->chunk_sent_us && is_sending(r, pos))
		p->chunk_sent_us = now_us;
	if (p->chunk_sent_us && now_us - p->chunk_sent_us < RAFT_CHUNK_RESEND_US)
		return;
	m.is_ordered = true;
	m.offset = MIN(p->snapshot_offset, m.total);
	chunk = g_bytes_new_from_bytes(r->snap_state, m.offset,
				       MIN(r->chunk_bytes, m.total - m.offset));
	m.snapshot = chunk;
	p->chunk_sent_us = now_us;
	raft_send(r, r->members.m[pos].id, &m);
}

/* Returns entries from FIRST on, up to the limits of one message. */
static GPtrArray *make_batch(const struct raft *r, u64 first)
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

/* Returns the bytes of the entries that the member was sent and has not acknowledged. */
static u64 unacknowledged_bytes(const struct raft *r, const struct raft_progress *p)
{
	u64 bytes = 0;

	for (u64 i = MAX(p->match, r->base_index) + 1; !p->is_probing && i < p->next; i++)
		bytes += raft_entry_bytes(raft_entry_at(r, i));
	return bytes;
}

/* Sends AppendEntries with the entries after PREVIOUS. Returns how many it contains. */
static u32 send_append(struct raft *r, u32 pos, u64 previous, bool is_empty)
{
	g_autoptr(GPtrArray) batch = is_empty ? g_ptr_array_new() : make_batch(r, previous + 1);
	struct raft_msg m = { .type = RAFT_APPEND_ENTRIES,
			      .index = previous,
			      .log_term = raft_term_at(r, previous),
			      .commit = r->commit,
			      .round = r->round,
			      .entries = batch,
			      .is_ordered = true,
			      .unacknowledged = unacknowledged_bytes(r, &r->progress[pos]) };

	raft_send(r, r->members.m[pos].id, &m);
	return batch->len;
}

/* Sends AppendEntries without entries, which is not held up by the ordered messages. */
static void send_alive(struct raft *r, u32 pos, u64 previous, bool is_overtaking)
{
	struct raft_msg m = { .type = RAFT_APPEND_ENTRIES,
			      .index = previous,
			      .log_term = raft_term_at(r, previous),
			      .commit = r->commit,
			      .round = r->round,
			      .is_overtaking = is_overtaking };

	raft_send(r, r->members.m[pos].id, &m);
}

static bool needs_snapshot(const struct raft *r, u32 pos)
{
	return r->progress[pos].next <= r->base_index;
}

static bool is_window_full(const struct raft *r, const struct raft_progress *p)
{
	return p->next > p->match + RAFT_INFLIGHT_ENTRIES_MAX ||
	       unacknowledged_bytes(r, p) >= RAFT_INFLIGHT_BYTES_MAX;
}

/* Returns whether the member can be sent entries without awaiting earlier replies. */
static bool is_replicating(const struct raft *r, u32 pos)
{
	return r->members.m[pos].id != r->id && !r->progress[pos].is_probing &&
	       !needs_snapshot(r, pos);
}

/*
 * Sends the commit index to members that have all entries. They would otherwise receive it only
 * with the next heartbeat, which delays their replies and the state that they serve.
 */
static void broadcast_commit(struct raft *r)
{
	for (u32 i = 0; i < r->members.n; i++) {
		const struct raft_progress *p = &r->progress[i];

		if (is_replicating(r, i) && p->next > raft_last_index(r))
			send_append(r, i, p->next - 1, true);
	}
}

static void advance_commit(struct raft *r, u64 now_us)
{
	u64 index = quorum_index(r);

	/* Only an entry of the current term commits the entries before it. */
	if (index <= r->commit || raft_term_at(r, index) != r->term)
		return;
	r->commit = index;
	raft_apply_committed(r);
	broadcast_commit(r);
	if (r->role == RAFT_LEADER && !raft_is_voter(r) && r->members_index <= r->commit)
		hand_over_and_step_down(r, now_us);
}

/* Sends missing entries or the snapshot. Entries count as received until a reply rejects them. */
static void send_missing(struct raft *r, u32 pos, u64 now_us)
{
	struct raft_progress *p = &r->progress[pos];
	u32 n;

	if (needs_snapshot(r, pos)) {
		send_snapshot_chunk(r, pos, now_us);
		return;
	}
	n = send_append(r, pos, p->next - 1, !p->is_probing && is_window_full(r, p));
	if (!p->is_probing)
		p->next += n;
}

/*
 * A member that needs the snapshot gets an empty AppendEntries, which checks that it still does.
 * One that entries are on their way to gets what overtakes them, after an entry that it is known to
 * have.
 */
static void send_heartbeat(struct raft *r, u32 pos, u64 now_us)
{
	struct raft_progress *p = &r->progress[pos];

	if (needs_snapshot(r, pos)) {
		if (p->chunk_sent_us && is_sending(r, pos))
			p->chunk_sent_us = now_us;
		send_alive(r, pos, r->snap_index, false);
	} else if (is_sending(r, pos)) {
		send_alive(r, pos, MAX(p->match, r->base_index), true);
	} else {
		send_missing(r, pos, now_us);
	}
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

/* Sends new entries to members being replicated to; others get them after their next reply. */
static void send_new_entries(struct raft *r, u64 now_us)
{
	for (u32 i = 0; i < r->members.n; i++) {
		const struct raft_progress *p = &r->progress[i];

		if (is_replicating(r, i) && p->next <= raft_last_index(r) && !is_window_full(r, p))
			send_missing(r, i, now_us);
	}
}

static void complete_reads(struct raft *r)
{
	while (r->role == RAFT_LEADER && r->reads->len) {
		struct raft_pending_read read =
			g_array_index(r->reads, struct raft_pending_read, 0);
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
	/* Send first, so that followers write in parallel with this replica. */
	if (r->is_round_due)
		raft_send_heartbeats(r, now_us);
	else
		send_new_entries(r, now_us);
	raft_sync_log(r);
	advance_commit(r, now_us);
	complete_reads(r);
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
	struct raft_pending_read read = { .id = read_id, .round = r->round + 1 };

	(void)now_us;
	if (r->role != RAFT_LEADER)
		return ERR_NOTLEADER;
	/* Until an entry of its term commits, a leader may not know the latest commit index. */
	if (raft_term_at(r, r->commit) != r->term)
		return ERR_BUSY;
	g_array_append_val(r->reads, read);
	r->is_flush_due = true;
	r->is_round_due = true;
	return 0;
}

static void try_finish_transfer(struct raft *r, u32 pos)
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
	try_finish_transfer(r, raft_member_position(r, member));
	return 0;
}

static bool may_succeed(const struct raft *r, u32 pos, u64 now_us)
{
	const struct raft_member *m = &r->members.m[pos];

	return m->is_voter && m->id != r->id &&
	       now_us - r->progress[pos].heard_us < RAFT_ELECTION_TIMEOUT_MIN_US;
}

/* Of logs that are equally long, that of the member heard last: another may have ended just now. */
static bool is_better_successor(const struct raft_progress *p, const struct raft_progress *other)
{
	if (!other || p->match != other->match)
		return !other || p->match > other->match;
	return p->heard_us > other->heard_us;
}

int raft_hand_over(struct raft *r, u64 now_us)
{
	const struct raft_progress *best = NULL;
	u32 to = 0;

	for (u32 i = 0; i < r->members.n; i++) {
		const struct raft_progress *p = &r->progress[i];

		if (!may_succeed(r, i, now_us) || !is_better_successor(p, best))
			continue;
		best = p;
		to = r->members.m[i].id;
	}
	return raft_transfer_leadership(r, to, now_us);
}

bool raft_is_handing_over(const struct raft *r)
{
	return r->role == RAFT_LEADER ? r->transfer_to : !r->leader;
}

/*
 * Records a reply. Returns the sender's progress if the reply is for this term
 * and from the replica id that the membership records, else NULL.
 */
static struct raft_progress *record_reply(struct raft *r, const struct raft_msg *m, u64 now_us)
{
	struct raft_member *member = raft_member_find(&r->members, m->from);
	struct raft_progress *p;

	if (!member)
		return NULL;
	p = &r->progress[raft_member_position(r, member)];
	p->last_reply_replica = m->replica;
	p->last_reply_us = now_us;
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
	complete_reads(r);
	return r->role == RAFT_LEADER ? p : NULL;
}

/* Records that the member has synced the log up to INDEX. */
static void record_match(struct raft *r, struct raft_progress *p, u64 index, u64 now_us)
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
	try_finish_transfer(r, pos);
	if (p->next <= raft_last_index(r) && !is_window_full(r, p))
		send_missing(r, pos, now_us);
}

/* Processes a successful reply; for a rejection returns the member's progress, else NULL. */
static struct raft_progress *process_reply(struct raft *r, const struct raft_msg *m, u64 now_us)
{
	struct raft_progress *p = record_reply(r, m, now_us);

	if (!p || m->index > raft_last_index(r))
		return NULL;
	if (!m->is_ok)
		return p;
	record_match(r, p, m->index, now_us);
	return NULL;
}

void raft_on_append_entries_reply(struct raft *r, const struct raft_msg *m, u64 now_us)
{
	struct raft_progress *p;

	/* It says nothing about the entries that are on their way. */
	if (m->is_overtaking) {
		record_reply(r, m, now_us);
		return;
	}
	p = process_reply(r, m, now_us);
	if (!p)
		return;
	p->next = MAX(p->match + 1, MIN(m->index + 1, p->next - 1));
	p->is_probing = true;
	send_missing(r, (u32)(p - r->progress), now_us);
}

void raft_on_install_snapshot_reply(struct raft *r, const struct raft_msg *m, u64 now_us)
{
	struct raft_progress *p = process_reply(r, m, now_us);

	if (!p)
		return;
	/* Ignore a reply for an earlier chunk or for another snapshot. */
	if (m->index != p->snapshot_index || m->offset == p->snapshot_offset)
		return;
	p->snapshot_offset = m->offset;
	p->chunk_sent_us = 0;
	if (needs_snapshot(r, (u32)(p - r->progress)))
		send_snapshot_chunk(r, (u32)(p - r->progress), now_us);
}
