/* What is sent to the upstream. */
#include "node/upstream_impl.h"

#include "node/retry.h"

#include <string.h>

static bool has_request_body(const struct http_msg *m)
{
	return m->body->len || !strcmp(m->method, "POST") || !strcmp(m->method, "PUT") ||
	       !strcmp(m->method, "PATCH");
}

static void append_headers(GString *head, const struct http_msg *m, const struct dialect *d)
{
	for (guint i = 0; i < m->headers->len; i++) {
		const struct http_header *h = g_ptr_array_index(m->headers, i);

		if (http_is_hop_by_hop_header(h->name) || d->is_rewritten_header(h->name))
			continue;
		g_string_append_printf(head, "%s: %s\r\n", h->name, h->value);
	}
}

void upstream_append_request(struct upstream_conn *c, struct upstream_call *call)
{
	const struct http_msg *m = call->request;
	struct dialect_request_info info = {
		.remaining_ms = retry_upstream_timeout_ms(call->deadline_us, loop_clock_us()),
		.instance = call->instance,
	};
	g_autoptr(GString) head = g_string_new(NULL);

	g_string_printf(head, "%s %s HTTP/1.1\r\n", m->method, m->target);
	/*
	 * Before the caller's headers: an upstream that reads only so many of them must not miss
	 * where the request ends, and take its body for the next one.
	 */
	if (has_request_body(m))
		g_string_append_printf(head, "Content-Length: %u\r\n", m->body->len);
	g_string_append(head, "Connection: keep-alive\r\n");
	c->u->dialect->write_request_headers(head, &info);
	append_headers(head, m, c->u->dialect);
	g_string_append(head, "\r\n");
	g_byte_array_append(c->out, (const guint8 *)head->str, (guint)head->len);
	g_byte_array_append(c->out, m->body->data, m->body->len);
}
