/*
 * stop - the schedule of a node that stops
 *
 * A state machine; the current time is an argument. A call that a stopping node takes must have its
 * answer before the process ends: soon after the signal, while callers haven't noticed it yet, any
 * call is taken, and its upstream gets an earlier deadline; later only a call whose own
 * deadline lies within the grace period.
 *
 * UNITS microseconds
 * SOURCE node/stop.c
 */
#ifndef STOP_H
#define STOP_H

#include "lib/types.h"

struct stop {
	u64 begin_us; /* when the signal came; 0 while the node does not stop */
	u64 serve_us; /* until then every call is taken */
	u64 read_us; /* until then callers can connect */
	u64 upstream_us; /* the latest deadline of what is sent to an upstream */
	u64 end_us; /* calls in progress are ended then */
	u64 close_us; /* connections are closed then, even if their last bytes are on their way */
};

/* stop_begin - plans a stop that began at NOW_US; the process must have ended GRACE_US later. */
void stop_begin(struct stop *s, u64 now_us, u64 grace_us);

/* stop_may_take - returns whether a call with this deadline can be ended before the process. */
bool stop_may_take(const struct stop *s, u64 deadline_us, u64 now_us);

/* stop_limit_us - returns the deadline that an upstream is given. */
u64 stop_limit_us(const struct stop *s, u64 deadline_us);

#endif
