#include "control/recent.h"

#include "lib/err.h"
#include "lib/set.h"

#include <string.h>

/* As of the store's items. */
#define NAME_MAX_BYTES SET_JSON_MAX_BYTES

struct recent_change {
	char *name;
	u64 serial;
	GList link; /* in the order */
};

static void change_free(gpointer p)
{
	struct recent_change *change = p;

	g_free(change->name);
	g_free(change);
}

void recent_init(struct recent *r)
{
	memset(r, 0, sizeof(*r));
	r->names = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, change_free);
	g_queue_init(&r->order);
}

void recent_clear(struct recent *r)
{
	g_hash_table_unref(r->names);
}

static void forget_oldest(struct recent *r)
{
	struct recent_change *oldest = g_queue_pop_head_link(&r->order)->data;

	r->forgotten = MAX(r->forgotten, oldest->serial);
	g_hash_table_remove(r->names, oldest->name);
}

static struct recent_change *change_new(struct recent *r, const char *name)
{
	struct recent_change *change = g_new0(struct recent_change, 1);

	change->name = g_strdup(name);
	change->link.data = change;
	g_hash_table_insert(r->names, change->name, change);
	return change;
}

void recent_add_at(struct recent *r, const char *name, u64 serial)
{
	struct recent_change *change = g_hash_table_lookup(r->names, name);

	if (change)
		g_queue_unlink(&r->order, &change->link);
	else
		change = change_new(r, name);
	change->serial = serial;
	r->serial = serial;
	g_queue_push_tail_link(&r->order, &change->link);
	if (r->order.length > RECENT_NAMES_MAX)
		forget_oldest(r);
}

void recent_add(struct recent *r, const char *name)
{
	recent_add_at(r, name, r->serial + 1);
}

bool recent_is_after(const struct recent *r, const char *name, u64 serial)
{
	const struct recent_change *change = g_hash_table_lookup(r->names, name);

	return (change ? change->serial : r->forgotten) > serial;
}

void recent_put(struct frame_out *f, const struct recent *r)
{
	frame_put_u64(f, r->serial);
	frame_put_u64(f, r->forgotten);
	frame_put_u64(f, r->order.length);
	for (const GList *l = r->order.head; l; l = l->next) {
		const struct recent_change *change = l->data;

		frame_put_str(f, change->name);
		frame_put_u64(f, change->serial);
	}
}

void recent_get(struct recent *r, struct frame_in *in)
{
	u64 serial = frame_get_u64(in);
	u32 n;

	r->forgotten = frame_get_u64(in);
	n = frame_get_count(in, RECENT_NAMES_MAX);
	for (u32 i = 0; i < n && !in->err; i++) {
		g_autofree char *name = frame_get_str(in, NAME_MAX_BYTES);
		u64 changed = frame_get_u64(in);

		if (changed <= r->serial || changed > serial)
			in->err = ERR_INVAL;
		else
			recent_add_at(r, name, changed);
	}
	r->serial = serial;
}
