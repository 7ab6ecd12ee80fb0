/*
 * admit - the home node's decision which calls run now, wait, or are refused
 *
 * A state machine: the time comes with each call, nothing blocks. Requests
 * are embedded in the owner's call; the owner frees them after they left.
 *
 * UNITS microseconds
 * SOURCE node/admit.c
 */
#ifndef ADMIT_H
#define ADMIT_H

#include "lib/ctr.h"
#include "lib/types.h"

#include <glib.h>

#define ADMIT_RANKS_MAX 32
#define ADMIT_QUEUE_MAX_BYTES (16 * 1024 * 1024)

struct admit_rank {
	u32 worth;
	u64 target_us;
	u32 floor_percent;
};

enum admit_state { ADMIT_NEW, ADMIT_QUEUED, ADMIT_RUNNING, ADMIT_LEFT };

struct admit_req {
	u32 rank;
	u64 deadline_us;
	size_t bytes;
	enum admit_state state;
	u64 queued_us;
	u64 started_us;
};

struct admit {
	u32 slots;
	u32 limit;
	u32 nranks;
	struct admit_rank ranks[ADMIT_RANKS_MAX];
	GQueue *queues[ADMIT_RANKS_MAX]; /* of struct admit_req, oldest first */
	size_t queued_bytes;
	u32 queued;
	u32 running;
	u64 service_us; /* smoothed time of one call */
};

void admit_init(struct admit *a);
void admit_clear(struct admit *a);

/* admit_set_slots - from the upstream's announcement. */
void admit_set_slots(struct admit *a, u32 slots);

/* admit_set_ranks - from the configuration; queued requests keep their index. */
void admit_set_ranks(struct admit *a, const struct admit_rank *ranks, u32 n);

/*
 * admit_offer - a new request. Returns 0 when it is queued (admit_next tells
 * when it runs), or the counter of the refusal, negated.
 */
int admit_offer(struct admit *a, struct admit_req *r, u64 now_us);

/* admit_next - the request to start now, or NULL. */
struct admit_req *admit_next(struct admit *a, u64 now_us);

/* admit_expired - a queued request over its deadline or evicted, taken out, or NULL. */
struct admit_req *admit_expired(struct admit *a, u64 now_us);

/* admit_done - a running request ended after LATENCY_US at the upstream. */
void admit_done(struct admit *a, struct admit_req *r, u64 now_us);

/* admit_cancel - take a queued request out. */
void admit_cancel(struct admit *a, struct admit_req *r);

/* admit_lowest_worth - calls of lower worth are refused now; 0 when all are taken. */
u32 admit_lowest_worth(const struct admit *a, u64 now_us);

#endif
