/* A configuration on its way from control processes to a node, over a narrow link. */
#include "lib/ctr.h"
#include "lib/set.h"
#include "node/config.h"
#include "test/fakes/fake_config.h"
#include "test/fakes/fake_node.h"
#include "test/fakes/lone_control.h"
#include "test/fakes/paced_relay.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define CONTROLS 2
#define ROUTES 6000
/* Words of random digits in a path, so that the set takes longer than a node waits for a report. */
#define PREFIX_WORDS 11
#define LINK_BYTES_PER_S (2000000 / 8)
/* For connecting, trying a control process, a read through the leader, and applying the set. */
#define ALLOWANCE_US (3 * US_PER_S)
#define WAIT_US (20 * US_PER_S)

/* A real control process, the only member of its group; all of them get the same changes. */
struct control_process {
	struct lone_control lone;
	u16 relay_port;
};

static struct control_process controls[CONTROLS];
static struct paced_link narrow;

static void start_control(struct control_process *p)
{
	lone_control_start(&p->lone, "elsewhere");
	p->relay_port = paced_relay_start(&narrow, p->lone.settings.control.peer_port);
}

static void setup(void)
{
	narrow = (struct paced_link){ .bytes_per_s = LINK_BYTES_PER_S };
	for (u32 i = 0; i < CONTROLS; i++)
		start_control(&controls[i]);
}

/* Ends the case of NODE. The relays go on, without connections. */
static void teardown(struct fake_node *node)
{
	fake_node_stop(node);
	for (u32 i = 0; i < CONTROLS; i++)
		lone_control_stop(&controls[i].lone);
}

/*
 * Returns a set that compresses badly, as paths of real routes do. The first CHANGED routes differ
 * from those of a set in which none is changed.
 */
static char *changed_text(u64 version, u32 routes, u64 changed)
{
	GString *text = g_string_new(NULL);
	g_autoptr(GRand) rand = g_rand_new_with_seed(7);

	g_string_append_printf(text, "{\"version\":%u,\"routes\":[", (u32)version);
	for (u32 i = 0; i < routes; i++) {
		g_string_append_printf(text, "%s{\"name\":\"r%u\",\"host\":\"h%08x.example\",",
				       i ? "," : "", i, g_rand_int(rand));
		g_string_append(text, "\"prefix\":\"/");
		for (u32 k = 0; k < PREFIX_WORDS; k++)
			g_string_append_printf(text, "%08x", g_rand_int(rand));
		g_string_append_printf(text,
				       "/\",\"repeat\":\"always\",\"timeout_ms\":%u,"
				       "\"target_ms\":250,\"attempts\":2,\"service\":\"a\"}",
				       i < changed ? 1001u : 1000u);
	}
	g_string_append(text, "],\"services\":[{\"name\":\"a\"}],\"limits\":{}}");
	return g_string_free(text, FALSE);
}

/* Each version changes one more route than the version before. */
static char *set_text(u64 version, u32 routes)
{
	return changed_text(version, routes, version);
}

/* Declares the set of VERSION at all control processes. */
static void declare(u64 version, const char *text)
{
	for (u32 i = 0; i < CONTROLS; i++)
		g_assert_cmpint(
			lone_control_declare(&controls[i].lone, version, version - 1, text) / 100,
			==, 2);
}

/* Returns the bytes of a text in deflate form, as fast as control makes it. */
static u64 compressed_bytes(const char *text)
{
	struct fake_config c;
	struct config_stream *stream;
	u64 bytes;

	fake_config_init(&c);
	fake_config_replace(&c, 1, text);
	stream = config_stream_new(0, 1, config_frames_get(&c.frames, &c.store, 0));
	bytes = stream->bytes->len;
	config_stream_unref(stream);
	fake_config_clear(&c);
	return bytes;
}

/* Starts a node without a configuration that reaches all control processes over the narrow link. */
static void start_node(struct fake_node *node)
{
	fake_node_prepare(node);
	if (g_getenv("TEST_LOG"))
		log_open(NULL, LOG_INFO, LOG_TEXT);
	g_array_set_size(node->settings.node.control, 0);
	for (u32 i = 0; i < CONTROLS; i++) {
		struct endpoint at = { .host = "127.0.0.1", .port = controls[i].relay_port };

		g_array_append_val(node->settings.node.control, at);
	}
	config_reset();
	node->node = node_new(&node->settings);
	g_assert_cmpint(node->node->module.ops->start(&node->node->module, NULL), ==, 0);
}

static u64 wait_revision(u64 revision, u64 start_us, u64 limit_us)
{
	while (config_revision() < revision && loop_clock_us() - start_us < limit_us)
		g_usleep(US_PER_MS);
	return config_revision();
}

/*
 * Guards against: a set that takes a node's link longer than a control process may be without a
 * freshness report never arrives, as the node goes from one control process to the next.
 */
static void test_large_set_on_narrow_link(void)
{
	g_autofree char *text = set_text(1, ROUTES);
	u64 bytes = compressed_bytes(text);
	struct fake_node node;
	u64 start;

	setup();
	/* The link is filled for longer than a node waits for a report. */
	g_assert_cmpuint(bytes * US_PER_S / LINK_BYTES_PER_S, >, US_PER_S);
	declare(1, text);
	start = loop_clock_us();
	start_node(&node);
	g_assert_cmpuint(
		wait_revision(1, start, bytes * US_PER_S / LINK_BYTES_PER_S + ALLOWANCE_US), ==, 1);
	g_test_message("%u bytes compressed, %u relayed, in force after %u ms", (u32)bytes,
		       (u32)g_atomic_int_get(&narrow.bytes),
		       (u32)((loop_clock_us() - start) / US_PER_MS));
	teardown(&node);
}

/* Closes the links from nodes to a control process. */
static void drop_nodes(void *arg)
{
	struct control *c = arg;

	while (c->nodes->len) {
		struct link **first = g_ptr_array_index(c->nodes, 0);
		struct link *k = *first;

		nodes_on_link_down(c, k);
		link_close(k);
	}
}

/*
 * Guards against: a node that loses its control process during a transfer begins again with the
 * next one. The link breaks three times, each time after a quarter of the set.
 */
static void test_begins_again_at_next_process(void)
{
	g_autofree char *text = set_text(1, ROUTES);
	u64 bytes = compressed_bytes(text);
	struct fake_node node;
	u64 start;

	setup();
	declare(1, text);
	start = loop_clock_us();
	start_node(&node);
	for (u32 i = 1; i <= 3; i++) {
		while ((u64)g_atomic_int_get(&narrow.bytes) < i * bytes / 4 &&
		       loop_clock_us() - start < WAIT_US)
			g_usleep(US_PER_MS);
		g_assert_cmpuint(config_revision(), ==, 0);
		for (u32 j = 0; j < CONTROLS; j++)
			loop_call(controls[j].lone.control->loop, drop_nodes,
				  controls[j].lone.control);
	}
	g_assert_cmpuint(wait_revision(1, start, WAIT_US), ==, 1);
	g_test_message("%u bytes compressed, %u relayed, in force after %u ms", (u32)bytes,
		       (u32)g_atomic_int_get(&narrow.bytes),
		       (u32)((loop_clock_us() - start) / US_PER_MS));
	/* At most a window is lost with each link; the rest is for greetings and reports. */
	g_assert_cmpuint((u64)g_atomic_int_get(&narrow.bytes), <,
			 bytes + 3 * CONFIG_WINDOW_BYTES + bytes / 10);
	teardown(&node);
}

#define CHANGES 8
#define CHANGE_INTERVAL_US (500 * US_PER_MS)

/*
 * Guards against: a node whose transfer takes longer than the time between two changes gets none of
 * them, or only the first one.
 */
static void test_changes_during_transfer(void)
{
	g_autofree char *first = set_text(1, ROUTES);
	u64 transfer_us = compressed_bytes(first) * US_PER_S / LINK_BYTES_PER_S;
	struct fake_node node;
	u64 start;
	u64 last;

	setup();
	declare(1, first);
	start = loop_clock_us();
	start_node(&node);
	for (u64 version = 2; version <= CHANGES; version++) {
		g_autofree char *text = set_text(version, ROUTES);

		g_usleep(CHANGE_INTERVAL_US);
		declare(version, text);
		if (loop_clock_us() - start > transfer_us + ALLOWANCE_US)
			g_assert_cmpuint(config_revision(), >, 0);
	}
	last = loop_clock_us();
	g_assert_cmpuint(wait_revision(CHANGES, last, transfer_us + ALLOWANCE_US), ==, CHANGES);
	g_test_message("the last change in force after %u ms",
		       (u32)((loop_clock_us() - last) / US_PER_MS));
	teardown(&node);
}

#define STORM_CHANGES 12
#define STORM_ROUTES 200
#define STORM_INTERVAL_US (300 * US_PER_MS)
/* A change has to be in force this long after it was acknowledged, rule CONFIG. */
#define IN_FORCE_US (2 * US_PER_S)

/* When each version was acknowledged, and when it came into force; 0 if not yet. */
struct storm {
	u64 acknowledged_us[STORM_CHANGES + 1];
	u64 in_force_us[STORM_CHANGES + 1];
	gint is_ended;
};

static gpointer note_in_force(gpointer arg)
{
	struct storm *s = arg;

	while (!g_atomic_int_get(&s->is_ended)) {
		for (u64 v = MIN(config_revision(), STORM_CHANGES); v && !s->in_force_us[v]; v--)
			s->in_force_us[v] = loop_clock_us();
		g_usleep(US_PER_MS);
	}
	return NULL;
}

/*
 * Guards against: a node that starts in a storm of changes stays behind, as it always finishes the
 * transfer of a superseded revision first. Each change is of STORM_ROUTES further routes.
 */
static void test_start_during_storm(void)
{
	g_autofree char *first = set_text(1, ROUTES);
	u64 transfer_us = compressed_bytes(first) * US_PER_S / LINK_BYTES_PER_S;
	struct storm s = { 0 };
	struct fake_node node;
	GThread *thread;
	u64 start;

	setup();
	declare(1, first);
	start = loop_clock_us();
	start_node(&node);
	thread = g_thread_new("in force", note_in_force, &s);
	for (u64 version = 2; version <= STORM_CHANGES; version++) {
		g_autofree char *text = changed_text(version, ROUTES, version * STORM_ROUTES);
		u64 due_us = start + (version - 1) * STORM_INTERVAL_US;
		u64 now = loop_clock_us();

		if (due_us > now)
			g_usleep(due_us - now);
		declare(version, text);
		s.acknowledged_us[version] = loop_clock_us();
	}
	g_assert_cmpuint(wait_revision(STORM_CHANGES, loop_clock_us(), WAIT_US), ==, STORM_CHANGES);
	g_usleep(10 * US_PER_MS);
	g_atomic_int_set(&s.is_ended, 1);
	g_thread_join(thread);
	for (u64 version = 2; version <= STORM_CHANGES; version++) {
		/* What the node lacks at its start takes its link this long. */
		u64 from_us = MAX(s.acknowledged_us[version], start + transfer_us);

		g_test_message(
			"version %u in force %d ms after it was acknowledged", (u32)version,
			(int)(((i64)s.in_force_us[version] - (i64)s.acknowledged_us[version]) /
			      US_PER_MS));
		g_assert_cmpuint(s.in_force_us[version], <=, from_us + IN_FORCE_US);
	}
	teardown(&node);
}

#define SERVICES 600
#define UPSTREAMS 12
/* At least, of an upstream in a view. */
#define ENTRY_BYTES 60

/* Registers upstreams of many services, as their nodes would. */
static void register_upstreams(void *arg)
{
	struct control *c = arg;

	for (u32 i = 0; i < SERVICES * UPSTREAMS; i++) {
		g_autofree char *name = g_strdup_printf("10.1.%u.%u:8081", i / 250, i % 250);
		g_autofree char *service = g_strdup_printf("service-%u", i / UPSTREAMS);
		struct dir_entry e = { .node = name,
				       .zone = (char *)"elsewhere",
				       .region = (char *)"r",
				       .incarnation = loop_wall_clock_us(),
				       .version = 1,
				       .state = DIR_UP,
				       .service = service,
				       .slots = 12,
				       .connections = 200 };

		g_assert_cmpint(directory_register(&c->directory, &e, loop_clock_us()), ==, 1);
	}
}

struct requests {
	struct node *node;
	u32 pending; /* services whose upstreams have not come yet */
};

static void request_services(void *arg)
{
	struct requests *r = arg;

	r->pending = 0;
	for (u32 i = 0; i < SERVICES; i++) {
		g_autofree char *service = g_strdup_printf("service-%u", i);

		r->pending += !watch_is_current(r->node) || watch_request_service(r->node, service);
	}
}

/*
 * Guards against: the upstreams of many services, sent at once, hold back the freshness reports of
 * a node behind a narrow link, which goes from one control process to the next.
 */
static void test_many_services_on_narrow_link(void)
{
	u64 transfer_us = SERVICES * UPSTREAMS * ENTRY_BYTES * US_PER_S / LINK_BYTES_PER_S;
	struct requests r = { .pending = SERVICES };
	struct fake_node node;
	u64 start;
	u64 moved;

	setup();
	for (u32 i = 0; i < CONTROLS; i++)
		loop_call(controls[i].lone.control->loop, register_upstreams,
			  controls[i].lone.control);
	declare(1, "{\"version\":1,\"routes\":[],\"services\":[],\"limits\":{}}");
	start = loop_clock_us();
	start_node(&node);
	g_assert_cmpuint(wait_revision(1, start, WAIT_US), ==, 1);
	r.node = node.node;
	moved = ctr_get(CTR_CONTROL_MOVED);
	start = loop_clock_us();
	while (r.pending && loop_clock_us() - start < 2 * transfer_us + ALLOWANCE_US) {
		g_usleep(50 * US_PER_MS);
		loop_call(node.node->loop, request_services, &r);
	}
	g_test_message("%u services pending, %u bytes relayed, %u moves after %u ms", r.pending,
		       (u32)g_atomic_int_get(&narrow.bytes),
		       (u32)(ctr_get(CTR_CONTROL_MOVED) - moved),
		       (u32)((loop_clock_us() - start) / US_PER_MS));
	g_assert_cmpuint(r.pending, ==, 0);
	g_assert_cmpuint(ctr_get(CTR_CONTROL_MOVED), ==, moved);
	teardown(&node);
}

/* Of a queue of 25 KB of calls at 2 Mbit/s, or of a node that waits for its processor time. */
#define DELAY_US (100 * US_PER_MS)
/* A configuration has to be in force after this time. */
#define PROPAGATION_US (2 * US_PER_S)

/*
 * Guards against: a set whose bytes need half of the time for a change is late, as control waits
 * for the acknowledgement of each window over a link with some delay.
 */
static void test_large_set_on_link_with_delay(void)
{
	g_autofree char *text = set_text(2, ROUTES);
	u64 bytes = compressed_bytes(text);
	struct fake_node node;
	u64 start;

	setup();
	g_assert_cmpuint(bytes * US_PER_S / LINK_BYTES_PER_S + 4 * DELAY_US, <, PROPAGATION_US);
	declare(1, "{\"version\":1,\"routes\":[],\"services\":[],\"limits\":{}}");
	narrow.delay_us = DELAY_US;
	start_node(&node);
	g_assert_cmpuint(wait_revision(1, loop_clock_us(), WAIT_US), ==, 1);
	declare(2, text);
	start = loop_clock_us();
	g_assert_cmpuint(wait_revision(2, start, WAIT_US), ==, 2);
	g_test_message("%u bytes in force after %u ms", (u32)bytes,
		       (u32)((loop_clock_us() - start) / US_PER_MS));
	g_assert_cmpuint(loop_clock_us() - start, <, PROPAGATION_US);
	teardown(&node);
}

struct one_request {
	struct node *node;
	u32 service;
};

static void request_one(void *arg)
{
	const struct one_request *r = arg;
	g_autofree char *service = g_strdup_printf("service-%u", r->service);

	watch_request_service(r->node, service);
}

/*
 * Guards against: with each service that is called for the first time a node sends the names of all
 * of them, and its renewals and acknowledgements wait behind them for longer than it may be silent.
 */
static void test_subscriptions_hold_back_renewals(void)
{
	struct one_request r = { 0 };
	struct fake_node node;
	u64 before;
	u64 bytes;

	setup();
	declare(1, "{\"version\":1,\"routes\":[],\"services\":[],\"limits\":{}}");
	start_node(&node);
	g_assert_cmpuint(wait_revision(1, loop_clock_us(), WAIT_US), ==, 1);
	r.node = node.node;
	before = (u64)g_atomic_int_get(&narrow.bytes_back);
	for (r.service = 0; r.service < SERVICES; r.service++)
		loop_call(node.node->loop, request_one, &r);
	g_usleep(US_PER_S);
	bytes = (u64)g_atomic_int_get(&narrow.bytes_back) - before;
	g_test_message("%u bytes for %u services, %u ms at this rate", (u32)bytes, SERVICES,
		       (u32)(bytes * 1000 / LINK_BYTES_PER_S));
	g_assert_cmpuint(bytes * US_PER_S / LINK_BYTES_PER_S, <, DIRECTORY_TTL_US);
	teardown(&node);
}

#define NAME_BYTES 300
#define SUBSCRIBED_US (2 * US_PER_S)

/*
 * Guards against: a set is accepted with a name of a service that is longer than control takes in a
 * subscription; control closes the link of each node that subscribes, again and again.
 */
static void test_long_name_closes_links(void)
{
	g_autofree char *name = g_strnfill(NAME_BYTES, 'a');
	g_autofree char *text = g_strdup_printf(
		"{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\",\"prefix\":\"/"
		"\","
		"\"repeat\":\"always\",\"timeout_ms\":1000,\"attempts\":2,\"service\":\"%s\"}],"
		"\"services\":[{\"name\":\"%s\"}]}",
		name, name);
	struct fake_node node;
	u64 refused;
	u64 down;

	setup();
	declare(1, text);
	start_node(&node);
	g_assert_cmpuint(wait_revision(1, loop_clock_us(), WAIT_US), ==, 1);
	refused = ctr_get(CTR_FRAME_BAD);
	down = ctr_get(CTR_LINK_DOWN);
	g_usleep(SUBSCRIBED_US);
	g_test_message("%u links down in %u ms", (u32)(ctr_get(CTR_LINK_DOWN) - down),
		       (u32)(SUBSCRIBED_US / US_PER_MS));
	g_assert_cmpuint(ctr_get(CTR_FRAME_BAD), ==, refused);
	/* The node tries each other control process once, to see whether it is nearer. */
	g_assert_cmpuint(ctr_get(CTR_LINK_DOWN) - down, <=, CONTROLS - 1);
	teardown(&node);
}

int main(int argc, char **argv)
{
	int ret;

	g_test_init(&argc, &argv, NULL);
	log_open(NULL, LOG_ERROR, LOG_TEXT);
	g_test_add_func("/config-transfer/large-set-on-narrow-link", test_large_set_on_narrow_link);
	g_test_add_func("/config-transfer/begins-again-at-next-process",
			test_begins_again_at_next_process);
	g_test_add_func("/config-transfer/changes-during-transfer", test_changes_during_transfer);
	g_test_add_func("/config-transfer/start-during-storm", test_start_during_storm);
	g_test_add_func("/config-transfer/many-services-on-narrow-link",
			test_many_services_on_narrow_link);
	g_test_add_func("/config-transfer/large-set-on-link-with-delay",
			test_large_set_on_link_with_delay);
	g_test_add_func("/config-transfer/subscriptions-hold-back-renewals",
			test_subscriptions_hold_back_renewals);
	g_test_add_func("/config-transfer/long-name-closes-links", test_long_name_closes_links);
	ret = g_test_run();
	fflush(stdout);
	_exit(ret); /* the threads of the relays still run */
}
