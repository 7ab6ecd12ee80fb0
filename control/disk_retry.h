/*
 * disk_retry - a disk wrapper that retries while the disk is full
 *
 * An append or replace that returns ERR_NO_SPACE is retried until there is space, so that
 * the process neither exits nor acknowledges data that is not on the disk. The calling
 * thread blocks meanwhile, as it does on a stalled disk.
 *
 * UNITS microseconds
 * ERRORS as the wrapped disk; ERR_NO_SPACE only when the process is shutting down
 * SOURCE control/disk_retry.c
 */
#ifndef DISK_RETRY_H
#define DISK_RETRY_H

#include "control/disk.h"

/* Delay between two attempts. */
#define DISK_RETRY_INTERVAL_US (50 * US_PER_MS)

struct disk_retry_ops {
	/* is_stopping - called between two attempts; returns true to stop retrying */
	bool (*is_stopping)(void *arg);
	/* pause - blocks for SPAN_US */
	void (*pause)(void *arg, u64 span_us);
};

/* disk_retry_new - wraps INNER and takes ownership of it; ARG is passed to OPS. */
struct disk *disk_retry_new(struct disk *inner, const struct disk_retry_ops *ops, void *arg);

#endif
