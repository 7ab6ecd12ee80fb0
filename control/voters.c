#include "control/voters.h"

u32 voters_count(const struct raft *r)
{
	u32 n = 0;

	for (u32 i = 0; i < r->members.n; i++)
		n += r->members.m[i].is_voter;
	return n;
}

void voters_leave(struct raft *r, u32 id, u64 replica, u64 now_us)
{
	const struct raft_member *m = raft_member_find(&r->members, id);

	if (m && m->replica == replica)
		r->progress[m - r->members.m].leaving_until_us = now_us + VOTER_LEAVING_US;
}

static bool has_vote(struct raft *r)
{
	const struct raft_member *m = raft_member_find(&r->members, r->id);

	return m && m->is_voter && m->replica == r->replica;
}

bool voters_may_replace(struct raft *r, u32 required)
{
	u32 voters = voters_count(r);

	if (r->role == RAFT_LEADER)
		return false;
	if (r->members_index > r->commit)
		return true;
	return has_vote(r) && (r->members.n > voters || voters > required);
}

/* One that was just added has time to answer. */
static u64 silence_us(const struct raft *r, u32 position, u64 now_us)
{
	const struct raft_progress *p = &r->progress[position];

	return r->members.m[position].id == r->id ? 0 : now_us - MAX(p->heard_us, p->added_us);
}

static bool is_silent(const struct raft *r, u32 position, u64 now_us)
{
	return silence_us(r, position, now_us) > VOTER_TIMEOUT_US;
}

static bool is_silent_voter(const struct raft *r, u32 position, u64 now_us)
{
	return r->members.m[position].is_voter && is_silent(r, position, now_us);
}

static bool is_gone_learner(const struct raft *r, u32 position, u64 now_us)
{
	return !r->members.m[position].is_voter &&
	       silence_us(r, position, now_us) > LEARNER_TIMEOUT_US;
}

static bool is_leaving(const struct raft *r, u32 position, u64 now_us)
{
	return now_us < r->progress[position].leaving_until_us;
}

static bool is_leaving_voter(const struct raft *r, u32 position, u64 now_us)
{
	return r->members.m[position].is_voter && is_leaving(r, position, now_us);
}

/* A learner with the whole log, which may vote. */
static bool is_ready_learner(const struct raft *r, u32 position, u64 now_us)
{
	const struct raft_progress *p = &r->progress[position];

	return !r->members.m[position].is_voter && !is_silent(r, position, now_us) &&
	       !is_leaving(r, position, now_us) && p->match >= r->commit &&
	       p->match >= r->members_index;
}

/* A voter that stays, or a member that may become one. */
static bool is_responding(const struct raft *r, u32 position, u64 now_us)
{
	if (!r->members.m[position].is_voter)
		return is_ready_learner(r, position, now_us);
	return !is_silent(r, position, now_us) && !is_leaving(r, position, now_us);
}

/* Returns the first member for which TEST is true, or NULL. */
static const struct raft_member *
find(const struct raft *r, bool (*test)(const struct raft *r, u32 position, u64 now_us), u64 now_us)
{
	for (u32 i = 0; i < r->members.n; i++)
		if (test(r, i, now_us))
			return &r->members.m[i];
	return NULL;
}

static u32 count_responding(const struct raft *r, u64 now_us)
{
	u32 n = 0;

	for (u32 i = 0; i < r->members.n; i++)
		n += is_responding(r, i, now_us);
	return n;
}

static u32 count_wanted(const struct raft *r, u32 required, u64 now_us)
{
	u32 odd = (count_responding(r, now_us) - 1) | 1;

	return MAX(required, MIN(odd, VOTERS_MAX));
}

static void promote(const struct raft_member *learner, struct voters_change *out)
{
	out->id = learner->id;
	out->what = "learner becomes a voter";
	raft_member_find(&out->next, learner->id)->is_voter = true;
}

static void demote(const struct raft_member *voter, struct voters_change *out)
{
	out->id = voter->id;
	out->what = "voter whose process ends becomes a learner";
	raft_member_find(&out->next, voter->id)->is_voter = false;
}

static void remove_member(const struct raft_member *m, const char *what, struct voters_change *out)
{
	out->id = m->id;
	out->what = what;
	*raft_member_find(&out->next, m->id) = out->next.m[out->next.n - 1];
	out->next.n--;
}

bool voters_next_change(const struct raft *r, u32 required, u64 now_us, struct voters_change *out)
{
	const struct raft_member *learner = find(r, is_ready_learner, now_us);
	const struct raft_member *silent = find(r, is_silent_voter, now_us);
	const struct raft_member *leaving = find(r, is_leaving_voter, now_us);
	const struct raft_member *gone = find(r, is_gone_learner, now_us);
	u32 wanted = count_wanted(r, required, now_us);
	u32 voters = voters_count(r);

	out->next = r->members;
	if (learner && voters < wanted)
		promote(learner, out);
	else if (leaving && voters > wanted)
		demote(leaving, out);
	else if (leaving && learner)
		promote(learner, out);
	else if (silent && learner)
		remove_member(silent, "unresponsive voter is removed in favour of a learner", out);
	else if (silent && voters > wanted)
		remove_member(silent, "unresponsive voter that is not required is removed", out);
	else if (gone)
		remove_member(gone, "unresponsive learner is removed", out);
	else
		return false;
	return true;
}
