/* Elections: pre-vote, vote, leadership transfer. */
#include "control/raft_impl.h"

#include "lib/ctr.h"

static u64 random_us(struct raft *r, u64 min_us, u64 max_us)
{
	return min_us + rng_below(&r->rng, (u32)(max_us - min_us));
}

void raft_reset_election_timeout(struct raft *r, u64 now_us)
{
	r->election_due_us =
		now_us + random_us(r, RAFT_ELECTION_TIMEOUT_MIN_US, RAFT_ELECTION_TIMEOUT_MAX_US);
}

void raft_reset_prevote_timeout(struct raft *r, u64 now_us)
{
	r->election_due_us =
		now_us + random_us(r, RAFT_PREVOTE_TIMEOUT_MIN_US, RAFT_PREVOTE_TIMEOUT_MAX_US);
}

static void save_state(struct raft *r)
{
	r->ops->save_state(r, r->term, r->vote);
}

static void request_votes(struct raft *r, enum raft_msg_type type, u64 term, bool is_transfer)
{
	for (u32 i = 0; i < r->members.n; i++) {
		struct raft_msg m = { .type = type,
				      .term = term,
				      .index = raft_last_index(r),
				      .log_term = raft_term_at(r, raft_last_index(r)),
				      .is_transfer = is_transfer };

		if (r->members.m[i].is_voter && r->members.m[i].id != r->id)
			raft_send(r, r->members.m[i].id, &m);
	}
}

static void become_leader(struct raft *r, u64 now_us)
{
	u64 index;

	ctr_inc(CTR_BECAME_LEADER);
	r->role = RAFT_LEADER;
	r->leader = r->id;
	r->transfer_to = 0;
	for (u32 i = 0; i < r->members.n; i++) {
		struct raft_progress *p = &r->progress[i];

		p->next = raft_last_index(r) + 1;
		p->match = 0;
		p->heard_us = now_us;
		p->round = 0;
		p->last_reply_round = 0;
		p->is_probing = true;
		p->snapshot_index = 0;
		p->leaving_until_us = 0;
	}
	r->round = 0;
	r->heartbeat_due_us = now_us;
	raft_propose(r, RAFT_NOOP, NULL, now_us, &index);
}

static void start_campaign(struct raft *r, enum raft_role role)
{
	r->role = role;
	r->leader = 0;
	r->nvotes = 1;
	r->votes[0] = r->id;
}

static void become_candidate(struct raft *r, bool is_transfer, u64 now_us)
{
	ctr_inc(CTR_ELECTION);
	start_campaign(r, RAFT_CANDIDATE);
	raft_reset_election_timeout(r, now_us);
	r->term++;
	r->vote = r->id;
	save_state(r);
	if (r->nvotes >= raft_quorum(r))
		become_leader(r, now_us);
	else
		request_votes(r, RAFT_VOTE, r->term, is_transfer);
}

void raft_become_precandidate(struct raft *r, u64 now_us)
{
	start_campaign(r, RAFT_PRECANDIDATE);
	raft_reset_prevote_timeout(r, now_us);
	if (r->nvotes >= raft_quorum(r))
		become_candidate(r, false, now_us);
	else
		request_votes(r, RAFT_PREVOTE, r->term + 1, false);
}

static void fail_reads(struct raft *r)
{
	g_autoptr(GArray) old = r->reads;

	r->reads = g_array_new(FALSE, TRUE, sizeof(struct raft_pending_read));
	for (guint i = 0; i < old->len; i++)
		r->ops->read_ready(r, g_array_index(old, struct raft_pending_read, i).id, false);
}

static void stop_leading(struct raft *r)
{
	ctr_inc(CTR_STEPPED_DOWN);
	r->transfer_to = 0;
	r->is_flush_due = false;
	r->is_round_due = false;
	/* Unsynced entries may have been sent to other members already. */
	raft_sync_log(r);
}

void raft_become_follower(struct raft *r, u64 term, u32 leader, u64 now_us)
{
	bool was_leader = r->role == RAFT_LEADER;

	if (was_leader)
		stop_leading(r);
	r->role = RAFT_FOLLOWER;
	r->leader = leader;
	if (term > r->term) {
		r->term = term;
		r->vote = 0;
		save_state(r);
	}
	if (was_leader)
		fail_reads(r);
	raft_reset_election_timeout(r, now_us);
}

static bool is_log_up_to_date(const struct raft *r, const struct raft_msg *m)
{
	u64 last = raft_last_index(r);
	u64 last_term = raft_term_at(r, last);

	if (m->log_term != last_term)
		return m->log_term > last_term;
	return m->index >= last;
}

/* Returns whether a leader is known to be alive, in which case votes are refused. */
static bool has_live_leader(const struct raft *r, u64 now_us)
{
	if (r->role == RAFT_LEADER)
		return true;
	return r->leader && now_us - r->leader_heard_us < RAFT_ELECTION_TIMEOUT_MIN_US;
}

/*
 * The sender need not be in the membership known here, since it may have been
 * added by entries that this replica lacks. The log check is then sufficient.
 */
void raft_on_prevote(struct raft *r, const struct raft_msg *m, u64 now_us)
{
	struct raft_msg reply = { .type = RAFT_PREVOTE_REPLY, .term = m->term };

	reply.is_ok = m->term > r->term && is_log_up_to_date(r, m) && !has_live_leader(r, now_us);
	if (!reply.is_ok)
		reply.term = r->term;
	raft_send(r, m->from, &reply);
}

void raft_on_vote(struct raft *r, const struct raft_msg *m, u64 now_us)
{
	struct raft_msg reply = { .type = RAFT_VOTE_REPLY };

	if (has_live_leader(r, now_us) && !m->is_transfer)
		return;
	if (m->term > r->term)
		raft_become_follower(r, m->term, 0, now_us);
	reply.is_ok =
		m->term == r->term && (!r->vote || r->vote == m->from) && is_log_up_to_date(r, m);
	if (reply.is_ok && !r->vote) {
		r->vote = m->from;
		save_state(r);
		raft_reset_election_timeout(r, now_us);
	}
	raft_send(r, m->from, &reply);
}

/* Counts each voter's vote once. Returns whether a quorum has voted for this replica. */
static bool count_vote(struct raft *r, const struct raft_msg *m)
{
	struct raft_member *member = raft_verified_sender(r, m);

	if (!m->is_ok || !member || !member->is_voter)
		return false;
	for (u32 i = 0; i < r->nvotes; i++)
		if (r->votes[i] == m->from)
			return false;
	r->votes[r->nvotes++] = m->from;
	return r->nvotes >= raft_quorum(r);
}

void raft_on_prevote_reply(struct raft *r, const struct raft_msg *m, u64 now_us)
{
	if (!m->is_ok && m->term > r->term) {
		raft_become_follower(r, m->term, 0, now_us);
		return;
	}
	if (r->role == RAFT_PRECANDIDATE && m->term == r->term + 1 && count_vote(r, m))
		become_candidate(r, false, now_us);
}

void raft_on_vote_reply(struct raft *r, const struct raft_msg *m, u64 now_us)
{
	if (m->term > r->term) {
		raft_become_follower(r, m->term, 0, now_us);
		return;
	}
	if (r->role == RAFT_CANDIDATE && m->term == r->term && count_vote(r, m))
		become_leader(r, now_us);
}

/* The leader itself asks for the election, so it goes ahead although the leader is alive. */
void raft_on_timeout_now(struct raft *r, const struct raft_msg *m, u64 now_us)
{
	if (m->term == r->term && r->role != RAFT_LEADER && raft_is_voter(r) && !r->stands_for_none)
		become_candidate(r, true, now_us);
}
