/*
 * paced - narrow links of many nodes: TCP relays in front of the control processes
 *
 * paced -n NODES -p PORT -t TARGET_PORT -r BYTES_PER_S
 *
 * Node J reaches the control process at 127.0.0.I, TARGET_PORT, through 127.0.1.J, PORT + I, for I
 * from 1 to 5. All bytes to one node share BYTES_PER_S, and its connections take turns, as on the
 * link of a VM. Bytes from the nodes are not paced.
 */
#include "kernel/loop.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONTROLS 5
#define CHUNK_BYTES 4096
#define BACKLOG 64
#define POLL_MS 2
/* Of the socket towards a control process, which has to wait for the link. */
#define RECEIVE_BYTES (64 * 1024)
/* A relay that was late sends what the link would have carried meanwhile, up to this time. */
#define CATCH_UP_US (50 * US_PER_MS)

struct narrow {
	u64 free_at_us; /* when the last byte that was given to the link is through */
};

struct listener {
	int fd;
	u32 node;
	u32 control;
};

struct conn {
	u32 node;
	int node_fd;
	int control_fd;
};

static u32 nodes;
static u16 port;
static u16 target_port;
static u64 bytes_per_s;
static struct narrow *links; /* by node */
static GArray *listeners; /* of struct listener */
static GArray *conns; /* of struct conn */

static struct sockaddr_in address(u32 net, u32 host, u16 p)
{
	struct sockaddr_in a = { .sin_family = AF_INET, .sin_port = htons(p) };

	a.sin_addr.s_addr = htonl((127u << 24) + (net << 8) + host);
	return a;
}

static void end(const char *what)
{
	perror(what);
	exit(1);
}

static void listen_at(u32 node, u32 control)
{
	struct sockaddr_in a = address(1, node, (u16)(port + control));
	struct listener l = { .node = node, .control = control };
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (fd < 0)
		end("paced: socket");
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&a, sizeof(a)) || listen(fd, BACKLOG))
		end("paced: listen");
	l.fd = fd;
	g_array_append_val(listeners, l);
}

static int connect_to(u32 control)
{
	struct sockaddr_in a = address(0, control, target_port);
	int size = RECEIVE_BYTES;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	if (!connect(fd, (struct sockaddr *)&a, sizeof(a)))
		return fd;
	close(fd);
	return -1;
}

static void accept_at(const struct listener *l)
{
	struct conn c = { .node = l->node, .node_fd = accept(l->fd, NULL, NULL) };

	if (c.node_fd < 0)
		return;
	c.control_fd = connect_to(l->control);
	if (c.control_fd < 0)
		close(c.node_fd);
	else
		g_array_append_val(conns, c);
}

static ssize_t relay(int from, int to)
{
	char chunk[CHUNK_BYTES];
	ssize_t n = recv(from, chunk, sizeof(chunk), MSG_DONTWAIT);

	return n > 0 && send(to, chunk, (size_t)n, MSG_NOSIGNAL) == n ? n : -1;
}

/* Returns the bytes relayed, 0 when none is waiting, or -1 when the connection has ended. */
static ssize_t relay_waiting(const struct conn *c)
{
	char next;
	ssize_t n = recv(c->control_fd, &next, 1, MSG_DONTWAIT | MSG_PEEK);

	if (n < 0 && errno == EAGAIN)
		return 0;
	return relay(c->control_fd, c->node_fd);
}

/* Relays to a node while its link is free. Returns false when the connection has ended. */
static bool relay_to_node(const struct conn *c, u64 now_us)
{
	struct narrow *link = &links[c->node];
	ssize_t n = 1;

	link->free_at_us = MAX(link->free_at_us, now_us - CATCH_UP_US);
	while (link->free_at_us <= now_us && (n = relay_waiting(c)) > 0)
		link->free_at_us += (u64)n * US_PER_S / bytes_per_s;
	return n >= 0;
}

static bool serve(const struct conn *c, const struct pollfd *node, const struct pollfd *control)
{
	if (node->revents && relay(c->node_fd, c->control_fd) < 0)
		return false;
	return !control->revents || relay_to_node(c, loop_clock_us());
}

static void add_poll(GArray *fds, int fd)
{
	struct pollfd p = { .fd = fd, .events = POLLIN };

	g_array_append_val(fds, p);
}

/* A connection whose link is not free is not asked for bytes to its node. */
static void add_conn(GArray *fds, const struct conn *c, u64 now_us)
{
	add_poll(fds, c->node_fd);
	add_poll(fds, links[c->node].free_at_us > now_us ? -1 : c->control_fd);
}

static void serve_conns(const struct pollfd *fds, guint n, guint first)
{
	g_autoptr(GArray) left = g_array_new(FALSE, FALSE, sizeof(struct conn));

	for (guint i = 0; i < n; i++) {
		guint at = (i + first) % n;
		struct conn c = g_array_index(conns, struct conn, at);

		if (serve(&c, &fds[2 * at], &fds[2 * at + 1])) {
			g_array_append_val(left, c);
			continue;
		}
		close(c.node_fd);
		close(c.control_fd);
	}
	g_array_set_size(conns, 0);
	if (left->len)
		g_array_append_vals(conns, left->data, left->len);
}

static void turn(guint count)
{
	g_autoptr(GArray) fds = g_array_new(FALSE, FALSE, sizeof(struct pollfd));
	const struct pollfd *p;
	u64 now = loop_clock_us();
	guint n = conns->len;

	for (guint i = 0; i < n; i++)
		add_conn(fds, &g_array_index(conns, struct conn, i), now);
	for (guint i = 0; i < listeners->len; i++)
		add_poll(fds, g_array_index(listeners, struct listener, i).fd);
	poll((struct pollfd *)(void *)fds->data, fds->len, POLL_MS);
	p = (const struct pollfd *)(const void *)fds->data;
	if (n)
		serve_conns(p, n, count % n);
	for (guint i = 0; i < listeners->len; i++)
		if (p[2 * n + i].revents)
			accept_at(&g_array_index(listeners, struct listener, i));
}

int main(int argc, char **argv)
{
	int c;

	while ((c = getopt(argc, argv, "n:p:t:r:")) != -1) {
		if (c == 'n')
			nodes = (u32)atoi(optarg);
		else if (c == 'p')
			port = (u16)atoi(optarg);
		else if (c == 't')
			target_port = (u16)atoi(optarg);
		else if (c == 'r')
			bytes_per_s = (u64)atoll(optarg);
	}
	if (!nodes || !port || !target_port || !bytes_per_s) {
		fprintf(stderr, "usage: paced -n NODES -p PORT -t TARGET_PORT -r BYTES_PER_S\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	links = g_new0(struct narrow, nodes + 1);
	listeners = g_array_new(FALSE, TRUE, sizeof(struct listener));
	conns = g_array_new(FALSE, TRUE, sizeof(struct conn));
	for (u32 j = 1; j <= nodes; j++)
		for (u32 i = 1; i <= CONTROLS; i++)
			listen_at(j, i);
	for (guint count = 0;; count++)
		turn(count);
}
