#include "node/upstream.h"

#include "lib/ctr.h"
#include "lib/err.h"
#include "lib/http_read.h"
#include "node/retry.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BYTES 16384
#define HEAD_MAX_BYTES 65536
#define CONNECT_US (1 * US_PER_S)
/* An older idle connection may be closed by the upstream just as a request is written. */
#define IDLE_UNSAFE_US (500 * US_PER_MS)
/* The same for a request that may be repeated, when the upstream tells no time of its own. */
#define IDLE_MAX_US (4 * US_PER_S)
/* Kept before the end of the time that the upstream told. */
#define IDLE_MARGIN_US (1 * US_PER_S)
/* Answers to other requests that are read over before the connection is given up. */
#define FOREIGN_MAX 2

struct upstream {
	struct loop *loop;
	const struct dialect *dialect;
	GQueue idle; /* of struct upstream_conn, the last used first */
	GQueue busy;
	size_t reading_bytes;
};

struct upstream_conn {
	struct upstream *u;
	struct loop_fd fd;
	struct endpoint at;
	struct http_read read;
	GByteArray *out;
	guint out_off;
	GList link;
	struct upstream_call *call; /* NULL while idle */
	u64 since_us; /* idle since, or connecting since */
	u64 idle_max_us;
	u32 foreign; /* answers that were read over */
	size_t reading_bytes; /* of the body that is being read */
	bool is_connecting;
	bool was_answered; /* the call has its answer, or failed */
};

size_t upstream_reading_bytes(const struct upstream *u)
{
	return u->reading_bytes;
}

/* Counts what the body holds now. Returns ERR_TOOBIG when all bodies together hold too much. */
static int count_reading(struct upstream_conn *c, size_t bytes)
{
	struct upstream *u = c->u;

	u->reading_bytes = u->reading_bytes - c->reading_bytes + bytes;
	c->reading_bytes = bytes;
	return u->reading_bytes > UPSTREAM_READING_MAX_BYTES ? ERR_TOOBIG : 0;
}

static void conn_close(struct upstream_conn *c)
{
	count_reading(c, 0);
	loop_fd_remove(c->u->loop, &c->fd);
	close(c->fd.fd);
	g_queue_unlink(c->call ? &c->u->busy : &c->u->idle, &c->link);
	http_read_clear(&c->read);
	g_byte_array_unref(c->out);
	g_free(c);
}

struct upstream *upstream_new(struct loop *l, const struct dialect *d)
{
	struct upstream *u = g_new0(struct upstream, 1);

	u->loop = l;
	u->dialect = d;
	g_queue_init(&u->idle);
	g_queue_init(&u->busy);
	return u;
}

void upstream_forget(struct upstream *u)
{
	while (u->idle.length)
		conn_close(u->idle.head->data);
}

void upstream_free(struct upstream *u)
{
	upstream_forget(u);
	while (u->busy.length) {
		struct upstream_conn *c = u->busy.head->data;

		loop_timer_cancel(u->loop, &c->call->timer);
		conn_close(c);
	}
	g_free(u);
}

static void finish(struct upstream_call *call, int err, struct http_msg *reply)
{
	call->err = err;
	call->reply = reply;
	call->conn = NULL;
	loop_timer_cancel(call->u->loop, &call->timer);
	call->done(call);
}

static void fail(struct upstream_conn *c, int err)
{
	struct upstream_call *call = c->call;

	conn_close(c);
	if (call)
		finish(call, err, NULL);
}

static u64 left_us(const struct upstream_call *call)
{
	u64 now = loop_clock_us();

	return call->deadline_us > now ? call->deadline_us - now : 0;
}

static bool sends_body(const struct http_msg *m)
{
	return m->body->len || !strcmp(m->method, "POST") || !strcmp(m->method, "PUT") ||
	       !strcmp(m->method, "PATCH");
}

static void put_request(struct upstream_conn *c, struct upstream_call *call)
{
	const struct http_msg *m = call->request;
	struct dialect_send send = {
		.left_ms = retry_time_below_ms(call->deadline_us, loop_clock_us()),
		.instance = call->instance,
	};
	g_autoptr(GString) head = g_string_new(NULL);

	g_string_printf(head, "%s %s HTTP/1.1\r\n", m->method, m->target);
	for (guint i = 0; i < m->headers->len; i++) {
		const struct http_header *h = g_ptr_array_index(m->headers, i);

		if (http_is_hop_by_hop_header(h->name) || c->u->dialect->is_set_anew(h->name))
			continue;
		g_string_append(head, h->name);
		g_string_append(head, ": ");
		g_string_append(head, h->value);
		g_string_append(head, "\r\n");
	}
	c->u->dialect->put(head, &send);
	if (sends_body(m))
		g_string_append_printf(head, "Content-Length: %u\r\n", m->body->len);
	g_string_append(head, "Connection: keep-alive\r\n\r\n");
	g_byte_array_append(c->out, (const guint8 *)head->str, (guint)head->len);
	g_byte_array_append(c->out, m->body->data, m->body->len);
}

static void flush(struct upstream_conn *c)
{
	while (c->out_off < c->out->len) {
		ssize_t n;

		c->call->is_written = true;
		n = send(c->fd.fd, c->out->data + c->out_off, c->out->len - c->out_off,
			 MSG_NOSIGNAL);
		if (n < 0)
			break; /* what is wrong shows when reading */
		c->out_off += (guint)n;
	}
	loop_fd_change(c->u->loop, &c->fd, c->out_off < c->out->len ? EPOLLIN | EPOLLOUT : EPOLLIN);
	if (c->out_off == c->out->len) {
		g_byte_array_set_size(c->out, 0);
		c->out_off = 0;
	}
}

static int finish_connect(struct upstream_conn *c)
{
	socklen_t size = sizeof(int);
	int soerr = 0;

	getsockopt(c->fd.fd, SOL_SOCKET, SO_ERROR, &soerr, &size);
	if (soerr)
		return ERR_REFUSED;
	c->is_connecting = false;
	return 0;
}

/* The upstream's own time, in whole seconds, less a margin for the way. */
static u64 idle_max_us(const struct http_msg *m)
{
	const char *value = http_header(m, "Keep-Alive");
	const char *at = value ? strstr(value, "timeout=") : NULL;
	u64 told_us;

	if (!at)
		return IDLE_MAX_US;
	told_us = strtoull(at + strlen("timeout="), NULL, 10) * US_PER_S;
	return told_us > IDLE_MARGIN_US ? told_us - IDLE_MARGIN_US : 0;
}

static void make_idle(struct upstream_conn *c, u64 max_us)
{
	count_reading(c, 0);
	g_queue_unlink(&c->u->busy, &c->link);
	g_queue_push_head_link(&c->u->idle, &c->link);
	c->call = NULL;
	c->since_us = loop_clock_us();
	c->idle_max_us = max_us;
	c->foreign = 0;
}

static void take_answer(struct upstream_conn *c, struct http_msg *m)
{
	struct upstream_call *call = c->call;
	/* Bytes behind the answer belong to no request; an answer before the end of the request
	 * leaves the rest of the request unsent. */
	bool is_clean = c->read.is_keep_alive && c->read.has_length && !c->foreign && !c->out->len;
	u64 max_us = idle_max_us(m);

	if (is_clean && max_us)
		make_idle(c, max_us);
	else
		conn_close(c);
	finish(call, 0, m);
}

/* The library has no more to say about the head that it read; the body is kept by it. */
static int on_message(struct http_read *r, struct http_msg *m)
{
	struct upstream_conn *c = r->arg;

	/* The message is taken when the parser has returned. */
	http_free(r->msg);
	r->msg = m;
	c->was_answered = true;
	return 0;
}

static const struct http_read_ops read_ops = { .message = on_message };

static int error_of(const struct upstream_conn *c, int err)
{
	if (err == ERR_TOOBIG)
		return ERR_TOOBIG;
	return c->read.is_in_body ? ERR_TRUNCATED : ERR_CLOSED;
}

/* Reads over an answer to another request. */
static bool skip_foreign(struct upstream_conn *c, const struct http_msg *m)
{
	if (c->u->dialect->is_answer_to(m, c->call->request))
		return false;
	ctr_inc(CTR_FOREIGN_ANSWER);
	c->foreign++;
	return true;
}

/* Hands the bytes to the parser, message by message. Returns true when the call ended. */
static bool take_bytes(struct upstream_conn *c, const u8 *data, size_t len, bool is_eof)
{
	do {
		size_t left = 0;
		int err = http_read_feed(&c->read, data, len, &left);
		struct http_msg *m;

		data += len - left;
		len = left;
		if (!err && c->was_answered) {
			m = g_steal_pointer(&c->read.msg);
			c->was_answered = false;
			if (!skip_foreign(c, m)) {
				if (len)
					c->foreign++;
				take_answer(c, m);
				return true;
			}
			http_free(m);
			err = c->foreign > FOREIGN_MAX || is_eof ? ERR_CLOSED : 0;
		}
		if (!err)
			err = count_reading(c, c->read.msg ? c->read.msg->body->len : 0);
		if (err) {
			fail(c, error_of(c, err));
			return true;
		}
	} while (len);
	return false;
}

static void on_end(struct upstream_conn *c, bool is_reset)
{
	if (!c->call)
		conn_close(c);
	else if (is_reset || !take_bytes(c, NULL, 0, true))
		fail(c, error_of(c, ERR_CLOSED));
}

static void read_some(struct upstream_conn *c)
{
	u8 buf[READ_BYTES];
	ssize_t n = recv(c->fd.fd, buf, sizeof(buf), 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		on_end(c, n < 0);
		return;
	}
	/* Nothing was asked on an idle connection. */
	if (!c->call) {
		ctr_inc(CTR_FOREIGN_ANSWER);
		conn_close(c);
		return;
	}
	take_bytes(c, buf, (size_t)n, false);
}

static void on_ready(void *arg, u32 events)
{
	struct upstream_conn *c = arg;

	if (c->is_connecting && finish_connect(c)) {
		fail(c, ERR_REFUSED);
		return;
	}
	if (c->call && (events & EPOLLOUT))
		flush(c);
	if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
		read_some(c);
}

static bool is_usable(const struct upstream_conn *c, const struct upstream_call *call, u64 now_us)
{
	u64 idle_us = now_us - c->since_us;

	return idle_us <= c->idle_max_us && (call->is_idempotent || idle_us <= IDLE_UNSAFE_US);
}

/* An idle connection to AT, the last used first; those that are too old are closed. */
static struct upstream_conn *take_idle(struct upstream *u, const struct endpoint *at,
				       const struct upstream_call *call)
{
	u64 now = loop_clock_us();
	GList *next;

	for (GList *l = u->idle.head; l; l = next) {
		struct upstream_conn *c = l->data;

		next = l->next;
		if (!endpoint_equal(&c->at, at) || now - c->since_us > c->idle_max_us) {
			conn_close(c);
			continue;
		}
		if (!is_usable(c, call, now))
			return NULL;
		g_queue_unlink(&u->idle, l);
		return c;
	}
	return NULL;
}

static struct upstream_conn *dial(struct upstream *u, const struct endpoint *at)
{
	struct sockaddr_in addr = { .sin_family = AF_INET, .sin_port = htons(at->port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	struct upstream_conn *c;
	int one = 1;

	if (fd < 0)
		return NULL;
	inet_pton(AF_INET, at->host, &addr.sin_addr);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (connect(fd, (struct sockaddr *)&addr, sizeof(addr)) && errno != EINPROGRESS) {
		close(fd);
		return NULL;
	}
	ctr_inc(CTR_UPSTREAM_CONNECT);
	c = g_new0(struct upstream_conn, 1);
	c->u = u;
	c->at = *at;
	c->is_connecting = true;
	c->since_us = loop_clock_us();
	c->out = g_byte_array_new();
	c->link.data = c;
	c->fd = (struct loop_fd){ .ready = on_ready, .arg = c, .fd = fd };
	http_read_init(&c->read, true, &read_ops, c);
	c->read.max_head_bytes = HEAD_MAX_BYTES;
	if (loop_fd_add(u->loop, &c->fd, EPOLLIN | EPOLLOUT))
		ctr_inc(CTR_UPSTREAM_REFUSED); /* the call's timer ends it */
	return c;
}

static void on_timer(void *arg, u64 now_us)
{
	struct upstream_call *call = arg;
	struct upstream_conn *c = call->conn;

	if (!c)
		finish(call, call->err, NULL);
	else if (now_us >= call->deadline_us)
		fail(c, ERR_TIMEOUT);
	else if (c->is_connecting)
		fail(c, ERR_REFUSED);
	else
		loop_timer_set(call->u->loop, &call->timer, call->deadline_us);
}

/* Ends a call that has no connection, from the loop. */
static void fail_soon(struct upstream_call *call, int err)
{
	call->err = err;
	loop_timer_set(call->u->loop, &call->timer, 0);
}

void upstream_run(struct upstream *u, const struct endpoint *at, struct upstream_call *call)
{
	struct upstream_conn *c;

	call->u = u;
	call->conn = NULL;
	call->reply = NULL;
	call->err = 0;
	call->is_written = false;
	call->timer = (struct loop_timer){ .fire = on_timer, .arg = call };
	if (!left_us(call)) {
		fail_soon(call, ERR_TIMEOUT);
		return;
	}
	c = take_idle(u, at, call);
	if (!c)
		c = dial(u, at);
	if (!c) {
		fail_soon(call, ERR_REFUSED);
		return;
	}
	call->conn = c;
	c->call = call;
	c->read.max_body_bytes = call->max_body_bytes;
	c->read.has_no_body = !strcmp(call->request->method, "HEAD");
	g_queue_push_tail_link(&u->busy, &c->link);
	loop_timer_set(u->loop, &call->timer,
		       c->is_connecting ? MIN(call->deadline_us, c->since_us + CONNECT_US) :
					  call->deadline_us);
	put_request(c, call);
	if (!c->is_connecting)
		flush(c);
}

void upstream_end(struct upstream_call *call, int err)
{
	if (call->conn)
		conn_close(call->conn);
	call->conn = NULL;
	fail_soon(call, err);
}
