/*
 * peer - one other control process, and what is spread to all of them
 *
 * SOURCE control/peers.c (links), control/propagate.c (directory and reports)
 */
#ifndef CONTROL_PEER_H
#define CONTROL_PEER_H

#include "control/control.h"

struct control_peer {
	struct control *c;
	u32 id;
	struct endpoint at;
	struct link *link;
	struct loop_timer redial;
	u64 dir_seq; /* directory changes sent up to here */
};

/* peers_each - call FN for each link that is up. */
void peers_each(struct control *c, void (*fn)(struct control *c, struct control_peer *p));

/* peers_id - the control id at the other end of K, or 0. */
u32 peers_id(struct control *c, const struct link *k);

int propagate_receive_entries(struct control *c, struct link *k, struct frame_in *in);
int propagate_receive_heartbeats(struct control *c, struct frame_in *in);

#endif
