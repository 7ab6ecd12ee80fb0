/*
 * spell - how long the VM of an upstream stays slow, as learned from the last times
 *
 * A state machine: the time comes with each call. A spell begins when the VM
 * is told to be slow and ends when it is told to be near its usual speed.
 *
 * UNITS microseconds
 * SOURCE node/slow_period.c
 */
#ifndef SLOW_PERIOD_H
#define SLOW_PERIOD_H

#include "lib/types.h"

/* From this slowness on a VM counts as slow. */
#define SLOW_PERIOD_MIN_PERCENT 300
/* Spells that are remembered. */
#define SLOW_PERIOD_HISTORY 16

struct slow_period {
	u64 lengths_us[SLOW_PERIOD_HISTORY];
	u32 n; /* spells seen; the last SLOW_PERIOD_HISTORY of them are remembered */
	u64 since_us; /* the present spell; 0 while the VM is not slow */
};

/* slow_period_update - what is told of the VM now. */
void slow_period_update(struct slow_period *s, u32 slowness_percent, u64 now_us);

/*
 * slow_period_remaining_us - the mean rest of the remembered spells that lasted longer than the
 * present one has; of a spell longer than all of them, as long as it has lasted. 0 without a spell.
 */
u64 slow_period_remaining_us(const struct slow_period *s, u64 now_us);

#endif
