/*
 * probe - measuring load where no reply told it, within a budget
 *
 * The budget is that of the node, over all services: probes and bytes. Half is for the
 * probes it sends with their answers, half for the answers it gives: else nodes that
 * ask all they may would have nothing left to answer each other.
 *
 * UNITS microseconds, bytes
 * SOURCE node/probe.c
 */
#ifndef PROBE_H
#define PROBE_H

#include "node/budget.h"
#include "node/choose.h"

/* At most: a PROBE frame, a LOAD frame. */
#define PROBE_FRAME_BYTES 8
#define PROBE_LOAD_BYTES 320

struct probe_budget {
	struct budget count;
	struct budget bytes;
};

struct probe {
	struct probe_budget own;
	struct probe_budget answers;
};

void probe_init(struct probe *p, u64 per_s, u64 bytes_per_s, u64 now_us);

/*
 * probe_next - the upstream to probe now, or NULL when all loads are known well
 * enough or the budget is used up (counted). The cost is taken.
 */
struct choose_target *probe_next(struct probe *p, struct choose *c, u64 now_us);

/* probe_may_answer - true when the budget allows to answer a probe. The cost is taken. */
bool probe_may_answer(struct probe *p, u64 now_us);

#endif
