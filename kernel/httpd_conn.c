/* Connections of an HTTP server: their life, and what is sent on them. */
#include "kernel/httpd_impl.h"

#include "lib/buf.h"

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

/* Unanswered requests per connection; reading pauses at this number. */
#define PIPELINE_MAX 32
/* Unsent response bytes per connection; reading of requests pauses at this size. */
#define OUT_MAX_BYTES (1024 * 1024)
/* An output buffer that has grown beyond this is freed when it is empty. */
#define OUT_KEEP_BYTES (16 * 1024)

void httpd_request_free(struct httpd_request *r)
{
	http_free(r->msg);
	http_free(r->answer);
	g_free(r);
}

/* A started request stays valid without its connection until the owner answers it. */
static void drop_requests(struct httpd_conn *c)
{
	GList *l;

	while ((l = g_queue_pop_head_link(&c->requests))) {
		struct httpd_request *r = l->data;

		r->conn = NULL;
		c->h->requests--;
		if (r->answer || !r->is_started) {
			httpd_request_free(r);
		} else if (c->h->ops->closed) {
			c->h->ops->closed(r, HTTPD_DISCONNECTED, c->h->arg);
		}
	}
}

/* Those that have not started are the last ones. */
void httpd_conn_drop_unstarted(struct httpd_conn *c)
{
	struct httpd_request *r;

	while ((r = g_queue_peek_tail(&c->requests)) && !r->is_started) {
		g_queue_unlink(&c->requests, &r->link);
		c->h->requests--;
		httpd_request_free(r);
	}
}

static u64 sum_requests(const struct httpd_conn *c)
{
	u64 sum = c->read.msg ? c->read.head_bytes + c->read.msg->body->len : 0;

	for (const GList *l = c->requests.head; l; l = l->next) {
		const struct httpd_request *r = l->data;

		sum += r->head_bytes + r->msg->body->len;
	}
	return sum;
}

void httpd_conn_count_requests(struct httpd_conn *c)
{
	u64 now = c->is_dead ? 0 : sum_requests(c);

	c->h->request_bytes = c->h->request_bytes - c->request_bytes + now;
	c->request_bytes = now;
	httpd_caller_count(c);
}

static void conn_free(struct httpd_conn *c)
{
	http_read_clear(&c->read);
	g_byte_array_unref(c->out);
	g_free(c);
}

void httpd_conn_close(struct httpd_conn *c)
{
	bool is_busy = c->is_busy;

	if (c->is_dead)
		return;
	c->is_dead = true;
	c->is_busy = true;
	loop_fd_remove(c->h->loop, &c->fd);
	close(c->fd.fd);
	g_queue_unlink(&c->h->conns, &c->link);
	drop_requests(c);
	httpd_conn_count_requests(c);
	httpd_caller_leave(c);
	if (!is_busy)
		conn_free(c);
}

bool httpd_conn_begin(struct httpd_conn *c)
{
	bool was_busy = c->is_busy;

	c->is_busy = true;
	return was_busy;
}

void httpd_conn_end(struct httpd_conn *c, bool was_busy)
{
	c->is_busy = was_busy;
	if (c->is_dead && !was_busy)
		conn_free(c);
}

size_t httpd_conn_unsent_bytes(const struct httpd_conn *c)
{
	return c->out->len - c->out_off;
}

bool httpd_conn_has_much_to_send(const struct httpd_conn *c)
{
	return httpd_conn_unsent_bytes(c) >= OUT_MAX_BYTES;
}

bool httpd_conn_wants_read(const struct httpd_conn *c)
{
	if (c->is_lingering)
		return true;
	if (c->h->is_stopping && c->requests.length)
		return false;
	return !c->is_eof && !c->must_close && c->requests.length < PIPELINE_MAX &&
	       !httpd_conn_has_much_to_send(c);
}

void httpd_conn_update_events(struct httpd_conn *c)
{
	u32 events = 0;

	if (c->is_dead)
		return;
	if (httpd_conn_wants_read(c))
		events |= EPOLLIN;
	if (!c->is_eof)
		events |= EPOLLRDHUP;
	if (httpd_conn_unsent_bytes(c))
		events |= EPOLLOUT;
	if (events != c->events)
		loop_fd_change(c->h->loop, &c->fd, events);
	c->events = events;
}

bool httpd_conn_is_idle(const struct httpd_conn *c)
{
	return !c->requests.length && !httpd_conn_unsent_bytes(c);
}

/* Closing a socket with unread data would send a RST, and the caller could lose the response. */
static void linger(struct httpd_conn *c)
{
	if (c->is_lingering)
		return;
	c->is_lingering = true;
	c->since_us = loop_clock_us();
	shutdown(c->fd.fd, SHUT_WR);
}

void httpd_conn_flush(struct httpd_conn *c)
{
	while (httpd_conn_unsent_bytes(c)) {
		ssize_t n = send(c->fd.fd, c->out->data + c->out_off, httpd_conn_unsent_bytes(c),
				 MSG_NOSIGNAL);

		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			break;
		if (n < 0) {
			httpd_conn_close(c);
			return;
		}
		c->out_off += (guint)n;
		c->sent_bytes += (u64)n;
	}
	if (!httpd_conn_unsent_bytes(c)) {
		c->out_off = 0;
		c->out = buf_empty(c->out, OUT_KEEP_BYTES);
	}
	httpd_caller_count(c);
	if (httpd_conn_is_idle(c) && c->is_eof)
		httpd_conn_close(c);
	else if (httpd_conn_is_idle(c) && c->must_close)
		linger(c);
	httpd_conn_update_events(c);
}

static bool has_body(const struct http_msg *request, u16 status)
{
	return status >= 200 && status != 204 && status != 304 &&
	       (!request || g_strcmp0(request->method, "HEAD"));
}

void httpd_conn_append_bytes(struct httpd_conn *c, const void *data, size_t len)
{
	if (!c->out->len) {
		c->out_since_us = loop_clock_us();
		c->out_from_bytes = c->sent_bytes;
	}
	g_byte_array_append(c->out, data, (guint)len);
}

void httpd_conn_append(struct httpd_conn *c, const char *text)
{
	httpd_conn_append_bytes(c, text, strlen(text));
}

void httpd_conn_write_head(struct httpd_conn *c, const struct http_msg *m)
{
	g_autofree char *status_line =
		g_strdup_printf("HTTP/1.1 %u %s\r\n", m->status, http_reason_phrase(m->status));

	httpd_conn_append(c, status_line);
	for (guint i = 0; i < m->headers->len; i++) {
		const struct http_header *h = g_ptr_array_index(m->headers, i);

		if (http_is_hop_by_hop_header(h->name))
			continue;
		httpd_conn_append(c, h->name);
		httpd_conn_append(c, ": ");
		httpd_conn_append(c, h->value);
		httpd_conn_append(c, "\r\n");
	}
}

void httpd_conn_write_answer(struct httpd_conn *c, const struct http_msg *request,
			     const struct http_msg *m)
{
	g_autofree char *length = g_strdup_printf("Content-Length: %u\r\n", m->body->len);

	httpd_conn_write_head(c, m);
	if (has_body(request, m->status))
		httpd_conn_append(c, length);
	httpd_conn_append(c, c->must_close ? "Connection: close\r\n\r\n" : "\r\n");
	if (has_body(request, m->status))
		g_byte_array_append(c->out, m->body->data, m->body->len);
}
