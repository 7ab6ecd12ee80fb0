/* Which control process a node tries next. */
#include "node/trial_order.h"

/* As in node/watch.c: a trial without an answer lasts this long, and the next one is due later. */
#define SILENCE_US (500 * US_PER_MS)
#define RETRY_US (500 * US_PER_MS)

static u64 now_us;

static struct trial_candidate *add(struct trial_order *o, u16 port, enum trial_distance distance)
{
	struct endpoint at = { .host = "127.0.0.1", .port = port };
	struct trial_candidate *c = trial_order_add(o, &at, "127.0.0.9:1");

	c->distance = distance;
	return c;
}

/* The next candidate does not answer; returns its port, 0 if none is due. */
static u16 try_in_vain(struct trial_order *o)
{
	struct trial_candidate *c = trial_order_next(o, NULL, false, now_us);

	if (!c)
		return 0;
	now_us += SILENCE_US;
	c->retry_at_us = now_us + RETRY_US;
	return c->at.port;
}

static void check_next(struct trial_order *o, u16 expected)
{
	u16 port = try_in_vain(o);

	g_assert_cmpuint(port, ==, expected);
}

static void begin(struct trial_order *o)
{
	now_us = 100 * US_PER_S;
	trial_order_init(o);
}

/* Guards against: two near candidates that do not answer are tried in turn for ever. */
static void test_near_ones_starve_the_others(void)
{
	struct trial_order o;
	u32 far = 0;

	begin(&o);
	add(&o, 1, SAME_ZONE);
	add(&o, 2, SAME_ZONE);
	add(&o, 3, OTHER_REGION);
	for (u32 i = 0; i < 3; i++)
		far += try_in_vain(&o) == 3;
	g_assert_cmpuint(far, ==, 1);
	trial_order_clear(&o);
}

/* Guards against: a candidate that is added in a search comes only after all failures of others. */
static void test_added_candidate_waits_for_the_others(void)
{
	struct trial_order o;
	u32 tried = 0;

	begin(&o);
	add(&o, 1, SAME_ZONE);
	add(&o, 2, SAME_ZONE);
	for (u32 i = 0; i < 41; i++)
		try_in_vain(&o);
	add(&o, 3, UNKNOWN_DISTANCE);
	add(&o, 4, UNKNOWN_DISTANCE);
	for (u32 i = 0; i < 4; i++)
		tried |= 1u << try_in_vain(&o);
	g_assert_cmpuint(tried & 0x18, ==, 0x18);
	trial_order_clear(&o);
}

static void test_nearest_first_in_a_new_search(void)
{
	struct trial_order o;

	begin(&o);
	add(&o, 1, OTHER_REGION);
	add(&o, 2, SAME_ZONE);
	add(&o, 3, SAME_REGION);
	check_next(&o, 2);
	check_next(&o, 3);
	now_us += US_PER_S;
	trial_order_restart(&o);
	check_next(&o, 2);
	trial_order_clear(&o);
}

/* All were tried, and the first is not due yet. */
static void test_none_is_due(void)
{
	struct trial_order o;

	begin(&o);
	add(&o, 1, SAME_ZONE);
	check_next(&o, 1);
	check_next(&o, 0);
	now_us += RETRY_US;
	check_next(&o, 1);
	trial_order_clear(&o);
}

/* Beside a fresh control process only nearer ones are tried, each at its own interval. */
static void test_only_nearer_ones_beside_a_fresh_one(void)
{
	struct trial_order o;
	struct trial_candidate *main;
	struct trial_candidate *near;

	begin(&o);
	main = add(&o, 1, SAME_REGION);
	add(&o, 2, SAME_REGION);
	near = add(&o, 3, SAME_ZONE);
	g_assert_true(trial_order_next(&o, main, true, now_us) == near);
	near->nearer_retry_at_us = now_us + 1;
	g_assert_null(trial_order_next(&o, main, true, now_us));
	g_assert_true(trial_order_next(&o, main, true, now_us + 1) == near);
	trial_order_clear(&o);
}

static void test_former_members_are_removed(void)
{
	struct trial_order o;
	struct trial_candidate *used;

	begin(&o);
	used = add(&o, 1, SAME_ZONE);
	add(&o, 2, SAME_ZONE)->is_seed = true;
	add(&o, 3, SAME_ZONE);
	trial_order_remove_former(&o, used, NULL);
	g_assert_cmpuint(o.candidates->len, ==, 2);
	trial_order_unmark_seeds(&o);
	trial_order_remove_former(&o, NULL, NULL);
	g_assert_cmpuint(o.candidates->len, ==, 0);
	trial_order_clear(&o);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/trial_order/near-ones-starve-the-others",
			test_near_ones_starve_the_others);
	g_test_add_func("/trial_order/added-candidate-waits-for-the-others",
			test_added_candidate_waits_for_the_others);
	g_test_add_func("/trial_order/nearest-first-in-a-new-search",
			test_nearest_first_in_a_new_search);
	g_test_add_func("/trial_order/none-is-due", test_none_is_due);
	g_test_add_func("/trial_order/only-nearer-ones-beside-a-fresh-one",
			test_only_nearer_ones_beside_a_fresh_one);
	g_test_add_func("/trial_order/former-members-are-removed", test_former_members_are_removed);
	return g_test_run();
}
