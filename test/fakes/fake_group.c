#include "test/fakes/fake_group_impl.h"

#include "control/op.h"
#include "lib/err.h"

#include <string.h>

struct raft *fake_raft(struct fake_group *g, u32 id)
{
	return &g->r[id].control.raft;
}

/* Starting and stopping replicas */

static struct raft_members founders(const struct fake_group *g)
{
	struct raft_members m = { .n = g->founders };

	for (u32 i = 0; i < g->founders; i++) {
		m.m[i].id = i + 1;
		m.m[i].at.port = (u16)(i + 1);
		g_strlcpy(m.m[i].at.host, "127.0.0.1", sizeof(m.m[i].at.host));
	}
	return m;
}

void fake_group_start(struct fake_group *g, u32 id)
{
	struct fake_replica *f = &g->r[id];
	struct raft *r = &f->control.raft;
	struct raft_members members = founders(g);
	g_autofree char *why = NULL;
	int err;

	if (f->is_up)
		return;
	f->is_ending = false;
	f->frozen_until_us = 0;
	f->count = 0;
	f->hash = 0;
	store_init(&f->control.store);
	err = wal_open(&f->control.wal, &f->disk->disk, id * 1000 + ++g->starts, &why);
	raft_init(r, &fake_group_ops, f, id, f->control.wal.replica, rng_next(&g->rng), g->now_us);
	if (g->chunk_bytes) {
		r->chunk_bytes = g->chunk_bytes;
		r->retained_entries_max = g->retained_entries_max;
	}
	r->copies_min = g->copies_min;
	if (!err)
		err = wal_load(&f->control.wal, r, &why);
	f->is_up = true;
	/* A process that cannot read or write its disk exits. */
	if (err == ERR_IO) {
		fake_group_crash(g, id);
		return;
	}
	if (err)
		fake_group_report(g, why ? why : "the disk cannot be loaded", id, 0);
	if (r->role == RAFT_FORMING && id <= g->founders && !(g->forgets_founders && f->was_wiped))
		raft_form_group(r, &members);
}

void fake_group_crash(struct fake_group *g, u32 id)
{
	struct fake_replica *f = &g->r[id];

	if (!f->is_up)
		return;
	raft_clear(&f->control.raft);
	store_clear(&f->control.store);
	memset(&f->control.raft, 0, sizeof(f->control.raft));
	fake_disk_crash(f->disk);
	f->is_up = false;
	for (u32 other = 1; other <= g->n; other++)
		fake_group_break_links(g, id, other);
}

void fake_group_wipe_disk(struct fake_group *g, u32 id)
{
	g->r[id].was_wiped = true;
	fake_disk_free(g->r[id].disk);
	g->r[id].disk = fake_disk_new(rng_next(&g->rng));
}

void fake_group_freeze(struct fake_group *g, u32 id, u64 span_us)
{
	g->r[id].frozen_until_us = g->now_us + span_us;
}

struct fake_group *fake_group_new_founded(u32 n, u32 founders, u64 seed)
{
	struct fake_group *g = g_new0(struct fake_group, 1);

	g->seed = seed;
	g->rng.state = seed * 0x2545f4914f6cdd1dULL;
	g->founders = founders;
	g->now_us = US_PER_S;
	g->delay_max_us = 5000;
	g->queue = g_ptr_array_new_with_free_func(fake_message_free);
	g->leaders = g_hash_table_new(NULL, NULL);
	g->entries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g->committed = g_array_new(FALSE, TRUE, sizeof(struct fake_commit));
	g_array_set_size(g->committed, 1);
	g->reads = g_array_new(FALSE, TRUE, sizeof(struct fake_read));
	g->proposals = g_array_new(FALSE, TRUE, sizeof(struct fake_proposal));
	for (u32 from = 1; from <= FAKE_GROUP_MAX; from++)
		for (u32 to = 1; to <= FAKE_GROUP_MAX; to++)
			g->lanes[from][to] =
				(struct fake_lane){ .group = g, .from = from, .to = to };
	for (u32 i = 0; i < n; i++)
		fake_group_add(g);
	return g;
}

struct fake_group *fake_group_new(u32 n, u64 seed)
{
	struct fake_group *g = fake_group_new_founded(n, n, seed);

	for (u32 id = 1; id <= n; id++)
		fake_group_start(g, id);
	return g;
}

u32 fake_group_add(struct fake_group *g)
{
	struct fake_replica *f = &g->r[++g->n];

	g_assert_cmpuint(g->n, <=, FAKE_GROUP_MAX);
	f->group = g;
	f->id = g->n;
	f->disk = fake_disk_new(rng_next(&g->rng));
	return f->id;
}

void fake_group_free(struct fake_group *g)
{
	for (u32 id = 1; id <= g->n; id++) {
		fake_group_crash(g, id);
		fake_disk_free(g->r[id].disk);
	}
	g_ptr_array_unref(g->queue);
	g_hash_table_unref(g->leaders);
	g_hash_table_unref(g->entries);
	g_array_unref(g->committed);
	g_array_unref(g->reads);
	g_array_unref(g->proposals);
	g_free(g->violation);
	g_free(g);
}

/* Clock */

void fake_group_after_step(struct fake_group *g, u32 id)
{
	struct fake_replica *f = &g->r[id];

	if (f->is_up && f->is_ending)
		fake_group_crash(g, id);
	if (f->is_up)
		fake_group_check_leader(f);
}

static u64 timer_due_us(struct fake_group *g, u32 id)
{
	return MAX(raft_next_due_us(fake_raft(g, id)), g->r[id].frozen_until_us);
}

static u32 next_timer(struct fake_group *g)
{
	u32 best = 0;

	for (u32 id = 1; id <= g->n; id++)
		if (g->r[id].is_up && (!best || timer_due_us(g, id) < timer_due_us(g, best)))
			best = id;
	return best;
}

/* Messages to a frozen process wait until it reads them. */
static bool wait_for_thaw(const struct fake_group *g, struct fake_message *m)
{
	if (m->due_us >= g->r[m->to].frozen_until_us)
		return false;
	m->due_us = g->r[m->to].frozen_until_us;
	return true;
}

/* Delivers one message or runs one tick. Returns false if none is due by END_US. */
static bool run_next_event(struct fake_group *g, u64 end_us)
{
	u32 timer = next_timer(g);
	u64 timer_us = timer ? timer_due_us(g, timer) : UINT64_MAX;
	guint at = fake_group_next_message(g);
	struct fake_message *m = g->queue->len ? g_ptr_array_index(g->queue, at) : NULL;

	if (m && wait_for_thaw(g, m))
		return true;
	if (m && m->due_us <= timer_us && m->due_us <= end_us) {
		g->now_us = MAX(g->now_us, m->due_us);
		g_ptr_array_steal_index_fast(g->queue, at);
		fake_group_deliver(g, m);
		fake_message_free(m);
		return true;
	}
	if (timer_us > end_us)
		return false;
	g->now_us = MAX(g->now_us, timer_us);
	raft_tick(fake_raft(g, timer), g->now_us);
	fake_group_after_step(g, timer);
	return true;
}

void fake_group_run(struct fake_group *g, u64 span_us)
{
	u64 end_us = g->now_us + span_us;

	while (!g->violation && run_next_event(g, end_us))
		continue;
	g->now_us = MAX(g->now_us, end_us);
}

u32 fake_group_leader(const struct fake_group *g)
{
	u32 best = 0;

	for (u32 id = 1; id <= g->n; id++) {
		const struct raft *r = &g->r[id].control.raft;

		if (g->r[id].is_up && r->role == RAFT_LEADER &&
		    (!best || r->term > g->r[best].control.raft.term))
			best = id;
	}
	return best;
}

static bool is_settled(struct fake_group *g)
{
	u32 leader = fake_group_leader(g);
	struct raft *l = fake_raft(g, leader);

	if (!leader || l->applied != raft_last_index(l) || raft_term_at(l, l->commit) != l->term ||
	    l->commit + 1 < g->committed->len)
		return false;
	for (u32 id = 1; id <= g->n; id++) {
		bool is_member = raft_member_find(&l->members, id) != NULL;

		if (g->r[id].is_up && is_member && fake_raft(g, id)->applied != l->applied)
			return false;
	}
	return true;
}

bool fake_group_settle(struct fake_group *g, u64 span_us)
{
	u64 end_us = g->now_us + span_us;

	while (!g->violation && g->now_us < end_us) {
		fake_group_run(g, 10 * US_PER_MS);
		if (is_settled(g))
			return !g->violation;
	}
	return false;
}

/* Client and operator requests */

bool fake_group_propose(struct fake_group *g, u32 id)
{
	u64 command = g->proposals->len + 1;
	g_autoptr(GBytes) data = g_bytes_new(&command, sizeof(command));

	return fake_group_propose_command(g, id, data);
}

bool fake_group_propose_command(struct fake_group *g, u32 id, GBytes *command)
{
	struct raft *r = fake_raft(g, id);
	struct fake_proposal p = { .id = id, .term = r->term };
	u64 index;

	if (!g->r[id].is_up || r->role != RAFT_LEADER)
		return false;
	p.index = raft_last_index(r) + 1;
	g_array_append_val(g->proposals, p);
	if (raft_propose(r, RAFT_COMMAND, command, g->now_us, &index))
		fake_group_report(g, "the leader rejected a proposal", id, 0);
	fake_group_after_step(g, id);
	return true;
}

bool fake_group_read(struct fake_group *g, u32 id)
{
	struct fake_read read = { .id = id, .min_commit_index = g->committed->len - 1 };

	if (!g->r[id].is_up || fake_raft(g, id)->role != RAFT_LEADER)
		return false;
	g_array_append_val(g->reads, read);
	return !raft_read_index(fake_raft(g, id), g->reads->len - 1, g->now_us);
}

u16 fake_group_replace(struct fake_group *g, u32 id, u64 since_us)
{
	u32 leader = fake_group_leader(g);
	g_autofree char *text = NULL;
	u16 status;

	if (!leader)
		return 0;
	status = members_replace(&g->r[leader].control, id, since_us, g->now_us, &text);
	fake_group_after_step(g, leader);
	return status;
}
