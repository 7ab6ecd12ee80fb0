/* What an HTTP server reads, and what is wrong or late. */
#include "kernel/httpd_impl.h"

#include "lib/err.h"

#include <errno.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#define READ_BYTES 16384
/* Time for the caller to read the last response before the connection is closed. */
#define LINGER_US (1 * US_PER_S)

static u16 error_status(const struct httpd_conn *c, int err)
{
	if (err != ERR_TOOBIG)
		return 400;
	return c->read.is_in_body ? 413 : 431;
}

/* Sends an error response of the server itself and closes the connection after it. */
void httpd_conn_send_error(struct httpd_conn *c, u16 status, enum ctr reason)
{
	g_autofree char *body = g_strdup_printf("{\"error\":\"%s\"}\n", http_reason_phrase(status));
	struct http_msg *m = http_json_response(status, body);

	ctr_inc(reason);
	if (c->h->ops->refuse)
		c->h->ops->refuse(m, reason, c->h->arg);
	c->must_close = true;
	httpd_conn_write_answer(c, NULL, m);
	http_free(m);
}

/* If earlier requests are unanswered, their responses are sent first, without an error response. */
static void reject_input(struct httpd_conn *c, int err)
{
	if (c->requests.length) {
		c->is_eof = true;
		return;
	}
	httpd_conn_send_error(c, error_status(c, err),
			      c->read.is_in_body && err == ERR_TOOBIG ? CTR_BODY_TOO_LARGE :
									CTR_HTTP_MALFORMED);
}

/* Returns whether requests take more memory than they may. */
static bool is_over(const struct httpd *h)
{
	const struct httpd_limits *l = &h->limits;

	return h->request_bytes > MAX(l->all_request_bytes, l->body_bytes) || held_is_over(h->held);
}

/* Frees the part of the request at once: the connection stays open while the response is read. */
static void refuse_for_memory(struct httpd_conn *c)
{
	if (c->read.msg) {
		g_byte_array_unref(c->read.msg->body);
		c->read.msg->body = g_byte_array_new();
	}
	httpd_caller_log_refusal(c, CTR_QUEUE_MEMORY);
	httpd_conn_drop_unstarted(c);
	httpd_conn_count_requests(c);
	if (c->requests.length) {
		ctr_inc(CTR_QUEUE_MEMORY);
		c->is_eof = true;
	} else {
		httpd_conn_send_error(c, 503, CTR_QUEUE_MEMORY);
	}
}

static void refuse_sender(struct httpd_conn *c)
{
	bool was_busy = httpd_conn_begin(c);

	refuse_for_memory(c);
	if (!was_busy)
		httpd_conn_flush(c);
	httpd_conn_end(c, was_busy);
}

/* Slow readers go first: a request that is refused may be that of an ordinary caller. */
static void make_room(struct httpd *h)
{
	struct httpd_conn *c;

	httpd_caller_make_room(h, NULL);
	while (is_over(h) && (c = httpd_caller_find_slowest_sender(h)))
		refuse_sender(c);
}

static void report_close(struct httpd_conn *c, enum httpd_close_kind how)
{
	GList *next;

	for (GList *l = c->requests.head; l && c->h->ops->closed; l = next) {
		struct httpd_request *r = l->data;

		next = l->next;
		if (!r->is_started)
			r->caller_closed = true;
		else if (!r->answer)
			c->h->ops->closed(r, how, c->h->arg);
	}
}

static void on_eof(struct httpd_conn *c)
{
	if (c->is_eof)
		return;
	c->is_eof = true;
	if (c->is_lingering) {
		httpd_conn_close(c);
		return;
	}
	if (!http_read_is_idle(&c->read) && !c->requests.length) {
		httpd_conn_send_error(c, 400, CTR_BAD_REQUEST); /* the request is incomplete */
		return;
	}
	report_close(c, HTTPD_HALF_CLOSED);
}

void httpd_conn_read(struct httpd_conn *c)
{
	u8 buf[READ_BYTES];
	ssize_t n = recv(c->fd.fd, buf, sizeof(buf), 0);
	int err;

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n < 0) {
		httpd_conn_close(c);
		return;
	}
	if (n == 0) {
		on_eof(c);
		return;
	}
	if (c->is_lingering)
		return;
	if (http_read_is_idle(&c->read))
		c->since_us = loop_clock_us();
	c->read.max_head_bytes = c->h->limits.head_bytes;
	c->read.max_body_bytes = c->h->limits.body_bytes;
	err = http_read_feed(&c->read, buf, (size_t)n, NULL);
	httpd_conn_count_requests(c);
	if (err)
		reject_input(c, err);
	else if (is_over(c->h))
		make_room(c->h);
}

void httpd_conn_on_ready(void *arg, u32 events)
{
	struct httpd_conn *c = arg;
	bool was_busy = httpd_conn_begin(c);

	if (events & (EPOLLIN | EPOLLRDHUP)) {
		if (httpd_conn_wants_read(c) || c->is_eof)
			httpd_conn_read(c);
		else if (events & EPOLLRDHUP)
			on_eof(c);
	}
	if (!c->is_dead && (events & (EPOLLHUP | EPOLLERR)))
		httpd_conn_close(c);
	httpd_conn_advance(c);
	httpd_conn_end(c, was_busy);
}

/* Time limit from the first byte of a request to the end of its head or of its body. */
static u64 read_timeout_us(const struct httpd_conn *c)
{
	const struct httpd_limits *l = &c->h->limits;

	return l->head_timeout_us + (c->read.is_in_body ? l->idle_timeout_us : 0);
}

void httpd_conn_check_timeout(struct httpd_conn *c, u64 now_us)
{
	u64 age = now_us > c->since_us ? now_us - c->since_us : 0;

	httpd_caller_check_stall(c, now_us);
	if (c->is_dead)
		return;
	if (c->is_lingering && age > LINGER_US) {
		httpd_conn_close(c);
	} else if (c->is_lingering || c->requests.length || c->must_close) {
		return;
	} else if (http_read_is_idle(&c->read)) {
		if (age > c->h->limits.idle_timeout_us)
			httpd_conn_close(c);
	} else if (age > read_timeout_us(c)) {
		httpd_conn_send_error(c, 408, CTR_BAD_REQUEST);
		httpd_conn_flush(c);
	}
}
