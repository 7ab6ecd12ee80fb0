/*
 * follower - a control process whose timers don't fire, and the fake leaders that it links to
 *
 * A test says what raft state the process has and what it receives. Processes and leaders that are
 * stopped can be started again.
 */
#ifndef FOLLOWER_H
#define FOLLOWER_H

#include "control/control.h"

#define FOLLOWER_ID 1

/* A process that accepts the follower's link, and that owns what its FRAME callback keeps. */
struct fake_leader {
	struct loop *loop;
	struct link_id self;
	struct link_listener *listener;
	struct link_ops ops;
	struct link *link; /* from the follower; NULL if it is down */
	u16 port;
	gint frames; /* that FRAME has counted */
	u64 request; /* id of the last operation that was forwarded */
};

struct follower {
	struct settings settings;
	struct control *control;
};

typedef int (*fake_leader_frame)(struct link *k, u32 type, struct frame_in *in);

/* fake_leader_start - starts a leader; its links have L as their arg, and FRAME gets their frames.
 */
void fake_leader_start(struct fake_leader *l, fake_leader_frame frame);
void fake_leader_stop(struct fake_leader *l);

/*
 * follower_new - makes a process that belongs to no group. Its seed is the leader ID at PORT, or
 * none if PORT is 0.
 */
void follower_new(struct follower *f, const struct raft_ops *ops, u32 id, u16 port);

/* follower_add_member - adds voter ID at PORT to the membership, with ID as its replica id. */
void follower_add_member(struct follower *f, u32 id, u16 port);

void follower_start(struct follower *f); /* links the process to the members */
void follower_stop(struct follower *f);

#endif
