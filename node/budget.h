/*
 * budget - a token bucket that never exceeds its limit in any one-second window
 *
 * A window of one second, wherever it starts, can take at most the burst plus the tokens
 * refilled within the window. The burst and the refill rate are chosen so that this sum
 * stays within the limit. A clock that stalls, jumps forward or steps back accumulates no
 * more than the burst.
 *
 * UNITS microseconds, tokens (probes, bytes)
 * SOURCE node/budget.c
 */
#ifndef BUDGET_H
#define BUDGET_H

#include "lib/types.h"

struct budget {
	u64 limit; /* tokens in any one-second window */
	u64 burst; /* capacity of the bucket */
	u64 micro_tokens;
	u64 refilled_us; /* time of the last refill */
	u64 taken; /* since budget_init */
	u64 denied; /* calls of budget_take that failed */
};

/*
 * budget_init - initializes a full bucket. BURST, the number of tokens that can be taken at
 * once, is at least 1 and at most LIMIT. A LIMIT of 0 denies all.
 */
void budget_init(struct budget *b, u64 limit, u64 burst, u64 now_us);

/* budget_has - returns whether TOKENS are available; takes none. */
bool budget_has(struct budget *b, u64 tokens, u64 now_us);

/* budget_take - takes TOKENS if all of them are available, and returns whether it did. */
bool budget_take(struct budget *b, u64 tokens, u64 now_us);

#endif
