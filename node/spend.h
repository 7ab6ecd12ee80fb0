/*
 * spend - further sends of a request, bounded for each service over all nodes
 *
 * The bound is common to all nodes: a share of the requests for the service in
 * a window, and some more. Each node keeps to its own part of it, so the sum
 * holds without talk. Half of the share is kept for the calls that a repeated
 * run makes, which are repeats too at the service that they go to.
 *
 * SOURCE node/spend.c
 */
#ifndef SPEND_H
#define SPEND_H

#include "lib/types.h"

#include <glib.h>

struct spend {
	GHashTable *services; /* name -> struct spend_service */
	u64 percent; /* of the requests, for all sends beyond the first */
	u64 slack; /* of all nodes together */
	u32 nodes;
};

void spend_init(struct spend *s, u64 percent, u64 slack);
void spend_clear(struct spend *s);

/* spend_set - another bound from now on. */
void spend_set(struct spend *s, u64 percent, u64 slack);

/* spend_nodes - the slack is divided among so many nodes. */
void spend_nodes(struct spend *s, u32 nodes);

/* spend_requested - a request for SERVICE came from a caller; it earns a part of a send. */
void spend_requested(struct spend *s, const char *service);

/* spend_take - true when a further send to SERVICE is within the bound; it is counted. */
bool spend_take(struct spend *s, const char *service);

#endif
