/*
 * cold - how long the upstream beside this node is cold, and takes calls at a low rate only
 *
 * An upstream says so in its announcements and in the answers of its health path, and may become
 * cold again at any moment. An announcement may be seconds old and an answer may be a copy of an
 * earlier one, so nothing that they say ends a time that was named before.
 *
 * This is a state machine: the caller passes in the time.
 *
 * UNITS microseconds
 * SOURCE node/cold.c
 */
#ifndef COLD_H
#define COLD_H

#include "lib/types.h"

/* An answer of the health path that is older does not say whether the upstream is cold now. */
#define COLD_HEARD_MAX_AGE_US (500 * US_PER_MS)

/* What a cold upstream takes beyond its declared rate, in any second. */
struct cold_tolerance {
	u64 overage_percent; /* of the rate; 100 for none */
	u64 slack; /* calls */
};

/*
 * cold_start_rate - returns the rate, in thousandths a second, at which calls may start at an
 * upstream that declares DECLARED, and sets the burst. It uses the tolerance but for the calls that
 * the burst and their way to the upstream may add to a second.
 */
u64 cold_start_rate(u64 declared, const struct cold_tolerance *t, u64 *burst_us);

struct cold {
	u64 until_us; /* when the upstream stops being cold */
	u64 heard_us; /* when the last answer of the health path was asked for; 0: never */
};

/* cold_reset - another upstream, or another start of it, takes the place of the one before. */
void cold_reset(struct cold *c);

/* cold_announced - an announcement says that the upstream is cold for REMAINING_US more. */
void cold_announced(struct cold *c, u64 remaining_us, u64 now_us);

/* cold_heard - an answer of the health path to a request sent at SENT_US says the same. */
void cold_heard(struct cold *c, u64 remaining_us, u64 sent_us, u64 now_us);

/* cold_is_known - returns whether the last answer of the health path is recent enough. */
bool cold_is_known(const struct cold *c, u64 now_us);

#endif
