#include "control/view.h"

#include "control/candidates.h"

#include <string.h>

/* The number of nodes is sent again when it differs by more than 1/10 of the smaller number. */
#define COUNT_TOLERANCE_DIVISOR 10

/* An upstream of a service that the node has. */
struct view_member {
	u64 weight;
	GRefString *node;
};

struct view_service {
	const struct directory_service *now; /* NULL until the directory has the service */
	u64 changes; /* directory_service.changes that are in CANDIDATES */
	bool is_picked; /* CANDIDATES is filled */
	bool is_due; /* CANDIDATES or MEMBERS differ from the subset that the node has */
	bool is_answered;
	struct candidates candidates;
	GArray *members; /* of struct view_member; at least those of the node that are up */
};

static void member_clear(gpointer p)
{
	g_ref_string_release(((struct view_member *)p)->node);
}

static struct view_service *service_new(void)
{
	struct view_service *s = g_new0(struct view_service, 1);

	s->members = g_array_new(FALSE, FALSE, sizeof(struct view_member));
	g_array_set_clear_func(s->members, member_clear);
	return s;
}

static void service_free(gpointer p)
{
	struct view_service *s = p;

	g_array_unref(s->members);
	g_free(s);
}

static GHashTable *subscriptions_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, service_free);
}

void view_init(struct view *v, const char *node, const char *zone, const char *region)
{
	memset(v, 0, sizeof(*v));
	v->node = g_strdup(node);
	v->zone = g_strdup(zone);
	v->region = g_strdup(region);
	v->seed = subset_seed(node);
	v->subscriptions = subscriptions_new();
	v->sent = g_hash_table_new_full(g_str_hash, g_str_equal,
					(GDestroyNotify)g_ref_string_release, g_free);
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
	GHashTable *subscriptions = subscriptions_new();

	for (guint i = 0; i < services->len; i++) {
		const char *name = g_ptr_array_index(services, i);
		gpointer key = NULL;
		gpointer old = NULL;

		if (g_hash_table_contains(subscriptions, name))
			continue;
		g_hash_table_steal_extended(v->subscriptions, name, &key, &old);
		g_free(key);
		g_hash_table_insert(subscriptions, g_strdup(name), old ? old : service_new());
	}
	g_hash_table_unref(v->subscriptions);
	v->subscriptions = subscriptions;
	v->is_answer_due = true;
	v->is_sent_due = true;
	g_ptr_array_unref(services);
}

void view_subscribe_more(struct view *v, const GPtrArray *services)
{
	for (guint i = 0; i < services->len; i++) {
		const char *name = g_ptr_array_index(services, i);

		if (!g_hash_table_contains(v->subscriptions, name))
			g_hash_table_insert(v->subscriptions, g_strdup(name), service_new());
	}
	v->is_answer_due = true;
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
		g_hash_table_insert(v->sent, g_ref_string_new(item->entry.node), seq);
	}
	*seq = item->seq;
	add_change(out, item, false);
}

static bool is_own_zone(const struct view *v, const struct dir_entry *e)
{
	return !strcmp(e->zone, v->zone) && !strcmp(e->region, v->region);
}

static bool offer(struct view *v, struct view_service *s, struct directory_item *item, u64 weight)
{
	struct candidate candidate = { .weight = weight, .arg = item };

	return candidates_offer(&s->candidates, is_own_zone(v, &item->entry), candidate);
}

static void offer_all(struct view *v, struct view_service *s)
{
	memset(&s->candidates, 0, sizeof(s->candidates));
	for (guint i = 0; i < s->now->up->len; i++) {
		struct directory_item *item = g_ptr_array_index(s->now->up, i);

		v->looks++;
		offer(v, s, item, subset_weight(v->seed, item->entry.node));
	}
	s->is_picked = true;
	s->is_due = true;
}

/* NODE has joined or left the service, or moved: only what is true now counts. */
static void apply_change(struct view *v, const struct directory *d, struct view_service *s,
			 const char *node)
{
	struct directory_item *item = directory_find(d, node);
	u64 weight = subset_weight(v->seed, node);

	v->looks++;
	s->is_due |= candidates_remove(&s->candidates, weight);
	if (item && item->service == s->now)
		s->is_due |= offer(v, s, item, weight);
}

/* Brings the candidates up to date with the directory. */
static void update_candidates(struct view *v, const struct directory *d, struct view_service *s)
{
	u64 behind = s->now->changes - s->changes;
	const GList *l = s->now->changed.tail;

	s->changes = s->now->changes;
	if (!s->is_picked || behind > s->now->changed.length) {
		offer_all(v, s);
		return;
	}
	for (; behind; behind--, l = l->prev)
		apply_change(v, d, s, l->data);
	if (candidates_are_short(&s->candidates))
		offer_all(v, s);
}

static bool has_member(const struct view_service *s, u64 weight)
{
	for (guint i = 0; i < s->members->len; i++)
		if (g_array_index(s->members, struct view_member, i).weight == weight)
			return true;
	return false;
}

/* Records that the node has the upstream NODE, a key of v->sent. */
static void add_member(struct view_service *s, u64 weight, GRefString *node)
{
	struct view_member member = { .weight = weight, .node = node };

	if (has_member(s, weight))
		return;
	g_ref_string_acquire(node);
	g_array_append_val(s->members, member);
	s->is_due = true;
}

static bool is_picked(const struct candidate *picked, u32 n, u64 weight)
{
	for (u32 i = 0; i < n; i++)
		if (picked[i].weight == weight)
			return true;
	return false;
}

/* Drops an upstream that was sent and is still up, but is no longer in the subset. */
static void drop_member(struct view *v, const struct directory *d, const struct view_service *s,
			const char *node, GArray *out)
{
	const struct directory_item *item = directory_find(d, node);

	if (item && item->service == s->now && g_hash_table_remove(v->sent, node))
		add_change(out, item, true);
}

static void drop_replaced(struct view *v, const struct directory *d, struct view_service *s,
			  const struct candidate *picked, u32 n, GArray *out)
{
	for (guint i = s->members->len; i; i--) {
		const struct view_member *m = &g_array_index(s->members, struct view_member, i - 1);

		v->looks++;
		if (is_picked(picked, n, m->weight))
			continue;
		drop_member(v, d, s, m->node, out);
		g_array_remove_index_fast(s->members, i - 1);
	}
}

static void add_picked(struct view *v, struct view_service *s, const struct candidate *picked,
		       GArray *out)
{
	const struct directory_item *item = picked->arg;
	gpointer node;

	v->looks++;
	add_if_changed(v, item, out);
	if (g_hash_table_lookup_extended(v->sent, item->entry.node, &node, NULL))
		add_member(s, picked->weight, node);
}

static void collect_service(struct view *v, const struct directory *d, const char *name,
			    struct view_service *s, GArray *out)
{
	struct candidate picked[SUBSET_MAX];
	u32 n;

	if (!s->now)
		s->now = directory_service(d, name);
	if (!s->now)
		return;
	if (!s->is_picked || s->changes != s->now->changes)
		update_candidates(v, d, s);
	if (!s->is_due)
		return;
	n = candidates_pick(&s->candidates, picked);
	drop_replaced(v, d, s, picked, n, out);
	for (u32 i = 0; i < n; i++)
		add_picked(v, s, &picked[i], out);
	s->is_due = false;
}

/* Adds the change of ITEM, which was sent before; returns whether the node no longer has it. */
static bool collect_one_sent(struct view *v, const struct directory_item *item, gpointer node,
			     u64 *seq, GArray *out)
{
	bool is_up = directory_state(item) == DIR_UP;
	struct view_service *s =
		is_up ? g_hash_table_lookup(v->subscriptions, item->entry.service) : NULL;
	bool is_dropped = is_up && !s;

	v->looks++;
	if (is_dropped || item->seq != *seq) {
		*seq = item->seq;
		add_change(out, item, is_dropped);
	}
	if (s)
		add_member(s, subset_weight(v->seed, node), node);
	return is_dropped || directory_state(item) == DIR_GONE;
}

static void collect_all_sent(struct view *v, const struct directory *d, GArray *out)
{
	GHashTableIter iter;
	gpointer node;
	gpointer seq;

	g_hash_table_iter_init(&iter, v->sent);
	while (out->len < VIEW_CHANGES_MAX && g_hash_table_iter_next(&iter, &node, &seq)) {
		const struct directory_item *item = directory_find(d, node);

		if (!item || collect_one_sent(v, item, node, seq, out))
			g_hash_table_iter_remove(&iter);
	}
}

static void collect_changed_sent(struct view *v, const struct directory *d, GArray *out)
{
	g_autoptr(GPtrArray) changed = directory_changes_since(d, v->sent_seq);

	for (guint i = 0; out->len < VIEW_CHANGES_MAX && i < changed->len; i++) {
		const struct directory_item *item = g_ptr_array_index(changed, i);
		gpointer node;
		gpointer seq;

		v->looks++;
		if (!g_hash_table_lookup_extended(v->sent, item->entry.node, &node, &seq))
			continue;
		if (collect_one_sent(v, item, node, seq, out))
			g_hash_table_remove(v->sent, item->entry.node);
	}
}

/* Adds the changes of items that were sent before, including those that are no longer up. */
static void collect_sent(struct view *v, const struct directory *d, GArray *out)
{
	bool is_many = d->seq - v->sent_seq > g_hash_table_size(v->sent);

	if (v->is_sent_due || is_many || v->sent_seq < d->removed_seq)
		collect_all_sent(v, d, out);
	else
		collect_changed_sent(v, d, out);
	if (out->len >= VIEW_CHANGES_MAX)
		return;
	v->sent_seq = d->seq;
	v->is_sent_due = false;
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
