/*
 * trial_order - the control processes that a node knows, and which of them it tries next
 *
 * The nearest ones come first; among equally near ones each node has its own order, which spreads
 * the nodes over them. A search tries each of them once before any is tried again: those that do
 * not answer cost time, and with two of them the first is due again when the second is given up.
 *
 * UNITS microseconds
 * SOURCE node/trial_order.c
 */
#ifndef TRIAL_ORDER_H
#define TRIAL_ORDER_H

#include "lib/types.h"
#include "wire/endpoint.h"

#include <glib.h>

/* Limit on known control processes, both seeds and reported members. */
#define TRIAL_CANDIDATES_MAX 64

enum trial_distance { SAME_ZONE, SAME_REGION, UNKNOWN_DISTANCE, OTHER_REGION };

struct trial_candidate {
	struct endpoint at;
	bool is_seed;
	bool is_member; /* in the last membership that control reported */
	bool was_tried; /* in this search */
	enum trial_distance distance;
	u64 order; /* among candidates of the same distance */
	u64 retry_at_us; /* earliest next trial while the main link is not fresh */
	u64 nearer_retry_at_us; /* the same while it is fresh, to find a nearer one */
};

struct trial_order {
	GPtrArray *candidates; /* of struct trial_candidate */
};

void trial_order_init(struct trial_order *o);
void trial_order_clear(struct trial_order *o);

/*
 * trial_order_add - returns the candidate at AT, which is new if it was not known; NULL if there
 * are too many. NODE is the name of the node that tries it.
 */
struct trial_candidate *trial_order_add(struct trial_order *o, const struct endpoint *at,
					const char *node);

/* trial_order_unmark_seeds, _unmark_members - no candidate is a seed, or a member, any more */
void trial_order_unmark_seeds(struct trial_order *o);
void trial_order_unmark_members(struct trial_order *o);

/*
 * trial_order_remove_former - removes candidates that are neither seeds nor members, but for
 * USED and ALSO_USED, which may be NULL
 */
void trial_order_remove_former(struct trial_order *o, const struct trial_candidate *used,
			       const struct trial_candidate *also_used);

/* trial_order_restart - begins a new search: the nearest candidates come first again */
void trial_order_restart(struct trial_order *o);

/* trial_order_reset - begins a new search in which each candidate may be tried at once */
void trial_order_reset(struct trial_order *o);

/*
 * trial_order_next - returns the candidate to try at NOW_US, or NULL. MAIN is the one in use, or
 * NULL; if it is fresh (HAS_FRESH), only a nearer one is tried. The caller sets its retry times.
 */
struct trial_candidate *trial_order_next(struct trial_order *o, const struct trial_candidate *main,
					 bool has_fresh, u64 now_us);

#endif
