/*
 * Forming a new group. Each founder sends the others its replica id and the
 * replica ids that it has received. The founder with the lowest id forms the
 * group once every other founder has reported this founder's current replica
 * id, so that a message sent before a disk was emptied cannot help to form a
 * second group. A founder that was down meanwhile is sent the list of members
 * by those that have formed the group.
 *
 * A founder whose disk is emptied before that knows of no founding. The others still
 * name it, and it becomes a founder again once no group can have accepted anything:
 * the one with the lowest id still waits, or, if it is that one itself, all others do.
 * What an earlier start of it may have formed alone was never committed.
 */
#include "control/raft_impl.h"

#include <string.h>

static void start_group(struct raft *r, const struct raft_members *members, u64 now_us)
{
	g_autoptr(GBytes) empty = g_bytes_new(NULL, 0);

	r->term = MAX(r->term, 1);
	r->ops->save_snapshot(r, RAFT_FOUNDING_INDEX, 1, members, empty);
	raft_reset_log(r, RAFT_FOUNDING_INDEX, 1, members, empty);
	r->role = RAFT_FOLLOWER;
	raft_reset_election_timeout(r, now_us);
}

static void send_formed(struct raft *r, u32 to, const struct raft_members *members)
{
	struct raft_msg m = { .type = RAFT_FORMED, .members = *members };

	raft_send(r, to, &m);
}

/* Returns the position of the lowest id, or 0 if there are no members. */
static u32 find_lowest(const struct raft_members *members)
{
	u32 lowest = 0;

	for (u32 i = 1; i < members->n; i++)
		if (members->m[i].id < members->m[lowest].id)
			lowest = i;
	return lowest;
}

static bool is_lowest_founder(const struct raft *r)
{
	return r->founding.n && r->founding.m[find_lowest(&r->founding)].id == r->id;
}

static bool all_founders_know_replica(const struct raft *r)
{
	for (u32 i = 0; i < r->founding.n; i++)
		if (r->founding.m[i].id != r->id && !r->founder_knows_replica[i])
			return false;
	return true;
}

static void try_form(struct raft *r, u64 now_us)
{
	if (!is_lowest_founder(r) || !all_founders_know_replica(r))
		return;
	start_group(r, &r->founding, now_us);
	for (u32 i = 0; i < r->founding.n; i++)
		if (r->founding.m[i].id != r->id)
			send_formed(r, r->founding.m[i].id, &r->founding);
}

void raft_form_group(struct raft *r, const struct raft_members *members)
{
	struct raft_member *self;

	r->founding = *members;
	memset(r->founder_knows_replica, 0, sizeof(r->founder_knows_replica));
	for (u32 i = 0; i < r->founding.n; i++) {
		r->founding.m[i].replica = 0;
		r->founding.m[i].is_voter = true;
	}
	self = raft_member_find(&r->founding, r->id);
	if (self)
		self->replica = r->replica;
}

static void send_form(struct raft *r, u32 to)
{
	struct raft_msg m = { .type = RAFT_FORM, .members = r->founding };

	raft_send(r, to, &m);
}

void raft_tick_forming(struct raft *r, u64 now_us)
{
	r->election_due_us = now_us + RAFT_HEARTBEAT_US;
	try_form(r, now_us);
	if (r->role != RAFT_FORMING)
		return;
	for (u32 i = 0; i < r->founding.n; i++)
		if (r->founding.m[i].id != r->id)
			send_form(r, r->founding.m[i].id);
}

static bool names_this_replica(const struct raft *r, const struct raft_members *members)
{
	for (u32 i = 0; i < members->n; i++)
		if (members->m[i].id == r->id)
			return members->m[i].replica == r->replica;
	return false;
}

/* Replies to a founder that does not know yet that the group has been formed. */
static void resend_formed(struct raft *r, const struct raft_msg *m)
{
	const struct raft_member *member = raft_verified_sender(r, m);

	if (member && member->is_voter)
		send_formed(r, m->from, &r->committed_members);
}

static bool has_same_ids(const struct raft_members *a, const struct raft_members *b)
{
	if (a->n != b->n)
		return false;
	for (u32 i = 0; i < a->n; i++)
		if (a->m[i].id != b->m[i].id)
			return false;
	return true;
}

/* Returns whether all those whose word is needed have named this process as a founder. */
static bool is_invitation_complete(const struct raft *r)
{
	u32 lowest = find_lowest(&r->invitation);
	u32 missing = 0;

	for (u32 i = 0; i < r->invitation.n; i++)
		missing += r->invitation.m[i].id != r->id && !r->has_invited[i];
	return r->invitation.m[lowest].id == r->id ? !missing : r->has_invited[lowest];
}

static void receive_invitation(struct raft *r, const struct raft_msg *m)
{
	struct raft_member *sender;

	if (!has_same_ids(&r->invitation, &m->members)) {
		r->invitation = m->members;
		memset(r->has_invited, 0, sizeof(r->has_invited));
	}
	sender = raft_member_find(&r->invitation, m->from);
	if (!sender || !raft_member_find(&r->invitation, r->id))
		return;
	r->has_invited[sender - r->invitation.m] = true;
	if (is_invitation_complete(r))
		raft_form_group(r, &r->invitation);
}

void raft_on_form(struct raft *r, const struct raft_msg *m, u64 now_us)
{
	bool knows_replica = names_this_replica(r, &m->members);
	struct raft_member *member;

	if (r->role != RAFT_FORMING) {
		resend_formed(r, m);
		return;
	}
	if (!r->founding.n)
		receive_invitation(r, m);
	member = raft_member_find(&r->founding, m->from);
	if (!member)
		return;
	member->replica = m->replica;
	r->founder_knows_replica[member - r->founding.m] = knows_replica;
	if (!knows_replica)
		send_form(r, m->from);
	try_form(r, now_us);
}

/* Returns whether M was sent before the sender's disk was emptied. */
static bool is_stale(struct raft *r, const struct raft_msg *m)
{
	const struct raft_member *known = raft_member_find(&r->founding, m->from);

	return known && known->replica && known->replica != m->replica;
}

void raft_on_formed(struct raft *r, const struct raft_msg *m, u64 now_us)
{
	if (r->role != RAFT_FORMING)
		return;
	if ((names_this_replica(r, &m->members) && !is_stale(r, m)) || r->ignore_replica_ids)
		start_group(r, &m->members, now_us);
}
