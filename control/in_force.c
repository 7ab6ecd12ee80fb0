#include "control/in_force.h"

#define NODE_NAME_MAX_BYTES 128

static void behind_free(gpointer p)
{
	struct in_force_behind *b = p;

	g_free(b->node);
	g_free(b);
}

static struct in_force_report *report_new(void)
{
	struct in_force_report *r = g_new0(struct in_force_report, 1);

	r->behind = g_ptr_array_new_with_free_func(behind_free);
	return r;
}

void in_force_report_free(gpointer p)
{
	struct in_force_report *r = p;

	if (!r)
		return;
	g_ptr_array_unref(r->behind);
	g_free(r);
}

/*
 * Counts a node that has applied REVISION. If the report is full, the node is counted at the lowest
 * revision: it may then be reported as behind, but never as ahead of what it has applied.
 */
static void add_revision(struct in_force_report *r, u64 revision)
{
	u32 low = 0;
	u32 i;

	for (i = 0; i < r->n && r->revision[i] != revision; i++)
		if (r->revision[i] < r->revision[low])
			low = i;
	if (i == IN_FORCE_REVISIONS_MAX) {
		r->revision[low] = MIN(r->revision[low], revision);
		i = low;
	}
	if (i == r->n)
		r->revision[r->n++] = revision;
	r->nodes[i]++;
}

static void add_behind(struct in_force_report *r, const char *node, u64 revision)
{
	struct in_force_behind *b;

	if (r->behind->len >= IN_FORCE_BEHIND_MAX)
		return;
	b = g_new0(struct in_force_behind, 1);
	b->node = g_strdup(node);
	b->revision = revision;
	g_ptr_array_add(r->behind, b);
}

struct in_force_report *in_force_report(const struct directory *d, u64 revision)
{
	struct in_force_report *r = report_new();

	for (GList *l = d->order.head; l; l = l->next) {
		const struct directory_item *item = l->data;

		if (!directory_is_owned_here(d, item) || directory_state(item) == DIR_GONE)
			continue;
		add_revision(r, item->applied_revision);
		if (item->applied_revision < revision)
			add_behind(r, item->entry.node, item->applied_revision);
	}
	return r;
}

void in_force_report_put(struct frame_out *f, const struct in_force_report *r)
{
	frame_put_u64(f, r->n);
	for (u32 i = 0; i < r->n; i++) {
		frame_put_u64(f, r->revision[i]);
		frame_put_u64(f, r->nodes[i]);
	}
	frame_put_u64(f, r->behind->len);
	for (guint i = 0; i < r->behind->len; i++) {
		const struct in_force_behind *b = g_ptr_array_index(r->behind, i);

		frame_put_str(f, b->node);
		frame_put_u64(f, b->revision);
	}
}

struct in_force_report *in_force_report_get(struct frame_in *in)
{
	struct in_force_report *r = report_new();
	u32 n = frame_get_count(in, IN_FORCE_REVISIONS_MAX);

	for (r->n = 0; r->n < n; r->n++) {
		r->revision[r->n] = frame_get_u64(in);
		r->nodes[r->n] = (u32)frame_get_u64(in);
	}
	n = frame_get_count(in, IN_FORCE_BEHIND_MAX);
	for (u32 i = 0; i < n && !in->err; i++) {
		g_autofree char *node = frame_get_str(in, NODE_NAME_MAX_BYTES);

		add_behind(r, node, frame_get_u64(in));
	}
	return r;
}

/* Node counts of one control process. */
struct owner_counts {
	u32 live;
	u32 confirmed;
};

static struct owner_counts *counts_of(GHashTable *all, u32 owner)
{
	struct owner_counts *o = g_hash_table_lookup(all, GUINT_TO_POINTER(owner));

	if (o)
		return o;
	o = g_new0(struct owner_counts, 1);
	g_hash_table_insert(all, GUINT_TO_POINTER(owner), o);
	return o;
}

static GHashTable *count_live(const struct directory *d, u64 revision)
{
	GHashTable *all = g_hash_table_new_full(NULL, NULL, NULL, g_free);

	for (GList *l = d->order.head; l; l = l->next) {
		const struct directory_item *item = l->data;
		struct owner_counts *o;

		if (directory_state(item) == DIR_GONE)
			continue;
		o = counts_of(all, item->owner);
		o->live++;
		if (directory_is_owned_here(d, item) && item->applied_revision >= revision)
			o->confirmed++;
	}
	return all;
}

static u32 confirmed_by(const struct directory *d, u32 owner, const struct in_force_report *r,
			u64 revision, u64 now_us)
{
	const struct directory_owner *o = directory_owner(d, owner);
	u32 n = 0;

	if (!r || !o || now_us > o->heard_us + IN_FORCE_REPORT_TTL_US)
		return 0;
	for (u32 i = 0; i < r->n; i++)
		if (r->revision[i] >= revision)
			n += r->nodes[i];
	return n;
}

static void list_node(struct in_force *out, const char *node)
{
	if (out->behind->len < IN_FORCE_BEHIND_MAX)
		g_ptr_array_add(out->behind, g_strdup(node));
}

/* Lists the nodes of OWNER: all if IS_ALL, else those owned here that are behind. */
static void list_owned(const struct directory *d, u32 owner, bool is_all, u64 revision,
		       struct in_force *out)
{
	for (GList *l = d->order.head; l; l = l->next) {
		const struct directory_item *item = l->data;

		if (item->owner != owner || directory_state(item) == DIR_GONE)
			continue;
		if (is_all ||
		    (directory_is_owned_here(d, item) && item->applied_revision < revision))
			list_node(out, item->entry.node);
	}
}

static void list_reported(const struct in_force_report *r, struct in_force *out)
{
	for (guint i = 0; i < r->behind->len; i++) {
		const struct in_force_behind *b = g_ptr_array_index(r->behind, i);

		if (b->revision < out->revision)
			list_node(out, b->node);
	}
}

static void add_owner(const struct directory *d, GHashTable *others, u32 owner,
		      struct owner_counts *o, u64 now_us, struct in_force *out)
{
	const struct in_force_report *r = g_hash_table_lookup(others, GUINT_TO_POINTER(owner));

	if (owner != d->self)
		o->confirmed = MIN(o->live, confirmed_by(d, owner, r, out->revision, now_us));
	out->live_nodes += o->live;
	out->applied_nodes += o->confirmed;
	if (o->confirmed == o->live)
		return;
	if (owner == d->self || !o->confirmed)
		list_owned(d, owner, !o->confirmed, out->revision, out);
	else
		list_reported(r, out);
}

void in_force_count(const struct directory *d, GHashTable *others, u64 revision, u64 now_us,
		    struct in_force *out)
{
	g_autoptr(GHashTable) owners = count_live(d, revision);
	GHashTableIter iter;
	gpointer owner;
	gpointer o;

	out->revision = revision;
	out->applied_nodes = 0;
	out->live_nodes = 0;
	out->behind = g_ptr_array_new_with_free_func(g_free);
	g_hash_table_iter_init(&iter, owners);
	while (g_hash_table_iter_next(&iter, &owner, &o))
		add_owner(d, others, GPOINTER_TO_UINT(owner), o, now_us, out);
}

void in_force_clear(struct in_force *f)
{
	g_ptr_array_unref(f->behind);
}
