/*
 * hedge - decides when a slow idempotent call gets a second, concurrent attempt
 *
 * The delay is a high percentile of the latency of the rank. The budget is a small share of
 * the calls, so that hedging does not make a general slowdown worse.
 *
 * UNITS microseconds
 * SOURCE node/hedge.c
 */
#ifndef HEDGE_H
#define HEDGE_H

#include "lib/types.h"

#include <glib.h>

#define HEDGE_BUDGET_PERCENT 5 /* of idempotent calls */
#define HEDGE_BUDGET_MAX 1000 /* in hundredths of a hedge */

struct hedge {
	GHashTable *delays; /* "service/rank" -> struct hedge_delay */
	u32 hundredths; /* available budget, in hundredths of a hedge */
};

void hedge_init(struct hedge *h);
void hedge_clear(struct hedge *h);

/* hedge_budget_deposit - adds the share of one idempotent call to the budget. */
void hedge_budget_deposit(struct hedge *h);

/* hedge_record_latency - records that a call was answered after TOOK_US. */
void hedge_record_latency(struct hedge *h, const char *service, const char *rank, u64 took_us);

/*
 * hedge_delay_us - returns how long after the first attempt a second one is due, or 0 while
 * there are too few latency samples.
 */
u64 hedge_delay_us(struct hedge *h, const char *service, const char *rank);

/* hedge_budget_try_withdraw - takes one hedge from the budget; returns false if there is none. */
bool hedge_budget_try_withdraw(struct hedge *h);

#endif
