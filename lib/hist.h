/*
 * hist - latency histograms by service and rank
 *
 * The bucket bounds are fixed, so that histograms of several nodes can be summed.
 * There are at most HIST_SERIES_MAX series, one for each pair of service and rank;
 * calls of further pairs are aggregated under the service and rank "other".
 *
 * UNITS microseconds in, seconds in the text exposition format
 * SOURCE lib/hist.c
 */
#ifndef HIST_H
#define HIST_H

#include "lib/types.h"

#include <glib.h>

#define HIST_SERIES_MAX 1024

/* hist_record - records a call of SERVICE and RANK that took TIME_US. Thread-safe. */
void hist_record(const char *service, const char *rank, u64 time_us);

/* hist_print - appends all series to OUT in the Prometheus text format, sorted by labels. */
void hist_print(GString *out);

/* hist_reset - removes all series; for tests. */
void hist_reset(void);

#endif
