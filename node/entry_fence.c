/* Links to home nodes that break and come again: fences for what was sent. */
#include "node/entry_impl.h"

#include <string.h>

static void lost(struct node *n, struct call_try *t)
{
	struct entry_call *call = t->call;

	ctr_inc(CTR_PEER_LOST);
	entry_note_end(n, t, CHOOSE_FAILED);
	entry_try_end(n, t);
	call->reason = CTR_PEER_LOST;
	call->priv->may_have_run = true;
	entry_again_or_give_up(n, call, CTR_PEER_LOST, false);
}

static void never_sent(struct node *n, struct call_try *t)
{
	struct entry_call *call = t->call;
	g_autofree char *home = g_strdup(t->home);

	entry_note_end(n, t, CHOOSE_CANCELLED);
	entry_try_end(n, t);
	entry_skip_unreachable(n, call, home);
}

void entry_fenced(struct node *n, struct call_id id, enum fence_state state)
{
	struct call_try *t = entry_find_try(n, id);
	struct entry_call *call;

	if (!t || t->state != TRY_FENCING)
		return;
	call = t->call;
	switch (state) {
	case FENCE_NOT_RUN:
		ctr_inc(CTR_FENCE_NOT_RUN);
		entry_note_end(n, t, CHOOSE_REFUSED);
		entry_try_end(n, t);
		call->reason = CTR_PEER_LOST;
		entry_again_or_give_up(n, call, CTR_PEER_LOST, true);
		break;
	case FENCE_RUNNING:
		ctr_inc(CTR_FENCE_RUNNING);
		break;
	case FENCE_DONE:
		ctr_inc(CTR_FENCE_DONE);
		break;
	default:
		lost(n, t);
		break;
	}
}

/* The last load came from before the upstream was up again. */
static void end_draining(struct node *n, const struct dir_entry *e)
{
	struct choose_target *target = choose_find(&n->choose, e->node);

	if (target && e->state == DIR_UP && !dir_entry_is_newer(&target->entry, e))
		target->load.is_draining = false;
}

void entry_directory_changed(struct node *n, const struct dir_entry *e)
{
	g_autoptr(GArray) list = entry_tries_at(n, e->node);

	end_draining(n, e);
	for (guint i = 0; i < list->len; i++) {
		struct call_try *t = entry_try_of(n, g_array_index(list, u64, i));

		if (!t || t->state != TRY_FENCING || e->incarnation < t->home_incarnation)
			continue;
		if (e->state == DIR_GONE || e->incarnation > t->home_incarnation)
			lost(n, t);
	}
}

void entry_link_down(struct node *n, const char *peer)
{
	g_autoptr(GArray) list = entry_tries_at(n, peer);

	for (guint i = 0; i < list->len; i++) {
		struct call_try *t = entry_try_of(n, g_array_index(list, u64, i));

		if (!t)
			continue;
		/* An idempotent call need not wait for the truth. */
		if (t->state == TRY_CONNECTING)
			never_sent(n, t);
		else if (t->call->is_idempotent)
			lost(n, t);
		else
			t->state = TRY_FENCING;
	}
	/* Fences go out when the link is up again. */
	if (list->len)
		mesh_link(n, peer);
}

void entry_link_up(struct node *n, const char *peer, u64 incarnation)
{
	g_autoptr(GArray) list = entry_tries_at(n, peer);
	struct choose_target *target = choose_find(&n->choose, peer);

	if (target)
		target->unreachable_until_us = 0;
	for (guint i = 0; i < list->len; i++) {
		struct call_try *t = entry_try_of(n, g_array_index(list, u64, i));
		FRAME_AUTO(f, PEER_FENCE);

		if (!t)
			continue;
		if (t->state == TRY_CONNECTING)
			entry_send_to_peer(n, t, mesh_link(n, peer));
		if (t->state != TRY_FENCING)
			continue;
		if (t->home_incarnation != incarnation) {
			lost(n, t);
			continue;
		}
		ctr_inc(CTR_FENCE_SENT);
		peer_id_put(&f, t->id);
		link_send(mesh_link(n, peer), &f);
	}
}
