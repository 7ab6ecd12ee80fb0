/*
 * Emptied disks in a group of five that tolerates the loss of two: which replica leads, which one
 * may serve configurations, and whether the group repairs itself. Replaced members take the same
 * steps as in control/join.c: demoted to a learner with the new replica id, then made a voter.
 */
#include "control/raft_impl.h"
#include "test/fakes/fake_group.h"
#include "wire/ctl.h"

#include <string.h>

#define MEMBERS 5
#define LOSSES 2
#define SEEDS 300
#define ROUNDS 6
#define STEP_US (1 * US_PER_MS)
#define SETTLE_US (20 * US_PER_S)
/* Time in which the group has to be whole again once all members are back. */
#define RECOVERY_MAX_US (15 * US_PER_S)
/* A member counts as lost until this time after it is back. */
#define CATCH_UP_US (4 * US_PER_S)
#define REPLACE_INTERVAL_US (200 * US_PER_MS)
/*
 * How old the state of a fresh replica may be: a follower's lease, then the time in which a leader
 * that was cut off notices it, twice the longest delay of a message, and a step of the test.
 */
#define STALE_MAX_US                                                                               \
	(CTL_LEASE_US + RAFT_ELECTION_TIMEOUT_MIN_US + RAFT_HEARTBEAT_US + 20 * US_PER_MS)

struct disks {
	struct fake_group *g;
	u64 wiped_us[MEMBERS +
		     1]; /* when the emptied member started again; 0 when it is replaced */
	u64 start_at_us[MEMBERS + 1]; /* when a member without power gets it back; 0 for none */
	u64 replace_due_us;
	GArray *committed_us; /* u64, by index: when the entry was first applied by any replica */
	u64 started_us[MEMBERS + 1];
	u64 floor; /* a replica started since floor_us that is fresh must have applied this index */
	u64 floor_us;
	u64 stale_max_us; /* longest time for which a fresh replica lacked a committed entry */
	u32 fresh_learners; /* steps in which an emptied member was fresh before it voted */
	u64 recovery_max_us;
};

static void disks_begin(struct disks *d, u64 seed)
{
	*d = (struct disks){ .g = fake_group_new(MEMBERS, seed) };
	d->committed_us = g_array_new(FALSE, TRUE, sizeof(u64));
	d->g->copies_min = LOSSES + 1;
	for (u32 id = 1; id <= MEMBERS; id++)
		fake_raft(d->g, id)->copies_min = LOSSES + 1;
}

static void disks_end(struct disks *d)
{
	g_array_unref(d->committed_us);
	fake_group_free(d->g);
}

static u64 last_committed(const struct disks *d)
{
	return d->g->committed->len - 1;
}

static void record_commits(struct disks *d)
{
	while (d->committed_us->len <= last_committed(d))
		g_array_append_val(d->committed_us, d->g->now_us);
}

static bool is_voter(struct disks *d, u32 id)
{
	return raft_is_voter(fake_raft(d->g, id));
}

static void check_fresh(struct disks *d, u32 id)
{
	struct raft *r = fake_raft(d->g, id);
	u64 age_us = 0;

	if (!d->g->r[id].is_up || !raft_is_fresh(r, CTL_LEASE_US, d->g->now_us))
		return;
	d->fresh_learners += d->wiped_us[id] && !is_voter(d, id);
	if (d->started_us[id] >= d->floor_us)
		g_assert_cmpuint(r->applied, >=, d->floor);
	if (r->applied < last_committed(d))
		age_us = d->g->now_us - g_array_index(d->committed_us, u64, r->applied + 1);
	d->stale_max_us = MAX(d->stale_max_us, age_us);
	g_assert_cmpuint(age_us, <=, STALE_MAX_US);
}

static bool is_demoted(struct disks *d, u32 id)
{
	struct raft *l = fake_raft(d->g, fake_group_leader(d->g));
	const struct raft_member *m = raft_member_find(&l->members, id);

	return m && m->replica == fake_raft(d->g, id)->replica;
}

/* Takes the next step for the emptied members that are up and demoted or not. */
static bool replace_those(struct disks *d, bool demoted)
{
	bool is_any = false;

	for (u32 id = 1; id <= MEMBERS; id++) {
		if (!d->wiped_us[id] || !d->g->r[id].is_up || is_demoted(d, id) != demoted)
			continue;
		is_any = true;
		if (fake_group_replace(d->g, id, d->wiped_us[id]) == 200)
			d->wiped_us[id] = 0;
	}
	return is_any;
}

/* As in control/join.c: all emptied members become learners before one of them votes again. */
static void replace_members(struct disks *d)
{
	if (d->g->now_us < d->replace_due_us)
		return;
	d->replace_due_us = d->g->now_us + REPLACE_INTERVAL_US;
	if (!replace_those(d, false))
		replace_those(d, true);
}

static void power_on(struct disks *d)
{
	for (u32 id = 1; id <= MEMBERS; id++) {
		if (!d->start_at_us[id] || d->g->now_us < d->start_at_us[id])
			continue;
		d->start_at_us[id] = 0;
		if (d->wiped_us[id])
			d->wiped_us[id] = d->g->now_us;
		d->started_us[id] = d->g->now_us;
		fake_group_start(d->g, id);
	}
}

static void step(struct disks *d)
{
	fake_group_run(d->g, STEP_US);
	g_assert_cmpstr(d->g->violation, ==, NULL);
	record_commits(d);
	power_on(d);
	replace_members(d);
	for (u32 id = 1; id <= MEMBERS; id++)
		check_fresh(d, id);
}

static void run(struct disks *d, u64 span_us)
{
	for (u64 end_us = d->g->now_us + span_us; d->g->now_us < end_us;)
		step(d);
}

static u64 random_us(struct disks *d, u64 most_us)
{
	return rng_below(&d->g->rng, (u32)most_us + 1);
}

static u32 random_member(struct disks *d)
{
	return 1 + rng_below(&d->g->rng, MEMBERS);
}

/* Takes the power of ID, until a moment between the two times from now on. */
static void power_off(struct disks *d, u32 id, u64 least_us, u64 most_us)
{
	fake_group_crash(d->g, id);
	d->start_at_us[id] = d->g->now_us + least_us + random_us(d, most_us - least_us);
}

static void wipe(struct disks *d, u32 id, u64 least_us, u64 most_us)
{
	power_off(d, id, least_us, most_us);
	fake_group_wipe_disk(d->g, id);
	d->wiped_us[id] = d->g->now_us;
}

static bool is_whole(struct disks *d)
{
	u32 leader = fake_group_leader(d->g);
	struct raft *l = fake_raft(d->g, leader);

	if (!leader || l->applied != raft_last_index(l) || l->applied < d->floor)
		return false;
	for (u32 id = 1; id <= MEMBERS; id++)
		if (!d->g->r[id].is_up || d->wiped_us[id] || !is_voter(d, id) ||
		    fake_raft(d->g, id)->applied != l->applied ||
		    !raft_is_fresh(fake_raft(d->g, id), CTL_LEASE_US, d->g->now_us))
			return false;
	return true;
}

/* Runs until all members are fresh voters with the same state. */
static void recover(struct disks *d)
{
	u64 began_us = d->g->now_us;

	while (!is_whole(d)) {
		step(d);
		g_assert_cmpuint(d->g->now_us - began_us, <, RECOVERY_MAX_US);
	}
	d->recovery_max_us = MAX(d->recovery_max_us, d->g->now_us - began_us);
}

/* Has a change accepted; returns false if there was no leader or it took too long. */
static bool change(struct disks *d)
{
	u64 acked = d->g->acked;
	u64 end_us = d->g->now_us + US_PER_S;

	if (!fake_group_propose(d->g, fake_group_leader(d->g)))
		return false;
	while (d->g->acked == acked && d->g->now_us < end_us)
		step(d);
	return d->g->acked > acked;
}

static void pick_followers(struct disks *d, u32 picked[2])
{
	u32 leader = fake_group_leader(d->g);

	do
		picked[0] = random_member(d);
	while (picked[0] == leader);
	do
		picked[1] = random_member(d);
	while (picked[1] == leader || picked[1] == picked[0]);
}

static bool is_one_of(u32 id, const u32 pair[2])
{
	return id == pair[0] || id == pair[1];
}

/* Cuts two followers off from the others and from each other. */
static void cut_off(struct disks *d, const u32 behind[2])
{
	fake_group_isolate(d->g, behind[0]);
	for (u32 id = 1; id <= MEMBERS; id++)
		for (u32 i = 0; i < 2; i++)
			if (id != behind[i])
				d->g->cut[id][behind[i]] = d->g->cut[behind[i]][id] = true;
}

/* Has changes accepted that only the three members that are not BEHIND hold. */
static void change_on_three(struct disks *d, u32 behind[2], u32 changes)
{
	pick_followers(d, behind);
	cut_off(d, behind);
	for (u32 i = 0; i < changes; i++)
		g_assert_true(change(d));
	for (u32 i = 0; i < 2; i++)
		g_assert_cmpuint(raft_last_index(fake_raft(d->g, behind[i])), <, last_committed(d));
}

/* Everything that was accepted until now has to last. */
static void set_floor(struct disks *d)
{
	d->floor = last_committed(d);
	d->floor_us = d->g->now_us;
}

/* Takes the power of all members that have it; WIPED come back with empty disks. */
static void all_dark(struct disks *d, const u32 wiped[2])
{
	set_floor(d);
	for (u32 id = 1; id <= MEMBERS; id++) {
		if (is_one_of(id, wiped))
			wipe(d, id, 1 * US_PER_S, 3 * US_PER_S);
		else
			power_off(d, id, 1 * US_PER_S, 3 * US_PER_S);
	}
	fake_group_heal(d->g);
}

/* Picks two of the three members that are not BEHIND. */
static void pick_holders(struct disks *d, const u32 behind[2], u32 picked[2])
{
	do
		picked[0] = random_member(d);
	while (is_one_of(picked[0], behind));
	do
		picked[1] = random_member(d);
	while (is_one_of(picked[1], behind) || picked[1] == picked[0]);
}

/* The last change is on three disks; two of them are emptied while all members lose power. */
static void empty_two_of_three(struct disks *d)
{
	u32 behind[2];
	u32 wiped[2];

	change_on_three(d, behind, 1 + rng_below(&d->g->rng, 3));
	pick_holders(d, behind, wiped);
	all_dark(d, wiped);
	recover(d);
}

/*
 * Two members miss changes. Of the others one is emptied and two are dark while the cut heals: what
 * is left must not elect a leader.
 */
static void empty_one_while_two_are_behind(struct disks *d)
{
	u32 behind[2];
	u32 emptied[2];

	change_on_three(d, behind, 10);
	pick_holders(d, behind, emptied);
	set_floor(d);
	for (u32 id = 1; id <= MEMBERS; id++)
		if (!is_one_of(id, behind) && id != emptied[0])
			power_off(d, id, 5 * US_PER_S, 6 * US_PER_S);
	wipe(d, emptied[0], US_PER_S / 10, US_PER_S);
	run(d, random_us(d, US_PER_S));
	fake_group_heal(d->g);
	for (u32 i = 0; i < 30; i++) {
		run(d, US_PER_S / 10);
		g_assert_cmpuint(fake_group_leader(d->g), ==, 0);
	}
	recover(d);
}

/* Proposes changes for SPAN_US, whether or not they are accepted. */
static void change_for(struct disks *d, u64 span_us)
{
	for (u64 end_us = d->g->now_us + span_us; d->g->now_us < end_us;) {
		fake_group_propose(d->g, fake_group_leader(d->g));
		run(d, 20 * US_PER_MS);
	}
}

/* The second disk is emptied while the first one is being replaced, then all others lose power. */
static void empty_one_after_the_other(struct disks *d)
{
	u32 first = random_member(d);
	u32 second;

	do
		second = random_member(d);
	while (second == first);
	wipe(d, first, 50 * US_PER_MS, US_PER_S / 2);
	change_for(d, random_us(d, 2 * US_PER_S));
	wipe(d, second, 50 * US_PER_MS, US_PER_S / 2);
	change_for(d, random_us(d, US_PER_S));
	set_floor(d);
	for (u32 id = 1; id <= MEMBERS; id++)
		if (id != first && id != second)
			power_off(d, id, US_PER_S / 10, 2 * US_PER_S);
	recover(d);
}

static u32 count_voters(const struct raft *r)
{
	u32 n = 0;

	for (u32 i = 0; i < r->members.n; i++)
		n += r->members.m[i].is_voter;
	return n;
}

static u32 count_holders(struct disks *d, u64 index)
{
	u32 n = 0;

	for (u32 id = 1; id <= MEMBERS; id++)
		n += d->g->r[id].is_up && raft_last_index(fake_raft(d->g, id)) >= index;
	return n;
}

/*
 * Two emptied members are learners, so that there are three voters: what is accepted then has to
 * last when two of these three are emptied later.
 */
static void empty_the_three_voters(struct disks *d)
{
	u32 first[2];
	u32 next[2];

	pick_followers(d, first);
	for (u32 i = 0; i < 2; i++)
		wipe(d, first[i], 100 * US_PER_MS, 200 * US_PER_MS);
	for (u32 i = 0; count_voters(fake_raft(d->g, fake_group_leader(d->g))) > 3; i++) {
		g_assert_cmpuint(i, <, 5000);
		step(d);
	}
	g_assert_true(change(d));
	set_floor(d);
	g_assert_cmpuint(count_holders(d, d->floor), >=, LOSSES + 1);
	recover(d);
	run(d, CATCH_UP_US);
	pick_holders(d, first, next);
	all_dark(d, next);
	recover(d);
}

typedef void (*scenario)(struct disks *d);

static const scenario scenarios[] = {
	empty_two_of_three,
	empty_one_while_two_are_behind,
	empty_one_after_the_other,
	empty_the_three_voters,
};

static void settle(struct disks *d)
{
	g_assert_true(fake_group_settle(d->g, SETTLE_US));
	for (u32 i = 0; i < 5; i++)
		g_assert_true(change(d));
	recover(d);
}

static void run_scenario(scenario play)
{
	u64 stale_max_us = 0;
	u64 recovery_max_us = 0;
	u32 fresh_learners = 0;

	for (u64 seed = 1; seed <= SEEDS; seed++) {
		struct disks d;

		disks_begin(&d, seed);
		settle(&d);
		play(&d);
		stale_max_us = MAX(stale_max_us, d.stale_max_us);
		recovery_max_us = MAX(recovery_max_us, d.recovery_max_us);
		fresh_learners += d.fresh_learners;
		disks_end(&d);
	}
	g_test_message("%u seeds; a fresh member lacked an accepted change for at most %u us; all "
		       "members whole after at most %u us; %u ms as a fresh learner",
		       SEEDS, (u32)stale_max_us, (u32)recovery_max_us, fresh_learners);
}

/*
 * Guards against a change lost, or an older state called fresh, after a loss of power at the end.
 */
static void test_two_of_three_holders(void)
{
	run_scenario(empty_two_of_three);
}

/* Guards against a leader elected by members that missed changes and one that was emptied. */
static void test_one_while_two_are_behind(void)
{
	run_scenario(empty_one_while_two_are_behind);
}

/* Guards against a change lost while the membership changes. */
static void test_one_after_the_other(void)
{
	run_scenario(empty_one_after_the_other);
}

/* Guards against a change accepted by fewer disks than losses + 1 while members are learners. */
static void test_the_three_voters(void)
{
	run_scenario(empty_the_three_voters);
}

/* Many such losses in a row, with snapshots in place of the log. */
static void test_again_and_again(void)
{
	for (u64 seed = 1; seed <= SEEDS / ROUNDS; seed++) {
		struct disks d;

		disks_begin(&d, seed);
		settle(&d);
		for (u32 i = 0; i < ROUNDS; i++) {
			scenarios[rng_below(&d.g->rng, G_N_ELEMENTS(scenarios))](&d);
			raft_compact(fake_raft(d.g, random_member(&d)));
			run(&d, CATCH_UP_US);
		}
		disks_end(&d);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/emptied-disks/two-of-three-holders", test_two_of_three_holders);
	g_test_add_func("/emptied-disks/one-while-two-are-behind", test_one_while_two_are_behind);
	g_test_add_func("/emptied-disks/one-after-the-other", test_one_after_the_other);
	g_test_add_func("/emptied-disks/the-three-voters", test_the_three_voters);
	g_test_add_func("/emptied-disks/again-and-again", test_again_and_again);
	return g_test_run();
}
