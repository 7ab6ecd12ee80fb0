/* What one node is told of the directory. */
#include "control/view.h"
#include "wire/subset.h"

#include <string.h>

#define NOW_US (100 * US_PER_S)
#define NODE "10.9.9.9:8081"
#define MANY 100

static struct directory d;
static struct view v;

static void register_node(u32 i, const char *service, enum dir_state state)
{
	static u64 last_version;
	u64 version = ++last_version;
	char name[32];
	struct dir_entry e = { .node = name,
			       .zone = (char *)(i % 5 ? "brest" : "rennes"),
			       .region = (char *)"breizh",
			       .incarnation = 1,
			       .version = version,
			       .state = state,
			       .service = (char *)service,
			       .slots = 12 };

	g_snprintf(name, sizeof(name), "10.0.%u.%u:8081", i / 256, i % 256);
	g_assert_cmpint(directory_register(&d, &e, NOW_US), ==, 1);
}

static void setup(u32 upstreams)
{
	directory_init(&d, 1, 1);
	view_init(&v, NODE, "rennes", "breizh");
	for (u32 i = 0; i < upstreams; i++)
		register_node(i, "sightings", DIR_UP);
}

static void teardown(void)
{
	view_clear(&v);
	directory_clear(&d);
}

static void want(const char *first, const char *second)
{
	GPtrArray *services = g_ptr_array_new_with_free_func(g_free);

	g_ptr_array_add(services, g_strdup(first));
	if (second)
		g_ptr_array_add(services, g_strdup(second));
	view_want(&v, services);
}

/* What is told now; the number of services that are answered with it in *ANSWERED. */
static GArray *changes(guint *answered)
{
	g_autoptr(GPtrArray) names = g_ptr_array_new();
	GArray *out = view_changes(&v, &d, names);

	if (answered)
		*answered = names->len;
	return out;
}

static const struct view_change *change(const GArray *a, guint i)
{
	return &g_array_index(a, struct view_change, i);
}

static u32 number_of(const struct view_change *c)
{
	u32 high;
	u32 low;

	g_assert_cmpint(sscanf(c->item->entry.node, "10.0.%u.%u:", &high, &low), ==, 2);
	return high * 256 + low;
}

static void test_subset_only(void)
{
	g_autoptr(GArray) told = NULL;
	g_autoptr(GArray) more = NULL;
	guint answered;
	u32 own = 0;

	setup(MANY);
	register_node(MANY, "atlas", DIR_UP);
	want("sightings", NULL);
	g_assert_true(view_is_due(&v, &d));
	told = changes(&answered);
	g_assert_cmpuint(answered, ==, 1);
	g_assert_cmpuint(told->len, ==, SUBSET_MAX);
	for (guint i = 0; i < told->len; i++) {
		g_assert_false(change(told, i)->is_dropped);
		g_assert_cmpstr(change(told, i)->item->entry.service, ==, "sightings");
		own += !strcmp(change(told, i)->item->entry.zone, "rennes");
	}
	g_assert_cmpuint(own, ==, SUBSET_OWN_ZONE);
	g_assert_false(view_is_due(&v, &d));
	more = changes(&answered);
	g_assert_cmpuint(more->len + answered, ==, 0);
	teardown();
}

/* An unknown service is answered too, so that its callers don't wait. */
static void test_unknown_service(void)
{
	g_autoptr(GArray) told = NULL;
	g_autoptr(GArray) later = NULL;
	guint answered;

	setup(0);
	want("sightings", "atlas");
	g_assert_true(view_is_due(&v, &d));
	told = changes(&answered);
	g_assert_cmpuint(told->len, ==, 0);
	g_assert_cmpuint(answered, ==, 2);
	register_node(1, "atlas", DIR_UP);
	later = changes(&answered);
	g_assert_cmpuint(later->len, ==, 1);
	g_assert_cmpuint(answered, ==, 0);
	teardown();
}

/* One of the subset drains: the node hears of it, and of the one that takes its place. */
static void test_replacement(void)
{
	g_autoptr(GArray) told = NULL;
	g_autoptr(GArray) next = NULL;
	g_autoptr(GArray) gone = NULL;
	u32 number;

	setup(MANY);
	want("sightings", NULL);
	told = changes(NULL);
	number = number_of(change(told, 4));
	register_node(number, "sightings", DIR_DRAINING);
	next = changes(NULL);
	g_assert_cmpuint(next->len, ==, 2);
	g_assert_cmpuint(number_of(change(next, 0)), ==, number);
	g_assert_cmpint(directory_state(change(next, 0)->item), ==, DIR_DRAINING);
	g_assert_cmpint(directory_state(change(next, 1)->item), ==, DIR_UP);
	/* It is heard of until it is gone, and then no more. */
	register_node(number, "sightings", DIR_GONE);
	gone = changes(NULL);
	g_assert_cmpuint(gone->len, ==, 1);
	g_assert_cmpint(directory_state(change(gone, 0)->item), ==, DIR_GONE);
	teardown();
}

/* The directory of a large system changes all the time, far from most nodes. */
static void test_changes_elsewhere(void)
{
	g_autoptr(GArray) told = NULL;
	g_autoptr(GHashTable) mine = g_hash_table_new(NULL, NULL);
	u32 heard = 0;

	setup(MANY);
	want("sightings", NULL);
	told = changes(NULL);
	for (guint i = 0; i < told->len; i++)
		g_hash_table_add(mine, GUINT_TO_POINTER(number_of(change(told, i)) + 1));
	for (u32 i = 0; i < MANY; i++) {
		g_autoptr(GArray) now = NULL;

		if (g_hash_table_contains(mine, GUINT_TO_POINTER(i + 1)))
			continue;
		register_node(i, "sightings", DIR_DRAINING);
		now = changes(NULL);
		heard += now->len;
	}
	g_assert_cmpuint(heard, ==, 0);
	teardown();
}

/* Another upstream takes the place of one that is still up. */
static void test_lost_place(void)
{
	g_autoptr(GArray) told = NULL;
	u32 dropped = 0;
	u32 added = 0;

	setup(SUBSET_MAX);
	want("sightings", NULL);
	told = changes(NULL);
	g_assert_cmpuint(told->len, ==, SUBSET_MAX);
	for (u32 i = SUBSET_MAX; i < MANY; i++) {
		g_autoptr(GArray) now = NULL;

		register_node(i, "sightings", DIR_UP);
		now = changes(NULL);
		for (guint k = 0; k < now->len; k++) {
			dropped += change(now, k)->is_dropped;
			added += !change(now, k)->is_dropped;
		}
	}
	g_assert_cmpuint(dropped, ==, added);
	g_assert_cmpuint(added, >, 0);
	g_assert_cmpuint(g_hash_table_size(v.told), ==, SUBSET_MAX);
	teardown();
}

/* A node whose upstream is of another service now is dropped where nobody wants that. */
static void test_other_service(void)
{
	g_autoptr(GArray) told = NULL;
	g_autoptr(GArray) next = NULL;
	g_autoptr(GArray) wanted = NULL;

	setup(3);
	want("sightings", NULL);
	told = changes(NULL);
	register_node(1, "atlas", DIR_UP);
	next = changes(NULL);
	g_assert_cmpuint(next->len, ==, 1);
	g_assert_true(change(next, 0)->is_dropped);
	want("sightings", "atlas");
	wanted = changes(NULL);
	g_assert_cmpuint(wanted->len, ==, 1);
	g_assert_false(change(wanted, 0)->is_dropped);
	teardown();
}

static void test_number_of_nodes(void)
{
	setup(MANY);
	g_assert_cmpuint(d.nodes, ==, MANY);
	v.nodes = MANY;
	for (u32 i = 0; i < 5; i++)
		register_node(i, "sightings", DIR_GONE);
	g_assert_cmpuint(d.nodes, ==, MANY - 5);
	g_assert_false(view_is_count_stale(&v, &d));
	for (u32 i = 5; i < 20; i++)
		register_node(i, "sightings", DIR_GONE);
	g_assert_true(view_is_count_stale(&v, &d));
	teardown();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/view/subset-only", test_subset_only);
	g_test_add_func("/view/unknown-service", test_unknown_service);
	g_test_add_func("/view/replacement", test_replacement);
	g_test_add_func("/view/changes-elsewhere", test_changes_elsewhere);
	g_test_add_func("/view/lost-place", test_lost_place);
	g_test_add_func("/view/other-service", test_other_service);
	g_test_add_func("/view/number-of-nodes", test_number_of_nodes);
	return g_test_run();
}
