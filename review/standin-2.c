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
 * standin-2 crowd ADDRESS:PORT HOST PATH HELD PATH CLIENTS EACH PERCENT LEAVE_MS SPREAD_MS
 *DEADLINE_MS LOG sends HELD POST requests to the first path, each on a connection that it keeps;
 *then CLIENTS clients come within SPREAD_MS, each with EACH GET requests behind one another on one
 *connection. PERCENT of these clients leave, each LEAVE_MS after its coming. Appends to LOG as
 *client does for the first requests, and "MS closed ID" where their connection ends without an
 *answer
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

#define LEAVING "Server-Leaving: 1\r\n"
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

static volatile sig_atomic_t is_leaving;

static void on_leave(int sig)
{
	(void)sig;
	is_leaving = 1;
}

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
			     "HTTP/1.1 %s\r\n%sLavenderlead-Instance-Id: %s\r\n"
			     "Lavenderlead-Instance-Load: 0,0,12,100\r\nContent-Length: 0\r\n\r\n",
			     is_leaving ? "503 Service Unavailable" : "200 OK",
			     is_leaving ? LEAVING : "", target.id);
	} else if (expected && strcmp(instance, target.id)) {
		n = snprintf(
			out, sizeof(out),
			"HTTP/1.1 421 Misdirected Request\r\n%sLavenderlead-Instance-Id: %s\r\n"
			"Lavenderlead-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n",
			is_leaving ? LEAVING : "", target.id, id);
	} else {
		note("run", id);
		sleep_ms(target.work_ms);
		note("end", id);
		n = snprintf(
			out, sizeof(out),
			"HTTP/1.1 200 OK\r\n%sLavenderlead-Attempt-Id: %s\r\n"
			"Lavenderlead-Response-Seal: %s.%s\r\n"
			"Lavenderlead-Instance-Load: 0,0,12,100\r\nContent-Length: 3\r\n\r\nok\n",
			is_leaving ? LEAVING : "", id, target.id, id);
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
	signal(SIGUSR1, on_leave);
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

/* Crowd */

#define CROWD_MAX 1024

struct visitor {
	int fd;
	long long come_ms;
	long long leave_ms; /* 0: stays */
	bool has_come;
	bool is_held; /* sends one POST and is logged */
	char id[32];
};

static struct visitor visitors[CROWD_MAX];

static void come(struct visitor *v, char **argv, int each)
{
	char out[512];
	int n;

	v->has_come = true;
	for (int i = 0; i < (v->is_held ? 1 : each); i++) {
		n = snprintf(out, sizeof(out),
			     "%s %s HTTP/1.1\r\nHost: %s\r\nLavenderlead-Attempt-Id: %s%02d\r\n"
			     "Lavenderlead-Deadline-Remaining: %s\r\n%s\r\n%s",
			     v->is_held ? "POST" : "GET", v->is_held ? argv[2] : argv[4], argv[1],
			     v->id, i, argv[10], v->is_held ? "Content-Length: 4\r\n" : "",
			     v->is_held ? "data" : "");
		send_all(v->fd, out, (size_t)n, now_ms() + 1000);
	}
	if (v->is_held)
		note("sent", v->id);
}

/* Reads what there is; of the held ones the first bytes of the answer are logged. */
static void hear(struct visitor *v)
{
	char buf[HEAD_MAX];
	ssize_t n = recv(v->fd, buf, sizeof(buf) - 1, 0);
	char status[16];

	if (n < 0 && errno == EAGAIN)
		return;
	if (n > 0) {
		buf[n] = 0;
		snprintf(status, sizeof(status), "%03d", atoi(buf + strcspn(buf, " ")));
		if (v->is_held)
			note(status, v->id);
		v->is_held = false;
		return;
	}
	if (v->is_held)
		note("closed", v->id);
	close(v->fd);
	v->fd = -1;
}

static void plan(struct visitor *v, int i, int held, char **argv, long long start_ms)
{
	int clients = atoi(argv[5]);
	int at = i - held;

	v->is_held = i < held;
	v->fd = dial(argv[0], now_ms() + 2000);
	v->come_ms = start_ms + (v->is_held ? 0 : 2 + at * atoi(argv[9]) / clients);
	/* Those that leave are spread evenly over the others. */
	if (!v->is_held && at * 37 % 100 < atoi(argv[7]))
		v->leave_ms = v->come_ms + atoi(argv[8]);
	snprintf(v->id, sizeof(v->id), "%s%04d", v->is_held ? "held" : "crowd", i);
}

static int run_crowd(int argc, char **argv)
{
	long long start_ms = now_ms() + 500;
	int held;
	int n;

	if (argc != 12)
		return 2;
	held = atoi(argv[3]);
	n = held + atoi(argv[5]);
	target.log = fopen(argv[11], "a");
	if (!target.log || n > CROWD_MAX)
		return 2;
	for (int i = 0; i < n; i++)
		plan(&visitors[i], i, held, argv, start_ms);
	while (now_ms() < start_ms + atoi(argv[10]) + 500) {
		struct pollfd fds[CROWD_MAX];
		long long now = now_ms();

		for (int i = 0; i < n; i++) {
			struct visitor *v = &visitors[i];

			if (!v->has_come && now >= v->come_ms)
				come(v, argv, atoi(argv[6]));
			if (v->leave_ms && now >= v->leave_ms && v->fd >= 0) {
				close(v->fd);
				v->fd = -1;
			}
			fds[i] = (struct pollfd){ .fd = v->fd, .events = POLLIN };
		}
		poll(fds, (nfds_t)n, 1);
		for (int i = 0; i < n; i++)
			if (visitors[i].fd >= 0 && fds[i].revents)
				hear(&visitors[i]);
	}
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
		      { "client", run_client },
		      { "crowd", run_crowd } };

	signal(SIGPIPE, SIG_IGN);
	for (size_t i = 0; argc > 1 && i < sizeof(modes) / sizeof(modes[0]); i++)
		if (!strcmp(argv[1], modes[i].name))
			return modes[i].run(argc - 2, argv + 2);
	return 2;
}
