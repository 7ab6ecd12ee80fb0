/* What a node spends in one turn of its loop, and in all, on a set of many routes. */
#include "node/config.h"
#include "test/fakes/fake_config.h"
#include "test/fakes/fake_node.h"

#include <stdio.h>
#include <unistd.h>

#define ROUTES 6000
#define CHANGED_ROUTE 77
#define NO_ROUTE UINT32_MAX
#define TIMEOUT_MS 1000
/* Times that a change is measured; the shortest counts, as the machine may be busy. */
#define ROUNDS 5
/*
 * Calls may be held up for this long: 50 ms at a node that has 0.1 of a core. Parsing JSON took
 * 60 ns a byte, so that a turn may decode 80 KB at most; a fifth of it leaves room for slow
 * machines.
 */
#define TURN_MAX_US (5 * US_PER_MS)
#define TURN_MAX_BYTES (16 * 1024)
/* A change costs what has changed: a route of less than 200 bytes, and the frames around it. */
#define CHANGE_MAX_BYTES 1024

/*
 * The loop of a control process may be held up for 25 ms, a sixth of the interval of heartbeats, at
 * 0.6 of a core.
 */
#define CONTROL_TURN_MAX_US (15 * US_PER_MS)

static struct fake_config control;
static struct fake_node node;
static struct fake_config_cost cost;

static void do_give(void *arg)
{
	(void)arg;
	fake_config_give(&control, node.node->watch, &cost);
}

static void do_reset(void *arg)
{
	(void)arg;
	config_reset();
}

static void start(void)
{
	fake_node_start(&node);
	loop_call(node.node->loop, do_reset, NULL);
	fake_config_init(&control);
}

/* Declares the set of VERSION and gives it to the node; sets COST. */
static void change(u32 version, u32 changed, u32 timeout_ms)
{
	g_autofree char *text = fake_config_text(version, ROUTES, changed, timeout_ms);

	fake_config_replace(&control, version, text);
	loop_call(node.node->loop, do_give, NULL);
}

/* Guards against: a node answers no calls while it takes in a set of many routes. */
static void test_large_set_holds_up_calls(void)
{
	u64 longest_us = UINT64_MAX;

	start();
	for (u32 i = 0; i < ROUNDS; i++) {
		change(i + 1, NO_ROUTE, TIMEOUT_MS + i * 10);
		g_assert_cmpuint(cost.longest_plain_bytes, <=, TURN_MAX_BYTES);
		g_assert_cmpuint(cost.most_decoded_bytes, <=, TURN_MAX_BYTES);
		longest_us = MIN(longest_us, cost.longest_us);
	}
	g_assert_cmpuint(longest_us, <=, TURN_MAX_US);
}

static void do_give_stream(void *arg)
{
	(void)arg;
	fake_config_give_stream(&control, node.node->watch, &cost);
}

/* Guards against: a change of one route costs each node as much as all routes. */
static void test_one_route_costs_whole_set(void)
{
	u64 busy_us = UINT64_MAX;

	start();
	change(1, NO_ROUTE, TIMEOUT_MS);
	for (u32 i = 0; i < ROUNDS; i++) {
		change(i + 2, i % 2 ? NO_ROUTE : CHANGED_ROUTE, TIMEOUT_MS);
		g_assert_cmpuint(cost.plain_bytes, <=, CHANGE_MAX_BYTES);
		g_assert_cmpuint(cost.decoded_bytes, <=, CHANGE_MAX_BYTES);
		busy_us = MIN(busy_us, cost.busy_us);
	}
	g_assert_cmpuint(busy_us, <=, TURN_MAX_US);
}

/* Guards against: a change of one route holds up control for as long as all routes. */
static void test_one_route_holds_up_control(void)
{
	u64 made_us = UINT64_MAX;

	start();
	change(1, NO_ROUTE, TIMEOUT_MS);
	for (u32 i = 0; i < ROUNDS; i++) {
		change(i + 2, i % 2 ? NO_ROUTE : CHANGED_ROUTE, TIMEOUT_MS);
		made_us = MIN(made_us, cost.made_us);
	}
	g_assert_cmpuint(made_us, <=, CONTROL_TURN_MAX_US);
}

/* Returns a set whose paths are numbered, as those of generated routes are. */
static char *numbered_text(u32 version, u32 timeout_ms)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(text, "{\"version\":%u,\"routes\":[", version);
	for (u32 i = 0; i < ROUTES; i++)
		g_string_append_printf(text,
				       "%s{\"name\":\"route-%u\",\"host\":\"shop.example\","
				       "\"prefix\":\"/item/%u/\","
				       "\"service\":\"a\",\"repeat\":\"always\",\"attempts\":3,"
				       "\"timeout_ms\":%u,\"target_ms\":250}",
				       i ? "," : "", i, i, timeout_ms);
	g_string_append(text, "],\"services\":[{\"name\":\"a\"}]}");
	return g_string_free(text, FALSE);
}

/*
 * Guards against: a part of a set whose routes compress well holds many of them, and a node answers
 * no calls while it handles them.
 */
static void test_part_of_numbered_routes_holds_up_calls(void)
{
	u64 longest_us = UINT64_MAX;

	start();
	for (u32 i = 0; i < ROUNDS; i++) {
		g_autofree char *text = numbered_text(i + 1, TIMEOUT_MS + i * 10);

		fake_config_replace(&control, i + 1, text);
		loop_call(node.node->loop, do_give_stream, NULL);
		g_test_message("%zu bytes on the link, most decoded of one part %u, longest %u us",
			       cost.link_bytes, (u32)cost.most_decoded_bytes, (u32)cost.longest_us);
		longest_us = MIN(longest_us, cost.longest_us);
	}
	g_assert_cmpuint(longest_us, <=, TURN_MAX_US);
	g_assert_cmpuint(cost.most_decoded_bytes, <=, TURN_MAX_BYTES);
}

static void put_part(struct watch *w, const struct config_stream *stream)
{
	struct config_part p = { .request = w->request,
				 .stream = stream->id,
				 .total = stream->bytes->len,
				 .bytes = stream->bytes->data,
				 .len = stream->bytes->len };
	struct frame_in in;
	FRAME_AUTO(f, CTL_CONFIG_PART);

	config_part_put(&f, &p);
	frame_in_init(&in, f.buf.data + FRAME_HEADER_BYTES, frame_end(&f) - FRAME_HEADER_BYTES);
	g_assert_cmpuint(frame_get_u64(&in), ==, CTL_CONFIG_PART);
	g_assert_cmpint(watch_on_config_part(&w->main, &in), ==, 0);
}

static void do_move_while_part_waits(void *arg)
{
	struct watch *w = node.node->watch;
	struct config_stream *stream =
		config_stream_new(0, 1, config_frames_get(&control.frames, &control.store, 0));
	u64 request = w->request;

	(void)arg;
	g_assert_cmpuint(stream->bytes->len, <=, CONFIG_PART_BYTES);
	put_part(w, stream);
	g_assert_true(config_receive_has_work(&w->receive));
	g_assert_cmpuint(config_revision(), ==, 0);
	watch_resume_config(w, 0);
	g_assert_true(w->is_request_due);
	g_assert_cmpuint(w->request, >, request);
	config_stream_unref(stream);
}

static void do_check_request(void *arg)
{
	struct watch *w = node.node->watch;

	(void)arg;
	g_assert_false(w->is_request_due);
	g_assert_false(w->work_timer.is_set);
	g_assert_cmpuint(watch_unfinished_bytes(w), ==, 0);
}

/*
 * Guards against: a node that moves to another control process while a part waits asks for bytes
 * that it has, or the part is never handled.
 */
static void test_moves_while_part_waits(void)
{
	g_autofree char *text = numbered_text(1, TIMEOUT_MS);
	u64 start_us;

	start();
	fake_config_replace(&control, 1, text);
	loop_call(node.node->loop, do_move_while_part_waits, NULL);
	start_us = loop_clock_us();
	while (config_revision() < 1 && loop_clock_us() - start_us < 5 * US_PER_S)
		g_usleep(US_PER_MS);
	g_assert_cmpuint(config_revision(), ==, 1);
	loop_call(node.node->loop, do_check_request, NULL);
}

#define REVISIONS 8

/*
 * Guards against: a control process that has just started, or got several changes at once, makes
 * the whole set anew, in one turn, for each revision that its nodes have.
 */
static void test_unknown_revisions_hold_up_control(void)
{
	struct config_streams streams = { 0 };
	u64 busy_us;

	fake_config_init(&control);
	for (u32 i = 0; i <= REVISIONS; i++) {
		g_autofree char *text = fake_config_text(i + 1, ROUTES, i, TIMEOUT_MS);

		fake_config_replace(&control, i + 1, text);
	}
	config_frames_observe(&streams.frames, &control.store);
	config_stream_unref(config_streams_get(&streams, &control.store, 0));
	busy_us = fake_config_cpu_us();
	for (u32 from = 1; from <= REVISIONS; from++)
		config_stream_unref(config_streams_get(&streams, &control.store, from));
	busy_us = fake_config_cpu_us() - busy_us;
	g_test_message("%u us for %u revisions", (u32)busy_us, REVISIONS);
	config_streams_clear(&streams);
	fake_config_clear(&control);
	g_assert_cmpuint(busy_us, <=, CONTROL_TURN_MAX_US);
}

int main(int argc, char **argv)
{
	int ret;

	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/config-size/large-set-holds-up-calls", test_large_set_holds_up_calls);
	g_test_add_func("/config-size/part-of-numbered-routes-holds-up-calls",
			test_part_of_numbered_routes_holds_up_calls);
	g_test_add_func("/config-size/moves-while-part-waits", test_moves_while_part_waits);
	g_test_add_func("/config-size/unknown-revisions-hold-up-control",
			test_unknown_revisions_hold_up_control);
	g_test_add_func("/config-size/one-route-costs-whole-set", test_one_route_costs_whole_set);
	g_test_add_func("/config-size/one-route-holds-up-control", test_one_route_holds_up_control);
	ret = g_test_run();
	fflush(stdout);
	_exit(ret); /* the node still runs */
}
