/*
 * relay - a TCP relay that injects network faults on command
 *
 * relay -c COMMAND_PORT [-s SEED] LISTEN=TARGET...
 *
 * Each LISTEN=TARGET is a route between two ports of 127.0.0.1. A line sent to
 * COMMAND_PORT is a command for all routes, or for one if its number (from 1)
 * comes first; the reply is "ok" once the command is in effect:
 *   pass          relay normally (the initial state)
 *   delay MS      delay each chunk by a random time below MS; 0 stops delaying
 *   cut           close all connections, and new ones as soon as they are accepted
 *   break         close all connections once
 *   reset         the same, but the ends get a reset instead of an end
 *   silent        drop all bytes in both directions without closing
 *   silent-up     drop the bytes towards TARGET
 *   silent-down   drop the bytes from TARGET
 *   hold          relay nothing, but drop nothing, until the next state
 *   break-after N after N more bytes towards TARGET in all, close the connection
 *                 that reached N
 * A connection that has dropped bytes is closed when its direction relays again.
 */
#include "kernel/loop.h"
#include "lib/rng.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ROUTES_MAX 64
#define CHUNK_BYTES 16384
#define POLL_INTERVAL_MS 5
#define BACKLOG 256

enum state { PASS, CUT, SILENT, SILENT_UP, SILENT_DOWN, HOLD };

struct route {
	u16 listen_port;
	u16 target_port;
	int fd;
	enum state state;
	u32 delay_ms;
	u32 break_count; /* connections that started at a lower count are closed */
	u32 reset_count; /* the value of break_count that a reset produced */
	gint break_after_bytes; /* remaining; negative for no limit */
};

/* One direction of a connection. When one direction ends, both do. */
struct flow {
	struct route *route;
	struct conn *conn;
	int from;
	int to;
	bool is_up;
	bool has_dropped;
	struct rng rng;
};

struct conn {
	struct flow up;
	struct flow down;
	u32 break_count;
	gint refs;
};

static struct route routes[ROUTES_MAX];
static u32 nroutes;
static u64 seed = 1;

static struct sockaddr_in loopback(u16 port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET, .sin_port = htons(port) };

	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return addr;
}

static int listen_on(u16 port)
{
	struct sockaddr_in addr = loopback(port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (!bind(fd, (struct sockaddr *)&addr, sizeof(addr)) && !listen(fd, BACKLOG))
		return fd;
	fprintf(stderr, "relay: cannot listen on port %u\n", port);
	exit(1);
}

static int connect_to(u16 port)
{
	struct sockaddr_in addr = loopback(port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (!connect(fd, (struct sockaddr *)&addr, sizeof(addr)))
		return fd;
	close(fd);
	return -1;
}

static enum state get_state(const struct route *p)
{
	return __atomic_load_n(&p->state, __ATOMIC_ACQUIRE);
}

static bool drops_bytes(const struct flow *f)
{
	enum state s = get_state(f->route);

	return s == SILENT || (s == SILENT_UP && f->is_up) || (s == SILENT_DOWN && !f->is_up);
}

static bool must_close(const struct flow *f)
{
	if (get_state(f->route) == CUT)
		return true;
	if (f->has_dropped && !drops_bytes(f))
		return true;
	return f->conn->break_count != __atomic_load_n(&f->route->break_count, __ATOMIC_ACQUIRE);
}

static int write_all(int fd, const char *data, size_t len)
{
	while (len) {
		ssize_t n = send(fd, data, len, MSG_NOSIGNAL);

		if (n <= 0)
			return -1;
		data += n;
		len -= (size_t)n;
	}
	return 0;
}

static void delay_chunk(struct flow *f)
{
	u32 delay_ms = __atomic_load_n(&f->route->delay_ms, __ATOMIC_ACQUIRE);

	if (delay_ms)
		g_usleep(rng_below(&f->rng, delay_ms * 1000));
	while (get_state(f->route) == HOLD && !must_close(f))
		g_usleep(POLL_INTERVAL_MS * 1000);
}

/*
 * Counts N bytes against the route's limit. Returns N, or -(M + 1) when the limit allows only the
 * first M of them.
 */
static ssize_t consume_byte_limit(struct flow *f, ssize_t n)
{
	gint remaining = g_atomic_int_get(&f->route->break_after_bytes);

	if (!f->is_up || remaining < 0)
		return n;
	if (n > remaining) {
		g_atomic_int_set(&f->route->break_after_bytes, -1);
		return -(ssize_t)remaining - 1;
	}
	g_atomic_int_add(&f->route->break_after_bytes, -(gint)n);
	return n;
}

/* Relays one chunk. Returns false when the connection ends. */
static bool relay_chunk(struct flow *f)
{
	char chunk[CHUNK_BYTES];
	ssize_t n = recv(f->from, chunk, sizeof(chunk), 0);
	ssize_t allowed;

	if (n <= 0)
		return false;
	delay_chunk(f);
	if (must_close(f))
		return false;
	if (drops_bytes(f)) {
		f->has_dropped = true;
		return true;
	}
	allowed = consume_byte_limit(f, n);
	if (allowed < 0) {
		write_all(f->to, chunk, (size_t)(-allowed - 1));
		return false;
	}
	return !write_all(f->to, chunk, (size_t)n);
}

static bool must_reset(const struct conn *c)
{
	u32 reset_count = __atomic_load_n(&c->up.route->reset_count, __ATOMIC_ACQUIRE);

	return reset_count > c->break_count;
}

/* Without a time to linger, the close of a socket sends a reset and drops what is not sent. */
static void close_conn(struct conn *c)
{
	struct linger none = { .l_onoff = 1 };

	if (must_reset(c)) {
		setsockopt(c->up.from, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
		setsockopt(c->up.to, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
	}
	close(c->up.from);
	close(c->up.to);
	g_free(c);
}

static void *flow_main(void *arg)
{
	struct flow *f = arg;
	struct conn *c = f->conn;
	struct pollfd p = { .fd = f->from, .events = POLLIN };

	while (!must_close(f)) {
		if (get_state(f->route) == HOLD) {
			g_usleep(POLL_INTERVAL_MS * 1000);
			continue;
		}
		if (poll(&p, 1, POLL_INTERVAL_MS) > 0 && !relay_chunk(f))
			break;
	}
	if (!must_reset(c)) {
		shutdown(f->from, SHUT_RDWR);
		shutdown(f->to, SHUT_RDWR);
	}
	if (g_atomic_int_dec_and_test(&c->refs))
		close_conn(c);
	return NULL;
}

static void start_flow(struct flow *f, struct conn *c, struct route *p, int from, int to)
{
	pthread_t thread;

	f->route = p;
	f->conn = c;
	f->from = from;
	f->to = to;
	f->is_up = f == &c->up;
	f->rng.state = seed++;
	pthread_create(&thread, NULL, flow_main, f);
	pthread_detach(thread);
}

static void *route_main(void *arg)
{
	struct route *p = arg;
	int from;

	while ((from = accept(p->fd, NULL, NULL)) >= 0) {
		int to = get_state(p) == CUT ? -1 : connect_to(p->target_port);
		struct conn *c;

		if (to < 0) {
			close(from);
			continue;
		}
		c = g_new0(struct conn, 1);
		c->refs = 2;
		c->break_count = __atomic_load_n(&p->break_count, __ATOMIC_ACQUIRE);
		start_flow(&c->up, c, p, from, to);
		start_flow(&c->down, c, p, to, from);
	}
	return NULL;
}

static bool set_state(struct route *p, const char *name)
{
	static const char *const names[] = { "pass",	  "cut",	 "silent",
					     "silent-up", "silent-down", "hold" };

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		if (strcmp(names[i], name))
			continue;
		__atomic_store_n(&p->state, (enum state)i, __ATOMIC_RELEASE);
		return true;
	}
	return false;
}

static bool run_command(struct route *p, char **args, guint n)
{
	bool is_reset = n == 1 && !strcmp(args[0], "reset");

	if (is_reset || (n == 1 && !strcmp(args[0], "break"))) {
		if (is_reset)
			__atomic_store_n(&p->reset_count, p->break_count + 1, __ATOMIC_RELEASE);
		__atomic_add_fetch(&p->break_count, 1, __ATOMIC_ACQ_REL);
		return true;
	}
	if (n == 1)
		return set_state(p, args[0]);
	if (n == 2 && !strcmp(args[0], "delay"))
		__atomic_store_n(&p->delay_ms, (u32)atoi(args[1]), __ATOMIC_RELEASE);
	else if (n == 2 && !strcmp(args[0], "break-after"))
		g_atomic_int_set(&p->break_after_bytes, atoi(args[1]));
	else
		return false;
	return true;
}

static bool run_command_line(char *line)
{
	g_auto(GStrv) args = g_strsplit(g_strstrip(line), " ", 4);
	guint n = g_strv_length(args);
	u32 route_number = n ? (u32)atoi(args[0]) : 0;
	bool is_ok = n > (route_number ? 1u : 0u) && route_number <= nroutes;

	for (u32 i = 0; is_ok && i < nroutes; i++)
		if (!route_number || route_number == i + 1)
			is_ok = run_command(&routes[i], args + (route_number ? 1 : 0),
					    n - (route_number ? 1 : 0));
	return is_ok;
}

static void serve_commands(int listener)
{
	int fd;

	while ((fd = accept(listener, NULL, NULL)) >= 0) {
		FILE *in = fdopen(fd, "r+");
		char line[256];

		while (in && fgets(line, sizeof(line), in)) {
			const char *reply = run_command_line(line) ? "ok\n" : "unknown command\n";

			if (write_all(fd, reply, strlen(reply)))
				break;
		}
		if (in)
			fclose(in);
	}
}

static void add_route(const char *text)
{
	struct route *p = &routes[nroutes];
	const char *to = strchr(text, '=');
	pthread_t thread;

	if (!to || nroutes == ROUTES_MAX) {
		fprintf(stderr, "relay: malformed LISTEN=TARGET, or too many routes: %s\n", text);
		exit(2);
	}
	nroutes++;
	p->listen_port = (u16)atoi(text);
	p->target_port = (u16)atoi(to + 1);
	p->break_after_bytes = -1;
	p->fd = listen_on(p->listen_port);
	pthread_create(&thread, NULL, route_main, p);
	pthread_detach(thread);
}

int main(int argc, char **argv)
{
	u16 port = 0;
	int c;

	signal(SIGPIPE, SIG_IGN);
	while ((c = getopt(argc, argv, "c:s:")) != -1) {
		if (c == 'c')
			port = (u16)atoi(optarg);
		else if (c == 's')
			seed = strtoull(optarg, NULL, 10);
	}
	if (!port || optind == argc) {
		fprintf(stderr, "usage: relay -c COMMAND_PORT [-s SEED] LISTEN=TARGET...\n");
		return 2;
	}
	for (int i = optind; i < argc; i++)
		add_route(argv[i]);
	serve_commands(listen_on(port));
	return 0;
}
