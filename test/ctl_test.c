/* Compressed frames from control processes to nodes. */
#include "lib/rng.h"
#include "wire/ctl.h"

#include <string.h>

#define ROUTES 1000

static struct frame_out *config_frame(void)
{
	struct frame_out *f = ctl_frame_new(CTL_CONFIG);

	for (u32 i = 0; i < ROUTES; i++) {
		g_autofree char *route = g_strdup_printf(
			"{\"name\":\"r%u\",\"prefix\":\"/%x/\",\"timeout_ms\":1000}", i,
			i * 2654435761u);

		frame_put_str(f, route);
	}
	return f;
}

/* Reads the frame as a link does. Returns its type. */
static u32 receive(struct frame_out *f, struct frame_in *in)
{
	size_t len = frame_end(f) - FRAME_HEADER_BYTES;

	frame_in_init(in, f->buf.data + FRAME_HEADER_BYTES, len);
	return (u32)frame_get_u64(in);
}

static void test_round_trip(void)
{
	struct frame_out *plain = config_frame();
	struct frame_out *sent = ctl_compress(config_frame());
	g_autoptr(GByteArray) bytes = NULL;
	struct frame_in inner;
	struct frame_in in;
	u32 type = 0;

	g_assert_cmpuint(sent->buf.size * 4, <, plain->buf.size);
	g_assert_cmpuint(receive(sent, &in), ==, CTL_COMPRESSED);
	bytes = ctl_inflate(&in, &inner, &type);
	g_assert_nonnull(bytes);
	g_assert_cmpuint(type, ==, CTL_CONFIG);
	g_assert_cmpmem(bytes->data, bytes->len, plain->buf.data + FRAME_HEADER_BYTES,
			plain->buf.size - FRAME_HEADER_BYTES);
	ctl_frame_free(plain);
	ctl_frame_free(sent);
}

static void test_short_frame_stays_as_it_is(void)
{
	struct frame_out *f = ctl_frame_new(CTL_CONFIG);
	struct frame_in in;

	frame_put_u64(f, 7);
	f = ctl_compress(f);
	g_assert_cmpuint(receive(f, &in), ==, CTL_CONFIG);
	g_assert_cmpuint(frame_get_u64(&in), ==, 7);
	ctl_frame_free(f);
}

static void expect_refused(u64 len, const void *bytes, size_t bytes_len)
{
	struct frame_in inner;
	struct frame_in in;
	u32 type;
	FRAME_AUTO(f, CTL_COMPRESSED);

	frame_put_u64(&f, len);
	frame_put_bin(&f, bytes, bytes_len);
	receive(&f, &in);
	g_assert_null(ctl_inflate(&in, &inner, &type));
}

/* Returns the bytes inside the compressed frame, and the length that they inflate to. */
static GByteArray *compressed_bytes(u64 *len)
{
	struct frame_out *f = ctl_compress(config_frame());
	GByteArray *out = g_byte_array_new();
	struct frame_in in;
	const void *bytes;
	size_t n;

	receive(f, &in);
	*len = frame_get_u64(&in);
	bytes = frame_get_bin(&in, &n);
	g_byte_array_append(out, bytes, (guint)n);
	ctl_frame_free(f);
	return out;
}

/* A wrong length would use up memory, or leave a part unread. */
static void test_wrong_length(void)
{
	u64 len;
	g_autoptr(GByteArray) bytes = compressed_bytes(&len);

	expect_refused(len - 1, bytes->data, bytes->len);
	expect_refused(len + 1, bytes->data, bytes->len);
	expect_refused(0, bytes->data, bytes->len);
	expect_refused(FRAME_MAX_BYTES + 1, bytes->data, bytes->len);
	expect_refused(UINT64_MAX, bytes->data, bytes->len);
	expect_refused(len, bytes->data, bytes->len / 2);
	expect_refused(len, bytes->data, 0);
}

static void test_damaged(void)
{
	struct rng rng = { .state = 5 };
	u64 len;
	g_autoptr(GByteArray) bytes = compressed_bytes(&len);

	for (u32 i = 0; i < 500; i++) {
		u32 at = rng_below(&rng, bytes->len);
		u8 bit = (u8)(1u << rng_below(&rng, 8));

		bytes->data[at] ^= bit;
		expect_refused(len, bytes->data, bytes->len);
		bytes->data[at] ^= bit;
	}
}

/* A frame that is compressed many times over would inflate without bound. */
static void test_compressed_twice(void)
{
	struct frame_out *f = ctl_frame_new(CTL_COMPRESSED);
	struct frame_in inner;
	struct frame_in in;
	u32 type;

	for (u32 i = 0; i < ROUTES; i++)
		frame_put_str(f, "the same again");
	f = ctl_compress(f);
	g_assert_cmpuint(receive(f, &in), ==, CTL_COMPRESSED);
	g_assert_null(ctl_inflate(&in, &inner, &type));
	ctl_frame_free(f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/ctl/round-trip", test_round_trip);
	g_test_add_func("/ctl/short-frame-stays-as-it-is", test_short_frame_stays_as_it_is);
	g_test_add_func("/ctl/wrong-length", test_wrong_length);
	g_test_add_func("/ctl/damaged", test_damaged);
	g_test_add_func("/ctl/compressed-twice", test_compressed_twice);
	return g_test_run();
}
