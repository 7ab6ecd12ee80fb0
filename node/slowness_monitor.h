/*
 * slowness_monitor - tracks the slowness of the upstream's VM, as the upstream reports it
 *
 * Any answer may carry a report at no extra cost. If no recent answer did and the upstream is
 * in use, its health path is polled at a bounded rate. Significant changes are sent at once to
 * the nodes that call this one.
 *
 * SOURCE node/slowness_monitor.c
 */
#ifndef SLOWNESS_MONITOR_H
#define SLOWNESS_MONITOR_H

#include "lib/http.h"
#include "lib/types.h"

struct node;
struct slowness_monitor;

#define SLOWNESS_NORMAL_PERCENT 100

struct slowness_monitor *slowness_monitor_new(struct node *n);
void slowness_monitor_free(struct slowness_monitor *m);

/* slowness_monitor_apply_settings - applies the polling rate limit of the current settings. */
void slowness_monitor_apply_settings(struct slowness_monitor *m);

/* slowness_monitor_record_answer - records the slowness that an upstream's answer reports. */
void slowness_monitor_record_answer(struct slowness_monitor *m, const struct http_msg *answer);

/* slowness_monitor_call_started - records a call for the upstream, which keeps polling active. */
void slowness_monitor_call_started(struct slowness_monitor *m);

/*
 * slowness_monitor_ask - polls the upstream now, unless a poll is under way. Returns whether
 * home_poll_ended() follows, at the latest after a fraction of a second; false when there is
 * nothing to poll.
 */
bool slowness_monitor_ask(struct slowness_monitor *m);

/* slowness_monitor_reset - discards all data because the upstream has been replaced. */
void slowness_monitor_reset(struct slowness_monitor *m);

/*
 * slowness_monitor_percent - returns the current slowness: 100 is normal, 0 means that the
 * upstream does not report it.
 */
u32 slowness_monitor_percent(const struct slowness_monitor *m);

#endif
