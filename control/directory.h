/*
 * directory - the nodes and their upstreams, as versioned soft state
 *
 * Each entry has one writer, its node, so no agreement is needed: the newest
 * (incarnation, version) wins. An entry belongs to the control process at
 * which its node registered that version, the owner. Only the owner hears the
 * renewals; it withdraws an entry whose renewals stop and counts that up in
 * owner_rev. The others keep an entry while the owner's beat is heard, from
 * the owner itself or through any third process.
 *
 * Time that this process was stopped does not count as silence of others. What
 * is gone is kept as a tombstone for a time, so that an old copy does not
 * bring it back.
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
/* A longer time between two calls of directory_expire means that the process was stopped. */
#define DIRECTORY_PAUSE_US (2 * US_PER_S)

struct directory_item {
	struct dir_entry entry; /* as the node wrote it */
	u32 owner; /* control id */
	u64 owner_incarnation;
	u64 owner_rev;
	bool is_withdrawn; /* the owner misses the renewals */
	bool is_silent; /* the owner is not heard; the view of this process only */

	u32 from; /* control id that brought this change, or 0 */
	u64 renewed_us; /* at the owner: last renewal; elsewhere: when taken */
	u64 gone_us;
	u64 seq; /* local order of changes */
	u64 applied_revision; /* at the owner: of the node's configuration */
	GList link; /* in the order of seq */
	struct directory_service *service; /* while it is up */
	bool is_counted; /* among the nodes that are there */
};

/* The upstreams of one service. */
struct directory_service {
	GPtrArray *up; /* of struct directory_item */
	u64 seq; /* of the last one that came or went */
};

/* Liveness of a control process, counted up by its only writer, itself. */
struct directory_owner {
	u64 incarnation;
	u64 beat;
	u64 heard_us;
};

struct directory {
	u32 self;
	u64 incarnation; /* of this process */
	GHashTable *items; /* node -> struct directory_item */
	GHashTable *owners; /* control id -> struct directory_owner */
	GQueue order; /* of struct directory_item, by seq */
	GHashTable *services; /* name -> struct directory_service */
	u32 nodes; /* that are not gone */
	u64 seq;
	u64 checked_us;
};

void directory_init(struct directory *d, u32 self, u64 incarnation);
void directory_clear(struct directory *d);

/*
 * directory_register - the node itself brings E to this process, which
 * becomes the owner. Returns 1 when something changed, 0 for the same entry
 * again (a renewal), ERR_CONFLICT for an older entry.
 */
int directory_register(struct directory *d, const struct dir_entry *e, u64 now_us);

/*
 * directory_merge - a copy from the control process FROM. Of COPY the entry
 * and the owner's fields are read. Returns as directory_register.
 */
int directory_merge(struct directory *d, const struct directory_item *copy, u32 from, u64 now_us);

/* directory_renew - the node's own renewal; ERR_NOTFOUND when it must register again. */
int directory_renew(struct directory *d, const char *node, u64 incarnation, u64 now_us);

/* directory_hear - a beat of control process OWNER; true when it is a newer one. */
bool directory_hear(struct directory *d, u32 owner, u64 incarnation, u64 beat, u64 now_us);

/*
 * directory_expire - withdraw what was not renewed, hide what belongs to a
 * silent owner, show it again when the owner is heard. Returns how many changed.
 */
u32 directory_expire(struct directory *d, u64 now_us);

/* directory_state - DIR_GONE for an entry that is withdrawn or whose owner is silent. */
enum dir_state directory_state(const struct directory_item *item);
bool directory_is_own(const struct directory *d, const struct directory_item *item);

/* directory_since - items changed after SEQ in order, to be freed as an array. */
GPtrArray *directory_since(const struct directory *d, u64 seq);

/* directory_service - NULL while no upstream of it was ever up. */
const struct directory_service *directory_service(const struct directory *d, const char *name);
struct directory_item *directory_find(const struct directory *d, const char *node);
const struct directory_owner *directory_owner(const struct directory *d, u32 owner);

#endif
