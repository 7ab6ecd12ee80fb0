/*
 * call_table - what the home node remembers of calls, by call id
 *
 * It makes a fence truthful: an id that was never seen, or was refused, becomes
 * a tombstone before not-run is said, and then can never run. Replies are
 * kept for a time, bounded in bytes, for a caller whose link broke.
 *
 * Calls that ended are forgotten after a time, or when there are too many.
 * For each entry incarnation the highest forgotten sequence stays: an id up to
 * it that is not in the table may have run, so it neither begins nor is
 * called not-run.
 *
 * UNITS microseconds, bytes
 * SOURCE node/call_table.c
 */
#ifndef CALL_TABLE_H
#define CALL_TABLE_H

#include "wire/peer.h"

#include <glib.h>

#define CALL_KEEP_US (60 * US_PER_S)
#define CALL_REPLIES_MAX_BYTES (8 * 1024 * 1024)
#define CALL_ENDED_MAX 32768
#define CALL_INCARNATIONS_MAX 32768

enum call_state { CALL_ACTIVE = 1, CALL_DONE, CALL_TOMBSTONE };

struct call_record {
	struct call_id id;
	enum call_state state;
	u64 ended_us;
	struct http_msg *reply; /* CALL_DONE, while it is kept */
};

/* What was forgotten of one entry incarnation. */
struct call_floor {
	struct call_id entry; /* of which the sequence does not count */
	u64 seq; /* the highest forgotten sequence */
};

struct call_table {
	GHashTable *records; /* call id -> struct call_record */
	GQueue *ended; /* of struct call_record, oldest first */
	GQueue *replied; /* those of ended that hold a reply */
	size_t reply_bytes;
	GTree *floors; /* struct call_id of an entry's start -> struct call_floor */
	u64 old_incarnation; /* floors up to this incarnation were dropped */
};

void call_table_init(struct call_table *t);
void call_table_clear(struct call_table *t);

/*
 * call_begin - 0, or the call must not run: ERR_CONFLICT when the id is known,
 * ERR_NOTFOUND when it may have been forgotten.
 */
int call_begin(struct call_table *t, struct call_id id);

/* call_refused - the call did not run and never will. */
void call_refused(struct call_table *t, struct call_id id, u64 now_us);

/* call_done - the call ran; takes over REPLY, which may be NULL for an unknown outcome. */
void call_done(struct call_table *t, struct call_id id, struct http_msg *reply, u64 now_us);

/* call_fence - what became of ID; an id never seen gets a tombstone. *REPLY stays with the table.
 */
enum fence_state call_fence(struct call_table *t, struct call_id id, u64 now_us,
			    const struct http_msg **reply);

/* call_expire - forget what ended before NOW_US - CALL_KEEP_US. */
void call_expire(struct call_table *t, u64 now_us);

#endif
