/*
 * age - estimates how long ago a caller made its first attempt
 *
 * A caller that retries sends a shorter timeout with each attempt: the time that remains of its
 * original one. Where most requests of a route carry the same, longest timeout, a request with a
 * shorter one is taken for a retry, and part of its target has already passed.
 *
 * UNITS milliseconds
 * SOURCE node/age.c
 */
#ifndef AGE_H
#define AGE_H

#include "lib/types.h"

/* The timeouts that the requests of one route carry. */
struct age {
	u64 full_ms; /* the longest timeout; 0 before the first request */
	double full_fraction; /* smoothed fraction of the requests that carry it */
	u32 shorter; /* consecutive requests with a shorter timeout */
};

/*
 * age_is_retry - returns whether a request with timeout TIMEOUT_MS, and the age that age_ms has
 * returned for it, is probably a retry. Where callers set different timeouts, one that is far below
 * the longest is taken for that of a retry, though its age can't be estimated.
 */
bool age_is_retry(const struct age *a, u64 timeout_ms, u64 age_ms);

/* age_ms - returns the age of a request with timeout TIMEOUT_MS; 0 if it can't be estimated. */
u64 age_ms(struct age *a, u64 timeout_ms);

#endif
