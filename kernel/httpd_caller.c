/* Bounds on what the callers of an HTTP server make it hold, and the closes that enforce them. */
#include "kernel/httpd_impl.h"

#include "lib/log.h"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

/* Connections with fewer bytes of answers are not closed to make room. */
#define EVICT_MIN_BYTES (16 * 1024)

static struct httpd_address *address_find(struct httpd *h, u32 ip)
{
	struct httpd_address *a = g_hash_table_lookup(h->addresses, GUINT_TO_POINTER(ip));

	if (a)
		return a;
	a = g_new0(struct httpd_address, 1);
	a->ip = ip;
	g_hash_table_insert(h->addresses, GUINT_TO_POINTER(ip), a);
	return a;
}

static void address_release(struct httpd *h, struct httpd_address *a)
{
	if (!a->connections)
		g_hash_table_remove(h->addresses, GUINT_TO_POINTER(a->ip));
}

static void log_caller(const char *event, const struct httpd_conn *c, enum ctr reason)
{
	const struct httpd_address *a = c->address;
	struct in_addr in = { .s_addr = a->ip };
	char text[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &in, text, sizeof(text));
	log_event(LOG_WARN, event, "reason", ctr_name(reason), "address", text, "request_bytes",
		  log_u64(c->request_bytes), "unsent_bytes", log_u64(c->answer_bytes),
		  "connections_of_address", log_u64(a->connections), "unsent_bytes_of_address",
		  log_u64(a->answer_bytes), NULL);
}

static void log_close(const struct httpd_conn *c, enum ctr reason)
{
	ctr_inc(reason);
	log_caller("connection of caller closed", c, reason);
}

void httpd_caller_log_refusal(const struct httpd_conn *c, enum ctr reason)
{
	log_caller("requests of caller refused", c, reason);
}

/* With a reset: an orderly close would leave in the kernel what the caller does not read. */
static void close_for(struct httpd_conn *c, enum ctr reason)
{
	struct linger reset = { .l_onoff = 1 };

	if (c->answer_bytes)
		setsockopt(c->fd.fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	log_close(c, reason);
	httpd_conn_close(c);
}

/* Returns whether A is closed before B: without any byte of a request, or for longer. */
static bool goes_before(const struct httpd_conn *a, const struct httpd_conn *b)
{
	bool is_a_idle = http_read_is_idle(&a->read);

	if (is_a_idle != http_read_is_idle(&b->read))
		return is_a_idle;
	return a->since_us < b->since_us;
}

static struct httpd_conn *find_waiting(const struct httpd *h, const struct httpd_address *address)
{
	struct httpd_conn *found = NULL;

	for (GList *l = h->conns.head; l; l = l->next) {
		struct httpd_conn *c = l->data;

		if ((address && c->address != address) || c->is_busy || !httpd_conn_is_idle(c))
			continue;
		if (!found || goes_before(c, found))
			found = c;
	}
	return found;
}

bool httpd_caller_close_waiting(struct httpd *h, const struct httpd_address *address)
{
	struct httpd_conn *c = find_waiting(h, address);

	if (c)
		close_for(c, CTR_CALLER_CONNECTIONS);
	return c;
}

/* Returns whether a connection more than MAX of ADDRESS, or of all, has found a place. */
static bool has_place(struct httpd *h, const struct httpd_address *address, u32 connections,
		      u32 max)
{
	return !max || connections <= max || httpd_caller_close_waiting(h, address);
}

bool httpd_caller_admit(struct httpd_conn *c, u32 ip)
{
	struct httpd *h = c->h;
	const struct httpd_limits *l = &h->limits;

	c->address = address_find(h, ip);
	c->address->connections++;
	if (has_place(h, c->address, c->address->connections, l->address_connections) &&
	    has_place(h, NULL, h->conns.length, l->connections))
		return true;
	log_close(c, CTR_CALLER_CONNECTIONS);
	return false;
}

void httpd_caller_leave(struct httpd_conn *c)
{
	c->address->connections--;
	address_release(c->h, c->address);
}

/* The speed of a connection that is not to give way. */
#define NEVER_SLOWEST UINT64_MAX

static u64 bytes_per_s(u64 bytes, u64 since_us, u64 now_us)
{
	return bytes * US_PER_S / (now_us - since_us + 1);
}

/* Returns the connection whose SPEED is the lowest, of ADDRESS unless that is NULL, or NULL. */
static struct httpd_conn *find_slowest(const struct httpd *h, const struct httpd_address *address,
				       u64 (*speed)(const struct httpd_conn *c, u64 now_us))
{
	struct httpd_conn *slowest = NULL;
	u64 lowest = NEVER_SLOWEST;
	u64 now = loop_clock_us();

	for (GList *l = h->conns.head; l; l = l->next) {
		struct httpd_conn *c = l->data;
		u64 conn_speed = !address || c->address == address ? speed(c, now) : NEVER_SLOWEST;

		if (conn_speed >= lowest)
			continue;
		slowest = c;
		lowest = conn_speed;
	}
	return slowest;
}

static bool has_unstarted(const struct httpd_conn *c)
{
	const struct httpd_request *last = g_queue_peek_tail((GQueue *)&c->requests);

	return last && !last->is_started;
}

/* A connection that was refused is read, and what comes is discarded, until it is closed. */
static bool is_long_sender(const struct httpd_conn *c)
{
	return (c->read.msg || has_unstarted(c)) && c->request_bytes >= EVICT_MIN_BYTES &&
	       !c->must_close && !c->is_eof;
}

/* Since the first byte of the request that is incomplete. */
static u64 sending_speed(const struct httpd_conn *c, u64 now_us)
{
	return is_long_sender(c) ? bytes_per_s(c->request_bytes, c->since_us, now_us) :
				   NEVER_SLOWEST;
}

struct httpd_conn *httpd_caller_find_slowest_sender(const struct httpd *h)
{
	return find_slowest(h, NULL, sending_speed);
}

static u64 count_answers(const struct httpd_conn *c)
{
	u64 sum = c->out->len;

	for (const GList *l = c->requests.head; l; l = l->next) {
		const struct httpd_request *r = l->data;

		sum += r->answer ? r->answer->body->len : 0;
	}
	return sum;
}

void httpd_caller_count(struct httpd_conn *c)
{
	u64 now = c->is_dead ? 0 : count_answers(c);

	c->h->answer_bytes += now - c->answer_bytes;
	c->address->answer_bytes += now - c->answer_bytes;
	c->answer_bytes = now;
	held_update(c->h->held, &c->held_bytes, now + c->request_bytes);
}

/* Returns why a connection has to be closed, or CTR_COUNT; *ADDRESS is set if it is one of it. */
static enum ctr find_excess(const struct httpd *h, const struct httpd_address **address)
{
	const struct httpd_limits *l = &h->limits;

	if (*address && l->address_bytes && (*address)->answer_bytes > l->address_bytes)
		return CTR_CALLER_BYTES;
	*address = NULL;
	if ((l->answer_bytes && h->answer_bytes > l->answer_bytes) || held_is_over(h->held))
		return CTR_HELD_BYTES;
	return CTR_COUNT;
}

/* Since the connection last had nothing to send. */
static u64 reading_speed(const struct httpd_conn *c, u64 now_us)
{
	if (c->answer_bytes < EVICT_MIN_BYTES)
		return NEVER_SLOWEST;
	return bytes_per_s(c->sent_bytes - c->out_from_bytes, c->out_since_us, now_us);
}

void httpd_caller_make_room(struct httpd *h, const struct httpd_address *address)
{
	const struct httpd_address *of = address;
	struct httpd_conn *c;
	enum ctr reason;

	while ((reason = find_excess(h, &of)) != CTR_COUNT &&
	       (c = find_slowest(h, of, reading_speed)))
		close_for(c, reason);
}

/* Returns the bytes that the caller's side has acknowledged. */
static u64 taken_bytes(const struct httpd_conn *c)
{
	int waiting = 0;

	if (ioctl(c->fd.fd, SIOCOUTQ, &waiting))
		return c->sent_bytes;
	return c->sent_bytes - MIN((u64)waiting, c->sent_bytes);
}

void httpd_caller_check_stall(struct httpd_conn *c, u64 now_us)
{
	u64 taken;

	if (!httpd_conn_unsent_bytes(c) || !c->h->limits.stall_us)
		return;
	taken = taken_bytes(c);
	if (taken != c->taken_bytes || c->taken_us < c->out_since_us) {
		c->taken_bytes = taken;
		c->taken_us = now_us;
	} else if (now_us > c->taken_us + c->h->limits.stall_us) {
		close_for(c, CTR_CALLER_STALLED);
	}
}
