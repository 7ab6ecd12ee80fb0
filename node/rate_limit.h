/*
 * rate_limit - how many calls a second may start, as a leaky bucket (GCRA)
 *
 * Calls are spaced by one interval each. Unused time is kept up to a bound, the burst, so that
 * calls that arrive together need not wait for each other. This is a state machine: the caller
 * passes in the current time.
 *
 * UNITS microseconds, thousandths of a call per second
 * SOURCE node/rate_limit.c
 */
#ifndef RATE_LIMIT_H
#define RATE_LIMIT_H

#include "lib/types.h"

/* A VM may be slow for about this long; calls that start later then make up for it. */
#define RATE_LIMIT_BURST_US (500 * US_PER_MS)
/* Even at a rate of 0 a call starts this often, since its answer tells when the limit ends. */
#define RATE_LIMIT_INTERVAL_MAX_US (2 * US_PER_S)

struct rate_limit {
	u64 interval_us; /* between calls; 0: no limit */
	u64 burst_us; /* unused time that is kept */
	u64 due_us; /* when the calls so far are paid off */
};

/*
 * rate_limit_set - sets the rate and the burst, as a rule RATE_LIMIT_BURST_US. The first call may
 * start within one interval.
 */
void rate_limit_set(struct rate_limit *r, u64 milli_per_s, u64 burst_us, u64 now_us);

/* rate_limit_use_burst - no unused time is left: the next call starts an interval from now. */
void rate_limit_use_burst(struct rate_limit *r, u64 now_us);

/* rate_limit_remove - removes the limit. */
void rate_limit_remove(struct rate_limit *r);

/* rate_limit_next_us - returns when the call after AHEAD others may start; 0 without a limit. */
u64 rate_limit_next_us(const struct rate_limit *r, u64 ahead);

/* rate_limit_take - records a call that starts now. */
void rate_limit_take(struct rate_limit *r, u64 now_us);

#endif
