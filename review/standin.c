/*
 * standin - stand-ins for the review's scripts: a target, a client, and single HTTP calls
 *
 *   standin target ADDR PORT SERVICE ID WORK_MS LOG [REGISTER_ADDR REGISTER_PORT [BEAT_MS]]
 *       an upstream that serves requests and, with REGISTER_*, sends its heartbeats to its own node.
 *       SIGUSR1: deregisters (once, until acknowledged) and sends no further heartbeats.
 *       SIGUSR2: reports "draining" from now on. A path that ends in /bytes/N is answered with N bytes.
 *   standin http ADDR PORT TIMEOUT_MS METHOD PATH [HEADER...] <BODY
 *       one call on a new connection; prints the status (0: no answer) and then the body
 *   standin read ADDR PORT PATH ID DEADLINE_MS BYTES_PER_S [HEADER...]
 *       one GET whose answer is read at this rate; prints the status, the bytes of the body that came
 *       and that were announced, and the milliseconds
 *   standin silent ADDR PORT...
 *       takes connections and never answers, as an address whose machine has gone
 *   standin now
 *       the Unix time in milliseconds
 *   standin free ADDR PORT...
 *       succeeds if the ports can be bound
 *
 * It needs the C library only.
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
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEAD_MAX 65536
#define BODY_MAX (1 << 20)
#define TEXT_MAX 2048

struct target {
	const char *addr;
	int port;
	const char *service;
	const char *id;
	int work_ms;
	FILE *log;
	const char *register_addr;
	int register_port;
	int beat_ms;
	long long born;
};

static struct target self;
static volatile sig_atomic_t must_leave;
static volatile sig_atomic_t must_drain;
static pthread_mutex_t log_lock = PTHREAD_MUTEX_INITIALIZER;

static long long now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	return (long long)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static void sleep_ms(long long ms)
{
	struct timespec t = { ms / 1000, ms % 1000 * 1000000 };

	while (nanosleep(&t, &t) && errno == EINTR)
		;
}

static void note(const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&log_lock);
	fprintf(self.log, "%lld ", now_ms());
	va_start(args, format);
	vfprintf(self.log, format, args);
	va_end(args);
	fputc('\n', self.log);
	fflush(self.log);
	pthread_mutex_unlock(&log_lock);
}

static struct sockaddr_in address(const char *host, int port)
{
	struct sockaddr_in a = { .sin_family = AF_INET, .sin_port = htons((unsigned short)port) };

	inet_pton(AF_INET, host, &a.sin_addr);
	return a;
}

/* Returns the end of the head in BUF, or 0 if it is not complete. */
static size_t head_end(const char *buf, size_t len)
{
	const char *end = memmem(buf, len, "\r\n\r\n", 4);

	return end ? (size_t)(end - buf) + 4 : 0;
}

/* Copies the value of header NAME; an empty text if there is none. */
static void header(const char *head, const char *name, char out[TEXT_MAX])
{
	const char *line = strstr(head, "\r\n");
	size_t len = strlen(name);

	*out = 0;
	for (; line && line[2] != '\r'; line = strstr(line + 2, "\r\n")) {
		if (strncasecmp(line + 2, name, len) || line[2 + len] != ':')
			continue;
		line += 3 + len;
		line += strspn(line, " ");
		snprintf(out, TEXT_MAX, "%.*s", (int)strcspn(line, "\r"), line);
		return;
	}
}

static bool write_all(int fd, const char *p, size_t len)
{
	while (len) {
		ssize_t n = send(fd, p, len, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		p += n;
		len -= (size_t)n;
	}
	return true;
}

/* The target */

/* The body of N bytes after a text. */
static bool pad(int fd, size_t n)
{
	char *zeros = calloc(1, n + 1);
	bool is_sent = write_all(fd, memset(zeros, '.', n), n);

	free(zeros);
	return is_sent;
}

static bool answer_bytes(int fd, const char *id, const char *extra, size_t n)
{
	char text[3 * TEXT_MAX];
	int len = snprintf(text, sizeof(text),
			   "HTTP/1.1 200 OK\r\nLavenderlead-Attempt-Id: %s\r\nContent-Length: %zu\r\n%s\r\n",
			   id, n, extra);

	return write_all(fd, text, (size_t)len) && pad(fd, n);
}

static bool answer(int fd, const char *status, const char *id, const char *extra, const char *body)
{
	char text[3 * TEXT_MAX];
	int len = snprintf(text, sizeof(text),
			   "HTTP/1.1 %s\r\n%s%s%sContent-Length: %zu\r\n%s\r\n%s", status,
			   *id ? "Lavenderlead-Attempt-Id: " : "", id, *id ? "\r\n" : "",
			   strlen(body), extra, body);

	return write_all(fd, text, (size_t)len);
}

/* Serves the request whose head is HEAD. Returns whether the connection stays open. */
static bool serve(int fd, const char *head)
{
	char method[32] = "";
	char path[TEXT_MAX] = "";
	char id[TEXT_MAX];
	char expected[TEXT_MAX];
	char caller[TEXT_MAX];
	char extra[TEXT_MAX];
	char body[TEXT_MAX];

	sscanf(head, "%31s %2000s", method, path);
	header(head, "Lavenderlead-Attempt-Id", id);
	header(head, "Lavenderlead-Expected-Instance", expected);
	header(head, "Lavenderlead-Caller-Service", caller);
	snprintf(extra, sizeof(extra),
		 "Lavenderlead-Instance-Id: %.200s\r\nLavenderlead-Instance-Load: 0,0,8,100\r\n",
		 self.id);
	if (!strcmp(path, "/health"))
		return answer(fd, must_leave || must_drain ? "503 Service Unavailable" : "200 OK",
			      "", extra, "");
	if (*expected && strcmp(expected, self.id))
		return answer(fd, "421 Misdirected Request", id, extra, "");
	if (!*id)
		return answer(fd, "400 Bad Request", "", "Lavenderlead-Not-Executed: 1\r\n", "");
	note("run %s %s %s %s %s from %s", self.service, self.id, id, method, path, caller);
	sleep_ms(self.work_ms);
	snprintf(extra, sizeof(extra),
		 "Lavenderlead-Response-Seal: %.100s.%.100s\r\n"
		 "Lavenderlead-Instance-Load: 0,0,8,100\r\n",
		 self.service, id);
	snprintf(body, sizeof(body), "%.100s %.100s\n", self.service, self.id);
	note("end %s %s %s", self.service, self.id, id);
	if (strstr(path, "/bytes/"))
		return answer_bytes(fd, id, extra, strtoul(strstr(path, "/bytes/") + 7, NULL, 10));
	return answer(fd, "200 OK", id, extra, body);
}

static void *serve_connection(void *arg)
{
	int fd = (int)(long)arg;
	char *buf = malloc(HEAD_MAX + BODY_MAX + 1);
	size_t len = 0;

	for (;;) {
		size_t end = head_end(buf, len);
		char length[TEXT_MAX] = "";
		size_t whole;
		ssize_t n;

		if (end) {
			char saved = buf[end];

			buf[end] = 0;
			header(buf, "Content-Length", length);
			buf[end] = saved;
		}
		whole = end + strtoul(length, NULL, 10);
		if (end && len >= whole) {
			char saved = buf[whole];

			buf[whole] = 0;
			if (!serve(fd, buf))
				break;
			buf[whole] = saved;
			memmove(buf, buf + whole, len - whole);
			len -= whole;
			continue;
		}
		if (len >= HEAD_MAX + BODY_MAX)
			break;
		n = recv(fd, buf + len, HEAD_MAX + BODY_MAX - len, 0);
		if (n <= 0)
			break;
		len += (size_t)n;
	}
	close(fd);
	free(buf);
	return NULL;
}

static int http(const char *host, int port, int timeout_ms, const char *text, size_t len, char *out,
		size_t out_max);

/* Returns the status. */
static int beat(const char *state, int sequence)
{
	char body[TEXT_MAX];
	char text[3 * TEXT_MAX];
	char out[HEAD_MAX];
	int n = snprintf(body, sizeof(body),
			 "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"z1\",\"version\":\"v1\","
			 "\"slots\":8,\"state\":\"%s\",\"cold_ms\":0,\"sequence\":%d,\"born\":%lld}",
			 self.service, self.addr, self.port, state, sequence, self.born);
	int len = snprintf(text, sizeof(text),
			   "PUT /v1/instances/%s HTTP/1.1\r\nHost: %s\r\n"
			   "Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
			   self.id, self.register_addr, n, body);

	return http(self.register_addr, self.register_port, 1000, text, (size_t)len, out,
		    sizeof(out));
}

static int leave(void)
{
	char text[TEXT_MAX];
	char out[HEAD_MAX];
	int len = snprintf(text, sizeof(text), "DELETE /v1/instances/%s HTTP/1.1\r\nHost: %s\r\n\r\n",
			   self.id, self.register_addr);

	return http(self.register_addr, self.register_port, 1000, text, (size_t)len, out,
		    sizeof(out));
}

static void *send_beats(void *arg)
{
	int sequence = 0;

	(void)arg;
	while (!must_leave) {
		const char *state = must_drain ? "draining" : "up";
		int status = beat(state, ++sequence);

		note("beat %s %d %d", state, sequence, status);
		for (int ms = 0; ms < self.beat_ms && !must_leave; ms += 10)
			sleep_ms(10);
	}
	for (int status = 0; status != 200; sleep_ms(100)) {
		status = leave();
		note("leave %d", status);
	}
	return NULL;
}

static void on_signal(int sig)
{
	if (sig == SIGUSR1)
		must_leave = 1;
	else
		must_drain = 1;
}

static int run_target(int argc, char **argv)
{
	struct sockaddr_in at;
	pthread_t thread;
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (argc < 8)
		return 2;
	self = (struct target){ .addr = argv[2],
				.port = atoi(argv[3]),
				.service = argv[4],
				.id = argv[5],
				.work_ms = atoi(argv[6]),
				.log = fopen(argv[7], "a"),
				.register_addr = argc > 9 ? argv[8] : NULL,
				.register_port = argc > 9 ? atoi(argv[9]) : 0,
				.beat_ms = argc > 10 ? atoi(argv[10]) : 1500,
				.born = now_ms() };
	at = address(self.addr, self.port);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (!self.log || bind(fd, (struct sockaddr *)&at, sizeof(at)) || listen(fd, 512))
		return 2;
	signal(SIGUSR1, on_signal);
	signal(SIGUSR2, on_signal);
	note("born %s %s %lld", self.service, self.id, self.born);
	if (self.register_addr)
		pthread_create(&thread, NULL, send_beats, NULL);
	for (;;) {
		int conn = accept(fd, NULL, NULL);

		if (conn < 0)
			continue;
		setsockopt(conn, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		if (pthread_create(&thread, NULL, serve_connection, (void *)(long)conn))
			close(conn);
		else
			pthread_detach(thread);
	}
}

/* Single calls */

/* Waits until the socket is ready. Returns false after END_MS. */
static bool wait_for(int fd, short events, long long end_ms)
{
	struct pollfd p = { .fd = fd, .events = events };
	long long left = end_ms - now_ms();

	return left > 0 && poll(&p, 1, (int)left) > 0;
}

static bool is_whole(const char *buf, size_t len)
{
	size_t end = head_end(buf, len);
	char length[TEXT_MAX];

	if (!end)
		return false;
	header(buf, "Content-Length", length);
	return *length && len >= end + strtoul(length, NULL, 10);
}

/* Returns the status of the answer, or 0 if there is no whole one; OUT gets head and body. */
static int http(const char *host, int port, int timeout_ms, const char *text, size_t len, char *out,
		size_t out_max)
{
	struct sockaddr_in at = address(host, port);
	long long end_ms = now_ms() + timeout_ms;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	int status = 0;
	int error = 0;
	socklen_t size = sizeof(error);
	size_t got = 0;

	*out = 0;
	if (connect(fd, (struct sockaddr *)&at, sizeof(at)) && errno != EINPROGRESS)
		goto done;
	if (!wait_for(fd, POLLOUT, end_ms) ||
	    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) || error)
		goto done;
	while (len) {
		ssize_t n = send(fd, text, len, MSG_NOSIGNAL);

		if (n < 0 && errno == EAGAIN && wait_for(fd, POLLOUT, end_ms))
			continue;
		if (n < 0)
			goto done;
		text += n;
		len -= (size_t)n;
	}
	while (got + 1 < out_max && !is_whole(out, got) && wait_for(fd, POLLIN, end_ms)) {
		ssize_t n = recv(fd, out + got, out_max - got - 1, 0);

		if (n <= 0)
			break;
		got += (size_t)n;
		out[got] = 0;
	}
	if (is_whole(out, got))
		sscanf(out, "HTTP/1.1 %d", &status);
done:
	close(fd);
	return status;
}

static int run_http(int argc, char **argv)
{
	char *body = malloc(BODY_MAX);
	char *text = malloc(HEAD_MAX + BODY_MAX);
	char *out = malloc(HEAD_MAX + BODY_MAX);
	size_t body_len;
	size_t len;
	size_t end;
	int status;

	if (argc < 7)
		return 2;
	body_len = fread(body, 1, BODY_MAX, stdin);
	len = (size_t)sprintf(text, "%s %s HTTP/1.1\r\n", argv[5], argv[6]);
	for (int i = 7; i < argc; i++)
		len += (size_t)sprintf(text + len, "%s\r\n", argv[i]);
	if (argc == 7 || !strcasestr(text, "\r\nhost:"))
		len += (size_t)sprintf(text + len, "Host: %s\r\n", argv[2]);
	if (body_len || strcmp(argv[5], "GET"))
		len += (size_t)sprintf(text + len, "Content-Length: %zu\r\n", body_len);
	len += (size_t)sprintf(text + len, "\r\n");
	memcpy(text + len, body, body_len);
	status = http(argv[2], atoi(argv[3]), atoi(argv[4]), text, len + body_len, out,
		      HEAD_MAX + BODY_MAX);
	end = head_end(out, strlen(out));
	printf("%d\n%s", status, status ? out + end : "");
	return status ? 0 : 1;
}

/* Reads the answer at a rate. Returns the bytes of the body; sets STATUS and LENGTH. */
static size_t read_slowly(int fd, size_t rate, long long end_ms, int *status, size_t *length)
{
	char *buf = malloc(HEAD_MAX);
	size_t step = rate / 50 ? rate / 50 : 1;
	size_t head = 0;
	size_t got = 0;

	if (step > HEAD_MAX - 1)
		step = HEAD_MAX - 1;
	while ((!head || got < head + *length) && wait_for(fd, POLLIN, end_ms)) {
		char value[TEXT_MAX];
		ssize_t n = recv(fd, head ? buf : buf + got, head ? step : HEAD_MAX - 1 - got, 0);

		if (n <= 0)
			break;
		got += (size_t)n;
		if (!head) {
			buf[got] = 0;
			head = head_end(buf, got);
			sscanf(buf, "HTTP/1.1 %d", status);
			header(buf, "Content-Length", value);
			*length = strtoul(value, NULL, 10);
		}
		sleep_ms(1000 * n / (long long)rate);
	}
	free(buf);
	return head ? got - head : 0;
}

static int run_read(int argc, char **argv)
{
	struct sockaddr_in at;
	char text[HEAD_MAX];
	long long begun_ms = now_ms();
	int small = 16384;
	int status = 0;
	size_t length = 0;
	size_t got = 0;
	size_t len;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (argc < 8)
		return 2;
	at = address(argv[2], atoi(argv[3]));
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	len = (size_t)snprintf(text, sizeof(text),
			       "GET %s HTTP/1.1\r\nLavenderlead-Attempt-Id: %s\r\n"
			       "Lavenderlead-Deadline-Remaining: %s\r\n",
			       argv[4], argv[5], argv[6]);
	for (int i = 8; i < argc; i++)
		len += (size_t)snprintf(text + len, sizeof(text) - len, "%s\r\n", argv[i]);
	len += (size_t)snprintf(text + len, sizeof(text) - len, "\r\n");
	if (!connect(fd, (struct sockaddr *)&at, sizeof(at)) && write_all(fd, text, len))
		got = read_slowly(fd, strtoul(argv[7], NULL, 10), begun_ms + atoi(argv[6]), &status,
				  &length);
	printf("%d %zu %zu %lld\n", status, got, length, now_ms() - begun_ms);
	return 0;
}

static int run_silent(int argc, char **argv)
{
	struct pollfd fds[16] = { 0 };
	int n = argc - 3 < 16 ? argc - 3 : 16;

	for (int i = 0; i < n; i++) {
		struct sockaddr_in at = address(argv[2], atoi(argv[3 + i]));
		int one = 1;

		fds[i] = (struct pollfd){ socket(AF_INET, SOCK_STREAM, 0), POLLIN, 0 };
		setsockopt(fds[i].fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
		if (bind(fds[i].fd, (struct sockaddr *)&at, sizeof(at)) || listen(fds[i].fd, 64))
			return 2;
	}
	while (poll(fds, (nfds_t)n, -1) > 0)
		for (int i = 0; i < n; i++)
			if (fds[i].revents && accept(fds[i].fd, NULL, NULL) < 0)
				sleep_ms(100);
	return 2;
}

static int run_free(int argc, char **argv)
{
	for (int i = 3; i < argc; i++) {
		struct sockaddr_in at = address(argv[2], atoi(argv[i]));
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		int err = bind(fd, (struct sockaddr *)&at, sizeof(at));

		close(fd);
		if (err)
			return 1;
	}
	return 0;
}

int main(int argc, char **argv)
{
	const char *verb = argc > 1 ? argv[1] : "";

	signal(SIGPIPE, SIG_IGN);
	if (!strcmp(verb, "target"))
		return run_target(argc, argv);
	if (!strcmp(verb, "http"))
		return run_http(argc, argv);
	if (!strcmp(verb, "read"))
		return run_read(argc, argv);
	if (!strcmp(verb, "silent"))
		return run_silent(argc, argv);
	if (!strcmp(verb, "free"))
		return run_free(argc, argv);
	if (!strcmp(verb, "now"))
		return printf("%lld\n", now_ms()) < 0;
	fprintf(stderr, "usage: standin target|http|silent|free|now ...\n");
	return 2;
}
