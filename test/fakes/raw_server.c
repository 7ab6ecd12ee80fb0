#include "test/fakes/raw_server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define BACKLOG 64
#define WAIT_MAX_MS 10000
/* Below the kernel's range for outgoing connections, which begins at 32768. */
#define FREE_PORT_MIN 20000
#define FREE_PORTS 12768

static struct sockaddr_in loopback(u16 port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET, .sin_port = htons(port) };

	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return addr;
}

int raw_listen(u16 *port)
{
	struct sockaddr_in addr = loopback(0);
	socklen_t len = sizeof(addr);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	g_assert_cmpint(bind(fd, (struct sockaddr *)&addr, sizeof(addr)), ==, 0);
	g_assert_cmpint(listen(fd, BACKLOG), ==, 0);
	getsockname(fd, (struct sockaddr *)&addr, &len);
	*port = ntohs(addr.sin_port);
	return fd;
}

static bool is_port_free(u16 port)
{
	struct sockaddr_in addr = loopback(port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;
	bool is_free;

	/* As the servers do: connections that have ended do not count. */
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	is_free = !bind(fd, (struct sockaddr *)&addr, sizeof(addr)) && !listen(fd, 1);
	close(fd);
	return is_free;
}

u16 raw_free_port(void)
{
	static u32 last;
	u16 port;

	if (!last)
		last = g_random_int();
	do {
		port = (u16)(FREE_PORT_MIN + last++ % FREE_PORTS);
	} while (!is_port_free(port));
	return port;
}

int raw_connect(u16 port)
{
	struct sockaddr_in addr = loopback(port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (!connect(fd, (struct sockaddr *)&addr, sizeof(addr)))
		return fd;
	close(fd);
	return -1;
}

int raw_connect_async(u16 port)
{
	struct sockaddr_in addr = loopback(port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	if (connect(fd, (struct sockaddr *)&addr, sizeof(addr)))
		g_assert_cmpint(errno, ==, EINPROGRESS);
	return fd;
}

static gpointer serve_main(gpointer arg)
{
	struct raw_server *s = arg;
	u32 nth = 0;
	int fd;

	while ((fd = accept(s->fd, NULL, NULL)) >= 0) {
		s->serve(s, fd, ++nth);
		close(fd);
	}
	return NULL;
}

void raw_server_start(struct raw_server *s, raw_server_handler serve, void *arg)
{
	memset(s, 0, sizeof(*s));
	s->fd = raw_listen(&s->port);
	s->serve = serve;
	s->arg = arg;
	s->thread = g_thread_new("raw-server", serve_main, s);
}

void raw_server_stop(struct raw_server *s)
{
	shutdown(s->fd, SHUT_RDWR);
	g_thread_join(s->thread);
	close(s->fd);
}

static size_t body_length(const char *head)
{
	const char *at = strcasestr(head, "\r\nContent-Length:");

	return at ? strtoul(at + strlen("\r\nContent-Length:"), NULL, 10) : 0;
}

char *raw_read_request_text(struct raw_server *s, int fd)
{
	g_autoptr(GString) in = g_string_new(NULL);
	char buf[4096];
	const char *end = NULL;

	while (!end || in->len < (size_t)(end + 4 - in->str) + body_length(in->str)) {
		ssize_t n = recv(fd, buf, sizeof(buf), 0);

		if (n <= 0)
			return NULL;
		g_string_append_len(in, buf, n);
		end = strstr(in->str, "\r\n\r\n");
	}
	g_atomic_int_inc(&s->requests);
	return g_string_free(g_steal_pointer(&in), FALSE);
}

bool raw_read_request(struct raw_server *s, int fd)
{
	g_autofree char *text = raw_read_request_text(s, fd);

	return text != NULL;
}

void raw_write_bytes(int fd, const void *p, size_t len)
{
	const char *at = p;

	while (len) {
		ssize_t n = send(fd, at, len, MSG_NOSIGNAL);

		if (n <= 0)
			return;
		at += n;
		len -= (size_t)n;
	}
}

void raw_write(int fd, const char *text)
{
	raw_write_bytes(fd, text, strlen(text));
}

void raw_end(int fd, u32 silence_ms)
{
	struct timeval silence = { .tv_usec = silence_ms * 1000 };
	char discarded[65536];

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &silence, sizeof(silence));
	shutdown(fd, SHUT_WR);
	while (recv(fd, discarded, sizeof(discarded), 0) > 0)
		;
	close(fd);
}

void raw_reset_on_close(int fd)
{
	struct linger now = { .l_onoff = 1 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

bool raw_wait_closed(int fd)
{
	struct pollfd p = { .fd = fd, .events = POLLRDHUP };

	return poll(&p, 1, WAIT_MAX_MS) == 1;
}

bool raw_is_closed(int fd)
{
	struct pollfd p = { .fd = fd, .events = POLLRDHUP };

	return poll(&p, 1, 0) == 1;
}
