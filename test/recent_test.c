/* The numbers of the last accepted changes. */
#include "control/recent.h"

#include "lib/err.h"

#include <glib.h>

static void add_others(struct recent *r, u32 n)
{
	for (u32 i = 0; i < n; i++) {
		g_autofree char *name = g_strdup_printf("other%u", i);

		recent_add(r, name);
	}
}

/* Guards against: a change that was seen counts as a later one, or a later one as seen. */
static void test_later_changes(void)
{
	struct recent r;

	recent_init(&r);
	g_assert_false(recent_is_after(&r, "a", 0));
	recent_add(&r, "a");
	recent_add(&r, "b");
	g_assert_true(recent_is_after(&r, "a", 0));
	g_assert_false(recent_is_after(&r, "a", 1));
	g_assert_true(recent_is_after(&r, "b", 1));
	recent_add(&r, "a");
	g_assert_true(recent_is_after(&r, "a", 2));
	g_assert_false(recent_is_after(&r, "a", 3));
	g_assert_cmpuint(r.serial, ==, 3);
	recent_clear(&r);
}

/* Guards against: a name that was forgotten counts as never changed. */
static void test_forgotten_names(void)
{
	struct recent r;

	recent_init(&r);
	recent_add(&r, "a");
	add_others(&r, RECENT_NAMES_MAX);
	g_assert_cmpuint(g_hash_table_size(r.names), ==, RECENT_NAMES_MAX);
	g_assert_true(recent_is_after(&r, "a", 0));
	g_assert_true(recent_is_after(&r, "unknown", 0));
	g_assert_false(recent_is_after(&r, "unknown", 1));
	g_assert_true(recent_is_after(&r, "other0", 1));
	recent_clear(&r);
}

static void copy(const struct recent *r, struct recent *out, int err)
{
	FRAME_AUTO(f, 0);
	struct frame_in in;

	recent_put(&f, r);
	frame_end(&f);
	frame_in_init(&in, f.buf.data + FRAME_HEADER_BYTES, f.buf.size - FRAME_HEADER_BYTES);
	frame_get_u64(&in);
	recent_init(out);
	recent_get(out, &in);
	g_assert_cmpint(frame_done(&in), ==, err);
}

/* Guards against: a replica that takes over a snapshot forgets other names than the rest. */
static void test_copy_goes_on_alike(void)
{
	struct recent r;
	struct recent other;

	recent_init(&r);
	add_others(&r, RECENT_NAMES_MAX + 7);
	recent_add(&r, "other9");
	copy(&r, &other, 0);
	for (u32 i = 0; i < 20; i++) {
		g_autofree char *name = g_strdup_printf("new%u", i);

		recent_add(&r, name);
		recent_add(&other, name);
	}
	g_assert_cmpuint(other.serial, ==, r.serial);
	g_assert_cmpuint(other.forgotten, ==, r.forgotten);
	for (u32 i = 0; i < RECENT_NAMES_MAX + 7; i++) {
		g_autofree char *name = g_strdup_printf("other%u", i);

		g_assert_true(recent_is_after(&r, name, i) == recent_is_after(&other, name, i));
	}
	recent_clear(&r);
	recent_clear(&other);
}

/* Guards against: a snapshot whose numbers don't rise is taken over. */
static void test_damaged_copy_is_refused(void)
{
	struct recent r;
	struct recent other;

	recent_init(&r);
	recent_add(&r, "a");
	recent_add(&r, "b");
	r.serial = 1;
	copy(&r, &other, ERR_INVAL);
	recent_clear(&other);
	recent_clear(&r);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/recent/later-changes", test_later_changes);
	g_test_add_func("/recent/forgotten-names", test_forgotten_names);
	g_test_add_func("/recent/copy-goes-on-alike", test_copy_goes_on_alike);
	g_test_add_func("/recent/damaged-copy-is-refused", test_damaged_copy_is_refused);
	return g_test_run();
}
