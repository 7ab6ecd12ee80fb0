/*
 * standin-2 - stand-ins for the cases 6 to 10: an operator's call, a target, a client
 *
 * standin-2 free ADDRESS:PORT...
 *	exits with 0 if nothing listens at any of the addresses
 * standin-2 call METHOD ADDRESS:PORT PATH FILE TIMEOUT_MS [HEADER...]
 *	sends one request with the bytes of FILE ("-": none) as its body; prints the status, or 000
 *	if there is no whole answer within the time, and the body
 * standin-2 target ADDRESS:PORT ID WORK_MS LOG
 *	serves requests as PROTOCOL says: health, 421 for another instance, and a signed answer
 *after WORK_MS. Appends "MS run ID" and "MS end ID" to LOG standin-2 client METHOD ADDRESS:PORT
 *HOST PATH PREFIX COUNT GAP_MS DEADLINE_MS LOG sends COUNT requests, one each GAP_MS, each on a
 *connection of its own and with an id of its own, which begins with PREFIX; appends "MS sent ID"
 *and "MS STATUS ID" to LOG
 *
 * MS is the steady clock, so that the lines of several logs can be compared.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEAD_MAX 65536
#define ANSWER_MAX (4 << 20)

static long long now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return t.tv_sec * 1000LL + t.tv_nsec / 1000000;
}

static void sleep_ms(long long ms)
{
	struct timespec t = { ms / 1000, ms % 1000 * 1000000 };

	while (nanosleep(&t, &t) && errno == EINTR)
		;
}

static struct sockaddr_in parse_address(const char *text)
{
	struct sockaddr_in a = { .sin_family = AF_INET };
	char host[64];
	int port = 0;

	if (sscanf(text, "%63[^:]:%d", host, &port) != 2 ||
	    inet_pton(AF_INET, host, &a.sin_addr) != 1 || strncmp(host, "127.", 4)) {
		fprintf(stderr, "standin-2: not a loopback ADDRESS:PORT: %s\n", text);
		exit(2);
	}
	a.sin_port = htons((unsigned short)port);
	return a;
}

static bool wait_for(int fd, short events, long long until_ms)
{
	struct pollfd p = { .fd = fd, .events = events };
	long long left = until_ms - now_ms();

	return left > 0 && poll(&p, 1, (int)left) > 0;
}

static int dial(const char *at, long long until_ms)
{
	struct sockaddr_in a = parse_address(at);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	socklen_t len = sizeof(int);
	int err = 0;

	if (connect(fd, (struct sockaddr *)&a, sizeof(a)) && errno != EINPROGRESS)
		err = errno;
	else if (!wait_for(fd, POLLOUT, until_ms))
		err = ETIMEDOUT;
	else
		getsockopt(fd, SOL_SOCKET, SO_ERROR, &err, &len);
	if (!err)
		return fd;
	close(fd);
	return -1;
}

static bool send_all(int fd, const char *p, size_t len, long long until_ms)
{
	while (len) {
		ssize_t n = send(fd, p, len, MSG_NOSIGNAL);

		if (n < 0 && errno == EAGAIN && wait_for(fd, POLLOUT, until_ms))
			continue;
		if (n <= 0)
			return false;
		p += n;
		len -= (size_t)n;
	}
	return true;
}

/* Returns the value of a header in the head that ends at END, or NULL; it ends with a CR. */
static const char *find_header(const char *head, const char *end, const char *name)
{
	size_t len = strlen(name);

	for (const char *p = strstr(head, "\r\n"); p && p < end; p = strstr(p + 2, "\r\n"))
		if (!strncasecmp(p + 2, name, len) && p[2 + len] == ':')
			return p + 3 + len + strspn(p + 3 + len, " ");
	return NULL;
}

/*
 * Reads one answer with a stated length. Returns its status, or 0 if it is not whole by then; the
 * body is at *BODY in BUF.
 */
static int read_answer(int fd, char *buf, const char **body, long long until_ms)
{
	size_t len = 0;

	for (;;) {
		char *end = len ? strstr(buf, "\r\n\r\n") : NULL;
		const char *text = end ? find_header(buf, end, "Content-Length") : NULL;
		size_t whole =
			end ? (size_t)(end + 4 - buf) + (text ? strtoul(text, NULL, 10) : 0) : 0;
		ssize_t n;

		if (end && len >= whole) {
			buf[whole] = 0;
			*body = end + 4;
			return atoi(buf + strcspn(buf, " "));
		}
		if (len + 1 >= ANSWER_MAX || !wait_for(fd, POLLIN, until_ms))
			return 0;
		n = recv(fd, buf + len, ANSWER_MAX - 1 - len, 0);
		if (n <= 0)
			return 0;
		len += (size_t)n;
		buf[len] = 0;
	}
}

static int run_free(int argc, char **argv)
{
	for (int i = 0; i < argc; i++) {
		struct sockaddr_in a = parse_address(argv[i]);
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		int one = 1;

		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
		if (bind(fd, (struct sockaddr *)&a, sizeof(a)) || listen(fd, 1)) {
			fprintf(stderr, "standin-2: taken: %s\n", argv[i]);
			return 1;
		}
		close(fd);
	}
	return 0;
}

static char *read_file(const char *path, size_t *len)
{
	FILE *f = fopen(path, "rb");
	char *text = malloc(ANSWER_MAX);

	*len = f ? fread(text, 1, ANSWER_MAX, f) : 0;
	if (f)
		fclose(f);
	return text;
}

static int run_call(int argc, char **argv)
{
	static char answer[ANSWER_MAX];
	static char head[HEAD_MAX];
	const char *answer_body = "";
	long long until_ms;
	char *body = NULL;
	size_t len = 0;
	int status = 0;
	int n;
	int fd;

	if (argc < 5)
		return 2;
	if (strcmp(argv[3], "-"))
		body = read_file(argv[3], &len);
	until_ms = now_ms() + atoi(argv[4]);
	n = snprintf(head, sizeof(head), "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n",
		     argv[0], argv[2], argv[1]);
	for (int i = 5; i < argc; i++)
		n += snprintf(head + n, sizeof(head) - (size_t)n, "%s\r\n", argv[i]);
	if (body)
		n += snprintf(head + n, sizeof(head) - (size_t)n, "Content-Length: %zu\r\n", len);
	n += snprintf(head + n, sizeof(head) - (size_t)n, "\r\n");
	fd = dial(argv[1], until_ms);
	if (fd >= 0 && send_all(fd, head, (size_t)n, until_ms) &&
	    (!body || send_all(fd, body, len, until_ms)))
		status = read_answer(fd, answer, &answer_body, until_ms);
	printf("%03d %s\n", status, status ? answer_body : "");
	return 0;
}

/* Target */

static struct {
	const char *id;
	int work_ms;
	FILE *log;
	pthread_mutex_t lock;
} target = { .lock = PTHREAD_MUTEX_INITIALIZER };

static void note(const char *what, const char *id)
{
	pthread_mutex_lock(&target.lock);
	fprintf(target.log, "%lld %s %s\n", now_ms(), what, id);
	fflush(target.log);
	pthread_mutex_unlock(&target.lock);
}

static void copy_value(char *out, size_t size, const char *value)
{
	snprintf(out, size, "%.*s", value ? (int)strcspn(value, "\r") : 0, value ? value : "");
}

/* Returns the bytes of the whole request in BUF, or 0 if it is not whole. */
static size_t request_bytes(const char *buf)
{
	const char *end = strstr(buf, "\r\n\r\n");
	const char *text = end ? find_header(buf, end, "Content-Length") : NULL;
	size_t whole = end ? (size_t)(end + 4 - buf) + (text ? strtoul(text, NULL, 10) : 0) : 0;

	return end && strlen(buf) >= whole ? whole : 0;
}

static bool serve_one(int fd, const char *buf)
{
	const char *end = strstr(buf, "\r\n\r\n");
	const char *expected = find_header(buf, end, "Lavenderlead-Expected-Instance");
	char instance[128];
	char id[128];
	char out[1024];
	int n;

	copy_value(instance, sizeof(instance), expected);
	copy_value(id, sizeof(id), find_header(buf, end, "Lavenderlead-Attempt-Id"));
	if (!strncmp(buf, "GET /health ", 12)) {
		n = snprintf(out, sizeof(out),
			     "HTTP/1.1 200 OK\r\nLavenderlead-Instance-Id: %s\r\n"
			     "Lavenderlead-Instance-Load: 0,0,12,100\r\nContent-Length: 0\r\n\r\n",
			     target.id);
	} else if (expected && strcmp(instance, target.id)) {
		n = snprintf(out, sizeof(out),
			     "HTTP/1.1 421 Misdirected Request\r\nLavenderlead-Instance-Id: %s\r\n"
			     "Lavenderlead-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n",
			     target.id, id);
	} else {
		note("run", id);
		sleep_ms(target.work_ms);
		note("end", id);
		n = snprintf(
			out, sizeof(out),
			"HTTP/1.1 200 OK\r\nLavenderlead-Attempt-Id: %s\r\n"
			"Lavenderlead-Response-Seal: %s.%s\r\n"
			"Lavenderlead-Instance-Load: 0,0,12,100\r\nContent-Length: 3\r\n\r\nok\n",
			id, target.id, id);
	}
	return send_all(fd, out, (size_t)n, now_ms() + 10000);
}

static void *serve(void *arg)
{
	int fd = (int)(long)arg;
	char *buf = malloc(HEAD_MAX + 1);
	size_t len = 0;
	ssize_t n;

	buf[0] = 0;
	while ((n = recv(fd, buf + len, HEAD_MAX - len, 0)) > 0) {
		size_t whole;

		len += (size_t)n;
		buf[len] = 0;
		while ((whole = request_bytes(buf))) {
			if (!serve_one(fd, buf))
				break;
			len -= whole;
			memmove(buf, buf + whole, len + 1);
		}
	}
	close(fd);
	free(buf);
	return NULL;
}

static int run_target(int argc, char **argv)
{
	struct sockaddr_in a;
	int one = 1;
	int fd;

	if (argc != 4)
		return 2;
	a = parse_address(argv[0]);
	target.id = argv[1];
	target.work_ms = atoi(argv[2]);
	target.log = fopen(argv[3], "a");
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (!target.log || bind(fd, (struct sockaddr *)&a, sizeof(a)) || listen(fd, 128))
		return 2;
	for (;;) {
		int conn = accept(fd, NULL, NULL);
		pthread_t thread;

		if (conn >= 0 && !pthread_create(&thread, NULL, serve, (void *)(long)conn))
			pthread_detach(thread);
	}
}

/* Client */

struct request {
	char **argv;
	char id[64];
};

static void *send_request(void *arg)
{
	struct request *r = arg;
	long long until_ms = now_ms() + atoi(r->argv[7]);
	char *answer = malloc(ANSWER_MAX);
	const char *body = "";
	char out[1024];
	char status[16];
	int n = snprintf(out, sizeof(out),
			 "%s %s HTTP/1.1\r\nHost: %s\r\nLavenderlead-Attempt-Id: %s\r\n"
			 "Lavenderlead-Deadline-Remaining: %s\r\n%s\r\n%s",
			 r->argv[0], r->argv[3], r->argv[2], r->id, r->argv[7],
			 strcmp(r->argv[0], "POST") ? "" : "Content-Length: 4\r\n",
			 strcmp(r->argv[0], "POST") ? "" : "data");
	int fd = dial(r->argv[1], until_ms);

	note("sent", r->id);
	snprintf(status, sizeof(status), "%03d",
		 fd >= 0 && send_all(fd, out, (size_t)n, until_ms) ?
			 read_answer(fd, answer, &body, until_ms) :
			 0);
	note(status, r->id);
	if (fd >= 0)
		close(fd);
	free(answer);
	free(r);
	return NULL;
}

static int run_client(int argc, char **argv)
{
	int count;

	if (argc != 9)
		return 2;
	count = atoi(argv[5]);
	target.log = fopen(argv[8], "a");
	if (!target.log)
		return 2;
	for (int i = 0; i < count; i++) {
		struct request *r = calloc(1, sizeof(*r));
		pthread_t thread;

		r->argv = argv;
		snprintf(r->id, sizeof(r->id), "%s%05d", argv[4], i);
		if (!pthread_create(&thread, NULL, send_request, r))
			pthread_detach(thread);
		sleep_ms(atoi(argv[6]));
	}
	sleep_ms(atoi(argv[7]) + 200);
	return 0;
}

int main(int argc, char **argv)
{
	static const struct {
		const char *name;
		int (*run)(int argc, char **argv);
	} modes[] = { { "free", run_free },
		      { "call", run_call },
		      { "target", run_target },
		      { "client", run_client } };

	signal(SIGPIPE, SIG_IGN);
	for (size_t i = 0; argc > 1 && i < sizeof(modes) / sizeof(modes[0]); i++)
		if (!strcmp(argv[1], modes[i].name))
			return modes[i].run(argc - 2, argv + 2);
	return 2;
}
