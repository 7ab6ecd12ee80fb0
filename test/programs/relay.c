/*
 * relay - a TCP relay that fails as it is told
 *
 * relay -c COMMAND_PORT [-s SEED] LISTEN=TARGET...
 *
 * Each pair of ports on 127.0.0.1 is relayed. A line sent to COMMAND_PORT is a
 * command for all pairs, or for one when its number (from 1) comes first;
 * "ok" is answered when it is in force:
 *   pass          relay (the state at the start)
 *   delay MS      hold back each piece for up to MS, at random; 0 ends it
 *   cut           close all connections, and new ones at once
 *   break         close all connections once
 *   silent        lose all bytes, both ways, without closing
 *   silent-up     lose the bytes towards TARGET
 *   silent-down   lose the bytes from TARGET
 *   hold          keep all bytes until another state
 *   break-after N close each connection after N more bytes towards TARGET
 * A connection that has lost bytes is closed when its direction passes again.
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

#define PAIRS_MAX 64
#define PIECE_BYTES 16384
#define STEP_MS 5
#define BACKLOG 256

enum state { PASS, CUT, SILENT, SILENT_UP, SILENT_DOWN, HOLD };

struct pair {
	u16 listen_port;
	u16 target_port;
	int fd;
	enum state state;
	u32 delay_ms;
	u32 breaks; /* connections of an earlier count are closed */
	gint break_after; /* bytes left, or negative for no limit */
};

/* One direction of a connection; both ends close together. */
struct flow {
	struct pair *pair;
	struct conn *conn;
	int from;
	int to;
	bool is_up;
	bool has_lost;
	struct rng rng;
};

struct conn {
	struct flow up;
	struct flow down;
	u32 breaks;
	gint refs;
};

static struct pair pairs[PAIRS_MAX];
static u32 npairs;
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

static enum state state_of(const struct pair *p)
{
	return __atomic_load_n(&p->state, __ATOMIC_ACQUIRE);
}

static bool loses(const struct flow *f)
{
	enum state s = state_of(f->pair);

	return s == SILENT || (s == SILENT_UP && f->is_up) || (s == SILENT_DOWN && !f->is_up);
}

static bool is_broken(const struct flow *f)
{
	if (state_of(f->pair) == CUT)
		return true;
	if (f->has_lost && !loses(f))
		return true;
	return f->conn->breaks != __atomic_load_n(&f->pair->breaks, __ATOMIC_ACQUIRE);
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

static void hold_back(struct flow *f)
{
	u32 delay_ms = __atomic_load_n(&f->pair->delay_ms, __ATOMIC_ACQUIRE);

	if (delay_ms)
		g_usleep(rng_below(&f->rng, delay_ms * 1000));
	while (state_of(f->pair) == HOLD && !is_broken(f))
		g_usleep(STEP_MS * 1000);
}

/* How many of N bytes may still go; negative once the limit is reached. */
static ssize_t within_limit(struct flow *f, ssize_t n)
{
	gint left = g_atomic_int_get(&f->pair->break_after);

	if (!f->is_up || left < 0)
		return n;
	if (n > left) {
		g_atomic_int_set(&f->pair->break_after, -1);
		return -(ssize_t)left - 1;
	}
	g_atomic_int_add(&f->pair->break_after, -(gint)n);
	return n;
}

/* Moves one piece. Returns false at the end of the connection. */
static bool move_piece(struct flow *f)
{
	char piece[PIECE_BYTES];
	ssize_t n = recv(f->from, piece, sizeof(piece), 0);
	ssize_t allowed;

	if (n <= 0)
		return false;
	hold_back(f);
	if (is_broken(f))
		return false;
	if (loses(f)) {
		f->has_lost = true;
		return true;
	}
	allowed = within_limit(f, n);
	if (allowed < 0) {
		write_all(f->to, piece, (size_t)(-allowed - 1));
		return false;
	}
	return !write_all(f->to, piece, (size_t)n);
}

static void *flow_main(void *arg)
{
	struct flow *f = arg;
	struct conn *c = f->conn;
	struct pollfd p = { .fd = f->from, .events = POLLIN };

	while (!is_broken(f)) {
		if (state_of(f->pair) == HOLD) {
			g_usleep(STEP_MS * 1000);
			continue;
		}
		if (poll(&p, 1, STEP_MS) > 0 && !move_piece(f))
			break;
	}
	shutdown(f->from, SHUT_RDWR);
	shutdown(f->to, SHUT_RDWR);
	if (g_atomic_int_dec_and_test(&c->refs)) {
		close(c->up.from);
		close(c->up.to);
		g_free(c);
	}
	return NULL;
}

static void start_flow(struct flow *f, struct conn *c, struct pair *p, int from, int to)
{
	pthread_t thread;

	f->pair = p;
	f->conn = c;
	f->from = from;
	f->to = to;
	f->is_up = f == &c->up;
	f->rng.state = seed++;
	pthread_create(&thread, NULL, flow_main, f);
	pthread_detach(thread);
}

static void *pair_main(void *arg)
{
	struct pair *p = arg;
	int from;

	while ((from = accept(p->fd, NULL, NULL)) >= 0) {
		int to = state_of(p) == CUT ? -1 : connect_to(p->target_port);
		struct conn *c;

		if (to < 0) {
			close(from);
			continue;
		}
		c = g_new0(struct conn, 1);
		c->refs = 2;
		c->breaks = __atomic_load_n(&p->breaks, __ATOMIC_ACQUIRE);
		start_flow(&c->up, c, p, from, to);
		start_flow(&c->down, c, p, to, from);
	}
	return NULL;
}

static bool set_state(struct pair *p, const char *name)
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

static bool command(struct pair *p, char **words, guint n)
{
	if (n == 1 && !strcmp(words[0], "break")) {
		__atomic_add_fetch(&p->breaks, 1, __ATOMIC_ACQ_REL);
		return true;
	}
	if (n == 1)
		return set_state(p, words[0]);
	if (n == 2 && !strcmp(words[0], "delay"))
		__atomic_store_n(&p->delay_ms, (u32)atoi(words[1]), __ATOMIC_RELEASE);
	else if (n == 2 && !strcmp(words[0], "break-after"))
		g_atomic_int_set(&p->break_after, atoi(words[1]));
	else
		return false;
	return true;
}

static bool run_line(char *line)
{
	g_auto(GStrv) words = g_strsplit(g_strstrip(line), " ", 4);
	guint n = g_strv_length(words);
	u32 only = n ? (u32)atoi(words[0]) : 0;
	bool is_ok = n > (only ? 1u : 0u) && only <= npairs;

	for (u32 i = 0; is_ok && i < npairs; i++)
		if (!only || only == i + 1)
			is_ok = command(&pairs[i], words + (only ? 1 : 0), n - (only ? 1 : 0));
	return is_ok;
}

static void take_commands(int listener)
{
	int fd;

	while ((fd = accept(listener, NULL, NULL)) >= 0) {
		FILE *in = fdopen(fd, "r+");
		char line[256];

		while (in && fgets(line, sizeof(line), in)) {
			const char *reply = run_line(line) ? "ok\n" : "unknown command\n";

			if (write_all(fd, reply, strlen(reply)))
				break;
		}
		if (in)
			fclose(in);
	}
}

static void add_pair(const char *text)
{
	struct pair *p = &pairs[npairs];
	const char *to = strchr(text, '=');
	pthread_t thread;

	if (!to || npairs == PAIRS_MAX) {
		fprintf(stderr, "relay: not a LISTEN=TARGET, or too many: %s\n", text);
		exit(2);
	}
	npairs++;
	p->listen_port = (u16)atoi(text);
	p->target_port = (u16)atoi(to + 1);
	p->break_after = -1;
	p->fd = listen_on(p->listen_port);
	pthread_create(&thread, NULL, pair_main, p);
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
		add_pair(argv[i]);
	take_commands(listen_on(port));
	return 0;
}
