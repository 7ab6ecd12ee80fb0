/*
 * store - the declared services, as a state machine fed by the log
 *
 * Every replica applies the same commands in the same order, so equal index
 * means equal state. A change id is remembered with its first answer; the
 * oldest are forgotten by log position, so all replicas agree.
 *
 * SOURCE control/store.c
 */
#ifndef STORE_H
#define STORE_H

#include "lib/frame.h"
#include "lib/types.h"

#include <glib.h>

#define STORE_CHANGE_IDS_MAX 16384
#define STORE_TOMBSTONES_MAX 4096
#define STORE_CHANGE_ID_MAX_BYTES 128

enum store_op { STORE_PUT = 1, STORE_DELETE, STORE_SET };

/*
 * A change as it stands in the log. JSON is the canonical form of the service.
 * STORE_SET replaces the whole set: JSON is the text as it was sent, VERSION its
 * own version number, which must be above that of the set before.
 */
struct store_change {
	enum store_op op;
	char *name;
	bool has_if_match;
	u64 if_match;
	char *change_id; /* "" when the operator gave none */
	char *json;
	u64 version; /* STORE_SET only */
};

struct store_result {
	/* 200, 201, 404, 409, 412 (a set on another one), 422 (change id used for another change)
	 */
	u16 status;
	u64 version; /* of the resource; after 409 the current one, 0 when there is none */
	u64 revision;
	bool is_repeat;
};

struct store_item {
	char *name;
	u64 version;
	u64 revision; /* of the last change */
	char *json; /* NULL after a deletion */
};

struct store {
	GHashTable *items; /* name -> struct store_item */
	u64 revision;
	u64 floor_revision; /* deletions up to here may be forgotten */
	u64 version_floor; /* new services start above */
	GHashTable *changes; /* change id -> struct change_memo */
	GQueue *change_order;
	u32 tombstones;
};

void store_init(struct store *s);
void store_clear(struct store *s);

GBytes *store_change_pack(const struct store_change *c);
int store_change_unpack(struct store_change *c, GBytes *data);
void store_change_clear(struct store_change *c);

/* store_apply - carry out one command of the log. */
void store_apply(struct store *s, GBytes *command, struct store_result *out);

/* store_find - the service called NAME, or NULL when it does not exist. */
const struct store_item *store_find(const struct store *s, const char *name);

/*
 * store_since - the items changed after REVISION, in order of revision, to be
 * freed as an array. *IS_SNAPSHOT is set when deletions before may be missing
 * and the items are the whole state.
 */
GPtrArray *store_since(const struct store *s, u64 revision, bool *is_snapshot);

/* store_item_put - append ITEM to a frame, as the log's snapshot and the nodes get it. */
void store_item_put(struct frame_out *f, const struct store_item *item);

GBytes *store_snapshot(const struct store *s);
int store_restore(struct store *s, GBytes *data);

#endif
