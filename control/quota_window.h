/*
 * quota_window - how many tokens of an organisation were granted in the last window
 *
 * Tokens that come back are taken off the oldest part of the window, as it is not known when they
 * were granted. So the sum is never below what may run of the calls of the window.
 *
 * This is a state machine: the caller passes in the time.
 *
 * UNITS microseconds
 * SOURCE control/quota_window.c
 */
#ifndef QUOTA_WINDOW_H
#define QUOTA_WINDOW_H

#include "lib/types.h"

/* The sum is that of up to one part more than the window. */
#define QUOTA_WINDOW_PARTS 32

struct quota_window {
	u64 granted[QUOTA_WINDOW_PARTS + 1];
	u64 part; /* the number of the newest part, since the clock's start */
};

/* quota_window_sum - returns how many tokens were granted in the last LENGTH_US. */
u64 quota_window_sum(struct quota_window *w, u64 length_us, u64 now_us);

/* quota_window_grant - adds COUNT tokens, at the time of the last quota_window_sum. */
void quota_window_grant(struct quota_window *w, u64 count);

/* quota_window_return - takes off COUNT tokens, at the time of the last quota_window_sum. */
void quota_window_return(struct quota_window *w, u64 count);

#endif
