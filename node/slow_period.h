/*
 * slow_period - predicts how long the VM of an upstream stays slow
 *
 * The prediction comes from the durations of the last slow periods. A slow period starts when the
 * VM is reported to be slow and ends when it is reported to be near its usual speed. This is a
 * state machine: the caller passes in the current time.
 *
 * UNITS microseconds
 * SOURCE node/slow_period.c
 */
#ifndef SLOW_PERIOD_H
#define SLOW_PERIOD_H

#include "lib/types.h"

/* A VM counts as slow from this slowness on. */
#define SLOW_PERIOD_MIN_PERCENT 300
/* Number of past slow periods whose durations are kept. */
#define SLOW_PERIOD_HISTORY 16

struct slow_period {
	u64 durations_us[SLOW_PERIOD_HISTORY];
	u32 n; /* slow periods that have ended; the last SLOW_PERIOD_HISTORY are kept */
	u64 since_us; /* start of the current slow period; 0 while the VM is not slow */
};

/* slow_period_update - records the slowness that the upstream has just reported for its VM. */
void slow_period_update(struct slow_period *p, u32 slowness_percent, u64 now_us);

/*
 * slow_period_remaining_us - returns the expected time until the current slow period ends; 0 when
 * the VM is not slow. It is the mean remaining time of the past periods that lasted longer than the
 * current one has so far. When none did, it is the time that the current one has lasted so far.
 */
u64 slow_period_remaining_us(const struct slow_period *p, u64 now_us);

#endif
