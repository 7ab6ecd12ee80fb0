/*
 * A group of control processes on simulated disks and links, whose members are cut off, lose their
 * power or their disks, can't write, and are replaced, planned and for good, in random order. No
 * more than the tolerated number is lost at once. Afterwards the group has the voters that it
 * needs, none of them gone, and survives the loss of as many disks as it tolerates; so it does
 * while a process that is replaced as planned ends, and just after.
 *
 * The members are those of control/membership.c and control/voters.c; requests and leaving are sent
 * as by control/join.c and control/control.c. The first start is disturbed like everything else.
 */
#include "control/raft_impl.h"
#include "control/membership.h"
#include "test/fakes/fake_group.h"

#include <stdlib.h>

#define PROCESSES 5
#define FOUNDERS 3
#define LOSSES 2
#define REQUIRED (2 * LOSSES + 1)
#define SEEDS 60
#define ROUNDS 4
#define STEP_US (5 * US_PER_MS)
#define CHECK_INTERVAL_US (200 * US_PER_MS)
/* A process counts as lost until this time after it is back, or started. */
#define CATCH_UP_US (4 * US_PER_S)
#define LOSS_MAX_US (6 * US_PER_S)
/* From the moment at which all are back until the group is whole. */
#define RECOVERY_MAX_US (15 * US_PER_S)
#define FAILING_OPS 4
#define SUCCESSOR_DELAY_US (1 * US_PER_S)
#define START_SPREAD_US (300 * US_PER_MS)
#define POWER_OFF_US (650 * US_PER_MS)
/* A process that ends waits no longer than this for its vote to be taken: half of its grace. */
#define LEAVE_MAX_US (3 * US_PER_S)
#define HAND_OVER_TRY_US (2 * RAFT_HEARTBEAT_US)
/* From the order to end to the loss of disks, at most. */
#define GAP_MAX_US (5 * US_PER_S)

enum action { NOTHING, HEAL, START, END };

enum loss { CUT, CUT_FROM, CUT_TO, FROZEN, POWER, DISK, DISK_FAILS, REPLACED, LOSS_KINDS };

struct model;

typedef bool (*change_rule)(const struct model *m, const struct raft *r, const GArray *requests,
			    struct voters_change *out);

struct planned_action {
	enum action action;
	u64 at_us;
};

/* A process that was told to end, and gives up its leadership and its vote first. */
struct leaving {
	u64 end_us; /* 0 while it serves */
	u64 hand_over_due_us;
};

struct model {
	struct fake_group *g;
	change_rule rule;
	bool keeps_votes; /* processes end with their votes */
	bool forgets_founding; /* a founder that starts again does not know that it is one */
	struct leaving leaving[FAKE_GROUP_MAX + 1]; /* by id */
	struct planned_action next[FAKE_GROUP_MAX + 1]; /* by id */
	bool is_gone[FAKE_GROUP_MAX + 1]; /* for good */
	u64 check_due_us;
	u64 floor; /* what was committed before the last fault */
};

static bool product_rule(const struct model *m, const struct raft *r, const GArray *requests,
			 struct voters_change *out)
{
	return membership_next_change(r, requests, REQUIRED, m->g->now_us, out);
}

/* A founder that came back and holds the log. */
static bool is_returned_founder(const struct model *m, const struct raft *r, u32 position)
{
	const struct raft_member *one = &r->members.m[position];

	return !one->is_voter && one->id <= m->g->founders &&
	       r->progress[position].match >= r->commit;
}

/*
 * The rule of before (docs/incidents/sixth-voter.md): founders become voters beyond the required
 * number at any time, and a silent voter is only removed if a learner takes its place.
 */
static bool earlier_rule(const struct model *m, const struct raft *r, const GArray *requests,
			 struct voters_change *out)
{
	u32 voters = voters_count(r);

	if (r->members_index > r->commit || raft_term_at(r, r->commit) != r->term)
		return false;

	for (u32 i = 0; voters >= REQUIRED && voters < VOTERS_MAX && i < r->members.n; i++) {
		if (!is_returned_founder(m, r, i))
			continue;
		out->next = r->members;
		out->next.m[i].is_voter = true;
		return true;
	}
	if (!membership_next_change(r, requests, REQUIRED, m->g->now_us, out))
		return false;
	return voters <= REQUIRED || out->next.n >= r->members.n;
}

static struct raft *raft_of(struct model *m, u32 id)
{
	return fake_raft(m->g, id);
}

static bool is_up(const struct model *m, u32 id)
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
	return is_up(m, id) && m->g->r[id].frozen_until_us <= m->g->now_us;
}

static bool is_founder(const struct model *m, u32 id)
{
	return id <= m->g->founders && !m->g->r[id].was_wiped;
}

static void send_request(struct model *m, u32 leader, u32 id, GArray *requests)
{
	struct membership_request one = { .id = id,
					  .replica = raft_of(m, id)->replica,
					  .at.port = (u16)id,
					  .heard_us = m->g->now_us };

	if (id == leader || !is_active(m, id) || is_cut(m, id, leader) ||
	    !membership_is_needed(raft_of(m, id), is_founder(m, id), m->g->now_us))
		return;
	g_strlcpy(one.at.host, "127.0.0.1", sizeof(one.at.host));
	membership_store(requests, &one);
}

static void update_membership(struct model *m, u32 leader)
{
	struct raft *l = raft_of(m, leader);
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
	u32 leader = raft_of(m, id)->leader;

	if (!leader || !is_active(m, leader) || is_cut(m, id, leader) ||
	    raft_of(m, leader)->role != RAFT_LEADER)
		return;
	voters_leave(raft_of(m, leader), id, raft_of(m, id)->replica, m->g->now_us);
	update_membership(m, leader);
}

static void leave(struct model *m, u32 id)
{
	struct leaving *l = &m->leaving[id];
	struct raft *r = raft_of(m, id);

	if (!l->end_us || !is_active(m, id))
		return;
	if (m->g->now_us >= l->end_us ||
	    (r->role != RAFT_LEADER && !voters_may_replace(r, REQUIRED))) {
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

static void step(struct model *m)
{
	u32 leader;

	fake_group_run(m->g, STEP_US);
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

static void run(struct model *m, u64 span_us)
{
	for (u64 end_us = m->g->now_us + span_us; m->g->now_us < end_us;)
		step(m);
}

static void plan(struct model *m, u32 id, enum action action, u64 at_us)
{
	m->next[id] = (struct planned_action){ .action = action, .at_us = at_us };
}

static u64 random_us(struct model *m, u64 most_us)
{
	return rng_below(&m->g->rng, (u32)most_us + 1);
}

/* A process that is there and of which nothing is planned. */
static u32 pick(struct model *m)
{
	u32 id;

	do
		id = 1 + rng_below(&m->g->rng, m->g->n);
	while (!is_up(m, id) || m->is_gone[id] || m->leaving[id].end_us ||
	       m->next[id].action != NOTHING);
	return id;
}

/* What process ID sends, or what is sent to it, is lost. */
static void cut_one_way(struct model *m, u32 id, bool is_sender)
{
	for (u32 other = 1; other <= m->g->n; other++)
		if (other != id)
			m->g->cut[is_sender ? id : other][is_sender ? other : id] = true;
}

/* The next writes or syncs fail, from one of the first few on, and the process ends at that. */
static void fail_disk(struct model *m, u32 id)
{
	struct fake_disk *d = m->g->r[id].disk;

	d->failure = (enum fake_failure)rng_below(&m->g->rng, FAKE_FAIL_AFTER + 1);
	d->fail_at = d->ops + 1 + rng_below(&m->g->rng, FAILING_OPS);
}

/* One process is lost; returns when it, or its successor, no longer counts as lost. */
static u64 lose_one(struct model *m)
{
	u64 now = m->g->now_us;
	u64 back_us = now + SUCCESSOR_DELAY_US + random_us(m, LOSS_MAX_US - SUCCESSOR_DELAY_US);
	u32 id = pick(m);

	switch ((enum loss)rng_below(&m->g->rng, LOSS_KINDS)) {
	case CUT:
		fake_group_isolate(m->g, id);
		plan(m, id, HEAL, back_us);
		break;
	case CUT_FROM:
		cut_one_way(m, id, true);
		plan(m, id, HEAL, back_us);
		break;
	case CUT_TO:
		cut_one_way(m, id, false);
		plan(m, id, HEAL, back_us);
		break;
	case FROZEN:
		fake_group_freeze(m->g, id, back_us - now);
		/* Nothing else may happen to it until then. */
		plan(m, id, HEAL, back_us);
		break;
	case DISK:
		fake_group_crash(m->g, id);
		fake_group_wipe_disk(m->g, id);
		plan(m, id, START, back_us);
		break;
	case DISK_FAILS:
		fail_disk(m, id);
		plan(m, id, START, back_us);
		break;
	case REPLACED:
		fake_group_crash(m->g, id);
		m->is_gone[id] = true;
		back_us = now + SUCCESSOR_DELAY_US;
		plan(m, fake_group_add(m->g), START, back_us);
		break;
	default:
		fake_group_crash(m->g, id);
		plan(m, id, START, back_us);
	}
	return back_us + CATCH_UP_US;
}

/* The new process first, then the old one ends. */
static u64 replace_as_planned(struct model *m)
{
	u64 starts_us = m->g->now_us + random_us(m, LOSS_MAX_US);
	u32 old = pick(m);

	plan(m, fake_group_add(m->g), START, starts_us);
	plan(m, old, END, starts_us + CATCH_UP_US);
	return starts_us + 2 * CATCH_UP_US;
}

/*
 * Whether process ID, if it is there, is the member ONE with the disk that it has now and all that
 * was committed, and otherwise does not vote. ONE may be NULL.
 */
static bool is_in_place(struct model *m, u32 id, const struct raft_member *one)
{
	if (!is_up(m, id))
		return !one || !one->is_voter;
	return one && one->replica == raft_of(m, id)->replica &&
	       raft_of(m, id)->applied >= m->floor;
}

/* Whether those that are there are members, and those that vote are there, in the right number. */
static bool is_whole(struct model *m)
{
	u32 leader = fake_group_leader(m->g);
	struct raft *l = raft_of(m, leader);
	u32 live = 0;

	if (!leader || l->members_index > l->commit || raft_term_at(l, l->commit) != l->term)
		return false;
	for (u32 id = 1; id <= m->g->n; id++) {
		const struct raft_member *one = raft_member_find(&l->members, id);

		live += is_up(m, id);
		if (!is_in_place(m, id, one))
			return false;
	}
	return voters_count(l) >= REQUIRED && voters_count(l) <= MAX(REQUIRED, live);
}

static bool recover(struct model *m)
{
	u64 end_us = m->g->now_us + RECOVERY_MAX_US;

	while (m->g->now_us < end_us) {
		if (is_whole(m))
			return true;
		step(m);
	}
	return false;
}

static bool change(struct model *m)
{
	u64 acked = m->g->acked;
	u64 end_us = m->g->now_us + RECOVERY_MAX_US;

	while (m->g->acked == acked && m->g->now_us < end_us) {
		fake_group_propose(m->g, fake_group_leader(m->g));
		run(m, 100 * US_PER_MS);
	}
	m->floor = m->g->committed->len - 1;
	return m->g->acked > acked;
}

/* Two lose their disks, and all others lose power. */
static void final_fault(struct model *m)
{
	u32 wiped[LOSSES];
	bool was_up[FAKE_GROUP_MAX + 1] = { false };

	wiped[0] = pick(m);
	do
		wiped[1] = pick(m);
	while (wiped[1] == wiped[0]);
	for (u32 id = 1; id <= m->g->n; id++) {
		was_up[id] = is_up(m, id);
		fake_group_crash(m->g, id);
	}
	for (u32 i = 0; i < LOSSES; i++)
		fake_group_wipe_disk(m->g, wiped[i]);
	run(m, POWER_OFF_US);
	for (u32 id = 1; id <= m->g->n; id++)
		if (was_up[id])
			fake_group_start(m->g, id);
}

/* A process is replaced as planned; while it ends, or just after, two others lose their disks. */
static void lose_disks_at_a_planned_end(struct model *m)
{
	u32 old = pick(m);
	u32 wiped[LOSSES];

	plan(m, fake_group_add(m->g), START, m->g->now_us);
	run(m, CATCH_UP_US);
	plan(m, old, END, m->g->now_us);
	run(m, STEP_US + random_us(m, GAP_MAX_US));
	for (u32 i = 0; i < LOSSES; i++) {
		wiped[i] = pick(m);
		fake_group_crash(m->g, wiped[i]);
		fake_group_wipe_disk(m->g, wiped[i]);
	}
	run(m, POWER_OFF_US);
	for (u32 i = 0; i < LOSSES; i++)
		fake_group_start(m->g, wiped[i]);
	run(m, CATCH_UP_US);
}

/*
 * The processes start within START_SPREAD_US. Up to the tolerated number are lost meanwhile and
 * come back, one founder at the most without its disk.
 */
static void found(struct model *m)
{
	u64 end_us = m->g->now_us + START_SPREAD_US;
	bool was_wiped = false;

	for (u32 id = 1; id <= PROCESSES; id++)
		plan(m, id, START, m->g->now_us + random_us(m, START_SPREAD_US));
	for (u32 i = rng_below(&m->g->rng, LOSSES + 1); i; i--) {
		u32 id;

		run(m, STEP_US + random_us(m, START_SPREAD_US));
		id = 1 + rng_below(&m->g->rng, PROCESSES);
		if (!is_up(m, id) || m->next[id].action != NOTHING)
			continue;
		fake_group_crash(m->g, id);
		if (!was_wiped && rng_below(&m->g->rng, 2)) {
			fake_group_wipe_disk(m->g, id);
			was_wiped = true;
		}
		m->g->r[id].was_wiped |= m->forgets_founding;
		plan(m, id, START, m->g->now_us + random_us(m, LOSS_MAX_US));
		end_us = MAX(end_us, m->next[id].at_us);
	}
	if (m->g->now_us < end_us)
		run(m, end_us - m->g->now_us);
}

static void begin(struct model *m, u64 seed, change_rule rule)
{
	*m = (struct model){ .g = fake_group_new_founded(PROCESSES, FOUNDERS, seed), .rule = rule };
	m->g->copies_min = LOSSES + 1;
	m->g->forgets_founders = true;
}

/* One to three things happen beside each other. */
static void disturb(struct model *m)
{
	bool is_planned = rng_below(&m->g->rng, 2);
	u32 losses = rng_below(&m->g->rng, is_planned ? LOSSES : LOSSES + 1);
	u64 end_us = m->g->now_us;

	for (u32 i = 0; i < losses; i++) {
		u64 back_us = lose_one(m);

		end_us = MAX(end_us, back_us);
	}
	if (is_planned) {
		u64 done_us = replace_as_planned(m);

		end_us = MAX(end_us, done_us);
	}
	run(m, end_us - m->g->now_us);
}

/* Prints the state at a failure. */
static void describe(struct model *m)
{
	u32 leader = fake_group_leader(m->g);

	g_test_message("at %llu us: leader %u, floor %llu", (unsigned long long)m->g->now_us,
		       leader, (unsigned long long)m->floor);
	for (u32 id = 1; id <= m->g->n; id++) {
		struct raft *r = raft_of(m, id);
		const struct raft_member *one =
			leader ? raft_member_find(&raft_of(m, leader)->members, id) : NULL;

		g_test_message("%u: %s, role %d, term %llu, applied %llu of %llu, %s", id,
			       is_up(m, id) ? "up" : "down", r->role, (unsigned long long)r->term,
			       (unsigned long long)r->applied,
			       (unsigned long long)(is_up(m, id) ? raft_last_index(r) : 0),
			       !one	     ? "no member" :
			       one->is_voter ? "voter" :
					       "learner");
	}
}

/* Returns what went wrong, or NULL. */
static const char *play(u64 seed, change_rule rule, bool keeps_votes, bool forgets_founding)
{
	const char *fault = NULL;
	struct model m;

	begin(&m, seed, rule);
	m.keeps_votes = keeps_votes;
	m.forgets_founding = forgets_founding;
	found(&m);
	if (!recover(&m))
		fault = "the group does not form";
	for (u32 round = 0; !fault && round < ROUNDS; round++) {
		if (!change(&m))
			fault = "no change is accepted";
		disturb(&m);
		if (!fault && !recover(&m))
			fault = "the group is not whole again";
	}
	if (!fault && !change(&m))
		fault = "no change is accepted at the end";
	if (!fault) {
		lose_disks_at_a_planned_end(&m);
		if (!recover(&m) || !change(&m))
			fault = "the group does not survive the loss of disks at a planned end";
	}
	if (!fault) {
		final_fault(&m);
		if (!recover(&m))
			fault = "the group does not survive the loss of disks";
	}
	if (fault)
		describe(&m);
	fake_group_free(m.g);
	return fault;
}

static void test_any_order(void)
{
	const char *text = g_getenv("MODEL_SEEDS");
	u32 seeds = text ? (u32)atoi(text) : SEEDS;

	for (u64 seed = 1; seed <= seeds; seed++) {
		const char *fault = play(seed, product_rule, false, false);

		if (fault)
			g_error("seed %llu: %s", (unsigned long long)seed, fault);
	}
}

/* The model finds the fault that it was written for. */
static void test_earlier_rule_is_found(void)
{
	u32 found = 0;

	for (u64 seed = 1; seed <= SEEDS; seed++)
		found += play(seed, earlier_rule, false, false) != NULL;
	g_test_message("%u of %u seeds", found, SEEDS);
	g_assert_cmpuint(found, >, 0);
}

/* So does it find that of docs/incidents/vote-of-an-ended-process.md. */
static void test_vote_that_ends_with_its_process_is_found(void)
{
	u32 found = 0;

	for (u64 seed = 1; seed <= SEEDS; seed++)
		found += play(seed, product_rule, true, false) != NULL;
	g_test_message("%u of %u seeds", found, SEEDS);
	g_assert_cmpuint(found, >, 0);
}

/* And that of docs/incidents/founder-that-forgets.md. */
static void test_founder_that_forgets_is_found(void)
{
	u32 found = 0;

	for (u64 seed = 1; seed <= SEEDS; seed++)
		found += play(seed, product_rule, false, true) != NULL;
	g_test_message("%u of %u seeds", found, SEEDS);
	g_assert_cmpuint(found, >, 0);
}

/*
 * Guards against: a founder that loses its disk once the group is formed, before the others have
 * joined, leaves two that commit nothing more.
 */
static void test_founder_emptied_after_founding(void)
{
	for (u64 seed = 1; seed <= SEEDS; seed++) {
		u32 id = 1 + (u32)(seed % FOUNDERS);
		bool is_recovered;
		bool is_changed;
		struct model m;

		begin(&m, seed, product_rule);
		for (u32 founder = 1; founder <= FOUNDERS; founder++)
			fake_group_start(m.g, founder);
		while (raft_of(&m, 1)->role == RAFT_FORMING)
			step(&m);
		run(&m, random_us(&m, 2 * US_PER_S));
		fake_group_crash(m.g, id);
		fake_group_wipe_disk(m.g, id);
		for (u32 other = 1; other <= PROCESSES; other++)
			if (!is_up(&m, other))
				plan(&m, other, START, m.g->now_us + random_us(&m, US_PER_S));
		run(&m, US_PER_S);
		g_test_message("seed %llu", (unsigned long long)seed);
		is_recovered = recover(&m);
		g_assert_true(is_recovered);
		is_changed = change(&m);
		g_assert_true(is_changed);
		fake_group_free(m.g);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/voters-model/any-order", test_any_order);
	g_test_add_func("/voters-model/earlier-rule-is-found", test_earlier_rule_is_found);
	g_test_add_func("/voters-model/vote-that-ends-with-its-process-is-found",
			test_vote_that_ends_with_its_process_is_found);
	g_test_add_func("/voters-model/founder-that-forgets-is-found",
			test_founder_that_forgets_is_found);
	g_test_add_func("/voters-model/founder-emptied-after-founding",
			test_founder_emptied_after_founding);
	return g_test_run();
}
