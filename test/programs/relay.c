/*
 * relay - TCP relay between processes of the system, with silent cuts
 *
 * relay COMMAND_PORT LISTEN_PORT:TARGET_PORT ...
 *
 * Passes bytes on. The process that dials is known by the name in its HELLO,
 * the one dialled by the target's port. Commands are lines on COMMAND_PORT,
 * answered with "ok":
 *
 *   cut FROM TO   hold all bytes from port FROM to port TO; * is any port
 *   heal          pass everything on again, also what was held
 *   reset PORT    close the connections from or to PORT
 *
 * A cut connection stays open; a new one is taken but nothing is delivered.
 */
#include "lib/types.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ROUTES_MAX 32
#define PAIRS_MAX 1024
#define CUTS_MAX 32
#define BUFFER_BYTES 65536
#define ANY 0
#define HOST "127.0.0.1"

struct half {
	int fd;
	u32 port; /* of the process at this end; 0 while not known */
	char buf[BUFFER_BYTES]; /* read from fd, not yet written to the other half */
	size_t len;
	int is_ended;
};

struct pair {
	struct half *a; /* the one that dialled */
	struct half *b;
};

struct cut {
	u32 from;
	u32 to;
};

static struct {
	int fd;
	u32 target;
} routes[ROUTES_MAX];
static int nroutes;
static struct pair pairs[PAIRS_MAX];
static int npairs;
static struct cut cuts[CUTS_MAX];
static int ncuts;

static int is_cut(u32 from, u32 to)
{
	for (int i = 0; i < ncuts; i++)
		if ((cuts[i].from == ANY || cuts[i].from == from) &&
		    (cuts[i].to == ANY || cuts[i].to == to))
			return 1;
	return 0;
}

static struct sockaddr_in address(u32 port)
{
	struct sockaddr_in a = { .sin_family = AF_INET, .sin_port = htons((u16)port) };

	inet_pton(AF_INET, HOST, &a.sin_addr);
	return a;
}

static int listen_on(u32 port)
{
	struct sockaddr_in a = address(port);
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&a, sizeof(a)) || listen(fd, 256)) {
		fprintf(stderr, "relay: cannot listen on %u: %s\n", port, strerror(errno));
		exit(1);
	}
	return fd;
}

static struct half *half_new(int fd, u32 port)
{
	struct half *h = calloc(1, sizeof(*h));

	if (!h)
		exit(1);
	h->fd = fd;
	h->port = port;
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return h;
}

static void accept_pair(int i)
{
	struct sockaddr_in a = address(routes[i].target);
	int in = accept(routes[i].fd, NULL, NULL);
	int out = socket(AF_INET, SOCK_STREAM, 0);

	if (in < 0 || out < 0 || npairs == PAIRS_MAX ||
	    connect(out, (struct sockaddr *)&a, sizeof(a))) {
		if (in >= 0)
			close(in);
		if (out >= 0)
			close(out);
		return;
	}
	pairs[npairs].a = half_new(in, 0);
	pairs[npairs].b = half_new(out, routes[i].target);
	npairs++;
}

static void close_pair(int i)
{
	close(pairs[i].a->fd);
	close(pairs[i].b->fd);
	free(pairs[i].a);
	free(pairs[i].b);
	pairs[i] = pairs[--npairs];
}

/* The HELLO holds the dialling process's name, ADDRESS:PORT. */
static void learn_port(struct half *h)
{
	char *at = h->len ? memmem(h->buf, h->len, HOST ":", strlen(HOST) + 1) : NULL;
	char digits[6] = { 0 };
	size_t left;

	if (!at)
		return;
	at += strlen(HOST) + 1;
	left = (size_t)(h->buf + h->len - at);
	memcpy(digits, at, left < 5 ? left : 5);
	h->port = (u32)strtoul(digits, NULL, 10);
}

static void fill(struct half *h)
{
	ssize_t n;

	if (h->is_ended || h->len == sizeof(h->buf))
		return;
	n = read(h->fd, h->buf + h->len, sizeof(h->buf) - h->len);
	if (n > 0)
		h->len += (size_t)n;
	else if (n == 0 || (errno != EAGAIN && errno != EINTR))
		h->is_ended = 1;
}

/* Returns 0 when the connection is over. */
static int pass(struct half *from, struct half *to)
{
	ssize_t n;

	if (!from->port || !to->port || is_cut(from->port, to->port))
		return 1;
	fill(from);
	while (from->len) {
		n = send(to->fd, from->buf, from->len, MSG_NOSIGNAL);
		if (n <= 0)
			return n < 0 && (errno == EAGAIN || errno == EINTR);
		memmove(from->buf, from->buf + n, from->len - (size_t)n);
		from->len -= (size_t)n;
		fill(from);
	}
	return !from->is_ended;
}

static int serve_pair(struct pair *p)
{
	if (!p->a->port) {
		fill(p->a);
		learn_port(p->a);
		return !p->a->is_ended;
	}
	return pass(p->a, p->b) && pass(p->b, p->a);
}

static u32 port_of(const char *text)
{
	return *text == '*' ? ANY : (u32)strtoul(text, NULL, 10);
}

static void reset(u32 port)
{
	for (int i = npairs - 1; i >= 0; i--)
		if (pairs[i].a->port == port || pairs[i].b->port == port)
			close_pair(i);
}

static void command(int listener)
{
	char line[128] = "";
	char a[32] = "";
	char b[32] = "";
	int fd = accept(listener, NULL, NULL);
	ssize_t n = read(fd, line, sizeof(line) - 1);

	if (n > 0 && sscanf(line, "cut %31s %31s", a, b) == 2 && ncuts < CUTS_MAX)
		cuts[ncuts++] = (struct cut){ port_of(a), port_of(b) };
	else if (n > 0 && !strncmp(line, "heal", 4))
		ncuts = 0;
	else if (n > 0 && sscanf(line, "reset %31s", a) == 1)
		reset(port_of(a));
	if (write(fd, "ok\n", 3) < 0)
		perror("relay");
	close(fd);
}

/* Cut connections are not polled, so what comes stays in the sockets. */
static int poll_all(int listener, struct pollfd *fds)
{
	int n = 0;

	fds[n++] = (struct pollfd){ .fd = listener, .events = POLLIN };
	for (int i = 0; i < nroutes; i++)
		fds[n++] = (struct pollfd){ .fd = routes[i].fd, .events = POLLIN };
	for (int i = 0; i < npairs; i++) {
		struct half *a = pairs[i].a;
		struct half *b = pairs[i].b;

		if (!a->port || !is_cut(a->port, b->port))
			fds[n++] = (struct pollfd){ .fd = a->fd, .events = POLLIN };
		if (a->port && !is_cut(b->port, a->port))
			fds[n++] = (struct pollfd){ .fd = b->fd, .events = POLLIN };
	}
	poll(fds, (nfds_t)n, 20);
	return n;
}

int main(int argc, char **argv)
{
	static struct pollfd fds[1 + ROUTES_MAX + 2 * PAIRS_MAX];
	int listener;

	if (argc < 3 || argc > ROUTES_MAX + 2) {
		fprintf(stderr, "usage: relay COMMAND_PORT LISTEN:TARGET ...\n");
		return 2;
	}
	listener = listen_on(port_of(argv[1]));
	for (int i = 2; i < argc; i++) {
		const char *target = strchr(argv[i], ':');

		routes[nroutes].fd = listen_on(port_of(argv[i]));
		routes[nroutes++].target = target ? port_of(target + 1) : 0;
	}
	for (;;) {
		poll_all(listener, fds);
		if (fds[0].revents)
			command(listener);
		for (int i = 0; i < nroutes; i++)
			if (fds[1 + i].revents)
				accept_pair(i);
		for (int i = npairs - 1; i >= 0; i--)
			if (!serve_pair(&pairs[i]))
				close_pair(i);
	}
}
