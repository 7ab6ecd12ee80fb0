/*
 * clock - reads a system clock in microseconds
 *
 * UNITS microseconds
 */
#ifndef CLOCK_H
#define CLOCK_H

#include "lib/types.h"

#include <time.h>

static inline u64 clock_us(clockid_t clock)
{
	struct timespec now;

	clock_gettime(clock, &now);
	return (u64)now.tv_sec * US_PER_S + (u64)now.tv_nsec / 1000;
}

#endif
