/*
 * quantiles - median and approximate 90th percentile of the last call durations
 *
 * Quantiles are used since routes of one rank may differ much in duration: a few quick calls shift
 * the mean, but not the time that most calls take.
 *
 * UNITS microseconds
 * SOURCE node/quantiles.c
 */
#ifndef QUANTILES_H
#define QUANTILES_H

#include "lib/types.h"

#define QUANTILES_SAMPLES 32

struct quantiles {
	u32 samples_us[QUANTILES_SAMPLES];
	u32 n; /* samples added; the last QUANTILES_SAMPLES are kept */
	u64 median_us; /* 0 before the first sample */
	u64 approx_p90_us; /* median plus interquartile range */
};

/* quantiles_add - adds a sample, and updates median_us and approx_p90_us. */
void quantiles_add(struct quantiles *q, u64 time_us);

#endif
