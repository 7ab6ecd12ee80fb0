/*
 * control_peer - link to another control process
 *
 * SOURCE control/peers.c (links), control/propagate.c (directory and heartbeats)
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
	u64 heard_us; /* last Raft message from it; 0 for none */
	u64 dir_seq; /* directory changes up to this sequence number were sent */
};

/* peers_each - call FN for each peer whose link is up */
void peers_each(struct control *c, void (*fn)(struct control *c, struct control_peer *p));

/* peers_id - return the control id of the remote end of K, or 0 if unknown */
u32 peers_id(struct control *c, const struct link *k);

/* propagate_receive_entries - handle CTL_DIRECTORY, directory entries of other processes */
int propagate_receive_entries(struct control *c, struct link *k, struct frame_in *in);

/* propagate_receive_heartbeats - handle CTL_HEARTBEAT, heartbeats with in-force reports */
int propagate_receive_heartbeats(struct control *c, struct frame_in *in);

#endif
