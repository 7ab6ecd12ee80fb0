#include "control/config_frames.h"

#include "lib/delta.h"
#include "lib/set.h"
#include "wire/ctl.h"

#include <string.h>

/* Bounds the items of a CTL_CONFIG frame, to stay below the frame size limit. */
#define CONFIG_FRAME_BYTES (256 * 1024)

/* Returns how many items from FROM on fit into one frame; at least one. */
static guint count_fitting(const GPtrArray *items, guint from)
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

static void add_items(GPtrArray *frames, const struct store *s, const GPtrArray *items,
		      bool is_snapshot)
{
	guint from = 0;

	do {
		guint count = count_fitting(items, from);
		struct frame_out *f = ctl_frame_new(CTL_CONFIG);

		frame_put_u64(f, s->revision);
		frame_put_bool(f, is_snapshot);
		frame_put_bool(f, from + count == items->len);
		frame_put_u64(f, count);
		for (guint i = from; i < from + count; i++)
			store_item_put(f, g_ptr_array_index(items, i));
		g_ptr_array_add(frames, f);
		from += count;
	} while (from < items->len);
}

/*
 * Adds a delta if only the set has changed and its history has a delta since FROM. Returns false if
 * the changes have to be sent in full.
 */
static bool add_delta(struct config_frames *c, GPtrArray *frames, const struct store *s, u64 from,
		      const GPtrArray *items)
{
	const struct store_item *set = items->len == 1 ? g_ptr_array_index(items, 0) : NULL;
	struct frame_out *f;
	const GArray *ops;
	u64 checksum;

	if (!set || strcmp(set->name, SET_NAME) || !set->json)
		return false;
	ops = set_history_delta(&c->set_history, from, s->revision, &checksum);
	if (!ops)
		return false;
	f = ctl_frame_new(CTL_SET_DELTA);
	frame_put_u64(f, s->revision);
	frame_put_u64(f, from);
	frame_put_u64(f, set->version);
	frame_put_u64(f, checksum);
	delta_put(f, ops);
	g_ptr_array_add(frames, f);
	return true;
}

static GPtrArray *make_frames(struct config_frames *c, const struct store *s, u64 from)
{
	GPtrArray *frames = g_ptr_array_new_with_free_func(ctl_frame_free);
	const struct store_item *set = store_find(s, SET_NAME);
	bool is_snapshot;
	g_autoptr(GPtrArray) items = store_changes_since(s, from, &is_snapshot);

	if (set)
		set_history_add(&c->set_history, s->revision, set->json);
	if (is_snapshot || !add_delta(c, frames, s, from, items))
		add_items(frames, s, items, is_snapshot);
	return frames;
}

const GPtrArray *config_frames_get(struct config_frames *c, const struct store *s, u64 from)
{
	struct config_frames_entry *e;

	for (u32 i = 0; i < CONFIG_FRAMES_ENTRIES; i++) {
		e = &c->entries[i];
		if (e->frames && e->from == from && e->to == s->revision)
			return e->frames;
	}
	e = &c->entries[c->next_entry];
	c->next_entry = (c->next_entry + 1) % CONFIG_FRAMES_ENTRIES;
	g_clear_pointer(&e->frames, g_ptr_array_unref);
	*e = (struct config_frames_entry){ .from = from,
					   .to = s->revision,
					   .frames = make_frames(c, s, from) };
	return e->frames;
}

void config_frames_clear(struct config_frames *c)
{
	for (u32 i = 0; i < CONFIG_FRAMES_ENTRIES; i++)
		g_clear_pointer(&c->entries[i].frames, g_ptr_array_unref);
	set_history_clear(&c->set_history);
}
