/*
 * comeback - when a caller that was refused should ask again
 *
 * Where something is being repaired, when that is likely done. In an overload, at
 * once while the target can still be met, as another node may have a place; after
 * that as late as the caller's time allows, out of the way of those who can be in
 * time. Callers are spread, so that they don't come back at the same moment.
 *
 * UNITS microseconds
 * SOURCE node/comeback.c
 */
#ifndef COMEBACK_H
#define COMEBACK_H

#include "lib/ctr.h"
#include "lib/rng.h"
#include "lib/types.h"

/* A refused call, as its entry node sees it. */
struct comeback {
	enum ctr reason;
	u64 left_us; /* until the caller gives up */
	bool is_late; /* its target has passed, or most of it */
};

/* comeback_us - the time to tell the caller; 0 for none: it may ask again at once. */
u64 comeback_us(const struct comeback *c, struct rng *rng);

#endif
