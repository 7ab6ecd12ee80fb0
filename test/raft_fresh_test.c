/* When a raft replica counts as fresh and answers reads, message by message. */
#include "lib/err.h"
#include "test/fakes/stepped_raft.h"
#include "wire/ctl.h"

static void test_read_requires_a_later_heartbeat_round(void)
{
	struct stepped_raft *o = stepped_new(3, 1, 3);

	stepped_elect(o);
	g_assert_cmpint(raft_read_index(&o->r, 1, STEPPED_NOW_US), ==, ERR_BUSY);
	raft_tick(&o->r, STEPPED_NOW_US);
	stepped_reply(o, 2, 4, true);
	g_assert_cmpint(raft_read_index(&o->r, 1, STEPPED_NOW_US), ==, 0);
	/* A reply to the previous round. */
	stepped_reply(o, 2, 4, true);
	g_assert_cmpuint(o->reads_ok, ==, 0);
	raft_tick(&o->r, STEPPED_NOW_US);
	g_assert_cmpuint(o->reads_ok, ==, 0);
	stepped_reply(o, 2, 4, true);
	g_assert_cmpuint(o->reads_ok, ==, 1);
	g_assert_cmpint(raft_read_index(&o->r, 2, STEPPED_NOW_US), ==, 0);
	stepped_receive(o, (struct raft_msg){ .type = RAFT_APPEND_ENTRIES, .from = 2, .term = 9 },
			STEPPED_NOW_US);
	g_assert_cmpuint(o->reads_failed, ==, 1);
	stepped_free(o);
}

static void test_leader_without_quorum_steps_down(void)
{
	struct stepped_raft *o = stepped_new(3, 1, 3);
	u64 later = STEPPED_NOW_US + RAFT_ELECTION_TIMEOUT_MIN_US + 1;

	stepped_elect(o);
	g_assert_true(raft_is_fresh(&o->r, 2 * US_PER_S, STEPPED_NOW_US) == false);
	raft_tick(&o->r, STEPPED_NOW_US);
	stepped_reply(o, 2, 4, true);
	g_assert_true(raft_is_fresh(&o->r, 2 * US_PER_S, STEPPED_NOW_US));
	raft_tick(&o->r, later);
	g_assert_cmpint(o->r.role, ==, RAFT_FOLLOWER);
	g_assert_cmpint(raft_propose(&o->r, RAFT_COMMAND, NULL, later, &(u64){ 0 }), ==,
			ERR_NOTLEADER);
	g_assert_false(raft_is_fresh(&o->r, 2 * US_PER_S, later));
	stepped_free(o);
}

/* A word of the leader: entry INDEX, which follows in the log of stepped_new(3, 1, 3), and COMMIT.
 */
static void hear(struct stepped_raft *o, u64 index, u64 commit, u64 now_us)
{
	struct raft_entry *e = raft_entry_new(index, 2, RAFT_NOOP, NULL);
	g_autoptr(GPtrArray) entries = g_ptr_array_new();

	if (index > raft_last_index(&o->r))
		g_ptr_array_add(entries, e);
	stepped_receive(o,
			(struct raft_msg){ .type = RAFT_APPEND_ENTRIES,
					   .from = 2,
					   .term = 2,
					   .index = index - 1,
					   .log_term = raft_term_at(&o->r, index - 1),
					   .commit = commit,
					   .round = now_us,
					   .entries = entries },
			now_us);
	raft_entry_free(e);
}

/*
 * Guards against: a follower that is always a few entries behind the leader's words is never fresh.
 * One that does not come forward is not, though it hears the leader.
 */
static void test_fresh_though_always_behind(void)
{
	struct stepped_raft *o = stepped_new(3, 1, 3);
	u64 now = STEPPED_NOW_US;
	u64 index = 4;

	hear(o, index, index, now);
	g_assert_true(raft_is_fresh(&o->r, CTL_LEASE_US, now));
	for (u32 i = 0; i < 20; i++) {
		now += 100 * US_PER_MS;
		index++;
		hear(o, index, index + 2, now);
		g_assert_cmpuint(o->r.applied, <, o->r.word.commit);
		g_assert_true(raft_is_fresh(&o->r, CTL_LEASE_US, now));
	}
	for (u32 i = 0; i < 10; i++) {
		now += 100 * US_PER_MS;
		hear(o, index, index + 4, now);
	}
	g_assert_false(raft_is_fresh(&o->r, CTL_LEASE_US, now));
	stepped_free(o);
}

/* A follower is not fresh until an entry of the leader's term commits: it may lack commits. */
static void test_fresh_after_commit_in_the_leaders_term(void)
{
	struct stepped_raft *o = stepped_new(3, 1, 3);
	struct raft_entry *noop = raft_entry_new(4, 2, RAFT_NOOP, NULL);
	g_autoptr(GPtrArray) entries = g_ptr_array_new();
	struct raft_msg append = { .type = RAFT_APPEND_ENTRIES,
				   .from = 2,
				   .term = 2,
				   .index = 3,
				   .log_term = 1,
				   .commit = 1,
				   .round = STEPPED_NOW_US,
				   .entries = entries };

	g_ptr_array_add(entries, noop);
	stepped_receive(o, append, STEPPED_NOW_US);
	g_assert_cmpuint(o->r.leader, ==, 2);
	g_assert_false(raft_is_fresh(&o->r, US_PER_S, STEPPED_NOW_US));
	append.commit = 4;
	stepped_receive(o, append, STEPPED_NOW_US);
	g_assert_cmpuint(o->r.commit, ==, 4);
	g_assert_true(raft_is_fresh(&o->r, US_PER_S, STEPPED_NOW_US));
	raft_entry_free(noop);
	stepped_free(o);
}

/*
 * Guards against: a leader counts as fresh by replies that were long on their way, although its
 * followers may have elected another one since they sent them.
 */
static void test_leader_is_fresh_by_late_replies(void)
{
	struct stepped_raft *o = stepped_new(3, 1, 3);
	struct raft_msg late = { .type = RAFT_APPEND_ENTRIES_REPLY, .from = 2, .is_ok = true };
	u64 arrived = STEPPED_NOW_US + RAFT_ELECTION_TIMEOUT_MIN_US - 1;

	stepped_elect(o);
	raft_tick(&o->r, STEPPED_NOW_US);
	stepped_reply(o, 2, 4, true);
	g_assert_true(raft_is_fresh(&o->r, CTL_LEASE_US, STEPPED_NOW_US));
	late.term = o->r.term;
	late.index = 4;
	late.round = o->r.round; /* of the heartbeat at STEPPED_NOW_US */
	stepped_receive(o, late, arrived);
	g_assert_false(raft_is_fresh(&o->r, CTL_LEASE_US, arrived + CTL_LEASE_US / 2));
	stepped_free(o);
}

/*
 * Guards against: a follower counts as fresh by a heartbeat that was long on its way, although it
 * lacks what was committed since. The round of a heartbeat is the time of the leader's clock, which
 * is the follower's here.
 */
static void test_follower_is_fresh_by_late_heartbeat(void)
{
	struct stepped_raft *o = stepped_new(3, 1, 3);
	struct raft_entry *noop = raft_entry_new(4, 2, RAFT_NOOP, NULL);
	g_autoptr(GPtrArray) entries = g_ptr_array_new();
	struct raft_msg append = { .type = RAFT_APPEND_ENTRIES,
				   .from = 2,
				   .term = 2,
				   .index = 3,
				   .log_term = 1,
				   .commit = 4,
				   .round = STEPPED_NOW_US,
				   .entries = entries };

	g_ptr_array_add(entries, noop);
	stepped_receive(o, append, STEPPED_NOW_US);
	g_assert_true(raft_is_fresh(&o->r, CTL_LEASE_US, STEPPED_NOW_US));
	stepped_receive(o, append, STEPPED_NOW_US + 3 * US_PER_S);
	g_assert_false(raft_is_fresh(&o->r, CTL_LEASE_US, STEPPED_NOW_US + 3 * US_PER_S));
	raft_entry_free(noop);
	stepped_free(o);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/raft-step/fresh-though-always-behind", test_fresh_though_always_behind);
	g_test_add_func("/raft-step/read-requires-a-later-heartbeat-round",
			test_read_requires_a_later_heartbeat_round);
	g_test_add_func("/raft-step/leader-without-quorum-steps-down",
			test_leader_without_quorum_steps_down);
	g_test_add_func("/raft-step/fresh-after-commit-in-the-leaders-term",
			test_fresh_after_commit_in_the_leaders_term);
	g_test_add_func("/raft-step/leader-is-fresh-by-late-replies",
			test_leader_is_fresh_by_late_replies);
	g_test_add_func("/raft-step/follower-is-fresh-by-late-heartbeat",
			test_follower_is_fresh_by_late_heartbeat);
	return g_test_run();
}
