/* Configuration streams: made once for all nodes, sent through a window. */
#include "control/config_transfer.h"
#include "lib/err.h"
#include "lib/set.h"
#include "test/fakes/quiet_link.h"
#include "test/fakes/raw_server.h"
#include "test/fakes/set_change.h"
#include "wire/ctl.h"

#include <string.h>

#define ROUTES 8000

/* Returns a set whose routes carry the version, but for those before OLD_ROUTES. */
static char *set_text(u64 version, u32 old_routes)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(text, "{\"version\":%u,\"routes\":[", (u32)version);
	for (u32 i = 0; i < ROUTES; i++)
		g_string_append_printf(text,
				       "%s{\"name\":\"r%u\",\"host\":\"h.example\",\"prefix\":"
				       "\"/%x/\",\"timeout_ms\":%u,\"service\":\"a\","
				       "\"repeat\":\"never\",\"attempts\":1}",
				       i ? "," : "", i, i * 2654435761u,
				       i < old_routes ? 1000 : 1000 + (u32)version);
	g_string_append(text, "],\"services\":[{\"name\":\"a\"}]}");
	return g_string_free(text, FALSE);
}

static void replace_set(struct store *s, u64 version, u32 old_routes)
{
	g_autofree char *text = set_text(version, old_routes);

	set_change_apply(s, version, text);
}

/*
 * Guards against: a set of many routes fills the narrow link of a node, and calls wait behind it.
 */
static void test_whole_set_fills_narrow_links(void)
{
	struct config_streams c = { 0 };
	struct config_stream *stream;
	struct store s;

	store_init(&s);
	replace_set(&s, 1, 0);
	stream = config_streams_get(&c, &s, 0);
	g_assert_cmpuint(stream->bytes->len * 4, <, strlen(store_find(&s, SET_NAME)->json));
	config_stream_unref(stream);
	config_streams_clear(&c);
	store_clear(&s);
}

/* Guards against: a stream is made again for each node. */
static void test_stream_is_made_for_each_node(void)
{
	struct config_streams c = { 0 };
	struct config_stream *first;
	struct config_stream *second;
	struct store s;

	store_init(&s);
	replace_set(&s, 1, ROUTES);
	first = config_streams_get(&c, &s, 0);
	second = config_streams_get(&c, &s, 0);
	g_assert_true(first == second);
	config_stream_unref(second);
	/* A stream stays while a transfer uses it, though the newest revision is another one. */
	for (u64 version = 2; version < 2 + 2 * CONFIG_STREAMS_KEPT; version++) {
		replace_set(&s, version, ROUTES - 1);
		config_stream_unref(config_streams_get(&c, &s, version - 1));
	}
	g_assert_cmpuint(first->id.to, ==, 1);
	g_assert_cmpuint(first->bytes->len, >, 1000);
	g_assert_cmpuint(first->refs, ==, 1);
	config_stream_unref(first);
	config_streams_clear(&c);
	store_clear(&s);
}

/*
 * Guards against: a node that has a part of a stream gets it from its beginning, or the rest of
 * another one, from the next control process.
 */
static void test_part_is_lost_at_the_next_process(void)
{
	struct config_streams c[2] = { 0 };
	struct config_stream *begun;
	struct config_stream *found;
	struct config_stream_id other;
	struct store s[2];

	for (u32 i = 0; i < 2; i++) {
		store_init(&s[i]);
		replace_set(&s[i], 1, 0);
	}
	begun = config_streams_get(&c[0], &s[0], 0);
	found = config_streams_find(&c[1], &s[1], &begun->id);
	g_assert_nonnull(found);
	g_assert_cmpmem(found->bytes->data, found->bytes->len, begun->bytes->data,
			begun->bytes->len);
	config_stream_unref(found);
	/* Streams that are kept are found when the configuration has changed. */
	replace_set(&s[1], 2, ROUTES - 1);
	found = config_streams_find(&c[1], &s[1], &begun->id);
	g_assert_nonnull(found);
	config_stream_unref(found);
	other = begun->id;
	other.checksum++;
	g_assert_null(config_streams_find(&c[1], &s[1], &other));
	other = begun->id;
	other.to = 7;
	g_assert_null(config_streams_find(&c[1], &s[1], &other));
	config_stream_unref(begun);
	for (u32 i = 0; i < 2; i++) {
		config_streams_clear(&c[i]);
		store_clear(&s[i]);
	}
}

/* A part on a link of 2 Mbit/s without delay, where more bytes on their way only wait. */
#define PART_US (33 * US_PER_MS)

/* Guards against: a freshness report waits behind a whole set in the buffers of a link. */
static void test_freshness_waits_behind_the_set(void)
{
	struct link_id self = { .cluster = (char *)"c", .name = (char *)"n" };
	struct loop *l = loop_new("test");
	struct config_streams c = { 0 };
	struct config_transfer t = { 0 };
	struct config_stream *stream;
	struct store s;
	struct link *k;
	u64 now_us = 0;
	u32 total;
	u16 port;

	raw_listen(&port);
	k = link_dial(l, &self, "127.0.0.1", port, &quiet_link_ops, NULL);
	store_init(&s);
	replace_set(&s, 1, 0);
	stream = config_streams_get(&c, &s, 0);
	total = stream->bytes->len;
	g_assert_cmpuint(total, >, CONFIG_WINDOW_BYTES + 2 * CONFIG_PART_BYTES);
	config_transfer_start(&t, stream, 0, 5, 0);
	config_transfer_send(&t, k, now_us);
	config_transfer_send(&t, k, now_us);
	g_assert_cmpuint(t.sent, ==, CONFIG_WINDOW_BYTES);
	g_assert_cmpuint(link_queued_bytes(k), <, CONFIG_WINDOW_BYTES + 1000);
	/* Acknowledgements of an earlier request, or of bytes that were not sent. */
	g_assert_cmpint(config_transfer_acknowledge(&t, 4, CONFIG_PART_BYTES, now_us), ==, 0);
	g_assert_cmpint(config_transfer_acknowledge(&t, 5, CONFIG_WINDOW_BYTES + 1, now_us), ==,
			ERR_INVAL);
	g_assert_cmpuint(t.acknowledged, ==, 0);
	while (!config_transfer_is_complete(&t)) {
		u32 next = MIN(t.acknowledged + CONFIG_PART_BYTES, t.sent);

		now_us += PART_US;
		g_assert_cmpint(config_transfer_acknowledge(&t, 5, next, now_us), ==, 0);
		config_transfer_send(&t, k, now_us);
		g_assert_cmpuint(t.sent - t.acknowledged, <=, CONFIG_WINDOW_BYTES);
	}
	g_assert_cmpuint(t.sent, ==, total);
	config_transfer_clear(&t);
	link_close(k);
	config_streams_clear(&c);
	store_clear(&s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/config-stream/whole-set-fills-narrow-links",
			test_whole_set_fills_narrow_links);
	g_test_add_func("/config-stream/stream-is-made-for-each-node",
			test_stream_is_made_for_each_node);
	g_test_add_func("/config-stream/part-is-lost-at-the-next-process",
			test_part_is_lost_at_the_next_process);
	g_test_add_func("/config-stream/freshness-waits-behind-the-set",
			test_freshness_waits_behind_the_set);
	return g_test_run();
}
