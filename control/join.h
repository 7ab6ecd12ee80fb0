/*
 * join - a group of control processes that grows and heals by itself
 *
 * The seeds of a first start found the group. Every other process, and one
 * whose disk was emptied or that was left out meanwhile, asks for membership
 * through the processes that it knows. The leader takes it in as a learner,
 * waits until it holds the log, and then gives it a vote, in place of a voter
 * that is silent when the group is complete. Each change differs by one voter.
 *
 * All of this is off when the settings name members instead of seeds.
 *
 * SOURCE control/join.c
 */
#ifndef JOIN_H
#define JOIN_H

#include "control/control.h"

void join_start(struct control *c);
void join_stop(struct control *c);

/* join_is_founder - this process is a seed of a first start. */
bool join_is_founder(const struct control *c);

/*
 * join_is_complete - enough voters hold the log to accept the first change:
 * more than twice the losses that must be borne.
 */
bool join_is_complete(const struct control *c);

/* join_receive_request - another process asks for membership. */
int join_receive_request(struct control *c, struct link *k, struct frame_in *in);

/* join_send_members, join_receive_members - the addresses of the group. */
void join_send_members(struct control *c, struct link *k);
int join_receive_members(struct control *c, struct frame_in *in);

/* join_needs_link - ID must be dialled though it is no member: a way to the group leads through it.
 */
bool join_needs_link(struct control *c, u32 id);

/* join_each_needed - call FN for each process that join_needs_link. */
void join_each_needed(struct control *c,
		      void (*fn)(struct control *c, u32 id, const struct endpoint *at));

#endif
