/*
 * link - a TCP connection between two processes of the system that carries frames
 *
 * Both ends send HELLO first. An end that has received nothing for one ping
 * interval sends a PING. It closes the link if the PING is unanswered for
 * LINK_PONG_TIMEOUT_US and nothing was received for LINK_SILENCE_TIMEOUT_US, so
 * a silent network failure is detected. An end that receives a long frame sends ALIVE meanwhile, as
 * its answers to the other's PINGs wait behind that frame. The ping interval is
 * LINK_PING_INTERVAL_MIN_US while the owners send frames, and doubles up to
 * LINK_PING_INTERVAL_MAX_US on an idle link. PONGs carry the remote clock; the
 * offset computed from them makes deadlines comparable on both ends.
 *
 * An end that goes on sending, but takes nothing of what is queued for it for
 * LINK_STALL_TIMEOUT_US, is closed as well.
 *
 * Before its HELLO the other end may send frames of at most 1 KB. A listener keeps at most one in
 * DESCRIPTORS_PENDING_LINKS_SHARE of the descriptors for links without a HELLO; beyond that, or
 * without descriptors, the oldest of them is closed.
 *
 * All functions must be called on the loop's thread. This module frees the link
 * after down() has returned; the owner must drop its pointer there.
 *
 * UNITS microseconds, bytes
 * ERRORS down() gets ERR_CLOSED, ERR_REFUSED, ERR_TIMEOUT (no connection, or silence),
 * ERR_INVAL (malformed frame), ERR_TOOBIG, or ERR_BUSY (the send queue was full,
 * or the other end takes nothing of it)
 * SOURCE kernel/link.c, kernel/link_handshake.c, kernel/link_clock.c, kernel/link_open.c,
 * kernel/link_stall.c
 */
#ifndef LINK_H
#define LINK_H

#include "kernel/loop.h"
#include "lib/frame.h"
#include "lib/held.h"

#define LINK_PING_INTERVAL_MIN_US (500 * US_PER_MS)
#define LINK_PING_INTERVAL_MAX_US (8 * US_PER_S)
#define LINK_PONG_TIMEOUT_US (1500 * US_PER_MS)
#define LINK_SILENCE_TIMEOUT_US (2 * US_PER_S)
/*
 * The connect timeout is drawn at random from this range for each dial: a short one reconnects
 * soon to a VM that has just come up, a long one succeeds over a congested network.
 */
#define LINK_CONNECT_TIMEOUT_MIN_US (250 * US_PER_MS)
#define LINK_CONNECT_TIMEOUT_MAX_US (1 * US_PER_S)
#define LINK_STALL_TIMEOUT_US (10 * US_PER_S)
#define LINK_SEND_QUEUE_MAX_BYTES (64 * 1024 * 1024)

/* Frame types below LINK_TYPE_FIRST are reserved for this module. */
enum { LINK_HELLO = 1, LINK_PING, LINK_PONG, LINK_ALIVE, LINK_TYPE_FIRST = 16 };

enum link_role { LINK_NODE = 1, LINK_CONTROL };

/* Identity that a process sends in HELLO. */
struct link_id {
	char *cluster;
	enum link_role role;
	char *name; /* ADDRESS:PEER_PORT */
	char *zone;
	char *region;
	u64 incarnation; /* increases with every start of the process */
	u16 api_port; /* of a control process; 0 for a node */
};

struct link;

struct link_ops {
	void (*up)(struct link *k); /* HELLO and the first PONG were received */
	int (*frame)(struct link *k, u32 type, struct frame_in *in); /* an error closes the link */
	void (*down)(struct link *k, int err);
};

struct link {
	const struct link_ops *ops;
	void *arg;
	struct link_id remote; /* valid from up() on */
	bool is_up;
	u64 rtt_us; /* smoothed round-trip time; 0 before the first PONG */
	i64 clock_offset_us; /* remote clock minus local clock */
	bool has_clock_offset;
	struct link_private *priv;
};

/* link_is_connecting - returns whether the TCP connection is not established yet. */
bool link_is_connecting(const struct link *k);

/* link_dial - connects to HOST:PORT in the background; returns NULL if that fails at once. */
struct link *link_dial(struct loop *l, const struct link_id *self, const char *host, u16 port,
		       const struct link_ops *ops, void *arg);

struct link_listener;

/* link_listen - accepts links on HOST:PORT; returns NULL if the port cannot be bound. */
struct link_listener *link_listen(struct loop *l, const struct link_id *self, const char *host,
				  u16 port, const struct link_ops *ops, void *arg);
void link_stop_listening(struct link_listener *s);

/*
 * link_send - queues a copy of FRAME; the caller keeps ownership. Returns 0,
 * ERR_CLOSED, ERR_TOOBIG for a frame over the size limit, or ERR_BUSY if the
 * queue is full; the link then goes down soon.
 */
int link_send(struct link *k, struct frame_out *frame);

/* link_ping - sends a PING now, in addition to the periodic ones. */
void link_ping(struct link *k);

/* link_silence_us - returns the time since data was last received from the other end. */
u64 link_silence_us(const struct link *k, u64 now_us);

/*
 * link_unused_us - returns the time since a frame of the owners was last sent or received, or since
 * the link was opened if there was none.
 */
u64 link_unused_us(const struct link *k, u64 now_us);

/* link_close - closes and frees the link; down() is not called. */
void link_close(struct link *k);

/*
 * link_end_sending - ends the sending direction after what is queued; later frames are refused. The
 * other end closes the link once it has read all. Closing at once would reset the connection if
 * bytes of the other end are unread, and what is on its way would be lost.
 */
void link_end_sending(struct link *k);

/* link_queued_bytes - returns the bytes queued by link_send that are not yet in the socket. */
size_t link_queued_bytes(const struct link *k);

/* link_set_held - counts what the link holds in the account HELD, until it is closed. */
void link_set_held(struct link *k, struct held *held);

/* link_received_bytes - returns the bytes received so far, with those of an incomplete frame. */
u64 link_received_bytes(const struct link *k);

/*
 * link_to_local_us - converts a time on the remote clock to the local clock. The
 * result is never later than the true time.
 */
u64 link_to_local_us(const struct link *k, u64 remote_us);

#endif
