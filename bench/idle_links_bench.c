/*
 * idle_links_bench - measures what idle links to homes cost a node
 *
 * idle_links_bench [-n LINKS]
 *
 * One node dials LINKS homes (default 24) in the same process and calls none of them. Prints the
 * bytes a second of all of these links, both ways, in two windows: while pings come at their
 * longest interval, and after MESH_IDLE_LINK_US. The kernel counts payload and segments of each
 * socket at the home's end; each segment adds HEADER_BYTES.
 */
#include "kernel/link_impl.h"
#include "test/fakes/fake_node.h"
#include "test/fakes/fake_peer.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#define LINKS_DEFAULT 24
/* IPv4, TCP with timestamps. */
#define HEADER_BYTES 52
/* The ping interval has doubled to its maximum by then. */
#define FIRST_WINDOW_S 20
/* Links that are not used are closed by then. */
#define SECOND_WINDOW_S 70
/* Four times the longest ping interval. */
#define WINDOW_S 32

struct traffic {
	u64 payload_bytes;
	u64 segments;
	u32 links;
};

struct count_request {
	struct fake_peer *peer;
	struct traffic sum;
};

static void count(void *arg)
{
	struct count_request *r = arg;
	struct tcp_info info = { 0 };
	socklen_t len = sizeof(info);

	if (!r->peer->link)
		return;
	if (getsockopt(r->peer->link->priv->fd.fd, IPPROTO_TCP, TCP_INFO, &info, &len))
		return;
	r->sum.links++;
	r->sum.payload_bytes += info.tcpi_bytes_received + info.tcpi_bytes_acked;
	r->sum.segments += info.tcpi_segs_in + info.tcpi_segs_out;
}

static struct traffic count_all(struct fake_peer *peers, u32 n)
{
	struct count_request r = { 0 };

	for (u32 i = 0; i < n; i++) {
		r.peer = &peers[i];
		loop_call(peers[i].loop, count, &r);
	}
	return r.sum;
}

static void measure(const char *name, struct fake_peer *peers, u32 n)
{
	struct traffic a = count_all(peers, n);
	struct traffic b;
	u64 payload_bytes;
	u64 segments;

	g_usleep(WINDOW_S * US_PER_S);
	b = count_all(peers, n);
	payload_bytes = b.payload_bytes - MIN(a.payload_bytes, b.payload_bytes);
	segments = b.segments - MIN(a.segments, b.segments);
	printf("%s: %u links, then %u; payload %.1f B/s, segments %.2f/s, with headers %.1f B/s\n",
	       name, a.links, b.links, (double)payload_bytes / WINDOW_S,
	       (double)segments / WINDOW_S,
	       (double)(payload_bytes + segments * HEADER_BYTES) / WINDOW_S);
	fflush(stdout);
}

struct dial_request {
	struct node *node;
	const char *name;
};

static void dial(void *arg)
{
	const struct dial_request *d = arg;

	mesh_link(d->node, d->name);
}

int main(int argc, char **argv)
{
	u32 n = LINKS_DEFAULT;
	struct fake_node node;
	struct fake_peer *peers;
	int opt;

	while ((opt = getopt(argc, argv, "n:")) != -1) {
		if (opt != 'n')
			return 2;
		n = (u32)strtoul(optarg, NULL, 10);
	}
	fake_node_start(&node);
	peers = g_new0(struct fake_peer, n);
	for (u32 i = 0; i < n; i++) {
		struct dial_request d = { .node = node.node };

		fake_peer_start(&peers[i], true);
		d.name = peers[i].name;
		loop_call(node.node->loop, dial, &d);
	}
	g_usleep(FIRST_WINDOW_S * US_PER_S);
	measure("idle", peers, n);
	g_usleep((SECOND_WINDOW_S - FIRST_WINDOW_S - WINDOW_S) * US_PER_S);
	measure("after the idle time", peers, n);
	_exit(0); /* the loops are still running */
}
