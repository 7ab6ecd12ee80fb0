/*
 * standin-3 - stand-ins for the cases of the third review: a target, clients, and single calls
 *
 * standin-3 target LISTEN ID SERVICE ZONE REGISTER LOG WORK_MS
 *   A sound target at LISTEN (HOST:PORT) that announces itself at REGISTER each second. Appends
 *   "MS ID PATH TENANT" to LOG when it begins to work on a request. SIGUSR1: it says that it is
 *   draining; SIGUSR2: it deregisters, and goes on serving; SIGTERM ends it.
 * standin-3 clients ENTRY HOST PATH LOG PREFIX GAP_MS THREADS DEADLINE_MS [HEADER...]
 *   Sends GET requests to ENTRY, one each GAP_MS from each of the threads, until SIGTERM. Appends
 *   "SENT_MS ID STATUS END_MS" to LOG for each; the status is 0 without a complete answer.
 * standin-3 call TIMEOUT_MS METHOD ADDRESS TARGET [HEADER...] [-d BODY]
 *   One call on a new connection, which is closed when the time is over. Prints the status (0: no
 *   complete answer) and the body. A BODY of "@FILE" is read from the file.
 * standin-3 free ADDRESS...
 *   Ends with 0 if nothing listens at any of the addresses.
 * standin-3 now
 *   Prints the wall clock in milliseconds, as all others do.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define HEAD_MAX 65536
#define BODY_MAX (64 * 1024 * 1024)

static long long now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	return (long long)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static void sleep_ms(long long ms)
{
	struct timespec t = { ms / 1000, ms % 1000 * 1000000 };

	if (ms > 0)
		nanosleep(&t, NULL);
}

static struct sockaddr_in parse_address(const char *text)
{
	struct sockaddr_in a = { .sin_family = AF_INET };
	char host[64];
	int port = 0;

	if (sscanf(text, "%63[^:]:%d", host, &port) != 2 || inet_pton(AF_INET, host, &a.sin_addr) != 1) {
		fprintf(stderr, "not an address: %s\n", text);
		exit(2);
	}
	a.sin_port = htons((unsigned short)port);
	return a;
}

/* Connects by UNTIL_MS. Returns -1 if that fails. */
static int dial(const char *address, long long until_ms)
{
	struct sockaddr_in a = parse_address(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	struct pollfd p = { .fd = fd, .events = POLLOUT };
	int err = 0;
	socklen_t len = sizeof(err);
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (!connect(fd, (struct sockaddr *)&a, sizeof(a)))
		return fd;
	if (errno == EINPROGRESS && until_ms > now_ms() && poll(&p, 1, (int)(until_ms - now_ms())) == 1 &&
	    !getsockopt(fd, SOL_SOCKET, SO_ERROR, &err, &len) && !err)
		return fd;
	close(fd);
	return -1;
}

static bool send_all(int fd, const char *data, size_t len, long long until_ms)
{
	while (len) {
		ssize_t n = send(fd, data, len, MSG_NOSIGNAL);
		struct pollfd p = { .fd = fd, .events = POLLOUT };

		if (n > 0) {
			data += n;
			len -= (size_t)n;
			continue;
		}
		if (n < 0 && errno != EAGAIN && errno != EINTR)
			return false;
		if (now_ms() >= until_ms || poll(&p, 1, (int)(until_ms - now_ms())) != 1)
			return false;
	}
	return true;
}

/* What was read of a connection. */
struct reader {
	int fd;
	char *data;
	size_t len;
};

/* Reads some more bytes. Returns 1, 0 at the end, -1 after an error or when the time is over. */
static int read_more(struct reader *r, long long until_ms)
{
	struct pollfd p = { .fd = r->fd, .events = POLLIN };
	ssize_t n;

	if (until_ms <= now_ms() || poll(&p, 1, (int)(until_ms - now_ms())) != 1)
		return -1;
	r->data = realloc(r->data, r->len + HEAD_MAX + 1);
	n = recv(r->fd, r->data + r->len, HEAD_MAX, 0);
	if (n <= 0)
		return (int)n;
	r->len += (size_t)n;
	r->data[r->len] = 0;
	return 1;
}

/* Removes the first LEN bytes. */
static void drop(struct reader *r, size_t len)
{
	memmove(r->data, r->data + len, r->len - len + 1);
	r->len -= len;
}

/* Copies the value of the header to OUT; returns whether there is one. */
static bool header(const char *head, const char *name, char *out, size_t size)
{
	size_t len = strlen(name);

	out[0] = 0;
	for (const char *l = strstr(head, "\r\n"); l; l = strstr(l + 2, "\r\n")) {
		const char *v = l + 2;

		if (strncasecmp(v, name, len) || v[len] != ':')
			continue;
		v += len + 1;
		v += strspn(v, " ");
		snprintf(out, size, "%.*s", (int)strcspn(v, "\r"), v);
		return true;
	}
	return false;
}

/* Reads a head into *HEAD, which the caller frees. Returns whether it is complete. */
static bool read_head(struct reader *r, char **head, long long until_ms)
{
	char *end;

	while (!r->data || !(end = strstr(r->data, "\r\n\r\n")))
		if (r->len > HEAD_MAX || read_more(r, until_ms) != 1)
			return false;
	*head = strndup(r->data, (size_t)(end - r->data) + 2);
	drop(r, (size_t)(end - r->data) + 4);
	return true;
}

static bool read_body(struct reader *r, const char *head, char **body, size_t *len, long long until_ms)
{
	char text[64];
	bool has_length = header(head, "Content-Length", text, sizeof(text));

	*len = has_length ? strtoull(text, NULL, 10) : 0;
	if (*len > BODY_MAX)
		return false;
	while (r->len < *len)
		if (read_more(r, until_ms) != 1)
			return false;
	*body = strndup(r->data ? r->data : "", *len);
	if (*len)
		drop(r, *len);
	return true;
}

/* Target */

static struct {
	const char *listen, *id, *service, *zone, *registry;
	FILE *log;
	long long work_ms, born_ms;
	long long sequence;
	volatile sig_atomic_t is_draining, must_leave, has_left;
	int running;
} target;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static void answer(int fd, const char *status, const char *headers, const char *body)
{
	char text[4096];
	int n = snprintf(text, sizeof(text),
			 "HTTP/1.1 %s\r\nContent-Length: %zu\r\nLavenderlead-Instance-Id: %s\r\n"
			 "Keep-Alive: timeout=10\r\n%s\r\n%s",
			 status, strlen(body), target.id, headers, body);

	send_all(fd, text, (size_t)n, now_ms() + 5000);
}

static void serve_one(int fd, const char *head)
{
	char id[128], expected[128], tenant[128], path[512] = "", headers[1024], load[64], body[256];

	sscanf(head, "%*s %511s", path);
	header(head, "Lavenderlead-Attempt-Id", id, sizeof(id));
	header(head, "Lavenderlead-Tenant", tenant, sizeof(tenant));
	pthread_mutex_lock(&lock);
	snprintf(load, sizeof(load), "Lavenderlead-Instance-Load: %d,0,12\r\n", target.running);
	pthread_mutex_unlock(&lock);
	if (!strcmp(path, "/health")) {
		answer(fd, target.is_draining || target.has_left ? "503 Service Unavailable" : "200 OK",
		       load, "");
		return;
	}
	snprintf(headers, sizeof(headers), "Lavenderlead-Attempt-Id: %s\r\n%s", id, load);
	if (header(head, "Lavenderlead-Expected-Instance", expected, sizeof(expected)) &&
	    strcmp(expected, target.id)) {
		answer(fd, "421 Misdirected Request", headers, "");
		return;
	}
	pthread_mutex_lock(&lock);
	target.running++;
	fprintf(target.log, "%lld %s %s %s\n", now_ms(), id, path, *tenant ? tenant : "-");
	fflush(target.log);
	pthread_mutex_unlock(&lock);
	sleep_ms(target.work_ms);
	pthread_mutex_lock(&lock);
	target.running--;
	pthread_mutex_unlock(&lock);
	snprintf(headers, sizeof(headers),
		 "Lavenderlead-Attempt-Id: %s\r\nLavenderlead-Response-Seal: %s.%s\r\n%s", id, target.id,
		 id, load);
	snprintf(body, sizeof(body), "answer of %s to %s\n", target.id, id);
	answer(fd, "200 OK", headers, body);
}

static void *serve_connection(void *arg)
{
	struct reader r = { .fd = (int)(long)arg };
	char *head, *body;
	size_t len;

	while (read_head(&r, &head, now_ms() + 10000)) {
		bool ok = read_body(&r, head, &body, &len, now_ms() + 10000);

		if (ok) {
			serve_one(r.fd, head);
			free(body);
		}
		free(head);
		if (!ok)
			break;
	}
	close(r.fd);
	free(r.data);
	return NULL;
}

static int call(const char *address, const char *request, size_t request_len, char **out,
		long long until_ms);

static int beat(const char *method)
{
	char body[1024], text[2048], *out = NULL;
	int status;

	pthread_mutex_lock(&lock);
	snprintf(body, sizeof(body),
		 "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":12,"
		 "\"state\":\"%s\",\"cold_ms\":0,\"born\":%lld,\"sequence\":%lld}",
		 target.service, target.listen, target.zone, target.is_draining ? "draining" : "up",
		 target.born_ms, ++target.sequence);
	pthread_mutex_unlock(&lock);
	if (!strcmp(method, "DELETE"))
		body[0] = 0;
	snprintf(text, sizeof(text),
		 "%s /v1/instances/%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
		 "Content-Length: %zu\r\n\r\n%s",
		 method, target.id, target.registry, strlen(body), body);
	status = call(target.registry, text, strlen(text), &out, now_ms() + 1000);
	free(out);
	return status;
}

static void *announce(void *arg)
{
	(void)arg;
	for (;;) {
		if (target.must_leave && !target.has_left && beat("DELETE") == 200)
			target.has_left = 1;
		if (!target.must_leave)
			beat("PUT");
		sleep_ms(1000);
	}
	return NULL;
}

static void on_signal(int sig)
{
	if (sig == SIGUSR1)
		target.is_draining = 1;
	else
		target.must_leave = 1;
}

static void start_thread(void *(*fn)(void *), void *arg)
{
	pthread_t t;
	pthread_attr_t a;

	pthread_attr_init(&a);
	pthread_attr_setstacksize(&a, 512 * 1024);
	pthread_attr_setdetachstate(&a, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&t, &a, fn, arg))
		exit(2);
}

static int run_target(char **argv)
{
	struct sockaddr_in a = parse_address(argv[0]);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	target.listen = argv[0];
	target.id = argv[1];
	target.service = argv[2];
	target.zone = argv[3];
	target.registry = argv[4];
	target.log = fopen(argv[5], "a");
	target.work_ms = atoll(argv[6]);
	target.born_ms = now_ms();
	signal(SIGUSR1, on_signal);
	signal(SIGUSR2, on_signal);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (!target.log || bind(fd, (struct sockaddr *)&a, sizeof(a)) || listen(fd, 256)) {
		perror("target");
		return 2;
	}
	start_thread(announce, NULL);
	for (;;) {
		int c = accept4(fd, NULL, NULL, SOCK_CLOEXEC);

		if (c < 0)
			continue;
		setsockopt(c, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		start_thread(serve_connection, (void *)(long)c);
	}
}

/* Calls */

/* Returns the status of the answer, whose body goes to *OUT; 0 without a complete answer. */
static int call(const char *address, const char *request, size_t request_len, char **out,
		long long until_ms)
{
	struct reader r = { .fd = dial(address, until_ms) };
	char *head = NULL;
	size_t len;
	int status = 0;

	*out = NULL;
	if (r.fd < 0)
		return 0;
	if (send_all(r.fd, request, request_len, until_ms) && read_head(&r, &head, until_ms) &&
	    read_body(&r, head, out, &len, until_ms))
		sscanf(head, "HTTP/1.1 %d", &status);
	free(head);
	free(r.data);
	close(r.fd);
	return status;
}

static char *load_body(const char *arg)
{
	FILE *f = arg[0] == '@' ? fopen(arg + 1, "r") : NULL;
	char *text;
	size_t n;

	if (arg[0] != '@')
		return strdup(arg);
	if (!f)
		exit(2);
	text = calloc(1, BODY_MAX / 8);
	n = fread(text, 1, BODY_MAX / 8 - 1, f);
	text[n] = 0;
	fclose(f);
	return text;
}

static int run_call(int argc, char **argv)
{
	long long until = now_ms() + atoll(argv[0]);
	char *body = strdup(""), *text = NULL, *out;
	size_t len = 0;
	FILE *f = open_memstream(&text, &len);
	int status;

	fprintf(f, "%s %s HTTP/1.1\r\nHost: %s\r\n", argv[1], argv[3], argv[2]);
	for (int i = 4; i < argc; i++) {
		if (!strcmp(argv[i], "-d") && i + 1 < argc)
			body = load_body(argv[++i]);
		else
			fprintf(f, "%s\r\n", argv[i]);
	}
	fprintf(f, "Content-Length: %zu\r\n\r\n%s", strlen(body), body);
	fclose(f);
	status = call(argv[2], text, len, &out, until);
	printf("%d %s\n", status, out ? out : "");
	return status ? 0 : 1;
}

/* Clients */

static struct {
	const char *entry, *host, *path, *prefix;
	FILE *log;
	long long gap_ms, deadline_ms;
	char headers[1024];
	volatile sig_atomic_t must_stop;
	long long sequence;
	int active;
} clients;

static void stop_clients(int sig)
{
	(void)sig;
	clients.must_stop = 1;
}

static void *send_requests(void *arg)
{
	long long next = now_ms();

	(void)arg;
	while (!clients.must_stop) {
		char text[4096], id[128], *out = NULL;
		long long sent = now_ms();
		int status;

		pthread_mutex_lock(&lock);
		snprintf(id, sizeof(id), "%s-%lld", clients.prefix, ++clients.sequence);
		pthread_mutex_unlock(&lock);
		snprintf(text, sizeof(text),
			 "GET %s HTTP/1.1\r\nHost: %s\r\nLavenderlead-Attempt-Id: %s\r\n"
			 "Lavenderlead-Deadline-Remaining: %lld\r\n%s\r\n",
			 clients.path, clients.host, id, clients.deadline_ms, clients.headers);
		status = call(clients.entry, text, strlen(text), &out, sent + clients.deadline_ms);
		free(out);
		pthread_mutex_lock(&lock);
		fprintf(clients.log, "%lld %s %d %lld\n", sent, id, status, now_ms());
		fflush(clients.log);
		pthread_mutex_unlock(&lock);
		next += clients.gap_ms;
		if (next < now_ms())
			next = now_ms();
		sleep_ms(next - now_ms());
	}
	pthread_mutex_lock(&lock);
	clients.active--;
	pthread_mutex_unlock(&lock);
	return NULL;
}

static int run_clients(int argc, char **argv)
{
	int threads = atoi(argv[6]);

	clients.entry = argv[0];
	clients.host = argv[1];
	clients.path = argv[2];
	clients.log = fopen(argv[3], "a");
	clients.prefix = argv[4];
	clients.gap_ms = atoll(argv[5]);
	clients.deadline_ms = atoll(argv[7]);
	for (int i = 8; i < argc; i++) {
		strncat(clients.headers, argv[i], sizeof(clients.headers) - strlen(clients.headers) - 3);
		strcat(clients.headers, "\r\n");
	}
	if (!clients.log)
		return 2;
	signal(SIGTERM, stop_clients);
	clients.active = threads;
	for (int i = 0; i < threads; i++)
		start_thread(send_requests, NULL);
	for (;;) {
		int active;

		pthread_mutex_lock(&lock);
		active = clients.active;
		pthread_mutex_unlock(&lock);
		if (!active)
			return 0;
		sleep_ms(20);
	}
}

static int run_free(int argc, char **argv)
{
	for (int i = 0; i < argc; i++) {
		struct sockaddr_in a = parse_address(argv[i]);
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		int one = 1;

		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
		if (bind(fd, (struct sockaddr *)&a, sizeof(a)) || listen(fd, 1))
			return 1;
		close(fd);
	}
	return 0;
}

int main(int argc, char **argv)
{
	const char *verb = argc > 1 ? argv[1] : "";

	signal(SIGPIPE, SIG_IGN);
	if (!strcmp(verb, "target") && argc == 9)
		return run_target(argv + 2);
	if (!strcmp(verb, "clients") && argc >= 10)
		return run_clients(argc - 2, argv + 2);
	if (!strcmp(verb, "call") && argc >= 6)
		return run_call(argc - 2, argv + 2);
	if (!strcmp(verb, "free") && argc >= 3)
		return run_free(argc - 2, argv + 2);
	if (!strcmp(verb, "now")) {
		printf("%lld\n", now_ms());
		return 0;
	}
	fprintf(stderr, "usage: see the top of review/standin-3.c\n");
	return 2;
}
