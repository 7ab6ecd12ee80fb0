/* fake_control - a control process that reports whether it is fresh, and counts watches */
#ifndef FAKE_CONTROL_H
#define FAKE_CONTROL_H

#include "kernel/link.h"

#include <glib.h>

struct fake_control {
	struct loop *loop;
	struct link_id self;
	struct link_listener *listener;
	struct link *link;
	struct loop_timer timer;
	u16 port;
	gint is_fresh;
	gint revision; /* that its freshness messages name */
	gint freshness_age_ms; /* of its freshness reports when they are sent */
	gint watches;
	u64 request; /* number of the last one */
	u64 watched_us;
	gint sends_views; /* whether it answers CTL_SUBSCRIBE */
	gint subscribed_services; /* services in all CTL_SUBSCRIBE messages */
};

/* fake_control_start - starts a fresh process at revision 1, which answers subscriptions. */
void fake_control_start(struct fake_control *c);

/* fake_control_stop - stops the process, if it was started. */
void fake_control_stop(struct fake_control *c);

void fake_control_drop_link(struct fake_control *c);

/* fake_control_wait_watches - waits until there were LEAST watches since the start. */
void fake_control_wait_watches(struct fake_control *c, gint least);

#endif
