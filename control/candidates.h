/*
 * candidates - the upstreams of one service that are next in line for the subset of one node
 *
 * Holds those with the highest weights, of the node's own zone and of other zones. The subset
 * (wire/subset.h) follows from them alone. When an upstream joins or leaves, only its own weight is
 * computed. There are a few more than a subset needs, so that several can leave before all
 * upstreams of the service have to be offered again.
 *
 * SOURCE control/candidates.c
 */
#ifndef CANDIDATES_H
#define CANDIDATES_H

#include "wire/subset.h"

#define CANDIDATES_SPARE 4
#define CANDIDATES_MAX (SUBSET_MAX + CANDIDATES_SPARE)

struct candidate {
	u64 weight; /* subset_weight; identifies the upstream */
	void *arg; /* for the caller */
};

/* The upstreams with the highest weights, by falling weight. */
struct candidate_list {
	struct candidate best[CANDIDATES_MAX];
	u32 len;
	bool is_partial; /* the service has others with lower weights */
};

struct candidates {
	struct candidate_list own_zone;
	struct candidate_list others;
};

/* candidates_offer - an upstream has joined; return whether it is now a candidate */
bool candidates_offer(struct candidates *c, bool is_own_zone, struct candidate candidate);

/* candidates_remove - an upstream has left; return whether it was a candidate */
bool candidates_remove(struct candidates *c, u64 weight);

/*
 * candidates_are_short - return whether too many have left: the caller has to clear C to zeros and
 * offer all upstreams of the service
 */
bool candidates_are_short(const struct candidates *c);

/*
 * candidates_pick - write the subset to OUT, an array of SUBSET_MAX, with upstreams of the own zone
 * first; return their number
 */
u32 candidates_pick(const struct candidates *c, struct candidate *out);

#endif
