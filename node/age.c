#include "node/age.h"

#include <glib.h>

#define SMOOTHING 64 /* divisor of the exponential moving average */
/* If a smaller fraction of requests carries the full timeout, callers set different timeouts. */
#define FULL_FRACTION_MIN 0.4
/* Equal timeouts may differ this much through rounding and the network delay to this node. */
#define TOLERANCE_PERCENT 2
/* After this many consecutive shorter timeouts, the full timeout is taken to be shorter now. */
#define SHORTER_MAX 256

/* Callers wait for up to a third of their remaining time before a retry. */
#define RETRY_PERCENT 75

bool age_is_retry(const struct age *a, u64 timeout_ms, u64 age_ms)
{
	return age_ms || timeout_ms < a->full_ms * RETRY_PERCENT / 100;
}

u64 age_ms(struct age *a, u64 timeout_ms)
{
	u64 tolerance_ms = a->full_ms * TOLERANCE_PERCENT / 100;
	bool is_full = timeout_ms + tolerance_ms >= a->full_ms;

	if (timeout_ms > a->full_ms || a->shorter >= SHORTER_MAX)
		*a = (struct age){ .full_ms = timeout_ms, .full_fraction = a->full_fraction };
	a->shorter = is_full ? 0 : a->shorter + 1;
	a->full_fraction += ((is_full ? 1 : 0) - a->full_fraction) / SMOOTHING;
	if (is_full || a->full_fraction < FULL_FRACTION_MIN)
		return 0;
	return a->full_ms - timeout_ms;
}
