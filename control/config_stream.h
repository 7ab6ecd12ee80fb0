/*
 * config_stream - the configuration as streams of bytes, made once for all nodes
 *
 * Most nodes need the same stream: after a change they have the revision before it, and after a
 * start none. So the frames from one revision to another are compressed once, and shared by all
 * transfers. The last streams are kept, also for nodes that come from another control process with
 * a part of one.
 *
 * SOURCE control/config_stream.c
 */
#ifndef CONFIG_STREAM_H
#define CONFIG_STREAM_H

#include "control/config_frames.h"
#include "wire/config_part.h"

/* Also streams to earlier revisions, as nodes may have a part of one for many changes. */
#define CONFIG_STREAMS_KEPT 16

struct config_stream {
	struct config_stream_id id;
	GByteArray *bytes;
	u32 refs;
};

struct config_streams {
	struct config_frames frames;
	struct config_stream *kept[CONFIG_STREAMS_KEPT];
	u32 next;
};

/* config_stream_new - makes a stream of FRAMES; returns NULL if they can't be compressed. */
struct config_stream *config_stream_new(u64 from, u64 to, const GPtrArray *frames);
void config_stream_unref(struct config_stream *s);

/*
 * config_streams_get - returns a reference to the stream from revision FROM, 0 for none, to the
 * revision of the store; from 0 if what changed since FROM is not known. NULL on an error, which is
 * logged.
 */
struct config_stream *config_streams_get(struct config_streams *c, const struct store *s, u64 from);

/* config_streams_find - returns a reference to stream ID if it is kept or can be made, or NULL. */
struct config_stream *config_streams_find(struct config_streams *c, const struct store *s,
					  const struct config_stream_id *id);
void config_streams_clear(struct config_streams *c);

#endif
