#include "lib/err.h"
#include "lib/frame.h"

#include <glib.h>
#include <string.h>

static void begin_read(struct frame_out *o, struct frame_in *in)
{
	size_t len = frame_end(o);

	frame_in_init(in, o->buf.data + FRAME_HEADER_BYTES, len - FRAME_HEADER_BYTES);
}

static void test_round_trip(void)
{
	struct frame_in in;
	g_autofree char *text = NULL;
	const void *bin;
	size_t len;
	FRAME_AUTO(f, 7);

	frame_put_u64(&f, UINT64_MAX);
	frame_put_i64(&f, -5);
	frame_put_bool(&f, true);
	frame_put_str(&f, "hoopoe");
	frame_put_bin(&f, "\0\1", 2);
	begin_read(&f, &in);
	g_assert_cmpuint(frame_get_u64(&in), ==, 7);
	g_assert_cmpuint(frame_get_u64(&in), ==, UINT64_MAX);
	g_assert_cmpint(frame_get_i64(&in), ==, -5);
	g_assert_true(frame_get_bool(&in));
	text = frame_get_str(&in, 16);
	g_assert_cmpstr(text, ==, "hoopoe");
	bin = frame_get_bin(&in, &len);
	g_assert_cmpmem(bin, len, "\0\1", 2);
	g_assert_cmpint(frame_done(&in), ==, 0);
}

static void test_empty_string(void)
{
	struct frame_in in;
	g_autofree char *text = NULL;
	FRAME_AUTO(f, 7);

	frame_put_str(&f, "");
	begin_read(&f, &in);
	frame_get_u64(&in);
	text = frame_get_str(&in, 16);
	g_assert_cmpstr(text, ==, "");
	g_assert_cmpint(frame_done(&in), ==, 0);
}

static void test_containers_are_rejected(void)
{
	static const char array32[] = { (char)0xdd, (char)0x7f, (char)0xff, (char)0xff,
					(char)0xff };
	struct frame_in in;

	frame_in_init(&in, array32, sizeof(array32));
	frame_get_u64(&in);
	g_assert_cmpint(in.err, ==, ERR_INVAL);
}

/* All encodings of an empty string; returning NULL would crash a later strcmp. */
static void test_empty_string_encodings(void)
{
	static const struct {
		const char *bytes;
		size_t len;
	} cases[] = { { "\xa0", 1 }, { "\xd9\0", 2 }, { "\xda\0\0", 3 }, { "\xdb\0\0\0\0", 5 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *text = NULL;
		struct frame_in in;

		frame_in_init(&in, cases[i].bytes, cases[i].len);
		text = frame_get_str(&in, 10);
		g_assert_cmpstr(text, ==, "");
		g_assert_cmpint(frame_done(&in), ==, 0);
	}
}

static void test_truncated_payload_is_rejected(void)
{
	FRAME_AUTO(f, 9);

	frame_put_str(&f, "a longer text that is cut");
	frame_put_u64(&f, 1ULL << 40);
	frame_end(&f);
	for (size_t len = 0; len < f.buf.size - FRAME_HEADER_BYTES; len++) {
		struct frame_in in;

		frame_in_init(&in, f.buf.data + FRAME_HEADER_BYTES, len);
		frame_get_u64(&in);
		g_free(frame_get_str(&in, 100));
		frame_get_u64(&in);
		g_assert_cmpint(frame_done(&in), ==, ERR_INVAL);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/frame/round-trip", test_round_trip);
	g_test_add_func("/frame/empty-string", test_empty_string);
	g_test_add_func("/frame/containers-are-rejected", test_containers_are_rejected);
	g_test_add_func("/frame/empty-string-encodings", test_empty_string_encodings);
	g_test_add_func("/frame/truncated-payload-is-rejected", test_truncated_payload_is_rejected);
	return g_test_run();
}
