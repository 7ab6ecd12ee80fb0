/*
 * evacuation - availability zones whose upstreams are to get no calls, as items of the store
 *
 * An evacuation is an item named by its zone. It is replicated, and comes into force at the nodes,
 * like a declared service, and no service can have such a name.
 *
 * SOURCE control/evacuation.c
 */
#ifndef EVACUATION_H
#define EVACUATION_H

#include "control/store.h"

/* With the terminating NUL. */
#define EVACUATION_ZONE_BYTES 64

/* evacuation_is_zone - returns whether TEXT can be the name of a zone. */
bool evacuation_is_zone(const char *text);

/* evacuation_item_name - returns the name of the item for ZONE; the caller frees it. */
char *evacuation_item_name(const char *zone);

/* evacuation_zone - returns the zone of the item called NAME, NULL if it is no evacuation. */
const char *evacuation_zone(const char *name);

/* evacuation_zones - returns the evacuated zones by name, for g_ptr_array_unref; owned by S. */
GPtrArray *evacuation_zones(const struct store *s);

#endif
