/* A set is stored alike from its text and from its difference to the set before. */
#include "control/store.h"

#include "lib/rng.h"
#include "lib/set.h"
#include "test/fakes/set_change.h"

#include <string.h>

#define GARBAGE 4000
#define SET_ROUTES 40

static char *set_text(u64 version, u32 changed)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(text, "{\"version\":%u,\"routes\":[", (u32)version);
	for (u32 i = 0; i < SET_ROUTES; i++)
		g_string_append_printf(text, "%s{\"name\":\"r%u\",\"timeout_ms\":%u}", i ? "," : "",
				       i, i == changed ? 500 + (u32)version : 1000);
	g_string_append(text, "]}");
	return g_string_free(text, FALSE);
}

static GBytes *set_command(u64 version, u64 base, const char *text)
{
	g_autofree char *id = g_strdup_printf("set-%u-%u", (u32)version, (u32)base);

	return set_change_pack(version, base, id, text);
}

static void assert_same_states(const struct store *a, const struct store *b)
{
	g_autoptr(GBytes) x = store_snapshot(a);
	g_autoptr(GBytes) y = store_snapshot(b);

	g_assert_true(g_bytes_equal(x, y));
}

/* A set has the same effect and result as a text and as a difference, also when it is repeated. */
static void test_set_as_difference(void)
{
	struct store plain;
	struct store shrunk;
	struct store_result x;
	struct store_result y;

	store_init(&plain);
	store_init(&shrunk);
	for (u64 version = 1; version <= 6; version++) {
		/* The fourth one builds on an outdated version, and is refused. */
		u64 base = version == 4 ? 1 : version == 5 ? 3 : version - 1;
		g_autofree char *text = set_text(version, (u32)version * 5);
		g_autoptr(GBytes) command = set_command(version, base, text);
		g_autoptr(GBytes) shorter =
			store_command_shrink(&shrunk, set_command(version, base, text));

		g_assert_cmpint(g_bytes_get_size(shorter) < 300, ==, version > 1 && version != 4);
		for (u32 i = 0; i < 2; i++) {
			store_apply(&plain, i ? shorter : command, &x);
			store_apply(&shrunk, i ? command : shorter, &y);
			g_assert_cmpuint(x.status, ==, y.status);
			g_assert_cmpuint(x.status, ==,
					 version == 4 ? 412 :
					 version == 1 ? 201 :
							200);
			g_assert_cmpint(x.is_repeat, ==, y.is_repeat);
			g_assert_cmpint(x.is_repeat, ==, i && version != 4);
			assert_same_states(&plain, &shrunk);
		}
		g_assert_cmpint(!strcmp(store_find(&shrunk, SET_NAME)->json, text), ==,
				version != 4);
	}
	store_clear(&plain);
	store_clear(&shrunk);
}

/* A difference that does not fit changes nothing. */
static void test_difference_that_does_not_fit(void)
{
	struct rng rng = { .state = 17 };
	g_autofree char *first = set_text(1, 3);
	g_autofree char *second = set_text(2, 4);
	g_autoptr(GBytes) command = set_command(1, 0, first);
	g_autoptr(GBytes) shorter = NULL;
	struct store_result r;
	struct store s;

	store_init(&s);
	store_apply(&s, command, &r);
	shorter = store_command_shrink(&s, set_command(2, 1, second));
	for (u32 i = 0; i < GARBAGE; i++) {
		gsize len;
		g_autofree u8 *bytes =
			g_memdup2(g_bytes_get_data(shorter, &len), g_bytes_get_size(shorter));
		g_autoptr(GBytes) garbage = NULL;

		bytes[rng_below(&rng, g_bytes_get_size(shorter))] ^= (u8)(1 << rng_below(&rng, 8));
		g_bytes_get_data(shorter, &len);
		garbage = g_bytes_new(bytes, len);
		store_apply(&s, garbage, &r);
		/* A change of its id, version or base does not make it another text. */
		if (s.revision == 1)
			continue;
		g_assert_cmpstr(store_find(&s, SET_NAME)->json, ==, second);
		store_clear(&s);
		store_init(&s);
		store_apply(&s, command, &r);
	}
	store_clear(&s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/store/set-as-difference", test_set_as_difference);
	g_test_add_func("/store/difference-that-does-not-fit", test_difference_that_does_not_fit);
	return g_test_run();
}
