/*
 * recent - the number of the last accepted change of each name
 *
 * The store counts the changes that it accepts, also those that leave its state as it is. A change
 * may name the count that its sender knew (see struct store_change); it is refused if its name was
 * changed since. Names that were changed longest ago are forgotten, in the order of the log, so
 * that all replicas forget the same ones.
 *
 * SOURCE control/recent.c
 */
#ifndef RECENT_H
#define RECENT_H

#include "lib/frame.h"
#include "lib/types.h"

#include <glib.h>

#define RECENT_NAMES_MAX 1024

struct recent {
	u64 serial; /* of the last accepted change */
	u64 forgotten; /* names that are not in the table were last changed at or before this one */
	GHashTable *names; /* name -> struct recent_change */
	GQueue order; /* of struct recent_change, oldest first */
};

void recent_init(struct recent *r);
void recent_clear(struct recent *r);

/* recent_add - counts a change of NAME. */
void recent_add(struct recent *r, const char *name);

/* recent_add_at - the same, with SERIAL, which must be above that of all earlier changes. */
void recent_add_at(struct recent *r, const char *name, u64 serial);

/* recent_is_after - returns whether NAME was changed after SERIAL, or may have been. */
bool recent_is_after(const struct recent *r, const char *name, u64 serial);

/* recent_put, recent_get - append the table to a frame; read it into an empty one. */
void recent_put(struct frame_out *f, const struct recent *r);
void recent_get(struct recent *r, struct frame_in *in);

#endif
