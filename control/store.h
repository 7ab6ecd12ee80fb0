/*
 * store - the declared services, as a state machine driven by the replicated log
 *
 * Every replica applies the same commands in the same order, so replicas at the
 * same index have the same state. The result of each change id is kept, so that a
 * repeated change gets its first result again. The oldest results are evicted in
 * log order, so that all replicas evict the same ones.
 *
 * SOURCE control/store.c, control/store_change.c, control/store_snapshot.c
 */
#ifndef STORE_H
#define STORE_H

#include "control/recent.h"
#include "lib/frame.h"
#include "lib/types.h"

#include <glib.h>

#define STORE_CHANGE_IDS_MAX 16384
#define STORE_TOMBSTONES_MAX 4096
#define STORE_CHANGE_ID_MAX_BYTES 128
/* The names of the set and of operators' orders begin with this; those of services can't. */
#define STORE_RESERVED_PREFIX '/'

enum store_op { STORE_PUT = 1, STORE_DELETE, STORE_SET, STORE_SET_DELTA };

/*
 * A change, as encoded in the log. JSON is the canonical form of the service.
 * STORE_SET replaces the whole set: JSON is the text exactly as sent, VERSION is the
 * operator's version number, which must be higher than that of the current set. STORE_SET_DELTA is
 * the same change with the text as the difference to that of version IF_MATCH. A change with
 * HAS_SEEN is superseded if its name was changed after SEEN, the serial number (see recent.h) that
 * the sender's process had when the client was last known to wait.
 */
struct store_change {
	enum store_op op;
	char *name;
	bool has_if_match;
	u64 if_match;
	bool has_seen;
	u64 seen;
	char *change_id; /* "" when the operator gave none */
	char *json;
	u64 version; /* of a set only */
	GArray *ops; /* STORE_SET_DELTA only, of struct delta_op: point into the command */
	u64 checksum; /* STORE_SET_DELTA only, of the text that results */
};

struct store_result {
	/*
	 * HTTP status: 200, 201, 400 (invalid command), 404, 409 (version conflict), 412
	 * (version conflict of a set), 422 (change id reused for another change)
	 */
	u16 status;
	u64 version; /* of the resource; on a conflict the current one, 0 when it doesn't exist */
	u64 revision;
	bool is_repeat;
	bool is_superseded; /* not executed: a later change came first; the status is 409 */
	/*
	 * Of the store after the change; 0 for a repeated one. Of a change of the group that was
	 * superseded: the index of the last membership entry.
	 */
	u64 serial;
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
	u64 pruned_revision; /* tombstones up to this revision may have been pruned */
	u64 pruned_version; /* highest version of a pruned tombstone; new services start above it */
	GHashTable *changes; /* change id -> struct change_record */
	GQueue *change_order; /* of struct change_record, oldest first */
	u32 tombstones; /* number of deleted items in the table */
	struct recent recent;
};

void store_init(struct store *s);
void store_clear(struct store *s);

GBytes *store_change_pack(const struct store_change *c);
int store_change_unpack(struct store_change *c, GBytes *data);
void store_change_clear(struct store_change *c);

/* store_command_seen - returns a new command for the change of COMMAND, with HAS_SEEN and SEEN. */
GBytes *store_command_seen(GBytes *command, u64 seen);

/*
 * store_command_shrink - takes COMMAND and returns it, or a shorter one for the same change: that
 * of a set with the difference to the current one, if the change builds on it.
 */
GBytes *store_command_shrink(const struct store *s, GBytes *command);

/* store_apply - applies one command of the log. */
void store_apply(struct store *s, GBytes *command, struct store_result *out);

/* store_find - returns the service NAME, NULL when it does not exist. */
const struct store_item *store_find(const struct store *s, const char *name);

/*
 * store_version - returns the version that a change of NAME has to match: 0 for a service or a
 * set that does not exist. That of an order rises with its end too, and with an order for what is
 * in force already, so that an order that was decided on before matches nothing.
 */
u64 store_version(const struct store *s, const char *name);

/*
 * store_changes_since - returns the items changed after REVISION, in order of
 * revision; free the array. *IS_SNAPSHOT is set when REVISION is 0 or tombstones
 * after it may have been pruned; the items are then the whole state.
 */
GPtrArray *store_changes_since(const struct store *s, u64 revision, bool *is_snapshot);

/* store_item_put - appends ITEM to a frame, in the format of snapshots and of CTL_CONFIG. */
void store_item_put(struct frame_out *f, const struct store_item *item);

GBytes *store_snapshot(const struct store *s);
int store_restore(struct store *s, GBytes *data);

#endif
