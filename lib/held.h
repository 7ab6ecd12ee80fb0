/*
 * held - the account of the bytes that a process holds for others
 *
 * Each holder counts its own bytes and reports every change to one account. The bound is not
 * enforced here: the holders look at the account before they take more, or give up what they hold.
 *
 * UNITS bytes
 * SOURCE lib/held.h
 */
#ifndef HELD_H
#define HELD_H

#include "lib/types.h"

struct held {
	u64 bytes;
	u64 max_bytes; /* 0: no bound */
};

/* held_update - a holder that had *COUNTED bytes has NOW. H may be NULL. */
static inline void held_update(struct held *h, u64 *counted, u64 now)
{
	if (h)
		h->bytes += now - *counted;
	*counted = now;
}

/* held_is_over - returns whether more than the bound is held. H may be NULL. */
static inline bool held_is_over(const struct held *h)
{
	return h && h->max_bytes && h->bytes > h->max_bytes;
}

#endif
