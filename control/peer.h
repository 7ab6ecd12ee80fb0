/*
 * peer - one other control process, and what is spread to all of them
 *
 * SOURCE control/peers.c (links), control/spread.c (directory and reports)
 */
#ifndef PEER_LINK_H
#define PEER_LINK_H

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

int spread_take_copies(struct control *c, struct link *k, struct frame_in *in);
int spread_take_beats(struct control *c, struct frame_in *in);

#endif
