/*
 * config_receive - the configuration stream that a node is receiving
 *
 * Parts are inflated as they come, and each frame inside is handled as soon as it is complete. What
 * was received stays when the node moves to another control process, which goes on from there if it
 * has the same stream.
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

struct config_receive {
	const struct config_receive_ops *ops;
	void *arg;
	struct config_stream_id stream;
	u64 total; /* bytes of the stream; 0: none */
	u64 received;
	bool is_usable; /* the rest may follow */
	bool has_ended; /* the end of the deflated bytes was read */
	z_stream z;
	GByteArray *inflated; /* of a frame that is not complete yet */
};

void config_receive_init(struct config_receive *r, const struct config_receive_ops *ops, void *arg);
void config_receive_clear(struct config_receive *r);

/*
 * config_receive_part - takes the next part, or the first one of another stream. Returns 0, or
 * ERR_INVAL if it is neither, if it doesn't inflate to whole frames, or if a frame was refused;
 * the stream is dropped then.
 */
int config_receive_part(struct config_receive *r, const struct config_part *p);

/* config_receive_is_complete - returns whether all of the stream was received. */
bool config_receive_is_complete(const struct config_receive *r);

/* config_receive_drop - the rest of the stream is not wanted. It may be called from frame(). */
void config_receive_drop(struct config_receive *r);

/* config_receive_describe - sets the stream, if the rest of one is wanted, and its bytes in Q. */
void config_receive_describe(const struct config_receive *r, struct config_request *q);

#endif
