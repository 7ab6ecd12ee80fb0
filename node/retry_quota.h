/*
 * spend - further sends of a request, bounded for each service over all nodes
 *
 * The bound is common to all nodes: a share of the requests for the service in
 * a window, and some more. Each node keeps to its own part of it, so the sum
 * holds without talk. Half of the share is kept for the calls that a repeated
 * run makes, which are repeats too at the service that they go to.
 *
 * SOURCE node/retry_quota.c
 */
#ifndef RETRY_QUOTA_H
#define RETRY_QUOTA_H

#include "lib/types.h"

#include <glib.h>

struct retry_quota {
	GHashTable *services; /* name -> struct retry_quota_bucket */
	u64 percent; /* of the requests, for all sends beyond the first */
	u64 slack; /* of all nodes together */
	u32 nodes;
};

void retry_quota_init(struct retry_quota *s, u64 percent, u64 slack);
void retry_quota_clear(struct retry_quota *s);

/* retry_quota_set - another bound from now on. */
void retry_quota_set(struct retry_quota *s, u64 percent, u64 slack);

/* retry_quota_set_nodes - the slack is divided among so many nodes. */
void retry_quota_set_nodes(struct retry_quota *s, u32 nodes);

/* retry_quota_deposit - a request for SERVICE came from a caller; it earns a part of a send. */
void retry_quota_deposit(struct retry_quota *s, const char *service);

/* retry_quota_try_withdraw - true when a further send to SERVICE is within the bound; it is
 * counted. */
bool retry_quota_try_withdraw(struct retry_quota *s, const char *service);

#endif
