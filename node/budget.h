/*
 * budget - a token bucket that never gives more than its limit in any second
 *
 * In any second, wherever it begins, at most the depth that was saved plus what
 * was refilled since can be taken, and depth plus refill are set so that this
 * is the limit. A clock that stalls, jumps or goes back saves up no more than
 * the depth.
 *
 * UNITS microseconds, tokens (probes, bytes)
 * SOURCE node/budget.c
 */
#ifndef BUDGET_H
#define BUDGET_H

#include "lib/types.h"

struct budget {
	u64 limit; /* tokens in any second */
	u64 depth;
	u64 micro_tokens;
	u64 filled_us;
	u64 taken; /* since the start */
	u64 denied;
};

/* budget_init - DEPTH tokens, cut to LIMIT, may be taken at once. */
void budget_init(struct budget *b, u64 limit, u64 depth, u64 now_us);

bool budget_has(struct budget *b, u64 tokens, u64 now_us);

/* budget_take - true when TOKENS were there and are taken now. */
bool budget_take(struct budget *b, u64 tokens, u64 now_us);

#endif
