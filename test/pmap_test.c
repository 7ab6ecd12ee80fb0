/* Persistent maps: a copy never changes with the original, a change shares the rest. */
#include "lib/pmap.h"
#include "lib/rng.h"

#include <glib.h>
#include <string.h>

#define KEYS 500
#define ROUNDS 20000
#define COPIES 8
#define LARGE 20000

static u32 refs; /* of all values */
static u32 refs_taken;

struct value {
	u32 refs;
	u32 content;
	char key[16];
};

static const char *key_of(const void *value)
{
	return ((const struct value *)value)->key;
}

static void ref(void *value)
{
	((struct value *)value)->refs++;
	refs++;
	refs_taken++;
}

static void unref(void *value)
{
	struct value *v = value;

	refs--;
	if (!--v->refs)
		g_free(v);
}

static const struct pmap_ops ops = { .key = key_of, .ref = ref, .unref = unref };

static void set(struct pmap *m, u32 key, u32 content)
{
	struct value *v = g_new0(struct value, 1);

	v->refs = 1;
	v->content = content;
	g_snprintf(v->key, sizeof(v->key), "k%u", key);
	refs++;
	pmap_set(m, v);
}

/* Returns the content of KEY, 0 if it is absent. */
static u32 get(const struct pmap *m, u32 key)
{
	g_autofree char *name = g_strdup_printf("k%u", key);
	const struct value *v = pmap_find(m, name);

	g_assert_true(pmap_find_hash(m, pmap_hash(name)) == v);
	return v ? v->content : 0;
}

static bool drop(struct pmap *m, u32 key)
{
	g_autofree char *name = g_strdup_printf("k%u", key);

	return pmap_remove(m, name);
}

static void add_content(void *value, void *arg)
{
	*(u64 *)arg += ((struct value *)value)->content;
}

static void check(const struct pmap *m, const u32 *want)
{
	u64 sum_want = 0;
	u64 sum = 0;
	u32 count = 0;

	for (u32 i = 0; i < KEYS; i++) {
		g_assert_cmpuint(get(m, i), ==, want[i]);
		count += want[i] > 0;
		sum_want += want[i];
	}
	pmap_each(m, add_content, &sum);
	g_assert_cmpuint(sum, ==, sum_want);
	g_assert_cmpuint(m->count, ==, count);
}

/* Copies are changed in turn, at random, beside plain arrays. */
static void test_copies_are_independent(void)
{
	static u32 want[COPIES][KEYS];
	struct pmap maps[COPIES];
	struct rng rng = { .state = 7 };

	memset(want, 0, sizeof(want));
	for (u32 i = 0; i < COPIES; i++)
		maps[i] = (struct pmap){ .ops = &ops };
	for (u32 round = 1; round <= ROUNDS; round++) {
		u32 at = rng_below(&rng, COPIES);
		u32 key = rng_below(&rng, KEYS);
		u32 from = rng_below(&rng, COPIES);

		if (rng_below(&rng, 3)) {
			set(&maps[at], key, round);
			want[at][key] = round;
		} else {
			g_assert_cmpint(drop(&maps[at], key), ==, want[at][key] > 0);
			want[at][key] = 0;
		}
		if (at != from && !rng_below(&rng, 100)) {
			pmap_clear(&maps[at]);
			maps[at] = pmap_copy(&maps[from]);
			memcpy(want[at], want[from], sizeof(want[at]));
			check(&maps[at], want[at]);
		}
	}
	for (u32 i = 0; i < COPIES; i++) {
		check(&maps[i], want[i]);
		pmap_clear(&maps[i]);
	}
	g_assert_cmpuint(refs, ==, 0);
}

/* Guards against: a change of one value costs work for all. */
static void test_change_copies_whole_map(void)
{
	struct pmap m = { .ops = &ops };
	struct pmap changed;

	for (u32 i = 0; i < LARGE; i++)
		set(&m, i, 1);
	refs_taken = 0;
	changed = pmap_copy(&m);
	set(&changed, LARGE / 2, 2);
	g_assert_true(drop(&changed, LARGE / 3));
	g_assert_cmpuint(refs_taken, <, 100);
	g_assert_cmpuint(get(&m, LARGE / 2), ==, 1);
	g_assert_cmpuint(get(&m, LARGE / 3), ==, 1);
	g_assert_cmpuint(get(&changed, LARGE / 2), ==, 2);
	g_assert_cmpuint(get(&changed, LARGE / 3), ==, 0);
	pmap_clear(&m);
	g_assert_cmpuint(get(&changed, 1), ==, 1);
	pmap_clear(&changed);
	g_assert_cmpuint(refs, ==, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/pmap/copies-are-independent", test_copies_are_independent);
	g_test_add_func("/pmap/change-copies-whole-map", test_change_copies_whole_map);
	return g_test_run();
}
