/*
 * choose - the entry node's choice of an upstream for a call
 *
 * A state machine over the directory and the loads that replies bring. The
 * random source and the time are passed in.
 *
 * UNITS microseconds
 * SOURCE node/choose.c
 */
#ifndef CHOOSE_H
#define CHOOSE_H

#include "lib/rng.h"
#include "lib/types.h"
#include "wire/dir_entry.h"
#include "wire/peer.h"

#include <glib.h>

/* One upstream as this entry node sees it. */
struct choose_target {
	struct dir_entry entry;
	struct peer_load load; /* as last told */
	u64 load_us; /* when; 0 for never */
	u32 sent_since; /* own calls sent after the last load */
	u32 in_flight; /* own calls without an answer */
	u64 latency_us; /* smoothed, whole call */
	u64 unreachable_until_us;
};

struct choose {
	char *zone;
	GHashTable *targets; /* node -> struct choose_target */
	struct rng rng;
};

enum choose_result { CHOOSE_ANSWERED, CHOOSE_REFUSED, CHOOSE_FAILED, CHOOSE_CANCELLED };

void choose_init(struct choose *c, const char *zone, u64 seed);
void choose_clear(struct choose *c);

/* choose_set - take an entry of the directory; a gone entry is dropped. */
void choose_set(struct choose *c, const struct dir_entry *e);

/*
 * choose_pick - an upstream of SERVICE that is not in EXCLUDE (of node names;
 * may be NULL), or NULL.
 */
struct choose_target *choose_pick(struct choose *c, const char *service, GPtrArray *exclude,
				  u64 now_us);
struct choose_target *choose_find(struct choose *c, const char *node);

/* choose_sent, choose_ended - own calls, so that the score follows at once. */
void choose_sent(struct choose_target *t);
void choose_ended(struct choose_target *t, enum choose_result result, u64 took_us, u64 now_us);
void choose_load(struct choose_target *t, const struct peer_load *load, u64 now_us);

/* choose_unreachable - no link; not chosen for a short time. */
void choose_unreachable(struct choose_target *t, u64 now_us);

#endif
