/*
 * api - the resource interface over HTTP
 *
 * SOURCE control/api.c, control/api_set.c, control/api_watch.c
 */
#ifndef API_H
#define API_H

#include "control/control.h"
#include "control/op.h"
#include "lib/findings.h"

#include <civetweb.h>
#include <jansson.h>
#include <pthread.h>

/* A request that waits on a server thread for the loop's thread. */
struct api_waiter {
	pthread_mutex_t lock;
	pthread_cond_t cond;
	bool is_done;
	struct control *control;
	struct op *op;
	/* render makes the body on the loop's thread, after success. */
	char *(*render)(struct control *c, struct api_waiter *w);
	const char *name;
	char *body;
	const char *own_json; /* the service that a PUT brought */
};

/* api_run_change - carry out CHANGE and wait; api_send answers then. */
void api_run_change(struct api_waiter *w, const struct store_change *change);

/* api_send - answer with STATUS when the operation is done, else why not; ends W. Returns it. */
int api_send(struct mg_connection *conn, struct api_waiter *w, u16 status);

/* api_read - read and answer with what W renders, or 404 with MISSING; ends W. */
int api_read(struct mg_connection *conn, struct api_waiter *w, const char *missing);
/* api_read_body - 0, or the status of the error that was sent. */
int api_read_body(struct mg_connection *conn, GByteArray *body, u32 most_bytes);
int api_send_findings(struct mg_connection *conn, const struct findings *found);

/* api_parse_version - digits, bare or in quotes as an entity tag. */
bool api_parse_version(const char *text, u64 *out);

/* api_add_in_force - set "status" of OBJ. */
void api_add_in_force(struct control *c, json_t *obj);

/* api_dump - OBJ as one line, to be freed with g_free; drops the reference. */
char *api_dump(json_t *obj);

bool api_is_get(struct mg_connection *conn);
int api_on_set(struct mg_connection *conn, void *control);
int api_on_watch(struct mg_connection *conn, void *control);

#endif
