/* The link to one control process: registration, renewals, the watch. */
#include "node/node.h"

#include "lib/err.h"
#include "lib/log.h"
#include "node/config.h"
#include "wire/ctl.h"

#include <string.h>

#define REDIAL_US (200 * US_PER_MS)
/* A control process that is not fresh for this time is left for another one. */
#define NOT_FRESH_MAX_US (2 * US_PER_S)
#define CONFIG_TEXT_MAX_BYTES (512 * 1024)

struct watch {
	struct node *node;
	struct link *link;
	guint at; /* position in the settings' list */
	struct loop_timer timer;
	u64 fresh_us; /* when the control process was last fresh, or linked */
	GPtrArray *changes; /* of struct config_change, until the last frame */
};

static void send_renew(struct watch *w)
{
	FRAME_AUTO(f, CTL_RENEW);

	frame_put_u64(&f, config_revision());
	link_send(w->link, &f);
}

void watch_register(struct node *n)
{
	struct watch *w = n->watch;
	FRAME_AUTO(f, CTL_REGISTER);

	if (!w || !w->link || !w->link->is_up)
		return;
	dir_entry_put(&f, &n->own);
	link_send(w->link, &f);
	send_renew(w);
}

static void on_up(struct link *k)
{
	struct watch *w = k->arg;
	FRAME_AUTO(f, CTL_WATCH);

	w->fresh_us = loop_clock_us();
	/* A new version, so that this control process takes the entry over. */
	w->node->own.version++;
	watch_register(w->node);
	frame_put_u64(&f, config_revision());
	link_send(k, &f);
	log_event(LOG_INFO, "control link up", "control", k->remote.name, NULL);
}

static struct config_change *get_change(struct frame_in *in)
{
	struct config_change *change = g_new0(struct config_change, 1);
	bool is_live;

	change->name = frame_get_str(in, CONFIG_TEXT_MAX_BYTES);
	change->version = frame_get_u64(in);
	frame_get_u64(in);
	is_live = frame_get_bool(in);
	change->json = frame_get_str(in, CONFIG_TEXT_MAX_BYTES);
	if (!is_live)
		g_clear_pointer(&change->json, g_free);
	return change;
}

static int take_config(struct watch *w, struct frame_in *in)
{
	u64 revision = frame_get_u64(in);
	bool is_snapshot = frame_get_bool(in);
	bool is_last = frame_get_bool(in);
	u32 n = frame_get_count(in, CTL_ITEMS_PER_FRAME);

	for (u32 i = 0; i < n && !in->err; i++)
		g_ptr_array_add(w->changes, get_change(in));
	if (frame_done(in))
		return ERR_INVAL;
	if (!is_last)
		return 0;
	config_apply(revision, is_snapshot, w->changes);
	g_ptr_array_set_size(w->changes, 0);
	send_renew(w);
	return 0;
}

static int take_directory(struct watch *w, struct frame_in *in)
{
	u32 n;

	frame_get_u64(in);
	frame_get_bool(in);
	frame_get_bool(in);
	n = frame_get_count(in, CTL_ITEMS_PER_FRAME);
	for (u32 i = 0; i < n && !in->err; i++) {
		__attribute__((cleanup(dir_entry_clear))) struct dir_entry e = { 0 };

		dir_entry_get(in, &e);
		/* The node itself knows its own entry best. */
		if (!in->err && strcmp(e.node, w->node->self.name))
			choose_set(&w->node->choose, &e, loop_clock_us());
	}
	return frame_done(in);
}

static void move_on(struct watch *w)
{
	ctr_inc(CTR_CONTROL_MOVED);
	w->at = (w->at + 1) % w->node->settings->node.control->len;
}

static int take_fresh(struct watch *w, struct frame_in *in)
{
	bool is_fresh = frame_get_bool(in);
	u64 revision = frame_get_u64(in);
	u64 now = loop_clock_us();

	if (frame_done(in))
		return ERR_INVAL;
	if (is_fresh && revision >= config_revision())
		w->fresh_us = now;
	return 0;
}

static int on_frame(struct link *k, u32 type, struct frame_in *in)
{
	struct watch *w = k->arg;

	switch (type) {
	case CTL_CONFIG:
		return take_config(w, in);
	case CTL_DIR:
		return take_directory(w, in);
	case CTL_FRESH:
		return take_fresh(w, in);
	default:
		return ERR_INVAL;
	}
}

static void on_down(struct link *k, int err)
{
	struct watch *w = k->arg;

	log_event(LOG_WARN, "control link down", "control", k->remote.name ? k->remote.name : "",
		  "error", err_text(err), NULL);
	w->link = NULL;
	g_ptr_array_set_size(w->changes, 0);
	move_on(w);
	loop_timer_set(w->node->loop, &w->timer, loop_clock_us() + REDIAL_US);
}

static const struct link_ops ops = { .up = on_up, .frame = on_frame, .down = on_down };

static void dial(struct watch *w)
{
	const GArray *list = w->node->settings->node.control;
	const struct endpoint *at = &g_array_index(list, struct endpoint, w->at);

	w->link = link_dial(w->node->loop, &w->node->self, at->host, at->port, &ops, w);
	w->fresh_us = loop_clock_us();
	if (!w->link)
		move_on(w);
}

static void on_timer(void *arg, u64 now_us)
{
	struct watch *w = arg;

	if (w->link && now_us - w->fresh_us > NOT_FRESH_MAX_US) {
		ctr_inc(CTR_CONTROL_NOT_FRESH);
		link_close(w->link);
		w->link = NULL;
		g_ptr_array_set_size(w->changes, 0);
		move_on(w);
	}
	if (!w->link)
		dial(w);
	else if (w->link->is_up)
		send_renew(w);
	loop_timer_set(w->node->loop, &w->timer, now_us + CTL_RENEW_INTERVAL_US);
}

int watch_start(struct node *n)
{
	struct watch *w = g_new0(struct watch, 1);

	n->watch = w;
	w->node = n;
	w->changes = g_ptr_array_new_with_free_func(config_change_free);
	/* Nodes spread over the control processes. */
	w->at = g_str_hash(n->self.name) % n->settings->node.control->len;
	w->timer = (struct loop_timer){ .fire = on_timer, .arg = w };
	loop_timer_set(n->loop, &w->timer, loop_clock_us());
	return 0;
}

void watch_stop(struct node *n)
{
	struct watch *w = n->watch;

	loop_timer_cancel(n->loop, &w->timer);
	if (w->link)
		link_close(w->link);
	g_ptr_array_unref(w->changes);
	g_clear_pointer(&n->watch, g_free);
}
