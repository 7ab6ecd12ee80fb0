/*
 * scenario - an upstream behind admission, simulated with a virtual clock
 *
 * Calls of two ranks arrive at random; each takes a random time around that of its rank.
 *
 * UNITS microseconds, calls per second
 * SOURCE test/fakes/scenario.c
 */
#ifndef SCENARIO_H
#define SCENARIO_H

#include "lib/rng.h"
#include "node/admit.h"

#define SCENARIO_SLOTS 12
#define SCENARIO_RANKS 2
#define SCENARIO_TOP 0
#define SCENARIO_LOW 1

extern const struct admit_rank scenario_ranks[SCENARIO_RANKS];

struct scenario {
	struct admit a;
	struct rng rng;
	u64 now_us;
	GPtrArray *running;
	u64 per_s[SCENARIO_RANKS]; /* arrivals by rank */
	u64 service_us[SCENARIO_RANKS];
	u32 parallel; /* calls slow each other down when more than this run; 0 for never */
	u64 slot_time_us[SCENARIO_RANKS];
	u32 arrived[SCENARIO_RANKS];
	u32 done[SCENARIO_RANKS];
	u32 in_target[SCENARIO_RANKS];
	size_t most_bytes;
};

void scenario_init(struct scenario *s, u64 top_per_s, u64 low_per_s);
void scenario_clear(struct scenario *s);
void scenario_run(struct scenario *s, u64 for_us);

/* scenario_reset_counts - forgets what was counted so far; the calls go on. */
void scenario_reset_counts(struct scenario *s);

#endif
