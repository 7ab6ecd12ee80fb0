/* The window of a transfer over links of some rate and delay; the clock is the test's. */
#include "control/config_window.h"

#include <glib.h>

#define NARROW_BYTES_PER_S (2000000 / 8)
#define WIDE_BYTES_PER_S (20000000 / 8)
#define DELAY_US (100 * US_PER_MS)
/* Of words of freshness behind the parts; a node leaves after 700 ms without one. */
#define QUEUE_MAX_US (200 * US_PER_MS)
#define STREAM_BYTES (364 * 1024)
/* A configuration has to be in force after this time. */
#define PROPAGATION_US (2 * US_PER_S)

/* A transfer over a link that carries one part after another. */
struct path {
	u64 bytes_per_s;
	u64 delay_us;
	u64 now_us;
	u64 free_at_us; /* when the last part that was sent has left the queue */
	u64 longest_queue_us;
	struct config_window window;
	u32 sent;
	u32 acknowledged;
	GQueue due; /* times of acknowledgements */
};

static void path_init(struct path *p, u64 bytes_per_s, u64 delay_us)
{
	*p = (struct path){ .bytes_per_s = bytes_per_s, .delay_us = delay_us, .now_us = US_PER_S };
	config_window_init(&p->window, 0);
}

static void send_parts(struct path *p)
{
	while (config_window_has_room(&p->window, p->sent - p->acknowledged)) {
		p->free_at_us = MAX(p->free_at_us, p->now_us) +
				CONFIG_PART_BYTES * US_PER_S / p->bytes_per_s;
		p->longest_queue_us = MAX(p->longest_queue_us, p->free_at_us - p->now_us);
		p->sent += CONFIG_PART_BYTES;
		config_window_sent(&p->window, p->sent, p->now_us);
		g_queue_push_tail(&p->due, GSIZE_TO_POINTER(p->free_at_us + p->delay_us));
	}
}

/* Transfers until the node has BYTES more; returns the time that took. */
static u64 transfer(struct path *p, u32 bytes)
{
	u64 start_us = p->now_us;
	u32 until = p->acknowledged + bytes;

	while (p->acknowledged < until) {
		send_parts(p);
		p->now_us = GPOINTER_TO_SIZE(g_queue_pop_head(&p->due));
		p->acknowledged += CONFIG_PART_BYTES;
		config_window_acknowledged(&p->window, p->acknowledged, p->now_us);
		g_assert_cmpuint(p->window.bytes, >=, CONFIG_WINDOW_BYTES);
		g_assert_cmpuint(p->window.bytes, <=, CONFIG_WINDOW_MAX_BYTES);
	}
	return p->now_us - start_us;
}

/* Guards against: the bytes of a window are sent once for each delay of the link. */
static void test_delay_for_each_window(void)
{
	struct path p;

	path_init(&p, NARROW_BYTES_PER_S, DELAY_US);
	g_assert_cmpuint(transfer(&p, STREAM_BYTES), <, PROPAGATION_US);
	g_assert_cmpuint(p.window.bytes, >, CONFIG_WINDOW_BYTES);
	g_assert_cmpuint(p.longest_queue_us, <, QUEUE_MAX_US);
	g_queue_clear(&p.due);
}

/* Guards against: the window grows over a link without delay, where it is only a queue. */
static void test_grows_into_a_queue(void)
{
	struct path p;

	path_init(&p, NARROW_BYTES_PER_S, 0);
	transfer(&p, STREAM_BYTES);
	g_assert_cmpuint(p.window.bytes, ==, CONFIG_WINDOW_BYTES);
	g_queue_clear(&p.due);
}

/* Guards against: words of freshness wait behind a window that has grown, whatever the delay. */
static void test_words_wait_behind_the_window(void)
{
	for (u64 delay_us = 0; delay_us <= US_PER_S; delay_us += 10 * US_PER_MS) {
		struct path p;

		path_init(&p, NARROW_BYTES_PER_S, delay_us);
		transfer(&p, 8 * STREAM_BYTES);
		g_assert_cmpuint(p.longest_queue_us, <, QUEUE_MAX_US);
		g_queue_clear(&p.due);
	}
}

/* Guards against: the window of a wide link grows without a bound. */
static void test_grows_without_bound(void)
{
	struct path p;

	path_init(&p, WIDE_BYTES_PER_S, DELAY_US);
	transfer(&p, 8 * STREAM_BYTES);
	g_assert_cmpuint(p.window.bytes, ==, CONFIG_WINDOW_MAX_BYTES);
	g_queue_clear(&p.due);
}

/* Guards against: a window that has grown stays when the link becomes narrow. */
static void test_stays_when_the_link_narrows(void)
{
	struct path p;

	path_init(&p, WIDE_BYTES_PER_S, DELAY_US);
	transfer(&p, 8 * STREAM_BYTES);
	g_assert_cmpuint(p.window.bytes, >, 4 * CONFIG_WINDOW_BYTES);
	p.bytes_per_s = NARROW_BYTES_PER_S;
	transfer(&p, 2 * CONFIG_WINDOW_MAX_BYTES);
	p.longest_queue_us = 0;
	transfer(&p, 8 * STREAM_BYTES);
	g_assert_cmpuint(p.window.bytes, <=, 4 * CONFIG_WINDOW_BYTES);
	g_assert_cmpuint(p.longest_queue_us, <, QUEUE_MAX_US);
	g_queue_clear(&p.due);
}

/* Guards against: a node that acknowledges a byte at a time gets more parts than are kept track of.
 */
static void test_acknowledged_byte_by_byte(void)
{
	struct config_window w;
	u32 parts = 0;

	config_window_init(&w, 0);
	for (; config_window_has_room(&w, 0) && parts < 10 * CONFIG_WINDOW_PARTS; parts++) {
		config_window_sent(&w, (parts + 1) * CONFIG_PART_BYTES, 1);
		config_window_acknowledged(&w, parts ? 1 : 0, 2);
	}
	g_assert_cmpuint(parts, ==, CONFIG_WINDOW_PARTS);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/config-window/delay-for-each-window", test_delay_for_each_window);
	g_test_add_func("/config-window/grows-into-a-queue", test_grows_into_a_queue);
	g_test_add_func("/config-window/words-wait-behind-the-window",
			test_words_wait_behind_the_window);
	g_test_add_func("/config-window/grows-without-bound", test_grows_without_bound);
	g_test_add_func("/config-window/stays-when-the-link-narrows",
			test_stays_when_the_link_narrows);
	g_test_add_func("/config-window/acknowledged-byte-by-byte", test_acknowledged_byte_by_byte);
	return g_test_run();
}
