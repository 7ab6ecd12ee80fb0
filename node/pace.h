/*
 * pace - how often to ask an upstream for its speed: what is asked serves the calls that come,
 * so fewer calls are worth fewer questions
 *
 * UNITS microseconds
 * SOURCE node/pace.c
 */
#ifndef PACE_H
#define PACE_H

#include "lib/types.h"

#define PACE_POLLS_PER_CALL 2
/* In use, an upstream is asked at least this often: held calls wait for the answer. */
#define PACE_INTERVAL_MAX_US (100 * US_PER_MS)

struct pace {
	u64 interval_min_us; /* the shortest interval; 0: the upstream is not asked */
	u64 called_us; /* the last call */
	u64 gap_us; /* smoothed time between two calls */
};

/* pace_call - a call came. */
void pace_call(struct pace *p, u64 now_us);

/* pace_interval_us - the time between two questions now. */
u64 pace_interval_us(const struct pace *p);

#endif
