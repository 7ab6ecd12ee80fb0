/*
 * delta - the difference between two texts that share most of their parts
 *
 * For texts of many objects in braces, such as sets of declarations: parts end after a
 * closing brace, and parts of the old text are named by their place in it.
 *
 * ERRORS delta_apply and delta_get give NULL for what does not fit
 * SOURCE lib/delta.c
 */
#ifndef DELTA_H
#define DELTA_H

#include "lib/frame.h"
#include "lib/types.h"

#include <glib.h>

#define DELTA_OPS_MAX (64 * 1024)
/* A longer text is not made: the runs of a frame may name the old text again and again. */
#define DELTA_TEXT_MAX_BYTES FRAME_MAX_BYTES

/* One run of the new text. */
struct delta_op {
	u64 from; /* in the old text */
	u64 len; /* bytes of the old text; 0 when TEXT is taken instead */
	const char *text;
	size_t text_len;
};

/* delta_make - an array of struct delta_op whose texts point into NEW_TEXT. */
GArray *delta_make(const char *old_text, const char *new_text);

/* delta_bytes - about what the delta takes in a frame. */
size_t delta_bytes(const GArray *ops);

/* delta_apply - the new text, to be freed, or NULL. */
char *delta_apply(const char *old_text, const GArray *ops);

void delta_put(struct frame_out *f, const GArray *ops);

/* delta_get - an array whose texts point into the frame; in->err is set when it is not sound. */
GArray *delta_get(struct frame_in *in);

#endif
