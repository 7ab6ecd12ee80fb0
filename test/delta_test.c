/* Deltas between sets of declarations: small for small changes, exact, and safe to decode. */
#include "lib/delta.h"
#include "lib/rng.h"

#include <string.h>

#define ROUTES 2000

/* Returns a set with ROUTES routes; route number CHANGED has another timeout than the others. */
static char *make_set(u32 version, u32 routes, u32 changed)
{
	GString *out = g_string_new(NULL);

	g_string_printf(out, "{\"version\":%u,\"routes\":[", version);
	for (u32 i = 0; i < routes; i++) {
		u32 timeout_ms = i == changed ? 500 : 1000;

		g_string_append_printf(out,
				       "%s{\"name\":\"r%u\",\"host\":\"h.example\",\"prefix\":"
				       "\"/p%u/\",\"timeout_ms\":%u}",
				       i ? "," : "", i, i, timeout_ms);
	}
	g_string_append(out, "],\"services\":[{\"name\":\"a\"}]}");
	return g_string_free(out, FALSE);
}

static void assert_round_trip(const char *from, const char *to, size_t max_bytes)
{
	g_autoptr(GArray) ops = delta_make(from, to);
	g_autoptr(GArray) decoded = NULL;
	g_autofree char *text = NULL;
	struct frame_in in;
	size_t len;
	FRAME_AUTO(f, 1);

	delta_put(&f, ops);
	len = frame_end(&f);
	g_assert_cmpuint(len, <=, max_bytes);
	frame_in_init(&in, f.buf.data + FRAME_HEADER_BYTES, len - FRAME_HEADER_BYTES);
	g_assert_cmpuint(frame_get_u64(&in), ==, 1);
	decoded = delta_get(&in);
	g_assert_cmpint(frame_done(&in), ==, 0);
	text = delta_apply(from, decoded);
	g_assert_cmpstr(text, ==, to);
}

/* One of thousands of routes changes repeatedly and links are slow: the delta must be small. */
static void test_small_change(void)
{
	g_autofree char *from = make_set(7, ROUTES, ROUTES);
	g_autofree char *to = make_set(9, ROUTES, ROUTES / 2);
	g_autofree char *longer = make_set(12, ROUTES + 1, ROUTES);

	assert_round_trip(from, to, 512);
	assert_round_trip(from, longer, 512);
	assert_round_trip(longer, from, 512);
}

static void test_any_texts(void)
{
	static const char *const texts[] = {
		"", "}", "no brace", "{}{}{}", "{a}{b}{a}", "{b}{a}x"
	};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		for (size_t k = 0; k < G_N_ELEMENTS(texts); k++)
			assert_round_trip(texts[i], texts[k], 256);
}

static void test_random_texts(void)
{
	struct rng rng = { .state = 5 };

	for (u32 round = 0; round < 2000; round++) {
		char texts[2][64];

		for (u32 t = 0; t < 2; t++) {
			u32 len = rng_below(&rng, sizeof(texts[t]) - 1);

			for (u32 i = 0; i < len; i++)
				texts[t][i] = "ab}"[rng_below(&rng, 3)];
			texts[t][len] = 0;
		}
		assert_round_trip(texts[0], texts[1], 2048);
	}
}

static void test_invalid_delta(void)
{
	struct delta_op op = { .from = 2, .len = 3 };
	g_autofree char *long_text = NULL;
	g_autoptr(GArray) ops = g_array_new(FALSE, FALSE, sizeof(op));

	g_array_append_val(ops, op);
	g_assert_null(delta_apply("four", ops));
	g_array_index(ops, struct delta_op, 0).from = UINT64_MAX;
	g_assert_null(delta_apply("four", ops));
	g_array_index(ops, struct delta_op, 0).from = 1;
	g_array_index(ops, struct delta_op, 0).len = UINT64_MAX;
	g_assert_null(delta_apply("four", ops));
	/* Operations that copy the same long text thousands of times. */
	g_array_set_size(ops, 0);
	op = (struct delta_op){ .from = 0, .len = 64 * 1024 };
	for (u32 i = 0; i < DELTA_OPS_MAX; i++)
		g_array_append_val(ops, op);
	long_text = g_strnfill(64 * 1024, 'x');
	g_assert_null(delta_apply(long_text, ops));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/delta/small-change", test_small_change);
	g_test_add_func("/delta/any-texts", test_any_texts);
	g_test_add_func("/delta/random-texts", test_random_texts);
	g_test_add_func("/delta/invalid", test_invalid_delta);
	return g_test_run();
}
