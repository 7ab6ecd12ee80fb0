/* Opening of links: dialling, listening and accepting. */
#include "kernel/link_impl.h"

#include "kernel/acceptor.h"

#include "lib/ctr.h"
#include "lib/descriptors.h"
#include "lib/log.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

struct link_listener {
	struct loop *loop;
	const struct link_id *self;
	struct acceptor acceptor;
	const struct link_ops *ops;
	void *arg;
	GQueue pending; /* of struct link, without HELLO, the oldest first */
	u32 pending_max; /* 0: no limit */
};

static struct link *link_new(struct loop *l, const struct link_id *self, int fd,
			     const struct link_ops *ops, void *arg)
{
	struct link *k = g_new0(struct link, 1);
	struct link_private *p = g_new0(struct link_private, 1);
	u64 now = loop_clock_us();
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	k->ops = ops;
	k->arg = arg;
	k->priv = p;
	p->loop = l;
	p->self = self;
	p->in = g_byte_array_new();
	p->out = g_byte_array_new();
	p->last_recv_us = now;
	p->last_used_us = now;
	p->taken_us = now;
	p->ping_interval_us = LINK_PING_INTERVAL_MIN_US;
	p->start_us = now;
	p->fd = (struct loop_fd){ .ready = link_on_ready, .arg = k, .fd = fd };
	p->tick = (struct loop_timer){ .fire = link_on_tick, .arg = k };
	loop_timer_set(l, &p->tick, now + LINK_PING_INTERVAL_MIN_US);
	return k;
}

struct link *link_dial(struct loop *l, const struct link_id *self, const char *host, u16 port,
		       const struct link_ops *ops, void *arg)
{
	struct sockaddr_in addr = { .sin_family = AF_INET, .sin_port = htons(port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	struct link *k;

	if (fd < 0)
		return NULL;
	inet_pton(AF_INET, host, &addr.sin_addr);
	if (connect(fd, (struct sockaddr *)&addr, sizeof(addr)) && errno != EINPROGRESS) {
		close(fd);
		return NULL;
	}
	k = link_new(l, self, fd, ops, arg);
	k->priv->is_connecting = true;
	k->priv->connect_timeout_us =
		(u64)g_random_int_range(LINK_CONNECT_TIMEOUT_MIN_US, LINK_CONNECT_TIMEOUT_MAX_US);
	loop_timer_set(l, &k->priv->tick, link_next_tick_us(k->priv, k->priv->start_us));
	k->priv->wants_write = true;
	if (!loop_fd_add(l, &k->priv->fd, EPOLLIN | EPOLLOUT))
		return k;
	link_close(k);
	return NULL;
}

void link_leave_pending(struct link_private *p)
{
	if (!p->pending_at)
		return;
	g_queue_unlink(&p->pending_at->pending, &p->pending);
	p->pending_at = NULL;
}

static void add_pending(struct link_listener *s, struct link *k)
{
	struct link_private *p = k->priv;

	p->pending_at = s;
	p->pending.data = k;
	g_queue_push_tail_link(&s->pending, &p->pending);
}

/* The owner does not know the link, as it was never up. Returns false if there is none. */
static bool close_oldest_pending(struct link_listener *s)
{
	struct link *k = g_queue_peek_head(&s->pending);

	if (!k)
		return false;
	ctr_inc(CTR_LINK_PENDING_FULL);
	log_event(LOG_WARN, "connection without a HELLO closed", "reason",
		  ctr_name(CTR_LINK_PENDING_FULL), "waiting", log_u64(s->pending.length), NULL);
	link_close(k);
	return true;
}

static int accept_socket(struct link_listener *s)
{
	int fd = acceptor_accept(&s->acceptor, NULL);

	if (fd < 0 && descriptors_are_used_up(errno) && !close_oldest_pending(s))
		acceptor_pause(&s->acceptor);
	return fd;
}

static void on_accept(void *arg)
{
	struct link_listener *s = arg;
	int fd = accept_socket(s);
	struct link *k;

	if (fd < 0)
		return;
	if (s->pending_max && s->pending.length >= s->pending_max)
		close_oldest_pending(s);
	k = link_new(s->loop, s->self, fd, s->ops, s->arg);
	add_pending(s, k);
	if (loop_fd_add(s->loop, &k->priv->fd, EPOLLIN))
		link_close(k);
	else
		link_send_greeting(k);
}

static const struct acceptor_ops acceptor_ops = { .ready = on_accept };

struct link_listener *link_listen(struct loop *l, const struct link_id *self, const char *host,
				  u16 port, const struct link_ops *ops, void *arg)
{
	struct link_listener *s = g_new0(struct link_listener, 1);

	s->loop = l;
	s->self = self;
	s->ops = ops;
	s->arg = arg;
	s->acceptor = (struct acceptor){ .ops = &acceptor_ops, .arg = s };
	g_queue_init(&s->pending);
	s->pending_max = descriptors_part(DESCRIPTORS_PENDING_LINKS_SHARE);
	if (!acceptor_open(&s->acceptor, l, host, port))
		return s;
	g_free(s);
	return NULL;
}

void link_stop_listening(struct link_listener *s)
{
	while (s->pending.length)
		link_leave_pending(((struct link *)s->pending.head->data)->priv);
	acceptor_close(&s->acceptor);
	g_free(s);
}
