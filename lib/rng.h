/*
 * rng - a small pseudorandom number generator (splitmix64), passed to the code that decides
 *
 * The same seed gives the same sequence, so tests are reproducible.
 */
#ifndef RNG_H
#define RNG_H

#include "lib/types.h"

struct rng {
	u64 state;
};

static inline u64 rng_next(struct rng *r)
{
	u64 z = (r->state += 0x9e3779b97f4a7c15ULL);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

/* rng_below - returns a number in [0, n); n must not be 0. */
static inline u32 rng_below(struct rng *r, u32 n)
{
	return (u32)(((rng_next(r) >> 32) * n) >> 32);
}

#endif
