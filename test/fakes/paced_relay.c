#include "test/fakes/paced_relay.h"

#include "kernel/loop.h"
#include "test/fakes/raw_server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
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
	GAsyncQueue *queue; /* of struct chunk, in the order of their times; of a paced flow */
};

struct chunk {
	u64 due_us;
	ssize_t n; /* 0 ends the flow */
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

static bool relay_chunk(const struct flow *f)
{
	char chunk[CHUNK_BYTES];
	ssize_t n = recv(f->from, chunk, sizeof(chunk), 0);

	if (n > 0)
		g_atomic_int_add(&f->link->bytes_back, (gint)n);
	return n > 0 && send(f->to, chunk, (size_t)n, MSG_NOSIGNAL) == n;
}

/* Queues what is received for the time at which it is through the link. */
static bool take_chunk(const struct flow *f)
{
	struct chunk *c = g_new(struct chunk, 1);
	ssize_t n = recv(f->from, c->bytes, sizeof(c->bytes), 0);

	c->n = MAX(n, 0);
	if (n > 0)
		pace(f->link, (size_t)n);
	c->due_us = loop_clock_us() + (u64)g_atomic_int_get(&f->link->delay_us);
	g_async_queue_push(f->queue, c);
	return n > 0;
}

/* Sends the chunks of a paced flow when they are due. */
static gpointer delay_main(gpointer arg)
{
	const struct flow *f = arg;
	bool is_open = true;
	bool is_last = false;

	while (!is_last) {
		g_autofree struct chunk *c = g_async_queue_pop(f->queue);
		u64 now = loop_clock_us();

		if (c->due_us > now)
			g_usleep(c->due_us - now);
		is_last = !c->n;
		is_open = is_open && !is_last &&
			  send(f->to, c->bytes, (size_t)c->n, MSG_NOSIGNAL) == c->n;
		if (!is_open)
			shutdown(f->from, SHUT_RDWR);
	}
	return NULL;
}

static void relay_paced(struct flow *f)
{
	GThread *thread;

	f->queue = g_async_queue_new();
	thread = g_thread_new("delay", delay_main, f);
	while (take_chunk(f))
		;
	g_thread_join(thread);
	g_async_queue_unref(f->queue);
}

static gpointer flow_main(gpointer arg)
{
	struct flow *f = arg;

	if (f->is_paced)
		relay_paced(f);
	else
		while (relay_chunk(f))
			;
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
