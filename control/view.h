/*
 * view - what one node is told of the directory: its subsets of the services that it wants
 *
 * A state machine over the directory, without network. A node that calls a service uses a
 * subset of its upstreams (wire/subset.h); it is told of these alone, when one of them changes,
 * and when another one takes a place.
 *
 * SOURCE control/view.c
 */
#ifndef VIEW_H
#define VIEW_H

#include "control/directory.h"

struct view {
	char *node;
	char *zone;
	char *region;
	GHashTable *wanted; /* service -> struct view_service */
	GHashTable *told; /* node -> seq of what was told last */
	u64 seq; /* of the directory, when it was last looked at */
	bool is_asked; /* the node waits for an answer */
	u32 nodes; /* in the whole directory, as told last */
};

/* One thing to tell. */
struct view_change {
	const struct directory_item *item;
	bool is_dropped; /* still there, but not of the subset any more */
};

void view_init(struct view *v, const char *node, const char *zone, const char *region);
void view_clear(struct view *v);

/* view_want - the services from now on; takes SERVICES, an array of char. */
void view_want(struct view *v, GPtrArray *services);

/* view_is_due - view_changes would have something to tell. */
bool view_is_due(const struct view *v, const struct directory *d);

/* view_is_count_stale - nodes share bounds among all by their number, told last as another one. */
bool view_is_count_stale(const struct view *v, const struct directory *d);

/*
 * view_changes - what the node lacks (struct view_change), counted as told; to be freed as
 * an array. The names of services that were wanted since the last call are put into ANSWERED.
 */
GArray *view_changes(struct view *v, const struct directory *d, GPtrArray *answered);

#endif
