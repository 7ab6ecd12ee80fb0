/* Raft over links that take long for large entries and snapshots. */
#include "test/fakes/fake_group.h"
#include "wire/ctl.h"

#define REPLICAS 3
#define SETTLE_US (20 * US_PER_S)
#define BYTES_PER_S (10 * 1000 * 1000 / 8)

/* Returns a group with a leader, on links with a rate. */
static struct fake_group *settled_group(u64 seed)
{
	struct fake_group *g = fake_group_new(REPLICAS, seed);

	g->bytes_per_s = BYTES_PER_S;
	g_assert_true(fake_group_settle(g, SETTLE_US));
	return g;
}

static void propose(struct fake_group *g, size_t bytes)
{
	struct raft *leader = fake_raft(g, fake_group_leader(g));
	g_autofree u8 *p = g_malloc(bytes);
	g_autoptr(GBytes) data = NULL;
	u64 index;

	for (size_t i = 0; i < bytes; i++)
		p[i] = (u8)rng_next(&g->rng);
	data = g_bytes_new(p, bytes);
	g_assert_cmpint(raft_propose(leader, RAFT_COMMAND, data, g->now_us, &index), ==, 0);
}

/* A node leaves a control process after 700 ms without a report that it is fresh, each 250 ms. */
#define UNFRESH_MAX_US (450 * US_PER_MS)
/* Half of the time after which a change has to be in force at all nodes. */
#define STALE_MAX_MS 1000

/* What the replicas were like, by ms. */
struct watch {
	struct fake_group *g;
	u32 except; /* a replica that need not be fresh */
	u64 term;
	GArray *commits; /* of u64, the leader's commit index */
	u64 fresh_us[REPLICAS + 1]; /* when the replica was last fresh */
};

static void check_replica(struct watch *w, u32 id)
{
	struct raft *r = fake_raft(w->g, id);
	u64 now = w->g->now_us;
	guint n = w->commits->len;

	g_assert_cmpuint(r->term, <=, w->term);
	if (raft_is_fresh(r, CTL_LEASE_US, now)) {
		w->fresh_us[id] = now;
		if (n > STALE_MAX_MS)
			g_assert_cmpuint(r->applied, >=,
					 g_array_index(w->commits, u64, n - 1 - STALE_MAX_MS));
	}
	if (id != w->except)
		g_assert_cmpuint(now - w->fresh_us[id], <=, UNFRESH_MAX_US);
}

static struct watch *watch_new(struct fake_group *g, u32 except)
{
	struct watch *w = g_new0(struct watch, 1);

	w->g = g;
	w->except = except;
	w->term = fake_raft(g, fake_group_leader(g))->term;
	w->commits = g_array_new(FALSE, FALSE, sizeof(u64));
	for (u32 id = 1; id <= g->n; id++)
		w->fresh_us[id] = g->now_us;
	return w;
}

/* Runs for SPAN_US: the leader stays, and no replica is without freshness for long. */
static void run_watched(struct watch *w, u64 span_us)
{
	u64 end_us = w->g->now_us + span_us;

	while (w->g->now_us < end_us) {
		fake_group_run(w->g, US_PER_MS);
		g_assert_cmpstr(w->g->violation, ==, NULL);
		g_array_append_val(w->commits, fake_raft(w->g, fake_group_leader(w->g))->commit);
		for (u32 id = 1; id <= w->g->n; id++)
			check_replica(w, id);
	}
}

/* Checks that all replicas have applied the whole log, and frees W and its group. */
static void finish(struct watch *w)
{
	struct fake_group *g = w->g;

	for (u32 id = 1; id <= g->n; id++)
		g_assert_cmpuint(fake_raft(g, id)->applied, ==,
				 raft_last_index(fake_raft(g, fake_group_leader(g))));
	g_array_unref(w->commits);
	g_free(w);
	fake_group_free(g);
}

/* A set of 6,000 routes as text. */
#define SET_BYTES (1500 * 1000)

/*
 * Guards against: heartbeats wait behind a whole set on the link, the followers start an election,
 * and the next leader sends the set from its beginning.
 */
static void test_whole_set_on_slow_link(void)
{
	struct fake_group *g = settled_group(1);
	struct watch *w = watch_new(g, 0);

	propose(g, SET_BYTES);
	run_watched(w, 2 * (REPLICAS - 1) * SET_BYTES * US_PER_S / BYTES_PER_S);
	finish(w);
}

#define CHANGES 50
#define CHANGE_BYTES (60 * 1000)
#define CHANGE_INTERVAL_US (50 * US_PER_MS)

/* Guards against: heartbeats wait behind all changes of a storm that the link is slower than. */
static void test_storm_on_slow_link(void)
{
	struct fake_group *g = settled_group(2);
	struct watch *w = watch_new(g, 0);

	for (u32 i = 0; i < CHANGES; i++) {
		propose(g, CHANGE_BYTES);
		run_watched(w, CHANGE_INTERVAL_US);
	}
	run_watched(w, 2 * (REPLICAS - 1) * CHANGES * CHANGE_BYTES * US_PER_S / BYTES_PER_S);
	finish(w);
}

static u32 any_follower(struct fake_group *g)
{
	return fake_group_leader(g) == 1 ? 2 : 1;
}

/* Guards against: entries that a member missed are sent again with each heartbeat until it has
 * them. */
static void test_missed_set_on_slow_link(void)
{
	struct fake_group *g = settled_group(3);
	u32 late = any_follower(g);
	struct watch *w;

	fake_group_crash(g, late);
	propose(g, SET_BYTES);
	g_assert_true(fake_group_settle(g, SETTLE_US));
	fake_group_start(g, late);
	g->bytes = 0;
	w = watch_new(g, late);
	run_watched(w, 3 * SET_BYTES * US_PER_S / BYTES_PER_S);
	/* The rest is for heartbeats and headers. */
	g_assert_cmpuint(g->bytes, <, SET_BYTES + SET_BYTES / 4);
	finish(w);
}

/* Guards against: heartbeats to all members wait behind the snapshot for one of them. */
static void test_snapshot_on_slow_link(void)
{
	struct fake_group *g = settled_group(4);
	u32 late = any_follower(g);
	struct watch *w;

	g->bytes_per_s /= 4;
	g->state_pad_bytes = SET_BYTES;
	fake_group_crash(g, late);
	for (u32 i = 0; i < 3; i++)
		g_assert_true(fake_group_propose(g, fake_group_leader(g)));
	g_assert_true(fake_group_settle(g, SETTLE_US));
	for (u32 id = 1; id <= g->n; id++) {
		fake_raft(g, id)->retained_entries_max = 0;
		if (id != late)
			raft_compact(fake_raft(g, id));
	}
	fake_group_start(g, late);
	g->bytes = 0;
	w = watch_new(g, late);
	run_watched(w, 4 * 2 * SET_BYTES * US_PER_S / BYTES_PER_S);
	g_assert_cmpuint(g->bytes, <, SET_BYTES + SET_BYTES / 4);
	finish(w);
}

#define SCHEDULES 300
#define SCHEDULE_STEPS 150
#define ENTRY_BYTES_MAX (200 * 1000)

static void random_action(struct fake_group *g)
{
	u32 id = 1 + rng_below(&g->rng, g->n);
	u32 leader = fake_group_leader(g);
	u32 dice = rng_below(&g->rng, 100);

	if (dice < 40 && leader)
		propose(g, 1 + rng_below(&g->rng, ENTRY_BYTES_MAX));
	else if (dice < 60 && leader)
		fake_group_propose(g, leader);
	else if (dice < 65)
		fake_group_crash(g, id);
	else if (dice < 75)
		fake_group_start(g, id);
	else if (dice < 78)
		fake_group_isolate(g, id);
	else if (dice < 85)
		fake_group_heal(g);
	else if (dice < 90 && g->r[id].is_up && fake_raft(g, id)->role != RAFT_FORMING)
		raft_compact(fake_raft(g, id));
}

/* Safety and progress with losses of links while long messages are on their way. */
static void test_random_schedules(void)
{
	for (u64 seed = 1; seed <= SCHEDULES; seed++) {
		struct fake_group *g = settled_group(seed);

		g->bytes_per_s = BYTES_PER_S << rng_below(&g->rng, 4);
		for (u32 i = 0; i < SCHEDULE_STEPS && !g->violation; i++) {
			fake_group_run(g, 1000 + rng_below(&g->rng, 60000));
			random_action(g);
		}
		fake_group_heal(g);
		for (u32 id = 1; id <= g->n; id++)
			fake_group_start(g, id);
		g_assert_true(fake_group_settle(g, 4 * SETTLE_US));
		g_assert_cmpstr(g->violation, ==, NULL);
		fake_group_free(g);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/raft-link/whole-set-on-slow-link", test_whole_set_on_slow_link);
	g_test_add_func("/raft-link/storm-on-slow-link", test_storm_on_slow_link);
	g_test_add_func("/raft-link/missed-set-on-slow-link", test_missed_set_on_slow_link);
	g_test_add_func("/raft-link/snapshot-on-slow-link", test_snapshot_on_slow_link);
	g_test_add_func("/raft-link/random-schedules", test_random_schedules);
	return g_test_run();
}
