#include "test/fakes/paced_relay.h"

#include "kernel/loop.h"
#include "test/fakes/raw_server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CHUNK_BYTES 1460
/* The buffers of a narrow link's sockets: more than the product should rely on. */
#define BUFFER_BYTES (256 * 1024)
/* The thread that paces may wake this much late without a loss of rate. */
#define LATE_US (10 * US_PER_MS)

struct relay {
	struct paced_link *link;
	u16 target;
	int fd;
};

struct flow {
	struct paced_link *link;
	bool is_paced;
	int from;
	int to;
	gint *refs; /* of the connection */
	GAsyncQueue *delayed; /* of struct chunk; NULL: bytes go on at once */
};

/* Bytes that are on their way; with LEN 0, the end of the connection. */
struct chunk {
	u64 due_us;
	size_t len;
	char bytes[CHUNK_BYTES];
};

/* Waits until the link has taken N further bytes. */
static void pace(struct paced_link *link, size_t n)
{
	u64 now = loop_clock_us();
	u64 until;

	g_mutex_lock(&link->lock);
	link->free_at_us = MAX(link->free_at_us, now - LATE_US) + n * US_PER_S / link->bytes_per_s;
	until = link->free_at_us;
	g_mutex_unlock(&link->lock);
	g_atomic_int_add(&link->bytes, (gint)n);
	if (until > now)
		g_usleep(until - now);
}

static struct chunk *chunk_new(const struct flow *f, const char *bytes, size_t len)
{
	struct chunk *c = g_new(struct chunk, 1);

	c->due_us = loop_clock_us() + f->link->delay_us;
	c->len = len;
	memcpy(c->bytes, bytes, len);
	return c;
}

/* Sends delayed chunks when they are due, in their order. */
static gpointer delay_main(gpointer arg)
{
	struct flow *f = arg;
	bool is_open = true;

	while (is_open) {
		g_autofree struct chunk *c = g_async_queue_pop(f->delayed);
		u64 now = loop_clock_us();

		if (c->due_us > now)
			g_usleep(c->due_us - now);
		is_open = c->len;
		if (is_open)
			send(f->to, c->bytes, c->len, MSG_NOSIGNAL);
	}
	return NULL;
}

static bool relay_chunk(const struct flow *f)
{
	char chunk[CHUNK_BYTES];
	ssize_t n = recv(f->from, chunk, sizeof(chunk), 0);

	if (n <= 0)
		return false;
	if (f->is_paced)
		pace(f->link, (size_t)n);
	else
		g_atomic_int_add(&f->link->bytes_back, (gint)n);
	if (f->delayed) {
		g_async_queue_push(f->delayed, chunk_new(f, chunk, (size_t)n));
		return true;
	}
	return send(f->to, chunk, (size_t)n, MSG_NOSIGNAL) == n;
}

static GThread *start_delay(struct flow *f)
{
	if (!f->is_paced || !f->link->delay_us)
		return NULL;
	f->delayed = g_async_queue_new_full(g_free);
	return g_thread_new("delay", delay_main, f);
}

static void end_delay(struct flow *f, GThread *thread)
{
	if (!thread)
		return;
	g_async_queue_push(f->delayed, chunk_new(f, "", 0));
	g_thread_join(thread);
	g_async_queue_unref(f->delayed);
}

static gpointer flow_main(gpointer arg)
{
	struct flow *f = arg;
	GThread *delay = start_delay(f);

	while (relay_chunk(f))
		;
	end_delay(f, delay);
	shutdown(f->from, SHUT_RDWR);
	shutdown(f->to, SHUT_RDWR);
	if (g_atomic_int_dec_and_test(f->refs)) {
		close(f->from);
		close(f->to);
		g_free(f->refs);
	}
	g_free(f);
	return NULL;
}

static void start_flow(struct paced_link *link, bool is_paced, int from, int to, gint *refs)
{
	struct flow *f = g_new0(struct flow, 1);

	*f = (struct flow){
		.link = link, .is_paced = is_paced, .from = from, .to = to, .refs = refs
	};
	g_thread_unref(g_thread_new("flow", flow_main, f));
}

static gpointer accept_main(gpointer arg)
{
	struct relay *r = arg;
	int size = BUFFER_BYTES;
	int one = 1;

	for (;;) {
		int from = accept(r->fd, NULL, NULL);
		int to = raw_connect(r->target);
		gint *refs = g_new0(gint, 1);

		g_assert_cmpint(from, >=, 0);
		g_assert_cmpint(to, >=, 0);
		setsockopt(from, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		setsockopt(to, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		setsockopt(to, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
		*refs = 2;
		start_flow(r->link, false, from, to, refs);
		start_flow(r->link, true, to, from, refs);
	}
	return NULL;
}

u16 paced_relay_start(struct paced_link *link, u16 target)
{
	struct relay *r = g_new0(struct relay, 1);
	u16 port;

	r->link = link;
	r->target = target;
	r->fd = raw_listen(&port);
	g_thread_unref(g_thread_new("relay", accept_main, r));
	return port;
}
