/*
 * membership - which change of its members a group of control processes makes next
 *
 * A process without a leader requests membership. The leader adds it as a learner, or, if its data
 * folder was emptied, makes it one; voters.h says when learners vote and who leaves. Each change
 * needs the one before it, and an entry of the leader's term, to be committed.
 *
 * Pure: the current time is an argument, and nothing is sent or logged.
 *
 * UNITS microseconds
 * SOURCE control/membership.c
 */
#ifndef MEMBERSHIP_H
#define MEMBERSHIP_H

#include "control/voters.h"
#include "wire/endpoint.h"

#include <glib.h>

struct membership_request {
	u32 id;
	u64 replica;
	struct endpoint at;
	u64 heard_us;
};

/*
 * membership_is_needed - return whether the process of R, a founder of the group or not, has to
 * request membership
 */
bool membership_is_needed(const struct raft *r, bool is_founder, u64 now_us);

/* membership_store - keep the newest request of each process, for a while */
void membership_store(GArray *requests, const struct membership_request *one);

/*
 * membership_next_change - the change that the leader R proposes next, after the REQUESTS (of
 * struct membership_request), if REQUIRED voters tolerate the losses. Returns false when none is
 * due.
 */
bool membership_next_change(const struct raft *r, const GArray *requests, u32 required, u64 now_us,
			    struct voters_change *out);

#endif
