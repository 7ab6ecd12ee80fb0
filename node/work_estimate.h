/*
 * work_estimate - expected work of calls by route and organisation, with its error
 *
 * Work is the time that a call takes at the usual speed of the upstream's VM. The mean and the mean
 * deviation of the last calls are kept for each route, and for each organisation on it. Memory is
 * bounded: the pair that was not used for the longest time is replaced. Routes and organisations
 * are named by hashes; 0 stands for none.
 *
 * UNITS microseconds
 * SOURCE node/work_estimate.c
 */
#ifndef WORK_ESTIMATE_H
#define WORK_ESTIMATE_H

#include "lib/types.h"

#define WORK_SETS 64
#define WORK_WAYS 8

/* The error is three standard errors of the mean. */
struct work {
	u64 mean_us; /* 0: not known */
	u64 error_us;
};

struct work_mean {
	double mean_us;
	double deviation_us; /* mean absolute deviation */
	u32 samples; /* that count, at most the length of the average */
};

struct work_entry {
	u64 route; /* 0: not in use */
	u64 organisation; /* 0: all calls of the route */
	u64 used; /* number of the last use */
	struct work_mean mean;
};

struct work_estimate {
	u64 uses;
	struct work_entry entries[WORK_SETS][WORK_WAYS];
};

/* work_mean_add - adds a sample; one far above the others counts in part. */
void work_mean_add(struct work_mean *m, u64 work_us);

/* work_mean_get - returns the mean, not known before a few samples. */
struct work work_mean_get(const struct work_mean *m);

/*
 * work_differs - returns whether A and B are known and differ by more than their errors, and by
 * enough to matter for an order.
 */
bool work_differs(struct work a, struct work b);

/* work_add - records that a call took WORK_US; ROUTE is not 0. */
void work_add(struct work_estimate *e, u64 route, u64 organisation, u64 work_us);

/*
 * work_expect - returns the expected work of a call: that of the organisation on the route where it
 * differs from the route's, else the route's.
 */
struct work work_expect(struct work_estimate *e, u64 route, u64 organisation);

#endif
