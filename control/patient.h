/*
 * patient - a disk that waits for room
 *
 * Wraps a disk: an append or replace that finds it full is tried again until there is
 * room, so that the process neither ends nor tells others of what is not on the disk.
 * The caller's thread stands still meanwhile, as with a disk that stalls.
 *
 * UNITS microseconds
 * ERRORS as the wrapped disk; ERR_NO_SPACE only once the process is to end
 * SOURCE control/patient.c
 */
#ifndef PATIENT_H
#define PATIENT_H

#include "control/disk.h"

/* Between two tries. */
#define PATIENT_PAUSE_US (50 * US_PER_MS)

struct patient_ops {
	/* is_ending - called between two tries; true ends the wait */
	bool (*is_ending)(void *arg);
	/* pause - lets SPAN_US pass */
	void (*pause)(void *arg, u64 span_us);
};

/* patient_new - a disk that owns INNER and closes it; ARG is handed to OPS. */
struct disk *patient_new(struct disk *inner, const struct patient_ops *ops, void *arg);

#endif
