#include "node/upstream.h"

#include "kernel/loop.h"
#include "lib/err.h"
#include "node/retry.h"

#include <civetweb.h>
#include <errno.h>
#include <limits.h>
#include <pthread.h>
#include <sched.h>
#include <signal.h>
#include <string.h>

#define READ_BYTES 16384
#define WRITE_BYTES 65536
/* The library ends a read that waited this long as if the connection had ended. */
#define LIBRARY_READ_US (30 * US_PER_S)
#define INTERRUPT_SIGNAL SIGUSR1
/* An older idle connection may be closed by the upstream just as a request is written. */
#define IDLE_MAX_US (500 * US_PER_MS)

struct upstream {
	struct mg_connection *conn;
	u16 port;
	u64 used_us;
	pthread_mutex_t lock; /* guards what follows */
	struct upstream_call *call; /* within upstream_run */
	pthread_t thread;
	bool was_signalled;
};

static void on_signal(int sig)
{
	(void)sig; /* its arrival ends the system call that waits */
}

static void catch_signal(void)
{
	struct sigaction action = { .sa_handler = on_signal };

	sigaction(INTERRUPT_SIGNAL, &action, NULL);
}

struct upstream *upstream_new(void)
{
	static pthread_once_t once = PTHREAD_ONCE_INIT;
	struct upstream *u = g_new0(struct upstream, 1);

	pthread_once(&once, catch_signal);
	pthread_mutex_init(&u->lock, NULL);
	return u;
}

static void disconnect(struct upstream *u)
{
	if (u->conn)
		mg_close_connection(u->conn);
	u->conn = NULL;
}

void upstream_free(struct upstream *u)
{
	disconnect(u);
	pthread_mutex_destroy(&u->lock);
	g_free(u);
}

static u64 left_ms(const struct upstream_call *call)
{
	u64 now = loop_clock_us();

	return call->deadline_us > now ? (call->deadline_us - now) / US_PER_MS : 0;
}

/* ERR_CANCELLED or ERR_TIMEOUT when the call must not go on, else 0. */
static int must_end(struct upstream_call *call)
{
	if (__atomic_load_n(&call->is_cancelled, __ATOMIC_ACQUIRE))
		return ERR_CANCELLED;
	return left_ms(call) ? 0 : ERR_TIMEOUT;
}

/* The cause of a failed read or write, which may be an interruption. */
static int cause(struct upstream_call *call, int err)
{
	int end = must_end(call);

	return end ? end : err;
}

static void begin(struct upstream *u, struct upstream_call *call)
{
	pthread_mutex_lock(&u->lock);
	u->call = call;
	u->thread = pthread_self();
	u->was_signalled = false;
	pthread_mutex_unlock(&u->lock);
}

static void end(struct upstream *u)
{
	bool was_signalled;

	pthread_mutex_lock(&u->lock);
	u->call = NULL;
	was_signalled = u->was_signalled;
	pthread_mutex_unlock(&u->lock);
	/* A signal still pending is taken on the way out of this, not in the next call. */
	if (was_signalled)
		sched_yield();
}

void upstream_interrupt(struct upstream *u)
{
	pthread_mutex_lock(&u->lock);
	if (u->call && must_end(u->call)) {
		u->was_signalled = true;
		pthread_kill(u->thread, INTERRUPT_SIGNAL);
	}
	pthread_mutex_unlock(&u->lock);
}

static int connect_to(struct upstream *u, u16 port)
{
	char why[128];

	if (u->conn && (u->port != port || loop_clock_us() - u->used_us > IDLE_MAX_US))
		disconnect(u);
	if (u->conn)
		return 0;
	u->conn = mg_connect_client("127.0.0.1", port, 0, why, sizeof(why));
	u->port = port;
	return u->conn ? 0 : ERR_REFUSED;
}

static bool sends_body(const struct http_msg *m)
{
	return m->body->len || !strcmp(m->method, "POST") || !strcmp(m->method, "PUT");
}

static int write_all(struct upstream *u, struct upstream_call *call, const void *data, size_t len)
{
	return mg_write(u->conn, data, len) == (int)len ? 0 : cause(call, ERR_CLOSED);
}

static int write_request(struct upstream *u, struct upstream_call *call)
{
	const struct http_msg *m = call->request;
	int err;
	g_autoptr(GString) head = g_string_new(NULL);

	g_string_printf(head, "%s %s HTTP/1.1\r\n", m->method, m->target);
	for (guint i = 0; i < m->headers->len; i++) {
		const struct http_header *h = g_ptr_array_index(m->headers, i);

		if (!http_is_hop_header(h->name) &&
		    g_ascii_strcasecmp(h->name, "Lavenderlead-Timeout-Ms"))
			g_string_append_printf(head, "%s: %s\r\n", h->name, h->value);
	}
	g_string_append_printf(
		head, "Lavenderlead-Timeout-Ms: %llu\r\n",
		(unsigned long long)retry_time_below_ms(call->deadline_us, loop_clock_us()));
	if (sends_body(m))
		g_string_append_printf(head, "Content-Length: %u\r\n", m->body->len);
	g_string_append(head, "Connection: keep-alive\r\n\r\n");
	err = write_all(u, call, head->str, head->len);
	for (guint off = 0; !err && off < m->body->len; off += WRITE_BYTES) {
		err = must_end(call);
		if (!err)
			err = write_all(u, call, m->body->data + off,
					MIN(m->body->len - off, (guint)WRITE_BYTES));
	}
	return err;
}

/*
 * Waits once, for all the time left: the library drops the part of a head
 * that it has read when a wait ends early.
 */
static int wait_head(struct upstream *u, struct upstream_call *call)
{
	int err = must_end(call);
	char why[128];

	if (err)
		return err;
	if (mg_get_response(u->conn, why, sizeof(why), (int)MIN(left_ms(call), INT_MAX)) > 0)
		return 0;
	return cause(call, ERR_CLOSED);
}

static bool has_no_body(const struct http_msg *request, int status)
{
	return !strcmp(request->method, "HEAD") || status == 204 || status == 304;
}

/*
 * Without a length the end of the connection is the end of the body. The
 * library reports it as an error; only errno tells it from a reset, and that
 * may come with the bytes read before it.
 */
static bool is_end_of_stream(const struct mg_response_info *ri, int saved_errno, u64 waited_us)
{
	for (int i = 0; i < ri->num_headers; i++)
		if (!g_ascii_strcasecmp(ri->http_headers[i].name, "Transfer-Encoding"))
			return false;
	return ri->content_length < 0 && (!saved_errno || saved_errno == EAGAIN) &&
	       waited_us < LIBRARY_READ_US;
}

static int read_body(struct upstream *u, const struct mg_response_info *ri,
		     struct upstream_call *call, GByteArray *out)
{
	int saved_errno = 0;
	u64 began_us;
	int n;

	do {
		guint old = out->len;

		if (must_end(call))
			return must_end(call);
		g_byte_array_set_size(out, old + READ_BYTES);
		began_us = loop_clock_us();
		errno = 0;
		n = mg_read(u->conn, out->data + old, READ_BYTES);
		saved_errno = saved_errno ? saved_errno : errno;
		g_byte_array_set_size(out, old + (n > 0 ? (guint)n : 0));
		if (out->len > call->max_body_bytes)
			return ERR_TOOBIG;
	} while (n > 0);
	if (is_end_of_stream(ri, saved_errno, loop_clock_us() - began_us))
		return 0;
	if (n < 0 || (ri->content_length >= 0 && out->len < (u64)ri->content_length))
		return cause(call, ERR_SHORT);
	return 0;
}

static int read_reply(struct upstream *u, struct upstream_call *call, struct http_msg **reply)
{
	const struct mg_response_info *ri;
	struct http_msg *m;
	int err = wait_head(u, call);

	if (err)
		return err;
	ri = mg_get_response_info(u->conn);
	m = http_new();
	m->status = (u16)ri->status_code;
	for (int i = 0; i < ri->num_headers && i < HTTP_HEADERS_MAX; i++)
		if (!http_is_hop_header(ri->http_headers[i].name))
			http_add_header(m, ri->http_headers[i].name, ri->http_headers[i].value);
	if (!has_no_body(call->request, m->status))
		err = read_body(u, ri, call, m->body);
	if (err) {
		http_free(m);
		return err;
	}
	*reply = m;
	return 0;
}

/* True when the upstream keeps the connection open and its end of the body is known. */
static bool is_reusable(struct upstream *u)
{
	const struct mg_response_info *ri = mg_get_response_info(u->conn);

	for (int i = 0; i < ri->num_headers; i++) {
		const struct mg_header *h = &ri->http_headers[i];

		if (!g_ascii_strcasecmp(h->name, "Connection"))
			return !strstr(h->value, "close");
	}
	return ri->content_length >= 0 && !strcmp(ri->http_version, "1.1");
}

static int connect_and_run(struct upstream *u, u16 port, struct upstream_call *call,
			   struct http_msg **reply)
{
	int err = must_end(call);

	if (!err)
		err = connect_to(u, port) ? cause(call, ERR_REFUSED) : must_end(call);
	if (err)
		return err;
	call->is_written = true;
	err = write_request(u, call);
	return err ? err : read_reply(u, call, reply);
}

int upstream_run(struct upstream *u, u16 port, struct upstream_call *call, struct http_msg **reply)
{
	int err;

	*reply = NULL;
	call->is_written = false;
	begin(u, call);
	err = connect_and_run(u, port, call, reply);
	end(u);
	if (call->is_written && (err || !is_reusable(u)))
		disconnect(u);
	u->used_us = loop_clock_us();
	return err;
}
