/*
 * httpc - a small HTTP client for stand-ins, one connection a request
 *
 * SOURCE test/fakes/httpc.c
 */
#ifndef HTTPC_H
#define HTTPC_H

#include "lib/types.h"

struct httpc_reply {
	int status;
	char *outcome; /* Lavenderlead-Outcome, or NULL */
	char *reason; /* Lavenderlead-Reason, or NULL */
	char *body;
	bool is_short; /* the body ended before its announced length */
};

/*
 * httpc_call - HEADERS are lines that end in CRLF; HEADERS and BODY may be
 * NULL. Returns 0, ERR_REFUSED when not connected, or ERR_TIMEOUT when no
 * answer came.
 */
int httpc_call(const char *address, u16 port, const char *method, const char *path,
	       const char *headers, const char *body, u32 timeout_ms, struct httpc_reply *reply);
void httpc_reply_clear(struct httpc_reply *r);

#endif
