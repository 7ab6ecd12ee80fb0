#include "control/membership.h"

/* A process that has not heard from a leader for this time requests membership. */
#define LEADER_TIMEOUT_US (1 * US_PER_S)
/* Older membership requests are ignored. */
#define REQUEST_TTL_US (1 * US_PER_S)

static bool has_leader(const struct raft *r, u64 now_us)
{
	if (r->role == RAFT_LEADER)
		return true;
	return r->leader && now_us - r->leader_heard_us < LEADER_TIMEOUT_US;
}

bool membership_is_needed(const struct raft *r, bool is_founder, u64 now_us)
{
	if (r->role == RAFT_FORMING)
		return !is_founder;
	return !has_leader(r, now_us);
}

static void remove_old(GArray *requests, u64 now_us)
{
	for (guint i = requests->len; i > 0; i--)
		if (now_us - g_array_index(requests, struct membership_request, i - 1).heard_us >
		    REQUEST_TTL_US)
			g_array_remove_index(requests, i - 1);
}

void membership_store(GArray *requests, const struct membership_request *one)
{
	remove_old(requests, one->heard_us);
	for (guint i = 0; i < requests->len; i++) {
		struct membership_request *kept =
			&g_array_index(requests, struct membership_request, i);

		if (kept->id == one->id) {
			*kept = *one;
			return;
		}
	}
	if (requests->len < RAFT_MEMBERS_MAX)
		g_array_append_val(requests, *one);
}

/* OUT->next has the members as they are. */
static bool add_learner(const struct membership_request *one, struct voters_change *out)
{
	struct raft_members *next = &out->next;

	if (next->n == RAFT_MEMBERS_MAX)
		return false;
	next->m[next->n++] =
		(struct raft_member){ .id = one->id, .replica = one->replica, .at = one->at };
	out->what = "added as a learner";
	return true;
}

/*
 * Demotes the member M of OUT->next whose data folder was emptied: the new replica has to catch up
 * before it votes again.
 */
static bool demote_wiped(const struct raft *r, const struct membership_request *one,
			 struct raft_member *m, struct voters_change *out)
{
	if (r->progress[m - out->next.m].heard_us >= one->heard_us)
		return false;
	m->replica = one->replica;
	m->is_voter = false;
	m->at = one->at;
	out->what = "member with an emptied folder becomes a learner";
	return true;
}

static bool handle_request(const struct raft *r, const struct membership_request *one, u64 now_us,
			   struct voters_change *out)
{
	struct raft_member *m;

	if (now_us - one->heard_us > REQUEST_TTL_US || one->id == r->id)
		return false;
	out->next = r->members;
	out->id = one->id;
	m = raft_member_find(&out->next, one->id);
	if (!m)
		return add_learner(one, out);
	return m->replica != one->replica && demote_wiped(r, one, m, out);
}

bool membership_next_change(const struct raft *r, const GArray *requests, u32 required, u64 now_us,
			    struct voters_change *out)
{
	if (r->members_index > r->commit || raft_term_at(r, r->commit) != r->term)
		return false;
	for (guint i = 0; i < requests->len; i++)
		if (handle_request(r, &g_array_index(requests, struct membership_request, i),
				   now_us, out))
			return true;
	return voters_next_change(r, required, now_us, out);
}
