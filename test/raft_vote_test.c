/* Votes and elections of one raft replica, message by message. */
#include "test/fakes/stepped_raft.h"

static void test_vote_is_saved_before_reply(void)
{
	struct stepped_raft *o = stepped_new(3, 1, 3);

	stepped_request_vote(o, 2, 5, 3, 1);
	g_assert_true(stepped_last_sent(o)->m.is_ok);
	g_assert_cmpuint(o->saved_term, ==, 5);
	g_assert_cmpuint(o->saved_vote, ==, 2);
	stepped_request_vote(o, 3, 5, 3, 1);
	g_assert_false(stepped_last_sent(o)->m.is_ok);
	stepped_request_vote(o, 2, 5, 3, 1);
	g_assert_true(stepped_last_sent(o)->m.is_ok);
	stepped_free(o);
}

static void test_vote_requires_up_to_date_log(void)
{
	struct stepped_raft *o = stepped_new(3, 2, 5);

	stepped_request_vote(o, 2, 5, 4, 2);
	g_assert_false(stepped_last_sent(o)->m.is_ok);
	stepped_request_vote(o, 2, 6, 9, 1);
	g_assert_false(stepped_last_sent(o)->m.is_ok);
	stepped_request_vote(o, 2, 7, 2, 3);
	g_assert_true(stepped_last_sent(o)->m.is_ok);
	stepped_free(o);
}

static void test_candidate_saves_its_vote(void)
{
	struct stepped_raft *o = stepped_new(3, 4, 3);

	stepped_elect(o);
	g_assert_cmpuint(o->saved_term, ==, 5);
	g_assert_cmpuint(o->saved_vote, ==, 1);
	stepped_free(o);
}

static void test_vote_from_an_emptied_disk_does_not_count(void)
{
	struct stepped_raft *o = stepped_new(3, 1, 3);
	struct raft_msg m = {
		.type = RAFT_PREVOTE_REPLY, .from = 2, .replica = 99, .term = 2, .is_ok = true
	};

	o->r.election_due_us = STEPPED_NOW_US;
	raft_tick(&o->r, STEPPED_NOW_US);
	stepped_receive(o, m, STEPPED_NOW_US);
	g_assert_cmpint(o->r.role, ==, RAFT_PRECANDIDATE);
	m.replica = 20;
	stepped_receive(o, m, STEPPED_NOW_US);
	g_assert_cmpint(o->r.role, ==, RAFT_CANDIDATE);
	m.type = RAFT_VOTE_REPLY;
	m.replica = 99;
	stepped_receive(o, m, STEPPED_NOW_US);
	g_assert_cmpint(o->r.role, ==, RAFT_CANDIDATE);
	stepped_free(o);
}

/* After a long stall, pending messages are handled before an election starts. */
static void test_late_tick_starts_no_election(void)
{
	struct stepped_raft *o = stepped_new(3, 1, 3);

	raft_tick(&o->r, o->r.election_due_us + US_PER_S);
	g_assert_cmpint(o->r.role, ==, RAFT_FOLLOWER);
	raft_tick(&o->r, o->r.election_due_us);
	g_assert_cmpint(o->r.role, ==, RAFT_PRECANDIDATE);
	stepped_free(o);
}

/*
 * After a power failure of all replicas no one knows a leader, so the first pre-vote starts soon
 * and is repeated soon while the others are still down. A vote, which is written to disk, waits for
 * the whole election timeout.
 */
static void test_start_without_leader(void)
{
	struct stepped_raft *o = stepped_new(3, 1, 3);
	u64 now = STEPPED_NOW_US + RAFT_PREVOTE_TIMEOUT_MAX_US;

	raft_tick(&o->r, now);
	g_assert_cmpint(o->r.role, ==, RAFT_PRECANDIDATE);
	g_assert_cmpint(stepped_last_sent(o)->m.type, ==, RAFT_PREVOTE);
	o->sent_count = 0;
	now += RAFT_PREVOTE_TIMEOUT_MAX_US;
	raft_tick(&o->r, now);
	g_assert_cmpuint(o->sent_count, ==, 2);
	g_assert_cmpint(stepped_last_sent(o)->m.type, ==, RAFT_PREVOTE);
	stepped_receive(o,
			(struct raft_msg){
				.type = RAFT_PREVOTE_REPLY, .from = 2, .term = 2, .is_ok = true },
			now);
	g_assert_cmpint(o->r.role, ==, RAFT_CANDIDATE);
	g_assert_cmpuint(raft_next_due_us(&o->r), >=, now + RAFT_ELECTION_TIMEOUT_MIN_US);
	stepped_free(o);
}

/* Guards against: a process that stops is elected, so that the group has to elect once more. */
static void test_stopping_process_is_elected(void)
{
	struct stepped_raft *o = stepped_new(3, 1, 3);
	u64 now = STEPPED_NOW_US;

	o->r.stands_for_none = true;
	for (u32 i = 0; i < 5; i++) {
		now = MAX(now, o->r.election_due_us);
		raft_tick(&o->r, now);
		g_assert_cmpint(o->r.role, ==, RAFT_FOLLOWER);
	}
	stepped_receive(o,
			(struct raft_msg){ .type = RAFT_TIMEOUT_NOW, .from = 2, .term = o->r.term },
			now);
	g_assert_cmpint(o->r.role, ==, RAFT_FOLLOWER);
	stepped_free(o);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/raft-step/vote-is-saved-before-reply", test_vote_is_saved_before_reply);
	g_test_add_func("/raft-step/vote-requires-up-to-date-log",
			test_vote_requires_up_to_date_log);
	g_test_add_func("/raft-step/candidate-saves-its-vote", test_candidate_saves_its_vote);
	g_test_add_func("/raft-step/vote-from-an-emptied-disk",
			test_vote_from_an_emptied_disk_does_not_count);
	g_test_add_func("/raft-step/late-tick-starts-no-election",
			test_late_tick_starts_no_election);
	g_test_add_func("/raft-step/stopping-process-is-elected", test_stopping_process_is_elected);
	g_test_add_func("/raft-step/start-without-leader", test_start_without_leader);
	return g_test_run();
}
