#include "control/op.h"

#include "lib/err.h"

static u16 respond(u16 status, char **text, const char *message)
{
	*text = g_strdup(message);
	return status;
}

static struct raft_progress *progress_of(struct raft *r, const struct raft_member *m)
{
	return &r->progress[m - r->members.m];
}

static u16 propose(struct control *c, const struct raft_members *next, u64 now_us, char **text,
		   const char *step)
{
	u64 index;
	int err = raft_propose_members(&c->raft, next, now_us, &index);

	if (err == ERR_BUSY)
		return respond(202, text, "waiting for another membership change");
	if (err)
		return respond(503, text, err_text(err));
	return respond(202, text, step);
}

/* Demotes the voter that lost its disk to a learner with the new replica id. */
static u16 demote_to_learner(struct control *c, u32 id, u64 replica, u64 now_us, char **text)
{
	struct raft_members next = c->raft.members;
	struct raft_member *m = raft_member_find(&next, id);

	m->replica = replica;
	m->is_voter = false;
	return propose(c, &next, now_us, text, "the new replica is a learner");
}

static u16 promote(struct control *c, u32 id, u64 now_us, char **text)
{
	struct raft_members next = c->raft.members;

	raft_member_find(&next, id)->is_voter = true;
	return propose(c, &next, now_us, text, "the new replica becomes a voter");
}

/* Handles the leader itself: it has the whole log, so only its membership has to commit. */
static u16 replace_self(const struct raft *r, char **text)
{
	if (r->members_index > r->commit || raft_term_at(r, r->commit) != r->term)
		return respond(202, text, "waiting for the membership to commit");
	return respond(200, text, "the member leads and holds the log");
}

u16 members_replace(struct control *c, u32 id, u64 since_us, u64 now_us, char **text)
{
	struct raft *r = &c->raft;
	struct raft_member *m = raft_member_find(&r->members, id);
	struct raft_progress *p;

	if (!m)
		return respond(404, text, "no member with this id");
	if (id == r->id)
		return replace_self(r, text);
	p = progress_of(r, m);
	/* An older reply may have been sent before the disk was lost. */
	if (p->last_reply_round < since_us) {
		if (now_us - since_us < RAFT_ELECTION_TIMEOUT_MAX_US)
			return MEMBERS_AWAIT_HEARTBEAT;
		return respond(202, text, "waiting for the replica at the member's address");
	}
	if (p->last_reply_replica != m->replica)
		return demote_to_learner(c, id, p->last_reply_replica, now_us, text);
	if (r->members_index > r->commit)
		return respond(202, text, "waiting for the membership change to commit");
	if (p->match < r->commit || p->match < r->members_index)
		return respond(202, text, "the new replica is catching up");
	if (!m->is_voter)
		return promote(c, id, now_us, text);
	return respond(200, text, "the member holds the log");
}

u16 members_remove(struct control *c, u32 id, u64 now_us, char **text)
{
	struct raft_members next = c->raft.members;
	struct raft_member *m = raft_member_find(&next, id);
	u16 status;

	if (c->raft.members_index > c->raft.commit)
		return respond(202, text, "waiting for the membership change to commit");
	if (!m)
		return respond(200, text, "no member with this id");
	if (id == c->raft.id)
		return respond(409, text,
			       "this member is the leader; end its process, then remove it");
	if (next.n == 1)
		return respond(409, text, "this is the last member");
	*m = next.m[next.n - 1];
	next.n--;
	status = propose(c, &next, now_us, text, "removal proposed");
	return status;
}
