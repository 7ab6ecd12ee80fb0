/*
 * quota - calls that wait until their organisation's quota allows them
 *
 * Each call of an organisation with a limit needs a token, for which this node asks the allocator.
 * Calls that wait are asked for together. A call is decided once: granted, over the quota, or not
 * known if no answer came in time. Tokens that are not used go back with the next request.
 *
 * This is a state machine: the caller passes in the time, sends the requests, and carries out what
 * is decided. Calls are embedded in the owner's.
 *
 * UNITS microseconds
 * SOURCE node/quota.c
 */
#ifndef QUOTA_H
#define QUOTA_H

#include "wire/quota.h"

/* Requests are at least this far apart, so that calls that arrive together share one. */
#define QUOTA_INTERVAL_US (2 * US_PER_MS)
/* A request without an answer, or without a known one, is repeated after this time. */
#define QUOTA_REPEAT_US (100 * US_PER_MS)
/* Longest time for which a call waits for its token; also a quarter of its target, if shorter. */
#define QUOTA_WAIT_MAX_US (250 * US_PER_MS)
/* Tokens go back after this time if no call needs a request before. */
#define QUOTA_RETURN_US (20 * US_PER_MS)

enum quota_verdict { QUOTA_PENDING, QUOTA_GRANTED, QUOTA_EXCEEDED, QUOTA_NOT_KNOWN };

struct quota_call {
	u64 organisation;
	bool is_again; /* its request came before, and was refused or failed */
	enum quota_verdict verdict;
	u32 wait_ms; /* with QUOTA_EXCEEDED: until there may be a token for it */
	/* private */
	u64 until_us;
	u64 request; /* number of the request that asks for it; 0 if none does */
	GList link;
};

struct quota {
	GQueue waiting; /* of struct quota_call, oldest first */
	GQueue decided;
	GHashTable *returns; /* organisation -> tokens to return */
	u64 return_due_us; /* 0: none */
	u64 number; /* of the last request */
	bool is_pending; /* it has no answer */
	u64 sent_us;
	u64 not_before_us; /* for the next request */
};

void quota_init(struct quota *q);
void quota_clear(struct quota *q);

/* quota_add - CALL, whose first two fields are set, waits for a token; TARGET_US is its time to be
 * answered in, 0 if unknown. */
void quota_add(struct quota *q, struct quota_call *call, u64 target_us, u64 now_us);

/* quota_remove - gives up CALL, whether it waits or is decided. */
void quota_remove(struct quota *q, struct quota_call *call);

/* quota_return - a call that had a token did not run. */
void quota_return(struct quota *q, u64 organisation, u64 now_us);

/* quota_due_us - returns when quota_step has something to do; UINT64_MAX for never. */
u64 quota_due_us(const struct quota *q);

/*
 * quota_step - decides calls whose time has passed, and fills in the request that is due. Returns
 * whether there is one; OUT is initialized.
 */
bool quota_step(struct quota *q, struct quota_request *out, u64 now_us);

/* quota_receive - handles an answer, also one to an earlier request. */
void quota_receive(struct quota *q, const struct quota_grant *grant, u64 now_us);

/* quota_abandon_all - decides all calls that wait as QUOTA_NOT_KNOWN. */
void quota_abandon_all(struct quota *q);

/* quota_next_decided - returns the next call that was decided, or NULL; it is then the owner's. */
struct quota_call *quota_next_decided(struct quota *q);

#endif
