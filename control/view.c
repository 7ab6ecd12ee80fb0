#include "control/view.h"

#include "wire/subset.h"

#include <string.h>

/* The number of nodes is sent again when it differs by more than 1/10 of the smaller number. */
#define COUNT_TOLERANCE_DIVISOR 10

struct view_service {
	u64 seq; /* directory_service.seq when the subset was picked */
	bool is_answered;
};

void view_init(struct view *v, const char *node, const char *zone, const char *region)
{
	memset(v, 0, sizeof(*v));
	v->node = g_strdup(node);
	v->zone = g_strdup(zone);
	v->region = g_strdup(region);
	v->subscriptions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	v->sent = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void view_clear(struct view *v)
{
	g_hash_table_unref(v->subscriptions);
	g_hash_table_unref(v->sent);
	g_free(v->node);
	g_free(v->zone);
	g_free(v->region);
}

void view_subscribe(struct view *v, GPtrArray *services)
{
	GHashTable *subscriptions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);

	for (guint i = 0; i < services->len; i++) {
		const char *name = g_ptr_array_index(services, i);
		const struct view_service *old = g_hash_table_lookup(v->subscriptions, name);
		struct view_service *s = g_new0(struct view_service, 1);

		if (old)
			*s = *old;
		g_hash_table_insert(subscriptions, g_strdup(name), s);
	}
	g_hash_table_unref(v->subscriptions);
	v->subscriptions = subscriptions;
	v->is_answer_due = true;
	g_ptr_array_unref(services);
}

bool view_needs_update(const struct view *v, const struct directory *d)
{
	return v->is_answer_due || v->seq < d->seq;
}

bool view_is_count_stale(const struct view *v, const struct directory *d)
{
	u32 larger = MAX(v->nodes, d->nodes);
	u32 smaller = MIN(v->nodes, d->nodes);

	return (larger - smaller) * COUNT_TOLERANCE_DIVISOR > smaller;
}

static void add_change(GArray *out, const struct directory_item *item, bool is_dropped)
{
	struct view_change change = { .item = item, .is_dropped = is_dropped };

	g_array_append_val(out, change);
}

static void add_if_changed(struct view *v, const struct directory_item *item, GArray *out)
{
	u64 *seq = g_hash_table_lookup(v->sent, item->entry.node);

	if (seq && *seq == item->seq)
		return;
	if (!seq) {
		seq = g_new0(u64, 1);
		g_hash_table_insert(v->sent, g_strdup(item->entry.node), seq);
	}
	*seq = item->seq;
	add_change(out, item, false);
}

/* Returns this node's subset of the upstreams that are up for a service. */
static GArray *pick_subset(struct view *v, const struct directory_service *s)
{
	GArray *items = g_array_new(FALSE, FALSE, sizeof(struct subset_item));

	for (guint i = 0; s && i < s->up->len; i++) {
		struct directory_item *item = g_ptr_array_index(s->up, i);
		const struct dir_entry *e = &item->entry;
		struct subset_item one = { .node = e->node,
					   .is_own_zone = !strcmp(e->zone, v->zone) &&
							  !strcmp(e->region, v->region),
					   .arg = item };

		v->looks++;
		g_array_append_val(items, one);
	}
	subset_pick(v->node, items);
	return items;
}

static bool contains(const GArray *items, const struct directory_item *item)
{
	for (guint i = 0; i < items->len; i++)
		if (g_array_index(items, struct subset_item, i).arg == item)
			return true;
	return false;
}

/* Drops upstreams that were sent and are still up, but are no longer in the subset. */
static void drop_replaced(struct view *v, const struct directory *d, const char *service,
			  const GArray *picked, GArray *out)
{
	GHashTableIter iter;
	gpointer node;

	g_hash_table_iter_init(&iter, v->sent);
	while (g_hash_table_iter_next(&iter, &node, NULL)) {
		const struct directory_item *item = directory_find(d, node);

		v->looks++;
		if (!item || directory_state(item) != DIR_UP)
			continue;
		if (strcmp(item->entry.service, service) || contains(picked, item))
			continue;
		add_change(out, item, true);
		g_hash_table_iter_remove(&iter);
	}
}

static void collect_service(struct view *v, const struct directory *d, const char *name,
			    struct view_service *s, GArray *out)
{
	const struct directory_service *now = directory_service(d, name);
	u64 seq = now ? now->seq : 0;
	g_autoptr(GArray) picked = NULL;

	if (s->seq == seq)
		return;
	s->seq = seq;
	picked = pick_subset(v, now);
	drop_replaced(v, d, name, picked, out);
	for (guint i = 0; i < picked->len; i++)
		add_if_changed(v, g_array_index(picked, struct subset_item, i).arg, out);
}

/* Returns whether ITEM is up for a service that the node does not subscribe to. */
static bool is_unsubscribed(const struct view *v, const struct directory_item *item)
{
	return directory_state(item) == DIR_UP &&
	       !g_hash_table_contains(v->subscriptions, item->entry.service);
}

/* Adds the changes of items that were sent before, including those that are no longer up. */
static void collect_sent(struct view *v, const struct directory *d, GArray *out)
{
	GHashTableIter iter;
	gpointer node;
	gpointer seq;

	g_hash_table_iter_init(&iter, v->sent);
	while (out->len < VIEW_CHANGES_MAX && g_hash_table_iter_next(&iter, &node, &seq)) {
		const struct directory_item *item = directory_find(d, node);

		bool is_dropped = item && is_unsubscribed(v, item);

		v->looks++;
		if (item && (is_dropped || item->seq != *(u64 *)seq)) {
			*(u64 *)seq = item->seq;
			add_change(out, item, is_dropped);
		}
		if (!item || is_dropped || directory_state(item) == DIR_GONE)
			g_hash_table_iter_remove(&iter);
	}
}

GArray *view_collect_changes(struct view *v, const struct directory *d, GPtrArray *answered)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct view_change));
	GHashTableIter iter;
	gpointer name;
	gpointer service;

	/* Removals precede the additions that replace them. */
	collect_sent(v, d, out);
	g_hash_table_iter_init(&iter, v->subscriptions);
	while (out->len < VIEW_CHANGES_MAX && g_hash_table_iter_next(&iter, &name, &service)) {
		struct view_service *s = service;

		collect_service(v, d, name, s, out);
		if (!s->is_answered)
			g_ptr_array_add(answered, name);
		s->is_answered = true;
	}
	/* Whether anything is left is found out by the next call. */
	if (out->len >= VIEW_CHANGES_MAX)
		return out;
	v->seq = d->seq;
	v->is_answer_due = false;
	return out;
}
