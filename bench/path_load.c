/*
 * path_load - compares the latency of calls over several paths
 *
 * path_load -n ROUNDS -c CONNECTIONS -H HOST PORT...
 *
 * Each of CONNECTIONS threads makes ROUNDS calls to each port. It calls the ports
 * in turn, one call at a time, so that a disturbance on the machine affects all
 * paths equally. The first port is the direct path.
 * Prints p50 and p99 of each path and their difference from the direct path.
 */
#include "lib/types.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define PATHS_MAX 4
#define CONNECTIONS_MAX 64
#define REPLY_MAX_BYTES 16384
#define WARM_UP_ROUNDS 20

static u32 rounds = 5000;
static u32 connections = 1;
static const char *host = "sightings";
static u16 ports[PATHS_MAX];
static u32 npaths;

struct worker {
	pthread_t thread;
	GArray *latencies_us[PATHS_MAX]; /* of u32 */
	u32 failed;
};

static u64 now_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (u64)t.tv_sec * US_PER_S + (u64)t.tv_nsec / 1000;
}

static int dial(u16 port)
{
	struct sockaddr_in at = { .sin_family = AF_INET, .sin_port = htons(port) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int one = 1;

	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd < 0)
		return -1;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (!connect(fd, (struct sockaddr *)&at, sizeof(at)))
		return fd;
	close(fd);
	return -1;
}

/* Returns the size of the whole reply, or 0 until its header is complete. */
static size_t reply_len(const char *buf)
{
	const char *end = strstr(buf, "\r\n\r\n");
	const char *length = strcasestr(buf, "\r\nContent-Length:");

	if (!end || !length || length > end)
		return 0;
	return (size_t)(end - buf) + 4 + strtoul(length + 17, NULL, 10);
}

static bool call(int fd, const char *request)
{
	char buf[REPLY_MAX_BYTES + 1];
	size_t received = 0;

	if (write(fd, request, strlen(request)) != (ssize_t)strlen(request))
		return false;
	for (;;) {
		ssize_t n = read(fd, buf + received, REPLY_MAX_BYTES - received);
		size_t reply_bytes;

		if (n <= 0)
			return false;
		received += (size_t)n;
		buf[received] = 0;
		reply_bytes = reply_len(buf);
		if (reply_bytes && received >= reply_bytes)
			return !strncmp(buf, "HTTP/1.1 200", 12);
		if (received == REPLY_MAX_BYTES)
			return false;
	}
}

static void measure(struct worker *w, u32 path, int *fd, const char *request, bool is_recorded)
{
	u64 start_us = now_us();
	u32 latency_us;

	if (*fd < 0)
		*fd = dial(ports[path]);
	if (*fd < 0 || !call(*fd, request)) {
		w->failed++;
		if (*fd >= 0)
			close(*fd);
		*fd = -1;
		return;
	}
	latency_us = (u32)(now_us() - start_us);
	if (is_recorded)
		g_array_append_val(w->latencies_us[path], latency_us);
}

static void *worker_main(void *arg)
{
	struct worker *w = arg;
	int fds[PATHS_MAX] = { -1, -1, -1, -1 };
	g_autofree char *request =
		g_strdup_printf("GET /species/hoopoe HTTP/1.1\r\nHost: %s\r\n\r\n", host);

	for (u32 i = 0; i < rounds + WARM_UP_ROUNDS; i++)
		for (u32 path = 0; path < npaths; path++)
			measure(w, path, &fds[path], request, i >= WARM_UP_ROUNDS);
	for (u32 path = 0; path < npaths; path++)
		if (fds[path] >= 0)
			close(fds[path]);
	return NULL;
}

static gint compare_u32(gconstpointer a, gconstpointer b)
{
	u32 x = *(const u32 *)a;
	u32 y = *(const u32 *)b;

	return x < y ? -1 : x > y;
}

static u32 percentile(const GArray *a, u32 percent)
{
	return a->len ? g_array_index(a, u32, (u64)a->len * percent / 100) : 0;
}

static void report(struct worker *workers)
{
	u32 direct_p50 = 0;
	u32 direct_p99 = 0;
	u32 failed = 0;

	for (u32 i = 0; i < connections; i++)
		failed += workers[i].failed;
	for (u32 path = 0; path < npaths; path++) {
		GArray *merged = workers[0].latencies_us[path];

		for (u32 i = 1; i < connections; i++)
			g_array_append_vals(merged, workers[i].latencies_us[path]->data,
					    workers[i].latencies_us[path]->len);
		g_array_sort(merged, compare_u32);
		if (!path) {
			direct_p50 = percentile(merged, 50);
			direct_p99 = percentile(merged, 99);
		}
		printf("port %u connections %u calls %u p50_us %u p99_us %u added_p50_us %d "
		       "added_p99_us %d\n",
		       ports[path], connections, merged->len, percentile(merged, 50),
		       percentile(merged, 99), (int)percentile(merged, 50) - (int)direct_p50,
		       (int)percentile(merged, 99) - (int)direct_p99);
	}
	printf("failed %u\n", failed);
}

static int parse(int argc, char **argv)
{
	int c;

	while ((c = getopt(argc, argv, "n:c:H:")) != -1) {
		if (c == 'n')
			rounds = (u32)atoi(optarg);
		else if (c == 'c')
			connections = (u32)atoi(optarg);
		else if (c == 'H')
			host = optarg;
		else
			return -1;
	}
	while (optind < argc && npaths < PATHS_MAX)
		ports[npaths++] = (u16)atoi(argv[optind++]);
	return npaths && connections && connections <= CONNECTIONS_MAX ? 0 : -1;
}

int main(int argc, char **argv)
{
	struct worker workers[CONNECTIONS_MAX] = { 0 };

	if (parse(argc, argv)) {
		fprintf(stderr,
			"usage: path_load [-n ROUNDS] [-c CONNECTIONS] [-H HOST] PORT...\n");
		return 2;
	}
	for (u32 i = 0; i < connections; i++) {
		for (u32 path = 0; path < npaths; path++)
			workers[i].latencies_us[path] = g_array_new(FALSE, FALSE, sizeof(u32));
		pthread_create(&workers[i].thread, NULL, worker_main, &workers[i]);
	}
	for (u32 i = 0; i < connections; i++)
		pthread_join(workers[i].thread, NULL);
	report(workers);
	return 0;
}
