/*
 * limit - adaptive concurrency limit of an upstream
 *
 * The limit is at most the number of slots that the upstream announces. It is cut while the latency
 * of calls is far above the baseline without load, as it is when a neighbour takes the upstream's
 * processor. Each rank has its own baseline, so that a change in the mix of ranks does not look
 * like load. A cut is an experiment: when throughput drops after it, the calls are slow for another
 * reason than their concurrency, and the cut is reverted.
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
	u64 sum_us; /* total latency in the current window */
	u32 count; /* calls in the current window */
};

struct limit {
	u32 slots;
	u32 current_limit;
	u32 samples; /* in the current window, like the next two */
	u32 max_running;
	u64 sum_running;
	u64 window_start_us;
	u32 limit_before_cut; /* 0 when no cut is being evaluated */
	double rate_before_cut; /* throughput, as returned by work_rate */
	u64 cut_backoff_us; /* doubles with each reverted cut */
	u64 no_cut_until_us;
	struct limit_rank ranks[LIMIT_RANKS_MAX];
};

/* limit_set_slots - sets the number of slots that the upstream announces. */
void limit_set_slots(struct limit *l, u32 slots);

/*
 * limit_sample - records that a call of RANK took TOOK_US. RUNNING is the larger of the numbers of
 * calls that ran at its start and at its end.
 */
void limit_sample(struct limit *l, u32 rank, u64 took_us, u32 running, u64 now_us);

/* limit_baseline_us - returns the mean of the known baselines; 0 when none is known. */
u64 limit_baseline_us(const struct limit *l);

/* limit_reset - drops the baselines and the current window, as after a change of the ranks. */
void limit_reset(struct limit *l);

#endif
