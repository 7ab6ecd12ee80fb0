#include "control/push.h"

#include "lib/delta.h"
#include "lib/pack.h"
#include "lib/set.h"
#include "wire/ctl.h"

#include <string.h>

/* Items of one CTL_CONFIG frame stay under the frame limit. */
#define CONFIG_FRAME_BYTES (256 * 1024)
/* Shorter frames gain too little. */
#define PACK_MIN_BYTES 1024

static void frame_out_free(gpointer p)
{
	frame_free(p);
	g_free(p);
}

static struct frame_out *frame_new(enum ctl_type type)
{
	struct frame_out *f = g_new0(struct frame_out, 1);

	frame_begin(f, type);
	return f;
}

static void add(GPtrArray *out, struct frame_out *f)
{
	size_t len = frame_end(f) - FRAME_HEADER_BYTES;
	g_autoptr(GByteArray) packed = NULL;
	struct frame_out *shorter;

	if (len < PACK_MIN_BYTES) {
		g_ptr_array_add(out, f);
		return;
	}
	packed = pack_bytes(f->buf.data + FRAME_HEADER_BYTES, len);
	shorter = frame_new(CTL_PACKED);
	frame_put_u64(shorter, len);
	frame_put_bin(shorter, packed->data, packed->len);
	g_ptr_array_add(out, shorter);
	frame_out_free(f);
}

/* How many items from FROM on fit into one frame; at least one. */
static guint fitting(const GPtrArray *items, guint from)
{
	size_t bytes = 0;
	guint n = 0;

	while (from + n < items->len && n < CTL_ITEMS_PER_FRAME) {
		const struct store_item *item = g_ptr_array_index(items, from + n);

		bytes += strlen(item->name) + (item->json ? strlen(item->json) : 0);
		if (n && bytes > CONFIG_FRAME_BYTES)
			break;
		n++;
	}
	return n;
}

static void add_items(GPtrArray *out, const struct store *s, const GPtrArray *items,
		      bool is_snapshot)
{
	guint from = 0;

	do {
		guint count = fitting(items, from);
		struct frame_out *f = frame_new(CTL_CONFIG);

		frame_put_u64(f, s->revision);
		frame_put_bool(f, is_snapshot);
		frame_put_bool(f, from + count == items->len);
		frame_put_u64(f, count);
		for (guint i = from; i < from + count; i++)
			store_item_put(f, g_ptr_array_index(items, i));
		add(out, f);
		from += count;
	} while (from < items->len);
}

/* The difference of the set, where that is all that is new. Returns false otherwise. */
static bool add_delta(struct push *p, GPtrArray *out, const struct store *s, u64 from,
		      const GPtrArray *items)
{
	const struct store_item *set = items->len == 1 ? g_ptr_array_index(items, 0) : NULL;
	struct frame_out *f;
	const GArray *ops;
	u64 checksum;

	if (!set || strcmp(set->name, SET_NAME) || !set->json)
		return false;
	ops = recent_difference(&p->recent, from, s->revision, &checksum);
	if (!ops)
		return false;
	f = frame_new(CTL_SET_DELTA);
	frame_put_u64(f, s->revision);
	frame_put_u64(f, from);
	frame_put_u64(f, set->version);
	frame_put_u64(f, checksum);
	delta_put(f, ops);
	add(out, f);
	return true;
}

static GPtrArray *make(struct push *p, const struct store *s, u64 from)
{
	const struct store_item *set = store_find(s, SET_NAME);
	GPtrArray *out = g_ptr_array_new_with_free_func(frame_out_free);
	bool is_snapshot;
	g_autoptr(GPtrArray) items = store_since(s, from, &is_snapshot);

	if (set && set->json)
		recent_note(&p->recent, s->revision, set->json);
	if (is_snapshot || !add_delta(p, out, s, from, items))
		add_items(out, s, items, is_snapshot);
	return out;
}

GPtrArray *push_frames_for(struct push *p, const struct store *s, u64 from)
{
	struct push_frames *place = &p->kept[p->next];

	for (u32 i = 0; i < PUSH_KEPT; i++)
		if (p->kept[i].to == s->revision && p->kept[i].from == from && p->kept[i].frames)
			return p->kept[i].frames;
	g_clear_pointer(&place->frames, g_ptr_array_unref);
	*place =
		(struct push_frames){ .to = s->revision, .from = from, .frames = make(p, s, from) };
	p->next = (p->next + 1) % PUSH_KEPT;
	return place->frames;
}

void push_clear(struct push *p)
{
	for (u32 i = 0; i < PUSH_KEPT; i++)
		g_clear_pointer(&p->kept[i].frames, g_ptr_array_unref);
	recent_clear(&p->recent);
}
