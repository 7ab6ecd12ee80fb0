#include "control/config_frames.h"

#include "control/evacuation.h"
#include "lib/clock.h"
#include "lib/set_frame.h"
#include "wire/ctl.h"

#include <string.h>

/* Frames that are being written. */
struct writer {
	GPtrArray *frames;
	struct frame_out *frame; /* the last one; NULL if it is ended */
	u32 steps; /* in it */
	const struct set_route *last_route; /* in it */
};

static void end_frame(struct writer *w)
{
	if (w->frame)
		g_ptr_array_add(w->frames, g_steal_pointer(&w->frame));
	w->steps = 0;
	w->last_route = NULL;
}

/* Returns the frame to write the next step into. */
static struct frame_out *begin_step(struct writer *w, enum ctl_config_step step)
{
	if (w->frame &&
	    (w->steps >= CONFIG_FRAME_STEPS_MAX || w->frame->buf.size >= CONFIG_FRAME_BYTES))
		end_frame(w);
	if (!w->frame)
		w->frame = ctl_frame_new(CTL_CONFIG);
	w->steps++;
	frame_put_u64(w->frame, step);
	return w->frame;
}

static void put_begin(struct writer *w, u64 revision, u64 base)
{
	struct frame_out *f = begin_step(w, CTL_CONFIG_BEGIN);

	frame_put_u64(f, revision);
	frame_put_u64(f, base);
}

static void put_declared(struct writer *w, const struct store_item *item)
{
	struct frame_out *f = begin_step(w, item->json ? CTL_CONFIG_DECLARE : CTL_CONFIG_UNDECLARE);

	frame_put_str(f, item->name);
	if (!item->json)
		return;
	frame_put_u64(f, item->version);
	frame_put_str(f, item->json);
}

static void put_evacuation(struct writer *w, const struct store_item *item)
{
	frame_put_str(begin_step(w, item->json ? CTL_CONFIG_EVACUATE : CTL_CONFIG_RESTORE),
		      evacuation_zone(item->name));
}

/* Puts an item of the store other than the set. */
static void put_item(struct writer *w, const struct store_item *item)
{
	if (evacuation_zone(item->name))
		put_evacuation(w, item);
	else
		put_declared(w, item);
}

static void put_set(struct writer *w, const struct set *s)
{
	struct frame_out *f = begin_step(w, CTL_CONFIG_SET);

	frame_put_u64(f, s->version);
	frame_put_u64(f, s->limits.head_bytes);
	frame_put_u64(f, s->limits.body_bytes);
	frame_put_u64(f, s->limits.head_timeout_ms);
	frame_put_u64(f, s->limits.idle_timeout_ms);
	frame_put_bool(f, s->organisations != NULL);
}

static void put_services(struct writer *w, const struct set *s, const GArray *indexes)
{
	for (guint i = 0; i < indexes->len; i++)
		set_service_put(begin_step(w, CTL_CONFIG_SERVICE),
				g_ptr_array_index(s->services, g_array_index(indexes, u32, i)));
}

static void put_routes(struct writer *w, const struct set *s, const GArray *indexes)
{
	g_autoptr(GPtrArray) routes = g_ptr_array_new();

	for (guint i = 0; i < indexes->len; i++)
		g_ptr_array_add(routes,
				g_ptr_array_index(s->routes, g_array_index(indexes, u32, i)));
	g_ptr_array_sort(routes, set_route_compare);
	for (guint i = 0; i < routes->len; i++) {
		const struct set_route *r = g_ptr_array_index(routes, i);
		struct frame_out *f = begin_step(w, CTL_CONFIG_ROUTE);

		set_route_put(f, r, w->last_route);
		w->last_route = r;
	}
}

static void put_organisations(struct writer *w, const struct set *s, const GArray *indexes)
{
	for (guint i = 0; i < indexes->len; i++)
		set_organisation_put(
			begin_step(w, CTL_CONFIG_ORGANISATION),
			g_ptr_array_index(s->organisations, g_array_index(indexes, u32, i)));
}

static void put_keys(struct writer *w, enum ctl_config_step step, const GArray *keys)
{
	for (guint i = 0; i < keys->len; i++)
		frame_put_u64(begin_step(w, step), g_array_index(keys, u64, i));
}

/* A service is added before the routes to it, and removed after them. */
static void put_difference(struct writer *w, const struct set *s, const struct set_difference *d)
{
	put_set(w, s);
	put_keys(w, CTL_CONFIG_DROP_ORGANISATION, d->dropped[SET_ORGANISATIONS]);
	put_organisations(w, s, d->changed[SET_ORGANISATIONS]);
	put_services(w, s, d->changed[SET_SERVICES]);
	put_keys(w, CTL_CONFIG_DROP_ROUTE, d->dropped[SET_ROUTES]);
	put_routes(w, s, d->changed[SET_ROUTES]);
	put_keys(w, CTL_CONFIG_DROP_SERVICE, d->dropped[SET_SERVICES]);
}

static void put_end(struct writer *w, const struct set_history *h)
{
	struct frame_out *f = begin_step(w, CTL_CONFIG_END);

	frame_put_u64(f, h->checksum);
	frame_put_u64(f, h->newest ? h->newest->routes->len : 0);
	frame_put_u64(f, h->newest ? h->newest->services->len : 0);
	frame_put_u64(f, h->newest && h->newest->organisations ? h->newest->organisations->len : 0);
}

/* FROM is a base, see config_frames_base. */
static GPtrArray *make_frames(struct config_frames *c, const struct store *s, u64 from)
{
	struct writer w = { .frames = g_ptr_array_new_with_free_func(ctl_frame_free) };
	const struct set_history *h = &c->set_history;
	__attribute__((cleanup(set_difference_clear))) struct set_difference difference = { 0 };
	g_autoptr(GPtrArray) items = NULL;
	bool is_whole;

	items = store_changes_since(s, from, &is_whole);
	set_history_compare(h, from, &difference);
	put_begin(&w, s->revision, from);
	for (guint i = 0; i < items->len; i++)
		if (strcmp(((struct store_item *)g_ptr_array_index(items, i))->name, SET_NAME))
			put_item(&w, g_ptr_array_index(items, i));
	if (set_history_has_changed(h, from))
		put_difference(&w, h->newest, &difference);
	put_end(&w, h);
	end_frame(&w);
	return w.frames;
}

/*
 * Returns the entry for FROM, or an unused one. Entries that lead to an older revision are unused.
 */
static struct config_frames_entry *find_entry(struct config_frames *c, u64 from, u64 to)
{
	struct config_frames_entry *unused = NULL;

	for (u32 i = 0; i < CONFIG_FRAMES_ENTRIES; i++) {
		struct config_frames_entry *e = &c->entries[i];

		if (e->to != to)
			g_clear_pointer(&e->frames, g_ptr_array_unref);
		if (e->frames && e->from == from)
			return e;
		if (!e->frames)
			unused = e;
	}
	if (!unused)
		unused = &c->entries[c->next_entry++ % CONFIG_FRAMES_ENTRIES];
	g_clear_pointer(&unused->frames, g_ptr_array_unref);
	return unused;
}

void config_frames_observe(struct config_frames *c, const struct store *s)
{
	set_history_update(&c->set_history, store_find(s, SET_NAME), s->revision);
	c->unobserved_bytes = 0;
	c->early_us = 0;
}

static bool may_observe_early(const struct config_frames *c)
{
	return c->set_history.newest && c->unobserved_bytes &&
	       c->unobserved_bytes <= CONFIG_FRAMES_EARLY_BYTES &&
	       c->early_us < CONFIG_FRAMES_EARLY_US;
}

void config_frames_before_change(struct config_frames *c, const struct store *s, size_t bytes)
{
	u64 began_us = loop_clock_us();
	u64 early_us = c->early_us;

	if (may_observe_early(c)) {
		config_frames_observe(c, s);
		c->early_us = early_us + loop_clock_us() - began_us;
	}
	c->unobserved_bytes += bytes;
}

u64 config_frames_base(struct config_frames *c, const struct store *s, u64 from)
{
	config_frames_observe(c, s);
	if (from < s->pruned_revision)
		return 0;
	return set_history_knows(&c->set_history, from) || !store_find(s, SET_NAME) ? from : 0;
}

const GPtrArray *config_frames_get(struct config_frames *c, const struct store *s, u64 from)
{
	struct config_frames_entry *e;

	from = config_frames_base(c, s, from);
	e = find_entry(c, from, s->revision);
	if (e->frames)
		return e->frames;
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
