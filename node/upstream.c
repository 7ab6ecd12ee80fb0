#include "node/upstream.h"

#include "kernel/loop.h"
#include "lib/err.h"
#include "node/retry.h"

#include <civetweb.h>
#include <stdio.h>
#include <string.h>

#define READ_BYTES 16384
/* How often a waiting call looks for cancellation. */
#define WAIT_STEP_MS 20
/* An older idle connection may be closed by the upstream just as a request is written. */
#define IDLE_MAX_US (500 * US_PER_MS)

struct upstream {
	struct mg_connection *conn;
	u16 port;
	u64 used_us;
};

struct upstream *upstream_new(void)
{
	return g_new0(struct upstream, 1);
}

static void disconnect(struct upstream *u)
{
	if (u->conn)
		mg_close_connection(u->conn);
	u->conn = NULL;
}

void upstream_free(struct upstream *u)
{
	disconnect(u);
	g_free(u);
}

static int connect_to(struct upstream *u, u16 port)
{
	char why[128];

	if (u->conn && (u->port != port || loop_clock_us() - u->used_us > IDLE_MAX_US))
		disconnect(u);
	if (u->conn)
		return 0;
	u->conn = mg_connect_client("127.0.0.1", port, 0, why, sizeof(why));
	u->port = port;
	return u->conn ? 0 : ERR_REFUSED;
}

static u64 left_ms(const struct upstream_call *call)
{
	u64 now = loop_clock_us();

	return call->deadline_us > now ? (call->deadline_us - now) / US_PER_MS : 0;
}

static bool sends_body(const struct http_msg *m)
{
	return m->body->len || !strcmp(m->method, "POST") || !strcmp(m->method, "PUT");
}

static int write_request(struct upstream *u, const struct upstream_call *call)
{
	const struct http_msg *m = call->request;
	g_autoptr(GString) head = g_string_new(NULL);

	g_string_printf(head, "%s %s HTTP/1.1\r\n", m->method, m->target);
	for (guint i = 0; i < m->headers->len; i++) {
		const struct http_header *h = g_ptr_array_index(m->headers, i);

		if (!http_is_hop_header(h->name) &&
		    g_ascii_strcasecmp(h->name, "Lavenderlead-Timeout-Ms"))
			g_string_append_printf(head, "%s: %s\r\n", h->name, h->value);
	}
	g_string_append_printf(
		head, "Lavenderlead-Timeout-Ms: %llu\r\n",
		(unsigned long long)retry_time_below_ms(call->deadline_us, loop_clock_us()));
	if (sends_body(m))
		g_string_append_printf(head, "Content-Length: %u\r\n", m->body->len);
	g_string_append(head, "Connection: keep-alive\r\n\r\n");
	if (mg_write(u->conn, head->str, head->len) != (int)head->len)
		return ERR_CLOSED;
	if (m->body->len && mg_write(u->conn, m->body->data, m->body->len) != (int)m->body->len)
		return ERR_CLOSED;
	return 0;
}

static bool is_cancelled(struct upstream_call *call)
{
	return __atomic_load_n(&call->is_cancelled, __ATOMIC_ACQUIRE);
}

/* Waits for the head in steps, so that a cancellation is noticed. */
static int wait_head(struct upstream *u, struct upstream_call *call)
{
	char why[128];

	for (;;) {
		u64 left = left_ms(call);

		if (is_cancelled(call))
			return ERR_CANCELLED;
		if (!left)
			return ERR_TIMEOUT;
		why[0] = 0;
		if (mg_get_response(u->conn, why, sizeof(why), (int)MIN(left, WAIT_STEP_MS)) > 0)
			return 0;
		if (!strstr(why, "No data"))
			return ERR_CLOSED;
	}
}

static bool has_no_body(const struct http_msg *request, int status)
{
	return !strcmp(request->method, "HEAD") || status == 204 || status == 304;
}

static int read_body(struct upstream *u, const struct mg_response_info *ri,
		     struct upstream_call *call, GByteArray *out)
{
	int n;

	do {
		guint old = out->len;

		g_byte_array_set_size(out, old + READ_BYTES);
		n = mg_read(u->conn, out->data + old, READ_BYTES);
		g_byte_array_set_size(out, old + (n > 0 ? (guint)n : 0));
		if (out->len > call->max_body_bytes)
			return ERR_TOOBIG;
		if (is_cancelled(call))
			return ERR_CANCELLED;
	} while (n > 0);
	if (n < 0)
		return ERR_SHORT;
	if (ri->content_length >= 0 && (u64)out->len < (u64)ri->content_length)
		return ERR_SHORT;
	return 0;
}

static int read_reply(struct upstream *u, struct upstream_call *call, struct http_msg **reply)
{
	const struct mg_response_info *ri;
	struct http_msg *m;
	int err = wait_head(u, call);

	if (err)
		return err;
	ri = mg_get_response_info(u->conn);
	m = http_new();
	m->status = (u16)ri->status_code;
	for (int i = 0; i < ri->num_headers && i < HTTP_HEADERS_MAX; i++)
		if (!http_is_hop_header(ri->http_headers[i].name))
			http_add_header(m, ri->http_headers[i].name, ri->http_headers[i].value);
	if (!has_no_body(call->request, m->status))
		err = read_body(u, ri, call, m->body);
	if (err) {
		http_free(m);
		return err;
	}
	*reply = m;
	return 0;
}

/* True when the upstream keeps the connection open and its end of the body is known. */
static bool is_reusable(struct upstream *u)
{
	const struct mg_response_info *ri = mg_get_response_info(u->conn);

	for (int i = 0; i < ri->num_headers; i++) {
		const struct mg_header *h = &ri->http_headers[i];

		if (!g_ascii_strcasecmp(h->name, "Connection"))
			return !strstr(h->value, "close");
	}
	return ri->content_length >= 0 && !strcmp(ri->http_version, "1.1");
}

int upstream_run(struct upstream *u, u16 port, struct upstream_call *call, struct http_msg **reply)
{
	int err = connect_to(u, port);

	*reply = NULL;
	if (err)
		return err;
	err = write_request(u, call);
	if (!err)
		err = read_reply(u, call, reply);
	if (err || !is_reusable(u))
		disconnect(u);
	u->used_us = loop_clock_us();
	return err;
}
