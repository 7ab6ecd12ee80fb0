/* Shared by node/choose.c and node/choose_preview.c. Nothing here changes the state of choose. */
#ifndef CHOOSE_IMPL_H
#define CHOOSE_IMPL_H

#include "node/choose.h"

/* One selection of an upstream. */
struct choose_selection {
	struct rng *rng;
	GPtrArray *sampled; /* records the targets that were compared; may be NULL */
	const struct choose_call *call;
	u64 too_slow_us; /* upstreams that report a longer time are passed over */
	u64 now_us;
	struct choose_target *best;
	u64 best_score;
};

/* choose_build_subset - stores the subset of S in OUT; returns how many are in the own zone. */
u32 choose_build_subset(const struct choose *c, const struct choose_service *s, GPtrArray *out);

/* choose_select - selects from S, whose subset and typical time are up to date. */
struct choose_target *choose_select(struct choose_selection *sel, const struct choose_service *s);

/*
 * choose_median_call_us - returns the median call time that the upstreams of the subset report for
 * WORTH, or, if none does, the median over calls of all ranks.
 */
u64 choose_median_call_us(const struct choose_service *s, u32 worth);

/* choose_subset_lowest_worth - as choose_lowest_worth, of the upstreams of SUBSET. */
u32 choose_subset_lowest_worth(const GPtrArray *subset, u64 now_us);

#endif
