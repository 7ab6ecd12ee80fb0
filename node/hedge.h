/*
 * hedge - when a slow idempotent call gets a second try beside the first
 *
 * The delay is a high percentile of the latency of the rank. The budget is a
 * small share of the calls, so that a general slowness is not made worse.
 *
 * UNITS microseconds
 * SOURCE node/hedge.c
 */
#ifndef HEDGE_H
#define HEDGE_H

#include "lib/types.h"

#include <glib.h>

#define HEDGE_BUDGET_PERCENT 5
#define HEDGE_BUDGET_MAX 1000 /* in hundredths of a hedge */

struct hedge {
	GHashTable *delays; /* "service/rank" -> struct hedge_delay */
	u32 hundredths;
};

void hedge_init(struct hedge *h);
void hedge_clear(struct hedge *h);

/* hedge_call_started - an idempotent call began; it earns a share of a hedge. */
void hedge_call_started(struct hedge *h);

/* hedge_record_latency - a call was answered after TOOK_US. */
void hedge_record_latency(struct hedge *h, const char *service, const char *rank, u64 took_us);

/* hedge_delay_us - after so long a second try is due; 0 while too little is known. */
u64 hedge_delay_us(struct hedge *h, const char *service, const char *rank);

/* hedge_take_budget - true when the budget allows a second try now. */
bool hedge_take_budget(struct hedge *h);

#endif
