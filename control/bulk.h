/*
 * bulk - long messages between two control processes, in parts
 *
 * Frames that would take a link long go through a lane: one stream of bytes in parts of
 * BULK_PART_BYTES. Only a window of bytes beyond those that the other end has acknowledged is on
 * its way, so that heartbeats and other short messages on the link wait behind no more than the
 * windows of all lanes. A lane keeps the order of its frames. It begins and ends with its link;
 * what is lost with the link is sent again by its owner.
 *
 * UNITS bytes
 * ERRORS ERR_INVAL for a part or an acknowledgement that does not fit, ERR_TOOBIG for a frame over
 * the size limit
 * SOURCE control/bulk.c
 */
#ifndef BULK_H
#define BULK_H

#include "lib/frame.h"

#include <glib.h>

#define BULK_PART_BYTES (8 * 1024)
/* 52 ms at 10 Mbit/s. */
#define BULK_WINDOW_BYTES (64 * 1024)
/* What is sent beside the lane and not acknowledged may not exceed this. */
#define BULK_DIRECT_BYTES (8 * 1024)

enum bulk_lane { BULK_LOG, BULK_DIRECTORY, BULK_LANES };

struct bulk_out {
	GByteArray *bytes; /* from the first byte not sent on; NULL if there is none */
	guint off; /* of that byte */
	u64 sent; /* since the link is up */
	u64 acknowledged;
};

struct bulk_in {
	GByteArray *bytes; /* of an incomplete frame; NULL if there is none */
	u64 received; /* since the link is up */
};

/* bulk_put - appends a copy of FRAME to the lane. */
void bulk_put(struct bulk_out *b, struct frame_out *frame);

/* bulk_send - calls SEND with the CTL_BULK frames that the window allows. */
void bulk_send(struct bulk_out *b, enum bulk_lane lane,
	       void (*send)(void *arg, struct frame_out *part), void *arg);

/* bulk_acknowledge - the other end has handled RECEIVED bytes. Returns 0 or an error. */
int bulk_acknowledge(struct bulk_out *b, u64 received);

/* bulk_is_sending - returns whether there are bytes that are not acknowledged. */
bool bulk_is_sending(const struct bulk_out *b);

/*
 * bulk_needs_lane - returns whether FRAME has to go through the lane, as earlier frames do, or with
 * DIRECT unacknowledged bytes beside the lane it would be too long.
 */
bool bulk_needs_lane(const struct bulk_out *b, struct frame_out *frame, u64 direct);
void bulk_out_clear(struct bulk_out *b);

/*
 * bulk_receive - handles the LEN bytes of a part: calls HANDLE for each frame that they complete.
 * Returns 0, or an error, also one of HANDLE.
 */
int bulk_receive(struct bulk_in *b, u64 offset, const void *p, size_t len,
		 int (*handle)(void *arg, u32 type, struct frame_in *in), void *arg);
void bulk_in_clear(struct bulk_in *b);

#endif
