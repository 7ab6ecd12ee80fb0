/*
 * client - the command line's HTTP client for the API of the control processes
 *
 * Tries the listed control processes in turn. A change is resent with the same
 * Change-Id, so that it is executed only once.
 *
 * SOURCE cmd/client.c
 */
#ifndef CLIENT_H
#define CLIENT_H

#include "lib/settings.h"

#include <jansson.h>

struct client {
	GArray *endpoints; /* of struct endpoint */
	guint current; /* index of the process to call next */
};

/*
 * client_init - initializes C with the ADDRESS:PORT,... list in TEXT, or in
 * LAVENDERLEAD_CONTROL when TEXT is NULL. Returns 0 or ERR_INVAL.
 */
int client_init(struct client *c, const char *text);
void client_clear(struct client *c);

struct client_reply {
	int status;
	char *body;
	bool is_unknown; /* the server reported that the outcome is unknown */
};

/*
 * client_call - sends a request to one control process after another until
 * one answers with a status other than 503. Each line of HEADERS ends in CRLF.
 * Returns 0 with REPLY set, ERR_TIMEOUT when the answer to a change was lost,
 * or ERR_REFUSED when no process answered and nothing was changed.
 */
int client_call(struct client *c, const char *method, const char *path, const char *headers,
		const char *body, struct client_reply *reply);
void client_reply_clear(struct client_reply *r);

/* client_load - returns the JSON of an answer; NULL for TEXT that is NULL or not valid. */
json_t *client_load(const char *text);

/* client_next_endpoint - switches to the next control process of the list. */
void client_next_endpoint(struct client *c);

/*
 * client_change_headers - returns an If-Match header for VERSION, left out for
 * CLIENT_ANY_VERSION, and a new Change-Id that starts with PREFIX. Returns NULL
 * when the system provides no random numbers.
 */
#define CLIENT_ANY_VERSION UINT64_MAX
char *client_change_headers(const char *prefix, u64 version);

/*
 * client_stream - sends GET PATH to the current control process and calls
 * ON_LINE for each line that is not empty until the stream ends or stalls.
 * Returns 0 when any line was received, else ERR_REFUSED or ERR_CLOSED.
 */
int client_stream(struct client *c, const char *path, void (*on_line)(void *arg, const char *text),
		  void *arg);

/* client_print_error - prints why a call failed and returns the exit code. */
int client_print_error(int err, const struct client_reply *reply);

#endif
