/*
 * quota - requests for tokens of organisations, and their answers
 *
 * A node asks for one token for each call of an organisation that has a limit. Organisations are
 * named by the pmap_hash of their name.
 *
 * UNITS milliseconds
 * SOURCE wire/quota.c
 */
#ifndef QUOTA_WIRE_H
#define QUOTA_WIRE_H

#include "lib/frame.h"
#include "lib/types.h"

#include <glib.h>

/* Organisations in one frame; what is left over waits for the next one. */
#define QUOTA_ITEMS_MAX 4096

struct quota_want {
	u64 organisation;
	u32 wanted; /* calls that wait, of requests that come for the first time */
	u32 wanted_again; /* calls that wait, of requests that were refused or failed before */
	u32 returned; /* tokens of calls that did not run */
};

struct quota_request {
	u64 number; /* rises with each request of a node */
	bool is_repeat; /* the request before it had no answer */
	GArray *wants; /* of struct quota_want */
};

struct quota_share {
	u64 organisation;
	u32 granted;
	u32 granted_again; /* of WANTED_AGAIN */
	u32 wait_ms; /* until there is a token for the first call that got none */
	u32 spacing_ms; /* between the tokens of further ones */
};

struct quota_grant {
	u64 number; /* of the request */
	bool is_known; /* what was not granted is over the limit; else nobody could tell */
	GArray *shares; /* of struct quota_share */
};

void quota_request_init(struct quota_request *r);
void quota_request_clear(struct quota_request *r);
void quota_request_put(struct frame_out *f, const struct quota_request *r);

/* quota_request_get - decodes into R, which is initialized; a bad field sets the error of IN. */
void quota_request_get(struct frame_in *in, struct quota_request *r);

void quota_grant_init(struct quota_grant *g);
void quota_grant_clear(struct quota_grant *g);
void quota_grant_put(struct frame_out *f, const struct quota_grant *g);
void quota_grant_get(struct frame_in *in, struct quota_grant *g);

#endif
