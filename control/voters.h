/*
 * voters - which members of the group vote
 *
 * The group has as many voters as members respond, in an odd number: one more would enlarge the
 * quorum and tolerate no further loss. It never has fewer than it needs to tolerate its losses.
 * So a member that is gone does not stay a voter beyond that number, where it would only count
 * against the quorum. A learner that is gone does not stay a member, of which there are at most
 * RAFT_MEMBERS_MAX.
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
/* More voters would slow down each change. */
#define VOTERS_MAX 9

/* A change of one member. */
struct voters_change {
	struct raft_members next;
	u32 id; /* the member that changes */
	const char *what; /* for the log output */
};

u32 voters_count(const struct raft *r);

/*
 * voters_next_change - the change that the leader R proposes next, if REQUIRED voters tolerate the
 * losses. Returns false when none is due.
 */
bool voters_next_change(const struct raft *r, u32 required, u64 now_us, struct voters_change *out);

#endif
