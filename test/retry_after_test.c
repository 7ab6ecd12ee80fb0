/* The Retry-After delay of refused callers. */
#include "node/retry_after.h"

#include <glib.h>

#define CALLERS 1000
#define REMAINING_US (3 * US_PER_S)

/* A home node is lost, so many callers are refused at the same moment. */
static void test_repair(void)
{
	struct retry_after r = { .reason = CTR_PEER_UNREACHABLE, .remaining_us = REMAINING_US };
	struct rng rng = { 1 };
	u64 least = UINT64_MAX, most = 0;

	for (u32 i = 0; i < CALLERS; i++) {
		u64 us = retry_after_us(&r, &rng);

		least = MIN(least, us);
		most = MAX(most, us);
	}
	g_assert_cmpuint(least, >, 0);
	g_assert_cmpuint(most, <=, REMAINING_US / 2);
	g_assert_cmpuint(most - least, >, most / 3);
}

/* A burst exceeds the capacity of the upstreams; some calls can still meet their target. */
static void check_overload(enum ctr reason)
{
	struct retry_after early = { .reason = reason, .remaining_us = REMAINING_US };
	struct retry_after late = { .reason = reason,
				    .remaining_us = REMAINING_US,
				    .is_late = true };
	struct rng rng = { 1 };

	for (u32 i = 0; i < CALLERS; i++) {
		u64 us = retry_after_us(&late, &rng);

		g_assert_cmpuint(retry_after_us(&early, &rng), ==, 0);
		g_assert_cmpuint(us, >, 0);
		g_assert_cmpuint(us, <, REMAINING_US);
	}
}

static void test_overload(void)
{
	check_overload(CTR_QUEUE_WAIT);
	check_overload(CTR_RATE_LIMIT);
}

/* The delay never exceeds the remaining time of the caller. */
static void test_no_time_left(void)
{
	struct retry_after r = { .reason = CTR_NO_CONFIG, .remaining_us = 0 };
	struct rng rng = { 1 };

	g_assert_cmpuint(retry_after_us(&r, &rng), ==, 0);
	r.remaining_us = 30 * US_PER_MS;
	for (u32 i = 0; i < CALLERS; i++)
		g_assert_cmpuint(retry_after_us(&r, &rng), <, r.remaining_us);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/retry-after/repair", test_repair);
	g_test_add_func("/retry-after/overload", test_overload);
	g_test_add_func("/retry-after/no-time-left", test_no_time_left);
	return g_test_run();
}
