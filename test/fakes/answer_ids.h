/* answer_ids - answers that name the request they answer, and calls that name themselves */
#ifndef ANSWER_IDS_H
#define ANSWER_IDS_H

#include "test/fakes/upstream_client.h"

#define ID_HEADER "Lavenderlead-Attempt-Id"
#define ID_A ID_HEADER ": a\r\n"
#define ID_B ID_HEADER ": b\r\n"
#define NOT_RUN "Lavenderlead-Not-Executed: 1\r\n"
#define EMPTY "Content-Length: 0\r\n"

/* The answer to the request b, which the upstream runs. */
#define OWN "HTTP/1.1 200 OK\r\n" ID_B "X-Bird: hoopoe\r\nContent-Length: 5\r\n\r\nnoted"
#define REFUSAL_A "HTTP/1.1 503 Service Unavailable\r\n" ID_A NOT_RUN EMPTY "\r\n"

/* answer_ids_request - a request that names itself ID; NULL for none. */
struct http_msg *answer_ids_request(const char *method, const char *id, size_t body_len);

/* answer_ids_call - the call of REQUEST by C; only POST isn't idempotent. */
struct upstream_call answer_ids_call(struct upstream_client *c, const struct http_msg *request,
				     bool is_poll);

/* answer_ids_run_call - runs one call and frees REQUEST; the caller frees its reply. */
int answer_ids_run_call(struct upstream_client *c, struct http_msg *request, bool is_poll);
int answer_ids_run(struct upstream_client *c, const char *method, const char *id, size_t body_len);

#endif
