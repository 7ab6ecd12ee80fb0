/*
 * age - how long ago a caller began to ask, told from the time that it has left
 *
 * Callers that try again send less time left with each attempt. Where most
 * requests of a route tell the same, longest time, one that tells less is such
 * a further attempt, and its target has partly passed.
 *
 * UNITS milliseconds
 * SOURCE node/age.c
 */
#ifndef AGE_H
#define AGE_H

#include "lib/types.h"

/* What the requests of one route tell. */
struct age {
	u64 whole_ms; /* the longest time told; 0 before the first */
	double whole_part; /* smoothed part of the requests that tell it */
	u32 others; /* requests in a row that told less */
};

/* age_ms - the age of a request that tells LEFT_MS; 0 when it can't be told. */
u64 age_ms(struct age *a, u64 left_ms);

#endif
