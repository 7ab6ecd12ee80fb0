/*
 * config_part - the messages by which a configuration goes from a control process to a node
 *
 * A configuration is a stream of bytes, its frames in deflate form, which goes in parts. The node
 * acknowledges each part, and control sends only a window of bytes beyond those acknowledged, so
 * that other messages on the link wait behind no more than the window. A node that moves to another
 * control process names the stream that it has a part of, and goes on from there if the new one has
 * the same stream.
 *
 * UNITS bytes
 * SOURCE wire/config_part.c
 */
#ifndef CONFIG_PART_H
#define CONFIG_PART_H

#include "lib/frame.h"

#define CONFIG_PART_BYTES (8 * 1024)
/* The window begins with this, and grows no further than to the maximum: see config_window.h. */
#define CONFIG_WINDOW_BYTES (2 * CONFIG_PART_BYTES)
#define CONFIG_WINDOW_MAX_BYTES (16 * CONFIG_PART_BYTES)
/* A stream may not be longer. */
#define CONFIG_STREAM_MAX_BYTES (64 * 1024 * 1024)

/* The frames from one revision of the configuration to another, compressed. */
struct config_stream_id {
	u64 from; /* revision that the node must have; 0 for none */
	u64 to;
	u64 checksum; /* of the bytes */
};

/* CTL_WATCH: what a node has, and that it wants the changes from there on. */
struct config_request {
	u64 number; /* of this request on the node; parts and acknowledgements repeat it */
	/* In force at the node, or of STREAM its `from`; 0 requests the whole configuration. */
	u64 revision;
	struct config_stream_id stream; /* that it has a part of; zeros if none */
	u64 received; /* bytes of that stream */
};

/* CTL_CONFIG_PART: LEN bytes of a stream, beginning at OFFSET. */
struct config_part {
	u64 request;
	struct config_stream_id stream;
	u64 total; /* bytes of the stream */
	u64 offset;
	const void *bytes;
	size_t len;
};

bool config_stream_id_equal(const struct config_stream_id *a, const struct config_stream_id *b);

void config_request_put(struct frame_out *f, const struct config_request *r);

/* config_request_get - returns 0, or ERR_INVAL for a malformed request. */
int config_request_get(struct frame_in *in, struct config_request *r);

/* config_part_put - appends the part with a checksum of its bytes. */
void config_part_put(struct frame_out *f, const struct config_part *p);

/*
 * config_part_get - reads a part; its bytes point into the frame. Returns 0, or ERR_INVAL for a
 * part that is malformed, damaged, empty, or not inside its stream.
 */
int config_part_get(struct frame_in *in, struct config_part *p);

#endif
