/*
 * pace - interval at which the node polls an upstream for its slowness
 *
 * A poll only helps calls that follow it, so the polling rate goes down with the call rate.
 *
 * UNITS microseconds
 * SOURCE node/pace.c
 */
#ifndef PACE_H
#define PACE_H

#include "lib/types.h"

#define PACE_POLLS_PER_CALL 2
/* Longest interval while the upstream is in use: deferred calls wait for the next poll. */
#define PACE_INTERVAL_MAX_US (100 * US_PER_MS)

struct pace {
	u64 interval_min_us; /* shortest interval; 0 when the upstream is not polled */
	u64 last_call_us;
	u64 mean_gap_us; /* smoothed time between calls */
};

/* pace_record_call - records the arrival of a call. */
void pace_record_call(struct pace *p, u64 now_us);

/* pace_interval_us - returns the current time between polls. */
u64 pace_interval_us(const struct pace *p);

#endif
