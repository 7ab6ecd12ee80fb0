/*
 * call_table - what the home node remembers of calls, by call id
 *
 * It makes a fence truthful: an id that is not known, or was refused, becomes
 * a tombstone before not-run is said, and then can never run. Replies are
 * kept for a time, bounded in bytes, for a caller whose link broke.
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

enum call_state { CALL_ACTIVE = 1, CALL_DONE, CALL_TOMBSTONE };

struct call_record {
	struct call_id id;
	enum call_state state;
	u64 ended_us;
	struct http_msg *reply; /* CALL_DONE, while it is kept */
	GList *link; /* place in the order of ending */
};

struct call_table {
	GHashTable *records; /* call id -> struct call_record */
	GQueue *ended; /* of struct call_record, oldest first */
	size_t reply_bytes;
};

void call_table_init(struct call_table *t);
void call_table_clear(struct call_table *t);

/* call_begin - 0, or ERR_CONFLICT when the id is known: the call must not run. */
int call_begin(struct call_table *t, struct call_id id);

/* call_refused - the call did not run and never will. */
void call_refused(struct call_table *t, struct call_id id, u64 now_us);

/* call_done - the call ran; takes over REPLY, which may be NULL for an unknown outcome. */
void call_done(struct call_table *t, struct call_id id, struct http_msg *reply, u64 now_us);

/* call_fence - what became of ID; an unknown id gets a tombstone. *REPLY stays with the table. */
enum fence_state call_fence(struct call_table *t, struct call_id id, u64 now_us,
			    const struct http_msg **reply);

/* call_expire - forget what ended before NOW_US - CALL_KEEP_US. */
void call_expire(struct call_table *t, u64 now_us);

#endif
