#include "kernel/acceptor.h"

#include "lib/err.h"

#include <arpa/inet.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define BACKLOG 512
#define PAUSE_US (500 * US_PER_MS)

static void on_ready(void *arg, u32 events)
{
	struct acceptor *a = arg;

	(void)events;
	a->ops->ready(a->arg);
}

static void on_pause_end(void *arg, u64 now_us)
{
	struct acceptor *a = arg;

	(void)now_us;
	loop_fd_change(a->loop, &a->fd, EPOLLIN);
}

static int open_socket(const struct acceptor_ops *ops, const char *host, u16 port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET, .sin_port = htons(port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int one = 1;

	if (fd < 0)
		return -1;
	inet_pton(AF_INET, host, &addr.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (ops->set_options)
		ops->set_options(fd);
	if (!bind(fd, (struct sockaddr *)&addr, sizeof(addr)) && !listen(fd, BACKLOG))
		return fd;
	close(fd);
	return -1;
}

int acceptor_open(struct acceptor *a, struct loop *l, const char *host, u16 port)
{
	a->loop = l;
	a->fd = (struct loop_fd){ .ready = on_ready, .arg = a };
	a->pause = (struct loop_timer){ .fire = on_pause_end, .arg = a };
	a->fd.fd = open_socket(a->ops, host, port);
	if (acceptor_is_open(a) && !loop_fd_add(l, &a->fd, EPOLLIN))
		return 0;
	acceptor_close(a);
	return ERR_IO;
}

bool acceptor_is_open(const struct acceptor *a)
{
	return a->fd.fd >= 0;
}

int acceptor_accept(struct acceptor *a, struct sockaddr_in *from)
{
	socklen_t size = sizeof(*from);

	return accept4(a->fd.fd, (struct sockaddr *)from, from ? &size : NULL,
		       SOCK_NONBLOCK | SOCK_CLOEXEC);
}

void acceptor_pause(struct acceptor *a)
{
	loop_fd_change(a->loop, &a->fd, 0);
	loop_timer_set(a->loop, &a->pause, loop_clock_us() + PAUSE_US);
}

void acceptor_close(struct acceptor *a)
{
	if (!acceptor_is_open(a))
		return;
	loop_timer_cancel(a->loop, &a->pause);
	loop_fd_remove(a->loop, &a->fd);
	close(a->fd.fd);
	a->fd.fd = -1;
}
