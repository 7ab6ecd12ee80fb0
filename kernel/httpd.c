#include "kernel/httpd.h"

#include "lib/ctr.h"
#include "lib/err.h"
#include "lib/http_read.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define BACKLOG 512
#define READ_BYTES 16384
/* Unanswered requests per connection; reading pauses at this number. */
#define PIPELINE_MAX 32
/* Unsent response bytes per connection; reading of requests pauses at this size. */
#define OUT_MAX_BYTES (1024 * 1024)
/* Interval at which connections are checked for timeouts. */
#define TIMEOUT_CHECK_US (500 * US_PER_MS)
/* Time for the caller to read the last response before the connection is closed. */
#define LINGER_US (1 * US_PER_S)

const struct httpd_limits httpd_default_limits = {
	.head_bytes = HTTP_TEXT_MAX_BYTES,
	.body_bytes = 8 * 1024 * 1024,
	.head_timeout_us = 10 * US_PER_S,
	.idle_timeout_us = 60 * US_PER_S,
};

struct httpd {
	struct loop *loop;
	struct loop_fd fd;
	const struct httpd_ops *ops;
	void *arg;
	struct httpd_limits limits;
	struct loop_timer timeout_timer;
	GQueue conns; /* of struct httpd_conn */
	u32 requests;
	bool no_keep_alive;
	bool is_stopping; /* nothing is read behind an unanswered request */
	u16 incomplete_status; /* of httpd_refuse_incomplete */
	enum ctr incomplete_reason;
};

struct httpd_conn {
	struct httpd *h;
	struct loop_fd fd;
	struct http_read read;
	GQueue requests; /* of struct httpd_request, in order of arrival */
	GByteArray *out;
	guint out_off;
	GList link;
	u64 since_us; /* start of the idle time, of the request being read, or of lingering */
	u32 events;
	bool is_eof;
	bool must_close; /* after the data in out is sent */
	bool is_lingering;
	bool is_busy; /* callbacks are running; a closed connection is freed afterwards */
	bool is_dead;
};

static void request_free(struct httpd_request *r)
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
			request_free(r);
		} else if (c->h->ops->closed) {
			c->h->ops->closed(r, HTTPD_DISCONNECTED, c->h->arg);
		}
	}
}

static void conn_free(struct httpd_conn *c)
{
	http_read_clear(&c->read);
	g_byte_array_unref(c->out);
	g_free(c);
}

static void conn_close(struct httpd_conn *c)
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
	if (!is_busy)
		conn_free(c);
}

/* Callbacks run between these two, so that a connection closed in one stays valid. */
static bool callbacks_begin(struct httpd_conn *c)
{
	bool was_busy = c->is_busy;

	c->is_busy = true;
	return was_busy;
}

static void callbacks_end(struct httpd_conn *c, bool was_busy)
{
	c->is_busy = was_busy;
	if (c->is_dead && !was_busy)
		conn_free(c);
}

static bool wants_read(const struct httpd_conn *c)
{
	if (c->is_lingering)
		return true;
	if (c->h->is_stopping && c->requests.length)
		return false;
	return !c->is_eof && !c->must_close && c->requests.length < PIPELINE_MAX &&
	       c->out->len - c->out_off < OUT_MAX_BYTES;
}

static void update_events(struct httpd_conn *c)
{
	u32 events = 0;

	if (c->is_dead)
		return;
	if (wants_read(c))
		events |= EPOLLIN;
	if (!c->is_eof)
		events |= EPOLLRDHUP;
	if (c->out_off < c->out->len)
		events |= EPOLLOUT;
	if (events != c->events)
		loop_fd_change(c->h->loop, &c->fd, events);
	c->events = events;
}

static bool is_idle(const struct httpd_conn *c)
{
	return !c->requests.length && c->out_off == c->out->len;
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

static void flush(struct httpd_conn *c)
{
	while (c->out_off < c->out->len) {
		ssize_t n = send(c->fd.fd, c->out->data + c->out_off, c->out->len - c->out_off,
				 MSG_NOSIGNAL);

		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			break;
		if (n < 0) {
			conn_close(c);
			return;
		}
		c->out_off += (guint)n;
	}
	if (c->out_off == c->out->len) {
		g_byte_array_set_size(c->out, 0);
		c->out_off = 0;
	}
	if (is_idle(c) && c->is_eof)
		conn_close(c);
	else if (is_idle(c) && c->must_close)
		linger(c);
	update_events(c);
}

static bool has_body(const struct http_msg *request, u16 status)
{
	return status >= 200 && status != 204 && status != 304 &&
	       (!request || g_strcmp0(request->method, "HEAD"));
}

static void append(struct httpd_conn *c, const char *text)
{
	g_byte_array_append(c->out, (const guint8 *)text, (guint)strlen(text));
}

static void write_answer(struct httpd_conn *c, const struct http_msg *request,
			 const struct http_msg *m)
{
	g_autofree char *status_line =
		g_strdup_printf("HTTP/1.1 %u %s\r\n", m->status, http_reason_phrase(m->status));
	g_autofree char *length = g_strdup_printf("Content-Length: %u\r\n", m->body->len);

	append(c, status_line);
	for (guint i = 0; i < m->headers->len; i++) {
		const struct http_header *h = g_ptr_array_index(m->headers, i);

		if (http_is_hop_by_hop_header(h->name))
			continue;
		append(c, h->name);
		append(c, ": ");
		append(c, h->value);
		append(c, "\r\n");
	}
	if (has_body(request, m->status))
		append(c, length);
	append(c, c->must_close ? "Connection: close\r\n\r\n" : "\r\n");
	if (has_body(request, m->status))
		g_byte_array_append(c->out, m->body->data, m->body->len);
}

static bool asks_to_close(const struct http_msg *request)
{
	const char *value = http_header(request, "Connection");

	return value && !g_ascii_strcasecmp(value, "close");
}

static void start_queued(struct httpd_conn *c);

/*
 * Requests that were already read must be answered before the connection closes. Callers send those
 * again that they sent behind the last response.
 */
static bool is_last_answer(const struct httpd_conn *c)
{
	return !c->requests.length && (c->h->is_stopping || http_read_is_idle(&c->read));
}

/* Writes the completed responses at the head of the queue, in order. */
static void write_ready_answers(struct httpd_conn *c)
{
	struct httpd_request *r;

	while ((r = g_queue_peek_head(&c->requests)) && r->answer && !c->must_close) {
		g_queue_unlink(&c->requests, &r->link);
		c->h->requests--;
		if (is_last_answer(c))
			c->must_close = c->h->no_keep_alive || asks_to_close(r->msg) || c->is_eof;
		write_answer(c, r->msg, r->answer);
		request_free(r);
	}
	if (!c->requests.length)
		c->since_us = loop_clock_us();
}

static bool has_ready_answer(const struct httpd_conn *c)
{
	const struct httpd_request *r = g_queue_peek_head((GQueue *)&c->requests);

	return r && r->answer && !c->must_close;
}

/* Loops because a request may be answered as it starts, and then lets the next one start. */
static void advance_requests(struct httpd_conn *c)
{
	do {
		if (!c->is_dead)
			write_ready_answers(c);
		if (!c->is_dead && !c->must_close)
			start_queued(c);
	} while (!c->is_dead && has_ready_answer(c));
	if (!c->is_dead)
		flush(c);
}

void httpd_answer(struct httpd_request *r, struct http_msg *answer)
{
	struct httpd_conn *c = r->conn;
	bool was_busy;

	r->answer = answer;
	if (!c) {
		request_free(r);
		return;
	}
	if (c->is_busy)
		return; /* written after the callbacks have returned */
	was_busy = callbacks_begin(c);
	advance_requests(c);
	callbacks_end(c, was_busy);
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

	while (l && !c->is_dead) {
		struct httpd_request *r = l->data;
		GList *next = l->next;
		bool is_first = l == c->requests.head;

		if (!r->is_started) {
			if (!is_first && !c->h->ops->may_overlap(r, c->h->arg))
				return;
			start(c, r);
		}
		l = next;
	}
}

static int on_head(struct http_read *read)
{
	struct httpd_conn *c = read->arg;
	const char *expect = http_header(read->msg, "Expect");

	if (expect && !g_ascii_strcasecmp(expect, "100-continue") && !c->requests.length)
		append(c, "HTTP/1.1 100 Continue\r\n\r\n");
	return 0;
}

static int on_message(struct http_read *read, struct http_msg *m)
{
	struct httpd_conn *c = read->arg;
	struct httpd_request *r = g_new0(struct httpd_request, 1);

	r->conn = c;
	r->msg = m;
	r->began_us = loop_clock_us();
	r->link.data = r;
	g_queue_push_tail_link(&c->requests, &r->link);
	c->h->requests++;
	c->since_us = r->began_us;
	return 0;
}

static const struct http_read_ops read_ops = { .head = on_head, .message = on_message };

static u16 error_status(const struct httpd_conn *c, int err)
{
	if (err != ERR_TOOBIG)
		return 400;
	return c->read.is_in_body ? 413 : 431;
}

/* Sends an error response of the server itself and closes the connection after it. */
static void send_error(struct httpd_conn *c, u16 status, enum ctr reason)
{
	g_autofree char *body = g_strdup_printf("{\"error\":\"%s\"}\n", http_reason_phrase(status));
	struct http_msg *m = http_json_response(status, body);

	ctr_inc(reason);
	if (c->h->ops->refuse)
		c->h->ops->refuse(m, c->h->arg);
	c->must_close = true;
	write_answer(c, NULL, m);
	http_free(m);
}

/* If earlier requests are unanswered, their responses are sent first, without an error response. */
static void reject_input(struct httpd_conn *c, int err)
{
	if (c->requests.length) {
		c->is_eof = true;
		return;
	}
	send_error(c, error_status(c, err),
		   c->read.is_in_body && err == ERR_TOOBIG ? CTR_BODY_TOO_LARGE :
							     CTR_HTTP_MALFORMED);
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
		conn_close(c);
		return;
	}
	if (!http_read_is_idle(&c->read) && !c->requests.length) {
		send_error(c, 400, CTR_BAD_REQUEST); /* the request is incomplete */
		return;
	}
	report_close(c, HTTPD_HALF_CLOSED);
}

static void read_some(struct httpd_conn *c)
{
	u8 buf[READ_BYTES];
	ssize_t n = recv(c->fd.fd, buf, sizeof(buf), 0);
	int err;

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n < 0) {
		conn_close(c);
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
	if (err)
		reject_input(c, err);
}

static void on_ready(void *arg, u32 events)
{
	struct httpd_conn *c = arg;
	bool was_busy = callbacks_begin(c);

	if (events & (EPOLLIN | EPOLLRDHUP)) {
		if (wants_read(c) || c->is_eof)
			read_some(c);
		else if (events & EPOLLRDHUP)
			on_eof(c);
	}
	if (!c->is_dead && (events & (EPOLLHUP | EPOLLERR)))
		conn_close(c);
	advance_requests(c);
	callbacks_end(c, was_busy);
}

static void on_accept(void *arg, u32 events)
{
	struct httpd *h = arg;
	int fd;
	int one = 1;

	(void)events;
	while ((fd = accept4(h->fd.fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		struct httpd_conn *c = g_new0(struct httpd_conn, 1);

		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		c->h = h;
		c->out = g_byte_array_new();
		c->since_us = loop_clock_us();
		c->link.data = c;
		c->events = EPOLLIN | EPOLLRDHUP;
		c->fd = (struct loop_fd){ .ready = on_ready, .arg = c, .fd = fd };
		http_read_init(&c->read, false, &read_ops, c);
		g_queue_push_tail_link(&h->conns, &c->link);
		if (loop_fd_add(h->loop, &c->fd, c->events))
			conn_close(c);
	}
}

/* Time limit from the first byte of a request to the end of its head or of its body. */
static u64 read_timeout_us(const struct httpd_conn *c)
{
	const struct httpd_limits *l = &c->h->limits;

	return l->head_timeout_us + (c->read.is_in_body ? l->idle_timeout_us : 0);
}

static void check_conn_timeout(struct httpd_conn *c, u64 now_us)
{
	u64 age = now_us > c->since_us ? now_us - c->since_us : 0;

	if (c->is_lingering && age > LINGER_US) {
		conn_close(c);
	} else if (c->is_lingering || c->requests.length || c->must_close) {
		return;
	} else if (http_read_is_idle(&c->read)) {
		if (age > c->h->limits.idle_timeout_us)
			conn_close(c);
	} else if (age > read_timeout_us(c)) {
		send_error(c, 408, CTR_BAD_REQUEST);
		flush(c);
	}
}

static void on_timeout_timer(void *arg, u64 now_us)
{
	struct httpd *h = arg;
	GList *next;

	for (GList *l = h->conns.head; l; l = next) {
		struct httpd_conn *c = l->data;
		bool was_busy = callbacks_begin(c);

		next = l->next;
		check_conn_timeout(c, now_us);
		callbacks_end(c, was_busy);
	}
	loop_timer_set(h->loop, &h->timeout_timer, now_us + TIMEOUT_CHECK_US);
}

static int open_listener(const char *host, u16 port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET, .sin_port = htons(port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int one = 1;

	if (fd < 0)
		return -1;
	inet_pton(AF_INET, host, &addr.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (!bind(fd, (struct sockaddr *)&addr, sizeof(addr)) && !listen(fd, BACKLOG))
		return fd;
	close(fd);
	return -1;
}

struct httpd *httpd_listen(struct loop *l, const char *host, u16 port, const struct httpd_ops *ops,
			   void *arg)
{
	int fd = open_listener(host, port);
	struct httpd *h;

	if (fd < 0)
		return NULL;
	h = g_new0(struct httpd, 1);
	h->loop = l;
	h->ops = ops;
	h->arg = arg;
	h->limits = httpd_default_limits;
	g_queue_init(&h->conns);
	h->fd = (struct loop_fd){ .ready = on_accept, .arg = h, .fd = fd };
	h->timeout_timer = (struct loop_timer){ .fire = on_timeout_timer, .arg = h };
	loop_timer_set(l, &h->timeout_timer, loop_clock_us() + TIMEOUT_CHECK_US);
	if (!loop_fd_add(l, &h->fd, EPOLLIN))
		return h;
	httpd_free(h);
	return NULL;
}

void httpd_set_limits(struct httpd *h, const struct httpd_limits *limits)
{
	h->limits = *limits;
}

/* Idle connections stay open, since a caller may be sending a request on them right now. */
void httpd_disable_keep_alive(struct httpd *h)
{
	h->no_keep_alive = true;
}

static void close_port(struct httpd *h)
{
	if (h->fd.fd < 0)
		return;
	loop_fd_remove(h->loop, &h->fd);
	close(h->fd.fd);
	h->fd.fd = -1;
}

/* Reads a request that has arrived, but not been read; closes the connection if there is none. */
static void end_conn(struct httpd_conn *c)
{
	bool was_busy = callbacks_begin(c);

	if (is_idle(c) && !was_busy && wants_read(c))
		read_some(c);
	if (!c->is_dead)
		advance_requests(c);
	if (!c->is_dead && is_idle(c) && http_read_is_idle(&c->read) && !was_busy && !c->must_close)
		conn_close(c);
	update_events(c);
	callbacks_end(c, was_busy);
}

/* Calls FN for each connection. Handling one may close it and others. */
static void for_each_conn(struct httpd *h, void (*fn)(struct httpd_conn *c))
{
	for (guint i = h->conns.length; i && h->conns.length; i--) {
		GList *l = g_queue_pop_head_link(&h->conns);

		g_queue_push_tail_link(&h->conns, l);
		fn(l->data);
	}
}

void httpd_stop_accepting(struct httpd *h)
{
	h->no_keep_alive = true;
	h->is_stopping = true;
	close_port(h);
	for_each_conn(h, end_conn);
}

static void refuse_incomplete(struct httpd_conn *c)
{
	if (c->requests.length || c->must_close || http_read_is_idle(&c->read))
		return;
	send_error(c, c->h->incomplete_status, c->h->incomplete_reason);
	flush(c);
}

void httpd_refuse_incomplete(struct httpd *h, u16 status, enum ctr reason)
{
	h->incomplete_status = status;
	h->incomplete_reason = reason;
	for_each_conn(h, refuse_incomplete);
}

size_t httpd_unsent_bytes(const struct httpd *h)
{
	size_t sum = 0;

	for (const GList *l = h->conns.head; l; l = l->next) {
		const struct httpd_conn *c = l->data;

		sum += c->out->len - c->out_off;
	}
	return sum;
}

u32 httpd_connections(const struct httpd *h)
{
	return h->conns.length;
}

u32 httpd_requests(const struct httpd *h)
{
	return h->requests;
}

void httpd_free(struct httpd *h)
{
	while (h->conns.length)
		conn_close(h->conns.head->data);
	loop_timer_cancel(h->loop, &h->timeout_timer);
	close_port(h);
	g_free(h);
}
