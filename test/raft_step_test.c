/* Steps one raft replica message by message and records what it sends and writes. */
#include "control/raft_impl.h"
#include "lib/err.h"
#include "wire/ctl.h"

#include <string.h>

#define SENT_MAX 64
#define NOW_US (100 * US_PER_S)

struct sent {
	u32 to;
	struct raft_msg m; /* entries and snapshot are not valid */
	guint entries;
};

struct owner {
	struct raft r;
	struct sent sent[SENT_MAX];
	u32 sent_count;
	u64 saved_term;
	u32 saved_vote;
	u64 written_index; /* last index written to disk */
	u64 applied;
	u64 reads_ok;
	u64 reads_failed;
	u64 commit_at_write; /* commit index at the last write */
};

static void on_send(struct raft *r, u32 to, const struct raft_msg *m)
{
	struct owner *o = r->arg;
	struct sent *s = &o->sent[o->sent_count++ % SENT_MAX];

	s->to = to;
	s->m = *m;
	s->entries = m->entries ? m->entries->len : 0;
}

static void on_save_state(struct raft *r, u64 term, u32 vote)
{
	struct owner *o = r->arg;

	o->saved_term = term;
	o->saved_vote = vote;
}

static void on_append(struct raft *r, GPtrArray *entries)
{
	struct owner *o = r->arg;
	const struct raft_entry *last = g_ptr_array_index(entries, entries->len - 1);

	o->written_index = last->index;
	o->commit_at_write = r->commit;
}

static void on_save_snapshot(struct raft *r, u64 index, u64 term,
			     const struct raft_members *members, GBytes *state)
{
	(void)r;
	(void)index;
	(void)term;
	(void)members;
	(void)state;
}

static void on_apply(struct raft *r, const struct raft_entry *e)
{
	((struct owner *)r->arg)->applied = e->index;
}

static void on_restore(struct raft *r, u64 index, GBytes *state)
{
	(void)state;
	((struct owner *)r->arg)->applied = index;
}

static GBytes *on_snapshot(struct raft *r)
{
	(void)r;
	return g_bytes_new(NULL, 0);
}

static void on_read_ready(struct raft *r, u64 id, bool is_ok)
{
	struct owner *o = r->arg;

	(void)id;
	o->reads_ok += is_ok;
	o->reads_failed += !is_ok;
}

static const struct raft_ops ops = {
	.send = on_send,
	.save_state = on_save_state,
	.append = on_append,
	.save_snapshot = on_save_snapshot,
	.apply = on_apply,
	.restore = on_restore,
	.snapshot = on_snapshot,
	.read_ready = on_read_ready,
};

/* Member I has replica id 10 * I. */
static struct raft_members members(u32 n)
{
	struct raft_members m = { .n = n };

	for (u32 i = 0; i < n; i++)
		m.m[i] = (struct raft_member){ .id = i + 1,
					       .replica = 10 * (i + 1),
					       .is_voter = true };
	return m;
}

/* Returns replica 1 of N with entries 2 to LAST of TERM in its log. */
static struct owner *owner_new(u32 n, u64 term, u64 last)
{
	struct owner *o = g_new0(struct owner, 1);
	struct raft_members m = members(n);
	g_autoptr(GBytes) empty = g_bytes_new(NULL, 0);

	raft_init(&o->r, &ops, o, 1, 10, 1, NOW_US);
	raft_load_snapshot(&o->r, 1, 1, &m, empty);
	raft_load_state(&o->r, term, 0);
	for (u64 i = 2; i <= last; i++) {
		struct raft_entry *e = raft_entry_new(i, term, RAFT_COMMAND, empty);

		raft_load_entry(&o->r, e);
		raft_entry_free(e);
	}
	return o;
}

static void owner_free(struct owner *o)
{
	raft_clear(&o->r);
	g_free(o);
}

static const struct sent *last_sent(const struct owner *o)
{
	g_assert_cmpuint(o->sent_count, >, 0);
	return &o->sent[(o->sent_count - 1) % SENT_MAX];
}

static void step(struct owner *o, struct raft_msg m, u64 now_us)
{
	m.replica = m.replica ? m.replica : 10 * m.from;
	raft_step(&o->r, &m, now_us);
}

static void reply(struct owner *o, u32 from, u64 index, bool is_ok)
{
	step(o,
	     (struct raft_msg){ .type = RAFT_APPEND_ENTRIES_REPLY,
				.from = from,
				.term = o->r.term,
				.index = index,
				.round = o->r.round,
				.is_ok = is_ok },
	     NOW_US);
}

/* Makes replica 1 leader by the others' votes; its no-op entry is not written to disk yet. */
static void elect(struct owner *o)
{
	o->r.election_due_us = NOW_US;
	raft_tick(&o->r, NOW_US);
	for (u32 from = 2; from <= o->r.members.n; from++)
		step(o,
		     (struct raft_msg){ .type = RAFT_PREVOTE_REPLY,
					.from = from,
					.term = o->r.term + 1,
					.is_ok = true },
		     NOW_US);
	for (u32 from = 2; from <= o->r.members.n; from++)
		step(o,
		     (struct raft_msg){ .type = RAFT_VOTE_REPLY,
					.from = from,
					.term = o->r.term,
					.is_ok = true },
		     NOW_US);
	g_assert_cmpint(o->r.role, ==, RAFT_LEADER);
}

static void send_vote_request(struct owner *o, u32 from, u64 term, u64 index, u64 log_term)
{
	step(o,
	     (struct raft_msg){ .type = RAFT_VOTE,
				.from = from,
				.term = term,
				.index = index,
				.log_term = log_term },
	     NOW_US);
}

static void test_vote_is_saved_before_reply(void)
{
	struct owner *o = owner_new(3, 1, 3);

	send_vote_request(o, 2, 5, 3, 1);
	g_assert_true(last_sent(o)->m.is_ok);
	g_assert_cmpuint(o->saved_term, ==, 5);
	g_assert_cmpuint(o->saved_vote, ==, 2);
	send_vote_request(o, 3, 5, 3, 1);
	g_assert_false(last_sent(o)->m.is_ok);
	send_vote_request(o, 2, 5, 3, 1);
	g_assert_true(last_sent(o)->m.is_ok);
	owner_free(o);
}

static void test_vote_requires_up_to_date_log(void)
{
	struct owner *o = owner_new(3, 2, 5);

	send_vote_request(o, 2, 5, 4, 2);
	g_assert_false(last_sent(o)->m.is_ok);
	send_vote_request(o, 2, 6, 9, 1);
	g_assert_false(last_sent(o)->m.is_ok);
	send_vote_request(o, 2, 7, 2, 3);
	g_assert_true(last_sent(o)->m.is_ok);
	owner_free(o);
}

static void test_candidate_saves_its_vote(void)
{
	struct owner *o = owner_new(3, 4, 3);

	elect(o);
	g_assert_cmpuint(o->saved_term, ==, 5);
	g_assert_cmpuint(o->saved_vote, ==, 1);
	owner_free(o);
}

static void test_vote_from_an_emptied_disk_does_not_count(void)
{
	struct owner *o = owner_new(3, 1, 3);
	struct raft_msg m = {
		.type = RAFT_PREVOTE_REPLY, .from = 2, .replica = 99, .term = 2, .is_ok = true
	};

	o->r.election_due_us = NOW_US;
	raft_tick(&o->r, NOW_US);
	step(o, m, NOW_US);
	g_assert_cmpint(o->r.role, ==, RAFT_PRECANDIDATE);
	m.replica = 20;
	step(o, m, NOW_US);
	g_assert_cmpint(o->r.role, ==, RAFT_CANDIDATE);
	m.type = RAFT_VOTE_REPLY;
	m.replica = 99;
	step(o, m, NOW_US);
	g_assert_cmpint(o->r.role, ==, RAFT_CANDIDATE);
	owner_free(o);
}

static void test_acknowledgement_from_an_emptied_disk_does_not_count(void)
{
	struct owner *o = owner_new(3, 1, 3);

	elect(o);
	raft_tick(&o->r, NOW_US);
	step(o,
	     (struct raft_msg){ .type = RAFT_APPEND_ENTRIES_REPLY,
				.from = 2,
				.replica = 99,
				.term = o->r.term,
				.index = 4,
				.round = o->r.round,
				.is_ok = true },
	     NOW_US);
	g_assert_cmpuint(o->r.commit, ==, 1);
	g_assert_cmpuint(o->r.progress[1].last_reply_replica, ==, 99);
	reply(o, 2, 4, true);
	g_assert_cmpuint(o->r.commit, ==, 4);
	owner_free(o);
}

/* An entry of an earlier term commits only with one of the current term (Raft paper, 5.4.2). */
static void test_earlier_term_is_not_committed_alone(void)
{
	struct owner *o = owner_new(3, 1, 3);

	elect(o);
	raft_tick(&o->r, NOW_US);
	reply(o, 2, 3, true);
	g_assert_cmpuint(o->r.commit, ==, 1);
	reply(o, 2, 4, true);
	g_assert_cmpuint(o->r.commit, ==, 4);
	owner_free(o);
}

/* The leader counts its own copy of an entry only after syncing it. */
static void test_own_copy_counts_once_synced(void)
{
	struct owner *o = owner_new(3, 1, 3);
	u64 index;

	elect(o);
	raft_tick(&o->r, NOW_US);
	reply(o, 2, 4, true);
	g_assert_cmpint(raft_propose(&o->r, RAFT_COMMAND, NULL, NOW_US, &index), ==, 0);
	g_assert_cmpuint(index, ==, 5);
	reply(o, 2, 5, true);
	g_assert_cmpuint(o->r.commit, ==, 4);
	g_assert_cmpuint(o->written_index, ==, 4);
	g_assert_cmpuint(raft_next_due_us(&o->r), ==, 0);
	raft_tick(&o->r, NOW_US);
	g_assert_cmpuint(o->written_index, ==, 5);
	g_assert_cmpuint(o->commit_at_write, ==, 4);
	g_assert_cmpuint(o->r.commit, ==, 5);
	owner_free(o);
}

/* A follower replies to a change that it forwarded once it knows that the change is committed. */
static void test_commit_index_is_sent_immediately(void)
{
	struct owner *o = owner_new(3, 1, 3);
	u32 before;

	elect(o);
	raft_tick(&o->r, NOW_US);
	reply(o, 2, 3, true);
	reply(o, 3, 3, true);
	before = o->sent_count;
	reply(o, 2, 4, true);
	g_assert_cmpuint(o->r.commit, ==, 4);
	g_assert_cmpuint(o->sent_count, ==, before + 2);
	for (u32 i = before; i < o->sent_count; i++) {
		g_assert_cmpuint(o->sent[i].m.commit, ==, 4);
		g_assert_cmpuint(o->sent[i].entries, ==, 0);
	}
	/* The replies change nothing, so nothing more is sent. */
	reply(o, 2, 4, true);
	reply(o, 3, 4, true);
	g_assert_cmpuint(o->sent_count, ==, before + 2);
	owner_free(o);
}

static void test_leader_syncs_before_stepping_down(void)
{
	struct owner *o = owner_new(3, 1, 3);
	u64 index;

	elect(o);
	raft_propose(&o->r, RAFT_COMMAND, NULL, NOW_US, &index);
	step(o, (struct raft_msg){ .type = RAFT_APPEND_ENTRIES, .from = 2, .term = 9, .index = 9 },
	     NOW_US);
	g_assert_cmpint(o->r.role, ==, RAFT_FOLLOWER);
	g_assert_cmpuint(o->written_index, ==, index);
	g_assert_cmpuint(o->r.synced_index, ==, raft_last_index(&o->r));
	owner_free(o);
}

static void test_read_requires_a_later_heartbeat_round(void)
{
	struct owner *o = owner_new(3, 1, 3);

	elect(o);
	g_assert_cmpint(raft_read_index(&o->r, 1, NOW_US), ==, ERR_BUSY);
	raft_tick(&o->r, NOW_US);
	reply(o, 2, 4, true);
	g_assert_cmpint(raft_read_index(&o->r, 1, NOW_US), ==, 0);
	/* A reply to the previous round. */
	reply(o, 2, 4, true);
	g_assert_cmpuint(o->reads_ok, ==, 0);
	raft_tick(&o->r, NOW_US);
	g_assert_cmpuint(o->reads_ok, ==, 0);
	reply(o, 2, 4, true);
	g_assert_cmpuint(o->reads_ok, ==, 1);
	g_assert_cmpint(raft_read_index(&o->r, 2, NOW_US), ==, 0);
	step(o, (struct raft_msg){ .type = RAFT_APPEND_ENTRIES, .from = 2, .term = 9 }, NOW_US);
	g_assert_cmpuint(o->reads_failed, ==, 1);
	owner_free(o);
}

static void test_leader_without_quorum_steps_down(void)
{
	struct owner *o = owner_new(3, 1, 3);
	u64 later = NOW_US + RAFT_ELECTION_TIMEOUT_MIN_US + 1;

	elect(o);
	g_assert_true(raft_is_fresh(&o->r, 2 * US_PER_S, NOW_US) == false);
	raft_tick(&o->r, NOW_US);
	reply(o, 2, 4, true);
	g_assert_true(raft_is_fresh(&o->r, 2 * US_PER_S, NOW_US));
	raft_tick(&o->r, later);
	g_assert_cmpint(o->r.role, ==, RAFT_FOLLOWER);
	g_assert_cmpint(raft_propose(&o->r, RAFT_COMMAND, NULL, later, &(u64){ 0 }), ==,
			ERR_NOTLEADER);
	g_assert_false(raft_is_fresh(&o->r, 2 * US_PER_S, later));
	owner_free(o);
}

static void test_membership_change_waits_for_the_current_term(void)
{
	struct owner *o = owner_new(3, 1, 3);
	struct raft_members next = members(3);
	u64 index;

	next.n = 2;
	elect(o);
	g_assert_cmpint(raft_propose_members(&o->r, &next, NOW_US, &index), ==, ERR_BUSY);
	raft_tick(&o->r, NOW_US);
	reply(o, 2, 4, true);
	g_assert_cmpint(raft_propose_members(&o->r, &next, NOW_US, &index), ==, 0);
	g_assert_cmpuint(o->r.members.n, ==, 2);
	owner_free(o);
}

static struct raft_msg install_msg(u64 index, u64 term)
{
	return (struct raft_msg){ .type = RAFT_INSTALL_SNAPSHOT,
				  .from = 2,
				  .term = 5,
				  .index = index,
				  .log_term = term,
				  .members = members(3),
				  .to_replica = 10 };
}

/* Entries after the snapshot were acknowledged and may be committed, so they must be kept. */
static void test_snapshot_keeps_later_entries(void)
{
	struct owner *o = owner_new(3, 1, 9);

	step(o, install_msg(5, 1), NOW_US);
	g_assert_cmpuint(raft_last_index(&o->r), ==, 9);
	g_assert_cmpuint(o->r.commit, ==, 5);
	g_assert_cmpuint(o->applied, ==, 5);
	g_assert_cmpuint(last_sent(o)->m.index, ==, 5);
	g_assert_true(last_sent(o)->m.is_ok);
	owner_free(o);
}

static void test_snapshot_replaces_a_conflicting_log(void)
{
	struct owner *o = owner_new(3, 1, 9);

	step(o, install_msg(5, 3), NOW_US);
	g_assert_cmpuint(raft_last_index(&o->r), ==, 5);
	g_assert_cmpuint(o->r.snap_term, ==, 3);
	owner_free(o);
}

static void test_snapshot_chunks_in_any_order(void)
{
	struct owner *o = owner_new(3, 1, 2);
	struct raft_msg m = install_msg(50, 3);
	g_autoptr(GBytes) part = g_bytes_new("abcd", 4);
	static const u64 offsets[] = { 4, 0, 0, 8, 4, 4, 8 };
	static const u64 have[] = { 0, 4, 4, 4, 8, 8, 0 };

	m.total = 12;
	m.snapshot = part;
	for (u32 i = 0; i < G_N_ELEMENTS(offsets); i++) {
		m.offset = offsets[i];
		step(o, m, NOW_US);
		g_assert_cmpuint(last_sent(o)->m.offset, ==, have[i]);
		g_assert_cmpint(last_sent(o)->m.is_ok, ==, i + 1 == G_N_ELEMENTS(offsets));
	}
	g_assert_cmpuint(g_bytes_get_size(o->r.snap_state), ==, 12);
	g_assert_cmpuint(o->r.commit, ==, 50);
	owner_free(o);
}

static void test_snapshot_size_and_replica_are_checked(void)
{
	struct owner *o = owner_new(3, 1, 2);
	struct raft_msg m = install_msg(50, 3);
	g_autoptr(GBytes) part = g_bytes_new("abcd", 4);

	m.snapshot = part;
	m.total = RAFT_SNAPSHOT_MAX_BYTES + 1ULL;
	step(o, m, NOW_US);
	m.total = 2;
	step(o, m, NOW_US);
	m.total = 4;
	m.to_replica = 11;
	step(o, m, NOW_US);
	g_assert_cmpuint(o->r.commit, ==, 1);
	owner_free(o);
}

static void test_blank_replica_requests_the_snapshot(void)
{
	struct owner *o = g_new0(struct owner, 1);
	struct raft_msg m = install_msg(50, 3);

	raft_init(&o->r, &ops, o, 1, 10, 1, NOW_US);
	step(o, (struct raft_msg){ .type = RAFT_APPEND_ENTRIES, .from = 2, .term = 5, .index = 60 },
	     NOW_US);
	g_assert_cmpuint(last_sent(o)->m.term, ==, 5);
	g_assert_false(last_sent(o)->m.is_ok);
	send_vote_request(o, 2, 6, 60, 5);
	g_assert_cmpint(last_sent(o)->m.type, ==, RAFT_APPEND_ENTRIES_REPLY);
	step(o, m, NOW_US);
	g_assert_cmpint(o->r.role, ==, RAFT_FOLLOWER);
	g_assert_cmpuint(o->r.term, ==, 5);
	owner_free(o);
}

/* Invalid messages must neither crash the process nor damage the log. */
static void test_invalid_messages(void)
{
	struct owner *o = owner_new(3, 1, 9);
	g_autoptr(GPtrArray) list = g_ptr_array_new_with_free_func((GDestroyNotify)raft_entry_free);
	struct raft_msg m = { .type = RAFT_APPEND_ENTRIES,
			      .from = 2,
			      .term = 5,
			      .index = 9,
			      .log_term = 1,
			      .commit = 9 };

	step(o, m, NOW_US);
	g_assert_cmpuint(o->r.commit, ==, 9);
	g_ptr_array_add(list, raft_entry_new(40, 2, RAFT_COMMAND, NULL));
	m.entries = list;
	step(o, m, NOW_US);
	g_assert_cmpuint(raft_last_index(&o->r), ==, 9);
	/* Conflicts with a committed entry. */
	((struct raft_entry *)g_ptr_array_index(list, 0))->index = 6;
	m.index = 5;
	step(o, m, NOW_US);
	g_assert_cmpuint(raft_term_at(&o->r, 6), ==, 1);
	/* The previous index is the largest possible, so the next one overflows. */
	m.index = UINT64_MAX;
	m.log_term = 0;
	m.entries = NULL;
	step(o, m, NOW_US);
	g_assert_false(last_sent(o)->m.is_ok);
	m.from = 1;
	step(o, m, NOW_US);
	m.from = 3;
	m.type = (enum raft_msg_type)77;
	step(o, m, NOW_US);
	owner_free(o);
}

static void test_reply_beyond_the_log_is_ignored(void)
{
	struct owner *o = owner_new(3, 1, 3);

	elect(o);
	raft_tick(&o->r, NOW_US);
	reply(o, 2, 900, true);
	reply(o, 3, 900, true);
	g_assert_cmpuint(o->r.commit, ==, 1);
	g_assert_cmpuint(o->r.progress[1].match, ==, 0);
	owner_free(o);
}

/* After a long stall, pending messages are handled before an election starts. */
static void test_late_tick_starts_no_election(void)
{
	struct owner *o = owner_new(3, 1, 3);

	raft_tick(&o->r, o->r.election_due_us + US_PER_S);
	g_assert_cmpint(o->r.role, ==, RAFT_FOLLOWER);
	raft_tick(&o->r, o->r.election_due_us);
	g_assert_cmpint(o->r.role, ==, RAFT_PRECANDIDATE);
	owner_free(o);
}

/* A word of the leader: entry INDEX, which follows in the log of owner_new(3, 1, 3), and COMMIT. */
static void hear(struct owner *o, u64 index, u64 commit, u64 now_us)
{
	struct raft_entry *e = raft_entry_new(index, 2, RAFT_NOOP, NULL);
	g_autoptr(GPtrArray) entries = g_ptr_array_new();

	if (index > raft_last_index(&o->r))
		g_ptr_array_add(entries, e);
	step(o,
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
	struct owner *o = owner_new(3, 1, 3);
	u64 now = NOW_US;
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
	owner_free(o);
}

/* A follower is not fresh until an entry of the leader's term commits: it may lack commits. */
static void test_fresh_after_commit_in_the_leaders_term(void)
{
	struct owner *o = owner_new(3, 1, 3);
	struct raft_entry *noop = raft_entry_new(4, 2, RAFT_NOOP, NULL);
	g_autoptr(GPtrArray) entries = g_ptr_array_new();
	struct raft_msg append = { .type = RAFT_APPEND_ENTRIES,
				   .from = 2,
				   .term = 2,
				   .index = 3,
				   .log_term = 1,
				   .commit = 1,
				   .round = NOW_US,
				   .entries = entries };

	g_ptr_array_add(entries, noop);
	step(o, append, NOW_US);
	g_assert_cmpuint(o->r.leader, ==, 2);
	g_assert_false(raft_is_fresh(&o->r, US_PER_S, NOW_US));
	append.commit = 4;
	step(o, append, NOW_US);
	g_assert_cmpuint(o->r.commit, ==, 4);
	g_assert_true(raft_is_fresh(&o->r, US_PER_S, NOW_US));
	raft_entry_free(noop);
	owner_free(o);
}

/*
 * After a power failure of all replicas no one knows a leader, so the first pre-vote starts soon
 * and is repeated soon while the others are still down. A vote, which is written to disk, waits for
 * the whole election timeout.
 */
static void test_start_without_leader(void)
{
	struct owner *o = owner_new(3, 1, 3);
	u64 now = NOW_US + RAFT_PREVOTE_TIMEOUT_MAX_US;

	raft_tick(&o->r, now);
	g_assert_cmpint(o->r.role, ==, RAFT_PRECANDIDATE);
	g_assert_cmpint(last_sent(o)->m.type, ==, RAFT_PREVOTE);
	o->sent_count = 0;
	now += RAFT_PREVOTE_TIMEOUT_MAX_US;
	raft_tick(&o->r, now);
	g_assert_cmpuint(o->sent_count, ==, 2);
	g_assert_cmpint(last_sent(o)->m.type, ==, RAFT_PREVOTE);
	step(o,
	     (struct raft_msg){ .type = RAFT_PREVOTE_REPLY, .from = 2, .term = 2, .is_ok = true },
	     now);
	g_assert_cmpint(o->r.role, ==, RAFT_CANDIDATE);
	g_assert_cmpuint(raft_next_due_us(&o->r), >=, now + RAFT_ELECTION_TIMEOUT_MIN_US);
	owner_free(o);
}

static void test_entries_in_flight_are_bounded(void)
{
	struct owner *o = owner_new(3, 1, 3);
	guint entries = 0;
	u64 index;

	elect(o);
	raft_tick(&o->r, NOW_US);
	reply(o, 2, 4, true);
	for (u32 i = 0; i < 2 * RAFT_INFLIGHT_ENTRIES_MAX; i++) {
		o->sent_count = 0;
		raft_propose(&o->r, RAFT_COMMAND, NULL, NOW_US, &index);
		raft_tick(&o->r, NOW_US);
		for (u32 k = 0; k < o->sent_count; k++)
			entries += o->sent[k].to == 2 ? o->sent[k].entries : 0;
	}
	/* Each entry is sent once, up to the limit. */
	g_assert_cmpuint(entries, ==, RAFT_INFLIGHT_ENTRIES_MAX);
	owner_free(o);
}

/*
 * Guards against: a leader counts as fresh by replies that were long on their way, although its
 * followers may have elected another one since they sent them.
 */
static void test_leader_is_fresh_by_late_replies(void)
{
	struct owner *o = owner_new(3, 1, 3);
	struct raft_msg late = { .type = RAFT_APPEND_ENTRIES_REPLY, .from = 2, .is_ok = true };
	u64 arrived = NOW_US + RAFT_ELECTION_TIMEOUT_MIN_US - 1;

	elect(o);
	raft_tick(&o->r, NOW_US);
	reply(o, 2, 4, true);
	g_assert_true(raft_is_fresh(&o->r, CTL_LEASE_US, NOW_US));
	late.term = o->r.term;
	late.index = 4;
	late.round = o->r.round; /* of the heartbeat at NOW_US */
	step(o, late, arrived);
	g_assert_false(raft_is_fresh(&o->r, CTL_LEASE_US, arrived + CTL_LEASE_US / 2));
	owner_free(o);
}

/*
 * Guards against: a follower counts as fresh by a heartbeat that was long on its way, although it
 * lacks what was committed since. The round of a heartbeat is the time of the leader's clock, which
 * is the follower's here.
 */
static void test_follower_is_fresh_by_late_heartbeat(void)
{
	struct owner *o = owner_new(3, 1, 3);
	struct raft_entry *noop = raft_entry_new(4, 2, RAFT_NOOP, NULL);
	g_autoptr(GPtrArray) entries = g_ptr_array_new();
	struct raft_msg append = { .type = RAFT_APPEND_ENTRIES,
				   .from = 2,
				   .term = 2,
				   .index = 3,
				   .log_term = 1,
				   .commit = 4,
				   .round = NOW_US,
				   .entries = entries };

	g_ptr_array_add(entries, noop);
	step(o, append, NOW_US);
	g_assert_true(raft_is_fresh(&o->r, CTL_LEASE_US, NOW_US));
	step(o, append, NOW_US + 3 * US_PER_S);
	g_assert_false(raft_is_fresh(&o->r, CTL_LEASE_US, NOW_US + 3 * US_PER_S));
	raft_entry_free(noop);
	owner_free(o);
}

/* Guards against: a process that stops is elected, so that the group has to elect once more. */
static void test_stopping_process_is_elected(void)
{
	struct owner *o = owner_new(3, 1, 3);
	u64 now = NOW_US;

	o->r.stands_for_none = true;
	for (u32 i = 0; i < 5; i++) {
		now = MAX(now, o->r.election_due_us);
		raft_tick(&o->r, now);
		g_assert_cmpint(o->r.role, ==, RAFT_FOLLOWER);
	}
	step(o, (struct raft_msg){ .type = RAFT_TIMEOUT_NOW, .from = 2, .term = o->r.term }, now);
	g_assert_cmpint(o->r.role, ==, RAFT_FOLLOWER);
	owner_free(o);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/raft-step/vote-is-saved-before-reply", test_vote_is_saved_before_reply);
	g_test_add_func("/raft-step/fresh-though-always-behind", test_fresh_though_always_behind);
	g_test_add_func("/raft-step/vote-requires-up-to-date-log",
			test_vote_requires_up_to_date_log);
	g_test_add_func("/raft-step/candidate-saves-its-vote", test_candidate_saves_its_vote);
	g_test_add_func("/raft-step/vote-from-an-emptied-disk",
			test_vote_from_an_emptied_disk_does_not_count);
	g_test_add_func("/raft-step/acknowledgement-from-an-emptied-disk",
			test_acknowledgement_from_an_emptied_disk_does_not_count);
	g_test_add_func("/raft-step/earlier-term-is-not-committed-alone",
			test_earlier_term_is_not_committed_alone);
	g_test_add_func("/raft-step/own-copy-counts-once-synced", test_own_copy_counts_once_synced);
	g_test_add_func("/raft-step/commit-index-is-sent-immediately",
			test_commit_index_is_sent_immediately);
	g_test_add_func("/raft-step/leader-syncs-before-stepping-down",
			test_leader_syncs_before_stepping_down);
	g_test_add_func("/raft-step/read-requires-a-later-heartbeat-round",
			test_read_requires_a_later_heartbeat_round);
	g_test_add_func("/raft-step/leader-without-quorum-steps-down",
			test_leader_without_quorum_steps_down);
	g_test_add_func("/raft-step/membership-change-waits-for-the-current-term",
			test_membership_change_waits_for_the_current_term);
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
	g_test_add_func("/raft-step/invalid-messages", test_invalid_messages);
	g_test_add_func("/raft-step/reply-beyond-the-log", test_reply_beyond_the_log_is_ignored);
	g_test_add_func("/raft-step/late-tick-starts-no-election",
			test_late_tick_starts_no_election);
	g_test_add_func("/raft-step/fresh-after-commit-in-the-leaders-term",
			test_fresh_after_commit_in_the_leaders_term);
	g_test_add_func("/raft-step/leader-is-fresh-by-late-replies",
			test_leader_is_fresh_by_late_replies);
	g_test_add_func("/raft-step/follower-is-fresh-by-late-heartbeat",
			test_follower_is_fresh_by_late_heartbeat);
	g_test_add_func("/raft-step/stopping-process-is-elected", test_stopping_process_is_elected);
	g_test_add_func("/raft-step/start-without-leader", test_start_without_leader);
	g_test_add_func("/raft-step/entries-in-flight-are-bounded",
			test_entries_in_flight_are_bounded);
	return g_test_run();
}
