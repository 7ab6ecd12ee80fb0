/*
 * access - whether a call may run, by its key and what this node knows of keys
 *
 * A state machine without state: the caller passes in all that counts. A key that was taken away
 * must not be accepted for long, so a node that may have missed that accepts none.
 *
 * UNITS microseconds
 * SOURCE node/access.c
 */
#ifndef ACCESS_H
#define ACCESS_H

#include "lib/ctr.h"
#include "lib/types.h"

/* What a call says of itself. */
enum access_key { ACCESS_KEY_NONE, ACCESS_KEY_UNKNOWN, ACCESS_KEY_KNOWN };

struct access_call {
	enum access_key key;
	bool is_anonymous; /* its route needs no key */
	u64 confirmed_us; /* when the configuration was last known to be the newest; 0: never */
	u64 limit_us; /* how long ago that may be; 0: any time */
	u64 now_us;
};

/* Left for the way of the call from its caller to this node. */
#define ACCESS_MARGIN_US (250 * US_PER_MS)

/*
 * access_decide - returns CTR_CALLS if the call may run, or the reason why not: CTR_NO_KEY or
 * CTR_UNKNOWN_KEY (the caller has no access), CTR_KEY_NOT_CONFIRMED (this node can't tell).
 */
enum ctr access_decide(const struct access_call *call);

#endif
