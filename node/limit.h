/*
 * limit - how many calls an upstream may run at once now
 *
 * At most the announced slots; less while the latency of calls is far over
 * the unloaded baseline, as it is when a neighbour takes the upstream's
 * processor. The baseline is kept by rank, so a change of the mix is no load.
 * A cut is an experiment: when less is done after it, the calls are slow for
 * another reason than their number, and the cut is taken back.
 *
 * UNITS microseconds
 * SOURCE node/limit.c
 */
#ifndef LIMIT_H
#define LIMIT_H

#include "lib/types.h"

#define LIMIT_RANKS_MAX 32

struct limit_rank {
	u64 baseline_us; /* 0 while unknown */
	u64 sum_us; /* of the window */
	u32 count;
};

struct limit {
	u32 slots;
	u32 now;
	u32 samples;
	u32 most_running; /* in the window */
	u64 sum_running;
	u64 window_start_us;
	u32 before_cut; /* limit; 0 without a cut under trial */
	double rate_before; /* work done a second, before the cut */
	u64 hold_us; /* no cuts for so long */
	u64 hold_until_us;
	struct limit_rank ranks[LIMIT_RANKS_MAX];
};

void limit_set_slots(struct limit *l, u32 slots);

/* limit_sample - a call of RANK took TOOK_US; at most RUNNING calls ran when it began or ended. */
void limit_sample(struct limit *l, u32 rank, u64 took_us, u32 running, u64 now_us);

/* limit_baseline_us - mean over the ranks that are known; 0 when none is. */
u64 limit_baseline_us(const struct limit *l);

/* limit_reset - the meaning of the ranks changed. */
void limit_reset(struct limit *l);

#endif
