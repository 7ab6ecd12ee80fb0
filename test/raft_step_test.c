/* The log of one raft replica, message by message: acknowledgements, commits, invalid messages. */
#include "lib/err.h"
#include "test/fakes/stepped_raft.h"

static void test_acknowledgement_from_an_emptied_disk_does_not_count(void)
{
	struct stepped_raft *o = stepped_new(3, 1, 3);

	stepped_elect(o);
	raft_tick(&o->r, STEPPED_NOW_US);
	stepped_receive(o,
			(struct raft_msg){ .type = RAFT_APPEND_ENTRIES_REPLY,
					   .from = 2,
					   .replica = 99,
					   .term = o->r.term,
					   .index = 4,
					   .round = o->r.round,
					   .is_ok = true },
			STEPPED_NOW_US);
	g_assert_cmpuint(o->r.commit, ==, 1);
	g_assert_cmpuint(o->r.progress[1].last_reply_replica, ==, 99);
	stepped_reply(o, 2, 4, true);
	g_assert_cmpuint(o->r.commit, ==, 4);
	stepped_free(o);
}

/* An entry of an earlier term commits only with one of the current term (Raft paper, 5.4.2). */
static void test_earlier_term_is_not_committed_alone(void)
{
	struct stepped_raft *o = stepped_new(3, 1, 3);

	stepped_elect(o);
	raft_tick(&o->r, STEPPED_NOW_US);
	stepped_reply(o, 2, 3, true);
	g_assert_cmpuint(o->r.commit, ==, 1);
	stepped_reply(o, 2, 4, true);
	g_assert_cmpuint(o->r.commit, ==, 4);
	stepped_free(o);
}

/* The leader counts its own copy of an entry only after syncing it. */
static void test_own_copy_counts_once_synced(void)
{
	struct stepped_raft *o = stepped_new(3, 1, 3);
	u64 index;

	stepped_elect(o);
	raft_tick(&o->r, STEPPED_NOW_US);
	stepped_reply(o, 2, 4, true);
	g_assert_cmpint(raft_propose(&o->r, RAFT_COMMAND, NULL, STEPPED_NOW_US, &index), ==, 0);
	g_assert_cmpuint(index, ==, 5);
	stepped_reply(o, 2, 5, true);
	g_assert_cmpuint(o->r.commit, ==, 4);
	g_assert_cmpuint(o->written_index, ==, 4);
	g_assert_cmpuint(raft_next_due_us(&o->r), ==, 0);
	raft_tick(&o->r, STEPPED_NOW_US);
	g_assert_cmpuint(o->written_index, ==, 5);
	g_assert_cmpuint(o->commit_at_write, ==, 4);
	g_assert_cmpuint(o->r.commit, ==, 5);
	stepped_free(o);
}

/* A follower replies to a change that it forwarded once it knows that the change is committed. */
static void test_commit_index_is_sent_immediately(void)
{
	struct stepped_raft *o = stepped_new(3, 1, 3);
	u32 before;

	stepped_elect(o);
	raft_tick(&o->r, STEPPED_NOW_US);
	stepped_reply(o, 2, 3, true);
	stepped_reply(o, 3, 3, true);
	before = o->sent_count;
	stepped_reply(o, 2, 4, true);
	g_assert_cmpuint(o->r.commit, ==, 4);
	g_assert_cmpuint(o->sent_count, ==, before + 2);
	for (u32 i = before; i < o->sent_count; i++) {
		g_assert_cmpuint(o->sent[i].m.commit, ==, 4);
		g_assert_cmpuint(o->sent[i].entries, ==, 0);
	}
	/* The replies change nothing, so nothing more is sent. */
	stepped_reply(o, 2, 4, true);
	stepped_reply(o, 3, 4, true);
	g_assert_cmpuint(o->sent_count, ==, before + 2);
	stepped_free(o);
}

static void test_leader_syncs_before_stepping_down(void)
{
	struct stepped_raft *o = stepped_new(3, 1, 3);
	u64 index;

	stepped_elect(o);
	raft_propose(&o->r, RAFT_COMMAND, NULL, STEPPED_NOW_US, &index);
	stepped_receive(
		o,
		(struct raft_msg){ .type = RAFT_APPEND_ENTRIES, .from = 2, .term = 9, .index = 9 },
		STEPPED_NOW_US);
	g_assert_cmpint(o->r.role, ==, RAFT_FOLLOWER);
	g_assert_cmpuint(o->written_index, ==, index);
	g_assert_cmpuint(o->r.synced_index, ==, raft_last_index(&o->r));
	stepped_free(o);
}

static void test_membership_change_waits_for_the_current_term(void)
{
	struct stepped_raft *o = stepped_new(3, 1, 3);
	struct raft_members next = stepped_members(3);
	u64 index;

	next.n = 2;
	stepped_elect(o);
	g_assert_cmpint(raft_propose_members(&o->r, &next, STEPPED_NOW_US, &index), ==, ERR_BUSY);
	raft_tick(&o->r, STEPPED_NOW_US);
	stepped_reply(o, 2, 4, true);
	g_assert_cmpint(raft_propose_members(&o->r, &next, STEPPED_NOW_US, &index), ==, 0);
	g_assert_cmpuint(o->r.members.n, ==, 2);
	stepped_free(o);
}

/* Invalid messages must neither crash the process nor damage the log. */
static void test_invalid_messages(void)
{
	struct stepped_raft *o = stepped_new(3, 1, 9);
	g_autoptr(GPtrArray) list = g_ptr_array_new_with_free_func((GDestroyNotify)raft_entry_free);
	struct raft_msg m = { .type = RAFT_APPEND_ENTRIES,
			      .from = 2,
			      .term = 5,
			      .index = 9,
			      .log_term = 1,
			      .commit = 9 };

	stepped_receive(o, m, STEPPED_NOW_US);
	g_assert_cmpuint(o->r.commit, ==, 9);
	g_ptr_array_add(list, raft_entry_new(40, 2, RAFT_COMMAND, NULL));
	m.entries = list;
	stepped_receive(o, m, STEPPED_NOW_US);
	g_assert_cmpuint(raft_last_index(&o->r), ==, 9);
	/* Conflicts with a committed entry. */
	((struct raft_entry *)g_ptr_array_index(list, 0))->index = 6;
	m.index = 5;
	stepped_receive(o, m, STEPPED_NOW_US);
	g_assert_cmpuint(raft_term_at(&o->r, 6), ==, 1);
	/* The previous index is the largest possible, so the next one overflows. */
	m.index = UINT64_MAX;
	m.log_term = 0;
	m.entries = NULL;
	stepped_receive(o, m, STEPPED_NOW_US);
	g_assert_false(stepped_last_sent(o)->m.is_ok);
	m.from = 1;
	stepped_receive(o, m, STEPPED_NOW_US);
	m.from = 3;
	m.type = (enum raft_msg_type)77;
	stepped_receive(o, m, STEPPED_NOW_US);
	stepped_free(o);
}

static void test_reply_beyond_the_log_is_ignored(void)
{
	struct stepped_raft *o = stepped_new(3, 1, 3);

	stepped_elect(o);
	raft_tick(&o->r, STEPPED_NOW_US);
	stepped_reply(o, 2, 900, true);
	stepped_reply(o, 3, 900, true);
	g_assert_cmpuint(o->r.commit, ==, 1);
	g_assert_cmpuint(o->r.progress[1].match, ==, 0);
	stepped_free(o);
}

static void test_entries_in_flight_are_bounded(void)
{
	struct stepped_raft *o = stepped_new(3, 1, 3);
	guint entries = 0;
	u64 index;

	stepped_elect(o);
	raft_tick(&o->r, STEPPED_NOW_US);
	stepped_reply(o, 2, 4, true);
	for (u32 i = 0; i < 2 * RAFT_INFLIGHT_ENTRIES_MAX; i++) {
		o->sent_count = 0;
		raft_propose(&o->r, RAFT_COMMAND, NULL, STEPPED_NOW_US, &index);
		raft_tick(&o->r, STEPPED_NOW_US);
		for (u32 k = 0; k < o->sent_count; k++)
			entries += o->sent[k].to == 2 ? o->sent[k].entries : 0;
	}
	/* Each entry is sent once, up to the limit. */
	g_assert_cmpuint(entries, ==, RAFT_INFLIGHT_ENTRIES_MAX);
	stepped_free(o);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/raft-step/acknowledgement-from-an-emptied-disk",
			test_acknowledgement_from_an_emptied_disk_does_not_count);
	g_test_add_func("/raft-step/earlier-term-is-not-committed-alone",
			test_earlier_term_is_not_committed_alone);
	g_test_add_func("/raft-step/own-copy-counts-once-synced", test_own_copy_counts_once_synced);
	g_test_add_func("/raft-step/commit-index-is-sent-immediately",
			test_commit_index_is_sent_immediately);
	g_test_add_func("/raft-step/leader-syncs-before-stepping-down",
			test_leader_syncs_before_stepping_down);
	g_test_add_func("/raft-step/membership-change-waits-for-the-current-term",
			test_membership_change_waits_for_the_current_term);
	g_test_add_func("/raft-step/invalid-messages", test_invalid_messages);
	g_test_add_func("/raft-step/reply-beyond-the-log", test_reply_beyond_the_log_is_ignored);
	g_test_add_func("/raft-step/entries-in-flight-are-bounded",
			test_entries_in_flight_are_bounded);
	return g_test_run();
}
