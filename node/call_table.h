/*
 * call_table - the calls that a home node has seen, by call id
 *
 * The table makes the answer to a fence reliable: an id that was never seen, or
 * was refused, becomes a tombstone before the home answers not-run, so that it
 * can never run afterwards. Replies are kept for a limited time and a limited
 * number of bytes, for an entry node whose link broke.
 *
 * Calls that ended are evicted after a time, or when there are too many of them.
 * For each incarnation of an entry node the table keeps a watermark, the highest
 * evicted sequence: an id at or below it that is not in the table may have run,
 * so it is neither started nor reported as not-run.
 *
 * UNITS microseconds, bytes
 * SOURCE node/call_table.c
 */
#ifndef CALL_TABLE_H
#define CALL_TABLE_H

#include "wire/peer.h"

#include <glib.h>

#define CALL_RETENTION_US (60 * US_PER_S)
#define CALL_KEPT_REPLIES_MAX_BYTES (8 * 1024 * 1024)
#define CALL_ENDED_MAX 32768
#define CALL_INCARNATIONS_MAX 32768

enum call_state { CALL_ACTIVE = 1, CALL_DONE, CALL_TOMBSTONE };

struct call_record {
	struct call_id id;
	enum call_state state;
	u64 ended_us;
	struct http_msg *reply; /* in CALL_DONE only; NULL once it is evicted */
};

/* How far the calls of one entry node's incarnation have been evicted. */
struct call_watermark {
	struct call_id entry; /* incarnation and origin of the entry node; seq is ignored */
	u64 seq; /* the highest evicted sequence */
};

struct call_table {
	GHashTable *records; /* call id -> struct call_record */
	GQueue *ended; /* of struct call_record, oldest first */
	GQueue *replied; /* records in ended that still hold a reply, oldest first */
	size_t reply_bytes;
	GTree *watermarks; /* incarnation and origin of a call id -> struct call_watermark */
	u64 evicted_incarnation; /* watermarks up to this incarnation were evicted */
};

void call_table_init(struct call_table *t);
void call_table_clear(struct call_table *t);

/*
 * call_table_begin - records a call that is about to run. Returns 0, or the reason why it must
 * not run: ERR_CONFLICT when the id is known, ERR_NOTFOUND when it may have been evicted.
 */
int call_table_begin(struct call_table *t, struct call_id id);

/* call_table_refuse - records that the call did not run; it never will. */
void call_table_refuse(struct call_table *t, struct call_id id, u64 now_us);

/*
 * call_table_done - records that the call ran. Takes ownership of REPLY, which is NULL for an
 * unknown outcome.
 */
void call_table_done(struct call_table *t, struct call_id id, struct http_msg *reply, u64 now_us);

/*
 * call_table_fence - returns the state of call ID; an id never seen becomes a tombstone. *REPLY
 * remains owned by the table.
 */
enum fence_state call_table_fence(struct call_table *t, struct call_id id, u64 now_us,
				  const struct http_msg **reply);

/* call_table_expire - evicts calls that ended before NOW_US - CALL_RETENTION_US. */
void call_table_expire(struct call_table *t, u64 now_us);

#endif
