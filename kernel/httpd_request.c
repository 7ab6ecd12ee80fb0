/* Requests of an HTTP server, which are answered in the order of their arrival. */
#include "kernel/httpd_impl.h"

#include "lib/err.h"

#include <poll.h>

static void start_queued(struct httpd_conn *c);

/*
 * Requests that were already read must be answered before the connection closes. Callers send those
 * again that they sent behind the last response.
 */
static bool is_last_answer(const struct httpd_conn *c)
{
	return !c->requests.length && (c->h->is_stopping || http_read_is_idle(&c->read));
}

void httpd_conn_pop_request(struct httpd_conn *c, struct httpd_request *r)
{
	g_queue_unlink(&c->requests, &r->link);
	c->h->requests--;
	if (is_last_answer(c))
		c->must_close = loop_clock_us() >= c->h->keep_alive_until_us || r->asks_to_close ||
				c->is_eof;
}

/* Writes the completed responses at the head of the queue, in order. */
static void write_ready_answers(struct httpd_conn *c)
{
	struct httpd_request *r;

	while ((r = g_queue_peek_head(&c->requests)) && r->answer && !c->must_close) {
		httpd_conn_pop_request(c, r);
		httpd_conn_write_answer(c, r->msg, r->answer);
		httpd_request_free(r);
	}
	httpd_conn_count_requests(c);
	if (!c->requests.length)
		c->since_us = loop_clock_us();
}

static bool has_ready_answer(const struct httpd_conn *c)
{
	const struct httpd_request *r = g_queue_peek_head((GQueue *)&c->requests);

	return r && r->answer && !c->must_close;
}

/* Loops because a request may be answered as it starts, and then lets the next one start. */
static void answer_and_start(struct httpd_conn *c)
{
	do {
		if (!c->is_dead)
			write_ready_answers(c);
		if (!c->is_dead && !c->must_close)
			start_queued(c);
	} while (!c->is_dead && has_ready_answer(c));
}

void httpd_conn_advance(struct httpd_conn *c)
{
	do {
		answer_and_start(c);
		if (!c->is_dead)
			httpd_conn_flush(c);
	} while (!c->is_dead && c->is_held_back && !httpd_conn_has_much_to_send(c));
	if (!c->is_dead)
		httpd_caller_make_room(c->h, c->address);
}

void httpd_answer(struct httpd_request *r, struct http_msg *answer)
{
	struct httpd_conn *c = r->conn;
	bool was_busy;

	r->answer = answer;
	if (!c) {
		httpd_request_free(r);
		return;
	}
	if (c->is_busy)
		return; /* written after the callbacks have returned */
	was_busy = httpd_conn_begin(c);
	httpd_conn_advance(c);
	httpd_conn_end(c, was_busy);
}

enum httpd_caller httpd_caller(const struct httpd_request *r)
{
	const struct httpd_conn *c = r->conn;
	struct pollfd p = { .events = POLLRDHUP };

	if (!c || c->is_dead)
		return HTTPD_CALLER_GONE;
	p.fd = c->fd.fd;
	if (poll(&p, 1, 0) > 0 && (p.revents & (POLLERR | POLLHUP | POLLNVAL)))
		return HTTPD_CALLER_GONE;
	return c->is_eof || (p.revents & POLLRDHUP) ? HTTPD_CALLER_HALF_CLOSED : HTTPD_CALLER_OPEN;
}

/* R may have been freed already. */
static bool is_unanswered(const struct httpd_conn *c, const struct httpd_request *r)
{
	return g_queue_find((GQueue *)&c->requests, r) && !r->answer;
}

static void start(struct httpd_conn *c, struct httpd_request *r)
{
	bool caller_closed = r->caller_closed;

	r->is_started = true;
	c->h->ops->request(r, c->h->arg);
	/* The caller closed its side while the request was queued. */
	if (caller_closed && is_unanswered(c, r) && c->h->ops->closed)
		c->h->ops->closed(r, HTTPD_HALF_CLOSED, c->h->arg);
}

/* Starts the first request, and those after it that may overlap. */
static void start_queued(struct httpd_conn *c)
{
	GList *l = c->requests.head;

	c->is_held_back = false;
	while (l && !c->is_dead) {
		struct httpd_request *r = l->data;
		GList *next = l->next;
		bool is_first = l == c->requests.head;

		if (!r->is_started) {
			if (!is_first && !c->h->ops->may_overlap(r, c->h->arg))
				return;
			c->is_held_back = httpd_conn_has_much_to_send(c);
			if (c->is_held_back)
				return;
			start(c, r);
		}
		l = next;
	}
}

/*
 * Two hosts might be read differently here and at an upstream (RFC 9112 3.2). HTTP/1.0 knows no
 * host.
 */
static bool has_valid_host(const struct http_read *read, const struct httpd_ops *ops)
{
	u32 hosts = http_count_headers(read->msg, "Host");
	bool is_needed = ops->needs_host && read->parser.http_minor > 0;

	return hosts == 1 || (!hosts && !is_needed);
}

static int on_head(struct http_read *read)
{
	struct httpd_conn *c = read->arg;
	const char *expect = http_header(read->msg, "Expect");

	if (!has_valid_host(read, c->h->ops))
		return ERR_INVAL;
	if (expect && !g_ascii_strcasecmp(expect, "100-continue") && !c->requests.length)
		httpd_conn_append(c, "HTTP/1.1 100 Continue\r\n\r\n");
	return 0;
}

static int on_message(struct http_read *read, struct http_msg *m)
{
	struct httpd_conn *c = read->arg;
	struct httpd_request *r = g_new0(struct httpd_request, 1);

	r->conn = c;
	r->msg = m;
	r->began_us = loop_clock_us();
	r->head_bytes = (u32)read->head_bytes;
	r->asks_to_close = !read->is_keep_alive;
	r->link.data = r;
	g_queue_push_tail_link(&c->requests, &r->link);
	c->h->requests++;
	c->since_us = r->began_us;
	return 0;
}

const struct http_read_ops httpd_read_ops = { .head = on_head, .message = on_message };
