#include "node/retry_after.h"

#include <glib.h>

/* Time in which a node finds a control process, or a restarted home node is back. */
#define REPAIR_US (300 * US_PER_MS)
/* A delay is at most the caller's remaining time divided by this. */
#define REMAINING_DIVISOR 3

/* Returns a random delay between half of MAX_US and MAX_US. */
static u64 add_jitter(u64 max_us, struct rng *rng)
{
	return max_us / 2 + rng_below(rng, (u32)MIN(max_us / 2 + 1, (u64)UINT32_MAX));
}

u64 retry_after_us(const struct retry_after *r, struct rng *rng)
{
	u64 max_us = r->remaining_us / REMAINING_DIVISOR;

	switch (r->reason) {
	case CTR_NO_CONFIG:
	case CTR_CONFIG_NOT_CURRENT:
	case CTR_KEY_NOT_CONFIRMED:
	case CTR_QUOTA_NOT_KNOWN:
	case CTR_NO_UPSTREAM:
	case CTR_PEER_UNREACHABLE:
	case CTR_DRAINING:
	case CTR_EVACUATED:
	case CTR_STOPPING:
	case CTR_WRONG_HOME:
		return add_jitter(MIN(REPAIR_US, max_us), rng);
	case CTR_QUEUE_WAIT:
	case CTR_RATE_LIMIT:
	case CTR_QUEUE_MEMORY:
	case CTR_LINK_FULL:
	case CTR_EVICTED:
	case CTR_SHED_AT_SOURCE:
	case CTR_UPSTREAM_SHED:
		return r->is_late ? add_jitter(max_us, rng) : 0;
	default:
		return 0;
	}
}
