/* What a raft replica does with the parts of a snapshot, message by message. */
#include "test/fakes/stepped_raft.h"

static struct raft_msg install_msg(u64 index, u64 term)
{
	return (struct raft_msg){ .type = RAFT_INSTALL_SNAPSHOT,
				  .from = 2,
				  .term = 5,
				  .index = index,
				  .log_term = term,
				  .members = stepped_members(3),
				  .to_replica = 10 };
}

/* Entries after the snapshot were acknowledged and may be committed, so they must be kept. */
static void test_snapshot_keeps_later_entries(void)
{
	struct stepped_raft *o = stepped_new(3, 1, 9);

	stepped_receive(o, install_msg(5, 1), STEPPED_NOW_US);
	g_assert_cmpuint(raft_last_index(&o->r), ==, 9);
	g_assert_cmpuint(o->r.commit, ==, 5);
	g_assert_cmpuint(o->applied, ==, 5);
	g_assert_cmpuint(stepped_last_sent(o)->m.index, ==, 5);
	g_assert_true(stepped_last_sent(o)->m.is_ok);
	stepped_free(o);
}

static void test_snapshot_replaces_a_conflicting_log(void)
{
	struct stepped_raft *o = stepped_new(3, 1, 9);

	stepped_receive(o, install_msg(5, 3), STEPPED_NOW_US);
	g_assert_cmpuint(raft_last_index(&o->r), ==, 5);
	g_assert_cmpuint(o->r.snap_term, ==, 3);
	stepped_free(o);
}

static void test_snapshot_chunks_in_any_order(void)
{
	struct stepped_raft *o = stepped_new(3, 1, 2);
	struct raft_msg m = install_msg(50, 3);
	g_autoptr(GBytes) part = g_bytes_new("abcd", 4);
	static const u64 offsets[] = { 4, 0, 0, 8, 4, 4, 8 };
	static const u64 have[] = { 0, 4, 4, 4, 8, 8, 0 };

	m.total = 12;
	m.snapshot = part;
	for (u32 i = 0; i < G_N_ELEMENTS(offsets); i++) {
		m.offset = offsets[i];
		stepped_receive(o, m, STEPPED_NOW_US);
		g_assert_cmpuint(stepped_last_sent(o)->m.offset, ==, have[i]);
		g_assert_cmpint(stepped_last_sent(o)->m.is_ok, ==, i + 1 == G_N_ELEMENTS(offsets));
	}
	g_assert_cmpuint(g_bytes_get_size(o->r.snap_state), ==, 12);
	g_assert_cmpuint(o->r.commit, ==, 50);
	stepped_free(o);
}

static void test_snapshot_size_and_replica_are_checked(void)
{
	struct stepped_raft *o = stepped_new(3, 1, 2);
	struct raft_msg m = install_msg(50, 3);
	g_autoptr(GBytes) part = g_bytes_new("abcd", 4);

	m.snapshot = part;
	m.total = RAFT_SNAPSHOT_MAX_BYTES + 1ULL;
	stepped_receive(o, m, STEPPED_NOW_US);
	m.total = 2;
	stepped_receive(o, m, STEPPED_NOW_US);
	m.total = 4;
	m.to_replica = 11;
	stepped_receive(o, m, STEPPED_NOW_US);
	g_assert_cmpuint(o->r.commit, ==, 1);
	stepped_free(o);
}

static void test_blank_replica_requests_the_snapshot(void)
{
	struct stepped_raft *o = g_new0(struct stepped_raft, 1);
	struct raft_msg m = install_msg(50, 3);

	raft_init(&o->r, &stepped_ops, o, 1, 10, 1, STEPPED_NOW_US);
	stepped_receive(
		o,
		(struct raft_msg){ .type = RAFT_APPEND_ENTRIES, .from = 2, .term = 5, .index = 60 },
		STEPPED_NOW_US);
	g_assert_cmpuint(stepped_last_sent(o)->m.term, ==, 5);
	g_assert_false(stepped_last_sent(o)->m.is_ok);
	stepped_request_vote(o, 2, 6, 60, 5);
	g_assert_cmpint(stepped_last_sent(o)->m.type, ==, RAFT_APPEND_ENTRIES_REPLY);
	stepped_receive(o, m, STEPPED_NOW_US);
	g_assert_cmpint(o->r.role, ==, RAFT_FOLLOWER);
	g_assert_cmpuint(o->r.term, ==, 5);
	stepped_free(o);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/raft-step/snapshot-keeps-later-entries",
			test_snapshot_keeps_later_entries);
	g_test_add_func("/raft-step/snapshot-replaces-a-conflicting-log",
			test_snapshot_replaces_a_conflicting_log);
	g_test_add_func("/raft-step/snapshot-chunks-in-any-order",
			test_snapshot_chunks_in_any_order);
	g_test_add_func("/raft-step/snapshot-size-and-replica-are-checked",
			test_snapshot_size_and_replica_are_checked);
	g_test_add_func("/raft-step/blank-replica-requests-the-snapshot",
			test_blank_replica_requests_the_snapshot);
	return g_test_run();
}
