/*
 * set_history - the sets that this process recently sent to nodes
 *
 * A node that has one of them receives a delta to the newest set instead of the whole
 * set, which may be hundreds of kilobytes over a slow link.
 *
 * SOURCE control/set_history.c
 */
#ifndef SET_HISTORY_H
#define SET_HISTORY_H

#include "lib/types.h"

#include <glib.h>

#define SET_HISTORY_ENTRIES 4

struct set_history_entry {
	u64 revision; /* of the configuration; 0 for an unused entry */
	char *json;
	u64 checksum; /* of JSON */
};

struct set_history {
	struct set_history_entry sets[SET_HISTORY_ENTRIES];
	u32 next_slot;
	u64 delta_from; /* revision that the cached delta applies to, 0 when there is none */
	u64 delta_to; /* revision that the cached delta results in */
	GArray *delta; /* cached; of struct delta_op */
};

void set_history_clear(struct set_history *h);

/* set_history_add - adds JSON, the set at REVISION. */
void set_history_add(struct set_history *h, u64 revision, const char *json);

/*
 * set_history_delta - returns the delta from the set at revision FROM to the set at TO. Returns
 * NULL when one of them is no longer kept, or when the delta has more than DELTA_OPS_MAX
 * operations or at least half the size of the whole set. Sets *CHECKSUM to that of the JSON
 * at TO.
 */
const GArray *set_history_delta(struct set_history *h, u64 from, u64 to, u64 *checksum);

#endif
