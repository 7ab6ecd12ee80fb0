/* Responses whose length is not known when they begin, in chunked encoding. */
#include "kernel/httpd_impl.h"

#define CHUNK_END "\r\n"
#define LAST_CHUNK "0\r\n\r\n"

/* Sends what was appended, unless the callbacks that run do it when they have returned. */
static void flush(struct httpd_conn *c)
{
	bool was_busy = httpd_conn_begin(c);

	if (!was_busy)
		httpd_conn_flush(c);
	if (!c->is_dead)
		httpd_caller_make_room(c->h, c->address);
	httpd_conn_end(c, was_busy);
}

void httpd_stream_begin(struct httpd_request *r, struct http_msg *head)
{
	if (r->conn) {
		httpd_conn_write_head(r->conn, head);
		httpd_conn_append(r->conn, "Transfer-Encoding: chunked\r\n\r\n");
		flush(r->conn);
	}
	http_free(head);
}

void httpd_stream_write(struct httpd_request *r, const void *data, size_t len)
{
	char size[32];

	if (!r->conn || !len)
		return;
	g_snprintf(size, sizeof(size), "%zx\r\n", len);
	httpd_conn_append(r->conn, size);
	httpd_conn_append_bytes(r->conn, data, len);
	httpd_conn_append(r->conn, CHUNK_END);
	flush(r->conn);
}

void httpd_stream_end(struct httpd_request *r)
{
	struct httpd_conn *c = r->conn;
	bool was_busy;

	if (!c) {
		httpd_request_free(r);
		return;
	}
	was_busy = httpd_conn_begin(c);
	httpd_conn_append(c, LAST_CHUNK);
	httpd_conn_pop_request(c, r);
	httpd_request_free(r);
	if (!was_busy)
		httpd_conn_advance(c);
	httpd_conn_end(c, was_busy);
}

size_t httpd_stream_unsent(const struct httpd_request *r)
{
	return r->conn ? httpd_conn_unsent_bytes(r->conn) : 0;
}
