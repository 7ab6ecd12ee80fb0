/* Which member of the group becomes a voter, and which voter is removed. */
#include "control/voters.h"
#include "test/fakes/stepped_raft.h"

#define REQUIRED 5
#define SILENT_US (VOTER_TIMEOUT_US + 1)

/* Returns a leader that has heard of all members just now. */
static struct stepped_raft *start(u32 voters)
{
	struct stepped_raft *o = stepped_new(voters, 1, 1);

	stepped_elect(o);
	return o;
}

static void add_learner(struct stepped_raft *o, u32 id)
{
	struct raft *r = &o->r;

	r->members.m[r->members.n] = (struct raft_member){ .id = id, .replica = 10 * id };
	r->progress[r->members.n].heard_us = STEPPED_NOW_US;
	r->progress[r->members.n].match = raft_last_index(r);
	r->members.n++;
}

static void silence(struct stepped_raft *o, u32 id)
{
	struct raft_member *m = raft_member_find(&o->r.members, id);

	o->r.progress[m - o->r.members.m].heard_us = STEPPED_NOW_US - SILENT_US;
}

/* Makes the changes that are due, at most 20; returns how many there were. */
static u32 settle(struct stepped_raft *o)
{
	struct voters_change change;
	u32 n = 0;

	while (n < 20 && voters_next_change(&o->r, REQUIRED, STEPPED_NOW_US, &change)) {
		raft_set_members(&o->r, &change.next, o->r.members_index);
		n++;
	}
	return n;
}

static bool is_voter(struct stepped_raft *o, u32 id)
{
	const struct raft_member *m = raft_member_find(&o->r.members, id);

	return m && m->is_voter;
}

/* A voter that is silent keeps its vote while nobody can take its place. */
static void test_silent_voter_without_learner_stays(void)
{
	struct stepped_raft *o = start(REQUIRED);

	silence(o, 3);
	g_assert_cmpuint(settle(o), ==, 0);
	stepped_free(o);
}

static void test_learner_takes_the_place_of_a_silent_voter(void)
{
	struct stepped_raft *o = start(REQUIRED);

	silence(o, 3);
	add_learner(o, 6);
	g_assert_cmpuint(settle(o), ==, 2);
	g_assert_true(is_voter(o, 6));
	g_assert_null(raft_member_find(&o->r.members, 3));
	stepped_free(o);
}

/*
 * Guards against: a member that was replaced while it was cut off comes back as a sixth voter, so
 * that the quorum is four when one of the six goes.
 */
static void test_returned_member_makes_an_even_group(void)
{
	struct stepped_raft *o = start(REQUIRED);

	add_learner(o, 6);
	g_assert_cmpuint(settle(o), ==, 0);
	g_assert_cmpuint(voters_count(&o->r), ==, REQUIRED);
	stepped_free(o);
}

/* Guards against: a voter that is not required and is gone for good counts against the quorum. */
static void test_surplus_voter_that_is_gone_stays(void)
{
	struct stepped_raft *o = start(REQUIRED + 1);

	silence(o, 4);
	g_assert_cmpuint(settle(o), ==, 1);
	g_assert_null(raft_member_find(&o->r.members, 4));
	g_assert_cmpuint(voters_count(&o->r), ==, REQUIRED);
	stepped_free(o);
}

/* Guards against: learners that are gone fill the membership, and no other process can join. */
static void test_learner_that_is_gone_stays(void)
{
	struct stepped_raft *o = start(REQUIRED);

	add_learner(o, 6);
	silence(o, 6);
	g_assert_cmpuint(settle(o), ==, 0);
	o->r.progress[5].heard_us = STEPPED_NOW_US - LEARNER_TIMEOUT_US - 1;
	g_assert_cmpuint(settle(o), ==, 1);
	g_assert_null(raft_member_find(&o->r.members, 6));
	stepped_free(o);
}

/* Guards against: a learner is removed before it can have answered, again and again. */
static void test_learner_that_was_just_added_is_removed(void)
{
	struct stepped_raft *o = start(REQUIRED);
	struct raft_members next = o->r.members;
	struct voters_change change;
	u64 index;
	int err;

	next.m[next.n++] = (struct raft_member){ .id = 6, .replica = 60 };
	o->r.commit = raft_last_index(&o->r); /* as a change needs the one before */
	err = raft_propose_members(&o->r, &next, STEPPED_NOW_US, &index);
	g_assert_cmpint(err, ==, 0);
	g_assert_false(voters_next_change(&o->r, REQUIRED, STEPPED_NOW_US, &change));
	g_assert_false(voters_next_change(&o->r, REQUIRED, STEPPED_NOW_US + VOTER_TIMEOUT_US - 1,
					  &change));
	for (u32 i = 0; i < REQUIRED; i++)
		o->r.progress[i].heard_us = STEPPED_NOW_US + LEARNER_TIMEOUT_US;
	g_assert_true(voters_next_change(&o->r, REQUIRED, STEPPED_NOW_US + LEARNER_TIMEOUT_US + 1,
					 &change));
	g_assert_cmpuint(change.id, ==, 6);
	stepped_free(o);
}

/* Seven processes vote; while two are cut off five do, and they vote again when they are back. */
static void test_group_follows_its_processes(void)
{
	struct stepped_raft *o = start(REQUIRED);

	add_learner(o, 6);
	add_learner(o, 7);
	settle(o);
	g_assert_cmpuint(voters_count(&o->r), ==, 7);
	silence(o, 2);
	silence(o, 6);
	settle(o);
	g_assert_cmpuint(voters_count(&o->r), ==, REQUIRED);
	add_learner(o, 2);
	add_learner(o, 6);
	settle(o);
	g_assert_cmpuint(voters_count(&o->r), ==, 7);
	stepped_free(o);
}

static void test_number_of_voters_is_bounded(void)
{
	struct stepped_raft *o = start(REQUIRED);

	for (u32 id = 6; id <= 19; id++)
		add_learner(o, id);
	settle(o);
	g_assert_cmpuint(voters_count(&o->r), ==, VOTERS_MAX);
	stepped_free(o);
}

/* No majority is cut to fewer voters than tolerate the losses. */
static void test_required_voters_stay_when_most_are_silent(void)
{
	struct stepped_raft *o = start(7);

	for (u32 id = 2; id <= 7; id++)
		silence(o, id);
	settle(o);
	g_assert_cmpuint(voters_count(&o->r), ==, REQUIRED);
	stepped_free(o);
}

#define LOSSES ((REQUIRED - 1) / 2)

/* Whether the voters that stay are a quorum after the worst loss of LOSSES of them. */
static bool bears_losses(struct stepped_raft *o, u32 ended)
{
	u32 voters = voters_count(&o->r);
	u32 stay = voters - (ended && is_voter(o, ended));

	return stay >= LOSSES + voters / 2 + 1;
}

/*
 * Guards against: the vote of a process that is replaced as planned ends with it, and until it is
 * taken for silent the group bears one loss less than it must.
 */
static void test_vote_ends_with_its_process(void)
{
	struct stepped_raft *o = start(REQUIRED);
	struct voters_change change;

	add_learner(o, 6);
	voters_leave(&o->r, 3, 30, STEPPED_NOW_US);
	while (voters_next_change(&o->r, REQUIRED, STEPPED_NOW_US, &change)) {
		raft_set_members(&o->r, &change.next, o->r.members_index);
		g_assert_true(bears_losses(o, 0));
	}
	g_assert_true(bears_losses(o, 3));
	g_assert_cmpuint(voters_count(&o->r), ==, REQUIRED);
	g_assert_true(is_voter(o, 6));
	stepped_free(o);
}

/* Of a larger group, too; and also where several end at once. */
static void test_votes_end_with_their_processes(void)
{
	static const u32 voters[] = { 5, 7, 9 };

	for (u32 i = 0; i < G_N_ELEMENTS(voters); i++) {
		struct stepped_raft *o = start(voters[i]);

		for (u32 id = 2; id <= 3; id++) {
			add_learner(o, 10 + id);
			voters_leave(&o->r, id, 10 * id, STEPPED_NOW_US);
		}
		settle(o);
		g_assert_false(is_voter(o, 2) || is_voter(o, 3));
		g_assert_cmpuint(voters_count(&o->r), ==, voters[i]);
		stepped_free(o);
	}
}

/* A process that is started again as it was keeps its vote, if no other could take it. */
static void test_leaving_voter_without_learner_stays(void)
{
	struct stepped_raft *o = start(REQUIRED);

	voters_leave(&o->r, 3, 30, STEPPED_NOW_US);
	g_assert_cmpuint(settle(o), ==, 0);
	stepped_free(o);
}

/* One that has just ended, and answered until then, does not get the vote of another. */
static void test_learner_that_leaves_is_not_promoted(void)
{
	struct stepped_raft *o = start(REQUIRED);

	add_learner(o, 6);
	voters_leave(&o->r, 6, 60, STEPPED_NOW_US);
	silence(o, 3);
	g_assert_cmpuint(settle(o), ==, 0);
	stepped_free(o);
}

/* Only the process that holds the data folder of the member speaks for it. */
static void test_leave_of_another_folder(void)
{
	struct stepped_raft *o = start(REQUIRED);

	add_learner(o, 6);
	voters_leave(&o->r, 3, 31, STEPPED_NOW_US);
	voters_leave(&o->r, 33, 330, STEPPED_NOW_US);
	g_assert_cmpuint(settle(o), ==, 0);
	stepped_free(o);
}

/* What a process that ends waits for. */
static void test_what_a_leaving_process_waits_for(void)
{
	struct stepped_raft *o = stepped_new(REQUIRED, 1, 1);
	struct raft *r = &o->r;

	r->commit = r->members_index;
	g_assert_false(voters_may_replace(r, REQUIRED));
	add_learner(o, 6);
	g_assert_true(voters_may_replace(r, REQUIRED));
	r->members_index = r->commit + 1;
	raft_member_find(&r->members, r->id)->is_voter = false;
	g_assert_true(voters_may_replace(r, REQUIRED));
	r->commit = r->members_index;
	g_assert_false(voters_may_replace(r, REQUIRED));
	stepped_free(o);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/voters/silent-voter-without-learner-stays",
			test_silent_voter_without_learner_stays);
	g_test_add_func("/voters/learner-takes-the-place-of-a-silent-voter",
			test_learner_takes_the_place_of_a_silent_voter);
	g_test_add_func("/voters/returned-member-makes-an-even-group",
			test_returned_member_makes_an_even_group);
	g_test_add_func("/voters/surplus-voter-that-is-gone-stays",
			test_surplus_voter_that_is_gone_stays);
	g_test_add_func("/voters/learner-that-is-gone-stays", test_learner_that_is_gone_stays);
	g_test_add_func("/voters/group-follows-its-processes", test_group_follows_its_processes);
	g_test_add_func("/voters/number-of-voters-is-bounded", test_number_of_voters_is_bounded);
	g_test_add_func("/voters/required-voters-stay-when-most-are-silent",
			test_required_voters_stay_when_most_are_silent);
	g_test_add_func("/voters/learner-that-was-just-added-is-removed",
			test_learner_that_was_just_added_is_removed);
	g_test_add_func("/voters/vote-ends-with-its-process", test_vote_ends_with_its_process);
	g_test_add_func("/voters/votes-end-with-their-processes",
			test_votes_end_with_their_processes);
	g_test_add_func("/voters/leaving-voter-without-learner-stays",
			test_leaving_voter_without_learner_stays);
	g_test_add_func("/voters/learner-that-leaves-is-not-promoted",
			test_learner_that_leaves_is_not_promoted);
	g_test_add_func("/voters/leave-of-another-folder", test_leave_of_another_folder);
	g_test_add_func("/voters/what-a-leaving-process-waits-for",
			test_what_a_leaving_process_waits_for);
	return g_test_run();
}
