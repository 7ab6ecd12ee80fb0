/*
 * route - whose a call is, which service and rank it has, and whether this node takes it
 *
 * Used for calls, and for questions where one would go (node/where.c), which change nothing.
 *
 * UNITS microseconds
 * SOURCE node/route.c
 */
#ifndef ROUTE_H
#define ROUTE_H

#include "node/node.h"

/* The time that callers have who name none. */
#define ROUTE_DEFAULT_TIMEOUT_MS 30000
/* The longest that a question may name: a day. */
#define ROUTE_QUESTION_TIMEOUT_MAX_MS 86400000

struct route_request {
	struct entry_call *call; /* with its message and deadline; the decision fills in the rest */
	struct rng *rng;
	bool is_question; /* the credit and the ages of the route stay as they are */
	const char *organisation; /* that a question names; may be NULL */
	/* set by route_decide */
	char *route_key; /* as set_route_key, of a question; NULL for none */
	bool needs_token; /* the organisation has a limit */
	bool is_again; /* probably a retry */
};

/*
 * route_decide - finds the route, service, rank and organisation of a call. Returns CTR_CALLS, or
 * the reason why the call must be refused, and the HTTP status of that refusal.
 */
enum ctr route_decide(const struct node *n, struct route_request *r, u64 now_us, u16 *status);

/*
 * route_refusal - returns REASON, or CTR_CONFIG_NOT_CURRENT if the configuration of this node may
 * be old. A status from 400 to 499 is final for the caller: no configuration in force allows the
 * call. A node whose configuration may be old cannot say that, and refuses the call as not run.
 */
enum ctr route_refusal(const struct node *n, enum ctr reason);

/* route_describe - returns the text for a reason of route_decide, or NULL. */
const char *route_describe(enum ctr reason);

#endif
