/* Calls that are cancelled, and links that break: fences ask what became of their calls. */
#include "node/home_impl.h"

#include "lib/err.h"

/* Refuses a call that has not started. Returns false if it has, or is being refused already. */
static bool refuse_unstarted(struct node *n, struct job *j, enum ctr reason)
{
	if (!admit_cancel(&n->home->admit, &j->req))
		return false;
	home_refuse_not_run(n, j, reason);
	return true;
}

/* Does nothing to a call that has ended, and is being answered or refused. */
static void cancel_job(struct node *n, struct job *j)
{
	if (!refuse_unstarted(n, j, CTR_CANCELLED) && j->req.state == ADMIT_RUNNING)
		upstream_abort(&j->upstream, ERR_CANCELLED);
}

void home_cancel(struct node *n, struct call_id id)
{
	struct job *j = g_hash_table_lookup(n->home->jobs, &id);

	if (j)
		cancel_job(n, j);
}

void home_caller_left(struct node *n, struct call_id id)
{
	struct job *j = g_hash_table_lookup(n->home->jobs, &id);

	if (!j)
		return;
	if (j->is_idempotent)
		cancel_job(n, j);
	else
		refuse_unstarted(n, j, CTR_CANCELLED);
}

/* Returns the ids of all jobs. Ending one job may end others, so look up each id again. */
static GArray *list_job_ids(const struct node *n)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct call_id));
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, n->home->jobs);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_array_append_val(out, *(const struct call_id *)key);
	return out;
}

static struct job *find_job(const struct node *n, const GArray *ids, guint i)
{
	return g_hash_table_lookup(n->home->jobs, &g_array_index(ids, struct call_id, i));
}

void home_cancel_all(struct node *n)
{
	g_autoptr(GArray) ids = list_job_ids(n);

	for (guint i = 0; i < ids->len; i++) {
		struct job *j = find_job(n, ids, i);

		if (j)
			cancel_job(n, j);
	}
}

void home_refuse_queued(struct node *n, enum ctr reason)
{
	g_autoptr(GArray) ids = list_job_ids(n);

	for (guint i = 0; i < ids->len; i++) {
		struct job *j = find_job(n, ids, i);

		if (j)
			refuse_unstarted(n, j, reason);
	}
}

void home_fence(struct node *n, struct link *origin, struct call_id id)
{
	const struct http_msg *reply;
	enum fence_state state = call_table_fence(&n->home->table, id, loop_clock_us(), &reply);
	struct job *j = g_hash_table_lookup(n->home->jobs, &id);
	FRAME_AUTO(f, PEER_FENCED);

	if (state == FENCE_RUNNING && j)
		j->origin = origin;
	/* The call has run; without room for its reply the entry node hears no more than that. */
	if (state == FENCE_DONE && !home_may_queue_reply(n, origin, reply->body->len)) {
		ctr_inc(CTR_REPLY_HELD);
		home_log_dropped_reply(n, "reply to a fence dropped", origin, reply->body->len);
		state = FENCE_UNKNOWN;
	}
	peer_id_put(&f, id);
	frame_put_u64(&f, state);
	link_send(origin, &f);
	if (state == FENCE_DONE)
		home_send_reply(n, origin, id, reply);
}

void home_link_down(struct node *n, struct link *origin)
{
	g_autoptr(GArray) ids = list_job_ids(n);

	for (guint i = 0; i < ids->len; i++) {
		struct job *j = find_job(n, ids, i);

		if (!j || j->origin != origin || j->is_local)
			continue;
		j->origin = NULL;
		/* The entry node retries idempotent calls elsewhere, and fences the others. */
		if (j->is_idempotent)
			cancel_job(n, j);
	}
}
