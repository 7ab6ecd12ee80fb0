/* Membership of the group, and which data folder votes for which member. */
#include "control/raft_impl.h"

#include "lib/err.h"

#include <string.h>

struct raft_member *raft_member_find(struct raft_members *m, u32 id)
{
	for (u32 i = 0; i < m->n; i++)
		if (m->m[i].id == id)
			return &m->m[i];
	return NULL;
}

static bool is_member_replica(const struct raft *r, const struct raft_member *m, u64 replica)
{
	return m && (m->replica == replica || r->ignore_replica_ids);
}

bool raft_is_voter(struct raft *r)
{
	struct raft_member *m = raft_member_find(&r->members, r->id);

	return is_member_replica(r, m, r->replica) && m->is_voter;
}

u32 raft_quorum(const struct raft *r)
{
	u32 voters = 0;

	for (u32 i = 0; i < r->members.n; i++)
		voters += r->members.m[i].is_voter;
	return voters / 2 + 1;
}

struct raft_member *raft_verified_sender(struct raft *r, const struct raft_msg *m)
{
	struct raft_member *member = raft_member_find(&r->members, m->from);

	return is_member_replica(r, member, m->replica) ? member : NULL;
}

u32 raft_member_position(const struct raft *r, const struct raft_member *member)
{
	return (u32)(member - r->members.m);
}

u32 raft_count_active_voters(const struct raft *r, enum raft_reply_time by, u64 within_us,
			     u64 now_us)
{
	u32 n = 0;

	for (u32 i = 0; i < r->members.n; i++) {
		const struct raft_progress *p = &r->progress[i];
		u64 replied_us = by == RAFT_REPLY_ARRIVED ? p->heard_us : p->round;

		if (!r->members.m[i].is_voter)
			continue;
		if (r->members.m[i].id == r->id || now_us < replied_us + within_us)
			n++;
	}
	return n;
}

/* A member keeps its progress unless it has a new data folder. */
void raft_set_members(struct raft *r, const struct raft_members *next, u64 index)
{
	struct raft_progress old[RAFT_MEMBERS_MAX];
	struct raft_members before = r->members;

	memcpy(old, r->progress, sizeof(old));
	memset(r->progress, 0, sizeof(r->progress));
	r->members = *next;
	r->members_index = index;
	for (u32 i = 0; i < next->n; i++) {
		struct raft_member *old_member = raft_member_find(&before, next->m[i].id);
		struct raft_progress *p = &r->progress[i];

		p->next = raft_last_index(r) + 1;
		p->is_probing = true;
		if (old_member && old_member->replica == next->m[i].replica)
			*p = old[old_member - before.m];
		if (old_member) {
			p->last_reply_replica = old[old_member - before.m].last_reply_replica;
			p->last_reply_us = old[old_member - before.m].last_reply_us;
		}
	}
}

void raft_use_latest_members(struct raft *r)
{
	for (u64 i = raft_last_index(r); i > r->snap_index; i--) {
		const struct raft_entry *e = raft_entry_at(r, i);
		struct raft_members m;

		if (e->kind == RAFT_MEMBERS && !raft_members_unpack(&m, e->data)) {
			raft_set_members(r, &m, i);
			return;
		}
	}
	raft_set_members(r, &r->snap_members, r->snap_index);
}

static bool has_voter(const struct raft_members *list, const struct raft_member *voter)
{
	for (u32 i = 0; i < list->n; i++)
		if (list->m[i].is_voter && list->m[i].id == voter->id &&
		    list->m[i].replica == voter->replica)
			return true;
	return false;
}

static u32 count_missing_voters(const struct raft_members *from, const struct raft_members *in)
{
	u32 n = 0;

	for (u32 i = 0; i < from->n; i++)
		n += from->m[i].is_voter && !has_voter(in, &from->m[i]);
	return n;
}

static void date_new_members(struct raft *r, u64 now_us)
{
	for (u32 i = 0; i < r->members.n; i++) {
		struct raft_progress *p = &r->progress[i];

		if (!p->heard_us && !p->added_us)
			p->added_us = now_us;
	}
}

int raft_propose_members(struct raft *r, const struct raft_members *next, u64 now_us, u64 *index)
{
	g_autoptr(GBytes) data = raft_members_pack(next);
	int err;

	if (r->role != RAFT_LEADER)
		return ERR_NOTLEADER;
	if (r->members_index > r->commit || raft_term_at(r, r->commit) != r->term)
		return ERR_BUSY;
	/* If at most one voter differs, any old and any new quorum have a voter in common. */
	if (count_missing_voters(&r->members, next) + count_missing_voters(next, &r->members) > 1)
		return ERR_INVAL;
	err = raft_propose(r, RAFT_MEMBERS, data, now_us, index);
	if (!err)
		date_new_members(r, now_us);
	return err;
}
