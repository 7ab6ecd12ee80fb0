/* What two ends say of themselves, and when a link is up: HELLO, PING and PONG. */
#include "kernel/link_impl.h"

#include "lib/ctr.h"
#include "lib/err.h"
#include "lib/log.h"

#include <string.h>

#define LINK_ID_TEXT_MAX 128

void link_id_clear(struct link_id *id)
{
	g_free(id->cluster);
	g_free(id->name);
	g_free(id->zone);
	g_free(id->region);
	memset(id, 0, sizeof(*id));
}

static void send_hello(struct link *k)
{
	const struct link_id *self = k->priv->self;
	FRAME_AUTO(f, LINK_HELLO);

	frame_put_str(&f, self->cluster);
	frame_put_u64(&f, self->role);
	frame_put_str(&f, self->name);
	frame_put_str(&f, self->zone);
	frame_put_str(&f, self->region);
	frame_put_u64(&f, self->incarnation);
	frame_put_u64(&f, self->api_port);
	link_send_frame(k, &f);
}

int link_handle_hello(struct link *k, struct frame_in *in)
{
	link_id_clear(&k->remote);
	k->remote.cluster = frame_get_str(in, LINK_ID_TEXT_MAX);
	k->remote.role = (enum link_role)frame_get_u64(in);
	k->remote.name = frame_get_str(in, LINK_ID_TEXT_MAX);
	k->remote.zone = frame_get_str(in, LINK_ID_TEXT_MAX);
	k->remote.region = frame_get_str(in, LINK_ID_TEXT_MAX);
	k->remote.incarnation = frame_get_u64(in);
	k->remote.api_port = (u16)frame_get_u64(in);
	if (frame_done(in) || k->priv->has_hello)
		return ERR_INVAL;
	if (strcmp(k->remote.cluster, k->priv->self->cluster)) {
		log_event(LOG_WARN, "link from another cluster", "peer", k->remote.name, "cluster",
			  k->remote.cluster, NULL);
		return ERR_INVAL;
	}
	k->priv->has_hello = true;
	link_leave_pending(k->priv);
	return 0;
}

void link_send_ping(struct link *k)
{
	u64 now = loop_clock_us();
	FRAME_AUTO(f, LINK_PING);

	frame_put_u64(&f, now);
	if (!k->priv->ping_sent_us)
		k->priv->ping_sent_us = now;
	link_send_frame(k, &f);
}

int link_handle_ping(struct link *k, struct frame_in *in)
{
	u64 sent = frame_get_u64(in);
	FRAME_AUTO(f, LINK_PONG);

	frame_put_u64(&f, sent);
	frame_put_u64(&f, loop_clock_us());
	link_send_frame(k, &f);
	return frame_done(in);
}

/*
 * The link is up after the first PONG, since times can be converted from then
 * on. Each end answers the other's first PING before it receives its own PONG,
 * so a link is up on both ends before a frame of an owner arrives.
 */
static void mark_up(struct link *k)
{
	if (k->is_up)
		return;
	k->is_up = true;
	ctr_inc(CTR_LINK_UP);
	k->ops->up(k);
}

int link_handle_pong(struct link *k, struct frame_in *in)
{
	struct link_private *p = k->priv;
	u64 sent = frame_get_u64(in);
	u64 remote = frame_get_u64(in);
	u64 now = loop_clock_us();

	if (frame_done(in) || sent > now)
		return ERR_INVAL;
	p->last_pong_us = now;
	link_clock_sample(k, sent, remote, now);
	mark_up(k);
	return 0;
}

void link_send_greeting(struct link *k)
{
	send_hello(k);
	link_send_ping(k);
}
