/*
 * quota_host - gets tokens for the calls of organisations that have a limit
 *
 * Carries out what node/quota decides: sends its requests over the link to control, and tells the
 * owners of the calls.
 *
 * SOURCE node/quota_host.c
 */
#ifndef QUOTA_HOST_H
#define QUOTA_HOST_H

#include "node/quota.h"

struct node;

/* A call that waits for a token. */
struct quota_ticket {
	struct quota_call call; /* must be first */
	/* Called once, never from quota_host_ask; call.verdict says how it was decided. */
	void (*decided)(struct quota_ticket *t);
};

void quota_host_start(struct node *n);
void quota_host_stop(struct node *n);

/*
 * quota_host_ask - asks for a token of t->call.organisation; t->call.is_again is set, too.
 * TARGET_US is the target of the call, or 0.
 */
void quota_host_ask(struct node *n, struct quota_ticket *t, u64 target_us);

/* quota_host_cancel - the owner gives up; decided() is not called. */
void quota_host_cancel(struct node *n, struct quota_ticket *t);

/* quota_host_return - a call that had a token of ORGANISATION did not run. */
void quota_host_return(struct node *n, u64 organisation);

/* quota_host_abandon_all - decides all calls that wait as QUOTA_NOT_KNOWN. */
void quota_host_abandon_all(struct node *n);

/* quota_host_receive - handles CTL_QUOTA_GRANT. */
int quota_host_receive(struct node *n, struct frame_in *in);

#endif
