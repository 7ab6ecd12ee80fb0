/*
 * config_frames - the frames that bring nodes from one revision of the configuration to the newest
 *
 * Most nodes need the same frames: after a change they have the revision before it, and after a
 * start none. So the frames are made once for all of them. They hold what has changed between the
 * two revisions, in parts that a node handles in a short time each. Every control process makes the
 * same frames of the same two revisions.
 *
 * SOURCE control/config_frames.c
 */
#ifndef CONFIG_FRAMES_H
#define CONFIG_FRAMES_H

#include "control/set_history.h"
#include "control/store.h"

/* A frame is ended when it has this many steps or bytes. */
#define CONFIG_FRAME_STEPS_MAX 256
#define CONFIG_FRAME_BYTES (8 * 1024)
/* After a change all nodes need one of two: since the revision before it, or the whole. */
#define CONFIG_FRAMES_ENTRIES 2

/*
 * Of changes that are applied together all but the last are observed only within this time, and if
 * they have no more bytes than this: 4 ms of parsing.
 */
#define CONFIG_FRAMES_EARLY_US (5 * US_PER_MS)
#define CONFIG_FRAMES_EARLY_BYTES (64 * 1024)

struct config_frames_entry {
	u64 from;
	u64 to;
	GPtrArray *frames; /* of struct frame_out; NULL for an unused entry */
};

struct config_frames {
	struct set_history set_history;
	struct config_frames_entry entries[CONFIG_FRAMES_ENTRIES];
	u32 next_entry;
	size_t unobserved_bytes; /* of the changes since the last observation */
	u64 early_us; /* spent on observations before changes since the last other one */
};

/*
 * config_frames_base - returns FROM if the changes since then are known, else 0: all nodes whose
 * revision is not known get the same frames, the whole configuration.
 */
u64 config_frames_base(struct config_frames *c, const struct store *s, u64 from);

/*
 * config_frames_get - returns the frames from revision FROM, 0 for none, to that of the store: the
 * whole configuration if what it was at FROM is not known. They are valid until the next call.
 */
const GPtrArray *config_frames_get(struct config_frames *c, const struct store *s, u64 from);

/*
 * config_frames_observe - notes the configuration of the store, so that nodes that get it from
 * another control process can get the difference from it. Needed after the changes that are applied
 * together.
 */
void config_frames_observe(struct config_frames *c, const struct store *s);

/*
 * config_frames_before_change - a change of BYTES will be applied. Observes what the one before it
 * made, if that is short and there is time for it: a member that was behind applies hundreds of
 * changes together.
 */
void config_frames_before_change(struct config_frames *c, const struct store *s, size_t bytes);
void config_frames_clear(struct config_frames *c);

#endif
