#include "test/fakes/answer_ids.h"

#include <string.h>

#define TIMEOUT_US (20 * US_PER_S)
#define BODY_MAX_BYTES 65536

struct http_msg *answer_ids_request(const char *method, const char *id, size_t body_len)
{
	struct http_msg *m = http_new();

	m->method = g_strdup(method);
	m->target = g_strdup("/species/hoopoe");
	if (id)
		http_add_header(m, ID_HEADER, id);
	g_byte_array_set_size(m->body, (guint)body_len);
	if (body_len)
		memset(m->body->data, 'x', body_len);
	return m;
}

struct upstream_call answer_ids_call(struct upstream_client *c, const struct http_msg *request,
				     bool is_poll)
{
	return (struct upstream_call){ .request = request,
				       .is_idempotent = strcmp(request->method, "POST") != 0,
				       .is_poll = is_poll,
				       .deadline_us = loop_clock_us() + TIMEOUT_US,
				       .max_body_bytes = BODY_MAX_BYTES,
				       .done = upstream_client_done,
				       .arg = c };
}

int answer_ids_run_call(struct upstream_client *c, struct http_msg *request, bool is_poll)
{
	int err = upstream_client_run(c, answer_ids_call(c, request, is_poll));

	http_free(request);
	return err;
}

int answer_ids_run(struct upstream_client *c, const char *method, const char *id, size_t body_len)
{
	return answer_ids_run_call(c, answer_ids_request(method, id, body_len), false);
}
