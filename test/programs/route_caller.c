/*
 * route_caller - calls the routes of acknowledged sets at many nodes, and prints each wrong answer
 *
 * route_caller -n NODES -p PORT -f FILE [-w PAUSE_MS]
 *
 * Node J is at 127.0.1.J, PORT. FILE is read again and again; it grows by a line "ack VERSION MS"
 * whenever a set is acknowledged, MS being the time of the wall clock; other lines are ignored. The
 * set of version V has the routes /v1/ to /vV/ and the route /only-V/, to a service without an
 * upstream.
 *
 * Each node is called on two routes every PAUSE_MS: on one of /v1/ to /vV/, V being the newest
 * acknowledged version, and on /only-W/ of the version before it. Prints "MS NODE KIND VERSION
 * AGE_MS REASON" for each call whose answer is not as version V or a later one has it. AGE_MS is
 * the time from the acknowledgement of V to the call. KIND: denied (status 404), refused (any other
 * refusal of a route that is there), older (/only-W/ is still there), none (no answer). SIGTERM
 * ends it with a line "calls N".
 */
#include "lib/types.h"
#include "test/fakes/httpc.h"

#include <civetweb.h>
#include <glib.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define NODES_MAX 250
#define TIMEOUT_MS 3000
#define READ_INTERVAL_US (20 * US_PER_MS)
#define HOST "Host: h.example\r\n"

struct options {
	u32 nodes;
	u16 port;
	const char *file;
	u32 pause_ms;
};

struct acknowledged {
	u64 version; /* the highest that was acknowledged */
	u64 at_ms;
};

struct call {
	u32 node;
	u64 version; /* in the path */
	const char *route; /* "v" or "only-" */
	u64 at_ms;
	u64 age_ms;
};

static struct options opt = { .pause_ms = 500 };
static struct acknowledged newest;
static pthread_mutex_t newest_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_mutex_t print_lock = PTHREAD_MUTEX_INITIALIZER;
static gint calls;

static u64 wall_ms(void)
{
	return (u64)g_get_real_time() / US_PER_MS;
}

static struct acknowledged get_newest(void)
{
	struct acknowledged a;

	pthread_mutex_lock(&newest_lock);
	a = newest;
	pthread_mutex_unlock(&newest_lock);
	return a;
}

static void read_line(const char *line, struct acknowledged *a)
{
	unsigned long long version;
	unsigned long long at_ms;

	if (sscanf(line, "ack %llu %llu", &version, &at_ms) == 2 && version > a->version) {
		a->version = version;
		a->at_ms = at_ms;
	}
}

/* Reads the lines of the file that end in a newline. */
static void read_file(void)
{
	g_autofree char *text = NULL;
	struct acknowledged a = { 0 };

	if (!g_file_get_contents(opt.file, &text, NULL, NULL))
		return;
	for (char *line = text, *end; (end = strchr(line, '\n')); line = end + 1) {
		*end = 0;
		read_line(line, &a);
	}
	pthread_mutex_lock(&newest_lock);
	newest = a;
	pthread_mutex_unlock(&newest_lock);
}

static void print_finding(const struct call *c, const char *kind, const char *reason)
{
	pthread_mutex_lock(&print_lock);
	printf("%llu %u %s %llu %llu %s\n", (unsigned long long)c->at_ms, c->node, kind,
	       (unsigned long long)c->version, (unsigned long long)c->age_ms,
	       reason ? reason : "-");
	pthread_mutex_unlock(&print_lock);
}

/* Returns whether the answer shows that the route is there: its service has no upstream. */
static bool has_route(const struct httpc_reply *r)
{
	return r->status == 503 && !g_strcmp0(r->reason, "no-upstream");
}

static void check_there(const struct call *c, const struct httpc_reply *r)
{
	if (r->status == 404)
		print_finding(c, "denied", r->reason);
	else if (!has_route(r))
		print_finding(c, "refused", r->reason);
}

static void check_gone(const struct call *c, const struct httpc_reply *r)
{
	if (has_route(r))
		print_finding(c, "older", r->reason);
}

static void call_route(struct call *c, const struct acknowledged *a,
		       void (*check)(const struct call *c, const struct httpc_reply *r))
{
	g_autofree char *address = g_strdup_printf("127.0.1.%u", c->node);
	g_autofree char *path =
		g_strdup_printf("/%s%llu/", c->route, (unsigned long long)c->version);
	struct httpc_reply r;

	c->at_ms = wall_ms();
	c->age_ms = c->at_ms - MIN(a->at_ms, c->at_ms);
	g_atomic_int_inc(&calls);
	if (httpc_call(address, opt.port, "GET", path, HOST, NULL, TIMEOUT_MS, &r))
		print_finding(c, "none", NULL);
	else
		check(c, &r);
	httpc_reply_clear(&r);
}

/* One call in two goes to the route that was added last. */
static u64 pick_version(GRand *rand, u64 newest_version)
{
	if (g_rand_boolean(rand))
		return newest_version;
	return (u64)g_rand_int_range(rand, 1, (gint32)newest_version + 1);
}

static void *node_main(void *arg)
{
	u32 node = GPOINTER_TO_UINT(arg);
	g_autoptr(GRand) rand = g_rand_new_with_seed(node);

	for (;;) {
		struct acknowledged a = get_newest();
		struct call there = { .node = node, .route = "v" };
		struct call gone = { .node = node, .route = "only-", .version = a.version - 1 };

		if (a.version) {
			there.version = pick_version(rand, a.version);
			call_route(&there, &a, check_there);
		}
		if (a.version > 1)
			call_route(&gone, &a, check_gone);
		g_usleep(opt.pause_ms * US_PER_MS / 2 +
			 (gulong)g_rand_int_range(rand, 0, (gint32)(opt.pause_ms * US_PER_MS)));
	}
	return NULL;
}

static void start_thread(u32 node)
{
	pthread_attr_t attr;
	pthread_t thread;

	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, 256 * 1024);
	if (pthread_create(&thread, &attr, node_main, GUINT_TO_POINTER(node)))
		exit(1);
	pthread_attr_destroy(&attr);
}

static volatile sig_atomic_t is_ended;

static void on_signal(int sig)
{
	(void)sig;
	is_ended = 1;
}

static int parse_options(int argc, char **argv)
{
	int c;

	while ((c = getopt(argc, argv, "n:p:f:w:")) != -1) {
		if (c == 'n')
			opt.nodes = (u32)atoi(optarg);
		else if (c == 'p')
			opt.port = (u16)atoi(optarg);
		else if (c == 'f')
			opt.file = optarg;
		else if (c == 'w')
			opt.pause_ms = (u32)atoi(optarg);
		else
			return -1;
	}
	return opt.nodes && opt.nodes <= NODES_MAX && opt.port && opt.file && opt.pause_ms ? 0 : -1;
}

int main(int argc, char **argv)
{
	if (parse_options(argc, argv)) {
		fprintf(stderr, "usage: route_caller -n NODES -p PORT -f FILE [-w PAUSE_MS]\n");
		return 2;
	}
	mg_init_library(0);
	signal(SIGTERM, on_signal);
	read_file();
	for (u32 j = 1; j <= opt.nodes; j++)
		start_thread(j);
	while (!is_ended) {
		read_file();
		g_usleep(READ_INTERVAL_US);
	}
	pthread_mutex_lock(&print_lock);
	printf("calls %d\n", g_atomic_int_get(&calls));
	fflush(stdout);
	_exit(0);
}
