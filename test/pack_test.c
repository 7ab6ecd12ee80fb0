/* Bytes made shorter: the same come back, and damaged ones are refused. */
#include "lib/pack.h"

#include "lib/rng.h"

#include <string.h>

#define MAX_BYTES (1024 * 1024)

static GByteArray *routes(void)
{
	GByteArray *out = g_byte_array_new();

	for (u32 i = 0; i < 1000; i++) {
		g_autofree char *one = g_strdup_printf(
			"{\"name\":\"r%u\",\"prefix\":\"/%x/\",\"timeout_ms\":1000}", i,
			i * 2654435761u);

		g_byte_array_append(out, (const guint8 *)one, (guint)strlen(one));
	}
	return out;
}

static void test_round_trip(void)
{
	g_autoptr(GByteArray) raw = routes();
	g_autoptr(GByteArray) packed = pack_bytes(raw->data, raw->len);
	g_autoptr(GByteArray) back = unpack_bytes(packed->data, packed->len, raw->len, MAX_BYTES);

	g_assert_cmpuint(packed->len * 4, <, raw->len);
	g_assert_nonnull(back);
	g_assert_cmpmem(back->data, back->len, raw->data, raw->len);
}

static void expect_refused(const GByteArray *packed, size_t raw_len, size_t max)
{
	g_assert_null(unpack_bytes(packed->data, packed->len, raw_len, max));
}

/* A length that is not true would take memory, or leave a part unread. */
static void test_wrong_length(void)
{
	g_autoptr(GByteArray) raw = routes();
	g_autoptr(GByteArray) packed = pack_bytes(raw->data, raw->len);

	expect_refused(packed, raw->len - 1, MAX_BYTES);
	expect_refused(packed, raw->len + 1, MAX_BYTES);
	expect_refused(packed, 0, MAX_BYTES);
	expect_refused(packed, SIZE_MAX, MAX_BYTES);
	expect_refused(packed, raw->len, raw->len - 1);
}

static void test_damaged(void)
{
	g_autoptr(GByteArray) raw = routes();
	g_autoptr(GByteArray) packed = pack_bytes(raw->data, raw->len);
	struct rng rng = { .state = 5 };

	for (u32 i = 0; i < 2000; i++) {
		u32 at = rng_below(&rng, packed->len);
		u8 bit = (u8)(1u << rng_below(&rng, 8));

		packed->data[at] ^= bit;
		expect_refused(packed, raw->len, MAX_BYTES);
		packed->data[at] ^= bit;
	}
	g_byte_array_set_size(packed, packed->len / 2);
	expect_refused(packed, raw->len, MAX_BYTES);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/pack/round-trip", test_round_trip);
	g_test_add_func("/pack/wrong-length", test_wrong_length);
	g_test_add_func("/pack/damaged", test_damaged);
	return g_test_run();
}
