/*
 * caller - sends a bounded HTTP load and prints a transcript
 *
 * caller -p PORT[,PORT...] -H HOST -i PREFIX [-n CALLS] [-c CONNECTIONS]
 *        [-w PAUSE_MS] [-m MIXED|GET|POST] [-d DELAY_MS] [-t TIMEOUT_MS]
 *        [-b BODY_BYTES] [-G] [-K] [-s SPREAD_MS] [-q QUIT_MS] [-f FAIL] [-T CUTS]
 *        [-A KEY] [-S SENT]
 *
 * CONNECTIONS threads share CALLS calls; thread T connects to port number T
 * modulo the number of ports. MIXED makes every second call a POST. DELAY_MS asks
 * the stand-in upstream for a delay. Connections are reused until a response has
 * Connection: close. -q: a caller disconnects when it has no response after
 * QUIT_MS. FAIL is the failure that every third call requests from the upstream.
 * -G: all threads start at the first port; a thread moves to the next port when a
 * response has Connection: close or it cannot connect, and ends after the last port.
 * -K: a thread keeps sending, on its connection or a new one, until it cannot connect; what is left
 * of its share of the calls is then not made. -s: the
 * upstream's delays are spread evenly over SPREAD_MS, from DELAY_MS. -T: appends a line for each
 * call that was sent and got no response to the file CUTS: ID PORT OPENED_MS ENDED_MS. OPENED_MS is
 * when its connection was opened: a call also fails after a fault that its connection came through.
 * -A: each call carries the key of an organisation. -S: appends "ID MS" to the file SENT before a
 * call is sent, by the wall clock.
 *
 * Prints one line per call: ID METHOD STATUS OUTCOME REASON BODY. OUTCOME:
 * answer, not-run, unknown, or none without a response (not-run without a
 * connection). BODY: own, other (that of another call), short (truncated) or none.
 * ID is PREFIX-NUMBER.
 */
#include "kernel/loop.h"
#include "test/fakes/ports.h"

#include <civetweb.h>
#include <glib.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define READ_BYTES 16384
#define EXTRA_WAIT_MS 10000

struct options {
	struct ports ports;
	const char *host;
	const char *prefix;
	u32 calls;
	u32 connections;
	u32 pause_ms;
	const char *methods;
	u32 delay_ms;
	u32 timeout_ms;
	u32 body_bytes;
	u32 abort_after_ms;
	bool leaves_on_close;
	bool stays; /* until it cannot connect */
	u32 spread_ms;
	const char *fail;
	FILE *cuts;
	const char *key;
	FILE *sent;
};

static struct options opt = {
	.calls = 100, .connections = 4, .methods = "MIXED", .timeout_ms = 5000, .body_bytes = 16
};
static gint next_call;
static pthread_mutex_t print_lock = PTHREAD_MUTEX_INITIALIZER;

/* The state of one thread; it has one connection at a time. */
struct client {
	struct mg_connection *conn;
	u32 port_index; /* in opt.ports */
	gint64 opened_us; /* wall clock */
	bool is_finished; /* -G: the last port was left; -K: the port is closed */
};

struct answer {
	int status;
	char outcome[16];
	char reason[64];
	const char *body;
};

static void disconnect(struct client *c)
{
	if (c->conn)
		mg_close_connection(c->conn);
	c->conn = NULL;
}

/* Disconnects; with -G, selects the next port. */
static void leave_port(struct client *c)
{
	disconnect(c);
	if (!opt.leaves_on_close)
		return;
	c->port_index++;
	c->is_finished = c->port_index >= opt.ports.n;
}

static const char *response_header(const struct mg_response_info *ri, const char *name)
{
	for (int i = 0; i < ri->num_headers; i++)
		if (!g_ascii_strcasecmp(ri->http_headers[i].name, name))
			return ri->http_headers[i].value;
	return NULL;
}

/* Returns a body that is unique to the call, so that a response to another call is detected. */
static char *make_body(const char *id)
{
	GString *s = g_string_new(id);

	while (s->len < opt.body_bytes)
		g_string_append_printf(s, ".%s", id);
	return g_string_free(s, FALSE);
}

/* A delay that looks random, the same for the same call in each run. */
static u32 delay_ms(const char *id)
{
	return opt.delay_ms + (opt.spread_ms ? g_str_hash(id) * 2654435761U % opt.spread_ms : 0);
}

static int send_call(struct client *c, const char *id, const char *method, const char *body,
		     const char *fail)
{
	size_t len = strcmp(method, "POST") ? 0 : strlen(body);
	const char *path = len ? "/checklists" : "/species/hoopoe";

	if (mg_printf(c->conn,
		      "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n"
		      "Lavenderlead-Timeout-Ms: %u\r\nDelay-Ms: %u\r\n%s%s%s%s%s%sContent-Length: "
		      "%zu\r\n\r\n",
		      method, path, opt.host, id, opt.timeout_ms, delay_ms(id),
		      opt.key ? "Authorization: Bearer " : "", opt.key ? opt.key : "",
		      opt.key ? "\r\n" : "", fail ? "Fail: " : "", fail ? fail : "",
		      fail ? "\r\n" : "", len) <= 0)
		return -1;
	return len && mg_write(c->conn, body, len) != (int)len ? -1 : 0;
}

/* Returns whether the response body repeats this call ("own") or not ("other"). */
static const char *classify_body(const char *id, const char *method, const char *body,
				 const GString *in)
{
	const char *sent = strcmp(method, "POST") ? "" : body;
	g_autofree char *prefix = g_strdup_printf("%s ", method);
	g_autofree char *id_field = g_strdup_printf(" id=%s ", id);
	g_autofree char *suffix = g_strdup_printf(" body=%s\n", sent);

	if (g_str_has_prefix(in->str, prefix) && strstr(in->str, id_field) &&
	    g_str_has_suffix(in->str, suffix))
		return "own";
	return "other";
}

static void read_answer(struct client *c, const char *id, const char *method, const char *body,
			struct answer *a)
{
	const struct mg_response_info *ri = mg_get_response_info(c->conn);
	const char *outcome = response_header(ri, "Lavenderlead-Outcome");
	const char *reason = response_header(ri, "Lavenderlead-Reason");
	const char *connection = response_header(ri, "Connection");
	g_autoptr(GString) in = g_string_new(NULL);
	char chunk[READ_BYTES];
	int n;

	a->status = ri->status_code;
	g_strlcpy(a->outcome, outcome ? outcome : "answer", sizeof(a->outcome));
	g_strlcpy(a->reason, reason ? reason : "-", sizeof(a->reason));
	while ((n = mg_read(c->conn, chunk, sizeof(chunk))) > 0)
		g_string_append_len(in, chunk, n);
	if (n < 0 || (ri->content_length > 0 && (long long)in->len < ri->content_length))
		a->body = "short";
	else
		a->body = outcome ? "none" : classify_body(id, method, body, in);
	if (connection && !strcmp(connection, "close"))
		leave_port(c);
}

static void log_sent(const char *id)
{
	if (!opt.sent)
		return;
	pthread_mutex_lock(&print_lock);
	fprintf(opt.sent, "%s %lld\n", id, (long long)(g_get_real_time() / US_PER_MS));
	fflush(opt.sent);
	pthread_mutex_unlock(&print_lock);
}

static void make_call(struct client *c, const char *id, const char *method, const char *fail,
		      struct answer *a)
{
	g_autofree char *body = make_body(id);
	u32 wait_ms = opt.abort_after_ms ? opt.abort_after_ms : opt.timeout_ms + EXTRA_WAIT_MS;
	char error[256];

	if (!c->conn) {
		c->opened_us = g_get_real_time();
		c->conn = mg_connect_client("127.0.0.1", opt.ports.at[c->port_index], 0, error,
					    sizeof(error));
	}
	if (!c->conn) {
		g_strlcpy(a->outcome, "not-run", sizeof(a->outcome));
		g_strlcpy(a->reason, "no-connection", sizeof(a->reason));
		c->is_finished = opt.stays;
		leave_port(c);
		return;
	}
	log_sent(id);
	if (!send_call(c, id, method, body, fail) &&
	    mg_get_response(c->conn, error, sizeof(error), (int)wait_ms) > 0)
		read_answer(c, id, method, body, a);
	if (!a->status)
		leave_port(c);
}

static const char *method_of(gint number)
{
	if (strcmp(opt.methods, "MIXED"))
		return opt.methods;
	return number % 2 ? "POST" : "GET";
}

/* The caller holds print_lock. */
static void print_cut(const char *id, u16 port, gint64 opened_us)
{
	if (!opt.cuts)
		return;
	fprintf(opt.cuts, "%s %u %lld %lld\n", id, port, (long long)(opened_us / US_PER_MS),
		(long long)(g_get_real_time() / US_PER_MS));
	fflush(opt.cuts);
}

/* The limit on the calls of one thread: with -K others may have ended, and it would make all. */
static u32 calls_of_thread(void)
{
	return opt.stays ? (opt.calls + opt.connections - 1) / opt.connections : opt.calls;
}

static gpointer client_main(gpointer arg)
{
	struct client c = { .port_index = GPOINTER_TO_UINT(arg) };
	u32 left = calls_of_thread();
	gint number;

	while (!c.is_finished && left-- &&
	       (number = g_atomic_int_add(&next_call, 1)) < (gint)opt.calls) {
		g_autofree char *id = g_strdup_printf("%s-%d", opt.prefix, number);
		struct answer a = { .outcome = "none", .reason = "-", .body = "none" };
		u16 port = opt.ports.at[c.port_index];

		make_call(&c, id, method_of(number), number % 3 ? NULL : opt.fail, &a);
		pthread_mutex_lock(&print_lock);
		printf("%s %s %d %s %s %s\n", id, method_of(number), a.status, a.outcome, a.reason,
		       a.body);
		if (!strcmp(a.outcome, "none"))
			print_cut(id, port, c.opened_us);
		pthread_mutex_unlock(&print_lock);
		g_usleep(opt.pause_ms * US_PER_MS);
	}
	disconnect(&c);
	return NULL;
}

static int parse(int argc, char **argv)
{
	int c;

	while ((c = getopt(argc, argv, "p:H:i:n:c:w:m:d:t:b:q:f:s:T:A:S:GK")) != -1) {
		if (c == 'p')
			ports_add(&opt.ports, optarg);
		else if (c == 'H')
			opt.host = optarg;
		else if (c == 'i')
			opt.prefix = optarg;
		else if (c == 'n')
			opt.calls = (u32)atoi(optarg);
		else if (c == 'c')
			opt.connections = (u32)atoi(optarg);
		else if (c == 'w')
			opt.pause_ms = (u32)atoi(optarg);
		else if (c == 'm')
			opt.methods = optarg;
		else if (c == 'd')
			opt.delay_ms = (u32)atoi(optarg);
		else if (c == 't')
			opt.timeout_ms = (u32)atoi(optarg);
		else if (c == 'b')
			opt.body_bytes = (u32)atoi(optarg);
		else if (c == 'q')
			opt.abort_after_ms = (u32)atoi(optarg);
		else if (c == 'f')
			opt.fail = optarg;
		else if (c == 'G')
			opt.leaves_on_close = true;
		else if (c == 'K')
			opt.stays = true;
		else if (c == 'T')
			opt.cuts = fopen(optarg, "a");
		else if (c == 'A')
			opt.key = optarg;
		else if (c == 'S')
			opt.sent = fopen(optarg, "a");
		else if (c == 's')
			opt.spread_ms = (u32)atoi(optarg);
		else
			return -1;
	}
	return opt.ports.n && opt.host && opt.prefix ? 0 : -1;
}

int main(int argc, char **argv)
{
	g_autofree GThread **threads = NULL;

	if (parse(argc, argv)) {
		fprintf(stderr, "usage: caller -p PORT[,PORT...] -H HOST -i PREFIX [-n CALLS] "
				"[-c CONNECTIONS] [-w PAUSE_MS] [-m MIXED|GET|POST] [-d DELAY_MS] "
				"[-t TIMEOUT_MS] [-b BODY_BYTES] [-q QUIT_MS] [-G] [-K] "
				"[-s SPREAD_MS] [-f FAIL] [-T CUTS] [-A KEY] [-S SENT]\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	setvbuf(stdout, NULL, _IOLBF, 0); /* a test sees whether it goes on */
	mg_init_library(0);
	threads = g_new0(GThread *, opt.connections);
	for (u32 i = 0; i < opt.connections; i++)
		threads[i] =
			g_thread_new("client", client_main,
				     GUINT_TO_POINTER(opt.leaves_on_close ? 0 : i % opt.ports.n));
	for (u32 i = 0; i < opt.connections; i++)
		g_thread_join(threads[i]);
	return 0;
}
