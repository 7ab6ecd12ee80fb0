/*
 * comeback - when a caller that was refused should ask again
 *
 * Where something is being repaired, when that is likely done. In an overload, at
 * once while the target can still be met, as another node may have a place; after
 * that as late as the caller's time allows, out of the way of those who can be in
 * time. Callers are spread, so that they don't come back at the same moment.
 *
 * UNITS microseconds
 * SOURCE node/retry_after.c
 */
#ifndef RETRY_AFTER_H
#define RETRY_AFTER_H

#include "lib/ctr.h"
#include "lib/rng.h"
#include "lib/types.h"

/* A refused call, as its entry node sees it. */
struct retry_after {
	enum ctr reason;
	u64 left_us; /* until the caller gives up */
	bool is_late; /* its target has passed, or most of it */
};

/* retry_after_us - the time to tell the caller; 0 for none: it may ask again at once. */
u64 retry_after_us(const struct retry_after *c, struct rng *rng);

#endif
