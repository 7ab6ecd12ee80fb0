/*
 * A group of control processes on simulated disks and links, whose members are cut off, lose their
 * power or their disks, can't write, and are replaced, planned and for good, in random order. No
 * more than the tolerated number is lost at once. Afterwards the group has the voters that it
 * needs, none of them gone, and survives the loss of as many disks as it tolerates; so it does
 * while a process that is replaced as planned ends, and just after. The first start is disturbed
 * like everything else.
 */
#include "control/raft_impl.h"
#include "test/fakes/group_model.h"

#include <stdlib.h>

#define SEEDS 60
#define ROUNDS 4
/* A process counts as lost until this time after it is back, or started. */
#define CATCH_UP_US (4 * US_PER_S)
#define LOSS_MAX_US (6 * US_PER_S)
#define FAILING_OPS 4
#define SUCCESSOR_DELAY_US (1 * US_PER_S)
#define START_SPREAD_US (300 * US_PER_MS)
#define POWER_OFF_US (650 * US_PER_MS)
/* From the order to end to the loss of disks, at most. */
#define GAP_MAX_US (5 * US_PER_S)

enum loss { CUT, CUT_FROM, CUT_TO, FROZEN, POWER, DISK, DISK_FAILS, REPLACED, LOSS_KINDS };

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

	for (u32 i = 0; voters >= MODEL_REQUIRED && voters < VOTERS_MAX && i < r->members.n; i++) {
		if (!is_returned_founder(m, r, i))
			continue;
		out->next = r->members;
		out->next.m[i].is_voter = true;
		return true;
	}
	if (!membership_next_change(r, requests, MODEL_REQUIRED, m->g->now_us, out))
		return false;
	return voters <= MODEL_REQUIRED || out->next.n >= r->members.n;
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
	u64 back_us =
		now + SUCCESSOR_DELAY_US + model_random_us(m, LOSS_MAX_US - SUCCESSOR_DELAY_US);
	u32 id = model_pick(m);

	switch ((enum loss)rng_below(&m->g->rng, LOSS_KINDS)) {
	case CUT:
		fake_group_isolate(m->g, id);
		model_plan(m, id, HEAL, back_us);
		break;
	case CUT_FROM:
		cut_one_way(m, id, true);
		model_plan(m, id, HEAL, back_us);
		break;
	case CUT_TO:
		cut_one_way(m, id, false);
		model_plan(m, id, HEAL, back_us);
		break;
	case FROZEN:
		fake_group_freeze(m->g, id, back_us - now);
		/* Nothing else may happen to it until then. */
		model_plan(m, id, HEAL, back_us);
		break;
	case DISK:
		fake_group_crash(m->g, id);
		fake_group_wipe_disk(m->g, id);
		model_plan(m, id, START, back_us);
		break;
	case DISK_FAILS:
		fail_disk(m, id);
		model_plan(m, id, START, back_us);
		break;
	case REPLACED:
		fake_group_crash(m->g, id);
		m->is_gone[id] = true;
		back_us = now + SUCCESSOR_DELAY_US;
		model_plan(m, fake_group_add(m->g), START, back_us);
		break;
	default:
		fake_group_crash(m->g, id);
		model_plan(m, id, START, back_us);
	}
	return back_us + CATCH_UP_US;
}

/* The new process first, then the old one ends. */
static u64 replace_as_planned(struct model *m)
{
	u64 starts_us = m->g->now_us + model_random_us(m, LOSS_MAX_US);
	u32 old = model_pick(m);

	model_plan(m, fake_group_add(m->g), START, starts_us);
	model_plan(m, old, END, starts_us + CATCH_UP_US);
	return starts_us + 2 * CATCH_UP_US;
}

/* Two lose their disks, and all others lose power. */
static void final_fault(struct model *m)
{
	u32 wiped[MODEL_LOSSES];
	bool was_up[FAKE_GROUP_MAX + 1] = { false };

	wiped[0] = model_pick(m);
	do
		wiped[1] = model_pick(m);
	while (wiped[1] == wiped[0]);
	for (u32 id = 1; id <= m->g->n; id++) {
		was_up[id] = model_is_up(m, id);
		fake_group_crash(m->g, id);
	}
	for (u32 i = 0; i < MODEL_LOSSES; i++)
		fake_group_wipe_disk(m->g, wiped[i]);
	model_run(m, POWER_OFF_US);
	for (u32 id = 1; id <= m->g->n; id++)
		if (was_up[id])
			fake_group_start(m->g, id);
}

/* A process is replaced as planned; while it ends, or just after, two others lose their disks. */
static void lose_disks_at_a_planned_end(struct model *m)
{
	u32 old = model_pick(m);
	u32 wiped[MODEL_LOSSES];

	model_plan(m, fake_group_add(m->g), START, m->g->now_us);
	model_run(m, CATCH_UP_US);
	model_plan(m, old, END, m->g->now_us);
	model_run(m, MODEL_STEP_US + model_random_us(m, GAP_MAX_US));
	for (u32 i = 0; i < MODEL_LOSSES; i++) {
		wiped[i] = model_pick(m);
		fake_group_crash(m->g, wiped[i]);
		fake_group_wipe_disk(m->g, wiped[i]);
	}
	model_run(m, POWER_OFF_US);
	for (u32 i = 0; i < MODEL_LOSSES; i++)
		fake_group_start(m->g, wiped[i]);
	model_run(m, CATCH_UP_US);
}

/*
 * The processes start within START_SPREAD_US. Up to the tolerated number are lost meanwhile and
 * come back, one founder at the most without its disk.
 */
static void found(struct model *m)
{
	u64 end_us = m->g->now_us + START_SPREAD_US;
	bool was_wiped = false;

	for (u32 id = 1; id <= MODEL_PROCESSES; id++)
		model_plan(m, id, START, m->g->now_us + model_random_us(m, START_SPREAD_US));
	for (u32 i = rng_below(&m->g->rng, MODEL_LOSSES + 1); i; i--) {
		u32 id;

		model_run(m, MODEL_STEP_US + model_random_us(m, START_SPREAD_US));
		id = 1 + rng_below(&m->g->rng, MODEL_PROCESSES);
		if (!model_is_up(m, id) || m->next[id].action != NOTHING)
			continue;
		fake_group_crash(m->g, id);
		if (!was_wiped && rng_below(&m->g->rng, 2)) {
			fake_group_wipe_disk(m->g, id);
			was_wiped = true;
		}
		m->g->r[id].was_wiped |= m->forgets_founding;
		model_plan(m, id, START, m->g->now_us + model_random_us(m, LOSS_MAX_US));
		end_us = MAX(end_us, m->next[id].at_us);
	}
	if (m->g->now_us < end_us)
		model_run(m, end_us - m->g->now_us);
}

/* One to three things happen beside each other. */
static void disturb(struct model *m)
{
	bool is_planned = rng_below(&m->g->rng, 2);
	u32 losses = rng_below(&m->g->rng, is_planned ? MODEL_LOSSES : MODEL_LOSSES + 1);
	u64 end_us = m->g->now_us;

	for (u32 i = 0; i < losses; i++) {
		u64 back_us = lose_one(m);

		end_us = MAX(end_us, back_us);
	}
	if (is_planned) {
		u64 done_us = replace_as_planned(m);

		end_us = MAX(end_us, done_us);
	}
	model_run(m, end_us - m->g->now_us);
}

/* Returns what went wrong, or NULL. */
static const char *play(u64 seed, change_rule rule, bool keeps_votes, bool forgets_founding)
{
	const char *fault = NULL;
	struct model m;

	model_begin(&m, seed, rule);
	m.keeps_votes = keeps_votes;
	m.forgets_founding = forgets_founding;
	found(&m);
	if (!model_recover(&m))
		fault = "the group does not form";
	for (u32 round = 0; !fault && round < ROUNDS; round++) {
		if (!model_change(&m))
			fault = "no change is accepted";
		disturb(&m);
		if (!fault && !model_recover(&m))
			fault = "the group is not whole again";
	}
	if (!fault && !model_change(&m))
		fault = "no change is accepted at the end";
	if (!fault) {
		lose_disks_at_a_planned_end(&m);
		if (!model_recover(&m) || !model_change(&m))
			fault = "the group does not survive the loss of disks at a planned end";
	}
	if (!fault) {
		final_fault(&m);
		if (!model_recover(&m))
			fault = "the group does not survive the loss of disks";
	}
	if (fault)
		model_describe(&m);
	fake_group_free(m.g);
	return fault;
}

static void test_any_order(void)
{
	const char *text = g_getenv("MODEL_SEEDS");
	u32 seeds = text ? (u32)atoi(text) : SEEDS;

	for (u64 seed = 1; seed <= seeds; seed++) {
		const char *fault = play(seed, model_product_rule, false, false);

		if (fault)
			g_error("seed %llu: %s", (unsigned long long)seed, fault);
	}
}

/* Returns how many seeds end with a fault. */
static u32 count_faults(change_rule rule, bool keeps_votes, bool forgets_founding)
{
	u32 found = 0;

	for (u64 seed = 1; seed <= SEEDS; seed++)
		found += play(seed, rule, keeps_votes, forgets_founding) != NULL;
	g_test_message("%u of %u seeds", found, SEEDS);
	return found;
}

/* The model finds the fault that it was written for. */
static void test_earlier_rule_is_found(void)
{
	u32 found = count_faults(earlier_rule, false, false);

	g_assert_cmpuint(found, >, 0);
}

/* So does it find that of docs/incidents/vote-of-an-ended-process.md. */
static void test_vote_that_ends_with_its_process_is_found(void)
{
	u32 found = count_faults(model_product_rule, true, false);

	g_assert_cmpuint(found, >, 0);
}

/* And that of docs/incidents/founder-that-forgets.md. */
static void test_founder_that_forgets_is_found(void)
{
	u32 found = count_faults(model_product_rule, false, true);

	g_assert_cmpuint(found, >, 0);
}

/*
 * Guards against: a founder that loses its disk once the group is formed, before the others have
 * joined, leaves two that commit nothing more.
 */
static void test_founder_emptied_after_founding(void)
{
	for (u64 seed = 1; seed <= SEEDS; seed++) {
		u32 id = 1 + (u32)(seed % MODEL_FOUNDERS);
		bool is_recovered;
		bool is_changed;
		struct model m;

		model_begin(&m, seed, model_product_rule);
		for (u32 founder = 1; founder <= MODEL_FOUNDERS; founder++)
			fake_group_start(m.g, founder);
		while (model_raft(&m, 1)->role == RAFT_FORMING)
			model_step(&m);
		model_run(&m, model_random_us(&m, 2 * US_PER_S));
		fake_group_crash(m.g, id);
		fake_group_wipe_disk(m.g, id);
		for (u32 other = 1; other <= MODEL_PROCESSES; other++)
			if (!model_is_up(&m, other))
				model_plan(&m, other, START,
					   m.g->now_us + model_random_us(&m, US_PER_S));
		model_run(&m, US_PER_S);
		g_test_message("seed %llu", (unsigned long long)seed);
		is_recovered = model_recover(&m);
		g_assert_true(is_recovered);
		is_changed = model_change(&m);
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
