/*
 * push - the frames that bring nodes from one revision of the configuration to the newest
 *
 * Most nodes have the same revision when a change comes, or none after a start, so the frames
 * are made once for all of them. Long ones are packed (lib/pack.h): links of nodes are narrow,
 * and calls wait behind what is sent to them.
 *
 * SOURCE control/push.c
 */
#ifndef PUSH_H
#define PUSH_H

#include "control/recent.h"
#include "control/store.h"

#define PUSH_KEPT 2

struct push_frames {
	u64 to; /* 0 for an empty place */
	u64 from;
	GPtrArray *frames; /* of struct frame_out */
};

struct push {
	struct recent recent;
	struct push_frames kept[PUSH_KEPT];
	u32 next;
};

/*
 * push_frames_for - from revision FROM (0 for none) to that of the store. Valid until the next
 * call.
 */
GPtrArray *push_frames_for(struct push *p, const struct store *s, u64 from);
void push_clear(struct push *p);

#endif
