/*
 * subset - the upstreams of a service that one node uses
 *
 * By rendezvous hash of the node's and the upstreams' names, some of the node's zone and some
 * of others: it bounds the links and loads of a node, and a change of one upstream changes the
 * subsets of few nodes, each in one place.
 *
 * SOURCE wire/subset.c
 */
#ifndef SUBSET_H
#define SUBSET_H

#include "lib/types.h"

#include <glib.h>

/* Upstreams of a service that one node uses. */
#define SUBSET_MAX 12
/* Of these, as many of its own zone; places that the other zones leave free go there too. */
#define SUBSET_OWN_ZONE 6

/* An upstream that may be picked. */
struct subset_item {
	const char *node;
	bool is_own_zone;
	void *arg; /* of the caller */
	u64 weight; /* private */
};

/*
 * subset_pick - reorder ITEMS (struct subset_item) so that the picked ones stand first, those
 * of the own zone before the others, and cut it to them. Returns how many are of the own zone.
 */
u32 subset_pick(const char *node, GArray *items);

#endif
