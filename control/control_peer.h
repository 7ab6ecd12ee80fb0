/*
 * control_peer - link to another control process
 *
 * SOURCE control/peers.c (links), control/propagate.c (directory and heartbeats)
 */
#ifndef CONTROL_PEER_H
#define CONTROL_PEER_H

#include "control/bulk.h"
#include "control/control.h"

struct control_peer {
	struct control *c;
	u32 id;
	struct endpoint at;
	struct link *link;
	struct loop_timer redial;
	u64 heard_us; /* last Raft message from it; 0 for none */
	u64 dir_seq; /* directory changes up to this sequence number were sent */
	struct bulk_out lanes[BULK_LANES];
};

/* peers_each - call FN for each peer whose link is up */
void peers_each(struct control *c, void (*fn)(struct control *c, struct control_peer *p));

/* peers_send_lane - send a frame through a lane of the link to P, which is up */
void peers_send_lane(struct control_peer *p, enum bulk_lane lane, struct frame_out *f);

/* peers_id - return the control id of the remote end of K, or 0 if unknown */
u32 peers_id(struct control *c, const struct link *k);

/* propagate_directory_to - send P the directory changes that it lacks */
void propagate_directory_to(struct control *c, struct control_peer *p);

/* propagate_receive_entries - handle CTL_DIRECTORY, directory entries of other processes */
int propagate_receive_entries(struct control *c, struct link *k, struct frame_in *in);

/* propagate_receive_heartbeats - handle CTL_HEARTBEAT, heartbeats with in-force reports */
int propagate_receive_heartbeats(struct control *c, struct frame_in *in);

#endif
