/*
 * fleet - an open-loop driver of the decision modules in virtual time
 *
 * Entry nodes and the upstreams' home nodes of one service, with fixed delays
 * between them and no other model of a network. Calls arrive by a Poisson
 * process whatever happens to earlier ones. Upstreams run at most their slots;
 * a call is an exponential amount of work, done at the speed that its upstream
 * has from moment to moment. The same seed gives the same run.
 *
 * UNITS microseconds, percent
 */
#ifndef FLEET_H
#define FLEET_H

#include "lib/types.h"

#include <glib.h>

#define FLEET_TARGETS_MAX 16
#define FLEET_ENTRIES_MAX 16
#define FLEET_RANKS_MAX 4

/* The first three admit in the order of arrival, without a limit on the queue. */
enum fleet_policy { FLEET_RANDOM, FLEET_ROUND_ROBIN, FLEET_POLLED, FLEET_OURS };

struct fleet_rank {
	u32 worth;
	u64 target_us;
	u32 floor_percent;
	bool is_idempotent;
	u64 service_us; /* mean */
	u64 per_s; /* calls from all entry nodes */
	u64 flood_per_s; /* instead, from the time of the event on */
};

struct fleet_plan {
	enum fleet_policy policy;
	u64 seed;
	u32 nentries;
	u32 ntargets;
	u32 slots;
	u32 nranks;
	struct fleet_rank ranks[FLEET_RANKS_MAX];
	u64 event_us; /* before this all is calm; measured from here on */
	u64 end_us;
	u64 timeout_us;
	u32 straggler_percent; /* slowness of target 0 from the event on */
	u64 straggler_us; /* until so long after the event; 0 for ever */
	u32 shift_percent; /* slowness of two targets from the event on */
	u64 shift_us; /* each of the two changes place about so often */
	bool is_shift_independent; /* instead, each target is slow for a third of the time */
	bool is_failing_fast; /* target 0 answers with errors at once, from the event on */
	bool is_lying; /* the load endpoint of target 0 says idle; home nodes do not ask it */
	u32 cold_percent; /* target 0 joins at the event, and is so slow for 2 s */
	u64 sent_after_us; /* tries are counted from so long after the event */
	u64 probes_per_s;
	u64 probe_bytes_per_s;
};

struct fleet_outcome {
	u32 arrived;
	u32 answered;
	u32 failed; /* answered with an error */
	u32 refused;
	u32 in_target;
	GArray *latencies; /* of u64, sorted; a call without an answer counts as the timeout */
	u64 slot_time_us;
	u64 sent[FLEET_TARGETS_MAX]; /* tries, by target */
};

struct fleet_result {
	struct fleet_outcome ranks[FLEET_RANKS_MAX];
	u64 slot_time_us;
	u32 retries;
	u32 hedges;
	u32 shed;
	u64 probes;
	u64 probe_bytes;
	u32 most_running; /* at one upstream */
	size_t most_queued_bytes; /* at one upstream */
};

void fleet_run(const struct fleet_plan *plan, struct fleet_result *result);
void fleet_result_clear(struct fleet_result *r);

/* fleet_percentile - in tenths of a percent: 990 for p99. */
u64 fleet_percentile(const struct fleet_outcome *o, u32 permille);

/* fleet_sightings_plan - the sightings service of the brief at LOAD_PERCENT of its slots. */
struct fleet_plan fleet_sightings_plan(enum fleet_policy policy, u64 seed, u32 load_percent);

#endif
