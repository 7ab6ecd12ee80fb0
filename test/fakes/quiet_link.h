/* quiet_link - callbacks of a link whose events a test ignores */
#ifndef QUIET_LINK_H
#define QUIET_LINK_H

#include "kernel/link.h"

void quiet_link_up(struct link *k);
int quiet_link_frame(struct link *k, u32 type, struct frame_in *in);
void quiet_link_down(struct link *k, int err);

extern const struct link_ops quiet_link_ops;

#endif
