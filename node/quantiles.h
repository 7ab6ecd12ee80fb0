/*
 * times - the times of the last calls of one kind, by quantiles
 *
 * Quantiles, as a rank may hold routes of quite different times: a few quick calls change the
 * mean, and not what most calls take.
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
	u32 n; /* samples seen; the last QUANTILES_SAMPLES of them are kept */
	u64 median_us; /* 0 while unknown */
	u64 approx_p90_us; /* the median and the distance of the quartiles: about nine in ten calls
			keep it */
};

void quantiles_add(struct quantiles *t, u64 time_us);

#endif
