/*
 * config_receive - the configuration stream that a node is receiving
 *
 * Parts wait until they are worked on, in turns that are bounded whatever a part inflates to. Each
 * frame inside is handled as soon as it is complete. What was received stays when the node moves to
 * another control process, which goes on from there if it has the same stream.
 *
 * SOURCE node/config_receive.c
 */
#ifndef CONFIG_RECEIVE_H
#define CONFIG_RECEIVE_H

#include "wire/config_part.h"

#include <glib.h>
#include <zlib.h>

struct config_receive_ops {
	/* begin - a stream begins; what was collected from an unfinished one is void. */
	void (*begin)(void *arg);
	/* frame - handles one frame of the stream; an error ends it. */
	int (*frame)(void *arg, u32 type, struct frame_in *in);
};

/* A part that waits. */
struct config_receive_part {
	u64 request;
	size_t len;
	u8 bytes[];
};

struct config_receive {
	const struct config_receive_ops *ops;
	void *arg;
	struct config_stream_id stream;
	u64 total; /* bytes of the stream; 0: none */
	u64 received; /* of the parts that were handled */
	u64 taken; /* with those that wait */
	u64 request; /* of the part that was worked on last */
	bool is_usable; /* the rest may follow */
	bool has_ended; /* the end of the deflated bytes was read */
	z_stream z;
	GByteArray *inflated; /* frames that were not handled yet */
	GQueue waiting; /* of struct config_receive_part; the first is being worked on if IN_PART */
	bool is_in_part;
	bool may_inflate; /* more may come of the part */
};

void config_receive_init(struct config_receive *r, const struct config_receive_ops *ops, void *arg);
void config_receive_clear(struct config_receive *r);

/*
 * config_receive_part - takes the next part, or the first one of another stream, to be worked on.
 * Returns 0, or ERR_INVAL if it is neither or more than a window waits; the stream is dropped then.
 */
int config_receive_part(struct config_receive *r, const struct config_part *p);

/* config_receive_has_work - returns whether parts wait. */
bool config_receive_has_work(const struct config_receive *r);

/*
 * config_receive_work - works on the parts that wait, for one turn. Returns 0, or ERR_INVAL if they
 * don't inflate to whole frames, or if a frame was refused; the stream is dropped then.
 */
int config_receive_work(struct config_receive *r);

/* config_receive_is_complete - returns whether all of the stream was handled. */
bool config_receive_is_complete(const struct config_receive *r);

/* config_receive_drop - the rest of the stream is not wanted. It may be called from frame(). */
void config_receive_drop(struct config_receive *r);

/* config_receive_describe - sets the stream, if the rest of one is wanted, and its bytes in Q. */
void config_receive_describe(const struct config_receive *r, struct config_request *q);

#endif
