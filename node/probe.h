/*
 * probe - asks upstreams for their load when no recent reply carried it, within a budget
 *
 * The budget bounds the probes and bytes of the node over all services. Half is for the
 * probes that the node sends and their answers, half for the answers that it gives:
 * otherwise nodes that send as many probes as they may could not answer each other.
 *
 * UNITS microseconds, bytes
 * SOURCE node/probe.c
 */
#ifndef PROBE_H
#define PROBE_H

#include "node/budget.h"
#include "node/choose.h"

/* Maximum sizes of a PROBE frame and a LOAD frame. */
#define PROBE_FRAME_BYTES 8
#define PROBE_LOAD_BYTES 320

struct probe_budget {
	struct budget count;
	struct budget bytes;
};

struct probe {
	struct probe_budget outgoing; /* own probes and their answers */
	struct probe_budget incoming; /* answers to probes of other nodes */
};

void probe_init(struct probe *p, u64 per_s, u64 bytes_per_s, u64 now_us);

/*
 * probe_next - returns the upstream to probe now and takes the cost from the budget, or
 * returns NULL if all loads are recent enough or the budget is used up (CTR_PROBE_DENIED).
 */
struct choose_target *probe_next(struct probe *p, struct choose *c, u64 now_us);

/* probe_admit_answer - takes the cost of an answer; returns false if the budget is used up. */
bool probe_admit_answer(struct probe *p, u64 now_us);

#endif
