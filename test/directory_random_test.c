/*
 * Directories under random schedules. A last-write-wins map serves as the baseline of the
 * differential test.
 */
#include "lib/rng.h"
#include "test/fakes/dirgroup.h"

#define NODES 6
#define WRITES 40

/* Differential test: compares merged writes with the newest write and the last one of each node. */

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
	w.copy.entry = dirgroup_entry(names[w.node], w.incarnation, w.version, state);
	/* An owner increments owner_rev when it withdraws an entry. */
	w.copy.owner = 1 + rng_below(r, 3);
	w.copy.owner_incarnation = 100;
	w.copy.owner_rev = rng_below(r, 2);
	w.copy.has_expired = w.copy.owner_rev == 1;
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

		directory_merge(d, &w->copy, 2, DIRGROUP_START_US);
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

static void random_step(struct dirgroup *g, struct rng *r, struct expected_node *t,
			u64 *incarnation)
{
	u32 a = rng_below(r, DIRGROUP_PROCESSES);
	u32 b = rng_below(r, DIRGROUP_PROCESSES);

	switch (rng_below(r, 6)) {
	case 0:
		t->incarnation = ++*incarnation;
		t->version = 0;
		t->is_alive = true;
		/* fall through */
	case 1:
		t->at = a;
		if (t->is_alive)
			dirgroup_register(g, t->at, t->name, t->incarnation, ++t->version, DIR_UP);
		break;
	case 2:
		t->is_alive = rng_below(r, 3) > 0;
		break;
	case 3:
		if (a != b)
			dirgroup_set_cut(g, a, b, !g->is_cut[a][b]);
		break;
	case 4:
		directory_clear(&g->p[a].d);
		dirgroup_start_process(g, a, ++*incarnation);
		break;
	default:
		dirgroup_advance_second(g);
		break;
	}
}

static void renew_expected(struct dirgroup *g, struct expected_node *t)
{
	for (u32 i = 0; i < NODES; i++)
		if (t[i].is_alive &&
		    directory_renew(&g->p[t[i].at].d, t[i].name, t[i].incarnation, g->now_us))
			dirgroup_register(g, t[i].at, t[i].name, t[i].incarnation, ++t[i].version,
					  DIR_UP);
}

static void test_random_faults(void)
{
	for (u64 seed = 1; seed <= 500; seed++) {
		struct rng r = { .state = seed };
		struct dirgroup *g = dirgroup_new();
		struct expected_node t[NODES] = { 0 };
		u64 incarnation = 1000;

		for (u32 i = 0; i < NODES; i++)
			g_snprintf(t[i].name, sizeof(t[i].name), "n:%u", i);
		for (u32 step = 0; step < 100; step++) {
			random_step(g, &r, &t[rng_below(&r, NODES)], &incarnation);
			renew_expected(g, t);
		}
		for (u32 i = 0; i < DIRGROUP_PROCESSES; i++)
			for (u32 j = i + 1; j < DIRGROUP_PROCESSES; j++)
				dirgroup_set_cut(g, i, j, false);
		for (u32 s = 0; s < 15; s++) {
			dirgroup_advance_second(g);
			renew_expected(g, t);
			dirgroup_exchange(g);
		}
		for (u32 i = 0; i < NODES; i++)
			dirgroup_assert_state(g, t[i].name, t[i].is_alive ? DIR_UP : DIR_GONE);
		dirgroup_free(g);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/directory/differential", test_differential);
	g_test_add_func("/directory/random-faults", test_random_faults);
	return g_test_run();
}
