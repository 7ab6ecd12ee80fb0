/* The store: orders that were sent before a later one was accepted. */
#include "control/store.h"

#include "lib/frame.h"

#include <glib.h>

#define ZONE "/evacuations/z"

static struct store s;

static struct store_result apply(enum store_op op, const char *name, const char *id, u64 seen)
{
	struct store_change c = { .op = op,
				  .name = (char *)name,
				  .change_id = (char *)id,
				  .json = (char *)(op == STORE_PUT ? "{}" : ""),
				  .has_seen = true,
				  .seen = seen };
	g_autoptr(GBytes) command = store_change_pack(&c);
	struct store_result r;

	store_apply(&s, command, &r);
	return r;
}

static void expect(const char *name, enum store_op op, u64 seen, u16 status)
{
	struct store_result r = apply(op, name, "", seen);

	g_assert_false(r.is_superseded);
	g_assert_cmpuint(r.status, ==, status);
}

static void expect_superseded(const char *name, enum store_op op, u64 seen)
{
	u64 revision = s.revision;
	u64 serial = s.recent.serial;
	struct store_result r = apply(op, name, "", seen);

	g_assert_true(r.is_superseded);
	g_assert_cmpuint(r.status, ==, 409);
	g_assert_cmpuint(r.serial, ==, serial);
	g_assert_cmpuint(s.revision, ==, revision);
	g_assert_cmpuint(s.recent.serial, ==, serial);
}

/* Guards against: a late copy of an order undoes a later one, for services and for zones. */
static void test_late_copies(void)
{
	static const char *const names[] = { "a", ZONE };

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		store_init(&s);
		expect(names[i], STORE_PUT, 0, 201);
		expect(names[i], STORE_DELETE, 1, 200);
		expect_superseded(names[i], STORE_PUT, 1);
		expect_superseded(names[i], STORE_DELETE, 0);
		expect(names[i], STORE_PUT, 2, 201);
		expect_superseded(names[i], STORE_DELETE, 2);
		g_assert_nonnull(store_find(&s, names[i]));
		/* Changes of other names don't count. */
		expect("other", STORE_PUT, 3, 201);
		expect(names[i], STORE_DELETE, 3, 200);
		store_clear(&s);
	}
}

/*
 * Guards against: a late copy undoes an order that was acknowledged because its state was in force
 * already; such an order makes a revision, which is sent to all nodes.
 */
static void test_confirmed_orders(void)
{
	u64 version;

	store_init(&s);
	expect(ZONE, STORE_PUT, 0, 201);
	version = store_version(&s, ZONE);
	expect(ZONE, STORE_PUT, 1, 200);
	g_assert_cmpuint(s.revision, ==, 1);
	g_assert_cmpuint(store_version(&s, ZONE), ==, version + 1);
	expect_superseded(ZONE, STORE_DELETE, 1);
	expect(ZONE, STORE_DELETE, 2, 200);
	expect(ZONE, STORE_DELETE, 3, 200);
	g_assert_cmpuint(s.revision, ==, 2);
	expect_superseded(ZONE, STORE_PUT, 3);
	/* Of a zone for which there was no order, and of a service that is not declared. */
	expect("/evacuations/y", STORE_DELETE, 4, 200);
	expect_superseded("/evacuations/y", STORE_PUT, 4);
	expect("a", STORE_DELETE, 5, 404);
	expect_superseded("a", STORE_PUT, 5);
	g_assert_cmpuint(s.revision, ==, 2);
	store_clear(&s);
}

/* Guards against: the second copy of an order with a Change-Id is refused as another change. */
static void test_repeat_through_another_process(void)
{
	store_init(&s);
	g_assert_cmpuint(apply(STORE_PUT, "a", "id", 0).status, ==, 201);
	g_assert_true(apply(STORE_PUT, "a", "id", 0).is_repeat);
	g_assert_true(apply(STORE_PUT, "a", "id", 1).is_repeat);
	/* What was superseded is not remembered: its client may wait, and send it again. */
	g_assert_true(apply(STORE_DELETE, "a", "id2", 0).is_superseded);
	g_assert_cmpuint(apply(STORE_DELETE, "a", "id2", 1).status, ==, 200);
	store_clear(&s);
}

static void restore(GBytes *data)
{
	store_clear(&s);
	store_init(&s);
	g_assert_cmpint(store_restore(&s, data), ==, 0);
}

/* Guards against: a replica that takes over a snapshot carries out late copies. */
static void test_snapshot(void)
{
	g_autoptr(GBytes) data = NULL;

	store_init(&s);
	expect(ZONE, STORE_PUT, 0, 201);
	expect(ZONE, STORE_PUT, 1, 200);
	data = store_snapshot(&s);
	restore(data);
	expect_superseded(ZONE, STORE_DELETE, 1);
	expect(ZONE, STORE_DELETE, 2, 200);
	store_clear(&s);
}

/* A snapshot as it was before changes were counted: a declared service, and one that was deleted.
 */
static GBytes *earlier_snapshot(void)
{
	FRAME_AUTO(f, 0);

	frame_put_u64(&f, 3);
	frame_put_u64(&f, 0);
	frame_put_u64(&f, 0);
	frame_put_u64(&f, 2);
	store_item_put(&f, &(struct store_item){ "a", 1, 1, "{}" });
	store_item_put(&f, &(struct store_item){ "b", 2, 3, NULL });
	frame_put_u64(&f, 0);
	frame_end(&f);
	return g_bytes_new(f.buf.data + FRAME_HEADER_BYTES, f.buf.size - FRAME_HEADER_BYTES);
}

/* Guards against: after an update, a process takes every order for a late one, or none. */
static void test_earlier_snapshot(void)
{
	g_autoptr(GBytes) data = earlier_snapshot();

	store_init(&s);
	restore(data);
	g_assert_cmpuint(s.recent.serial, ==, 3);
	expect_superseded("b", STORE_PUT, 2);
	expect("a", STORE_DELETE, 2, 200);
	expect("b", STORE_PUT, 3, 201);
	store_clear(&s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/store-order/late-copies", test_late_copies);
	g_test_add_func("/store-order/confirmed-orders", test_confirmed_orders);
	g_test_add_func("/store-order/repeat-through-another-process",
			test_repeat_through_another_process);
	g_test_add_func("/store-order/snapshot", test_snapshot);
	g_test_add_func("/store-order/earlier-snapshot", test_earlier_snapshot);
	return g_test_run();
}
