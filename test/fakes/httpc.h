/*
 * httpc - a small HTTP client for tests and stand-ins, with one connection per request
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
	bool is_truncated; /* the body is shorter than its Content-Length */
};

/*
 * httpc_call - sends a request and reads the answer. HEADERS holds lines that end in CRLF;
 * HEADERS and BODY may be NULL. Returns 0, ERR_REFUSED when it cannot connect, or ERR_TIMEOUT
 * when no answer arrives.
 */
int httpc_call(const char *address, u16 port, const char *method, const char *path,
	       const char *headers, const char *body, u32 timeout_ms, struct httpc_reply *reply);
void httpc_reply_clear(struct httpc_reply *r);

#endif
