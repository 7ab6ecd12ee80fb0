#include "node/retry_after.h"

#include <glib.h>

/* In this time a node finds a control process, or a home that was restarted is back. */
#define REPAIR_US (300 * US_PER_MS)
/* Callers wait for no more than this part of the time that they have left. */
#define LEFT_PART 3

/* Between half of SPAN_US and all of it. */
static u64 spread(u64 span_us, struct rng *rng)
{
	return span_us / 2 + rng_below(rng, (u32)MIN(span_us / 2 + 1, (u64)UINT32_MAX));
}

u64 retry_after_us(const struct retry_after *c, struct rng *rng)
{
	u64 most = c->left_us / LEFT_PART;

	switch (c->reason) {
	case CTR_NO_CONFIG:
	case CTR_NO_UPSTREAM:
	case CTR_PEER_UNREACHABLE:
	case CTR_DRAINING:
	case CTR_WRONG_HOME:
		return spread(MIN(REPAIR_US, most), rng);
	case CTR_QUEUE_WAIT:
	case CTR_QUEUE_MEMORY:
	case CTR_EVICTED:
	case CTR_SHED_AT_SOURCE:
	case CTR_UPSTREAM_SHED:
		return c->is_late ? spread(most, rng) : 0;
	default:
		return 0;
	}
}
