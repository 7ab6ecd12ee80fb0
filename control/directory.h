/*
 * directory - the nodes and their upstreams, as versioned soft state
 *
 * Each entry has one writer, its node, so no agreement is needed: the newest
 * (incarnation, version) wins. An entry belongs to the control process that
 * its node is linked to; that process renews it for the others. An entry that
 * is not renewed expires and is kept as a tombstone for a time, so that an old
 * copy does not bring it back.
 *
 * UNITS microseconds
 * SOURCE control/directory.c
 */
#ifndef DIRECTORY_H
#define DIRECTORY_H

#include "wire/dir_entry.h"

#include <glib.h>

#define DIRECTORY_TTL_US (5 * US_PER_S)
#define DIRECTORY_TOMBSTONE_US (600 * US_PER_S)

struct directory_item {
	struct dir_entry entry;
	u32 owner; /* id of the control process that renews it */
	u64 renewed_us;
	u64 seq; /* local order of changes */
	u64 applied_revision; /* of the node's configuration, as last told */
};

struct directory {
	GHashTable *items; /* node -> struct directory_item */
	u64 seq;
};

void directory_init(struct directory *d);
void directory_clear(struct directory *d);

/*
 * directory_put - take E when it is newer than what is known, or renew the
 * same one. Returns 1 when something changed, 0 for a renewal, ERR_CONFLICT
 * for an older entry.
 */
int directory_put(struct directory *d, const struct dir_entry *e, u32 owner, u64 now_us);

/* directory_renew - the node's own renewal; ERR_NOTFOUND when it must register again. */
int directory_renew(struct directory *d, const char *node, u64 incarnation, u64 now_us);

/* directory_renew_owned - the control process OWNER is alive and renews its entries. */
void directory_renew_owned(struct directory *d, u32 owner, u64 now_us);

/* directory_expire - mark what was not renewed as gone; returns how many changed. */
u32 directory_expire(struct directory *d, u64 now_us);

/* directory_since - items changed after SEQ in order, to be freed as an array. */
GPtrArray *directory_since(const struct directory *d, u64 seq);
struct directory_item *directory_find(const struct directory *d, const char *node);

#endif
