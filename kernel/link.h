/*
 * link - a framed TCP connection between two processes of the system
 *
 * Both ends send HELLO first. An end that heard nothing for an interval sends a
 * PING, and closes the link when that is not answered for LINK_PONG_TIMEOUT_US and nothing
 * was heard for LINK_SILENCE_TIMEOUT_US, so a silent cut is noticed. The interval is
 * LINK_PING_INTERVAL_MIN_US while the owners send frames, and doubles up to
 * LINK_PING_INTERVAL_MAX_US on a link that is idle. PONGs give the offset of the remote clock,
 * which makes deadlines comparable on both ends.
 *
 * All functions are called on the loop's thread. A link is freed by this
 * module after down() has returned; the owner drops its pointer there.
 *
 * UNITS microseconds, bytes
 * ERRORS down() gets ERR_CLOSED, ERR_REFUSED, ERR_TIMEOUT (silence),
 * ERR_INVAL (bad frame), ERR_TOOBIG, or ERR_BUSY (the send queue was full)
 * SOURCE kernel/link.c
 */
#ifndef LINK_H
#define LINK_H

#include "kernel/loop.h"
#include "lib/frame.h"

#define LINK_PING_INTERVAL_MIN_US (500 * US_PER_MS)
#define LINK_PING_INTERVAL_MAX_US (8 * US_PER_S)
#define LINK_PONG_TIMEOUT_US (1500 * US_PER_MS)
#define LINK_SILENCE_TIMEOUT_US (2 * US_PER_S)
/*
 * A dial waits for its connection between the two, drawn each time: a short wait finds a VM soon
 * that was not up when it began, a long one gets through a crowded network.
 */
#define LINK_CONNECT_TIMEOUT_MIN_US (250 * US_PER_MS)
#define LINK_CONNECT_TIMEOUT_MAX_US (1 * US_PER_S)
#define LINK_SEND_QUEUE_MAX_BYTES (64 * 1024 * 1024)

/* Frame types below LINK_TYPE_FIRST belong to this module. */
enum { LINK_HELLO = 1, LINK_PING, LINK_PONG, LINK_TYPE_FIRST = 16 };

enum link_role { LINK_NODE = 1, LINK_CONTROL };

/* What a process tells of itself in HELLO. */
struct link_id {
	char *cluster;
	enum link_role role;
	char *name; /* ADDRESS:PEER_PORT */
	char *zone;
	char *region;
	u64 incarnation; /* grows with every start of the process */
	u16 api_port; /* of a control process, else 0 */
};

struct link;

struct link_ops {
	void (*up)(struct link *k); /* HELLO was received and the clock offset is known */
	int (*frame)(struct link *k, u32 type, struct frame_in *in); /* an error closes the link */
	void (*down)(struct link *k, int err);
};

struct link {
	const struct link_ops *ops;
	void *arg;
	struct link_id remote; /* valid from up() on */
	bool is_up;
	u64 rtt_us; /* smoothed round trip; 0 before the first PONG */
	i64 clock_offset_us; /* remote clock minus own clock */
	bool has_clock_offset;
	struct link_private *priv;
};

/* link_is_connecting - no connection yet. */
bool link_is_connecting(const struct link *k);

/* link_dial - connect to HOST:PORT in the background. */
struct link *link_dial(struct loop *l, const struct link_id *self, const char *host, u16 port,
		       const struct link_ops *ops, void *arg);

struct link_listener;

/* link_listen - accept links on HOST:PORT. Returns NULL when the port cannot be bound. */
struct link_listener *link_listen(struct loop *l, const struct link_id *self, const char *host,
				  u16 port, const struct link_ops *ops, void *arg);
void link_stop_listening(struct link_listener *s);

/*
 * link_send - queue the frame; frees nothing of the caller's. Returns 0,
 * ERR_TOOBIG for a frame over the limit, or ERR_BUSY when the queue is full:
 * then the link goes down soon.
 */
int link_send(struct link *k, struct frame_out *frame);

/* link_ping - a PING now, beside those of the interval. */
void link_ping(struct link *k);

/* link_silence_us - since when nothing was heard from the other end. */
u64 link_silence_us(const struct link *k, u64 now_us);

/* link_close - close; down() is not called. */
void link_close(struct link *k);

/* link_queued_bytes - bytes accepted by link_send that the socket has not taken yet. */
size_t link_queued_bytes(const struct link *k);

/*
 * link_to_local_us - a time on the remote clock as a time on the own clock,
 * never later than the true one.
 */
u64 link_to_local_us(const struct link *k, u64 remote_us);

#endif
