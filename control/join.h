/*
 * join - automatic membership changes of the group of control processes
 *
 * The seeds of a first start form the group. Every other process requests
 * membership through the processes that it knows, and so does one whose disk was
 * wiped or that was removed. membership.h says what the leader makes of it.
 *
 * This is disabled if the settings name members instead of seeds.
 *
 * SOURCE control/join.c
 */
#ifndef JOIN_H
#define JOIN_H

#include "control/control.h"

void join_start(struct control *c);
void join_stop(struct control *c);

/* join_is_founder - return whether this process is a seed of a first start */
bool join_is_founder(const struct control *c);

/*
 * join_is_complete - return whether the group has enough voters to accept its first change:
 * 2 f + 1 voters, to tolerate the loss of f
 */
bool join_is_complete(const struct control *c);

/* join_receive_request - handle CTL_JOIN, a membership request of another process */
int join_receive_request(struct control *c, struct link *k, struct frame_in *in);

/*
 * join_leave - ask the leader to let another member take the vote of this process, which ends.
 * Return whether that is still to be waited for.
 */
bool join_leave(struct control *c);

/* join_receive_leave - handle CTL_LEAVE */
int join_receive_leave(struct control *c, struct frame_in *in);

/* join_update - the leader C proposes the next membership change, if one is due */
void join_update(struct control *c, u64 now_us);

/* join_send_members, join_receive_members - send and handle CTL_MEMBERS */
void join_send_members(struct control *c, struct link *k);
int join_receive_members(struct control *c, struct frame_in *in);

/* join_needs_link - return whether a link to non-member ID is needed to reach the group */
bool join_needs_link(struct control *c, u32 id);

/* join_each_needed - call FN for each process for which join_needs_link is true */
void join_each_needed(struct control *c,
		      void (*fn)(struct control *c, u32 id, const struct endpoint *at));

#endif
