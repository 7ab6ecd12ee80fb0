/* Which connections to the upstream are used again, and for which requests. */
#include "node/upstream_impl.h"

#include "lib/ctr.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* The upstream may close a connection that has been idle for longer just as a request is sent. */
#define IDLE_NON_IDEMPOTENT_MAX_US (500 * US_PER_MS)
/* The limit for an idempotent request, unless the upstream sends a Keep-Alive timeout. */
#define IDLE_DEFAULT_MAX_US (4 * US_PER_S)
/* Connections are closed this long before the upstream's Keep-Alive timeout. */
#define IDLE_MARGIN_US (1 * US_PER_S)
/* Refused requests whose ids a connection remembers; at this number it is not used again. */
#define REFUSED_IDS_MAX 64

/* The upstream's Keep-Alive timeout, in whole seconds, less a margin for the network delay. */
static u64 idle_max_us(const struct http_msg *m)
{
	const char *value = http_header(m, "Keep-Alive");
	const char *at = value ? strstr(value, "timeout=") : NULL;
	u64 advertised_us;

	if (!at)
		return IDLE_DEFAULT_MAX_US;
	advertised_us = strtoull(at + strlen("timeout="), NULL, 10) * US_PER_S;
	return advertised_us > IDLE_MARGIN_US ? advertised_us - IDLE_MARGIN_US : 0;
}

static void return_to_pool(struct upstream_conn *c, u64 max_us)
{
	upstream_account_buffered(c, 0);
	g_queue_unlink(&c->u->busy, &c->queue_link);
	g_queue_push_head_link(&c->u->idle, &c->queue_link);
	c->call = NULL;
	c->state_since_us = loop_clock_us();
	c->idle_max_us = max_us;
}

/* No answer can name such a request, so it must get the first answer of its connection. */
static bool is_nameless(const struct dialect *d, const struct upstream_call *call)
{
	return d->has_ids && !call->is_poll && !d->id(call->request);
}

/*
 * Returns whether a copy of M would be told from the answer to a later request. A refusal must name
 * its request for that, and a request with that id must not come here again. Connections for
 * requests without an id are not kept: each of these needs a new one.
 */
static bool may_follow(struct upstream_conn *c, const struct http_msg *m)
{
	const struct dialect *d = c->u->dialect;
	const char *id = d->id(c->call->request);

	if (is_nameless(d, c->call))
		return false;
	if (c->call->is_poll || !d->is_not_run(m))
		return !d->is_other_instance(m);
	if (!id || !d->names_request(m, c->call->request) || d->is_other_instance(m) ||
	    c->refused_ids->len >= REFUSED_IDS_MAX)
		return false;
	g_ptr_array_add(c->refused_ids, g_strdup(id));
	return true;
}

static bool has_refused(const struct upstream_conn *c, const struct http_msg *request)
{
	const char *id = c->u->dialect->id(request);

	for (guint i = 0; id && i < c->refused_ids->len; i++)
		if (!strcmp(g_ptr_array_index(c->refused_ids, i), id))
			return true;
	return false;
}

/*
 * Bytes after the answer belong to no request. When the answer came before the whole request was
 * sent, the rest of the request remains unsent. Heads that look joined are taken only from new
 * connections.
 */
static bool is_reusable(const struct upstream_conn *c)
{
	return c->read.is_keep_alive && c->read.has_length && !c->read.is_joined &&
	       !c->foreign_answers && !c->out->len;
}

void upstream_release(struct upstream_conn *c, const struct http_msg *m)
{
	u64 max_us = idle_max_us(m);

	if (is_reusable(c) && max_us && may_follow(c, m))
		return_to_pool(c, max_us);
	else
		upstream_conn_close(c);
}

static bool is_usable(const struct upstream_conn *c, const struct upstream_call *call, u64 now_us)
{
	u64 idle_us = now_us - c->state_since_us;

	return idle_us <= c->idle_max_us &&
	       (call->is_idempotent || idle_us <= IDLE_NON_IDEMPOTENT_MAX_US);
}

/*
 * Returns whether the upstream has written to the idle connection or closed it, and the loop has
 * not read that yet. Such bytes were not meant for the next request.
 */
static bool has_unread(const struct upstream_conn *c)
{
	u8 byte;
	ssize_t n = recv(c->fd.fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);

	if (n > 0)
		ctr_inc(CTR_FOREIGN_ANSWER);
	return n >= 0 || errno != EAGAIN;
}

struct upstream_conn *upstream_find_idle(struct upstream *u, const struct endpoint *at,
					 const struct upstream_call *call)
{
	u64 now = loop_clock_us();
	GList *next;

	if (is_nameless(u->dialect, call))
		return NULL;
	for (GList *l = u->idle.head; l; l = next) {
		struct upstream_conn *c = l->data;

		next = l->next;
		if (!endpoint_equal(&c->at, at) || now - c->state_since_us > c->idle_max_us) {
			upstream_conn_close(c);
			continue;
		}
		if (!is_usable(c, call, now))
			return NULL;
		if (has_refused(c, call->request) || has_unread(c)) {
			upstream_conn_close(c);
			continue;
		}
		g_queue_unlink(&u->idle, l);
		return c;
	}
	return NULL;
}
