#include "control/raft.h"

#include "lib/ctr.h"
#include "lib/err.h"

#include <string.h>

static void become_follower(struct raft *r, u64 term, u32 leader, u64 now_us);
static void send_append(struct raft *r, u32 pos, u64 now_us);

static u64 random_timeout(struct raft *r)
{
	u32 spread = RAFT_ELECTION_MAX_US - RAFT_ELECTION_MIN_US;

	return RAFT_ELECTION_MIN_US + rng_below(&r->rng, spread);
}

static void reset_election(struct raft *r, u64 now_us)
{
	r->election_due_us = now_us + random_timeout(r);
}

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
	r->log = g_ptr_array_new_with_free_func((GDestroyNotify)raft_entry_free);
	r->reads = g_array_new(FALSE, TRUE, sizeof(struct raft_read));
	reset_election(r, now_us);
}

void raft_clear(struct raft *r)
{
	g_ptr_array_unref(r->log);
	g_array_unref(r->reads);
	if (r->snap_state)
		g_bytes_unref(r->snap_state);
}

/* Members */

static struct raft_member *self_member(struct raft *r)
{
	struct raft_member *m = raft_member_find(&r->members, r->id);

	return m && m->replica == r->replica ? m : NULL;
}

static bool is_voter(struct raft *r)
{
	struct raft_member *m = self_member(r);

	return m && m->is_voter;
}

static u32 voter_count(const struct raft *r)
{
	u32 n = 0;

	for (u32 i = 0; i < r->members.n; i++)
		n += r->members.m[i].is_voter;
	return n;
}

static u32 quorum(const struct raft *r)
{
	return voter_count(r) / 2 + 1;
}

/* The member that sent M, when M comes from the data folder that the membership names. */
static struct raft_member *true_member(struct raft *r, const struct raft_msg *m)
{
	struct raft_member *member = raft_member_find(&r->members, m->from);

	return member && member->replica == m->replica ? member : NULL;
}

static u32 position(const struct raft *r, const struct raft_member *member)
{
	return (u32)(member - r->members.m);
}

/* Keeps the progress of members that stay, by id. */
static void set_members(struct raft *r, const struct raft_members *next, u64 index)
{
	struct raft_progress old[RAFT_MEMBERS_MAX];
	struct raft_members before = r->members;

	memcpy(old, r->progress, sizeof(old));
	memset(r->progress, 0, sizeof(r->progress));
	r->members = *next;
	r->members_index = index;
	for (u32 i = 0; i < next->n; i++) {
		struct raft_member *was = raft_member_find(&before, next->m[i].id);

		r->progress[i].next = raft_last_index(r) + 1;
		if (was && was->replica == next->m[i].replica)
			r->progress[i] = old[was - before.m];
		if (was) {
			r->progress[i].seen_replica = old[was - before.m].seen_replica;
			r->progress[i].seen_us = old[was - before.m].seen_us;
		}
	}
}

/* The latest membership in the log, after a truncation. */
static void find_members(struct raft *r)
{
	for (u64 i = raft_last_index(r); i > r->snap_index; i--) {
		const struct raft_entry *e = raft_entry_at(r, i);
		struct raft_members m;

		if (e->kind == RAFT_MEMBERS && !raft_members_unpack(&m, e->data)) {
			set_members(r, &m, i);
			return;
		}
	}
	set_members(r, &r->snap_members, r->snap_index);
}

/* Messages */

static void send_msg(struct raft *r, u32 to, struct raft_msg *m)
{
	m->from = r->id;
	m->replica = r->replica;
	if (!m->term)
		m->term = r->term;
	r->ops->send(r, to, m);
}

static void save_state(struct raft *r)
{
	r->ops->save_state(r, r->term, r->vote);
}

/* Elections */

static void ask_votes(struct raft *r, enum raft_msg_type type, u64 term)
{
	for (u32 i = 0; i < r->members.n; i++) {
		struct raft_msg m = { .type = type,
				      .term = term,
				      .index = raft_last_index(r),
				      .log_term = raft_term_at(r, raft_last_index(r)),
				      .is_transfer = r->transfer_to == r->id };

		if (r->members.m[i].is_voter && r->members.m[i].id != r->id)
			send_msg(r, r->members.m[i].id, &m);
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
		r->progress[i].next = raft_last_index(r) + 1;
		r->progress[i].match = 0;
		r->progress[i].heard_us = now_us;
		r->progress[i].round = 0;
		r->progress[i].is_installing = false;
	}
	r->round = 0;
	r->heartbeat_due_us = now_us;
	raft_propose(r, RAFT_NOOP, NULL, now_us, &index);
}

static void become_candidate(struct raft *r, u64 now_us)
{
	ctr_inc(CTR_ELECTION);
	r->role = RAFT_CANDIDATE;
	r->term++;
	r->vote = r->id;
	r->leader = 0;
	r->nvotes = 1;
	r->votes[0] = r->id;
	save_state(r);
	reset_election(r, now_us);
	if (r->nvotes >= quorum(r)) {
		become_leader(r, now_us);
		return;
	}
	ask_votes(r, RAFT_VOTE, r->term);
}

static void become_precandidate(struct raft *r, u64 now_us)
{
	r->role = RAFT_PRECANDIDATE;
	r->leader = 0;
	r->nvotes = 1;
	r->votes[0] = r->id;
	reset_election(r, now_us);
	if (r->nvotes >= quorum(r)) {
		become_candidate(r, now_us);
		return;
	}
	ask_votes(r, RAFT_PREVOTE, r->term + 1);
}

static void fail_reads(struct raft *r)
{
	g_autoptr(GArray) old = r->reads;

	r->reads = g_array_new(FALSE, TRUE, sizeof(struct raft_read));
	for (guint i = 0; i < old->len; i++)
		r->ops->read_ready(r, g_array_index(old, struct raft_read, i).id, false);
}

static void become_follower(struct raft *r, u64 term, u32 leader, u64 now_us)
{
	bool was_leader = r->role == RAFT_LEADER;

	if (was_leader)
		ctr_inc(CTR_STEPPED_DOWN);
	r->role = RAFT_FOLLOWER;
	r->leader = leader;
	r->transfer_to = 0;
	if (term > r->term) {
		r->term = term;
		r->vote = 0;
		save_state(r);
	}
	if (was_leader)
		fail_reads(r);
	reset_election(r, now_us);
}

static bool is_log_up_to_date(const struct raft *r, const struct raft_msg *m)
{
	u64 last = raft_last_index(r);
	u64 last_term = raft_term_at(r, last);

	if (m->log_term != last_term)
		return m->log_term > last_term;
	return m->index >= last;
}

/* True while a leader is known to be alive; then nobody else is elected. */
static bool has_live_leader(const struct raft *r, u64 now_us)
{
	if (r->role == RAFT_LEADER)
		return true;
	return r->leader && now_us - r->leader_heard_us < RAFT_ELECTION_MIN_US;
}

static bool knows_other_replica(struct raft *r, const struct raft_msg *m)
{
	struct raft_member *member = raft_member_find(&r->members, m->from);

	return member && member->replica != m->replica;
}

static void on_prevote(struct raft *r, const struct raft_msg *m, u64 now_us)
{
	struct raft_msg reply = { .type = RAFT_PREVOTE_REPLY, .term = m->term };

	reply.is_ok = m->term > r->term && is_log_up_to_date(r, m) && !knows_other_replica(r, m) &&
		      !has_live_leader(r, now_us);
	if (!reply.is_ok)
		reply.term = r->term;
	send_msg(r, m->from, &reply);
}

static void on_vote(struct raft *r, const struct raft_msg *m, u64 now_us)
{
	struct raft_msg reply = { .type = RAFT_VOTE_REPLY };

	if (has_live_leader(r, now_us) && !m->is_transfer)
		return;
	if (m->term > r->term)
		become_follower(r, m->term, 0, now_us);
	reply.is_ok = m->term == r->term && (!r->vote || r->vote == m->from) &&
		      is_log_up_to_date(r, m) && !knows_other_replica(r, m);
	if (reply.is_ok && !r->vote) {
		r->vote = m->from;
		save_state(r);
		reset_election(r, now_us);
	}
	send_msg(r, m->from, &reply);
}

/* Counts a vote of a voter once. Returns true with a quorum of votes. */
static bool count_vote(struct raft *r, const struct raft_msg *m)
{
	struct raft_member *member = true_member(r, m);

	if (!m->is_ok || !member || !member->is_voter)
		return false;
	for (u32 i = 0; i < r->nvotes; i++)
		if (r->votes[i] == m->from)
			return false;
	r->votes[r->nvotes++] = m->from;
	return r->nvotes >= quorum(r);
}

static void on_prevote_reply(struct raft *r, const struct raft_msg *m, u64 now_us)
{
	if (!m->is_ok && m->term > r->term) {
		become_follower(r, m->term, 0, now_us);
		return;
	}
	if (r->role == RAFT_PRECANDIDATE && m->term == r->term + 1 && count_vote(r, m))
		become_candidate(r, now_us);
}

static void on_vote_reply(struct raft *r, const struct raft_msg *m, u64 now_us)
{
	if (m->term > r->term) {
		become_follower(r, m->term, 0, now_us);
		return;
	}
	if (r->role == RAFT_CANDIDATE && m->term == r->term && count_vote(r, m))
		become_leader(r, now_us);
}

/* Commit and apply */

static void apply_committed(struct raft *r)
{
	while (r->applied < r->commit) {
		const struct raft_entry *e = raft_entry_at(r, r->applied + 1);

		r->applied++;
		if (e->kind == RAFT_MEMBERS)
			raft_members_unpack(&r->committed_members, e->data);
		r->ops->apply(r, e);
	}
}

static int cmp_u64_down(const void *a, const void *b)
{
	u64 x = *(const u64 *)a;
	u64 y = *(const u64 *)b;

	return x > y ? -1 : x < y;
}

static void advance_commit(struct raft *r, u64 now_us)
{
	u64 match[RAFT_MEMBERS_MAX];
	u32 n = 0;
	u64 index;

	for (u32 i = 0; i < r->members.n; i++)
		if (r->members.m[i].is_voter)
			match[n++] = r->members.m[i].id == r->id ? raft_last_index(r) :
								   r->progress[i].match;
	if (!n)
		return;
	qsort(match, n, sizeof(match[0]), cmp_u64_down);
	index = match[quorum(r) - 1];
	/* Only an entry of the own term proves that the log before it is final. */
	if (index <= r->commit || raft_term_at(r, index) != r->term)
		return;
	r->commit = index;
	apply_committed(r);
	if (!is_voter(r) && r->members_index <= r->commit)
		become_follower(r, r->term, 0, now_us);
}

/* Replication, leader's side */

/* A blank replica refuses a snapshot whose members do not name its data folder. */
static bool is_named_in_snapshot(struct raft *r, u32 pos)
{
	struct raft_member *m = raft_member_find(&r->snap_members, r->members.m[pos].id);

	return m && m->replica == r->members.m[pos].replica;
}

static void send_install(struct raft *r, u32 pos, u64 now_us)
{
	if (!is_named_in_snapshot(r, pos))
		raft_compact(r);

	struct raft_msg m = { .type = RAFT_INSTALL,
			      .index = r->snap_index,
			      .log_term = r->snap_term,
			      .commit = r->commit,
			      .round = r->round,
			      .members = r->snap_members,
			      .snapshot = r->snap_state };

	r->progress[pos].sent_us = now_us;
	send_msg(r, r->members.m[pos].id, &m);
}

static void send_append(struct raft *r, u32 pos, u64 now_us)
{
	struct raft_progress *p = &r->progress[pos];
	g_autoptr(GPtrArray) batch = g_ptr_array_new();
	struct raft_msg m = { .type = RAFT_APPEND, .commit = r->commit, .round = r->round };
	gsize bytes = 0;

	if (p->next <= r->snap_index) {
		send_install(r, pos, now_us);
		return;
	}
	m.index = p->next - 1;
	m.log_term = raft_term_at(r, m.index);
	for (u64 i = p->next; i <= raft_last_index(r) && batch->len < RAFT_BATCH_ENTRIES; i++) {
		const struct raft_entry *e = raft_entry_at(r, i);

		bytes += g_bytes_get_size(e->data);
		if (batch->len && bytes > RAFT_BATCH_BYTES)
			break;
		g_ptr_array_add(batch, (gpointer)e);
	}
	m.entries = batch;
	p->sent_us = now_us;
	send_msg(r, r->members.m[pos].id, &m);
}

static void send_all(struct raft *r, u64 now_us)
{
	r->round++;
	r->heartbeat_due_us = now_us + RAFT_HEARTBEAT_US;
	for (u32 i = 0; i < r->members.n; i++)
		if (r->members.m[i].id != r->id)
			send_append(r, i, now_us);
}

static void finish_reads(struct raft *r)
{
	guint done = 0;

	while (done < r->reads->len) {
		struct raft_read *read = &g_array_index(r->reads, struct raft_read, done);
		u32 acks = is_voter(r) ? 1 : 0;

		for (u32 i = 0; i < r->members.n; i++)
			if (r->members.m[i].is_voter && r->members.m[i].id != r->id)
				acks += r->progress[i].round >= read->round;
		if (acks < quorum(r))
			break;
		done++;
		r->ops->read_ready(r, read->id, true);
	}
	if (done)
		g_array_remove_range(r->reads, 0, done);
}

static void finish_transfer(struct raft *r, u32 pos)
{
	struct raft_msg m = { .type = RAFT_TIMEOUT_NOW };

	if (r->transfer_to != r->members.m[pos].id)
		return;
	if (r->progress[pos].match == raft_last_index(r))
		send_msg(r, r->transfer_to, &m);
}

static void on_append_reply(struct raft *r, const struct raft_msg *m, u64 now_us)
{
	struct raft_member *any = raft_member_find(&r->members, m->from);
	struct raft_member *member = true_member(r, m);
	struct raft_progress *p;
	u32 pos;

	if (any) {
		r->progress[position(r, any)].seen_replica = m->replica;
		r->progress[position(r, any)].seen_us = now_us;
	}
	if (m->term > r->term) {
		become_follower(r, m->term, 0, now_us);
		return;
	}
	if (r->role != RAFT_LEADER || !member || m->term != r->term)
		return;
	pos = position(r, member);
	p = &r->progress[pos];
	p->heard_us = now_us;
	p->round = MAX(p->round, m->round);
	finish_reads(r);
	if (r->role != RAFT_LEADER)
		return;
	if (!m->is_ok) {
		p->next = MAX(p->match + 1, MIN(m->index + 1, p->next - 1));
		send_append(r, pos, now_us);
		return;
	}
	p->match = MAX(p->match, m->index);
	p->next = MAX(p->next, p->match + 1);
	advance_commit(r, now_us);
	if (r->role != RAFT_LEADER)
		return;
	finish_transfer(r, pos);
	if (p->next <= raft_last_index(r))
		send_append(r, pos, now_us);
}

/* Replication, follower's side */

static void hear_leader(struct raft *r, const struct raft_msg *m, u64 now_us)
{
	if (m->term > r->term || r->role != RAFT_FOLLOWER)
		become_follower(r, m->term, m->from, now_us);
	r->leader = m->from;
	r->leader_heard_us = now_us;
	r->leader_commit = m->commit;
	reset_election(r, now_us);
}

static void truncate_from(struct raft *r, u64 index)
{
	guint keep = (guint)(index - r->snap_index - 1);

	g_ptr_array_set_size(r->log, (gint)keep);
}

/* Appends what is new in M and returns the last index that matches the leader's log. */
static u64 take_entries(struct raft *r, const struct raft_msg *m)
{
	g_autoptr(GPtrArray) fresh = g_ptr_array_new();
	u64 last = m->index;
	guint n = m->entries ? m->entries->len : 0;

	for (guint i = 0; i < n; i++) {
		const struct raft_entry *e = g_ptr_array_index(m->entries, i);

		last = e->index;
		if (e->index <= r->snap_index)
			continue;
		if (!fresh->len && raft_term_at(r, e->index) == e->term)
			continue;
		if (!fresh->len && e->index <= raft_last_index(r))
			truncate_from(r, e->index);
		g_ptr_array_add(fresh, raft_entry_new(e->index, e->term, e->kind, e->data));
	}
	if (!fresh->len)
		return last;
	r->ops->append(r, fresh);
	for (guint i = 0; i < fresh->len; i++)
		g_ptr_array_add(r->log, g_ptr_array_index(fresh, i));
	find_members(r);
	return last;
}

static void on_append(struct raft *r, const struct raft_msg *m, u64 now_us)
{
	struct raft_msg reply = { .type = RAFT_APPEND_REPLY, .round = m->round };

	if (m->term < r->term || r->role == RAFT_FORMING) {
		/* A blank replica has no term; the leader takes answers of its own term only. */
		if (r->role == RAFT_FORMING)
			reply.term = m->term;
		reply.index = raft_last_index(r);
		send_msg(r, m->from, &reply);
		return;
	}
	hear_leader(r, m, now_us);
	if (m->index < r->snap_index) {
		reply.index = r->commit;
		reply.is_ok = true;
	} else if (raft_term_at(r, m->index) != m->log_term) {
		reply.index = MIN(raft_last_index(r), m->index ? m->index - 1 : 0);
	} else {
		reply.index = take_entries(r, m);
		reply.is_ok = true;
		if (MIN(m->commit, reply.index) > r->commit) {
			r->commit = MIN(m->commit, reply.index);
			apply_committed(r);
		}
	}
	send_msg(r, m->from, &reply);
}

static void adopt_snapshot(struct raft *r, u64 index, u64 term, const struct raft_members *members,
			   GBytes *state)
{
	if (r->snap_state)
		g_bytes_unref(r->snap_state);
	r->snap_state = g_bytes_ref(state);
	r->snap_index = index;
	r->snap_term = term;
	r->snap_members = *members;
}

static void on_install(struct raft *r, const struct raft_msg *m, u64 now_us)
{
	struct raft_msg reply = { .type = RAFT_INSTALL_REPLY, .round = m->round, .is_ok = true };
	struct raft_members members = m->members;
	struct raft_member *self = raft_member_find(&members, r->id);
	bool is_forming = r->role == RAFT_FORMING;

	if (m->term < r->term || (is_forming && (!self || self->replica != r->replica))) {
		reply.is_ok = false;
		if (is_forming)
			reply.term = m->term;
		reply.index = raft_last_index(r);
		send_msg(r, m->from, &reply);
		return;
	}
	hear_leader(r, m, now_us);
	if (m->index > r->commit) {
		r->ops->save_snapshot(r, m->index, m->log_term, &members, m->snapshot);
		adopt_snapshot(r, m->index, m->log_term, &members, m->snapshot);
		g_ptr_array_set_size(r->log, 0);
		r->commit = m->index;
		r->applied = m->index;
		r->committed_members = members;
		find_members(r);
		r->ops->restore(r, m->index, m->snapshot);
	}
	reply.index = r->commit;
	send_msg(r, m->from, &reply);
}

static void on_timeout_now(struct raft *r, const struct raft_msg *m, u64 now_us)
{
	if (m->term != r->term || !is_voter(r))
		return;
	r->transfer_to = r->id;
	become_candidate(r, now_us);
	r->transfer_to = 0;
}

/* Forming a new group */

static void form_group(struct raft *r, const struct raft_members *members, u64 now_us)
{
	g_autoptr(GBytes) empty = g_bytes_new(NULL, 0);

	r->ops->save_snapshot(r, 1, 1, members, empty);
	adopt_snapshot(r, 1, 1, members, empty);
	r->term = MAX(r->term, 1);
	save_state(r);
	r->commit = 1;
	r->applied = 1;
	r->committed_members = *members;
	find_members(r);
	r->role = RAFT_FOLLOWER;
	reset_election(r, now_us);
}

static void send_formed(struct raft *r, u32 to)
{
	struct raft_msg m = { .type = RAFT_FORMED, .members = r->founding };

	send_msg(r, to, &m);
}

static bool is_first_founder(const struct raft *r)
{
	for (u32 i = 0; i < r->founding.n; i++)
		if (r->founding.m[i].id < r->id)
			return false;
	return r->founding.n > 0;
}

static void try_form(struct raft *r, u64 now_us)
{
	if (!is_first_founder(r))
		return;
	for (u32 i = 0; i < r->founding.n; i++)
		if (!r->founding.m[i].replica)
			return;
	form_group(r, &r->founding, now_us);
	for (u32 i = 0; i < r->founding.n; i++)
		if (r->founding.m[i].id != r->id)
			send_formed(r, r->founding.m[i].id);
}

void raft_found(struct raft *r, const struct raft_members *members)
{
	struct raft_member *self;

	r->founding = *members;
	for (u32 i = 0; i < r->founding.n; i++) {
		r->founding.m[i].replica = 0;
		r->founding.m[i].is_voter = true;
	}
	self = raft_member_find(&r->founding, r->id);
	if (self)
		self->replica = r->replica;
}

static void on_form(struct raft *r, const struct raft_msg *m, u64 now_us)
{
	struct raft_member *member = raft_member_find(&r->founding, m->from);

	if (r->role != RAFT_FORMING || !member)
		return;
	member->replica = m->replica;
	try_form(r, now_us);
}

static void on_formed(struct raft *r, const struct raft_msg *m, u64 now_us)
{
	struct raft_members members = m->members;
	struct raft_member *self = raft_member_find(&members, r->id);

	if (r->role != RAFT_FORMING || !self || self->replica != r->replica)
		return;
	form_group(r, &members, now_us);
}

static void announce_founding(struct raft *r, u64 now_us)
{
	struct raft_msg m = { .type = RAFT_FORM };

	r->election_due_us = now_us + RAFT_HEARTBEAT_US;
	try_form(r, now_us);
	if (r->role != RAFT_FORMING)
		return;
	for (u32 i = 0; i < r->founding.n; i++)
		if (r->founding.m[i].id != r->id)
			send_msg(r, r->founding.m[i].id, &m);
}

/* Entry points */

static void dispatch_formed(struct raft *r, const struct raft_msg *m, u64 now_us)
{
	switch (m->type) {
	case RAFT_PREVOTE:
		on_prevote(r, m, now_us);
		break;
	case RAFT_PREVOTE_REPLY:
		on_prevote_reply(r, m, now_us);
		break;
	case RAFT_VOTE:
		on_vote(r, m, now_us);
		break;
	case RAFT_VOTE_REPLY:
		on_vote_reply(r, m, now_us);
		break;
	case RAFT_APPEND_REPLY:
	case RAFT_INSTALL_REPLY:
		on_append_reply(r, m, now_us);
		break;
	case RAFT_TIMEOUT_NOW:
		on_timeout_now(r, m, now_us);
		break;
	default:
		break;
	}
}

void raft_step(struct raft *r, const struct raft_msg *m, u64 now_us)
{
	if (m->type == RAFT_FORM)
		on_form(r, m, now_us);
	else if (m->type == RAFT_FORMED)
		on_formed(r, m, now_us);
	else if (m->type == RAFT_APPEND)
		on_append(r, m, now_us);
	else if (m->type == RAFT_INSTALL)
		on_install(r, m, now_us);
	else if (r->role != RAFT_FORMING)
		dispatch_formed(r, m, now_us);
}

static u32 heard_voters(const struct raft *r, u64 within_us, u64 now_us)
{
	u32 n = 0;

	for (u32 i = 0; i < r->members.n; i++) {
		if (!r->members.m[i].is_voter)
			continue;
		if (r->members.m[i].id == r->id || now_us - r->progress[i].heard_us < within_us)
			n++;
	}
	return n;
}

static void tick_leader(struct raft *r, u64 now_us)
{
	if (heard_voters(r, RAFT_ELECTION_MIN_US, now_us) < quorum(r)) {
		become_follower(r, r->term, 0, now_us);
		return;
	}
	if (now_us >= r->heartbeat_due_us)
		send_all(r, now_us);
}

void raft_tick(struct raft *r, u64 now_us)
{
	if (r->role == RAFT_LEADER) {
		tick_leader(r, now_us);
		return;
	}
	if (now_us < r->election_due_us)
		return;
	if (r->role == RAFT_FORMING)
		announce_founding(r, now_us);
	else if (is_voter(r))
		become_precandidate(r, now_us);
	else
		reset_election(r, now_us);
}

u64 raft_next_due_us(const struct raft *r)
{
	return r->role == RAFT_LEADER ? r->heartbeat_due_us : r->election_due_us;
}

int raft_propose(struct raft *r, enum raft_kind kind, GBytes *data, u64 now_us, u64 *index)
{
	g_autoptr(GPtrArray) one = g_ptr_array_new();
	struct raft_entry *e;

	if (r->role != RAFT_LEADER)
		return ERR_NOTLEADER;
	e = raft_entry_new(raft_last_index(r) + 1, r->term, kind, data);
	g_ptr_array_add(one, e);
	r->ops->append(r, one);
	g_ptr_array_add(r->log, e);
	*index = e->index;
	if (kind == RAFT_MEMBERS)
		find_members(r);
	send_all(r, now_us);
	advance_commit(r, now_us);
	return 0;
}

int raft_propose_members(struct raft *r, const struct raft_members *next, u64 now_us, u64 *index)
{
	g_autoptr(GBytes) data = raft_members_pack(next);

	if (r->role != RAFT_LEADER)
		return ERR_NOTLEADER;
	if (r->members_index > r->commit || raft_term_at(r, r->commit) != r->term)
		return ERR_BUSY;
	return raft_propose(r, RAFT_MEMBERS, data, now_us, index);
}

int raft_read(struct raft *r, u64 read_id, u64 now_us)
{
	struct raft_read read = { .id = read_id };

	if (r->role != RAFT_LEADER)
		return ERR_NOTLEADER;
	if (raft_term_at(r, r->commit) != r->term)
		return ERR_BUSY;
	send_all(r, now_us);
	read.round = r->round;
	g_array_append_val(r->reads, read);
	finish_reads(r);
	return 0;
}

int raft_transfer(struct raft *r, u32 to, u64 now_us)
{
	struct raft_member *member = raft_member_find(&r->members, to);

	if (r->role != RAFT_LEADER)
		return ERR_NOTLEADER;
	if (!member || !member->is_voter || to == r->id)
		return ERR_NOTFOUND;
	r->transfer_to = to;
	send_append(r, position(r, member), now_us);
	return 0;
}

void raft_compact(struct raft *r)
{
	g_autoptr(GBytes) state = NULL;
	u64 index = r->applied;
	u64 term = raft_term_at(r, index);

	if (index <= r->snap_index)
		return;
	state = r->ops->snapshot(r);
	r->ops->save_snapshot(r, index, term, &r->committed_members, state);
	g_ptr_array_remove_range(r->log, 0, (guint)(index - r->snap_index));
	adopt_snapshot(r, index, term, &r->committed_members, state);
}

bool raft_is_fresh(const struct raft *r, u64 lease_us, u64 now_us)
{
	if (r->role == RAFT_FORMING)
		return false;
	if (r->role == RAFT_LEADER)
		return raft_term_at(r, r->commit) == r->term &&
		       heard_voters(r, lease_us, now_us) >= quorum(r);
	return r->leader && now_us - r->leader_heard_us < lease_us &&
	       r->applied >= r->leader_commit;
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
	adopt_snapshot(r, index, term, members, state);
	r->commit = index;
	r->applied = index;
	r->committed_members = *members;
	r->role = RAFT_FOLLOWER;
	find_members(r);
	r->ops->restore(r, index, state);
}

void raft_load_entry(struct raft *r, const struct raft_entry *e)
{
	if (e->index <= r->snap_index)
		return;
	if (e->index <= raft_last_index(r))
		truncate_from(r, e->index);
	g_ptr_array_add(r->log, raft_entry_new(e->index, e->term, e->kind, e->data));
	find_members(r);
}
