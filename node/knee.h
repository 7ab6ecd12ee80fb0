/*
 * knee - finds the concurrency at which an upstream has its highest throughput
 *
 * Some upstreams slow down near their capacity, so that a higher concurrency lowers their
 * throughput. Samples are grouped by level: the mean number of calls that ran while the sampled
 * call did, itself included. The knee is the level that best separates calls of usual duration from
 * longer ones, provided that throughput is lower above it. Samples above the knee decay over time
 * and these levels are tried again, as the upstream may change.
 *
 * Concurrency also rises when calls take longer for another reason. So the knee is used only for
 * upstreams that report the slowness of their VM, which is factored out of the samples.
 *
 * The first quartiles of the samples below and above a level are compared. A knee makes all calls
 * longer; a dependency of the upstream that is slow makes only some of them longer.
 *
 * UNITS microseconds of work: time that a call takes at the VM's usual speed
 * SOURCE node/knee.c
 */
#ifndef KNEE_H
#define KNEE_H

#include "lib/types.h"

#define KNEE_LEVELS_MAX 128
#define KNEE_RANKS_MAX 32

#define KNEE_LEVEL_SAMPLES 48

/* The last samples of one level. */
struct knee_level {
	u32 samples;
	u32 next; /* index of the next sample */
	float log_work[KNEE_LEVEL_SAMPLES];
	u8 rank[KNEE_LEVEL_SAMPLES];
};

struct knee {
	u32 slots;
	u32 nranks; /* highest rank sampled so far, plus 1 */
	u32 current_limit;
	bool is_found; /* in this upstream's own samples */
	u32 adopted; /* knee of other upstreams of the service; 0 for none */
	u32 new_samples; /* since the last search */
	u64 decayed_us; /* time of the last decay */
	struct knee_level levels[KNEE_LEVELS_MAX + 1];
};

/* knee_set_slots - sets the number of slots, and drops all samples when it changes. */
void knee_set_slots(struct knee *k, u32 slots);

/* knee_sample - records a call of RANK that took WORK_US while on average LEVEL calls ran. */
void knee_sample(struct knee *k, u32 rank, u64 work_us, u32 level, u64 now_us);

/*
 * knee_adopt - sets the knee that other upstreams of the service found. It applies while none is
 * found in own samples.
 */
void knee_adopt(struct knee *k, u32 limit);

/* knee_reset - drops all samples and the knee, as after a change of the ranks. */
void knee_reset(struct knee *k);

#endif
