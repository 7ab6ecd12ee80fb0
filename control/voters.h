/*
 * voters - which members of the group vote
 *
 * The group has as many voters as members respond, in an odd number: one more would enlarge the
 * quorum and tolerate no further loss. It never has fewer than it needs to tolerate its losses.
 * So a member that is gone does not stay a voter beyond that number, where it would only count
 * against the quorum. A learner that is gone does not stay a member, of which there are at most
 * RAFT_MEMBERS_MAX.
 *
 * A process that ends on request says so and waits until its vote is not needed: a learner with the
 * whole log becomes a voter first, and only then the leaving one a learner, so that at no moment
 * there are fewer voters that stay than before.
 *
 * UNITS microseconds
 * SOURCE control/voters.c
 */
#ifndef VOTERS_H
#define VOTERS_H

#include "control/raft.h"

/* A voter that is silent for longer is replaced by a learner that has the whole log. */
#define VOTER_TIMEOUT_US (1500 * US_PER_MS)
/* A learner that is silent for longer is removed; it requests membership again when it is back. */
#define LEARNER_TIMEOUT_US (10 * US_PER_S)
/*
 * A member counts as leaving for this time after it has said so last: longer than it takes to be
 * silent, so that one that has ended is never taken for a learner that could vote.
 */
#define VOTER_LEAVING_US (2 * VOTER_TIMEOUT_US)
/* More voters would slow down each change. */
#define VOTERS_MAX 9

/* A change of one member. */
struct voters_change {
	struct raft_members next;
	u32 id; /* the member that changes */
	const char *what; /* for the log output */
};

u32 voters_count(const struct raft *r);

/* voters_leave - the process of member ID, with this data folder, is about to end */
void voters_leave(struct raft *r, u32 id, u64 replica, u64 now_us);

/*
 * voters_may_replace - return whether R, which is not the leader, has a vote that another member
 * may take, REQUIRED voters being needed. False also once the change is committed.
 */
bool voters_may_replace(struct raft *r, u32 required);

/*
 * voters_next_change - the change that the leader R proposes next, if REQUIRED voters tolerate the
 * losses. Returns false when none is due.
 */
bool voters_next_change(const struct raft *r, u32 required, u64 now_us, struct voters_change *out);

#endif
