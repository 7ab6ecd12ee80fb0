/*
 * Directories of three control processes on a virtual clock. The processes
 * exchange copies and heartbeats over links that the tests cut. A last-write-wins
 * map serves as the baseline of the differential test.
 */
#include "control/directory.h"

#include "lib/err.h"
#include "lib/rng.h"

#include <string.h>

#define PROCESSES 3
#define START_US (1000 * US_PER_S)

struct process {
	struct directory d;
	u64 heartbeat_seq;
	u64 sent[PROCESSES]; /* seq up to which changes were sent to each peer */
	bool is_suspended;
};

struct group {
	struct process p[PROCESSES];
	bool is_cut[PROCESSES][PROCESSES]; /* from, to */
	u64 now_us;
};

static void process_start(struct group *g, u32 i, u64 incarnation)
{
	memset(&g->p[i], 0, sizeof(g->p[i]));
	directory_init(&g->p[i].d, i + 1, incarnation);
	for (u32 j = 0; j < PROCESSES; j++)
		g->p[j].sent[i] = 0;
}

static struct group *group_new(void)
{
	struct group *g = g_new0(struct group, 1);

	g->now_us = START_US;
	for (u32 i = 0; i < PROCESSES; i++)
		process_start(g, i, 100);
	return g;
}

static void group_free(struct group *g)
{
	for (u32 i = 0; i < PROCESSES; i++)
		directory_clear(&g->p[i].d);
	g_free(g);
}

static void send_changes(struct group *g, u32 from, u32 to)
{
	struct process *a = &g->p[from];
	struct process *b = &g->p[to];
	g_autoptr(GPtrArray) items = directory_changes_since(&a->d, a->sent[to]);
	GHashTableIter iter;
	gpointer id;
	gpointer value;

	for (guint i = 0; i < items->len; i++)
		directory_merge(&b->d, g_ptr_array_index(items, i), from + 1, g->now_us);
	a->sent[to] = a->d.seq;
	directory_record_heartbeat(&b->d, from + 1, a->d.incarnation, a->heartbeat_seq, g->now_us);
	g_hash_table_iter_init(&iter, a->d.owners);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		const struct directory_owner *o = value;

		if (GPOINTER_TO_UINT(id) != to + 1)
			directory_record_heartbeat(&b->d, GPOINTER_TO_UINT(id), o->incarnation,
						   o->heartbeat_seq, g->now_us);
	}
}

static bool can_reach(const struct group *g, u32 from, u32 to)
{
	return from != to && !g->is_cut[from][to] && !g->p[from].is_suspended &&
	       !g->p[to].is_suspended;
}

static void exchange(struct group *g)
{
	for (u32 i = 0; i < PROCESSES; i++)
		g->p[i].heartbeat_seq += !g->p[i].is_suspended;
	for (u32 round = 0; round < 2; round++)
		for (u32 i = 0; i < PROCESSES; i++)
			for (u32 j = 0; j < PROCESSES; j++)
				if (can_reach(g, i, j))
					send_changes(g, i, j);
}

/* Advances the group by one second without any renewal by a node. */
static void advance_second(struct group *g)
{
	g->now_us += US_PER_S;
	for (u32 i = 0; i < PROCESSES; i++)
		if (!g->p[i].is_suspended)
			directory_expire(&g->p[i].d, g->now_us);
	exchange(g);
}

static struct dir_entry entry(const char *node, u64 incarnation, u64 version, enum dir_state state)
{
	return (struct dir_entry){ .node = (char *)node,
				   .zone = (char *)"breizh-brest",
				   .region = (char *)"breizh",
				   .service = (char *)"sightings",
				   .incarnation = incarnation,
				   .version = version,
				   .state = state,
				   .slots = 12 };
}

static int register_node(struct group *g, u32 i, const char *node, u64 incarnation, u64 version,
			 enum dir_state state)
{
	struct dir_entry e = entry(node, incarnation, version, state);

	return directory_register(&g->p[i].d, &e, g->now_us);
}

static enum dir_state state_at(const struct group *g, u32 i, const char *node)
{
	const struct directory_item *item = directory_find(&g->p[i].d, node);

	return item ? directory_state(item) : DIR_GONE;
}

static void assert_state_everywhere(const struct group *g, const char *node, enum dir_state state)
{
	for (u32 i = 0; i < PROCESSES; i++)
		g_assert_cmpint(state_at(g, i, node), ==, state);
}

static void set_cut(struct group *g, u32 a, u32 b, bool is_cut)
{
	g->is_cut[a][b] = is_cut;
	g->is_cut[b][a] = is_cut;
	/* A link that reconnects starts with a full transfer. */
	g->p[a].sent[b] = 0;
	g->p[b].sent[a] = 0;
}

static void test_register_again(void)
{
	struct group *g = group_new();
	u64 seq;

	g_assert_cmpint(register_node(g, 0, "n:1", 7, 1, DIR_UP), ==, 1);
	seq = g->p[0].d.seq;
	for (u32 i = 0; i < 10; i++)
		g_assert_cmpint(register_node(g, 0, "n:1", 7, 1, DIR_UP), ==, 0);
	g_assert_cmpuint(g->p[0].d.seq, ==, seq);
	exchange(g);
	seq = g->p[1].d.seq;
	g->p[0].sent[1] = 0;
	exchange(g);
	g_assert_cmpuint(g->p[1].d.seq, ==, seq);
	assert_state_everywhere(g, "n:1", DIR_UP);
	group_free(g);
}

static void test_old_incarnation(void)
{
	struct group *g = group_new();

	register_node(g, 0, "n:1", 7, 90, DIR_UP);
	g->now_us += US_PER_S;
	register_node(g, 1, "n:1", 8, 1, DIR_DRAINING);
	g_assert_cmpint(register_node(g, 1, "n:1", 7, 91, DIR_UP), ==, ERR_CONFLICT);
	g_assert_cmpint(directory_renew(&g->p[1].d, "n:1", 7, g->now_us), ==, ERR_NOTFOUND);
	exchange(g);
	assert_state_everywhere(g, "n:1", DIR_DRAINING);
	/* The second process owns the entry now, so the first one must not renew it. */
	g_assert_cmpint(directory_renew(&g->p[0].d, "n:1", 7, g->now_us), ==, ERR_NOTFOUND);
	g_assert_cmpint(directory_renew(&g->p[0].d, "n:1", 8, g->now_us), ==, ERR_NOTFOUND);
	group_free(g);
}

static void test_expiry(void)
{
	struct group *g = group_new();

	register_node(g, 0, "n:1", 7, 1, DIR_UP);
	register_node(g, 0, "n:2", 7, 1, DIR_UP);
	exchange(g);
	for (u32 s = 0; s < 20; s++) {
		advance_second(g);
		g_assert_cmpint(directory_renew(&g->p[0].d, "n:1", 7, g->now_us), ==, 0);
	}
	assert_state_everywhere(g, "n:1", DIR_UP);
	assert_state_everywhere(g, "n:2", DIR_GONE);
	g_assert_cmpint(directory_renew(&g->p[0].d, "n:2", 7, g->now_us), ==, ERR_NOTFOUND);
	/* Registering the same entry again restores it: the node was suspended, not restarted. */
	g_assert_cmpint(register_node(g, 0, "n:2", 7, 1, DIR_UP), ==, 1);
	exchange(g);
	assert_state_everywhere(g, "n:2", DIR_UP);
	group_free(g);
}

static void renew_for(struct group *g, u32 i, const char *node, u64 incarnation, u32 seconds)
{
	for (u32 s = 0; s < seconds; s++) {
		advance_second(g);
		g_assert_cmpint(directory_renew(&g->p[i].d, node, incarnation, g->now_us), ==, 0);
	}
}

static void test_owner_change(void)
{
	struct group *g = group_new();

	register_node(g, 0, "n:1", 7, 1, DIR_UP);
	exchange(g);
	register_node(g, 1, "n:1", 7, 2, DIR_UP);
	renew_for(g, 1, "n:1", 7, 20);
	assert_state_everywhere(g, "n:1", DIR_UP);
	for (u32 i = 0; i < PROCESSES; i++)
		g_assert_cmpuint(directory_find(&g->p[i].d, "n:1")->owner, ==, 2);
	/* Renewals at the new owner stop; the old owner is alive and must not keep the entry. */
	for (u32 s = 0; s < 8; s++)
		advance_second(g);
	assert_state_everywhere(g, "n:1", DIR_GONE);
	group_free(g);
}

/* The new owner and the third process cannot reach each other. */
static void test_owner_change_behind_a_cut(void)
{
	struct group *g = group_new();

	register_node(g, 0, "n:1", 7, 1, DIR_UP);
	exchange(g);
	set_cut(g, 1, 2, true);
	register_node(g, 1, "n:1", 7, 2, DIR_UP);
	renew_for(g, 1, "n:1", 7, 20);
	assert_state_everywhere(g, "n:1", DIR_UP);
	for (u32 s = 0; s < 8; s++)
		advance_second(g);
	assert_state_everywhere(g, "n:1", DIR_GONE);
	group_free(g);
}

static void test_partition(void)
{
	struct group *g = group_new();

	register_node(g, 0, "n:1", 7, 1, DIR_UP);
	register_node(g, 2, "n:3", 7, 1, DIR_UP);
	exchange(g);
	set_cut(g, 0, 2, true);
	set_cut(g, 1, 2, true);
	for (u32 s = 0; s < 20; s++) {
		advance_second(g);
		directory_renew(&g->p[0].d, "n:1", 7, g->now_us);
		directory_renew(&g->p[2].d, "n:3", 7, g->now_us);
	}
	g_assert_cmpint(state_at(g, 2, "n:1"), ==, DIR_GONE);
	g_assert_cmpint(state_at(g, 0, "n:3"), ==, DIR_GONE);
	g_assert_cmpint(state_at(g, 1, "n:1"), ==, DIR_UP);
	/* Registrations continue in the partition that is cut off. */
	register_node(g, 2, "n:4", 7, 1, DIR_UP);
	g_assert_cmpint(state_at(g, 2, "n:4"), ==, DIR_UP);
	set_cut(g, 0, 2, false);
	set_cut(g, 1, 2, false);
	exchange(g);
	advance_second(g);
	assert_state_everywhere(g, "n:1", DIR_UP);
	assert_state_everywhere(g, "n:3", DIR_UP);
	assert_state_everywhere(g, "n:4", DIR_UP);
	group_free(g);
}

/* The owner is suspended and its nodes move; once it resumes, it must withdraw nothing. */
static void test_suspended_process(void)
{
	struct group *g = group_new();

	register_node(g, 0, "n:1", 7, 1, DIR_UP);
	register_node(g, 0, "n:2", 7, 1, DIR_UP);
	register_node(g, 1, "n:5", 7, 1, DIR_UP);
	exchange(g);
	advance_second(g);
	directory_renew(&g->p[0].d, "n:2", 7, g->now_us);
	g->p[0].is_suspended = true;
	register_node(g, 1, "n:1", 7, 2, DIR_UP);
	for (u32 s = 0; s < 30; s++) {
		advance_second(g);
		directory_renew(&g->p[1].d, "n:1", 7, g->now_us);
		directory_renew(&g->p[1].d, "n:5", 7, g->now_us);
	}
	g_assert_cmpint(state_at(g, 1, "n:2"), ==, DIR_GONE);
	g->p[0].is_suspended = false;
	/* Its timer fires before it reads the messages queued in its sockets. */
	g_assert_cmpuint(directory_expire(&g->p[0].d, g->now_us), ==, 0);
	g_assert_cmpint(state_at(g, 0, "n:5"), ==, DIR_UP);
	g->p[1].sent[0] = 0;
	g->p[2].sent[0] = 0;
	g->p[0].sent[1] = 0;
	g->p[0].sent[2] = 0;
	exchange(g);
	assert_state_everywhere(g, "n:1", DIR_UP);
	assert_state_everywhere(g, "n:5", DIR_UP);
	g_assert_cmpuint(directory_find(&g->p[0].d, "n:1")->owner, ==, 2);
	group_free(g);
}

/* The owner restarts with an empty directory, and one of its nodes failed with it. */
static void test_restarted_owner(void)
{
	struct group *g = group_new();

	register_node(g, 0, "n:1", 7, 1, DIR_UP);
	register_node(g, 0, "n:2", 7, 1, DIR_UP);
	exchange(g);
	directory_clear(&g->p[0].d);
	process_start(g, 0, 200);
	register_node(g, 0, "n:2", 7, 2, DIR_UP);
	renew_for(g, 0, "n:2", 7, 10);
	assert_state_everywhere(g, "n:2", DIR_UP);
	assert_state_everywhere(g, "n:1", DIR_GONE);
	group_free(g);
}

/* The owner restarts while its clock is behind: its nodes are gone for the others. */
static void test_owner_restarted_with_an_earlier_clock(void)
{
	struct group *g = group_new();

	register_node(g, 0, "n:1", 7, 1, DIR_UP);
	exchange(g);
	directory_clear(&g->p[0].d);
	process_start(g, 0, 50);
	register_node(g, 0, "n:1", 7, 2, DIR_UP);
	renew_for(g, 0, "n:1", 7, 10);
	assert_state_everywhere(g, "n:1", DIR_UP);
	group_free(g);
}

/* A late heartbeat of the run before does not count for as long as the new one is heard. */
static void test_late_heartbeat_of_an_older_run(void)
{
	struct group *g = group_new();
	struct directory *d = &g->p[0].d;
	u64 later_us = g->now_us + DIRECTORY_TTL_US - 1;

	g_assert_true(directory_record_heartbeat(d, 2, 100, 9, g->now_us));
	g_assert_false(directory_record_heartbeat(d, 2, 50, 1, g->now_us));
	g_assert_false(directory_record_heartbeat(d, 2, 50, 2, later_us));
	g_assert_true(directory_record_heartbeat(d, 2, 100, 10, later_us));
	g_assert_false(directory_record_heartbeat(d, 2, 50, 3, g->now_us + DIRECTORY_TTL_US));
	g_assert_true(directory_record_heartbeat(d, 2, 50, 4, later_us + DIRECTORY_TTL_US));
	group_free(g);
}

/* A process that was cut off for longer than DIRECTORY_TOMBSTONE_TTL_US sends a stale copy. */
static void test_pruned_tombstone(void)
{
	struct group *g = group_new();

	register_node(g, 0, "n:1", 7, 1, DIR_UP);
	exchange(g);
	set_cut(g, 0, 2, true);
	set_cut(g, 1, 2, true);
	for (u32 s = 0; s < 10; s++)
		advance_second(g);
	for (u32 i = 0; i < 2; i++) {
		g->p[i].d.last_expire_us = 0;
		directory_expire(&g->p[i].d,
				 g->now_us + DIRECTORY_TOMBSTONE_TTL_US + 60 * US_PER_S);
		g->p[i].d.last_expire_us = 0;
		g_assert_null(directory_find(&g->p[i].d, "n:1"));
	}
	set_cut(g, 0, 2, false);
	set_cut(g, 1, 2, false);
	for (u32 s = 0; s < 3; s++)
		advance_second(g);
	assert_state_everywhere(g, "n:1", DIR_GONE);
	group_free(g);
}

/* A zone with 700 nodes is cut off from the others and reconnected, three times. */
static void test_zone_cut_off(void)
{
	struct group *g = group_new();
	char name[32];

	for (u32 round = 0; round < 3; round++) {
		for (u32 n = 0; n < 700; n++) {
			g_snprintf(name, sizeof(name), "z:%u", n);
			register_node(g, 2, name, 7 + round, 1, DIR_UP);
		}
		register_node(g, 0, "n:1", 7 + round, 1, DIR_UP);
		exchange(g);
		g_assert_cmpint(state_at(g, 0, "z:699"), ==, DIR_UP);
		set_cut(g, 0, 2, true);
		set_cut(g, 1, 2, true);
		renew_for(g, 0, "n:1", 7 + round, 10);
		for (u32 n = 0; n < 700; n++) {
			g_snprintf(name, sizeof(name), "z:%u", n);
			g_assert_cmpint(state_at(g, 0, name), ==, DIR_GONE);
			g_assert_cmpint(state_at(g, 1, name), ==, DIR_GONE);
		}
		g_assert_cmpint(state_at(g, 1, "n:1"), ==, DIR_UP);
		set_cut(g, 0, 2, false);
		set_cut(g, 1, 2, false);
	}
	group_free(g);
}

static void test_changes_since(void)
{
	struct group *g = group_new();
	struct directory *d = &g->p[0].d;
	GPtrArray *items;

	register_node(g, 0, "n:1", 7, 1, DIR_UP);
	register_node(g, 0, "n:2", 7, 1, DIR_UP);
	register_node(g, 0, "n:3", 7, 1, DIR_UP);
	register_node(g, 0, "n:1", 7, 2, DIR_DRAINING);
	items = directory_changes_since(d, 2);
	g_assert_cmpuint(items->len, ==, 2);
	g_assert_true(g_ptr_array_index(items, 0) == directory_find(d, "n:3"));
	g_assert_true(g_ptr_array_index(items, 1) == directory_find(d, "n:1"));
	g_ptr_array_unref(items);
	items = directory_changes_since(d, 0);
	g_assert_cmpuint(items->len, ==, 3);
	g_ptr_array_unref(items);
	items = directory_changes_since(d, d->seq);
	g_assert_cmpuint(items->len, ==, 0);
	g_ptr_array_unref(items);
	group_free(g);
}

/* Differential test: compares merged writes with the newest write and the last one of each node. */

#define NODES 6
#define WRITES 40

struct write {
	u32 node;
	u64 incarnation;
	u64 version;
	struct directory_item copy;
};

static struct write make_write(struct rng *r, u32 i)
{
	static const char *const names[NODES] = { "a:1", "a:2", "b:1", "b:2", "c:1", "c:2" };
	struct write w = { .node = i % NODES };
	enum dir_state state = (enum dir_state)(DIR_NO_UPSTREAM + rng_below(r, 4));

	w.incarnation = 1 + i / (WRITES / 2);
	w.version = 1 + (i / NODES) % 4;
	w.copy.entry = entry(names[w.node], w.incarnation, w.version, state);
	/* An owner increments owner_rev when it withdraws an entry. */
	w.copy.owner = 1 + rng_below(r, 3);
	w.copy.owner_incarnation = 100;
	w.copy.owner_rev = rng_below(r, 2);
	w.copy.is_withdrawn = w.copy.owner_rev == 1;
	return w;
}

static bool is_write_newer(const struct write *a, const struct write *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation > b->incarnation;
	if (a->version != b->version)
		return a->version > b->version;
	if (a->copy.owner_rev != b->copy.owner_rev)
		return a->copy.owner_rev > b->copy.owner_rev;
	return a->copy.owner > b->copy.owner;
}

/* Delivers all writes in random order, some of them several times. */
static void deliver(struct rng *r, struct directory *d, const struct write *writes,
		    const struct write **last)
{
	u32 order[WRITES * 2];
	u32 n = WRITES * 2;

	for (u32 i = 0; i < n; i++)
		order[i] = i < WRITES ? i : rng_below(r, WRITES);
	for (u32 i = n - 1; i > 0; i--) {
		u32 j = rng_below(r, i + 1);
		u32 t = order[i];

		order[i] = order[j];
		order[j] = t;
	}
	for (u32 i = 0; i < n; i++) {
		const struct write *w = &writes[order[i]];

		directory_merge(d, &w->copy, 2, START_US);
		last[w->node] = w;
	}
}

static void test_differential(void)
{
	u32 last_differs = 0;

	for (u64 seed = 1; seed <= 2000; seed++) {
		struct rng r = { .state = seed };
		struct write writes[WRITES];
		const struct write *newest[NODES] = { NULL };
		const struct write *last[NODES] = { NULL };
		struct directory d;

		for (u32 i = 0; i < WRITES; i++) {
			u32 node = i % NODES;

			writes[i] = make_write(&r, i);
			if (!newest[node] || is_write_newer(&writes[i], newest[node]))
				newest[node] = &writes[i];
		}
		directory_init(&d, 9, 100);
		deliver(&r, &d, writes, last);
		for (u32 n = 0; n < NODES; n++) {
			struct directory_item *item =
				directory_find(&d, newest[n]->copy.entry.node);

			g_assert_cmpuint(item->entry.incarnation, ==, newest[n]->incarnation);
			g_assert_cmpuint(item->entry.version, ==, newest[n]->version);
			g_assert_cmpuint(item->owner_rev, ==, newest[n]->copy.owner_rev);
			g_assert_cmpuint(item->owner, ==, newest[n]->copy.owner);
			last_differs += is_write_newer(newest[n], last[n]);
		}
		directory_clear(&d);
	}
	/* A last-write-wins map gives wrong results on these schedules. */
	g_assert_cmpuint(last_differs, >, 0);
}

/* Random registrations, moves, failures, cuts and restarts; all converge to the expected state. */

struct expected_node {
	char name[16];
	u64 incarnation;
	u64 version;
	u32 at;
	bool is_alive;
};

static void random_step(struct group *g, struct rng *r, struct expected_node *t, u64 *incarnation)
{
	u32 a = rng_below(r, PROCESSES);
	u32 b = rng_below(r, PROCESSES);

	switch (rng_below(r, 6)) {
	case 0:
		t->incarnation = ++*incarnation;
		t->version = 0;
		t->is_alive = true;
		/* fall through */
	case 1:
		t->at = a;
		if (t->is_alive)
			register_node(g, t->at, t->name, t->incarnation, ++t->version, DIR_UP);
		break;
	case 2:
		t->is_alive = rng_below(r, 3) > 0;
		break;
	case 3:
		if (a != b)
			set_cut(g, a, b, !g->is_cut[a][b]);
		break;
	case 4:
		directory_clear(&g->p[a].d);
		process_start(g, a, ++*incarnation);
		break;
	default:
		advance_second(g);
		break;
	}
}

static void renew_expected(struct group *g, struct expected_node *t)
{
	for (u32 i = 0; i < NODES; i++)
		if (t[i].is_alive &&
		    directory_renew(&g->p[t[i].at].d, t[i].name, t[i].incarnation, g->now_us))
			register_node(g, t[i].at, t[i].name, t[i].incarnation, ++t[i].version,
				      DIR_UP);
}

static void test_random_faults(void)
{
	for (u64 seed = 1; seed <= 500; seed++) {
		struct rng r = { .state = seed };
		struct group *g = group_new();
		struct expected_node t[NODES] = { 0 };
		u64 incarnation = 1000;

		for (u32 i = 0; i < NODES; i++)
			g_snprintf(t[i].name, sizeof(t[i].name), "n:%u", i);
		for (u32 step = 0; step < 100; step++) {
			random_step(g, &r, &t[rng_below(&r, NODES)], &incarnation);
			renew_expected(g, t);
		}
		for (u32 i = 0; i < PROCESSES; i++)
			for (u32 j = i + 1; j < PROCESSES; j++)
				set_cut(g, i, j, false);
		for (u32 s = 0; s < 15; s++) {
			advance_second(g);
			renew_expected(g, t);
			exchange(g);
		}
		for (u32 i = 0; i < NODES; i++)
			assert_state_everywhere(g, t[i].name, t[i].is_alive ? DIR_UP : DIR_GONE);
		group_free(g);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/directory/register-again", test_register_again);
	g_test_add_func("/directory/old-incarnation", test_old_incarnation);
	g_test_add_func("/directory/expiry", test_expiry);
	g_test_add_func("/directory/owner-change", test_owner_change);
	g_test_add_func("/directory/owner-change-behind-a-cut", test_owner_change_behind_a_cut);
	g_test_add_func("/directory/partition", test_partition);
	g_test_add_func("/directory/suspended-process", test_suspended_process);
	g_test_add_func("/directory/restarted-owner", test_restarted_owner);
	g_test_add_func("/directory/owner-restarted-with-an-earlier-clock",
			test_owner_restarted_with_an_earlier_clock);
	g_test_add_func("/directory/late-heartbeat-of-an-older-run",
			test_late_heartbeat_of_an_older_run);
	g_test_add_func("/directory/pruned-tombstone", test_pruned_tombstone);
	g_test_add_func("/directory/zone-cut-off", test_zone_cut_off);
	g_test_add_func("/directory/changes-since", test_changes_since);
	g_test_add_func("/directory/differential", test_differential);
	g_test_add_func("/directory/random-faults", test_random_faults);
	return g_test_run();
}
