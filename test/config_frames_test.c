/* The frames that bring nodes to the newest configuration. */
#include "control/config_frames.h"
#include "lib/set.h"
#include "test/fakes/set_change.h"
#include "wire/ctl.h"

#include <string.h>

#define ROUTES 1400

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

static size_t total_bytes(const GPtrArray *frames)
{
	size_t sum = 0;

	for (guint i = 0; i < frames->len; i++)
		sum += ((struct frame_out *)g_ptr_array_index(frames, i))->buf.size;
	return sum;
}

/* Guards against: the same frames are made and compressed again for each node. */
static void test_frames_are_made_for_each_node(void)
{
	struct config_frames c = { 0 };
	const GPtrArray *snapshot;
	const GPtrArray *delta;
	struct store s;

	store_init(&s);
	replace_set(&s, 1, ROUTES);
	config_frames_get(&c, &s, 0);
	replace_set(&s, 2, ROUTES - 1);
	snapshot = config_frames_get(&c, &s, 0);
	delta = config_frames_get(&c, &s, 1);
	g_assert_true(config_frames_get(&c, &s, 0) == snapshot);
	g_assert_true(config_frames_get(&c, &s, 1) == delta);
	g_assert_cmpuint(total_bytes(delta) * 10, <, total_bytes(snapshot));
	config_frames_clear(&c);
	store_clear(&s);
}

/* Returns the revision that the frames lead to. */
static u64 revision_of(const GPtrArray *frames)
{
	struct frame_out *f = g_ptr_array_index(frames, 0);
	struct frame_in in;

	frame_in_init(&in, f->buf.data + FRAME_HEADER_BYTES, frame_end(f) - FRAME_HEADER_BYTES);
	g_assert_cmpuint(frame_get_u64(&in), ==, CTL_CONFIG);
	g_assert_cmpuint(frame_get_u64(&in), ==, CTL_CONFIG_BEGIN);
	return frame_get_u64(&in);
}

/* Guards against: a node gets the frames of an earlier revision. */
static void test_frames_of_earlier_revision(void)
{
	struct config_frames c = { 0 };
	struct store s;

	store_init(&s);
	for (u64 version = 1; version <= 5; version++) {
		replace_set(&s, version, (u32)version * 100);
		g_assert_cmpuint(revision_of(config_frames_get(&c, &s, 0)), ==, s.revision);
		g_assert_cmpuint(revision_of(config_frames_get(&c, &s, s.revision - 1)), ==,
				 s.revision);
	}
	config_frames_clear(&c);
	store_clear(&s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/config-frames/frames-are-made-for-each-node",
			test_frames_are_made_for_each_node);
	g_test_add_func("/config-frames/frames-of-earlier-revision",
			test_frames_of_earlier_revision);
	return g_test_run();
}
