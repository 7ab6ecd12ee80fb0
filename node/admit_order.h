/*
 * admit_order - the order of the calls of one rank
 *
 * Calls of a rank are worth the same, so the order is by the value lost per slot time: short calls
 * with a near target first. The key of a call is the time at which it has to start at the latest,
 * later for long calls and earlier for short ones (the apparent tardiness cost rule). Length counts
 * only as far as calls of the rank are refused or wait for long: else all can be served in time by
 * their latest starts. The key is fixed when the call is queued and grows with the time of arrival,
 * so that no call is passed by others for ever.
 *
 * Long calls are served at least 30 % as often as all of the rank (share_is_below_floor).
 *
 * The order applies while a call waits whose expected work differs clearly from that of its rank.
 * Else calls start in the order of arrival. admit_share limits which organisations take part.
 *
 * UNITS microseconds
 * SOURCE node/admit_order.c
 */
#ifndef ADMIT_ORDER_H
#define ADMIT_ORDER_H

#include "node/admit.h"

/* The queued calls of its rank that start before a new one. */
struct order_ahead {
	u64 work_us;
	u64 calls;
};

/*
 * order_prepare - sets the expected work and the key of R, which is about to be queued; returns how
 * long it may wait.
 */
u64 order_prepare(struct admit *a, struct admit_req *r);

/* order_queued, order_left - R joins or leaves the queue. */
void order_queued(struct admit *a, struct admit_req *r);
void order_left(struct admit *a, struct admit_req *r);

/* order_count - counts a call that started, or was refused. */
void order_count(struct admit *a, const struct admit_req *r, bool is_served);

/* order_is_by_arrival - returns whether calls of R's rank start in the order of arrival. */
bool order_is_by_arrival(const struct admit *a, const struct admit_req *r);

/* order_ahead - returns the calls that start before R, which is not queued yet. */
struct order_ahead order_ahead(const struct admit *a, const struct admit_req *r);

/* order_pick - returns the call of RANK, which has waiting calls, to start next. */
struct admit_req *order_pick(const struct admit *a, u32 rank);

/* order_charge, order_done - R starts or ends: updates shares and estimates. */
void order_charge(struct admit *a, struct admit_req *r);
void order_done(struct admit *a, const struct admit_req *r, bool is_served);

#endif
