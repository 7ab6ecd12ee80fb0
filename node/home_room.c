/* What the node holds of calls, and of replies on the links to entry nodes. */
#include "node/home_impl.h"

#include "lib/err.h"
#include "lib/log.h"

/*
 * Shares of max_held_bytes that one link may take, so that an entry node that does not read leaves
 * room for the others. Calls that already run need more than new ones may find taken.
 */
#define CALL_SHARE 8
#define REPLY_SHARE 4
/* Share of max_held_bytes for the bodies of calls from their arrival to their end. */
#define BODIES_SHARE 2
/* Shorter bodies are few bytes beside what else a call takes; queues and slots bound them. */
#define LONG_BODY_BYTES (16 * 1024)
/* A body is held once more until the upstream has read it. */
#define BODY_COPIES 2

bool home_may_queue_call(const struct node *n, const struct link *origin)
{
	u64 max = n->held.max_bytes;

	return !origin || !max || link_queued_bytes(origin) <= max / CALL_SHARE;
}

static bool has_room(struct node *n, u64 bytes)
{
	u64 max = n->held.max_bytes;

	if (!max)
		return true;
	if (n->held.bytes + bytes > max && n->caller_http)
		httpd_make_room(n->caller_http, bytes);
	return n->held.bytes + bytes <= max;
}

bool home_has_room(struct node *n, u64 bytes)
{
	return bytes < LONG_BODY_BYTES || has_room(n, bytes);
}

/* One body always finds room beside other bodies, whatever the settings. */
bool home_may_hold_call(struct node *n, u64 bytes)
{
	const struct home *h = n->home;
	u64 max = n->held.max_bytes;

	if (!max || bytes < LONG_BODY_BYTES || !h->call_bytes)
		return true;
	return h->call_bytes + bytes <= max / BODIES_SHARE && has_room(n, bytes * BODY_COPIES);
}

void home_count_call(struct node *n, u64 *counted, u64 bytes)
{
	n->home->call_bytes += bytes - *counted;
	held_update(&n->held, counted, bytes);
}

void home_refuse_unread(struct node *n, struct link *origin, struct call_id id, u64 bytes)
{
	int err = call_table_begin(&n->home->table, id);

	if (err == ERR_NOTFOUND)
		home_send_refusal(n, origin, false, id, CTR_CALL_FORGOTTEN, false);
	if (err)
		return;
	ctr_inc(CTR_QUEUE_MEMORY);
	log_event(LOG_WARN, "call refused before its body", "reason", ctr_name(CTR_QUEUE_MEMORY),
		  "peer", origin->remote.name, "bytes", log_u64(bytes), "call_bytes",
		  log_u64(n->home->call_bytes), "held_bytes", log_u64(n->held.bytes), NULL);
	call_table_refuse(&n->home->table, id, loop_clock_us());
	home_send_refusal(n, origin, false, id, CTR_QUEUE_MEMORY, true);
}

void home_log_dropped_reply(const struct node *n, const char *event, const struct link *peer,
			    u64 bytes)
{
	log_event(LOG_WARN, event, "reason", ctr_name(CTR_REPLY_HELD), "peer", peer->remote.name,
		  "bytes", log_u64(bytes), "held_bytes", log_u64(n->held.bytes), NULL);
}

bool home_may_queue_reply(struct node *n, const struct link *origin, u64 bytes)
{
	u64 max = n->held.max_bytes;
	u64 queued = link_queued_bytes(origin);

	if (!max)
		return true;
	/* A reply that is longer than the share is sent alone. */
	if (queued && queued + bytes > max / REPLY_SHARE)
		return false;
	return has_room(n, bytes);
}
