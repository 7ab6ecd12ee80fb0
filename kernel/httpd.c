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
/* Requests on one connection that wait for their answers; more are left in the socket. */
#define PIPELINE_MAX 32
/* Answers that a caller does not read; more stop the reading of its requests. */
#define OUT_MAX_BYTES (1024 * 1024)
/* How often connections are looked at for their time limits. */
#define SWEEP_US (500 * US_PER_MS)
/* After an error the caller gets this time to read the answer. */
#define LINGER_US (1 * US_PER_S)

const struct httpd_limits httpd_default_limits = {
	.head_bytes = HTTP_TEXT_MAX,
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
	struct loop_timer sweep;
	GQueue conns; /* of struct httpd_conn */
	u32 requests;
	bool closes_soon;
};

struct httpd_conn {
	struct httpd *h;
	struct loop_fd fd;
	struct http_read read;
	GQueue requests; /* of struct httpd_request, in order */
	GByteArray *out;
	guint out_off;
	GList link;
	u64 since_us; /* of the idle time, or of the head being read */
	u32 events;
	bool is_eof;
	bool must_close; /* after what is in out */
	bool is_lingering;
	bool is_busy; /* callbacks run; freed afterwards */
	bool is_dead;
};

static void request_free(struct httpd_request *r)
{
	http_free(r->msg);
	http_free(r->answer);
	g_free(r);
}

/* Requests go on without a connection until their owner answers. */
static void drop_requests(struct httpd_conn *c)
{
	GList *l;

	while ((l = g_queue_pop_head_link(&c->requests))) {
		struct httpd_request *r = l->data;

		r->conn = NULL;
		if (r->answer || !r->is_started) {
			c->h->requests--;
			request_free(r);
		} else if (c->h->ops->left) {
			c->h->ops->left(r, HTTPD_DISCONNECTED, c->h->arg);
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

/* Brackets around callbacks, so that a connection that closes in them stays valid. */
static bool enter(struct httpd_conn *c)
{
	bool was_busy = c->is_busy;

	c->is_busy = true;
	return was_busy;
}

static void leave(struct httpd_conn *c, bool was_busy)
{
	c->is_busy = was_busy;
	if (c->is_dead && !was_busy)
		conn_free(c);
}

static bool wants_read(const struct httpd_conn *c)
{
	if (c->is_lingering)
		return true;
	return !c->is_eof && !c->must_close && c->requests.length < PIPELINE_MAX &&
	       c->out->len - c->out_off < OUT_MAX_BYTES;
}

static void watch_events(struct httpd_conn *c)
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

/* Closing with unread bytes would reset the connection and take the answer away. */
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
	watch_events(c);
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
	g_autofree char *first =
		g_strdup_printf("HTTP/1.1 %u %s\r\n", m->status, http_reason(m->status));
	g_autofree char *length = g_strdup_printf("Content-Length: %u\r\n", m->body->len);

	append(c, first);
	for (guint i = 0; i < m->headers->len; i++) {
		const struct http_header *h = g_ptr_array_index(m->headers, i);

		if (http_is_hop_header(h->name))
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

static bool wants_close(const struct http_msg *request)
{
	const char *value = http_header(request, "Connection");

	return value && !g_ascii_strcasecmp(value, "close");
}

static void start_waiting(struct httpd_conn *c);

/* Writes the answers that are ready, in order. */
static void write_ready(struct httpd_conn *c)
{
	struct httpd_request *r;

	while ((r = g_queue_peek_head(&c->requests)) && r->answer && !c->must_close) {
		g_queue_unlink(&c->requests, &r->link);
		c->h->requests--;
		/* What waits behind was read and must be answered, so the connection stays. */
		if (!c->requests.length && http_read_is_idle(&c->read))
			c->must_close = c->h->closes_soon || wants_close(r->msg) || c->is_eof;
		write_answer(c, r->msg, r->answer);
		request_free(r);
	}
	if (!c->requests.length)
		c->since_us = loop_clock_us();
}

static bool has_ready(const struct httpd_conn *c)
{
	const struct httpd_request *r = g_queue_peek_head((GQueue *)&c->requests);

	return r && r->answer && !c->must_close;
}

/* A request may be answered as it starts, and an answer may let the next one start. */
static void after_requests(struct httpd_conn *c)
{
	do {
		if (!c->is_dead)
			write_ready(c);
		if (!c->is_dead && !c->must_close)
			start_waiting(c);
	} while (!c->is_dead && has_ready(c));
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
		return; /* written when the callbacks have returned */
	was_busy = enter(c);
	after_requests(c);
	leave(c, was_busy);
}

/* R may be gone by now. */
static bool is_waiting(const struct httpd_conn *c, const struct httpd_request *r)
{
	return g_queue_find((GQueue *)&c->requests, r) && !r->answer;
}

static void start(struct httpd_conn *c, struct httpd_request *r)
{
	bool has_left = r->has_left;

	r->is_started = true;
	c->h->ops->request(r, c->h->arg);
	/* It waited for its turn while its caller left. */
	if (has_left && is_waiting(c, r) && c->h->ops->left)
		c->h->ops->left(r, HTTPD_HALF_CLOSED, c->h->arg);
}

/* Starts what may start now: the first, and those behind it that may overlap. */
static void start_waiting(struct httpd_conn *c)
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

static u16 status_of(const struct httpd_conn *c, int err)
{
	if (err != ERR_TOOBIG)
		return 400;
	return c->read.is_in_body ? 413 : 431;
}

/* An answer of the server itself, as the last one of the connection. */
static void refuse(struct httpd_conn *c, u16 status, enum ctr reason)
{
	g_autofree char *body = g_strdup_printf("{\"error\":\"%s\"}\n", http_reason(status));
	struct http_msg *m = http_answer(status, body);

	ctr_inc(reason);
	if (c->h->ops->refuse)
		c->h->ops->refuse(m, c->h->arg);
	c->must_close = true;
	write_answer(c, NULL, m);
	http_free(m);
}

/* Earlier requests of the connection keep their place, so the refusal waits for them. */
static void refuse_input(struct httpd_conn *c, int err)
{
	if (c->requests.length) {
		c->is_eof = true;
		return;
	}
	refuse(c, status_of(c, err),
	       c->read.is_in_body && err == ERR_TOOBIG ? CTR_BODY_TOO_LARGE : CTR_HTTP_MALFORMED);
}

static void tell_left(struct httpd_conn *c, enum httpd_close_kind how)
{
	GList *next;

	for (GList *l = c->requests.head; l && c->h->ops->left; l = next) {
		struct httpd_request *r = l->data;

		next = l->next;
		if (!r->is_started)
			r->has_left = true;
		else if (!r->answer)
			c->h->ops->left(r, how, c->h->arg);
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
		refuse(c, 400, CTR_BAD_REQUEST); /* the request ended early */
		return;
	}
	tell_left(c, HTTPD_HALF_CLOSED);
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
		refuse_input(c, err);
}

static void on_ready(void *arg, u32 events)
{
	struct httpd_conn *c = arg;
	bool was_busy = enter(c);

	if (events & (EPOLLIN | EPOLLRDHUP)) {
		if (wants_read(c) || c->is_eof)
			read_some(c);
		else if (events & EPOLLRDHUP)
			on_eof(c);
	}
	if (!c->is_dead && (events & (EPOLLHUP | EPOLLERR)))
		conn_close(c);
	after_requests(c);
	leave(c, was_busy);
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

/* From the first byte of a request to the end of its head, or of its body. */
static u64 reading_max_us(const struct httpd_conn *c)
{
	const struct httpd_limits *l = &c->h->limits;

	return l->head_timeout_us + (c->read.is_in_body ? l->idle_timeout_us : 0);
}

static void sweep_conn(struct httpd_conn *c, u64 now_us)
{
	u64 age = now_us > c->since_us ? now_us - c->since_us : 0;

	if (c->is_lingering && age > LINGER_US) {
		conn_close(c);
	} else if (c->is_lingering || c->requests.length || c->must_close) {
		return;
	} else if (http_read_is_idle(&c->read)) {
		if (age > c->h->limits.idle_timeout_us)
			conn_close(c);
	} else if (age > reading_max_us(c)) {
		refuse(c, 408, CTR_BAD_REQUEST);
		flush(c);
	}
}

static void on_sweep(void *arg, u64 now_us)
{
	struct httpd *h = arg;
	GList *next;

	for (GList *l = h->conns.head; l; l = next) {
		struct httpd_conn *c = l->data;
		bool was_busy = enter(c);

		next = l->next;
		sweep_conn(c, now_us);
		leave(c, was_busy);
	}
	loop_timer_set(h->loop, &h->sweep, now_us + SWEEP_US);
}

static int listen_on(const char *host, u16 port)
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
	int fd = listen_on(host, port);
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
	h->sweep = (struct loop_timer){ .fire = on_sweep, .arg = h };
	loop_timer_set(l, &h->sweep, loop_clock_us() + SWEEP_US);
	if (!loop_fd_add(l, &h->fd, EPOLLIN))
		return h;
	httpd_free(h);
	return NULL;
}

void httpd_set_limits(struct httpd *h, const struct httpd_limits *limits)
{
	h->limits = *limits;
}

/* Idle connections stay: a caller may just be sending on them. */
void httpd_disable_keep_alive(struct httpd *h)
{
	h->closes_soon = true;
}

static void close_port(struct httpd *h)
{
	if (h->fd.fd < 0)
		return;
	loop_fd_remove(h->loop, &h->fd);
	close(h->fd.fd);
	h->fd.fd = -1;
}

void httpd_stop_accepting(struct httpd *h)
{
	GList *next;

	h->closes_soon = true;
	close_port(h);
	for (GList *l = h->conns.head; l; l = next) {
		struct httpd_conn *c = l->data;

		next = l->next;
		if (is_idle(c) && http_read_is_idle(&c->read) && !c->is_busy)
			conn_close(c);
	}
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
	loop_timer_cancel(h->loop, &h->sweep);
	close_port(h);
	g_free(h);
}
