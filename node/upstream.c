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
#define CONNECT_TIMEOUT_US (1 * US_PER_S)
/* The upstream may close a connection that has been idle for longer just as a request is sent. */
#define IDLE_NON_IDEMPOTENT_MAX_US (500 * US_PER_MS)
/* The limit for an idempotent request, unless the upstream sends a Keep-Alive timeout. */
#define IDLE_DEFAULT_MAX_US (4 * US_PER_S)
/* Connections are closed this long before the upstream's Keep-Alive timeout. */
#define IDLE_MARGIN_US (1 * US_PER_S)
/* Answers to other requests that are skipped before the connection is closed. */
#define FOREIGN_ANSWERS_MAX 2
/* Refused requests whose ids a connection remembers; at this number it is not used again. */
#define REFUSED_IDS_MAX 64

struct upstream {
	struct loop *loop;
	const struct dialect *dialect;
	GQueue idle; /* of struct upstream_conn, most recently used first */
	GQueue busy;
	size_t buffered_bytes;
};

struct upstream_conn {
	struct upstream *u;
	struct loop_fd fd;
	struct endpoint at;
	struct http_read read;
	GByteArray *out;
	guint out_off;
	GList queue_link; /* in upstream.idle or upstream.busy */
	struct upstream_call *call; /* NULL while idle */
	u64 state_since_us; /* when it became idle or began to connect */
	u64 idle_max_us;
	u32 foreign_answers; /* answers to other requests that were skipped */
	u64 answers; /* final answers read so far */
	GPtrArray *refused_ids; /* of the requests that were refused on this connection */
	size_t buffered_bytes; /* size of the response body being read */
	bool is_connecting;
	bool has_send_failed; /* the connection was reset, which a read may show as a plain close */
	bool has_answer; /* the parser has delivered a whole answer */
};

size_t upstream_buffered_bytes(const struct upstream *u)
{
	return u->buffered_bytes;
}

/* Updates the body's share of the total. Returns ERR_TOOBIG when the total exceeds its limit. */
static int account_buffered(struct upstream_conn *c, size_t bytes)
{
	struct upstream *u = c->u;

	u->buffered_bytes = u->buffered_bytes - c->buffered_bytes + bytes;
	c->buffered_bytes = bytes;
	return u->buffered_bytes > UPSTREAM_BUFFERED_MAX_BYTES ? ERR_TOOBIG : 0;
}

static void conn_close(struct upstream_conn *c)
{
	account_buffered(c, 0);
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

void upstream_close_idle(struct upstream *u)
{
	while (u->idle.length)
		conn_close(u->idle.head->data);
}

void upstream_free(struct upstream *u)
{
	upstream_close_idle(u);
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

static u64 remaining_us(const struct upstream_call *call)
{
	u64 now = loop_clock_us();

	return call->deadline_us > now ? call->deadline_us - now : 0;
}

static bool has_request_body(const struct http_msg *m)
{
	return m->body->len || !strcmp(m->method, "POST") || !strcmp(m->method, "PUT") ||
	       !strcmp(m->method, "PATCH");
}

static void append_request(struct upstream_conn *c, struct upstream_call *call)
{
	const struct http_msg *m = call->request;
	struct dialect_request_info info = {
		.remaining_ms = retry_upstream_timeout_ms(call->deadline_us, loop_clock_us()),
		.instance = call->instance,
	};
	g_autoptr(GString) head = g_string_new(NULL);

	g_string_printf(head, "%s %s HTTP/1.1\r\n", m->method, m->target);
	for (guint i = 0; i < m->headers->len; i++) {
		const struct http_header *h = g_ptr_array_index(m->headers, i);

		if (http_is_hop_by_hop_header(h->name) ||
		    c->u->dialect->is_rewritten_header(h->name))
			continue;
		g_string_append(head, h->name);
		g_string_append(head, ": ");
		g_string_append(head, h->value);
		g_string_append(head, "\r\n");
	}
	c->u->dialect->write_request_headers(head, &info);
	if (has_request_body(m))
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
		if (n < 0) {
			/* The following read ends the call. */
			c->has_send_failed = errno != EAGAIN && errno != EINTR;
			break;
		}
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

/* The upstream's Keep-Alive timeout, in whole seconds, less a margin for the network delay. */
static u64 idle_max_us(const struct http_msg *m)
{
	const char *value = http_header(m, "Keep-Alive");
	const char *at = value ? strstr(value, "timeout=") : NULL;
	u64 advertised_us;

	if (!at)
		return IDLE_DEFAULT_MAX_US;
	advertised_us = strtoull(at + strlen("timeout="), NULL, 10) * US_PER_S;
	return advertised_us > IDLE_MARGIN_US ? advertised_us - IDLE_MARGIN_US : 0;
}

static void return_to_pool(struct upstream_conn *c, u64 max_us)
{
	account_buffered(c, 0);
	g_queue_unlink(&c->u->busy, &c->queue_link);
	g_queue_push_head_link(&c->u->idle, &c->queue_link);
	c->call = NULL;
	c->state_since_us = loop_clock_us();
	c->idle_max_us = max_us;
	c->foreign_answers = 0;
}

/* No answer can name such a request, so it must get the first answer of its connection. */
static bool is_nameless(const struct dialect *d, const struct upstream_call *call)
{
	return d->has_ids && !call->is_poll && !d->id(call->request);
}

/*
 * Returns whether a copy of M would be told from the answer to a later request. A refusal must name
 * its request for that, and a request with that id must not come here again. Connections for
 * requests without an id are not kept: each of these needs a new one.
 */
static bool may_follow(struct upstream_conn *c, const struct http_msg *m)
{
	const struct dialect *d = c->u->dialect;
	const char *id = d->id(c->call->request);

	if (is_nameless(d, c->call))
		return false;
	if (c->call->is_poll || !d->is_not_run(m))
		return !d->is_other_instance(m);
	if (!id || !d->names_request(m, c->call->request) || d->is_other_instance(m) ||
	    c->refused_ids->len >= REFUSED_IDS_MAX)
		return false;
	g_ptr_array_add(c->refused_ids, g_strdup(id));
	return true;
}

static bool has_refused(const struct upstream_conn *c, const struct http_msg *request)
{
	const char *id = c->u->dialect->id(request);

	for (guint i = 0; id && i < c->refused_ids->len; i++)
		if (!strcmp(g_ptr_array_index(c->refused_ids, i), id))
			return true;
	return false;
}

/*
 * Bytes after the answer belong to no request. When the answer came before the whole request was
 * sent, the rest of the request remains unsent. Heads that look joined are taken only from new
 * connections.
 */
static bool is_reusable(const struct upstream_conn *c)
{
	return c->read.is_keep_alive && c->read.has_length && !c->read.is_joined &&
	       !c->foreign_answers && !c->out->len;
}

static void complete_call(struct upstream_conn *c, struct http_msg *m)
{
	struct upstream_call *call = c->call;
	u64 max_us = idle_max_us(m);

	if (is_reusable(c) && max_us && may_follow(c, m))
		return_to_pool(c, max_us);
	else
		conn_close(c);
	finish(call, 0, m);
}

/* Keeps the parsed message in the reader until http_read_feed() has returned. */
static int on_message(struct http_read *r, struct http_msg *m)
{
	struct upstream_conn *c = r->arg;

	/* parse_bytes() takes it from there. */
	http_free(r->msg);
	r->msg = m;
	c->has_answer = true;
	return 0;
}

static const struct http_read_ops read_ops = { .message = on_message };

static int read_error(const struct upstream_conn *c, int err)
{
	if (err == ERR_TOOBIG || err == ERR_UNCERTAIN)
		return err;
	return c->read.is_in_body ? ERR_TRUNCATED : ERR_CLOSED;
}

/* Returns whether M answers another request, and counts it. */
static bool is_foreign_answer(struct upstream_conn *c, const struct http_msg *m)
{
	if (c->u->dialect->is_answer_to(m, c->call->request))
		return false;
	ctr_inc(CTR_FOREIGN_ANSWER);
	c->foreign_answers++;
	return true;
}

/*
 * Returns whether M, or the beginning of its head, may be a copy of an answer to an earlier request
 * on this connection.
 */
static bool is_uncertain_answer(const struct upstream_conn *c, const struct http_msg *m)
{
	if (c->answers == 1)
		return false;
	return c->read.is_joined ||
	       (!c->call->is_poll && !c->u->dialect->names_request(m, c->call->request));
}

/* Returns 0 if M answers the call, 1 if it is skipped, or an error that ends the call. */
static int judge_answer(struct upstream_conn *c, const struct http_msg *m, bool is_eof)
{
	c->answers++;
	if (is_foreign_answer(c, m))
		return c->foreign_answers > FOREIGN_ANSWERS_MAX || is_eof ? ERR_CLOSED : 1;
	return is_uncertain_answer(c, m) ? ERR_UNCERTAIN : 0;
}

/*
 * Takes the answer that was read, with LEN bytes behind it. Returns 0 if it has ended the call, 1
 * if it was skipped, or an error that ends the call.
 */
static int take_answer(struct upstream_conn *c, size_t len, bool is_eof)
{
	struct http_msg *m = g_steal_pointer(&c->read.msg);
	int err = judge_answer(c, m, is_eof);

	c->has_answer = false;
	if (err) {
		http_free(m);
		return err;
	}
	if (len)
		c->foreign_answers++;
	c->call->may_be_copy = c->answers > 1 && (c->call->is_poll || !c->u->dialect->has_ids);
	complete_call(c, m);
	return 0;
}

/* Parses the bytes, one message at a time. Returns true when the call has ended. */
static bool parse_bytes(struct upstream_conn *c, const u8 *data, size_t len, bool is_eof)
{
	do {
		size_t remaining = 0;
		int err = http_read_feed(&c->read, data, len, &remaining);

		data += len - remaining;
		len = remaining;
		if (!err && c->has_answer) {
			err = take_answer(c, len, is_eof);
			if (!err)
				return true;
		}
		if (err >= 0)
			err = account_buffered(c, c->read.msg ? c->read.msg->body->len : 0);
		if (err < 0) {
			fail(c, read_error(c, err));
			return true;
		}
	} while (len);
	return false;
}

static void on_eof(struct upstream_conn *c, bool is_reset)
{
	if (!c->call)
		conn_close(c);
	else if (is_reset || !parse_bytes(c, NULL, 0, true))
		fail(c, read_error(c, ERR_CLOSED));
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
		conn_close(c);
		return;
	}
	parse_bytes(c, buf, (size_t)n, false);
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
	u64 idle_us = now_us - c->state_since_us;

	return idle_us <= c->idle_max_us &&
	       (call->is_idempotent || idle_us <= IDLE_NON_IDEMPOTENT_MAX_US);
}

/*
 * Returns whether the upstream has written to the idle connection or closed it, and the loop has
 * not read that yet. Such bytes were not meant for the next request.
 */
static bool has_unread(const struct upstream_conn *c)
{
	u8 byte;
	ssize_t n = recv(c->fd.fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);

	if (n > 0)
		ctr_inc(CTR_FOREIGN_ANSWER);
	return n >= 0 || errno != EAGAIN;
}

/* Takes the most recently used idle connection to AT; closes those that can't be used again. */
static struct upstream_conn *find_idle(struct upstream *u, const struct endpoint *at,
				       const struct upstream_call *call)
{
	u64 now = loop_clock_us();
	GList *next;

	for (GList *l = u->idle.head; l; l = next) {
		struct upstream_conn *c = l->data;

		next = l->next;
		if (!endpoint_equal(&c->at, at) || now - c->state_since_us > c->idle_max_us) {
			conn_close(c);
			continue;
		}
		if (!is_usable(c, call, now))
			return NULL;
		if (has_refused(c, call->request) || has_unread(c)) {
			conn_close(c);
			continue;
		}
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
		finish(call, call->err, NULL);
	else if (now_us >= call->deadline_us)
		fail(c, ERR_TIMEOUT);
	else if (c->is_connecting)
		fail(c, ERR_REFUSED);
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
	call->may_be_copy = false;
	call->timer = (struct loop_timer){ .fire = on_timer, .arg = call };
	if (!remaining_us(call)) {
		fail_from_loop(call, ERR_TIMEOUT);
		return;
	}
	c = is_nameless(u->dialect, call) ? NULL : find_idle(u, at, call);
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
	append_request(c, call);
	if (!c->is_connecting)
		flush(c);
}

void upstream_abort(struct upstream_call *call, int err)
{
	if (call->conn)
		conn_close(call->conn);
	call->conn = NULL;
	fail_from_loop(call, err);
}
