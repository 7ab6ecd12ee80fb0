/*
 * subset - the subset of a service's upstreams that a node uses
 *
 * Upstreams of the node's zone and of other zones are picked by rendezvous hashing of the
 * node's and the upstreams' names. This bounds the links and load reports of a node. If one
 * upstream changes, the subsets of few nodes change, each by one upstream.
 *
 * SOURCE wire/subset.c
 */
#ifndef SUBSET_H
#define SUBSET_H

#include "lib/types.h"

#include <glib.h>

/* Size of a subset. */
#define SUBSET_MAX 12
/* Of these, upstreams of the node's own zone; more if other zones can't fill the rest. */
#define SUBSET_OWN_ZONE 6

/* A candidate upstream. */
struct subset_item {
	const char *node;
	bool is_own_zone;
	void *arg; /* for the caller */
	u64 weight; /* rendezvous hash; set by subset_pick */
};

/* subset_seed, subset_weight - the rendezvous hash of an upstream NODE at the node of SEED */
u64 subset_seed(const char *node);
u64 subset_weight(u64 seed, const char *node);

/*
 * subset_own_share - return how many of OWN upstreams of its own zone a node uses, if there are
 * OTHERS of other zones; of these it uses as many as then fit. Numbers above SUBSET_MAX count as
 * SUBSET_MAX.
 */
u32 subset_own_share(u32 own, u32 others);

/*
 * subset_pick - reduce ITEMS (struct subset_item) to the subset for NODE, with upstreams of its
 * own zone first; return the number of these
 */
u32 subset_pick(const char *node, GArray *items);

#endif
