/*
 * Handling of links to home nodes that break and reconnect: a fence asks the home node for the
 * outcome of a call that was already sent.
 */
#include "node/entry_impl.h"

#include <string.h>

static void end_lost_attempt(struct node *n, struct call_attempt *a)
{
	struct entry_call *call = a->call;

	ctr_inc(CTR_PEER_LOST);
	entry_record_result(n, a, CHOOSE_FAILED);
	entry_attempt_free(n, a);
	call->reason = CTR_PEER_LOST;
	entry_note_run(call, CTR_PEER_LOST);
	entry_retry_or_fail(n, call, CTR_PEER_LOST, false);
}

static void end_unsent_attempt(struct node *n, struct call_attempt *a)
{
	struct entry_call *call = a->call;
	g_autofree char *home = g_strdup(a->home);

	entry_record_result(n, a, CHOOSE_CANCELLED);
	entry_attempt_free(n, a);
	entry_skip_unreachable(n, call, home);
}

void entry_fenced(struct node *n, struct call_id id, enum fence_state state)
{
	struct call_attempt *a = entry_find_attempt(n, id);
	struct entry_call *call;

	if (!a || a->state != ATTEMPT_FENCING)
		return;
	call = a->call;
	switch (state) {
	case FENCE_NOT_RUN:
		ctr_inc(CTR_FENCE_NOT_RUN);
		entry_record_result(n, a, CHOOSE_REFUSED);
		entry_attempt_free(n, a);
		call->reason = CTR_PEER_LOST;
		entry_retry_or_fail(n, call, CTR_PEER_LOST, true);
		break;
	case FENCE_RUNNING:
		ctr_inc(CTR_FENCE_RUNNING);
		break;
	case FENCE_DONE:
		ctr_inc(CTR_FENCE_DONE);
		break;
	default:
		end_lost_attempt(n, a);
		break;
	}
}

/* Clears the draining flag of a load report that predates the upstream's return to service. */
static void clear_stale_draining(struct node *n, const struct dir_entry *e)
{
	struct choose_target *target = choose_find(&n->choose, e->node);

	if (target && e->state == DIR_UP && !dir_entry_is_newer(&target->entry, e))
		target->load.is_draining = false;
}

void entry_directory_changed(struct node *n, const struct dir_entry *e)
{
	g_autoptr(GArray) list = entry_attempts_at(n, e->node);

	clear_stale_draining(n, e);
	for (guint i = 0; i < list->len; i++) {
		struct call_attempt *a = entry_attempt_by_seq(n, g_array_index(list, u64, i));

		if (!a || a->state != ATTEMPT_FENCING || e->incarnation < a->home_incarnation)
			continue;
		if (e->state == DIR_GONE || e->incarnation > a->home_incarnation)
			end_lost_attempt(n, a);
	}
}

void entry_link_down(struct node *n, const char *peer)
{
	g_autoptr(GArray) list = entry_attempts_at(n, peer);

	for (guint i = 0; i < list->len; i++) {
		struct call_attempt *a = entry_attempt_by_seq(n, g_array_index(list, u64, i));

		if (!a)
			continue;
		/* An idempotent call can be retried without knowing its outcome. */
		if (a->state == ATTEMPT_CONNECTING)
			end_unsent_attempt(n, a);
		else if (a->call->is_idempotent)
			end_lost_attempt(n, a);
		else
			a->state = ATTEMPT_FENCING;
	}
	/* Reconnects; fences are sent once the link is up. */
	if (list->len)
		mesh_link(n, peer);
}

void entry_link_up(struct node *n, const char *peer, u64 incarnation)
{
	g_autoptr(GArray) list = entry_attempts_at(n, peer);
	struct choose_target *target = choose_find(&n->choose, peer);

	if (target)
		target->unreachable_until_us = 0;
	for (guint i = 0; i < list->len; i++) {
		struct call_attempt *a = entry_attempt_by_seq(n, g_array_index(list, u64, i));
		FRAME_AUTO(f, PEER_FENCE);

		if (!a)
			continue;
		if (a->state == ATTEMPT_CONNECTING)
			entry_send_to_peer(n, a, mesh_link(n, peer));
		if (a->state != ATTEMPT_FENCING)
			continue;
		if (a->home_incarnation != incarnation) {
			end_lost_attempt(n, a);
			continue;
		}
		ctr_inc(CTR_FENCE_SENT);
		peer_id_put(&f, a->id);
		link_send(mesh_link(n, peer), &f);
	}
}
