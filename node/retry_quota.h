/*
 * retry_quota - bounds the retries and hedges of each service over all nodes
 *
 * In a window, all nodes together may send a percentage of the service's requests again, plus a
 * fixed slack. Each node limits itself to its part of this bound with a token bucket for each
 * service, so the sum holds without coordination. Half of the bound is reserved for nested calls:
 * a call that runs again makes its own calls again, which are repeats at their services, too.
 *
 * SOURCE node/retry_quota.c
 */
#ifndef RETRY_QUOTA_H
#define RETRY_QUOTA_H

#include "lib/types.h"

#include <glib.h>

struct retry_quota {
	GHashTable *services; /* name -> struct retry_quota_bucket */
	u64 percent; /* bound of all sends beyond the first, in percent of the requests */
	u64 slack; /* further sends that all nodes together may make beyond PERCENT */
	u32 nodes;
};

void retry_quota_init(struct retry_quota *q, u64 percent, u64 slack);
void retry_quota_clear(struct retry_quota *q);

/* retry_quota_set - changes the bound; tokens already in the buckets stay. */
void retry_quota_set(struct retry_quota *q, u64 percent, u64 slack);

/* retry_quota_set_nodes - sets the number of nodes among which the slack is divided. */
void retry_quota_set_nodes(struct retry_quota *q, u32 nodes);

/* retry_quota_deposit - adds to the bucket of SERVICE what one request of a caller earns. */
void retry_quota_deposit(struct retry_quota *q, const char *service);

/*
 * retry_quota_try_withdraw - takes the tokens of one further send to SERVICE. Returns whether the
 * bucket had them, that is, whether the send is within the bound.
 */
bool retry_quota_try_withdraw(struct retry_quota *q, const char *service);

#endif
