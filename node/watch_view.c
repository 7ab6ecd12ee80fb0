/* What the node gets of the directory: subscriptions to services, and views of their upstreams. */
#include "node/watch_impl.h"

#include "lib/err.h"
#include "node/config.h"

#include <string.h>

/*
 * Up to this number of configured services a node subscribes to all of them, beyond it only to
 * those that are called.
 */
#define SUBSCRIBE_ALL_SERVICES_MAX 16

/* Services that the node calls. Control answers with the upstreams that this node may use. */

static void send_subscriptions(struct watch *w, const GPtrArray *names, bool is_whole)
{
	FRAME_AUTO(f, CTL_SUBSCRIBE);

	if (!watch_is_up(&w->main))
		return;
	frame_put_bool(&f, is_whole);
	frame_put_u64(&f, names->len);
	for (guint i = 0; i < names->len; i++)
		frame_put_str(&f, g_ptr_array_index(names, i));
	link_send(w->main.link, &f);
}

static bool add_subscription(struct watch *w, const char *service)
{
	if (g_hash_table_contains(w->subscriptions, service) ||
	    g_hash_table_size(w->subscriptions) >= CTL_SUBSCRIPTIONS_MAX)
		return false;
	g_hash_table_insert(w->subscriptions, g_strdup(service), GINT_TO_POINTER(false));
	return true;
}

/* Subscribes to all services of a small configuration before the first call arrives. */
void watch_subscribe_configured_services(struct watch *w)
{
	g_autoptr(GPtrArray) names = config_service_names(SUBSCRIBE_ALL_SERVICES_MAX);
	g_autoptr(GPtrArray) added = g_ptr_array_new();

	for (guint i = 0; names && i < names->len; i++)
		if (add_subscription(w, g_ptr_array_index(names, i)))
			g_ptr_array_add(added, g_ptr_array_index(names, i));
	if (added->len)
		send_subscriptions(w, added, false);
}

static void mark_answered(struct watch *w, const char *service)
{
	if (g_hash_table_contains(w->subscriptions, service))
		g_hash_table_insert(w->subscriptions, g_strdup(service), GINT_TO_POINTER(true));
}

/* Requests all services again, from a new control process. */
void watch_resend_subscriptions(struct watch *w)
{
	g_autoptr(GPtrArray) names = g_ptr_array_new();
	GHashTableIter iter;
	gpointer name;

	g_hash_table_iter_init(&iter, w->subscriptions);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		g_hash_table_iter_replace(&iter, GINT_TO_POINTER(false));
		g_ptr_array_add(names, name);
	}
	send_subscriptions(w, names, true);
}

bool watch_request_service(struct node *n, const char *service)
{
	struct watch *w = n->watch;

	if (!watch_is_up(&w->main))
		return false;
	if (add_subscription(w, service)) {
		g_autoptr(GPtrArray) added = g_ptr_array_new();

		g_ptr_array_add(added, (gpointer)service);
		send_subscriptions(w, added, false);
	}
	return g_hash_table_contains(w->subscriptions, service) &&
	       !g_hash_table_lookup(w->subscriptions, service);
}

u32 watch_node_count(const struct node *n)
{
	return n->watch->node_count;
}

/* Applies a view's entry; IS_DROPPED when control replaced it by another one in the view. */
static void apply_entry(struct watch *w, const struct dir_entry *e, bool is_dropped)
{
	struct choose *c = &w->node->choose;

	if (w->removal_due_us)
		g_hash_table_add(w->reported, g_strdup(e->node));
	/* The node's own copy of its entry is authoritative. */
	if (!strcmp(e->node, w->node->self.name))
		return;
	choose_set_entry(c, e, loop_clock_us());
	if (is_dropped)
		choose_disable(c, e->node);
	entry_directory_changed(w->node, e);
}

static void read_answered(struct watch *w, struct frame_in *in, GPtrArray *answered)
{
	u32 n = frame_get_count(in, CTL_SUBSCRIPTIONS_MAX);

	for (u32 i = 0; i < n && !in->err; i++) {
		char *name = frame_get_str(in, SET_TEXT_MAX_BYTES);

		if (in->err)
			return;
		g_ptr_array_add(answered, name);
		mark_answered(w, name);
	}
}

static void send_view_ack(struct watch *w)
{
	FRAME_AUTO(f, CTL_VIEW_ACK);

	link_send(w->main.link, &f);
}

int watch_on_view(struct watch *w, struct frame_in *in)
{
	g_autoptr(GPtrArray) answered = g_ptr_array_new_with_free_func(g_free);
	bool is_answer_due = frame_get_bool(in);
	u32 node_count = (u32)frame_get_u64(in);
	u32 n;

	read_answered(w, in, answered);
	n = frame_get_count(in, CTL_ITEMS_PER_FRAME);
	for (u32 i = 0; i < n && !in->err; i++) {
		__attribute__((cleanup(dir_entry_clear))) struct dir_entry e = { 0 };
		bool is_dropped = frame_get_bool(in);

		dir_entry_get(in, &e);
		if (!in->err)
			apply_entry(w, &e, is_dropped);
	}
	if (frame_done(in))
		return ERR_INVAL;
	if (is_answer_due)
		send_view_ack(w);
	/* A control process that has just started does not know all nodes yet. */
	if (node_count > w->node_count || !w->removal_due_us)
		w->node_count = node_count;
	for (guint i = 0; i < answered->len; i++)
		entry_service_known(w->node, g_ptr_array_index(answered, i));
	return 0;
}

/* Removes nodes that left while no control process was linked: the new one never reports them. */
void watch_remove_unreported(struct watch *w)
{
	struct choose *c = &w->node->choose;
	g_autoptr(GList) names = g_hash_table_get_keys(c->targets);

	for (GList *l = names; l; l = l->next) {
		__attribute__((cleanup(dir_entry_clear))) struct dir_entry e = { 0 };
		const char *name = l->data;

		if (g_hash_table_contains(w->reported, name) || !strcmp(name, w->node->self.name))
			continue;
		dir_entry_copy(&e, &choose_find(c, name)->entry);
		e.state = DIR_GONE;
		choose_set_entry(c, &e, loop_clock_us());
		entry_directory_changed(w->node, &e);
	}
	w->removal_due_us = 0;
	g_hash_table_remove_all(w->reported);
}
