/*
 * delta - the difference between two texts that share most of their content
 *
 * Meant for texts of many objects in braces, such as sets of declarations. A text
 * is split into chunks, each ending after a closing brace. A delta copies the
 * chunks that the old text contains, by offset, and carries the others as text.
 *
 * ERRORS delta_apply returns NULL for a delta that does not fit; delta_get sets in->err
 * SOURCE lib/delta.c
 */
#ifndef DELTA_H
#define DELTA_H

#include "lib/frame.h"
#include "lib/types.h"

#include <glib.h>

#define DELTA_OPS_MAX (64 * 1024)
/* Bounds the result, since the operations of one frame may copy the old text many times. */
#define DELTA_TEXT_MAX_BYTES FRAME_MAX_BYTES

/* Copies a range of the old text, or inserts TEXT. */
struct delta_op {
	u64 from; /* offset in the old text */
	u64 len; /* bytes of the old text; 0 to insert TEXT */
	const char *text;
	size_t text_len;
};

/* delta_make - returns an array of struct delta_op whose texts point into NEW_TEXT. */
GArray *delta_make(const char *old_text, const char *new_text);

/* delta_bytes - returns the approximate size of the delta in a frame. */
size_t delta_bytes(const GArray *ops);

/* delta_apply - returns the new text, to be freed with g_free, or NULL. */
char *delta_apply(const char *old_text, const GArray *ops);

void delta_put(struct frame_out *f, const GArray *ops);

/* delta_get - returns an array whose texts point into the frame; sets in->err if malformed. */
GArray *delta_get(struct frame_in *in);

#endif
