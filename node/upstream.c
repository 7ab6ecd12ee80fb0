/* Calls to the upstream and their connections. */
#include "node/upstream_impl.h"

#include "lib/buf.h"
#include "lib/ctr.h"
#include "lib/err.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BYTES 16384
#define HEAD_MAX_BYTES 65536
/* The buffer of a longer request is not kept for the life of the connection. */
#define OUT_KEEP_BYTES (16 * 1024)
#define CONNECT_TIMEOUT_US (1 * US_PER_S)

size_t upstream_buffered_bytes(const struct upstream *u)
{
	return u->buffered_bytes;
}

int upstream_account_buffered(struct upstream_conn *c, size_t bytes)
{
	struct upstream *u = c->u;

	u->buffered_bytes = u->buffered_bytes - c->buffered_bytes + bytes;
	c->buffered_bytes = bytes;
	held_update(u->held, &u->held_bytes, u->buffered_bytes);
	return u->buffered_bytes > UPSTREAM_BUFFERED_MAX_BYTES ? ERR_TOOBIG : 0;
}

void upstream_conn_close(struct upstream_conn *c)
{
	upstream_account_buffered(c, 0);
	held_update(c->u->held, &c->out_held_bytes, 0);
	loop_fd_remove(c->u->loop, &c->fd);
	close(c->fd.fd);
	g_queue_unlink(c->call ? &c->u->busy : &c->u->idle, &c->queue_link);
	http_read_clear(&c->read);
	g_byte_array_unref(c->out);
	g_ptr_array_unref(c->refused_ids);
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

void upstream_set_held(struct upstream *u, struct held *held)
{
	u->held = held;
}

void upstream_close_idle(struct upstream *u)
{
	while (u->idle.length)
		upstream_conn_close(u->idle.head->data);
}

void upstream_free(struct upstream *u)
{
	upstream_close_idle(u);
	while (u->busy.length) {
		struct upstream_conn *c = u->busy.head->data;

		loop_timer_cancel(u->loop, &c->call->timer);
		upstream_conn_close(c);
	}
	g_free(u);
}

void upstream_finish(struct upstream_call *call, int err, struct http_msg *reply)
{
	call->err = err;
	call->reply = reply;
	call->conn = NULL;
	loop_timer_cancel(call->u->loop, &call->timer);
	call->done(call);
}

void upstream_fail(struct upstream_conn *c, int err)
{
	struct upstream_call *call = c->call;

	upstream_conn_close(c);
	if (call)
		upstream_finish(call, err, NULL);
}

static u64 remaining_us(const struct upstream_call *call)
{
	u64 now = loop_clock_us();

	return call->deadline_us > now ? call->deadline_us - now : 0;
}

static void flush(struct upstream_conn *c)
{
	while (c->out_off < c->out->len) {
		ssize_t n;

		c->call->is_written = true;
		n = send(c->fd.fd, c->out->data + c->out_off, c->out->len - c->out_off,
			 MSG_NOSIGNAL);
		if (n < 0) {
			/* The following read ends the call. */
			c->has_send_failed = errno != EAGAIN && errno != EINTR;
			break;
		}
		c->out_off += (guint)n;
	}
	loop_fd_change(c->u->loop, &c->fd, c->out_off < c->out->len ? EPOLLIN | EPOLLOUT : EPOLLIN);
	if (c->out_off == c->out->len) {
		c->out_off = 0;
		c->out = buf_empty(c->out, OUT_KEEP_BYTES);
	}
	held_update(c->u->held, &c->out_held_bytes, c->out->len);
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

/* Keeps the parsed message in the reader until http_read_feed() has returned. */
static int on_message(struct http_read *r, struct http_msg *m)
{
	struct upstream_conn *c = r->arg;

	/* upstream_parse() takes it from there. */
	http_free(r->msg);
	r->msg = m;
	c->has_answer = true;
	return 0;
}

static const struct http_read_ops read_ops = { .message = on_message };

static void on_eof(struct upstream_conn *c, bool is_reset)
{
	if (!c->call)
		upstream_conn_close(c);
	else if (is_reset || !upstream_parse(c, NULL, 0))
		upstream_fail_answer(c, ERR_CLOSED);
}

static void read_some(struct upstream_conn *c)
{
	u8 buf[READ_BYTES];
	ssize_t n = recv(c->fd.fd, buf, sizeof(buf), 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		on_eof(c, n < 0 || c->has_send_failed);
		return;
	}
	/* An idle connection has no request that the bytes could answer. */
	if (!c->call) {
		ctr_inc(CTR_FOREIGN_ANSWER);
		upstream_conn_close(c);
		return;
	}
	upstream_parse(c, buf, (size_t)n);
}

static void on_ready(void *arg, u32 events)
{
	struct upstream_conn *c = arg;

	if (c->is_connecting && finish_connect(c)) {
		upstream_fail(c, ERR_REFUSED);
		return;
	}
	if (c->call && (events & EPOLLOUT))
		flush(c);
	if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
		read_some(c);
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
	c->state_since_us = loop_clock_us();
	c->out = g_byte_array_new();
	c->refused_ids = g_ptr_array_new_with_free_func(g_free);
	c->queue_link.data = c;
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
		upstream_finish(call, call->err, NULL);
	else if (now_us >= call->deadline_us)
		upstream_fail(c, ERR_TIMEOUT);
	else if (c->is_connecting)
		upstream_fail(c, ERR_REFUSED);
	else
		loop_timer_set(call->u->loop, &call->timer, call->deadline_us);
}

/* Ends a call that has no connection; done() is called from the loop. */
static void fail_from_loop(struct upstream_call *call, int err)
{
	call->err = err;
	loop_timer_set(call->u->loop, &call->timer, 0);
}

void upstream_start(struct upstream *u, const struct endpoint *at, struct upstream_call *call)
{
	struct upstream_conn *c;

	call->u = u;
	call->conn = NULL;
	call->reply = NULL;
	call->err = 0;
	call->is_written = false;
	call->is_named = false;
	call->may_be_copy = false;
	call->timer = (struct loop_timer){ .fire = on_timer, .arg = call };
	if (!remaining_us(call)) {
		fail_from_loop(call, ERR_TIMEOUT);
		return;
	}
	c = upstream_find_idle(u, at, call);
	if (!c)
		c = dial(u, at);
	if (!c) {
		fail_from_loop(call, ERR_REFUSED);
		return;
	}
	call->conn = c;
	c->call = call;
	c->read.max_body_bytes = call->max_body_bytes;
	c->read.has_no_body = !strcmp(call->request->method, "HEAD");
	g_queue_push_tail_link(&u->busy, &c->queue_link);
	loop_timer_set(u->loop, &call->timer,
		       c->is_connecting ?
			       MIN(call->deadline_us, c->state_since_us + CONNECT_TIMEOUT_US) :
			       call->deadline_us);
	upstream_append_request(c, call);
	if (!c->is_connecting)
		flush(c);
}

void upstream_abort(struct upstream_call *call, int err)
{
	if (call->conn)
		upstream_conn_close(call->conn);
	call->conn = NULL;
	fail_from_loop(call, err);
}
