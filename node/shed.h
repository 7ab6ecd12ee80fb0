/*
 * shed - push back at the source: an entry node refuses what the homes refuse
 *
 * While every home node of a service tells that it refuses a rank, most calls
 * of the rank are refused here, but twice as many as were taken lately are
 * sent, and always some: so a rank keeps its floor, and recovery is noticed.
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
 * shed_should_refuse - true when a call of WORTH is refused here. LOWEST_WORTH is that
 * of choose_lowest_worth.
 */
bool shed_should_refuse(struct shed *s, struct rng *rng, const char *service, const char *rank,
			u32 worth, u32 lowest_worth, u64 now_us);

/* shed_accepted - a home node took a call that was sent. */
void shed_accepted(struct shed *s, const char *service, const char *rank, u64 now_us);

#endif
