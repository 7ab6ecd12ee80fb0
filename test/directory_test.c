/* Directories of three control processes whose links the tests cut. */
#include "lib/err.h"
#include "test/fakes/dirgroup.h"

static void test_register_again(void)
{
	struct dirgroup *g = dirgroup_new();
	u64 seq;

	g_assert_cmpint(dirgroup_register(g, 0, "n:1", 7, 1, DIR_UP), ==, 1);
	seq = g->p[0].d.seq;
	for (u32 i = 0; i < 10; i++)
		g_assert_cmpint(dirgroup_register(g, 0, "n:1", 7, 1, DIR_UP), ==, 0);
	g_assert_cmpuint(g->p[0].d.seq, ==, seq);
	dirgroup_exchange(g);
	seq = g->p[1].d.seq;
	g->p[0].sent[1] = 0;
	dirgroup_exchange(g);
	g_assert_cmpuint(g->p[1].d.seq, ==, seq);
	dirgroup_assert_state(g, "n:1", DIR_UP);
	dirgroup_free(g);
}

static void test_old_incarnation(void)
{
	struct dirgroup *g = dirgroup_new();

	dirgroup_register(g, 0, "n:1", 7, 90, DIR_UP);
	g->now_us += US_PER_S;
	dirgroup_register(g, 1, "n:1", 8, 1, DIR_DRAINING);
	g_assert_cmpint(dirgroup_register(g, 1, "n:1", 7, 91, DIR_UP), ==, ERR_CONFLICT);
	g_assert_cmpint(directory_renew(&g->p[1].d, "n:1", 7, g->now_us), ==, ERR_NOTFOUND);
	dirgroup_exchange(g);
	dirgroup_assert_state(g, "n:1", DIR_DRAINING);
	/* The second process owns the entry now, so the first one must not renew it. */
	g_assert_cmpint(directory_renew(&g->p[0].d, "n:1", 7, g->now_us), ==, ERR_NOTFOUND);
	g_assert_cmpint(directory_renew(&g->p[0].d, "n:1", 8, g->now_us), ==, ERR_NOTFOUND);
	dirgroup_free(g);
}

static void test_expiry(void)
{
	struct dirgroup *g = dirgroup_new();

	dirgroup_register(g, 0, "n:1", 7, 1, DIR_UP);
	dirgroup_register(g, 0, "n:2", 7, 1, DIR_UP);
	dirgroup_exchange(g);
	for (u32 s = 0; s < 20; s++) {
		dirgroup_advance_second(g);
		g_assert_cmpint(directory_renew(&g->p[0].d, "n:1", 7, g->now_us), ==, 0);
	}
	dirgroup_assert_state(g, "n:1", DIR_UP);
	dirgroup_assert_state(g, "n:2", DIR_GONE);
	g_assert_cmpint(directory_renew(&g->p[0].d, "n:2", 7, g->now_us), ==, ERR_NOTFOUND);
	/* Registering the same entry again restores it: the node was suspended, not restarted. */
	g_assert_cmpint(dirgroup_register(g, 0, "n:2", 7, 1, DIR_UP), ==, 1);
	dirgroup_exchange(g);
	dirgroup_assert_state(g, "n:2", DIR_UP);
	dirgroup_free(g);
}

static void renew_for(struct dirgroup *g, u32 i, const char *node, u64 incarnation, u32 seconds)
{
	for (u32 s = 0; s < seconds; s++) {
		dirgroup_advance_second(g);
		g_assert_cmpint(directory_renew(&g->p[i].d, node, incarnation, g->now_us), ==, 0);
	}
}

static void test_owner_change(void)
{
	struct dirgroup *g = dirgroup_new();

	dirgroup_register(g, 0, "n:1", 7, 1, DIR_UP);
	dirgroup_exchange(g);
	dirgroup_register(g, 1, "n:1", 7, 2, DIR_UP);
	renew_for(g, 1, "n:1", 7, 20);
	dirgroup_assert_state(g, "n:1", DIR_UP);
	for (u32 i = 0; i < DIRGROUP_PROCESSES; i++)
		g_assert_cmpuint(directory_find(&g->p[i].d, "n:1")->owner, ==, 2);
	/* Renewals at the new owner stop; the old owner is alive and must not keep the entry. */
	for (u32 s = 0; s < 8; s++)
		dirgroup_advance_second(g);
	dirgroup_assert_state(g, "n:1", DIR_GONE);
	dirgroup_free(g);
}

/* The new owner and the third process cannot reach each other. */
static void test_owner_change_behind_a_cut(void)
{
	struct dirgroup *g = dirgroup_new();

	dirgroup_register(g, 0, "n:1", 7, 1, DIR_UP);
	dirgroup_exchange(g);
	dirgroup_set_cut(g, 1, 2, true);
	dirgroup_register(g, 1, "n:1", 7, 2, DIR_UP);
	renew_for(g, 1, "n:1", 7, 20);
	dirgroup_assert_state(g, "n:1", DIR_UP);
	for (u32 s = 0; s < 8; s++)
		dirgroup_advance_second(g);
	dirgroup_assert_state(g, "n:1", DIR_GONE);
	dirgroup_free(g);
}

static void test_partition(void)
{
	struct dirgroup *g = dirgroup_new();

	dirgroup_register(g, 0, "n:1", 7, 1, DIR_UP);
	dirgroup_register(g, 2, "n:3", 7, 1, DIR_UP);
	dirgroup_exchange(g);
	dirgroup_set_cut(g, 0, 2, true);
	dirgroup_set_cut(g, 1, 2, true);
	for (u32 s = 0; s < 20; s++) {
		dirgroup_advance_second(g);
		directory_renew(&g->p[0].d, "n:1", 7, g->now_us);
		directory_renew(&g->p[2].d, "n:3", 7, g->now_us);
	}
	g_assert_cmpint(dirgroup_state(g, 2, "n:1"), ==, DIR_GONE);
	g_assert_cmpint(dirgroup_state(g, 0, "n:3"), ==, DIR_GONE);
	g_assert_cmpint(dirgroup_state(g, 1, "n:1"), ==, DIR_UP);
	/* Registrations continue in the partition that is cut off. */
	dirgroup_register(g, 2, "n:4", 7, 1, DIR_UP);
	g_assert_cmpint(dirgroup_state(g, 2, "n:4"), ==, DIR_UP);
	dirgroup_set_cut(g, 0, 2, false);
	dirgroup_set_cut(g, 1, 2, false);
	dirgroup_exchange(g);
	dirgroup_advance_second(g);
	dirgroup_assert_state(g, "n:1", DIR_UP);
	dirgroup_assert_state(g, "n:3", DIR_UP);
	dirgroup_assert_state(g, "n:4", DIR_UP);
	dirgroup_free(g);
}

/* The owner is suspended and its nodes move; once it resumes, it must withdraw nothing. */
static void test_suspended_process(void)
{
	struct dirgroup *g = dirgroup_new();

	dirgroup_register(g, 0, "n:1", 7, 1, DIR_UP);
	dirgroup_register(g, 0, "n:2", 7, 1, DIR_UP);
	dirgroup_register(g, 1, "n:5", 7, 1, DIR_UP);
	dirgroup_exchange(g);
	dirgroup_advance_second(g);
	directory_renew(&g->p[0].d, "n:2", 7, g->now_us);
	g->p[0].is_suspended = true;
	dirgroup_register(g, 1, "n:1", 7, 2, DIR_UP);
	for (u32 s = 0; s < 30; s++) {
		dirgroup_advance_second(g);
		directory_renew(&g->p[1].d, "n:1", 7, g->now_us);
		directory_renew(&g->p[1].d, "n:5", 7, g->now_us);
	}
	g_assert_cmpint(dirgroup_state(g, 1, "n:2"), ==, DIR_GONE);
	g->p[0].is_suspended = false;
	/* Its timer fires before it reads the messages queued in its sockets. */
	g_assert_cmpuint(directory_expire(&g->p[0].d, g->now_us), ==, 0);
	g_assert_cmpint(dirgroup_state(g, 0, "n:5"), ==, DIR_UP);
	g->p[1].sent[0] = 0;
	g->p[2].sent[0] = 0;
	g->p[0].sent[1] = 0;
	g->p[0].sent[2] = 0;
	dirgroup_exchange(g);
	dirgroup_assert_state(g, "n:1", DIR_UP);
	dirgroup_assert_state(g, "n:5", DIR_UP);
	g_assert_cmpuint(directory_find(&g->p[0].d, "n:1")->owner, ==, 2);
	dirgroup_free(g);
}

/* The owner restarts with an empty directory, and one of its nodes failed with it. */
static void test_restarted_owner(void)
{
	struct dirgroup *g = dirgroup_new();

	dirgroup_register(g, 0, "n:1", 7, 1, DIR_UP);
	dirgroup_register(g, 0, "n:2", 7, 1, DIR_UP);
	dirgroup_exchange(g);
	directory_clear(&g->p[0].d);
	dirgroup_start_process(g, 0, 200);
	dirgroup_register(g, 0, "n:2", 7, 2, DIR_UP);
	renew_for(g, 0, "n:2", 7, 10);
	dirgroup_assert_state(g, "n:2", DIR_UP);
	dirgroup_assert_state(g, "n:1", DIR_GONE);
	dirgroup_free(g);
}

/* The owner restarts while its clock is behind: its nodes are gone for the others. */
static void test_owner_restarted_with_an_earlier_clock(void)
{
	struct dirgroup *g = dirgroup_new();

	dirgroup_register(g, 0, "n:1", 7, 1, DIR_UP);
	dirgroup_exchange(g);
	directory_clear(&g->p[0].d);
	dirgroup_start_process(g, 0, 50);
	dirgroup_register(g, 0, "n:1", 7, 2, DIR_UP);
	renew_for(g, 0, "n:1", 7, 10);
	dirgroup_assert_state(g, "n:1", DIR_UP);
	dirgroup_free(g);
}

/* A late heartbeat of the run before does not count for as long as the new one is heard. */
static void test_late_heartbeat_of_an_older_run(void)
{
	struct dirgroup *g = dirgroup_new();
	struct directory *d = &g->p[0].d;
	u64 later_us = g->now_us + DIRECTORY_TTL_US - 1;

	g_assert_true(directory_record_heartbeat(d, 2, 100, 9, g->now_us));
	g_assert_false(directory_record_heartbeat(d, 2, 50, 1, g->now_us));
	g_assert_false(directory_record_heartbeat(d, 2, 50, 2, later_us));
	g_assert_true(directory_record_heartbeat(d, 2, 100, 10, later_us));
	g_assert_false(directory_record_heartbeat(d, 2, 50, 3, g->now_us + DIRECTORY_TTL_US));
	g_assert_true(directory_record_heartbeat(d, 2, 50, 4, later_us + DIRECTORY_TTL_US));
	dirgroup_free(g);
}

/* A process that was cut off for longer than DIRECTORY_TOMBSTONE_TTL_US sends a stale copy. */
static void test_pruned_tombstone(void)
{
	struct dirgroup *g = dirgroup_new();

	dirgroup_register(g, 0, "n:1", 7, 1, DIR_UP);
	dirgroup_exchange(g);
	dirgroup_set_cut(g, 0, 2, true);
	dirgroup_set_cut(g, 1, 2, true);
	for (u32 s = 0; s < 10; s++)
		dirgroup_advance_second(g);
	for (u32 i = 0; i < 2; i++) {
		g->p[i].d.last_expire_us = 0;
		directory_expire(&g->p[i].d,
				 g->now_us + DIRECTORY_TOMBSTONE_TTL_US + 60 * US_PER_S);
		g->p[i].d.last_expire_us = 0;
		g_assert_null(directory_find(&g->p[i].d, "n:1"));
	}
	dirgroup_set_cut(g, 0, 2, false);
	dirgroup_set_cut(g, 1, 2, false);
	for (u32 s = 0; s < 3; s++)
		dirgroup_advance_second(g);
	dirgroup_assert_state(g, "n:1", DIR_GONE);
	dirgroup_free(g);
}

/* A zone with 700 nodes is cut off from the others and reconnected, three times. */
static void test_zone_cut_off(void)
{
	struct dirgroup *g = dirgroup_new();
	char name[32];

	for (u32 round = 0; round < 3; round++) {
		for (u32 n = 0; n < 700; n++) {
			g_snprintf(name, sizeof(name), "z:%u", n);
			dirgroup_register(g, 2, name, 7 + round, 1, DIR_UP);
		}
		dirgroup_register(g, 0, "n:1", 7 + round, 1, DIR_UP);
		dirgroup_exchange(g);
		g_assert_cmpint(dirgroup_state(g, 0, "z:699"), ==, DIR_UP);
		dirgroup_set_cut(g, 0, 2, true);
		dirgroup_set_cut(g, 1, 2, true);
		renew_for(g, 0, "n:1", 7 + round, 10);
		for (u32 n = 0; n < 700; n++) {
			g_snprintf(name, sizeof(name), "z:%u", n);
			g_assert_cmpint(dirgroup_state(g, 0, name), ==, DIR_GONE);
			g_assert_cmpint(dirgroup_state(g, 1, name), ==, DIR_GONE);
		}
		g_assert_cmpint(dirgroup_state(g, 1, "n:1"), ==, DIR_UP);
		dirgroup_set_cut(g, 0, 2, false);
		dirgroup_set_cut(g, 1, 2, false);
	}
	dirgroup_free(g);
}

static void test_changes_since(void)
{
	struct dirgroup *g = dirgroup_new();
	struct directory *d = &g->p[0].d;
	GPtrArray *items;

	dirgroup_register(g, 0, "n:1", 7, 1, DIR_UP);
	dirgroup_register(g, 0, "n:2", 7, 1, DIR_UP);
	dirgroup_register(g, 0, "n:3", 7, 1, DIR_UP);
	dirgroup_register(g, 0, "n:1", 7, 2, DIR_DRAINING);
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
	dirgroup_free(g);
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
	return g_test_run();
}
