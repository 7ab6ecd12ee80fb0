/*
 * quota_host - answers requests of nodes for tokens, at the leader or through it
 *
 * A process that does not lead passes a request on to the leader, and its answer back. The frames
 * name the node, so it keeps nothing of them. Without a fresh leader it grants its reserves.
 *
 * SOURCE control/quota_host.c
 */
#ifndef QUOTA_HOST_H
#define QUOTA_HOST_H

#include "control/control.h"

/* quota_host_receive_request - handles CTL_QUOTA_REQUEST of the node at the other end of K. */
int quota_host_receive_request(struct control *c, struct link *k, struct frame_in *in);

/* quota_host_receive_forward - handles CTL_QUOTA_FORWARD of another control process. */
int quota_host_receive_forward(struct control *c, struct link *k, struct frame_in *in);

/* quota_host_receive_grant - handles CTL_QUOTA_FORWARD_GRANT, the leader's answer. */
int quota_host_receive_grant(struct control *c, struct frame_in *in);

/* quota_host_tick - notes whether this process leads or knows a leader; several times a second. */
void quota_host_tick(struct control *c, u64 now_us);

#endif
