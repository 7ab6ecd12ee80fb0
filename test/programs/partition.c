/*
 * partition - a TCP relay between lavenderlead processes that simulates network partitions
 *
 * partition COMMAND_PORT LISTEN_PORT:TARGET_PORT ...
 *
 * Relays bytes in both directions. The connecting process is identified by the
 * name in its HELLO, the other one by its target port. Commands are lines sent to
 * COMMAND_PORT, one per connection; the reply is "ok":
 *
 *   cut FROM TO   stop relaying bytes from port FROM to port TO; * is any port
 *   heal          remove all cuts; the bytes sent meanwhile are delivered
 *   reset PORT    close the connections from or to PORT
 *
 * A connection that is cut stays open, and new connections are accepted, but
 * nothing is delivered.
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
#define CONNECTIONS_MAX 1024
#define CUTS_MAX 32
#define BUFFER_BYTES 65536
#define ANY_PORT 0
#define HOST "127.0.0.1"

struct side {
	int fd;
	u32 port; /* of the process on this side; 0 while unknown */
	char buf[BUFFER_BYTES]; /* read from fd, not yet written to the other side */
	size_t len;
	int is_eof;
};

struct connection {
	struct side *client; /* the process that connected */
	struct side *server;
};

struct cut {
	u32 from;
	u32 to;
};

static struct {
	int fd;
	u32 listen;
	u32 target;
} routes[ROUTES_MAX];
static int nroutes;
static struct connection connections[CONNECTIONS_MAX];
static int nconnections;
static struct cut cuts[CUTS_MAX];
static int ncuts;

static int is_cut(u32 from, u32 to)
{
	for (int i = 0; i < ncuts; i++)
		if ((cuts[i].from == ANY_PORT || cuts[i].from == from) &&
		    (cuts[i].to == ANY_PORT || cuts[i].to == to))
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
		fprintf(stderr, "partition: cannot listen on %u: %s\n", port, strerror(errno));
		exit(1);
	}
	return fd;
}

static struct side *side_new(int fd, u32 port)
{
	struct side *s = calloc(1, sizeof(*s));

	if (!s)
		exit(1);
	s->fd = fd;
	s->port = port;
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return s;
}

static void accept_connection(int i)
{
	struct sockaddr_in a = address(routes[i].target);
	int in = accept(routes[i].fd, NULL, NULL);
	int out = socket(AF_INET, SOCK_STREAM, 0);

	if (in < 0 || out < 0 || nconnections == CONNECTIONS_MAX ||
	    connect(out, (struct sockaddr *)&a, sizeof(a))) {
		if (in >= 0)
			close(in);
		if (out >= 0)
			close(out);
		return;
	}
	connections[nconnections].client = side_new(in, 0);
	connections[nconnections].server = side_new(out, routes[i].target);
	nconnections++;
}

static void close_connection(int i)
{
	close(connections[i].client->fd);
	close(connections[i].server->fd);
	free(connections[i].client);
	free(connections[i].server);
	connections[i] = connections[--nconnections];
}

/* Returns the target port of the route that listens on HELLO_PORT, else HELLO_PORT itself. */
static u32 port_behind_route(u32 hello_port)
{
	for (int i = 0; i < nroutes; i++)
		if (routes[i].listen == hello_port)
			return routes[i].target;
	return hello_port;
}

/* Sets the port from the name in the buffered HELLO, ADDRESS:PORT. */
static void detect_client_port(struct side *s)
{
	char *at = s->len ? memmem(s->buf, s->len, HOST ":", strlen(HOST) + 1) : NULL;
	char digits[6] = { 0 };
	size_t available;

	if (!at)
		return;
	at += strlen(HOST) + 1;
	available = (size_t)(s->buf + s->len - at);
	memcpy(digits, at, available < 5 ? available : 5);
	s->port = port_behind_route((u32)strtoul(digits, NULL, 10));
}

/* Does one read into the free space of the buffer. */
static void read_available(struct side *s)
{
	ssize_t n;

	if (s->is_eof || s->len == sizeof(s->buf))
		return;
	n = read(s->fd, s->buf + s->len, sizeof(s->buf) - s->len);
	if (n > 0)
		s->len += (size_t)n;
	else if (n == 0 || (errno != EAGAIN && errno != EINTR))
		s->is_eof = 1;
}

/* Relays all available bytes unless this direction is cut. Returns 0 when the connection ended. */
static int relay_bytes(struct side *from, struct side *to)
{
	ssize_t n;

	if (!from->port || !to->port || is_cut(from->port, to->port))
		return 1;
	read_available(from);
	while (from->len) {
		n = send(to->fd, from->buf, from->len, MSG_NOSIGNAL);
		if (n <= 0)
			return n < 0 && (errno == EAGAIN || errno == EINTR);
		memmove(from->buf, from->buf + n, from->len - (size_t)n);
		from->len -= (size_t)n;
		read_available(from);
	}
	return !from->is_eof;
}

static int relay_connection(struct connection *p)
{
	if (!p->client->port) {
		read_available(p->client);
		detect_client_port(p->client);
		return !p->client->is_eof;
	}
	return relay_bytes(p->client, p->server) && relay_bytes(p->server, p->client);
}

static u32 parse_port(const char *text)
{
	return *text == '*' ? ANY_PORT : (u32)strtoul(text, NULL, 10);
}

static void reset_connections(u32 port)
{
	for (int i = nconnections - 1; i >= 0; i--)
		if (connections[i].client->port == port || connections[i].server->port == port)
			close_connection(i);
}

static void run_command(int listener)
{
	char line[128] = "";
	char a[32] = "";
	char b[32] = "";
	int fd = accept(listener, NULL, NULL);
	ssize_t n = read(fd, line, sizeof(line) - 1);

	if (n > 0 && sscanf(line, "cut %31s %31s", a, b) == 2 && ncuts < CUTS_MAX)
		cuts[ncuts++] = (struct cut){ parse_port(a), parse_port(b) };
	else if (n > 0 && !strncmp(line, "heal", 4))
		ncuts = 0;
	else if (n > 0 && sscanf(line, "reset %31s", a) == 1)
		reset_connections(parse_port(a));
	if (write(fd, "ok\n", 3) < 0)
		perror("partition");
	close(fd);
}

/* Doesn't poll for input on a direction that is cut: its bytes stay in the socket. */
static int wait_for_events(int listener, struct pollfd *fds)
{
	int n = 0;

	fds[n++] = (struct pollfd){ .fd = listener, .events = POLLIN };
	for (int i = 0; i < nroutes; i++)
		fds[n++] = (struct pollfd){ .fd = routes[i].fd, .events = POLLIN };
	for (int i = 0; i < nconnections; i++) {
		struct side *a = connections[i].client;
		struct side *b = connections[i].server;

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
	static struct pollfd fds[1 + ROUTES_MAX + 2 * CONNECTIONS_MAX];
	int listener;

	if (argc < 3 || argc > ROUTES_MAX + 2) {
		fprintf(stderr, "usage: partition COMMAND_PORT LISTEN:TARGET ...\n");
		return 2;
	}
	listener = listen_on(parse_port(argv[1]));
	for (int i = 2; i < argc; i++) {
		const char *target = strchr(argv[i], ':');

		routes[nroutes].listen = parse_port(argv[i]);
		routes[nroutes].fd = listen_on(routes[nroutes].listen);
		routes[nroutes++].target = target ? parse_port(target + 1) : 0;
	}
	for (;;) {
		wait_for_events(listener, fds);
		if (fds[0].revents)
			run_command(listener);
		for (int i = 0; i < nroutes; i++)
			if (fds[1 + i].revents)
				accept_connection(i);
		for (int i = nconnections - 1; i >= 0; i--)
			if (!relay_connection(&connections[i]))
				close_connection(i);
	}
}
