/*
 * hist - latency histograms by service and rank
 *
 * Buckets are fixed, so that histograms of several nodes can be added up.
 * There are at most HIST_SERIES_MAX pairs; calls of further ones are put
 * together under the service and rank "other".
 *
 * UNITS microseconds in, seconds in the text exposition format
 * SOURCE lib/hist.c
 */
#ifndef HIST_H
#define HIST_H

#include "lib/types.h"

#include <glib.h>

#define HIST_SERIES_MAX 1024

/* hist_record - a call of SERVICE and RANK took TIME_US. Any thread. */
void hist_record(const char *service, const char *rank, u64 time_us);

/* hist_print - append all histograms to OUT in the text exposition format, sorted by name. */
void hist_print(GString *out);

/* hist_reset - forget all; for tests. */
void hist_reset(void);

#endif
