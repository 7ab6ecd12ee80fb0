/*
 * times - the times of the last calls of one kind, by quantiles
 *
 * Quantiles, as a rank may hold routes of quite different times: a few quick calls change the
 * mean, and not what most calls take.
 *
 * UNITS microseconds
 * SOURCE node/times.c
 */
#ifndef TIMES_H
#define TIMES_H

#include "lib/types.h"

#define TIMES_KEPT 32

struct times {
	u32 samples_us[TIMES_KEPT];
	u32 n; /* samples seen; the last TIMES_KEPT of them are kept */
	u64 median_us; /* 0 while unknown */
	u64 long_us; /* the median and the distance of the quartiles: about nine in ten calls keep
			it */
};

void times_add(struct times *t, u64 time_us);

#endif
