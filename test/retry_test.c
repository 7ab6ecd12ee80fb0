/* Retries, hedges and shedding at the source: which calls are repeated, and how often. */
#include "lib/rng.h"
#include "node/hedge.h"
#include "node/retry.h"
#include "node/shed.h"

#include <glib.h>
#include <string.h>

#define DEPTH 26

static const struct retry_failure not_run = { .is_not_run = true };
static const struct retry_failure unknown = { .is_not_run = false };
static const struct retry_failure below = { .is_not_run = true, .is_refused_below = true };

static void test_only_not_run_or_idempotent(void)
{
	struct retry_budget b;

	retry_budget_init(&b);
	g_assert_cmpint(retry_decide(&b, 1, not_run, false, 1), ==, RETRY_AGAIN);
	g_assert_cmpint(retry_decide(&b, 1, not_run, true, 1), ==, RETRY_AGAIN);
	g_assert_cmpint(retry_decide(&b, 1, unknown, true, 1), ==, RETRY_AGAIN);
	g_assert_cmpint(retry_decide(&b, 1, unknown, false, 1), ==, RETRY_GIVE_UP);
	g_assert_cmpint(retry_decide(&b, 1, below, true, 1), ==, RETRY_GIVE_UP);
	g_assert_cmpint(retry_decide(&b, 1, not_run, true, 0), ==, RETRY_GIVE_UP);
}

static void test_at_most_two_retries(void)
{
	struct retry_budget b;

	retry_budget_init(&b);
	g_assert_cmpint(retry_decide(&b, 1, not_run, true, 1), ==, RETRY_AGAIN);
	g_assert_cmpint(retry_decide(&b, 2, not_run, true, 1), ==, RETRY_AGAIN);
	g_assert_cmpint(retry_decide(&b, 3, not_run, true, 1), ==, RETRY_GIVE_UP);
}

static void test_budget_is_a_share_of_answers(void)
{
	struct retry_budget b;
	u32 retries = 0;

	retry_budget_init(&b);
	while (retry_decide(&b, 1, not_run, true, 1) == RETRY_AGAIN)
		retries++;
	g_assert_cmpuint(retries, ==, RETRY_BUDGET_MAX / 100);
	g_assert_cmpint(retry_decide(&b, 1, not_run, true, 1), ==, RETRY_NO_BUDGET);
	for (u32 i = 0; i < 50; i++)
		retry_budget_deposit(&b);
	for (retries = 0; retry_decide(&b, 1, not_run, true, 1) == RETRY_AGAIN;)
		retries++;
	g_assert_cmpuint(retries, ==, 50 * RETRY_BUDGET_PERCENT / 100);
	/* However long no call is retried, the budget stays bounded. */
	for (u32 i = 0; i < 1000000; i++)
		retry_budget_deposit(&b);
	for (retries = 0; retry_decide(&b, 1, not_run, true, 1) == RETRY_AGAIN;)
		retries++;
	g_assert_cmpuint(retries, ==, RETRY_BUDGET_MAX / 100);
}

/*
 * A chain of nodes: the upstream of each calls the next one, and the last one answers, fails or
 * refuses. Failures are reported as a home node does.
 */
struct chain {
	struct retry_budget budgets[DEPTH];
	struct rng rng;
	u32 fail_percent; /* of the calls at the end */
	bool is_not_run; /* how they fail */
	bool is_marked; /* a refusal by a node further down is marked as such */
	u64 calls[DEPTH + 1]; /* attempts that reach each depth */
};

static bool run_chain(struct chain *c, u32 depth, struct retry_failure *failure);

static bool call_next(struct chain *c, u32 depth, struct retry_failure *failure)
{
	bool is_answered;

	c->calls[depth + 1]++;
	if (depth + 1 < DEPTH) {
		is_answered = run_chain(c, depth + 1, failure);
		failure->is_refused_below = c->is_marked;
		return is_answered;
	}
	*failure = (struct retry_failure){ .is_not_run = c->is_not_run };
	return rng_below(&c->rng, 100) >= c->fail_percent;
}

static bool run_chain(struct chain *c, u32 depth, struct retry_failure *failure)
{
	for (u32 attempts = 1;; attempts++) {
		if (call_next(c, depth, failure)) {
			retry_budget_deposit(&c->budgets[depth]);
			return true;
		}
		if (retry_decide(&c->budgets[depth], attempts, *failure, true, US_PER_S) !=
		    RETRY_AGAIN)
			return false;
	}
}

static void chain_init(struct chain *c, u32 fail_percent, bool is_not_run, bool is_marked)
{
	memset(c, 0, sizeof(*c));
	for (u32 i = 0; i < DEPTH; i++)
		retry_budget_init(&c->budgets[i]);
	c->rng.state = 9;
	c->fail_percent = fail_percent;
	c->is_not_run = is_not_run;
	c->is_marked = is_marked;
}

static u64 calls_at_the_end(u32 fail_percent, bool is_not_run, bool is_marked, u32 calls)
{
	struct chain c;
	struct retry_failure failure;

	chain_init(&c, fail_percent, is_not_run, is_marked);
	for (u32 i = 0; i < calls; i++)
		run_chain(&c, 0, &failure);
	return c.calls[DEPTH];
}

/* Without a budget or the mark, retries at each of 26 nodes turn one call into 3^26. */
static void test_chain_of_26_nodes(void)
{
	for (u32 fail = 0; fail <= 100; fail += 10) {
		u64 most = 10000 + 10000 * RETRY_BUDGET_PERCENT / 100 + RETRY_BUDGET_MAX / 100;

		/* Only the last node retries a refused call, within its budget. */
		g_assert_cmpuint(calls_at_the_end(fail, true, true, 10000), <=, most);
	}
	/* One call, with full budgets. */
	g_assert_cmpuint(calls_at_the_end(100, true, true, 1), <=, RETRY_ATTEMPTS_MAX);
}

/*
 * If upstreams drop the mark, only the budgets bound the retries: once the sum of the full
 * budgets of all nodes, and after that a share of the answers.
 */
static void test_chain_without_the_mark(void)
{
	u64 saved = (u64)DEPTH * RETRY_BUDGET_MAX / 100;

	g_assert_cmpuint(calls_at_the_end(100, true, false, 10000), <=, 10000 + saved);
	g_assert_cmpuint(calls_at_the_end(100, false, false, 10000), <=, 10000 + saved);
}

static void test_deadlines_shrink_at_each_hop(void)
{
	u64 ms = 100;
	u64 now = US_PER_S;

	for (u32 hop = 0; hop < DEPTH; hop++) {
		/* Each node takes 100 us, and time for the way back is reserved. */
		u64 deadline = now + ms * US_PER_MS;
		u64 below_ms;

		now += 100;
		below_ms = retry_upstream_timeout_ms(deadline, now);
		g_assert_cmpuint(below_ms, <, ms);
		g_assert_cmpuint(now + (below_ms + 1) * US_PER_MS, <=, deadline);
		ms = below_ms;
	}
	g_assert_cmpuint(retry_upstream_timeout_ms(now, now), ==, 0);
	g_assert_cmpuint(retry_upstream_timeout_ms(now - 1, now), ==, 0);
	g_assert_cmpuint(retry_upstream_timeout_ms(now + 999, now), ==, 0);
}

static void test_hedge_delay_is_a_high_percentile(void)
{
	struct hedge h;
	struct rng rng = { 3 };
	u32 over = 0;
	u32 n = 0;

	hedge_init(&h);
	g_assert_cmpuint(hedge_delay_us(&h, "archive", "page"), ==, 0);
	for (u32 i = 0; i < 20000; i++) {
		u64 took = 5 * US_PER_MS + rng_below(&rng, 20 * US_PER_MS);

		if (i >= 10000) {
			over += took > hedge_delay_us(&h, "archive", "page");
			n++;
		}
		hedge_record_latency(&h, "archive", "page", took);
	}
	g_assert_cmpuint(over * 100, >=, n * 2);
	g_assert_cmpuint(over * 100, <=, n * 8);
	g_assert_cmpuint(hedge_delay_us(&h, "archive", "other"), ==, 0);
	hedge_clear(&h);
}

/* If everything is slow, every call exceeds the percentile, but the budget still holds. */
static void test_hedges_are_a_small_share(void)
{
	struct hedge h;
	u32 hedges = 0;

	hedge_init(&h);
	for (u32 i = 0; i < 100000; i++) {
		hedge_budget_deposit(&h);
		hedges += hedge_budget_try_withdraw(&h);
	}
	g_assert_cmpuint(hedges, <=, 100000 * HEDGE_BUDGET_PERCENT / 100 + HEDGE_BUDGET_MAX / 100);
	g_assert_cmpuint(hedges, >=, 100000 * HEDGE_BUDGET_PERCENT / 100);
	hedge_clear(&h);
}

struct shedding {
	struct shed shed;
	struct rng rng;
	u64 now_us;
	u32 sent;
	u32 accepted;
	u32 calls;
};

/* Offers 1,000 calls/s of worth 1; the home nodes accept up to ACCEPT_PERMILLE of them. */
static void offer(struct shedding *s, u32 calls, u32 lowest_worth, u32 accept_permille)
{
	u64 credit = 0;

	for (u32 i = 0; i < calls; i++) {
		s->now_us += US_PER_MS;
		s->calls++;
		credit = MIN(credit + accept_permille, 5000);
		if (shed_should_refuse(&s->shed, &s->rng, "archive", "page", 1, lowest_worth,
				       s->now_us))
			continue;
		s->sent++;
		if (credit < 1000)
			continue;
		credit -= 1000;
		s->accepted++;
		shed_accepted(&s->shed, "archive", "page", s->now_us);
	}
}

static void shedding_init(struct shedding *s)
{
	memset(s, 0, sizeof(*s));
	shed_init(&s->shed);
	s->rng.state = 8;
	s->now_us = US_PER_S;
}

static void reset_counts(struct shedding *s)
{
	s->sent = 0;
	s->accepted = 0;
	s->calls = 0;
}

static void test_shedding_sends_a_few(void)
{
	struct shedding s;

	shedding_init(&s);
	offer(&s, 10000, 0, 1000);
	g_assert_cmpuint(s.sent, ==, 10000);
	offer(&s, 20000, 50, 0);
	reset_counts(&s);
	offer(&s, 10000, 50, 0);
	g_assert_cmpuint(s.sent, >, 0);
	g_assert_cmpuint(s.sent, <=, s.calls * 4 / 100);
	shed_clear(&s.shed);
}

/* A rank with a floor of 10 % at the home nodes gets it, though its other calls are shed. */
static void test_shedding_keeps_the_floor(void)
{
	struct shedding s;

	shedding_init(&s);
	offer(&s, 20000, 50, 100);
	reset_counts(&s);
	offer(&s, 20000, 50, 100);
	g_assert_cmpuint(s.accepted * 100, >=, s.calls * 9);
	g_assert_cmpuint(s.sent * 100, <=, s.calls * 30);
	shed_clear(&s.shed);
}

static void test_shedding_notices_recovery(void)
{
	struct shedding s;

	shedding_init(&s);
	offer(&s, 20000, 50, 0);
	/* The reports still say refused, but sent calls are accepted: soon all calls are sent. */
	offer(&s, 15000, 50, 1000);
	reset_counts(&s);
	offer(&s, 5000, 50, 1000);
	g_assert_cmpuint(s.accepted * 100, >=, s.calls * 95);
	shed_clear(&s.shed);
}

static void test_higher_worth_is_not_shed(void)
{
	struct shedding s;

	shedding_init(&s);
	for (u32 i = 0; i < 1000; i++)
		g_assert_false(shed_should_refuse(&s.shed, &s.rng, "archive", "submission", 50, 50,
						  s.now_us));
	shed_clear(&s.shed);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/retry/not-run-or-idempotent", test_only_not_run_or_idempotent);
	g_test_add_func("/retry/at-most-two", test_at_most_two_retries);
	g_test_add_func("/retry/budget", test_budget_is_a_share_of_answers);
	g_test_add_func("/retry/chain", test_chain_of_26_nodes);
	g_test_add_func("/retry/chain-without-mark", test_chain_without_the_mark);
	g_test_add_func("/retry/deadlines-shrink", test_deadlines_shrink_at_each_hop);
	g_test_add_func("/retry/hedge-delay", test_hedge_delay_is_a_high_percentile);
	g_test_add_func("/retry/hedge-share", test_hedges_are_a_small_share);
	g_test_add_func("/retry/shed-trickle", test_shedding_sends_a_few);
	g_test_add_func("/retry/shed-floor", test_shedding_keeps_the_floor);
	g_test_add_func("/retry/shed-recovery", test_shedding_notices_recovery);
	g_test_add_func("/retry/shed-higher-worth", test_higher_worth_is_not_shed);
	return g_test_run();
}
