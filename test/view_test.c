/* Tests which parts of the directory one node receives. */
#include "control/view.h"
#include "wire/subset.h"

#include <string.h>
#include <time.h>

#define NOW_US (100 * US_PER_S)
#define NODE "10.9.9.9:8081"
#define MANY 100
#define LARGE_SERVICES 1400
#define ROUNDS 12
/* For a node that calls all services; with all upstreams looked at, it took 8 ms. */
#define ONE_CHANGE_MAX_US (1 * US_PER_MS)

static struct directory d;
static struct view v;

static void register_in(u32 i, const char *service, enum dir_state state, const char *zone)
{
	static u64 last_version;
	u64 version = ++last_version;
	char name[32];
	struct dir_entry e = { .node = name,
			       .zone = (char *)zone,
			       .region = (char *)"breizh",
			       .incarnation = 1,
			       .version = version,
			       .state = state,
			       .service = (char *)service,
			       .slots = 12 };

	g_snprintf(name, sizeof(name), "10.0.%u.%u:8081", i / 256, i % 256);
	g_assert_cmpint(directory_register(&d, &e, NOW_US), ==, 1);
}

static void register_node(u32 i, const char *service, enum dir_state state)
{
	register_in(i, service, state, i % 5 ? "brest" : "rennes");
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

static void subscribe(const char *first, const char *second)
{
	GPtrArray *services = g_ptr_array_new_with_free_func(g_free);

	g_ptr_array_add(services, g_strdup(first));
	if (second)
		g_ptr_array_add(services, g_strdup(second));
	view_subscribe(&v, services);
}

/* Returns the next changes to send; *ANSWERED gets the number of services that they answer. */
static GArray *collect(guint *answered)
{
	g_autoptr(GPtrArray) names = g_ptr_array_new();
	GArray *out = view_collect_changes(&v, &d, names);

	if (answered)
		*answered = names->len;
	return out;
}

static const struct view_change *change_at(const GArray *a, guint i)
{
	return &g_array_index(a, struct view_change, i);
}

static u32 node_number(const struct view_change *c)
{
	u32 high;
	u32 low;

	g_assert_cmpint(sscanf(c->item->entry.node, "10.0.%u.%u:", &high, &low), ==, 2);
	return high * 256 + low;
}

static void test_subset_only(void)
{
	g_autoptr(GArray) sent = NULL;
	g_autoptr(GArray) repeated = NULL;
	guint answered;
	u32 own_zone = 0;

	setup(MANY);
	register_node(MANY, "atlas", DIR_UP);
	subscribe("sightings", NULL);
	g_assert_true(view_needs_update(&v, &d));
	sent = collect(&answered);
	g_assert_cmpuint(answered, ==, 1);
	g_assert_cmpuint(sent->len, ==, SUBSET_MAX);
	for (guint i = 0; i < sent->len; i++) {
		g_assert_false(change_at(sent, i)->is_dropped);
		g_assert_cmpstr(change_at(sent, i)->item->entry.service, ==, "sightings");
		own_zone += !strcmp(change_at(sent, i)->item->entry.zone, "rennes");
	}
	g_assert_cmpuint(own_zone, ==, SUBSET_OWN_ZONE);
	g_assert_false(view_needs_update(&v, &d));
	repeated = collect(&answered);
	g_assert_cmpuint(repeated->len + answered, ==, 0);
	teardown();
}

/* A subscription to an unknown service is answered too, so that its callers don't wait. */
static void test_unknown_service(void)
{
	g_autoptr(GArray) sent = NULL;
	g_autoptr(GArray) later = NULL;
	guint answered;

	setup(0);
	subscribe("sightings", "atlas");
	g_assert_true(view_needs_update(&v, &d));
	sent = collect(&answered);
	g_assert_cmpuint(sent->len, ==, 0);
	g_assert_cmpuint(answered, ==, 2);
	register_node(1, "atlas", DIR_UP);
	later = collect(&answered);
	g_assert_cmpuint(later->len, ==, 1);
	g_assert_cmpuint(answered, ==, 0);
	teardown();
}

/* When a member of the subset drains, the node receives that change and the replacement. */
static void test_replacement(void)
{
	g_autoptr(GArray) sent = NULL;
	g_autoptr(GArray) next = NULL;
	g_autoptr(GArray) gone = NULL;
	u32 drained;

	setup(MANY);
	subscribe("sightings", NULL);
	sent = collect(NULL);
	drained = node_number(change_at(sent, 4));
	register_node(drained, "sightings", DIR_DRAINING);
	next = collect(NULL);
	g_assert_cmpuint(next->len, ==, 2);
	g_assert_cmpuint(node_number(change_at(next, 0)), ==, drained);
	g_assert_cmpint(directory_state(change_at(next, 0)->item), ==, DIR_DRAINING);
	g_assert_cmpint(directory_state(change_at(next, 1)->item), ==, DIR_UP);
	/* Its changes are sent until it is gone. */
	register_node(drained, "sightings", DIR_GONE);
	gone = collect(NULL);
	g_assert_cmpuint(gone->len, ==, 1);
	g_assert_cmpint(directory_state(change_at(gone, 0)->item), ==, DIR_GONE);
	teardown();
}

/* Changes outside a node's subset are not sent; a large directory changes all the time. */
static void test_changes_outside_subset(void)
{
	g_autoptr(GArray) sent = NULL;
	g_autoptr(GHashTable) subset = g_hash_table_new(NULL, NULL);
	u32 received = 0;

	setup(MANY);
	subscribe("sightings", NULL);
	sent = collect(NULL);
	for (guint i = 0; i < sent->len; i++)
		g_hash_table_add(subset, GUINT_TO_POINTER(node_number(change_at(sent, i)) + 1));
	for (u32 i = 0; i < MANY; i++) {
		g_autoptr(GArray) now = NULL;

		if (g_hash_table_contains(subset, GUINT_TO_POINTER(i + 1)))
			continue;
		register_node(i, "sightings", DIR_DRAINING);
		now = collect(NULL);
		received += now->len;
	}
	g_assert_cmpuint(received, ==, 0);
	teardown();
}

/* A new upstream replaces a subset member that is still up. */
static void test_replaced_while_up(void)
{
	g_autoptr(GArray) sent = NULL;
	u32 dropped = 0;
	u32 added = 0;

	setup(SUBSET_MAX);
	subscribe("sightings", NULL);
	sent = collect(NULL);
	g_assert_cmpuint(sent->len, ==, SUBSET_MAX);
	for (u32 i = SUBSET_MAX; i < MANY; i++) {
		g_autoptr(GArray) now = NULL;

		register_node(i, "sightings", DIR_UP);
		now = collect(NULL);
		for (guint k = 0; k < now->len; k++) {
			dropped += change_at(now, k)->is_dropped;
			added += !change_at(now, k)->is_dropped;
		}
	}
	g_assert_cmpuint(dropped, ==, added);
	g_assert_cmpuint(added, >, 0);
	g_assert_cmpuint(g_hash_table_size(v.sent), ==, SUBSET_MAX);
	teardown();
}

/* A node whose upstream changes to a service without subscription is dropped. */
static void test_other_service(void)
{
	g_autoptr(GArray) sent = NULL;
	g_autoptr(GArray) next = NULL;
	g_autoptr(GArray) subscribed = NULL;

	setup(3);
	subscribe("sightings", NULL);
	sent = collect(NULL);
	register_node(1, "atlas", DIR_UP);
	next = collect(NULL);
	g_assert_cmpuint(next->len, ==, 1);
	g_assert_true(change_at(next, 0)->is_dropped);
	subscribe("sightings", "atlas");
	subscribed = collect(NULL);
	g_assert_cmpuint(subscribed->len, ==, 1);
	g_assert_false(change_at(subscribed, 0)->is_dropped);
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

#define MANY_SERVICES 100
#define MANY_UPSTREAMS 12

/*
 * Guards against: the upstreams of many services are sent at once, in front of all other messages.
 * A service is answered only when all of its upstreams are sent.
 */
static void test_many_services_at_once(void)
{
	GPtrArray *services = g_ptr_array_new_with_free_func(g_free);
	guint answered_total = 0;
	guint total = 0;

	setup(0);
	for (u32 i = 0; i < MANY_SERVICES * MANY_UPSTREAMS; i++) {
		g_autofree char *service = g_strdup_printf("service-%u", i / MANY_UPSTREAMS);

		register_node(i, service, DIR_UP);
	}
	for (u32 i = 0; i < MANY_SERVICES; i++)
		g_ptr_array_add(services, g_strdup_printf("service-%u", i));
	view_subscribe(&v, services);
	while (view_needs_update(&v, &d)) {
		guint answered;
		g_autoptr(GArray) out = collect(&answered);

		total += out->len;
		answered_total += answered;
		g_assert_cmpuint(out->len, <, VIEW_CHANGES_MAX + 2 * SUBSET_MAX);
		g_assert_cmpuint(answered_total * MANY_UPSTREAMS, ==, total);
	}
	g_assert_cmpuint(answered_total, ==, MANY_SERVICES);
	teardown();
}

static u64 cpu_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return (u64)t.tv_sec * US_PER_S + (u64)t.tv_nsec / 1000;
}

/* Collects until the node has everything. Returns the number of changes. */
static u32 collect_all(void)
{
	u32 n = 0;

	while (view_needs_update(&v, &d)) {
		g_autoptr(GArray) sent = collect(NULL);

		n += sent->len;
	}
	return n;
}

/*
 * Guards against: each change of the directory costs work for all upstreams that a node has; a
 * control process does this for a thousand nodes in one turn of its loop.
 */
static void test_one_change_costs_all_upstreams(void)
{
	GPtrArray *services = g_ptr_array_new_with_free_func(g_free);
	u64 shortest_us = UINT64_MAX;

	setup(0);
	for (u32 i = 0; i < LARGE_SERVICES; i++) {
		g_autofree char *name = g_strdup_printf("service-%u", i);

		for (u32 k = 0; k < SUBSET_MAX; k++)
			register_node(i * SUBSET_MAX + k, name, DIR_UP);
		g_ptr_array_add(services, g_steal_pointer(&name));
	}
	view_subscribe(&v, services);
	g_assert_cmpuint(collect_all(), ==, LARGE_SERVICES * SUBSET_MAX);
	for (u32 i = 0; i < ROUNDS; i++) {
		u64 began_us;
		u64 took_us;

		/* In turn an upstream of the node, and one of a service that it does not call. */
		if (i % 2)
			register_node(i, "service-0", DIR_DRAINING);
		else
			register_node(65000, "other", i % 4 ? DIR_UP : DIR_DRAINING);
		began_us = cpu_us();
		g_assert_cmpuint(collect_all(), <=, 2);
		took_us = cpu_us() - began_us;
		shortest_us = MIN(shortest_us, took_us);
	}
	g_assert_cmpuint(shortest_us, <=, ONE_CHANGE_MAX_US);
}

#define LARGE 1105
#define LARGE_CHANGES 500
/* A change may cost a view a few looks at each member of the subset. */
#define LOOKS_MAX (4 * SUBSET_MAX)

/* Returns how many upstreams the view looked at to collect its changes. */
static u64 count_looks(void)
{
	u64 before = v.looks;
	g_autoptr(GArray) out = collect(NULL);

	return v.looks - before;
}

/*
 * Guards against: one upstream that joins or leaves makes the view of every node pick its subset
 * from all upstreams of the service anew, in one turn of the loop.
 */
static void test_change_costs_whole_service(void)
{
	g_autoptr(GRand) rand = g_rand_new_with_seed(1);
	u64 looks = 0;

	setup(LARGE);
	subscribe("sightings", NULL);
	count_looks();
	for (u32 n = 0; n < LARGE_CHANGES; n++) {
		u32 i = (u32)g_rand_int_range(rand, 0, LARGE);
		u64 joined;

		register_node(i, "sightings", DIR_GONE);
		looks += count_looks();
		register_node(i, "sightings", DIR_UP);
		joined = count_looks();
		g_assert_cmpuint(joined, <=, LOOKS_MAX);
		looks += joined;
	}
	g_assert_cmpuint(looks, <=, 2 * LARGE_CHANGES * LOOKS_MAX);
	teardown();
}

/* Guards against: a change of any upstream makes a view look at all that it has sent. */
static void test_change_costs_all_sent(void)
{
	GPtrArray *services = g_ptr_array_new_with_free_func(g_free);

	setup(0);
	for (u32 i = 0; i < MANY_SERVICES * MANY_UPSTREAMS; i++) {
		g_autofree char *service = g_strdup_printf("service-%u", i / MANY_UPSTREAMS);

		register_node(i, service, DIR_UP);
	}
	for (u32 i = 0; i < MANY_SERVICES; i++)
		g_ptr_array_add(services, g_strdup_printf("service-%u", i));
	view_subscribe(&v, services);
	while (view_needs_update(&v, &d))
		count_looks();
	register_node(0, "service-0", DIR_DRAINING);
	g_assert_cmpuint(count_looks(), <=, LOOKS_MAX);
	register_node(0, "elsewhere", DIR_UP);
	g_assert_cmpuint(count_looks(), <=, LOOKS_MAX);
	teardown();
}

/* What a node has after all changes sent to it: upstreams that are up -> their service. */
static GHashTable *received;

static void receive(void)
{
	while (view_needs_update(&v, &d)) {
		g_autoptr(GArray) out = collect(NULL);

		for (guint i = 0; i < out->len; i++) {
			const struct view_change *c = change_at(out, i);
			const struct dir_entry *e = &c->item->entry;

			if (c->is_dropped || directory_state(c->item) != DIR_UP)
				g_hash_table_remove(received, e->node);
			else
				g_hash_table_replace(received, g_strdup(e->node),
						     g_strdup(e->service));
		}
	}
}

/* Checks that the node has exactly the subset that picking from all upstreams gives. */
static u32 check_same_as_picked(const char *service)
{
	const struct directory_service *s = directory_service(&d, service);
	g_autoptr(GArray) items = g_array_new(FALSE, FALSE, sizeof(struct subset_item));

	for (guint i = 0; s && i < s->up->len; i++) {
		const struct directory_item *item = g_ptr_array_index(s->up, i);
		struct subset_item one = { .node = item->entry.node,
					   .is_own_zone = !strcmp(item->entry.zone, "rennes") };

		g_array_append_val(items, one);
	}
	subset_pick(NODE, items);
	for (guint i = 0; i < items->len; i++) {
		const char *node = g_array_index(items, struct subset_item, i).node;

		g_assert_cmpstr(g_hash_table_lookup(received, node), ==, service);
	}
	return items->len;
}

#define STEPS 10000
#define PHASE_STEPS 1000
#define BATCH_MAX 60

struct phase {
	int upstreams;
	int own_zone_percent;
	int up_percent;
};

static void change_one(GRand *rand, const struct phase *p)
{
	static const char *const services[] = { "sightings", "atlas", "other" };
	u32 i = (u32)g_rand_int_range(rand, 0, p->upstreams);
	bool is_own = g_rand_int_range(rand, 0, 100) < p->own_zone_percent;
	bool is_up = g_rand_int_range(rand, 0, 100) < p->up_percent;
	enum dir_state down = g_rand_boolean(rand) ? DIR_DRAINING : DIR_GONE;

	register_in(i, services[g_rand_int_range(rand, 0, 3)], is_up ? DIR_UP : down,
		    is_own ? "rennes" : "brest");
}

static void change_subscriptions(GRand *rand)
{
	if (g_rand_boolean(rand))
		subscribe("other", NULL);
	subscribe("sightings", g_rand_boolean(rand) ? "atlas" : NULL);
}

static void check_received(void)
{
	bool is_atlas = g_hash_table_contains(v.subscriptions, "atlas");
	u32 n = check_same_as_picked("sightings");

	if (is_atlas)
		n += check_same_as_picked("atlas");
	g_assert_cmpuint(g_hash_table_size(received), ==, n);
}

/* After any changes a node has the subset that picking from all upstreams gives, and no more. */
static void test_same_as_picked(void)
{
	static const struct phase phases[] = {
		{ 600, 20, 70 }, { 600, 2, 20 }, { 40, 50, 60 }, { 600, 98, 70 }, { 600, 50, 5 }
	};
	g_autoptr(GRand) rand = g_rand_new_with_seed(1);
	u32 batch = 1;

	setup(0);
	received = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	subscribe("sightings", "atlas");
	for (u32 i = 0; i < STEPS; i++) {
		change_one(rand, &phases[i / PHASE_STEPS % G_N_ELEMENTS(phases)]);
		if (!g_rand_int_range(rand, 0, 100))
			change_subscriptions(rand);
		if (--batch)
			continue;
		receive();
		check_received();
		batch = g_rand_boolean(rand) ? 1 : (u32)g_rand_int_range(rand, 1, BATCH_MAX);
	}
	g_hash_table_unref(received);
	teardown();
}

/*
 * Guards against: an upstream whose zone changes while it is up stays where it was in the subset.
 */
static void test_zone_changes_while_up(void)
{
	setup(0);
	received = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	subscribe("sightings", NULL);
	for (u32 i = 0; i < MANY; i++)
		register_in(i, "sightings", DIR_UP, "brest");
	receive();
	for (u32 i = 0; i < MANY; i++) {
		register_in(i, "sightings", DIR_UP, "rennes");
		receive();
		g_assert_cmpuint(check_same_as_picked("sightings"), ==, SUBSET_MAX);
	}
	g_hash_table_unref(received);
	teardown();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/view/subset-only", test_subset_only);
	g_test_add_func("/view/unknown-service", test_unknown_service);
	g_test_add_func("/view/replacement", test_replacement);
	g_test_add_func("/view/changes-outside-subset", test_changes_outside_subset);
	g_test_add_func("/view/replaced-while-up", test_replaced_while_up);
	g_test_add_func("/view/other-service", test_other_service);
	g_test_add_func("/view/number-of-nodes", test_number_of_nodes);
	g_test_add_func("/view/many-services-at-once", test_many_services_at_once);
	g_test_add_func("/view/one-change-costs-all-upstreams",
			test_one_change_costs_all_upstreams);
	g_test_add_func("/view/change-costs-whole-service", test_change_costs_whole_service);
	g_test_add_func("/view/change-costs-all-sent", test_change_costs_all_sent);
	g_test_add_func("/view/same-as-picked", test_same_as_picked);
	g_test_add_func("/view/zone-changes-while-up", test_zone_changes_while_up);
	return g_test_run();
}
