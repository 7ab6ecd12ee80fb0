/*
 * recent - the sets that this process gave to nodes lately
 *
 * A node that has one of them gets the difference to the newest instead of the whole,
 * which may be hundreds of kilobytes on a narrow link.
 *
 * SOURCE control/recent.c
 */
#ifndef RECENT_H
#define RECENT_H

#include "lib/types.h"

#include <glib.h>

#define RECENT_SETS 4

struct recent_set {
	u64 revision; /* of the configuration; 0 for an empty place */
	char *json;
	u64 checksum; /* of the text */
};

struct recent {
	struct recent_set sets[RECENT_SETS];
	u32 next;
	u64 from; /* what DIFFERENCE is between; 0 for none */
	u64 to;
	GArray *difference; /* of struct delta_op */
};

void recent_clear(struct recent *r);

/* recent_note - JSON is the set at REVISION. */
void recent_note(struct recent *r, u64 revision, const char *json);

/*
 * recent_difference - from the set at one revision to that at another, or NULL where one is
 * not known any more, or the difference is no shorter than half of the whole. *CHECKSUM is
 * that of the text at TO.
 */
const GArray *recent_difference(struct recent *r, u64 from, u64 to, u64 *checksum);

#endif
