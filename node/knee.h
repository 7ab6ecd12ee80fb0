/*
 * knee - the number of calls at which an upstream does most
 *
 * Some upstreams take longer for each call when they are nearly full, so that
 * more calls at once get less done. Calls are sorted by how many ran beside
 * them. The knee is the number that best divides them into usual and longer
 * ones, when the longer ones take so long that less is done above it. What is
 * known of the numbers above it is forgotten with time, and they are tried
 * again, as the upstream may change.
 *
 * More calls run at once when each takes longer for another reason, so this is
 * for upstreams that tell how slow their VM is: that is taken out of the times.
 *
 * Compared are the shorter calls of each side, at their first quartile: a knee
 * makes all calls longer, while what the upstream itself waits for, as calls of
 * its own, makes some of them longer.
 *
 * UNITS microseconds of work: time at the VM's usual speed
 * SOURCE node/knee.c
 */
#ifndef KNEE_H
#define KNEE_H

#include "lib/types.h"

#define KNEE_LEVELS_MAX 128
#define KNEE_RANKS_MAX 32

#define KNEE_LEVEL_SAMPLES 48

/* The last calls beside which, on average, so many ran, itself included. */
struct knee_level {
	u32 samples;
	u32 next; /* the place of the next sample */
	float work[KNEE_LEVEL_SAMPLES]; /* logarithm of what the call did */
	u8 rank[KNEE_LEVEL_SAMPLES];
};

struct knee {
	u32 slots;
	u32 nranks; /* ranks that were seen */
	u32 now; /* calls that run at once */
	bool is_found; /* by samples of its own */
	u32 adopted; /* what others found; 0 for nothing */
	u32 fresh; /* samples since the last look */
	u64 forgot_us;
	struct knee_level levels[KNEE_LEVELS_MAX + 1];
};

/* knee_set_slots - forgets all when the number changes. */
void knee_set_slots(struct knee *k, u32 slots);

/* knee_sample - a call of RANK did WORK_US while on average LEVEL calls ran. */
void knee_sample(struct knee *k, u32 rank, u64 work_us, u32 level, u64 now_us);

/* knee_adopt - the limit that others of the service found, while none is found here. */
void knee_adopt(struct knee *k, u32 limit);

/* knee_reset - the meaning of the ranks changed. */
void knee_reset(struct knee *k);

#endif
