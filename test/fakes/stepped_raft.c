#include "test/fakes/stepped_raft.h"

static void on_send(struct raft *r, u32 to, const struct raft_msg *m)
{
	struct stepped_raft *o = r->arg;
	struct stepped_message *s = &o->sent[o->sent_count++ % STEPPED_SENT_MAX];

	s->to = to;
	s->m = *m;
	s->entries = m->entries ? m->entries->len : 0;
}

static void on_save_state(struct raft *r, u64 term, u32 vote)
{
	struct stepped_raft *o = r->arg;

	o->saved_term = term;
	o->saved_vote = vote;
}

static void on_append(struct raft *r, GPtrArray *entries)
{
	struct stepped_raft *o = r->arg;
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
	((struct stepped_raft *)r->arg)->applied = e->index;
}

static void on_restore(struct raft *r, u64 index, GBytes *state)
{
	(void)state;
	((struct stepped_raft *)r->arg)->applied = index;
}

static GBytes *on_snapshot(struct raft *r)
{
	(void)r;
	return g_bytes_new(NULL, 0);
}

static void on_read_ready(struct raft *r, u64 id, bool is_ok)
{
	struct stepped_raft *o = r->arg;

	(void)id;
	o->reads_ok += is_ok;
	o->reads_failed += !is_ok;
}

const struct raft_ops stepped_ops = {
	.send = on_send,
	.save_state = on_save_state,
	.append = on_append,
	.save_snapshot = on_save_snapshot,
	.apply = on_apply,
	.restore = on_restore,
	.snapshot = on_snapshot,
	.read_ready = on_read_ready,
};

struct raft_members stepped_members(u32 n)
{
	struct raft_members m = { .n = n };

	for (u32 i = 0; i < n; i++)
		m.m[i] = (struct raft_member){ .id = i + 1,
					       .replica = 10 * (i + 1),
					       .is_voter = true };
	return m;
}

struct stepped_raft *stepped_new(u32 n, u64 term, u64 last)
{
	struct stepped_raft *o = g_new0(struct stepped_raft, 1);
	struct raft_members m = stepped_members(n);
	g_autoptr(GBytes) empty = g_bytes_new(NULL, 0);

	raft_init(&o->r, &stepped_ops, o, 1, 10, 1, STEPPED_NOW_US);
	raft_load_snapshot(&o->r, 1, 1, &m, empty);
	raft_load_state(&o->r, term, 0);
	for (u64 i = 2; i <= last; i++) {
		struct raft_entry *e = raft_entry_new(i, term, RAFT_COMMAND, empty);

		raft_load_entry(&o->r, e);
		raft_entry_free(e);
	}
	return o;
}

void stepped_free(struct stepped_raft *o)
{
	raft_clear(&o->r);
	g_free(o);
}

const struct stepped_message *stepped_last_sent(const struct stepped_raft *o)
{
	g_assert_cmpuint(o->sent_count, >, 0);
	return &o->sent[(o->sent_count - 1) % STEPPED_SENT_MAX];
}

void stepped_receive(struct stepped_raft *o, struct raft_msg m, u64 now_us)
{
	m.replica = m.replica ? m.replica : 10 * m.from;
	raft_step(&o->r, &m, now_us);
}

void stepped_reply(struct stepped_raft *o, u32 from, u64 index, bool is_ok)
{
	stepped_receive(o,
			(struct raft_msg){ .type = RAFT_APPEND_ENTRIES_REPLY,
					   .from = from,
					   .term = o->r.term,
					   .index = index,
					   .round = o->r.round,
					   .is_ok = is_ok },
			STEPPED_NOW_US);
}

void stepped_elect(struct stepped_raft *o)
{
	o->r.election_due_us = STEPPED_NOW_US;
	raft_tick(&o->r, STEPPED_NOW_US);
	for (u32 from = 2; from <= o->r.members.n; from++)
		stepped_receive(o,
				(struct raft_msg){ .type = RAFT_PREVOTE_REPLY,
						   .from = from,
						   .term = o->r.term + 1,
						   .is_ok = true },
				STEPPED_NOW_US);
	for (u32 from = 2; from <= o->r.members.n; from++)
		stepped_receive(o,
				(struct raft_msg){ .type = RAFT_VOTE_REPLY,
						   .from = from,
						   .term = o->r.term,
						   .is_ok = true },
				STEPPED_NOW_US);
	g_assert_cmpint(o->r.role, ==, RAFT_LEADER);
}

void stepped_request_vote(struct stepped_raft *o, u32 from, u64 term, u64 index, u64 log_term)
{
	stepped_receive(o,
			(struct raft_msg){ .type = RAFT_VOTE,
					   .from = from,
					   .term = term,
					   .index = index,
					   .log_term = log_term },
			STEPPED_NOW_US);
}
