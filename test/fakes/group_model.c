#include "test/fakes/group_model.h"

#include "control/raft_impl.h"

#define CHECK_INTERVAL_US (200 * US_PER_MS)
/* From the moment at which all are back until the group is whole. */
#define RECOVERY_MAX_US (15 * US_PER_S)
/* A process that ends waits no longer than this for its vote to be taken: half of its grace. */
#define LEAVE_MAX_US (3 * US_PER_S)
#define HAND_OVER_TRY_US (2 * RAFT_HEARTBEAT_US)

bool model_product_rule(const struct model *m, const struct raft *r, const GArray *requests,
			struct voters_change *out)
{
	return membership_next_change(r, requests, MODEL_REQUIRED, m->g->now_us, out);
}

struct raft *model_raft(struct model *m, u32 id)
{
	return fake_raft(m->g, id);
}

bool model_is_up(const struct model *m, u32 id)
{
	return m->g->r[id].is_up;
}

static bool is_cut(const struct model *m, u32 a, u32 b)
{
	return m->g->cut[a][b] || m->g->cut[b][a];
}

/* Requests and messages of a frozen process are late; it does nothing itself. */
static bool is_active(const struct model *m, u32 id)
{
	return model_is_up(m, id) && m->g->r[id].frozen_until_us <= m->g->now_us;
}

static bool is_founder(const struct model *m, u32 id)
{
	return id <= m->g->founders && !m->g->r[id].was_wiped;
}

static void send_request(struct model *m, u32 leader, u32 id, GArray *requests)
{
	struct membership_request one = { .id = id,
					  .replica = model_raft(m, id)->replica,
					  .at.port = (u16)id,
					  .heard_us = m->g->now_us };

	if (id == leader || !is_active(m, id) || is_cut(m, id, leader) ||
	    !membership_is_needed(model_raft(m, id), is_founder(m, id), m->g->now_us))
		return;
	g_strlcpy(one.at.host, "127.0.0.1", sizeof(one.at.host));
	membership_store(requests, &one);
}

static void update_membership(struct model *m, u32 leader)
{
	struct raft *l = model_raft(m, leader);
	g_autoptr(GArray) requests = g_array_new(FALSE, TRUE, sizeof(struct membership_request));
	struct voters_change change;
	u64 index;

	for (u32 id = 1; id <= m->g->n; id++)
		send_request(m, leader, id, requests);
	if (m->rule(m, l, requests, &change))
		raft_propose_members(l, &change.next, m->g->now_us, &index);
}

static void act(struct model *m, u32 id)
{
	enum action action = m->next[id].action;

	if (action == NOTHING || m->g->now_us < m->next[id].at_us)
		return;
	m->next[id].action = NOTHING;
	if (action == START) {
		m->g->r[id].disk->fail_at = 0;
		fake_group_start(m->g, id);
	}
	if (action == END) {
		m->leaving[id].end_us = m->g->now_us + (m->keeps_votes ? 0 : LEAVE_MAX_US);
		m->leaving[id].hand_over_due_us = 0;
	}
	for (u32 other = 1; action == HEAL && other <= m->g->n; other++)
		m->g->cut[id][other] = m->g->cut[other][id] = false;
}

/* The leader learns that process ID is about to end, if it can be reached. */
static void send_leave(struct model *m, u32 id)
{
	u32 leader = model_raft(m, id)->leader;

	if (!leader || !is_active(m, leader) || is_cut(m, id, leader) ||
	    model_raft(m, leader)->role != RAFT_LEADER)
		return;
	voters_leave(model_raft(m, leader), id, model_raft(m, id)->replica, m->g->now_us);
	update_membership(m, leader);
}

static void leave(struct model *m, u32 id)
{
	struct leaving *l = &m->leaving[id];
	struct raft *r = model_raft(m, id);

	if (!l->end_us || !is_active(m, id))
		return;
	if (m->g->now_us >= l->end_us ||
	    (r->role != RAFT_LEADER && !voters_may_replace(r, MODEL_REQUIRED))) {
		fake_group_crash(m->g, id);
		m->is_gone[id] = true;
		return;
	}
	if (m->g->now_us >= l->hand_over_due_us) {
		l->hand_over_due_us = m->g->now_us + HAND_OVER_TRY_US;
		r->stands_for_none = true;
		raft_hand_over(r, m->g->now_us);
	}
	if (r->role != RAFT_LEADER)
		send_leave(m, id);
}

void model_step(struct model *m)
{
	u32 leader;

	fake_group_run(m->g, MODEL_STEP_US);
	g_assert_cmpstr(m->g->violation, ==, NULL);
	for (u32 id = 1; id <= m->g->n; id++)
		act(m, id);
	for (u32 id = 1; id <= m->g->n; id++)
		leave(m, id);
	leader = fake_group_leader(m->g);
	if (!leader || !is_active(m, leader) || m->g->now_us < m->check_due_us)
		return;
	m->check_due_us = m->g->now_us + CHECK_INTERVAL_US;
	update_membership(m, leader);
}

void model_run(struct model *m, u64 span_us)
{
	for (u64 end_us = m->g->now_us + span_us; m->g->now_us < end_us;)
		model_step(m);
}

void model_plan(struct model *m, u32 id, enum action action, u64 at_us)
{
	m->next[id] = (struct planned_action){ .action = action, .at_us = at_us };
}

u64 model_random_us(struct model *m, u64 most_us)
{
	return rng_below(&m->g->rng, (u32)most_us + 1);
}

u32 model_pick(struct model *m)
{
	u32 id;

	do
		id = 1 + rng_below(&m->g->rng, m->g->n);
	while (!model_is_up(m, id) || m->is_gone[id] || m->leaving[id].end_us ||
	       m->next[id].action != NOTHING);
	return id;
}

/*
 * Whether process ID, if it is there, is the member ONE with the disk that it has now and all that
 * was committed, and otherwise does not vote. ONE may be NULL.
 */
static bool is_in_place(struct model *m, u32 id, const struct raft_member *one)
{
	if (!model_is_up(m, id))
		return !one || !one->is_voter;
	return one && one->replica == model_raft(m, id)->replica &&
	       model_raft(m, id)->applied >= m->floor;
}

/* Whether those that are there are members, and those that vote are there, in the right number. */
static bool is_whole(struct model *m)
{
	u32 leader = fake_group_leader(m->g);
	struct raft *l = model_raft(m, leader);
	u32 live = 0;

	if (!leader || l->members_index > l->commit || raft_term_at(l, l->commit) != l->term)
		return false;
	for (u32 id = 1; id <= m->g->n; id++) {
		const struct raft_member *one = raft_member_find(&l->members, id);

		live += model_is_up(m, id);
		if (!is_in_place(m, id, one))
			return false;
	}
	return voters_count(l) >= MODEL_REQUIRED && voters_count(l) <= MAX(MODEL_REQUIRED, live);
}

bool model_recover(struct model *m)
{
	u64 end_us = m->g->now_us + RECOVERY_MAX_US;

	while (m->g->now_us < end_us) {
		if (is_whole(m))
			return true;
		model_step(m);
	}
	return false;
}

bool model_change(struct model *m)
{
	u64 acked = m->g->acked;
	u64 end_us = m->g->now_us + RECOVERY_MAX_US;

	while (m->g->acked == acked && m->g->now_us < end_us) {
		fake_group_propose(m->g, fake_group_leader(m->g));
		model_run(m, 100 * US_PER_MS);
	}
	m->floor = m->g->committed->len - 1;
	return m->g->acked > acked;
}

void model_begin(struct model *m, u64 seed, change_rule rule)
{
	*m = (struct model){ .g = fake_group_new_founded(MODEL_PROCESSES, MODEL_FOUNDERS, seed),
			     .rule = rule };
	m->g->copies_min = MODEL_LOSSES + 1;
	m->g->forgets_founders = true;
}

void model_describe(struct model *m)
{
	u32 leader = fake_group_leader(m->g);

	g_test_message("at %llu us: leader %u, floor %llu", (unsigned long long)m->g->now_us,
		       leader, (unsigned long long)m->floor);
	for (u32 id = 1; id <= m->g->n; id++) {
		struct raft *r = model_raft(m, id);
		const struct raft_member *one =
			leader ? raft_member_find(&model_raft(m, leader)->members, id) : NULL;

		g_test_message("%u: %s, role %d, term %llu, applied %llu of %llu, %s", id,
			       model_is_up(m, id) ? "up" : "down", r->role,
			       (unsigned long long)r->term, (unsigned long long)r->applied,
			       (unsigned long long)(model_is_up(m, id) ? raft_last_index(r) : 0),
			       !one	     ? "no member" :
			       one->is_voter ? "voter" :
					       "learner");
	}
}
