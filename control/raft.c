/* Entry points: initialization, loading from disk, messages, ticks. */
#include "control/raft_impl.h"

#include "lib/ctr.h"
#include "lib/err.h"

#include <string.h>

void raft_init(struct raft *r, const struct raft_ops *ops, void *arg, u32 id, u64 replica, u64 seed,
	       u64 now_us)
{
	memset(r, 0, sizeof(*r));
	r->ops = ops;
	r->arg = arg;
	r->id = id;
	r->replica = replica;
	r->rng.state = seed;
	r->role = RAFT_FORMING;
	r->chunk_bytes = RAFT_CHUNK_BYTES;
	r->retained_entries_max = RAFT_RETAINED_ENTRIES_MAX;
	r->log = g_ptr_array_new_with_free_func((GDestroyNotify)raft_entry_free);
	r->reads = g_array_new(FALSE, TRUE, sizeof(struct raft_pending_read));
	/* A live leader sends a heartbeat before most voters would grant a pre-vote. */
	raft_reset_prevote_timeout(r, now_us);
}

void raft_clear(struct raft *r)
{
	g_ptr_array_unref(r->log);
	g_array_unref(r->reads);
	raft_discard_partial_snapshot(r);
	if (r->snap_state)
		g_bytes_unref(r->snap_state);
}

/* Loading */

void raft_load_state(struct raft *r, u64 term, u32 vote)
{
	r->term = term;
	r->vote = vote;
}

void raft_load_snapshot(struct raft *r, u64 index, u64 term, const struct raft_members *members,
			GBytes *state)
{
	r->term = MAX(r->term, term);
	raft_reset_log(r, index, term, members, state);
	r->role = RAFT_FOLLOWER;
	r->ops->restore(r, index, state);
}

void raft_load_entry(struct raft *r, const struct raft_entry *e)
{
	/* An entry overwrites those loaded before at its index and after it. */
	if (e->index <= raft_last_index(r))
		raft_truncate(r, MAX(e->index, r->base_index + 1));
	if (e->index <= r->base_index)
		return;
	raft_append_entry(r, raft_entry_new(e->index, e->term, e->kind, e->data));
	r->synced_index = raft_last_index(r);
}

/* Messages */

void raft_send(struct raft *r, u32 to, struct raft_msg *m)
{
	m->from = r->id;
	m->replica = r->replica;
	if (!m->term)
		m->term = r->term;
	r->ops->send(r, to, m);
}

static void step_formed(struct raft *r, const struct raft_msg *m, u64 now_us)
{
	switch (m->type) {
	case RAFT_PREVOTE:
		raft_on_prevote(r, m, now_us);
		break;
	case RAFT_PREVOTE_REPLY:
		raft_on_prevote_reply(r, m, now_us);
		break;
	case RAFT_VOTE:
		raft_on_vote(r, m, now_us);
		break;
	case RAFT_VOTE_REPLY:
		raft_on_vote_reply(r, m, now_us);
		break;
	case RAFT_APPEND_ENTRIES_REPLY:
		raft_on_append_entries_reply(r, m, now_us);
		break;
	case RAFT_INSTALL_SNAPSHOT_REPLY:
		raft_on_install_snapshot_reply(r, m, now_us);
		break;
	case RAFT_TIMEOUT_NOW:
		raft_on_timeout_now(r, m, now_us);
		break;
	default:
		ctr_inc(CTR_RAFT_BAD);
		break;
	}
}

void raft_step(struct raft *r, const struct raft_msg *m, u64 now_us)
{
	/* Two processes are configured with the same id. */
	if (m->from == r->id) {
		ctr_inc(CTR_RAFT_BAD);
		return;
	}
	if (m->type == RAFT_FORM)
		raft_on_form(r, m, now_us);
	else if (m->type == RAFT_FORMED)
		raft_on_formed(r, m, now_us);
	else if (m->type == RAFT_APPEND_ENTRIES)
		raft_on_append_entries(r, m, now_us);
	else if (m->type == RAFT_INSTALL_SNAPSHOT)
		raft_on_install_snapshot(r, m, now_us);
	else if (r->role != RAFT_FORMING)
		step_formed(r, m, now_us);
}

/* Time */

static void tick_leader(struct raft *r, u64 now_us)
{
	u32 voters = raft_count_active_voters(r, RAFT_REPLY_ARRIVED, RAFT_ELECTION_TIMEOUT_MIN_US,
					      now_us);

	if (voters < raft_quorum(r)) {
		raft_become_follower(r, r->term, 0, now_us);
		return;
	}
	if (r->transfer_to && now_us >= r->transfer_due_us)
		r->transfer_to = 0;
	if (now_us >= r->heartbeat_due_us)
		raft_send_heartbeats(r, now_us);
	if (r->is_flush_due)
		raft_flush(r, now_us);
}

static void tick_follower(struct raft *r, u64 now_us)
{
	/*
	 * The process was stalled, by a slow sync for example. Handle the messages waiting in the
	 * sockets first, as they may include a heartbeat.
	 */
	if (now_us > r->election_due_us + 2 * RAFT_HEARTBEAT_US) {
		raft_reset_election_timeout(r, now_us);
		return;
	}
	if (raft_is_voter(r) && !r->stands_for_none) {
		raft_become_precandidate(r, now_us);
		return;
	}
	r->leader = 0;
	raft_reset_election_timeout(r, now_us);
}

void raft_tick(struct raft *r, u64 now_us)
{
	if (r->role == RAFT_LEADER)
		tick_leader(r, now_us);
	else if (now_us < r->election_due_us)
		return;
	else if (r->role == RAFT_FORMING)
		raft_tick_forming(r, now_us);
	else
		tick_follower(r, now_us);
}

u64 raft_next_due_us(const struct raft *r)
{
	if (r->role != RAFT_LEADER)
		return r->election_due_us;
	return r->is_flush_due ? 0 : r->heartbeat_due_us;
}

bool raft_is_fresh(const struct raft *r, u64 lease_us, u64 now_us)
{
	if (r->role == RAFT_FORMING)
		return false;
	/* Until an entry of the current term commits, the commit index may be out of date. */
	if (raft_term_at(r, r->commit) != r->term)
		return false;
	if (r->role == RAFT_LEADER)
		return raft_count_active_voters(r, RAFT_REPLY_ROUND, lease_us, now_us) >=
		       raft_quorum(r);
	return r->leader && r->caught_up_us && now_us < r->caught_up_us + lease_us;
}
