/*
 * shed - backpressure at the source: an entry node refuses what all home nodes would refuse
 *
 * While every home node of a service reports that it refuses a rank, the entry node refuses
 * most calls of the rank itself. It still sends twice as many as were recently accepted, and
 * always a few: the rank keeps its floor, and a recovery is noticed.
 *
 * Calls of organisations are counted for each of them: home nodes give them shares of their slots,
 * so that what they refuse of one that floods says nothing of the others. The first few calls of an
 * organisation are sent.
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
	GHashTable *ranks; /* "service/rank" and "service/rank/organisation" -> struct shed_rank */
};

/* Whose calls are counted together. */
struct shed_key {
	const char *service;
	const char *rank;
	u64 organisation; /* hash of its name; 0 for none */
};

void shed_init(struct shed *s);
void shed_clear(struct shed *s);

/*
 * shed_should_refuse - returns whether to refuse a call of WORTH here; counts the call.
 * LOWEST_WORTH is the result of choose_lowest_worth.
 */
bool shed_should_refuse(struct shed *s, struct rng *rng, const char *service, const char *rank,
			u32 worth, u32 lowest_worth, u64 now_us);

bool shed_should_refuse_of(struct shed *s, struct rng *rng, const struct shed_key *key, u32 worth,
			   u32 lowest_worth, u64 now_us);

/* shed_preview - returns the same as shed_should_refuse_of, and changes nothing but RNG. */
bool shed_preview(const struct shed *s, struct rng *rng, const struct shed_key *key, u32 worth,
		  u32 lowest_worth, u64 now_us);

/*
 * shed_take_refused - returns the calls of KEY that were refused here since the last time; the next
 * call reports them, so that the home node knows how often its organisation is served.
 */
u32 shed_take_refused(struct shed *s, const struct shed_key *key, u64 now_us);

/* shed_accepted - counts a call that a home node accepted. */
void shed_accepted(struct shed *s, const char *service, const char *rank, u64 now_us);
void shed_accepted_of(struct shed *s, const struct shed_key *key, u64 now_us);

#endif
