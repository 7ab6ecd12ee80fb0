/* link_impl - what the files of link share */
#ifndef LINK_IMPL_H
#define LINK_IMPL_H

#include "kernel/link.h"

#include <glib.h>

struct link_private {
	struct loop *loop;
	const struct link_id *self;
	struct loop_fd fd;
	struct loop_timer tick;
	GByteArray *in;
	GByteArray *out;
	size_t out_off;
	struct held *held; /* may be NULL */
	u64 held_bytes; /* as counted there */
	u64 sent_bytes; /* written to the socket */
	u64 taken_bytes; /* that the other end had acknowledged at taken_us, and none since */
	u64 taken_us;
	struct link_listener *pending_at; /* that accepted it, until it says HELLO; else NULL */
	GList pending; /* in that listener's pending */
	bool is_connecting;
	bool wants_write;
	bool is_dead;
	bool has_hello;
	bool is_ending; /* nothing is sent after what is queued */
	int pending_err; /* closes the link at the next tick */
	u64 recv_bytes;
	u64 sent_at_bytes; /* received bytes when something was last sent */
	u64 last_sent_us;
	u64 last_recv_us; /* time of the last received data */
	u64 ping_sent_us; /* time of the first PING since then; 0 if none was sent */
	u64 ping_interval_us; /* current interval between PINGs */
	u64 last_pong_us; /* time of the last PONG */
	u64 last_used_us; /* time of the owner's last frame, sent or received */
	u64 start_us;
	u64 connect_timeout_us; /* timeout for the TCP connection */
	u64 min_rtt_us;
	u64 min_rtt_at_us;
	u64 offset_rtt_us; /* RTT of the sample that the clock offset comes from */
};

/*
 * link_clock_sample - updates the round-trip time and the clock offset from a PONG that arrived at
 * NOW_US and answers the PING of SENT_US; the other end's clock showed REMOTE_US.
 */
void link_clock_sample(struct link *k, u64 sent_us, u64 remote_us, u64 now_us);

/* link_send_frame - queues FRAME. Returns 0, or a negative error number if the link is closed. */
int link_send_frame(struct link *k, struct frame_out *frame);

/* link_leave_pending - P has said HELLO, or is closed. */
void link_leave_pending(struct link_private *p);

/* link_id_clear - frees what ID holds. */
void link_id_clear(struct link_id *id);

/* link_handle_hello, link_handle_ping, link_handle_pong - handle the frame IN of the other end. */
int link_handle_hello(struct link *k, struct frame_in *in);
int link_handle_ping(struct link *k, struct frame_in *in);
int link_handle_pong(struct link *k, struct frame_in *in);

void link_send_ping(struct link *k);

/* link_send_greeting - sends what each end sends first: HELLO and a PING. */
void link_send_greeting(struct link *k);

/*
 * link_is_stalled - returns whether the other end has taken nothing of what is queued for
 * LINK_STALL_TIMEOUT_US.
 */
bool link_is_stalled(struct link_private *p, u64 now_us);

/* link_next_tick_us - returns when the timer of the link is due next. */
u64 link_next_tick_us(const struct link_private *p, u64 now_us);

/* link_on_ready, link_on_tick - handle events of the socket and of the timer. */
void link_on_ready(void *arg, u32 events);
void link_on_tick(void *arg, u64 now_us);

#endif
