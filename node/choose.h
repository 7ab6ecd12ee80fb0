/*
 * choose - the entry node's choice of an upstream for a call
 *
 * A state machine over the directory and the loads that replies bring. The
 * random source and the time are passed in.
 *
 * Of each service this node uses a subset, by rendezvous hash, which bounds its
 * links and probes. Of these it samples some (power of d choices), in the own
 * zone and elsewhere, and takes the one with the lowest score: the time a call
 * is expected to take.
 *
 * Further tries of a call that was refused are made only where it may be served in time.
 *
 * UNITS microseconds
 * SOURCE node/choose.c (directory, choice), node/score.c (one upstream)
 */
#ifndef CHOOSE_H
#define CHOOSE_H

#include "lib/rng.h"
#include "lib/types.h"
#include "wire/dir_entry.h"
#include "wire/peer.h"
#include "wire/subset.h"

#include <glib.h>

/* In this time a cold upstream comes to its whole share. */
#define CHOOSE_RAMP_US (5 * US_PER_S)
/* At most one of so many upstreams of a service is ejected. */
#define CHOOSE_EJECT_DIVISOR 3

struct choose_service;

/* One upstream as this entry node sees it. */
struct choose_target {
	struct dir_entry entry;
	struct choose_service *service; /* NULL unless the upstream is up */
	bool is_own_zone;
	u64 default_rtt_us; /* round trip by its place, while none was measured */
	u64 rtt_us; /* measured on the link; 0 while unknown */
	u64 ramp_end_us; /* when it takes its full share of calls */
	struct peer_load load; /* as last told */
	u64 load_at_us; /* when; 0 for never */
	u64 probed_us; /* last probe */
	u32 sent_since_load; /* own calls sent after the last load */
	u32 in_flight; /* own calls without an answer */
	u64 silent_since_us; /* with calls in flight: the last answer, or the first of them */
	u64 latency_us; /* smoothed, whole call */
	u64 latency_at_us;
	u32 answers; /* in the smoothed latency; stops at a bound */
	u32 failed_permille; /* smoothed share of errors and refusals */
	u32 failed_in_row;
	u64 failed_at_us;
	u64 unreachable_until_us;
	u64 ejected_until_us;
	u32 ejections; /* without a good time between */
};

struct choose_service {
	char *name;
	GPtrArray *targets; /* of struct choose_target: all that are up */
	GPtrArray *subset; /* those that this node uses, the own zone first */
	u32 own_zone_len; /* of the subset */
	/*
	 * Of the rank that was chosen for last: the median time of a call that those in use
	 * tell, at their VMs' usual speed; 0 while unknown.
	 */
	u64 typical_us;
	bool is_stale; /* the subset must be made again */
	bool is_linked; /* links to all of the subset were asked for */
	u64 used_us; /* last call */
};

struct choose {
	char *node;
	char *zone;
	char *region;
	u64 started_us;
	GHashTable *targets; /* node -> struct choose_target */
	GHashTable *services; /* name -> struct choose_service */
	struct rng rng;
};

enum choose_result {
	CHOOSE_ANSWERED,
	CHOOSE_REFUSED, /* by admission: the queue is long, the upstream is well */
	CHOOSE_FAILED, /* an error or no answer */
	CHOOSE_TIMED_OUT, /* at the caller's deadline; a failure when others would have answered */
	CHOOSE_CANCELLED, /* says nothing about the upstream */
};

void choose_init(struct choose *c, const char *node, const char *zone, const char *region, u64 seed,
		 u64 now_us);
void choose_clear(struct choose *c);

/* choose_set_entry - take an entry of the directory; a gone entry is dropped. */
void choose_set_entry(struct choose *c, const struct dir_entry *e, u64 now_us);

/* choose_disable - the target is there, but not chosen any more. */
void choose_disable(struct choose *c, const char *node);

/* What is looked for. */
struct choose_call {
	const char *service;
	u32 worth;
	GPtrArray *exclude; /* of node names that are not chosen; may be NULL */
	/*
	 * Of a further try: the target that is left. Upstreams are passed over where the call would
	 * come too late, or that just told that they refuse its rank. 0 for a first try.
	 */
	u64 max_call_us;
};

/* choose_pick - an upstream for CALL, or NULL. */
struct choose_target *choose_pick(struct choose *c, const struct choose_call *call, u64 now_us);

/* choose_has_alternative - beside T another upstream in use may take CALL without delay. */
bool choose_has_alternative(struct choose *c, const struct choose_call *call,
			    const struct choose_target *t, u64 now_us);
struct choose_target *choose_find(struct choose *c, const char *node);
struct choose_service *choose_find_service(struct choose *c, const char *service);

/*
 * choose_lowest_worth - calls of SERVICE of lower worth are refused by every
 * upstream in use whose load is known; 0 when one takes all, or none is known.
 */
u32 choose_lowest_worth(struct choose *c, const char *service, u64 now_us);

/*
 * choose_probe_target - the upstream in use whose load is known least, or NULL when
 * all are known well enough.
 */
struct choose_target *choose_probe_target(struct choose *c, u64 now_us);

/* choose_median_knee - the median knee that upstreams of SERVICE with SLOTS tell; 0 when few do. */
u32 choose_median_knee(struct choose *c, const char *service, u32 slots);

/* choose_sent, choose_ended - own calls, so that the score follows at once. */
void choose_sent(struct choose_target *t, u64 now_us);
void choose_ended(struct choose_target *t, enum choose_result result, u64 took_us, u64 now_us);
void choose_set_load(struct choose_target *t, const struct peer_load *load, u64 now_us);

/* choose_set_unreachable - no link; not chosen for a short time. */
void choose_set_unreachable(struct choose_target *t, u64 now_us);

/* choose_score - the expected time of a call of WORTH, penalties included. */
u64 choose_score(const struct choose_target *t, u32 worth, u64 now_us);

/* choose_current_call_us - the time of a call of WORTH at T as its VM is now; 0 where none is told.
 */
u64 choose_current_call_us(const struct choose_target *t, u32 worth);

/* choose_usual_call_us - the time of a call of WORTH at T's usual speed, as told; 0 unknown. */
u64 choose_usual_call_us(const struct choose_target *t, u32 worth);

/* choose_is_slow - its VM told that it is far below its usual speed now. */
bool choose_is_slow(const struct choose_target *t);

/* choose_is_usable - not draining, unreachable or ejected. */
bool choose_is_usable(const struct choose_target *t, u64 now_us);

#endif
