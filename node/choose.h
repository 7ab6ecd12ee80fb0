/*
 * choose - selects the upstream for a call on the entry node
 *
 * A state machine over the directory and the loads that replies carry. The random source and
 * the time are passed in.
 *
 * The node uses a subset of the upstreams of each service, selected by rendezvous hashing,
 * which bounds its links and probes. For each call it samples a few of them in its own zone
 * and a few elsewhere (power of d choices) and takes the one with the lowest score, which is
 * the expected time of the call.
 *
 * A refused call is retried only at upstreams that can serve it in time.
 *
 * UNITS microseconds
 * SOURCE node/choose.c (directory, selection), node/choose_preview.c (selection without changes),
 * node/score.c (state of one upstream)
 */
#ifndef CHOOSE_H
#define CHOOSE_H

#include "lib/rng.h"
#include "lib/types.h"
#include "wire/dir_entry.h"
#include "wire/peer.h"
#include "wire/subset.h"

#include <glib.h>

/* Time in which a cold upstream ramps up to its full share of calls. */
#define CHOOSE_RAMP_US (5 * US_PER_S)
/* At most one in CHOOSE_EJECT_DIVISOR upstreams of a service is ejected at a time. */
#define CHOOSE_EJECT_DIVISOR 3

struct choose_service;

/* An upstream as this entry node sees it. */
struct choose_target {
	struct dir_entry entry;
	struct choose_service *service; /* NULL unless it may be chosen */
	bool is_evacuated; /* its zone is, so it may not be chosen */
	bool is_own_zone;
	u64 default_rtt_us; /* assumed round trip for its location, until one is measured */
	u64 rtt_us; /* round trip measured on the link; 0: unknown */
	u64 ramp_end_us; /* when it gets its full share of calls */
	struct peer_load load; /* last reported */
	u64 load_at_us; /* when the load was reported; 0: never */
	u64 probed_us; /* when it was last probed */
	u32 sent_since_load; /* attempts sent by this node since the last load report */
	u32 in_flight; /* attempts sent by this node that have not ended */
	u64 silent_since_us; /* with attempts in flight: the last result, or the first send */
	u64 latency_us; /* smoothed latency of a whole attempt */
	u64 latency_at_us;
	u32 latency_samples; /* in the smoothed latency; stops at a bound */
	u32 failed_permille; /* smoothed share of failures */
	u32 failed_in_row;
	u64 failed_at_us;
	u64 unreachable_until_us;
	u64 ejected_until_us;
	u32 ejections; /* successive ones, without a healthy period in between */
};

struct choose_service {
	char *name;
	GPtrArray *targets; /* of struct choose_target: all that may be chosen */
	GPtrArray *subset; /* those that this node uses, its own zone first */
	u32 own_zone_len; /* upstreams of the own zone in the subset */
	/*
	 * The median call time that the upstreams of the subset report for the rank of the last
	 * choice, at the usual speed of their VMs; 0: unknown.
	 */
	u64 typical_us;
	bool is_stale; /* the subset has to be rebuilt */
	bool is_linked; /* links to the whole subset were requested */
	u64 last_used_us; /* when an upstream was last chosen */
};

struct choose {
	char *node;
	char *zone;
	char *region;
	u64 started_us;
	GHashTable *targets; /* node -> struct choose_target */
	GHashTable *services; /* name -> struct choose_service */
	GHashTable *evacuated; /* set of zones whose upstreams may not be chosen */
	struct rng rng;
};

enum choose_result {
	CHOOSE_ANSWERED,
	CHOOSE_REFUSED, /* by admission: the queue is long, the upstream is healthy */
	CHOOSE_FAILED, /* an error or no answer */
	CHOOSE_TIMED_OUT, /* at the caller's deadline; a failure only if much slower than usual */
	CHOOSE_CANCELLED, /* says nothing about the upstream */
};

void choose_init(struct choose *c, const char *node, const char *zone, const char *region, u64 seed,
		 u64 now_us);
void choose_clear(struct choose *c);

/* choose_set_entry - applies an entry of the directory, unless a newer one is known. */
void choose_set_entry(struct choose *c, const struct dir_entry *e, u64 now_us);

/*
 * choose_set_evacuated - the upstreams of the ZONES, a set of names, are not chosen from now on,
 * and those of no others. Upstreams of a zone that was evacuated before ramp up as after a start.
 */
void choose_set_evacuated(struct choose *c, GHashTable *zones, u64 now_us);

/* choose_disable - keeps the upstream known, but stops choosing it. */
void choose_disable(struct choose *c, const char *node);

/* A call for which an upstream is needed. */
struct choose_call {
	const char *service;
	u32 worth;
	GPtrArray *exclude; /* names of nodes to pass over; may be NULL */
	/*
	 * For a retry: the target that the call had on arrival, at least 1. Upstreams are passed
	 * over where the call would take longer than this and than twice the typical time, or
	 * which have just reported that they refuse its rank. 0 for a first attempt or a hedge.
	 */
	u64 max_call_us;
};

/* choose_pick - returns an upstream for CALL, or NULL. */
struct choose_target *choose_pick(struct choose *c, const struct choose_call *call, u64 now_us);

/* An upstream as it would be seen by a call. */
struct choose_candidate {
	const struct choose_target *target;
	u64 score_us; /* choose_score */
	bool is_in_subset;
	bool is_sampled; /* it would be compared with others */
};

/*
 * choose_preview - returns what choose_pick would return with the random source RNG, and appends
 * all upstreams of the service to CANDIDATES, an array of struct choose_candidate. Changes nothing
 * but RNG, of which the caller passes a copy.
 */
struct choose_target *choose_preview(struct choose *c, const struct choose_call *call,
				     struct rng *rng, u64 now_us, GArray *candidates);

/* choose_has_alternative - returns whether an upstream besides T that is not slow may take CALL. */
bool choose_has_alternative(struct choose *c, const struct choose_call *call,
			    const struct choose_target *t, u64 now_us);

/* choose_find, choose_find_service - return NULL if the name is unknown. */
struct choose_target *choose_find(struct choose *c, const char *node);
struct choose_service *choose_find_service(struct choose *c, const char *service);

/*
 * choose_lowest_worth - returns the worth below which every usable upstream in the subset of
 * SERVICE refuses calls; 0 if one accepts all, if one has not reported its load recently, or if
 * there are none.
 */
u32 choose_lowest_worth(struct choose *c, const char *service, u64 now_us);

/* choose_preview_lowest_worth - returns the same and changes nothing. */
u32 choose_preview_lowest_worth(struct choose *c, const char *service, u64 now_us);

/*
 * choose_probe_target - returns the upstream with the oldest load report among the subsets of
 * recently called services, or NULL if all reports are recent enough.
 */
struct choose_target *choose_probe_target(struct choose *c, u64 now_us);

/*
 * choose_median_knee - returns the median knee that upstreams of SERVICE with SLOTS slots report,
 * or 0 if too few report one.
 */
u32 choose_median_knee(struct choose *c, const char *service, u32 slots);

/* choose_sent, choose_ended - record an attempt of this node, so that the score follows at once. */
void choose_sent(struct choose_target *t, u64 now_us);
void choose_ended(struct choose_target *t, enum choose_result result, u64 took_us, u64 now_us);

/* choose_set_load - stores a load report that was received now. */
void choose_set_load(struct choose_target *t, const struct peer_load *load, u64 now_us);

/*
 * choose_is_in_use - returns whether T is in the subset of a service that was called within SPAN_US
 * before NOW_US.
 */
bool choose_is_in_use(const struct choose_target *t, u64 span_us, u64 now_us);

/*
 * choose_link_closed - the idle link to T was closed, so that T can't report its load: the load is
 * unknown from now on, and the next call of the service links its whole subset again.
 */
void choose_link_closed(struct choose_target *t);

/* choose_set_unreachable - records that there is no link; T is not chosen for a short time. */
void choose_set_unreachable(struct choose_target *t, u64 now_us);

/* choose_score - returns the expected time of a call of WORTH at T, including penalties. */
u64 choose_score(const struct choose_target *t, u32 worth, u64 now_us);

/* choose_current_call_us - returns the time of a call of WORTH at T's current speed; 0: unknown. */
u64 choose_current_call_us(const struct choose_target *t, u32 worth);

/* choose_usual_call_us - returns the reported time of a call at T's usual speed; 0: unknown. */
u64 choose_usual_call_us(const struct choose_target *t, u32 worth);

/* choose_is_slow - returns whether T's VM is reported to be far below its usual speed. */
bool choose_is_slow(const struct choose_target *t);

/* choose_is_usable - returns whether T is up and not draining, unreachable or ejected. */
bool choose_is_usable(const struct choose_target *t, u64 now_us);

#endif
