#include "kernel/link_impl.h"

#include "lib/buf.h"
#include "lib/ctr.h"
#include "lib/err.h"
#include "lib/log.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define LINK_READ_BYTES (16 * 1024)
/* A send buffer that has grown beyond this is freed when it is empty. */
#define LINK_KEEP_BYTES 4096
/* Four texts of LINK_ID_TEXT_MAX bytes, three numbers, and what frames them. */
#define LINK_HELLO_MAX_BYTES 1024
/* An end that receives this much without sending anything sends ALIVE, at this interval. */
#define LINK_BULK_BYTES (8 * 1024)
#define LINK_ALIVE_INTERVAL_US (100 * US_PER_MS)

static void link_free(void *arg)
{
	struct link *k = arg;

	link_id_clear(&k->remote);
	g_byte_array_unref(k->priv->in);
	g_byte_array_unref(k->priv->out);
	g_free(k->priv);
	g_free(k);
}

static void count_held(struct link_private *p)
{
	held_update(p->held, &p->held_bytes, p->is_dead ? 0 : p->in->len + p->out->len);
}

void link_close(struct link *k)
{
	struct link_private *p = k->priv;

	if (p->is_dead)
		return;
	p->is_dead = true;
	link_leave_pending(p);
	count_held(p);
	loop_timer_cancel(p->loop, &p->tick);
	loop_fd_remove(p->loop, &p->fd);
	close(p->fd.fd);
	loop_post(p->loop, link_free, k);
}

void link_set_held(struct link *k, struct held *held)
{
	k->priv->held = held;
	k->priv->held_bytes = 0;
	count_held(k->priv);
}

static void fail(struct link *k, int err)
{
	if (k->priv->is_dead)
		return;
	if (k->is_up)
		ctr_inc(CTR_LINK_DOWN);
	if (err == ERR_TIMEOUT)
		ctr_inc(CTR_LINK_SILENT);
	if (err == ERR_INVAL)
		ctr_inc(CTR_FRAME_BAD);
	if (err == ERR_TOOBIG)
		ctr_inc(CTR_FRAME_TOO_LARGE);
	if (k->priv->pending_err == ERR_BUSY)
		ctr_inc(CTR_LINK_QUEUE_FULL);
	link_close(k);
	k->ops->down(k, err);
}

/* Resets the ping interval of a link that was idle. */
static void reset_ping_interval(struct link *k)
{
	struct link_private *p = k->priv;

	p->last_used_us = loop_clock_us();
	if (p->ping_interval_us == LINK_PING_INTERVAL_MIN_US)
		return;
	p->ping_interval_us = LINK_PING_INTERVAL_MIN_US;
	loop_timer_set(p->loop, &p->tick, p->last_used_us + p->ping_interval_us);
}

static int dispatch(struct link *k, const void *payload, size_t len)
{
	struct frame_in in;
	u32 type;

	frame_in_init(&in, payload, len);
	type = (u32)frame_get_u64(&in);
	if (in.err)
		return ERR_INVAL;
	if (type == LINK_HELLO)
		return link_handle_hello(k, &in);
	if (!k->priv->has_hello)
		return ERR_INVAL;
	if (type == LINK_PING)
		return link_handle_ping(k, &in);
	if (type == LINK_PONG)
		return link_handle_pong(k, &in);
	if (type == LINK_ALIVE)
		return frame_done(&in);
	if (!k->is_up)
		return ERR_INVAL;
	reset_ping_interval(k);
	return k->ops->frame(k, type, &in);
}

/* Until the other end has said who it is, it may send no more than that. */
static u32 max_frame_bytes(const struct link *k)
{
	return k->priv->has_hello ? FRAME_MAX_BYTES : LINK_HELLO_MAX_BYTES;
}

/* Handles the complete frames in DATA and sets *CONSUMED to their total size. */
static int handle_frames(struct link *k, const u8 *data, size_t bytes, size_t *consumed)
{
	size_t off = 0;
	int err = 0;

	while (!err && !k->priv->is_dead && bytes - off >= FRAME_HEADER_BYTES) {
		u32 len;

		memcpy(&len, data + off, sizeof(len));
		len = ntohl(len);
		if (len > max_frame_bytes(k))
			return ERR_TOOBIG;
		if (bytes - off - FRAME_HEADER_BYTES < len)
			break;
		err = dispatch(k, data + off + FRAME_HEADER_BYTES, len);
		off += FRAME_HEADER_BYTES + len;
	}
	*consumed = off;
	return err;
}

/* Buffers only an incomplete frame, so that idle links need no buffer memory. */
static int handle_bytes(struct link *k, const u8 *data, size_t bytes)
{
	struct link_private *p = k->priv;
	size_t consumed = 0;
	int err;

	if (!p->in->len) {
		err = handle_frames(k, data, bytes, &consumed);
		g_byte_array_append(p->in, data + consumed, (guint)(bytes - consumed));
		return err;
	}
	g_byte_array_append(p->in, data, (guint)bytes);
	err = handle_frames(k, p->in->data, p->in->len, &consumed);
	if (consumed < p->in->len) {
		g_byte_array_remove_range(p->in, 0, (guint)consumed);
		return err;
	}
	g_byte_array_unref(p->in);
	p->in = g_byte_array_new();
	return err;
}

/* While a long frame comes in, the other end hears that it is being received. */
static void show_life(struct link *k, u64 now_us)
{
	const struct link_private *p = k->priv;
	FRAME_AUTO(f, LINK_ALIVE);

	if (k->is_up && p->recv_bytes - p->sent_at_bytes >= LINK_BULK_BYTES &&
	    now_us - p->last_sent_us >= LINK_ALIVE_INTERVAL_US)
		link_send_frame(k, &f);
}

static int read_some(struct link *k)
{
	struct link_private *p = k->priv;
	u8 buf[LINK_READ_BYTES];
	ssize_t n = recv(p->fd.fd, buf, sizeof(buf), 0);
	int err;

	if (n == 0)
		return ERR_CLOSED;
	if (n < 0)
		return errno == EAGAIN || errno == EINTR ? 0 : ERR_CLOSED;
	p->recv_bytes += (u64)n;
	p->last_recv_us = loop_clock_us();
	p->ping_sent_us = 0;
	show_life(k, p->last_recv_us);
	err = handle_bytes(k, buf, (size_t)n);
	count_held(p);
	return err;
}

static void set_write(struct link *k, bool wants)
{
	struct link_private *p = k->priv;

	if (p->wants_write == wants)
		return;
	p->wants_write = wants;
	loop_fd_change(p->loop, &p->fd, wants ? EPOLLIN | EPOLLOUT : EPOLLIN);
}

static void flush(struct link *k)
{
	struct link_private *p = k->priv;

	while (p->out_off < p->out->len) {
		ssize_t n = send(p->fd.fd, p->out->data + p->out_off, p->out->len - p->out_off,
				 MSG_NOSIGNAL);

		if (n < 0)
			break; /* EPOLLOUT or the next read reports the error */
		p->out_off += (size_t)n;
		p->sent_bytes += (u64)n;
	}
	if (p->out_off == p->out->len) {
		p->out_off = 0;
		p->out = buf_empty(p->out, LINK_KEEP_BYTES);
	}
	if (p->is_ending && !p->out->len)
		shutdown(p->fd.fd, SHUT_WR);
	set_write(k, p->out->len > 0);
	count_held(p);
}

/*
 * Removes the sent bytes once they are LINK_READ_BYTES and half of the buffer, so that its size
 * stays bounded and few bytes are moved.
 */
static void drop_sent(struct link_private *p)
{
	if (p->out_off < LINK_READ_BYTES || p->out_off < p->out->len / 2)
		return;
	g_byte_array_remove_range(p->out, 0, (guint)p->out_off);
	p->out_off = 0;
}

size_t link_queued_bytes(const struct link *k)
{
	return k->priv->out->len - k->priv->out_off;
}

int link_send_frame(struct link *k, struct frame_out *frame)
{
	struct link_private *p = k->priv;
	size_t len = frame_end(frame);

	if (p->is_dead || p->is_ending)
		return ERR_CLOSED;
	if (len > FRAME_MAX_BYTES + FRAME_HEADER_BYTES)
		return ERR_TOOBIG;
	if (p->pending_err)
		return p->pending_err;
	if (link_queued_bytes(k) + len > LINK_SEND_QUEUE_MAX_BYTES) {
		/* Part of a message may be queued already, so losing the rest closes the link. */
		p->pending_err = ERR_BUSY;
		loop_timer_set(p->loop, &p->tick, loop_clock_us());
		return ERR_BUSY;
	}
	p->last_sent_us = loop_clock_us();
	p->sent_at_bytes = p->recv_bytes;
	drop_sent(p);
	g_byte_array_append(p->out, (const guint8 *)frame->buf.data, (guint)len);
	count_held(p);
	if (!p->is_connecting)
		flush(k);
	return 0;
}

void link_end_sending(struct link *k)
{
	if (k->priv->is_dead || k->priv->is_connecting)
		return;
	k->priv->is_ending = true;
	flush(k);
}

int link_send(struct link *k, struct frame_out *frame)
{
	if (!k->priv->is_dead)
		reset_ping_interval(k);
	return link_send_frame(k, frame);
}

static int finish_connect(struct link *k)
{
	struct link_private *p = k->priv;
	socklen_t size = sizeof(int);
	int soerr = 0;

	getsockopt(p->fd.fd, SOL_SOCKET, SO_ERROR, &soerr, &size);
	if (soerr)
		return ERR_REFUSED;
	p->is_connecting = false;
	p->last_recv_us = loop_clock_us();
	link_send_greeting(k);
	return 0;
}

void link_on_ready(void *arg, u32 events)
{
	struct link *k = arg;
	int err = 0;

	if (k->priv->is_connecting && (events & (EPOLLOUT | EPOLLERR | EPOLLHUP)))
		err = finish_connect(k);
	if (!err && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)))
		err = read_some(k);
	if (err) {
		fail(k, err);
		return;
	}
	if (!k->priv->is_dead && (events & EPOLLOUT))
		flush(k);
}

static bool is_silent(const struct link_private *p, u64 now_us)
{
	return p->ping_sent_us && now_us > p->ping_sent_us + LINK_PONG_TIMEOUT_US &&
	       now_us > p->last_recv_us + LINK_SILENCE_TIMEOUT_US;
}

/* Returns 0, or the error that closes the link at this time. */
static int check_timeouts(const struct link *k, u64 now_us)
{
	struct link_private *p = k->priv;

	if (p->pending_err)
		return p->pending_err;
	if (p->is_connecting && now_us - p->start_us >= p->connect_timeout_us)
		return ERR_TIMEOUT;
	if (!k->is_up && now_us - p->start_us > LINK_SILENCE_TIMEOUT_US)
		return ERR_TIMEOUT;
	if (link_is_stalled(p, now_us)) {
		ctr_inc(CTR_LINK_STALLED);
		log_event(LOG_WARN, "link stalled", "peer", k->remote.name ? k->remote.name : "",
			  "queued_bytes", log_u64(link_queued_bytes(k)), NULL);
		return ERR_BUSY;
	}
	return is_silent(p, now_us) ? ERR_TIMEOUT : 0;
}

u64 link_next_tick_us(const struct link_private *p, u64 now_us)
{
	/* An unanswered PING is checked at the shortest interval. */
	u64 next_us = now_us + (p->ping_sent_us ? LINK_PING_INTERVAL_MIN_US : p->ping_interval_us);

	return p->is_connecting ? MIN(next_us, p->start_us + p->connect_timeout_us) : next_us;
}

/* Received data makes a PING unnecessary, except that the clock offset needs a regular PONG. */
static bool is_ping_due(const struct link_private *p, u64 now_us)
{
	return !p->ping_sent_us && (now_us >= p->last_recv_us + p->ping_interval_us ||
				    now_us >= p->last_pong_us + LINK_PING_INTERVAL_MAX_US);
}

static void back_off_pings(struct link_private *p, u64 now_us)
{
	if (now_us >= p->last_used_us + p->ping_interval_us)
		p->ping_interval_us = MIN(p->ping_interval_us * 2, LINK_PING_INTERVAL_MAX_US);
}

void link_on_tick(void *arg, u64 now_us)
{
	struct link *k = arg;
	struct link_private *p = k->priv;
	int err = 0;

	/* If this process was suspended, unread data may show that the peer is alive. */
	if (is_silent(p, now_us) && !p->is_connecting)
		err = read_some(k);
	if (p->is_dead)
		return;
	if (!err)
		err = check_timeouts(k, loop_clock_us());
	if (err) {
		fail(k, err);
		return;
	}
	if (k->is_up && is_ping_due(p, now_us))
		link_send_ping(k);
	back_off_pings(p, now_us);
	loop_timer_set(p->loop, &p->tick, link_next_tick_us(p, now_us));
}

bool link_is_connecting(const struct link *k)
{
	return k->priv->is_connecting;
}

void link_ping(struct link *k)
{
	if (k->is_up)
		link_send_ping(k);
}

u64 link_received_bytes(const struct link *k)
{
	return k->priv->recv_bytes;
}

u64 link_silence_us(const struct link *k, u64 now_us)
{
	return now_us > k->priv->last_recv_us ? now_us - k->priv->last_recv_us : 0;
}

u64 link_unused_us(const struct link *k, u64 now_us)
{
	return now_us > k->priv->last_used_us ? now_us - k->priv->last_used_us : 0;
}
