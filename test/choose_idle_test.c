/* What the choice of a home keeps and forgets when an idle link is closed. */
#include "node/choose.h"

#define START_US US_PER_S
#define CALL_US (100 * US_PER_S)
#define SPAN_US (60 * US_PER_S)
#define HOME "10.0.0.2:8081"

static void setup(struct choose *c)
{
	struct dir_entry e = { .node = (char *)HOME,
			       .zone = (char *)"lakes-a",
			       .region = (char *)"lakes",
			       .incarnation = 1,
			       .version = 1,
			       .state = DIR_UP,
			       .service = (char *)"bulletin",
			       .slots = 12,
			       .connections = 200 };

	choose_init(c, "10.0.0.1:8081", "lakes-a", "lakes", 7, START_US);
	choose_set_entry(c, &e, START_US);
}

static struct choose_target *pick(struct choose *c, u64 now_us)
{
	struct choose_call call = { .service = "bulletin", .worth = 10 };

	return choose_pick(c, &call, now_us);
}

static void test_use_ends_with_the_span(void)
{
	struct choose c;
	struct choose_target *t;

	setup(&c);
	t = choose_find(&c, HOME);
	g_assert_false(choose_is_in_use(t, SPAN_US, CALL_US));
	g_assert_true(pick(&c, CALL_US) == t);
	g_assert_true(choose_is_in_use(t, SPAN_US, CALL_US));
	g_assert_true(choose_is_in_use(t, SPAN_US, CALL_US + SPAN_US - 1));
	g_assert_false(choose_is_in_use(t, SPAN_US, CALL_US + SPAN_US));
	/* A time before the last call, as the caller's time may be older. */
	g_assert_true(choose_is_in_use(t, SPAN_US, CALL_US - 1));
	choose_disable(&c, HOME);
	g_assert_false(choose_is_in_use(t, SPAN_US, CALL_US));
	choose_clear(&c);
}

/*
 * Guards against: a home without a link is judged for ever by its last report, for example as one
 * that is leaving, since what it sends later to those that are linked does not reach this node.
 */
static void test_closed_link_makes_the_load_unknown(void)
{
	struct peer_load load = { .limit = 12,
				  .service_us = 5000,
				  .slowness_percent = 900,
				  .lowest_worth = 100,
				  .is_draining = true };
	struct choose c;
	struct choose_target *t;

	setup(&c);
	t = choose_find(&c, HOME);
	g_assert_true(pick(&c, CALL_US) == t);
	t->service->is_linked = true;
	choose_set_load(t, &load, CALL_US);
	g_assert_null(pick(&c, CALL_US));
	choose_link_closed(t);
	g_assert_cmpuint(t->load_at_us, ==, 0);
	g_assert_false(choose_is_slow(t));
	g_assert_cmpuint(choose_lowest_worth(&c, "bulletin", CALL_US), ==, 0);
	g_assert_true(choose_is_usable(t, CALL_US));
	g_assert_true(pick(&c, CALL_US) == t);
	g_assert_false(t->service->is_linked);
	choose_clear(&c);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/choose-idle/use-ends-with-the-span", test_use_ends_with_the_span);
	g_test_add_func("/choose-idle/closed-link-makes-the-load-unknown",
			test_closed_link_makes_the_load_unknown);
	return g_test_run();
}
