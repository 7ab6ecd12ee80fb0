/*
 * set_history - the newest set, and what its predecessors contained
 *
 * Of each set the hashes of its routes, services and organisations are kept, so that it is known
 * what a node lacks that has an earlier one. A text is parsed once, and without the routes whose
 * JSON was in the set before it.
 *
 * SOURCE control/set_history.c
 */
#ifndef SET_HISTORY_H
#define SET_HISTORY_H

#include "control/store.h"
#include "lib/set.h"

/* The oldest sets are dropped beyond this: 58 sets of 6,000 routes are kept. */
#define SET_HISTORY_MAX_BYTES (8 * 1024 * 1024)

/* A route, a service or an organisation of a set. */
struct set_item {
	u64 key; /* set_route_key_hash or pmap_hash of the name */
	u32 at; /* index in the list of the set */
	u64 hash; /* set_route_hash, set_service_hash or set_organisation_hash */
};

/* The parts of a set, each of which is compared on its own. */
enum set_part { SET_ROUTES, SET_SERVICES, SET_ORGANISATIONS, SET_PARTS };

struct set_history_entry {
	u64 from; /* the first and last revision at which this set is known to have been in force */
	u64 to;
	GArray *parts[SET_PARTS]; /* of struct set_item, by key */
};

struct set_history {
	GQueue entries; /* of struct set_history_entry, oldest first; the last one is NEWEST */
	size_t bytes;
	struct set *newest; /* NULL if there is no set */
	u64 checksum; /* of the newest set */
	u64 invalid_revision; /* of a set that was not taken, so that it is parsed once */
};

/* What brings a node from one set to the newest. */
struct set_difference {
	GArray *changed[SET_PARTS]; /* of u32, indexes of items to add or replace, ascending */
	GArray *dropped[SET_PARTS]; /* of u64, keys */
};

void set_history_clear(struct set_history *h);

/*
 * set_history_update - makes the set of the store, which is at REVISION, the newest. An invalid
 * set is logged and not taken.
 */
void set_history_update(struct set_history *h, const struct store_item *set, u64 revision);

/*
 * set_history_compare - fills in the difference from the set in force at REVISION, 0 for none, to
 * the newest set. Returns false if the set at REVISION is not known. To be cleared in any case.
 */
bool set_history_compare(const struct set_history *h, u64 revision, struct set_difference *out);
void set_difference_clear(struct set_difference *d);

/* set_history_knows - returns whether the set at REVISION is known; 0 stands for none. */
bool set_history_knows(const struct set_history *h, u64 revision);

/* set_history_has_changed - returns whether the newest set came after REVISION. */
bool set_history_has_changed(const struct set_history *h, u64 revision);

#endif
