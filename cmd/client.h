/*
 * client - the operator's side of the resource interface
 *
 * Tries the control processes of the list in turn; a change is sent again
 * with the same change id, so it is carried out once.
 *
 * SOURCE cmd/client.c
 */
#ifndef CLIENT_H
#define CLIENT_H

#include "lib/settings.h"

struct client {
	GArray *control; /* of struct endpoint */
	guint at; /* the one that answered last */
};

/* client_open - from TEXT, or from LAVENDERLEAD_CONTROL when NULL. Returns 0 or ERR_INVAL. */
int client_open(struct client *c, const char *text);
void client_close(struct client *c);

struct client_reply {
	int status;
	char *body;
	bool is_unknown; /* the server says that the outcome is not known */
};

/*
 * client_call - one request, tried at each control process until one
 * answers with something else than 503. HEADERS are lines that end in CRLF.
 * Returns 0 with REPLY set, ERR_TIMEOUT when an answer was lost, or
 * ERR_REFUSED when none could be reached.
 */
int client_call(struct client *c, const char *method, const char *path, const char *headers,
		const char *body, struct client_reply *reply);
void client_reply_clear(struct client_reply *r);

/* client_stream - GET PATH and copy the body to standard output until it ends. */
int client_stream(struct client *c, const char *path);

/* client_explain - print what went wrong and return the exit code. */
int client_explain(int err, const struct client_reply *reply);

#endif
