/*
 * retry_after - the Retry-After delay that a refused caller is given
 *
 * If the cause is being repaired, the delay is about the time a repair takes. In an overload
 * there is no delay while the call can still meet its target, since another node may have a
 * free slot; after that the delay is as long as the caller's remaining time allows, which
 * leaves the slots to calls that can still meet their targets. A random part in the delay
 * keeps callers from returning all at once.
 *
 * UNITS microseconds
 * SOURCE node/retry_after.c
 */
#ifndef RETRY_AFTER_H
#define RETRY_AFTER_H

#include "lib/ctr.h"
#include "lib/rng.h"
#include "lib/types.h"

/* A refused call as its entry node sees it. */
struct retry_after {
	enum ctr reason;
	u64 remaining_us; /* until the deadline of the caller */
	bool is_late; /* all or most of its target time has passed */
};

/* retry_after_us - returns the delay to send to the caller; 0: it may retry at once. */
u64 retry_after_us(const struct retry_after *r, struct rng *rng);

#endif
