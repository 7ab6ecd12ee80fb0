/*
 * http_server - common parts of the HTTP servers, on CivetWeb
 *
 * SOURCE lib/http_server.c
 */
#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include "lib/types.h"

#include <glib.h>

struct mg_connection;
struct mg_context;

/* http_server_start - a server on ADDRESS:PORT, or NULL when it cannot listen. */
struct mg_context *http_server_start(const char *address, u16 port, u32 threads);

/*
 * http_send_response - a whole answer. OUTCOME and REASON become the headers
 * Lavenderlead-Outcome and Lavenderlead-Reason when not NULL. Returns STATUS.
 */
int http_send_response(struct mg_connection *conn, int status, const char *type,
		       const char *outcome, const char *reason, const char *body);

/* http_send_error - as http_send_response, with TEXT in a JSON object. */
int http_send_error(struct mg_connection *conn, int status, const char *outcome, const char *reason,
		    const char *text);

/*
 * http_read_body - the request body into OUT. Returns 0, ERR_TOOBIG over MAX,
 * or ERR_TRUNCATED when it ended before its announced length.
 */
int http_read_body(struct mg_connection *conn, GByteArray *out, u64 max);

enum http_client { HTTP_CLIENT_CONNECTED, HTTP_CLIENT_HALF_CLOSED, HTTP_CLIENT_DISCONNECTED };

/*
 * http_client_state - HTTP_CLIENT_HALF_CLOSED when the client has closed its side
 * (it may still read, but most have left), HTTP_CLIENT_DISCONNECTED when the
 * connection is broken. For use within a request handler.
 */
int http_client_state(struct mg_connection *conn);

/* http_handle_metrics - a request handler that prints the counters. */
int http_handle_metrics(struct mg_connection *conn, void *unused);

#endif
