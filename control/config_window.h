/*
 * config_window - how many bytes of a transfer may be on their way
 *
 * The window has a floor that is sent without any knowledge of the link. It grows while the time
 * from sending a part to its acknowledgement stays near the smallest one of the transfer: then that
 * time is delay, which more bytes on their way make up for. A longer time is a queue, in which
 * freshness reports and calls wait too; then the window keeps its size, and above a bound of that
 * time it shrinks to what goes through in the delay and a short queue. It grows again when a
 * whole window has been acknowledged, and shrinks again by parts that were sent after it shrank.
 *
 * UNITS bytes, microseconds
 * SOURCE control/config_window.c
 */
#ifndef CONFIG_WINDOW_H
#define CONFIG_WINDOW_H

#include "lib/types.h"
#include "wire/config_part.h"

/* The window doesn't grow when parts wait longer in queues than this, or than half of the delay. */
#define CONFIG_WINDOW_GROW_US (50 * US_PER_MS)
/* The queue that one growth may make. */
#define CONFIG_WINDOW_STEP_US (100 * US_PER_MS)
/* The window shrinks when parts wait longer than this. */
#define CONFIG_WINDOW_QUEUE_US (CONFIG_WINDOW_GROW_US + CONFIG_WINDOW_STEP_US)
#define CONFIG_WINDOW_PARTS (CONFIG_WINDOW_MAX_BYTES / CONFIG_PART_BYTES)

/* A part that is on its way. */
struct config_window_part {
	u32 end; /* offset in the stream */
	u64 sent_us;
};

struct config_window {
	u32 bytes; /* that may be on their way */
	u32 sent; /* offset of the first byte that was not sent */
	u32 grow_at; /* offset that must be acknowledged before it grows again */
	u32 shrink_at; /* the same before it shrinks again */
	u64 least_us; /* the shortest time from sending a part to its acknowledgement; 0: none */
	struct config_window_part parts[CONFIG_WINDOW_PARTS]; /* a ring */
	u32 first;
	u32 count;
};

/* config_window_init - begins at the floor, for a transfer from OFFSET on. */
void config_window_init(struct config_window *w, u32 offset);

/* config_window_has_room - returns whether a part may be sent beside IN_FLIGHT bytes. */
bool config_window_has_room(const struct config_window *w, u32 in_flight);

/* config_window_sent - a part that ends at END was sent. There must have been room. */
void config_window_sent(struct config_window *w, u32 end, u64 now_us);

/* config_window_acknowledged - the node has all bytes before RECEIVED. */
void config_window_acknowledged(struct config_window *w, u32 received, u64 now_us);

#endif
