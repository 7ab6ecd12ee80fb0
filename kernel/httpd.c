#include "kernel/httpd_impl.h"

#include "lib/descriptors.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * What the kernel takes of an answer beyond what is on its way to the caller. Without this bound it
 * takes megabytes for a caller that reads slowly, in no account.
 */
#define KERNEL_UNSENT_BYTES (256 * 1024)
/*
 * What the kernel takes of requests that are not read yet. Without this bound it takes more and
 * more of a caller whose requests were read at once before.
 */
#define KERNEL_UNREAD_BYTES (128 * 1024)
/* Interval at which connections are checked for timeouts. */
#define TIMEOUT_CHECK_US (500 * US_PER_MS)

const struct httpd_limits httpd_default_limits = {
	.head_bytes = HTTP_TEXT_MAX_BYTES,
	.body_bytes = 8 * 1024 * 1024,
	.all_request_bytes = 32 * 1024 * 1024,
	.head_timeout_us = 10 * US_PER_S,
	.idle_timeout_us = 60 * US_PER_S,
	.stall_us = 30 * US_PER_S,
};

struct httpd_limits httpd_limits_for(const struct caller_settings *s, u32 share)
{
	struct httpd_limits limits = httpd_default_limits;

	/* Half is left to requests and to what other holders of the account have. */
	limits.answer_bytes = s->max_held_bytes / 2;
	limits.address_bytes = s->max_bytes;
	limits.address_connections = (u32)s->max_connections;
	limits.stall_us = s->stall_ms * US_PER_MS;
	limits.connections = descriptors_part(share);
	return limits;
}

static struct httpd_conn *conn_new(struct httpd *h, int fd)
{
	struct httpd_conn *c = g_new0(struct httpd_conn, 1);

	c->h = h;
	c->out = g_byte_array_new();
	c->since_us = loop_clock_us();
	c->link.data = c;
	c->events = EPOLLIN | EPOLLRDHUP;
	c->fd = (struct loop_fd){ .ready = httpd_conn_on_ready, .arg = c, .fd = fd };
	http_read_init(&c->read, false, &httpd_read_ops, c);
	g_queue_push_tail_link(&h->conns, &c->link);
	return c;
}

static void add_conn(struct httpd *h, int fd, const struct sockaddr_in *from)
{
	struct httpd_conn *c = conn_new(h, fd);
	bool was_busy = httpd_conn_begin(c);
	bool is_admitted = httpd_caller_admit(c, from->sin_addr.s_addr);
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (loop_fd_add(h->loop, &c->fd, c->events) || !is_admitted)
		httpd_conn_close(c);
	httpd_conn_end(c, was_busy);
}

/* Accepts the connections that wait. Without descriptors, waiting ones make room for them. */
static void accept_conns(void *arg)
{
	struct httpd *h = arg;
	struct sockaddr_in from = { 0 };
	int error;
	int fd;

	do {
		while ((fd = acceptor_accept(&h->acceptor, &from)) >= 0)
			add_conn(h, fd, &from);
		error = errno;
	} while (descriptors_are_used_up(error) && httpd_caller_close_waiting(h, NULL));
	if (descriptors_are_used_up(error))
		acceptor_pause(&h->acceptor);
}

static void on_timeout_timer(void *arg, u64 now_us)
{
	struct httpd *h = arg;
	GList *next;

	for (GList *l = h->conns.head; l; l = next) {
		struct httpd_conn *c = l->data;
		bool was_busy = httpd_conn_begin(c);

		next = l->next;
		httpd_conn_check_timeout(c, now_us);
		httpd_conn_end(c, was_busy);
	}
	loop_timer_set(h->loop, &h->timeout_timer, now_us + TIMEOUT_CHECK_US);
}

static void set_options(int fd)
{
	int unsent_bytes = KERNEL_UNSENT_BYTES;
	int unread_bytes = KERNEL_UNREAD_BYTES;

	setsockopt(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &unsent_bytes, sizeof(unsent_bytes));
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &unread_bytes, sizeof(unread_bytes));
}

static const struct acceptor_ops acceptor_ops = {
	.ready = accept_conns,
	.set_options = set_options,
};

struct httpd *httpd_listen(struct loop *l, const char *host, u16 port, const struct httpd_ops *ops,
			   void *arg)
{
	struct httpd *h = g_new0(struct httpd, 1);

	h->loop = l;
	h->ops = ops;
	h->arg = arg;
	h->limits = httpd_default_limits;
	h->keep_alive_until_us = UINT64_MAX;
	g_queue_init(&h->conns);
	h->addresses = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	h->acceptor = (struct acceptor){ .ops = &acceptor_ops, .arg = h };
	h->timeout_timer = (struct loop_timer){ .fire = on_timeout_timer, .arg = h };
	loop_timer_set(l, &h->timeout_timer, loop_clock_us() + TIMEOUT_CHECK_US);
	if (!acceptor_open(&h->acceptor, l, host, port))
		return h;
	httpd_free(h);
	return NULL;
}

void httpd_set_limits(struct httpd *h, const struct httpd_limits *limits)
{
	h->limits = *limits;
}

void httpd_set_held(struct httpd *h, struct held *held)
{
	h->held = held;
}

void httpd_make_room(struct httpd *h, u64 bytes)
{
	if (!h->held)
		return;
	h->held->bytes += bytes;
	httpd_caller_make_room(h, NULL);
	h->held->bytes -= bytes;
}

/* Idle connections stay open, since a caller may be sending a request on them right now. */
void httpd_end_keep_alive(struct httpd *h, u64 at_us)
{
	h->keep_alive_until_us = MIN(h->keep_alive_until_us, at_us);
}

/* Reads a request that has arrived, but not been read; closes the connection if there is none. */
static void end_conn(struct httpd_conn *c)
{
	bool was_busy = httpd_conn_begin(c);

	if (httpd_conn_is_idle(c) && !was_busy && httpd_conn_wants_read(c))
		httpd_conn_read(c);
	if (!c->is_dead)
		httpd_conn_advance(c);
	if (!c->is_dead && httpd_conn_is_idle(c) && http_read_is_idle(&c->read) && !was_busy &&
	    !c->must_close)
		httpd_conn_close(c);
	httpd_conn_update_events(c);
	httpd_conn_end(c, was_busy);
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
	httpd_end_keep_alive(h, 0);
	h->is_stopping = true;
	/* Closing the port resets those that wait, although their requests may have arrived. */
	if (acceptor_is_open(&h->acceptor))
		accept_conns(h);
	acceptor_close(&h->acceptor);
	for_each_conn(h, end_conn);
}

static void refuse_incomplete(struct httpd_conn *c)
{
	bool was_busy;

	if (c->requests.length || c->must_close || http_read_is_idle(&c->read))
		return;
	was_busy = httpd_conn_begin(c);
	httpd_conn_send_error(c, c->h->incomplete_status, c->h->incomplete_reason);
	httpd_conn_flush(c);
	httpd_conn_end(c, was_busy);
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

	for (const GList *l = h->conns.head; l; l = l->next)
		sum += httpd_conn_unsent_bytes(l->data);
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
		httpd_conn_close(h->conns.head->data);
	loop_timer_cancel(h->loop, &h->timeout_timer);
	acceptor_close(&h->acceptor);
	g_hash_table_unref(h->addresses);
	g_free(h);
}
