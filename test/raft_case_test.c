/* Individual raft scenarios: lost disk, group formation, snapshots, leadership, membership. */
#include "lib/err.h"
#include "test/fakes/fake_group.h"

#include <string.h>

#define SETTLE_US (20 * US_PER_S)

/* Returns a group of N with a leader and a few changes applied on every replica. */
static struct fake_group *settled_group(u32 n, u64 seed)
{
	struct fake_group *g = fake_group_new(n, seed);

	g_assert_true(fake_group_settle(g, SETTLE_US));
	for (u32 i = 0; i < 5; i++)
		g_assert_true(fake_group_propose(g, fake_group_leader(g)));
	g_assert_true(fake_group_settle(g, SETTLE_US));
	return g;
}

/* Returns a follower that is not OTHER. */
static u32 follower_except(struct fake_group *g, u32 other)
{
	u32 id = 1;

	while (id == fake_group_leader(g) || id == other)
		id++;
	return id;
}

static void assert_no_violation_and_free(struct fake_group *g)
{
	g_assert_cmpstr(g->violation, ==, NULL);
	fake_group_free(g);
}

static void retain_no_entries(struct fake_group *g)
{
	g->chunk_bytes = RAFT_CHUNK_BYTES;
	g->retained_entries_max = 0;
	for (u32 id = 1; id <= g->n; id++)
		fake_raft(g, id)->retained_entries_max = 0;
}

/* Lost disk */

/* Replaces ID, step by step, for at most SPAN_US. Returns the last status. */
static u16 replace(struct fake_group *g, u32 id, u64 span_us)
{
	u64 since_us = g->now_us;
	u16 status = 0;

	while (status != 200 && g->now_us < since_us + span_us && !g->violation) {
		status = fake_group_replace(g, id, since_us);
		fake_group_run(g, 20 * US_PER_MS);
	}
	return status;
}

/* Makes ID join a group of MEMBERS, as if a founder had reported it as formed. */
static void force_formed(struct fake_group *g, u32 id, const struct raft_members *members)
{
	struct raft_msg m = { .type = RAFT_FORMED, .from = id % g->n + 1, .members = *members };

	raft_step(fake_raft(g, id), &m, g->now_us);
}

/*
 * A change is committed on A and B while C is isolated. Then A's disk is emptied
 * and B is isolated. Returns the group after A and C have had time for an
 * election, whose winner would lack the change.
 */
static struct fake_group *wipe_acknowledging_disk(bool ignore_replica_ids, u32 *wiped, u32 *b)
{
	struct fake_group *g = settled_group(3, 11);
	struct raft_members members = fake_raft(g, 1)->members;
	u32 a = fake_group_leader(g);
	u32 c = follower_except(g, a);

	*wiped = a;
	*b = 6 - a - c;
	fake_group_isolate(g, c);
	g_assert_true(fake_group_propose(g, a));
	fake_group_run(g, US_PER_S / 2);
	g_assert_cmpuint(g->acked, ==, 6);
	fake_group_crash(g, a);
	fake_group_wipe_disk(g, a);
	fake_group_heal(g);
	fake_group_isolate(g, *b);
	fake_group_start(g, a);
	for (u32 id = 1; id <= 3; id++)
		fake_raft(g, id)->ignore_replica_ids = ignore_replica_ids;
	/* Without replica ids, a replica with an empty disk rejoins under its configured id. */
	if (ignore_replica_ids)
		force_formed(g, a, &members);
	fake_group_run(g, 30 * US_PER_S);
	return g;
}

static void test_lost_disk_without_replica_ids(void)
{
	u32 wiped;
	u32 b;
	struct fake_group *g = wipe_acknowledging_disk(true, &wiped, &b);

	g_assert_nonnull(g->violation);
	g_test_message("%s", g->violation);
	g_assert_nonnull(strstr(g->violation, "a leader lacks a committed entry"));
	fake_group_free(g);
}

static void test_lost_disk(void)
{
	u32 wiped;
	u32 b;
	struct fake_group *g = wipe_acknowledging_disk(false, &wiped, &b);

	g_assert_cmpuint(fake_group_leader(g), ==, 0);
	fake_group_heal(g);
	fake_group_run(g, 10 * US_PER_S);
	g_assert_cmpuint(fake_group_leader(g), ==, b);
	g_assert_cmpuint(replace(g, wiped, SETTLE_US), ==, 200);
	g_assert_true(fake_group_settle(g, SETTLE_US));
	assert_no_violation_and_free(g);
}

static void test_replace_then_lose_another(void)
{
	for (u64 seed = 1; seed <= 60; seed++) {
		struct fake_group *g = settled_group(3, seed);
		u32 a = follower_except(g, 0);
		u32 c = follower_except(g, a);

		retain_no_entries(g);
		fake_group_isolate(g, c);
		for (u32 i = 0; i < 20; i++)
			fake_group_propose(g, fake_group_leader(g));
		fake_group_run(g, US_PER_S / 2);
		fake_group_crash(g, a);
		fake_group_wipe_disk(g, a);
		fake_group_heal(g);
		fake_group_start(g, a);
		g_assert_cmpuint(replace(g, a, SETTLE_US), ==, 200);
		/* The leader is lost right away; the other two hold every committed entry. */
		fake_group_crash(g, fake_group_leader(g));
		g_assert_true(fake_group_settle(g, SETTLE_US));
		assert_no_violation_and_free(g);
	}
}

/* The new replica is isolated as soon as it is a learner, before it has any entries. */
static void test_replace_waits_for_the_log(void)
{
	struct fake_group *g = settled_group(3, 37);
	u32 leader = fake_group_leader(g);
	u32 a = follower_except(g, 0);
	u64 since_us = g->now_us;
	struct raft_member *m;

	fake_group_crash(g, a);
	fake_group_wipe_disk(g, a);
	fake_group_start(g, a);
	while (fake_raft(g, leader)->members_index <= 1) {
		fake_group_run(g, 10 * US_PER_MS);
		fake_group_replace(g, a, since_us);
	}
	fake_group_isolate(g, a);
	for (u32 i = 0; i < 100; i++) {
		fake_group_run(g, 10 * US_PER_MS);
		g_assert_cmpuint(fake_group_replace(g, a, since_us), !=, 200);
	}
	m = raft_member_find(&fake_raft(g, leader)->members, a);
	g_assert_cmpuint(m->replica, ==, g->r[a].control.wal.replica);
	g_assert_false(m->is_voter);
	assert_no_violation_and_free(g);
}

/* A replaced member and one that does not know of that must be able to elect a leader. */
static void test_replaced_member_is_elected(void)
{
	struct fake_group *g = settled_group(3, 5);
	u32 leader = fake_group_leader(g);
	u32 a = follower_except(g, 0);
	u32 c = follower_except(g, a);
	u64 since_us;

	fake_group_crash(g, a);
	fake_group_wipe_disk(g, a);
	fake_group_start(g, a);
	since_us = g->now_us;
	while (!g->violation && fake_raft(g, leader)->members_index <= 1) {
		fake_group_replace(g, a, since_us);
		fake_group_run(g, 20 * US_PER_MS);
	}
	/*
	 * Every member has the entry that adds the learner; only the leader and the new replica get
	 * the one that makes it a voter.
	 */
	fake_group_settle(g, SETTLE_US);
	fake_group_isolate(g, c);
	for (u32 i = 0; i < 40; i++) {
		fake_group_replace(g, a, since_us);
		fake_group_run(g, 10 * US_PER_MS);
	}
	fake_group_heal(g);
	fake_group_crash(g, leader);
	g_assert_true(fake_group_settle(g, SETTLE_US));
	g_assert_cmpuint(fake_group_leader(g), ==, a);
	assert_no_violation_and_free(g);
}

static void test_replace_ignores_a_stale_reply(void)
{
	struct fake_group *g = settled_group(3, 7);
	u32 a = follower_except(g, 0);

	fake_group_crash(g, a);
	fake_group_wipe_disk(g, a);
	fake_group_start(g, a);
	g_assert_cmpuint(fake_group_replace(g, a, g->now_us), ==, 0);
	g_assert_cmpuint(replace(g, a, SETTLE_US), ==, 200);
	g_assert_cmpuint(fake_raft(g, a)->commit, >, 5);
	assert_no_violation_and_free(g);
}

/* Group formation */

static void test_founder_forms_and_crashes(void)
{
	for (u64 seed = 1; seed <= 30; seed++) {
		struct fake_group *g = fake_group_new(3, seed);

		/* The messages in which the first founder reports the formed group are lost. */
		while (fake_raft(g, 1)->role == RAFT_FORMING)
			fake_group_run(g, 100);
		g_ptr_array_set_size(g->queue, 0);
		fake_group_crash(g, 1);
		fake_group_run(g, US_PER_S);
		fake_group_start(g, 1);
		g_assert_true(fake_group_settle(g, SETTLE_US));
		assert_no_violation_and_free(g);
	}
}

/*
 * Guards against: a founder whose disk is emptied before the group is formed, and that does not
 * know that it was one, leaves the others waiting for ever.
 */
static void test_founder_emptied_before_the_group(void)
{
	for (u64 seed = 1; seed <= 60; seed++) {
		struct fake_group *g = fake_group_new(3, seed);
		u32 id = 1 + (u32)(seed % 3);

		g->forgets_founders = true;
		fake_group_run(g, rng_below(&g->rng, 20 * US_PER_MS));
		fake_group_crash(g, id);
		fake_group_wipe_disk(g, id);
		fake_group_run(g, rng_below(&g->rng, US_PER_S));
		fake_group_start(g, id);
		fake_group_run(g, 5 * US_PER_S);
		g_assert_cmpuint(fake_group_leader(g), >, 0);
		assert_no_violation_and_free(g);
	}
}

/* What two have formed and committed while the third was cut off is not formed once more. */
static void test_founders_emptied_after_the_group(void)
{
	for (u64 seed = 1; seed <= 30; seed++) {
		struct fake_group *g = fake_group_new(3, seed);
		u32 committed;

		g->forgets_founders = true;
		/* The third one has been heard, and hears nothing any more. */
		while (fake_raft(g, 1)->role == RAFT_FORMING)
			fake_group_run(g, 100);
		fake_group_isolate(g, 3);
		g_ptr_array_set_size(g->queue, 0);
		fake_group_run(g, 5 * US_PER_S);
		committed = g->committed->len;
		for (u32 id = 1; id <= 2; id++) {
			fake_group_crash(g, id);
			fake_group_wipe_disk(g, id);
			fake_group_start(g, id);
		}
		fake_group_heal(g);
		fake_group_run(g, 10 * US_PER_S);
		g_assert_cmpuint(fake_group_leader(g), ==, 0);
		g_assert_cmpuint(g->committed->len, ==, committed);
		assert_no_violation_and_free(g);
	}
}

static void test_late_founder(void)
{
	struct fake_group *g = fake_group_new(3, 3);

	fake_group_isolate(g, 3);
	fake_group_run(g, 5 * US_PER_S);
	g_assert_cmpuint(fake_group_leader(g), ==, 0);
	fake_group_heal(g);
	g_assert_true(fake_group_settle(g, SETTLE_US));
	assert_no_violation_and_free(g);
}

/* Snapshots */

static void test_large_snapshot_is_sent_in_chunks(void)
{
	struct fake_group *g = settled_group(3, 9);
	u32 leader = fake_group_leader(g);
	u32 a = follower_except(g, 0);
	u64 before;

	retain_no_entries(g);
	g->drop_percent = 5;
	g->state_pad_bytes = 3 * FRAME_MAX_BYTES;
	fake_group_crash(g, a);
	for (u32 i = 0; i < 10; i++)
		fake_group_propose(g, leader);
	fake_group_run(g, US_PER_S / 2);
	raft_compact(fake_raft(g, leader));
	before = g->bytes;
	fake_group_start(g, a);
	g_assert_true(fake_group_settle(g, SETTLE_US));
	g_assert_cmpuint(fake_raft(g, a)->snap_index, >, 1);
	/* Each chunk is sent once, except for dropped ones. */
	g_assert_cmpuint(g->bytes - before, <, 2 * 3 * FRAME_MAX_BYTES);
	assert_no_violation_and_free(g);
}

static void test_snapshot_is_resumed(void)
{
	struct fake_group *g = settled_group(3, 9);
	u32 leader = fake_group_leader(g);
	u32 a = follower_except(g, 0);
	u64 before;

	retain_no_entries(g);
	g->state_pad_bytes = 8 * FRAME_MAX_BYTES;
	fake_group_crash(g, a);
	fake_group_propose(g, leader);
	fake_group_run(g, US_PER_S / 2);
	raft_compact(fake_raft(g, leader));
	before = g->bytes;
	fake_group_start(g, a);
	while (!fake_raft(g, a)->incoming.bytes ||
	       fake_raft(g, a)->incoming.bytes->len < 6 * FRAME_MAX_BYTES)
		fake_group_run(g, US_PER_MS);
	fake_group_isolate(g, a);
	fake_group_run(g, US_PER_S / 2);
	fake_group_heal(g);
	g_assert_true(fake_group_settle(g, SETTLE_US));
	g_assert_cmpuint(g->bytes - before, <, 10 * FRAME_MAX_BYTES);
	assert_no_violation_and_free(g);
}

/* Leadership */

static void test_cut_off_leader_steps_down(void)
{
	struct fake_group *g = settled_group(3, 13);
	u32 leader = fake_group_leader(g);
	u64 reads = g->reads_done;

	/* Cuts only its incoming messages: its heartbeats still prevent another election. */
	for (u32 id = 1; id <= 3; id++)
		g->cut[id][leader] = id != leader;
	g_assert_true(fake_group_read(g, leader));
	fake_group_run(g, RAFT_ELECTION_TIMEOUT_MIN_US + 2 * RAFT_HEARTBEAT_US);
	g_assert_cmpint(fake_raft(g, leader)->role, !=, RAFT_LEADER);
	g_assert_cmpuint(g->reads_done, ==, reads);
	fake_group_run(g, 4 * RAFT_ELECTION_TIMEOUT_MAX_US);
	g_assert_cmpuint(fake_group_leader(g), !=, leader);
	g_assert_cmpuint(fake_group_leader(g), !=, 0);
	assert_no_violation_and_free(g);
}

static void test_transfer(void)
{
	struct fake_group *g = settled_group(3, 17);
	u32 leader = fake_group_leader(g);
	u32 to = follower_except(g, 0);

	g_assert_cmpint(raft_transfer_leadership(fake_raft(g, leader), to, g->now_us), ==, 0);
	fake_group_run(g, US_PER_S / 2);
	g_assert_cmpuint(fake_group_leader(g), ==, to);
	assert_no_violation_and_free(g);
}

/* A leader that stops hands over to a member that has the whole log, and not to one that is down.
 */
static void test_hand_over(void)
{
	struct fake_group *g = settled_group(3, 17);
	u32 leader = fake_group_leader(g);
	u32 down = follower_except(g, 0);
	u32 to = follower_except(g, down);

	fake_group_crash(g, down);
	fake_group_propose(g, leader);
	fake_group_run(g, RAFT_HEARTBEAT_US);
	g_assert_cmpint(raft_hand_over(fake_raft(g, to), g->now_us), ==, ERR_NOTLEADER);
	g_assert_cmpint(raft_hand_over(fake_raft(g, leader), g->now_us), ==, 0);
	fake_group_run(g, RAFT_ELECTION_TIMEOUT_MIN_US / 2);
	g_assert_cmpuint(fake_group_leader(g), ==, to);
	assert_no_violation_and_free(g);
}

/*
 * Guards against: the members of a group are stopped one after another, and the leader hands over
 * to the one that has just ended, whose log is as long as that of the others.
 */
static void test_hand_over_to_the_one_that_ended(void)
{
	struct fake_group *g = settled_group(3, 17);
	u32 leader = fake_group_leader(g);
	u32 first = follower_except(g, 0);
	u32 second = follower_except(g, first);
	u32 down = MIN(first, second);

	fake_group_crash(g, down);
	fake_group_run(g, 2 * RAFT_HEARTBEAT_US);
	g_assert_cmpint(raft_hand_over(fake_raft(g, leader), g->now_us), ==, 0);
	fake_group_run(g, RAFT_ELECTION_TIMEOUT_MIN_US / 2);
	g_assert_cmpuint(fake_group_leader(g), ==, MAX(first, second));
	assert_no_violation_and_free(g);
}

/* A leader without another voter that answers goes on. */
static void test_hand_over_to_nobody(void)
{
	struct fake_group *g = settled_group(1, 17);
	u32 leader = fake_group_leader(g);

	g_assert_cmpint(raft_hand_over(fake_raft(g, leader), g->now_us), ==, ERR_NOTFOUND);
	fake_group_run(g, US_PER_S);
	g_assert_cmpuint(fake_group_leader(g), ==, leader);
	assert_no_violation_and_free(g);
}

static void test_transfer_to_a_dead_member_is_abandoned(void)
{
	struct fake_group *g = settled_group(3, 17);
	u32 leader = fake_group_leader(g);
	u32 to = follower_except(g, 0);

	fake_group_crash(g, to);
	fake_group_propose(g, leader);
	g_assert_cmpint(raft_transfer_leadership(fake_raft(g, leader), to, g->now_us), ==, 0);
	fake_group_run(g, RAFT_TRANSFER_TIMEOUT_US + 2 * RAFT_HEARTBEAT_US);
	fake_group_start(g, to);
	g_assert_true(fake_group_settle(g, SETTLE_US));
	fake_group_run(g, US_PER_S);
	g_assert_cmpuint(fake_group_leader(g), ==, leader);
	assert_no_violation_and_free(g);
}

static int propose_without(struct fake_group *g, u32 id)
{
	u32 leader = fake_group_leader(g);
	struct raft_members next = fake_raft(g, leader)->members;
	struct raft_member *m = raft_member_find(&next, id);

	*m = next.m[--next.n];
	return raft_propose_members(fake_raft(g, leader), &next, g->now_us, &(u64){ 0 });
}

static void test_removed_leader_transfers_leadership(void)
{
	struct fake_group *g = settled_group(3, 19);
	u32 leader = fake_group_leader(g);

	g_assert_cmpint(propose_without(g, leader), ==, 0);
	fake_group_run(g, US_PER_S / 2);
	g_assert_cmpuint(fake_group_leader(g), !=, leader);
	g_assert_cmpuint(fake_group_leader(g), !=, 0);
	assert_no_violation_and_free(g);
}

static void test_removed_member_does_not_disrupt(void)
{
	struct fake_group *g = settled_group(3, 23);
	u32 leader = fake_group_leader(g);
	u32 id = follower_except(g, 0);
	u64 term = fake_raft(g, leader)->term;

	/* It does not receive the entry that removes it, and keeps campaigning. */
	fake_group_isolate(g, id);
	g_assert_cmpint(propose_without(g, id), ==, 0);
	fake_group_run(g, US_PER_S);
	fake_group_heal(g);
	fake_group_run(g, 20 * US_PER_S);
	g_assert_cmpuint(fake_group_leader(g), ==, leader);
	g_assert_cmpuint(fake_raft(g, leader)->term, ==, term);
	assert_no_violation_and_free(g);
}

static void test_one_voter_at_a_time(void)
{
	struct fake_group *g = settled_group(5, 29);
	struct raft *r = fake_raft(g, fake_group_leader(g));
	struct raft_members next = r->members;
	u64 index;

	/* A voter with a new replica id counts as one voter removed and one added. */
	next.m[0].replica++;
	g_assert_cmpint(raft_propose_members(r, &next, g->now_us, &index), ==, ERR_INVAL);
	next.m[0].is_voter = false;
	g_assert_cmpint(raft_propose_members(r, &next, g->now_us, &index), ==, 0);
	next.m[1].is_voter = false;
	g_assert_cmpint(raft_propose_members(r, &next, g->now_us, &index), ==, ERR_BUSY);
	assert_no_violation_and_free(g);
}

static void test_proposals_share_a_sync(void)
{
	struct fake_group *g = settled_group(3, 31);
	u32 leader = fake_group_leader(g);
	u64 before = g->r[leader].disk->ops;
	u64 messages = g->messages;

	for (u32 i = 0; i < 50; i++)
		fake_group_propose(g, leader);
	raft_tick(fake_raft(g, leader), g->now_us);
	/* One write, one sync, and one message to each follower, possibly plus a heartbeat. */
	g_assert_cmpuint(g->r[leader].disk->ops - before, ==, 2);
	g_assert_cmpuint(g->messages - messages, <=, 4);
	g_assert_true(fake_group_settle(g, SETTLE_US));
	assert_no_violation_and_free(g);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/raft-case/lost-disk-without-replica-ids",
			test_lost_disk_without_replica_ids);
	g_test_add_func("/raft-case/lost-disk", test_lost_disk);
	g_test_add_func("/raft-case/replace-then-lose-another", test_replace_then_lose_another);
	g_test_add_func("/raft-case/replace-waits-for-the-log", test_replace_waits_for_the_log);
	g_test_add_func("/raft-case/replaced-member-is-elected", test_replaced_member_is_elected);
	g_test_add_func("/raft-case/replace-ignores-a-stale-reply",
			test_replace_ignores_a_stale_reply);
	g_test_add_func("/raft-case/founder-forms-and-crashes", test_founder_forms_and_crashes);
	g_test_add_func("/raft-case/founder-emptied-before-the-group",
			test_founder_emptied_before_the_group);
	g_test_add_func("/raft-case/founders-emptied-after-the-group",
			test_founders_emptied_after_the_group);
	g_test_add_func("/raft-case/late-founder", test_late_founder);
	g_test_add_func("/raft-case/large-snapshot-is-sent-in-chunks",
			test_large_snapshot_is_sent_in_chunks);
	g_test_add_func("/raft-case/snapshot-is-resumed", test_snapshot_is_resumed);
	g_test_add_func("/raft-case/cut-off-leader-steps-down", test_cut_off_leader_steps_down);
	g_test_add_func("/raft-case/transfer", test_transfer);
	g_test_add_func("/raft-case/hand-over", test_hand_over);
	g_test_add_func("/raft-case/hand-over-to-the-one-that-ended",
			test_hand_over_to_the_one_that_ended);
	g_test_add_func("/raft-case/hand-over-to-nobody", test_hand_over_to_nobody);
	g_test_add_func("/raft-case/transfer-to-a-dead-member",
			test_transfer_to_a_dead_member_is_abandoned);
	g_test_add_func("/raft-case/removed-leader-transfers-leadership",
			test_removed_leader_transfers_leadership);
	g_test_add_func("/raft-case/removed-member-does-not-disrupt",
			test_removed_member_does_not_disrupt);
	g_test_add_func("/raft-case/one-voter-at-a-time", test_one_voter_at_a_time);
	g_test_add_func("/raft-case/proposals-share-a-sync", test_proposals_share_a_sync);
	return g_test_run();
}
