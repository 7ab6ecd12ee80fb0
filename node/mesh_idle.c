/*
 * Dialled links that are not used are closed, as pings on them take bandwidth.
 *
 * Only this node sends calls on a link that it dialled, so a link without a pending attempt has no
 * call that closing it could cut off; the peer's own calls come on a link that the peer dialled.
 */
#include "node/mesh_impl.h"

#include "lib/ctr.h"
#include "lib/log.h"

struct idle_check {
	struct node *node;
	u64 now_us;
};

static bool is_idle(const struct mesh_peer *m, const struct choose_target *t, u64 now_us)
{
	if (!m->link || !m->link->is_up || link_queued_bytes(m->link))
		return false;
	if (link_unused_us(m->link, now_us) < MESH_IDLE_LINK_US)
		return false;
	if (t && choose_is_in_use(t, MESH_IDLE_LINK_US, now_us))
		return false;
	return !entry_has_attempts_at(m->node, m->name);
}

static void log_close(const struct mesh_peer *m, const struct choose_target *t, u64 now_us)
{
	const struct choose_service *s = t ? t->service : NULL;
	u64 called_us = s && s->last_used_us ? s->last_used_us : 0;

	log_event(LOG_INFO, "idle link closed", "peer", m->name, "unused_us",
		  log_u64(link_unused_us(m->link, now_us)), "service", s ? s->name : "",
		  "service_unused_us", called_us ? log_u64(now_us - MIN(called_us, now_us)) : "",
		  "received_bytes", log_u64(link_received_bytes(m->link)), "links",
		  log_u64(g_hash_table_size(m->node->mesh->dialled) - 1), NULL);
}

/* Returns whether the peer is to be removed, which closes its link. */
static gboolean close_if_idle(gpointer name, gpointer value, gpointer arg)
{
	const struct idle_check *c = arg;
	struct mesh_peer *m = value;
	struct choose_target *t = choose_find(&c->node->choose, name);

	if (!is_idle(m, t, c->now_us))
		return FALSE;
	log_close(m, t, c->now_us);
	ctr_inc(CTR_LINK_IDLE);
	if (t)
		choose_link_closed(t);
	return TRUE;
}

void mesh_close_idle_links(struct node *n, u64 now_us)
{
	struct idle_check c = { .node = n, .now_us = now_us };

	g_hash_table_foreach_remove(n->mesh->dialled, close_if_idle, &c);
}
