/*
 * view - the part of the directory that one node receives: a subset of the upstreams of each
 * service that it subscribes to
 *
 * A state machine over the directory, without network I/O. A node that calls a service uses a
 * subset of its upstreams (wire/subset.h). It receives only these: each one when it joins the
 * subset, and again when it changes. A change of one upstream costs a view the comparison with its
 * candidates (control/candidates.h); all upstreams of a service are looked at only for the first
 * subset, after many changes at once, and when too many candidates have left.
 *
 * SOURCE control/view.c
 */
#ifndef VIEW_H
#define VIEW_H

#include "control/directory.h"

/* Changes collected at a time, about 10 KB; up to the size of a subset more. */
#define VIEW_CHANGES_MAX 128

struct view {
	char *node;
	char *zone;
	char *region;
	GHashTable *subscriptions; /* service -> struct view_service */
	GHashTable *sent; /* node (GRefString) -> directory_item.seq that was sent last */
	u64 seed; /* subset_seed of NODE */
	u64 seq; /* directory.seq at the last collection */
	u64 sent_seq; /* directory.seq up to which the changes of SENT are collected */
	bool is_sent_due; /* subscriptions have changed: look at all of SENT */
	bool is_answer_due; /* the node awaits the reply to its subscription */
	u32 nodes; /* number in the whole directory, as sent last */
	u64 looks; /* upstreams looked at so far: the work done */
};

/* One change to send. */
struct view_change {
	const struct directory_item *item;
	bool is_dropped; /* still up, but no longer in a subset */
};

void view_init(struct view *v, const char *node, const char *zone, const char *region);
void view_clear(struct view *v);

/* view_subscribe - replaces the subscriptions; takes ownership of SERVICES, an array of strings. */
void view_subscribe(struct view *v, GPtrArray *services);

/* view_subscribe_more - adds subscriptions to SERVICES, an array of strings. */
void view_subscribe_more(struct view *v, const GPtrArray *services);

/* view_needs_update - returns whether view_collect_changes has to run again. */
bool view_needs_update(const struct view *v, const struct directory *d);

/*
 * view_is_count_stale - returns whether the number of nodes has changed noticeably since it was
 * sent. Nodes divide limits that apply to all of them by this number.
 */
bool view_is_count_stale(const struct view *v, const struct directory *d);

/*
 * view_collect_changes - returns the changes that the node lacks (struct view_change), about
 * VIEW_CHANGES_MAX at a time, and marks them as sent; free the array. If it returns that many, more
 * may be due (view_needs_update). Adds the names of the services that were subscribed to and whose
 * upstreams are all sent with this call, unless they were before, to ANSWERED.
 */
GArray *view_collect_changes(struct view *v, const struct directory *d, GPtrArray *answered);

#endif
