#include "node/pace.h"

#include <glib.h>

#define SMOOTHING 8 /* divisor of the exponential moving average */
/* Caps the gap that a pause contributes: its length says nothing about the call rate. */
#define GAP_MAX_US (1 * US_PER_S)

void pace_record_call(struct pace *p, u64 now_us)
{
	u64 gap_us = MIN(now_us - p->last_call_us, GAP_MAX_US);

	p->mean_gap_us = (p->mean_gap_us * (SMOOTHING - 1) + gap_us) / SMOOTHING;
	p->last_call_us = now_us;
}

u64 pace_interval_us(const struct pace *p)
{
	u64 wanted_us = MIN(p->mean_gap_us / PACE_POLLS_PER_CALL, PACE_INTERVAL_MAX_US);

	return MAX(wanted_us, p->interval_min_us);
}
