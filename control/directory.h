/*
 * directory - the nodes and their upstreams, as versioned soft state
 *
 * Each entry has a single writer, its node, so no consensus is needed: the
 * highest (incarnation, version) wins. The control process at which the node
 * registered that version owns the entry. Only the owner receives the renewals;
 * when they stop, it withdraws the entry and increments owner_rev. The other
 * processes keep the entry as long as they receive the owner's heartbeats,
 * directly or relayed by another process.
 *
 * Time during which this process was suspended does not count as silence of
 * others. A removed entry is kept as a tombstone for DIRECTORY_TOMBSTONE_TTL_US,
 * so that a stale copy does not bring it back.
 *
 * UNITS microseconds
 * SOURCE control/directory.c
 */
#ifndef DIRECTORY_H
#define DIRECTORY_H

#include "wire/dir_entry.h"
#include "wire/withdrawal.h"

#include <glib.h>

#define DIRECTORY_TTL_US (5 * US_PER_S)
#define DIRECTORY_TOMBSTONE_TTL_US (600 * US_PER_S)
/* A longer gap between two calls of directory_expire means that the process was suspended. */
#define DIRECTORY_SUSPENDED_MIN_US (2 * US_PER_S)

struct directory_item {
	struct dir_entry entry; /* as the node registered it */
	struct withdrawal withdrawal; /* the newest of the node, also of an earlier incarnation */
	u32 owner; /* control id */
	u64 owner_incarnation;
	u64 owner_rev;
	bool has_expired; /* the owner no longer receives renewals */
	bool is_owner_silent; /* no heartbeats from the owner; local to this process */

	u32 from; /* control id that sent this change, 0 for a local one */
	u64 renewed_us; /* at the owner: last renewal; elsewhere: last merge */
	u64 gone_us; /* when the item became DIR_GONE; 0 otherwise */
	u64 seq; /* position in the local order of changes */
	u64 applied_revision; /* at the owner: configuration revision that the node applied */
	GList link; /* in directory.order */
	struct directory_service *service; /* NULL unless the upstream is up */
	bool is_counted; /* included in directory.nodes */
};

/* The upstreams of one service. */
struct directory_service {
	GPtrArray *up; /* of struct directory_item */
	GQueue changed; /* names of nodes that joined, left or moved last, owned; newest last */
	u64 changes; /* number of all these since the start */
};

/* Liveness of a control process. Only the process itself increments heartbeat_seq. */
struct directory_owner {
	u64 incarnation;
	u64 heartbeat_seq;
	u64 heard_us; /* when the last newer heartbeat arrived, moved by suspensions since */
	u64 alive_us; /* when the owner sent it, for those it is relayed to */
};

struct directory {
	u32 self;
	u64 incarnation; /* of this process */
	GHashTable *items; /* node -> struct directory_item */
	GHashTable *owners; /* control id -> struct directory_owner */
	GQueue order; /* of struct directory_item, by seq */
	GHashTable *services; /* name -> struct directory_service */
	u32 nodes; /* number of nodes that are not gone */
	u64 seq;
	u64 removed_seq; /* seq when a tombstone was last removed */
	u64 last_expire_us;
};

void directory_init(struct directory *d, u32 self, u64 incarnation);
void directory_clear(struct directory *d);

/*
 * directory_register - registers E, received from the node itself, and makes
 * this process the owner. Returns 1 when something changed, 0 when the entry is
 * already known (a renewal), ERR_CONFLICT when a newer one is known.
 */
int directory_register(struct directory *d, const struct dir_entry *e, u64 now_us);

/* directory_withdraw - keeps W, received from NODE, if it is newer than the known one. */
void directory_withdraw(struct directory *d, const char *node, const struct withdrawal *w);

/*
 * directory_merge - merges COPY, received from the control process FROM. Only its
 * entry, its owner fields, has_expired and its withdrawal are read; the newest withdrawal is
 * kept, whichever entry is newer. Returns as directory_register.
 */
int directory_merge(struct directory *d, const struct directory_item *copy, u32 from, u64 now_us);

/* directory_renew - records a renewal by NODE; ERR_NOTFOUND when it must register again. */
int directory_renew(struct directory *d, const char *node, u64 incarnation, u64 now_us);

/*
 * directory_record_heartbeat - returns true when this heartbeat of OWNER, heard at NOW_US, is
 * newer. One of a lower incarnation is newer if the higher one was silent for DIRECTORY_TTL_US.
 */
bool directory_record_heartbeat(struct directory *d, u32 owner, u64 incarnation, u64 heartbeat_seq,
				u64 now_us);

/*
 * directory_expire - ends own entries that were not renewed, hides entries whose
 * owner is silent, and shows them again once the owner is back. Also removes old
 * tombstones. Returns the number of entries that changed.
 */
u32 directory_expire(struct directory *d, u64 now_us);

/* directory_state - returns DIR_GONE when ITEM has expired or its owner is silent. */
enum dir_state directory_state(const struct directory_item *item);
bool directory_is_owned_here(const struct directory *d, const struct directory_item *item);

/* directory_changes_since - returns the items changed after SEQ, in order; free the array. */
GPtrArray *directory_changes_since(const struct directory *d, u64 seq);

/* directory_service - returns NULL when no upstream of the service was ever up. */
const struct directory_service *directory_service(const struct directory *d, const char *name);
struct directory_item *directory_find(const struct directory *d, const char *node);
const struct directory_owner *directory_owner(const struct directory *d, u32 owner);

#endif
