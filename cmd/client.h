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
 * Returns 0 with REPLY set, ERR_TIMEOUT when the answer to a change was lost,
 * or ERR_REFUSED when none answered and nothing was changed.
 */
int client_call(struct client *c, const char *method, const char *path, const char *headers,
		const char *body, struct client_reply *reply);
void client_reply_clear(struct client_reply *r);

/* client_next - go on with the next control process of the list. */
void client_next(struct client *c);

/* client_change_headers - If-Match and a new Change-Id, or NULL without random numbers. */
#define CLIENT_ANY_VERSION UINT64_MAX
char *client_change_headers(const char *prefix, u64 version);

/*
 * client_stream - GET PATH at one control process and pass on each line that
 * is not empty until the stream ends. Returns 0 when any line came, else
 * ERR_REFUSED or ERR_CLOSED.
 */
int client_stream(struct client *c, const char *path, void (*line)(void *arg, const char *text),
		  void *arg);

/* client_explain - print what went wrong and return the exit code. */
int client_explain(int err, const struct client_reply *reply);

#endif
