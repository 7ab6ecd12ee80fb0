/*
 * shed - backpressure at the source: an entry node refuses what all home nodes would refuse
 *
 * While every home node of a service reports that it refuses a rank, the entry node refuses
 * most calls of the rank itself. It still sends twice as many as were recently accepted, and
 * always a few: the rank keeps its floor, and a recovery is noticed.
 *
 * UNITS microseconds
 * SOURCE node/shed.c
 */
#ifndef SHED_H
#define SHED_H

#include "lib/rng.h"
#include "lib/types.h"

#include <glib.h>

struct shed {
	GHashTable *ranks; /* "service/rank" -> struct shed_rank */
};

void shed_init(struct shed *s);
void shed_clear(struct shed *s);

/*
 * shed_should_refuse - returns whether to refuse a call of WORTH here; counts the call.
 * LOWEST_WORTH is the result of choose_lowest_worth.
 */
bool shed_should_refuse(struct shed *s, struct rng *rng, const char *service, const char *rank,
			u32 worth, u32 lowest_worth, u64 now_us);

/* shed_accepted - counts a call that a home node accepted. */
void shed_accepted(struct shed *s, const char *service, const char *rank, u64 now_us);

#endif
