/*
 * The link to one control process: registration, renewals, the watch.
 *
 * The main link is kept to a control process that is fresh. While it is not,
 * or while it is far away, a second link tries the others one by one: the
 * nearest first, each node in an order of its own, so that nodes spread.
 * When none is fresh the nearest one that answers is kept, so that joins and
 * leaves still spread in a zone that is cut off.
 */
#include "node/node.h"

#include "lib/delta.h"
#include "lib/err.h"
#include "lib/log.h"
#include "lib/pack.h"
#include "lib/set.h"
#include "node/config.h"
#include "wire/ctl.h"
#include "wire/endpoint.h"

#include <string.h>
#include <xxhash.h>

#define TICK_US (100 * US_PER_MS)
/* A control process that is not fresh for this time is left for another one. */
#define NOT_FRESH_MAX_US (700 * US_PER_MS)
/* A trial ends without a verdict after this time. */
#define TRIAL_MAX_US (500 * US_PER_MS)
#define RETRY_US (500 * US_PER_MS)
/* How often a farther one looks for a nearer one. */
#define NEARER_RETRY_US (15 * US_PER_S)
/* By then a control process has heard of all that is alive. */
#define SWEEP_US (10 * US_PER_S)
#define CONFIG_TEXT_MAX_BYTES SET_JSON_MAX_BYTES
/* Of a configuration with no more services all are wanted; of a larger one those that are called.
 */
#define WANT_ALL_MAX 16

enum distance { SAME_ZONE, SAME_REGION, UNKNOWN_DISTANCE, OTHER_REGION };

/* Control processes that the group told of, beside the seeds. */
#define CANDIDATES_MAX 64

struct candidate {
	struct endpoint at;
	bool is_seed;
	bool is_told; /* named by the last membership */
	enum distance distance;
	u64 order; /* among candidates of the same distance */
	u64 retry_us; /* not tried before, as it was not fresh or did not answer */
	u64 nearer_us; /* not tried before as a nearer one than the main link's */
};

struct side {
	struct watch *w;
	struct link *link;
	struct candidate *to;
	u64 start_us;
	u64 fresh_us; /* when the control process was last fresh; 0 for never */
};

struct watch {
	struct node *node;
	struct side main;
	struct side trial;
	GPtrArray *candidates; /* of struct candidate */
	struct loop_timer timer;
	u64 renew_due_us;
	u64 sweep_due_us; /* 0 when done */
	GHashTable *told; /* nodes that the main control process told of */
	GHashTable *wanted; /* service -> whether the main control process has answered */
	u32 nodes; /* in the directory */
	GPtrArray *changes; /* of struct config_change, until the last frame */
	bool was_linked;
};

static void send_renew(struct watch *w)
{
	FRAME_AUTO(f, CTL_RENEW);

	frame_put_u64(&f, config_revision());
	link_send(w->main.link, &f);
}

static bool is_up(const struct side *s)
{
	return s->link && s->link->is_up;
}

void watch_register(struct node *n)
{
	struct watch *w = n->watch;
	FRAME_AUTO(f, CTL_REGISTER);

	if (!w || !is_up(&w->main))
		return;
	dir_entry_put(&f, &n->own);
	link_send(w->main.link, &f);
	send_renew(w);
}

static void drop(struct side *s)
{
	if (s->link)
		link_close(s->link);
	s->link = NULL;
	s->to = NULL;
}

static void drop_main(struct watch *w)
{
	drop(&w->main);
	g_ptr_array_set_size(w->changes, 0);
	g_hash_table_remove_all(w->told);
	w->sweep_due_us = 0;
}

/* Messages on the main link */

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

/* Which services the node calls; the answer tells their upstreams, as far as it uses them. */

static void send_want(struct watch *w)
{
	GHashTableIter iter;
	gpointer name;
	FRAME_AUTO(f, CTL_WANT);

	if (!is_up(&w->main))
		return;
	frame_put_u64(&f, g_hash_table_size(w->wanted));
	g_hash_table_iter_init(&iter, w->wanted);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		frame_put_str(&f, name);
	link_send(w->main.link, &f);
}

static bool add_wanted(struct watch *w, const char *service)
{
	if (g_hash_table_contains(w->wanted, service) ||
	    g_hash_table_size(w->wanted) >= CTL_WANTED_MAX)
		return false;
	g_hash_table_insert(w->wanted, g_strdup(service), GINT_TO_POINTER(false));
	return true;
}

/* All of a small configuration, before the first call comes. */
static void want_configured(struct watch *w)
{
	g_autoptr(GPtrArray) names = config_service_names();
	bool is_new = false;

	for (guint i = 0; names->len <= WANT_ALL_MAX && i < names->len; i++)
		is_new |= add_wanted(w, g_ptr_array_index(names, i));
	if (is_new)
		send_want(w);
}

static void want_answered(struct watch *w, const char *service)
{
	if (g_hash_table_contains(w->wanted, service))
		g_hash_table_insert(w->wanted, g_strdup(service), GINT_TO_POINTER(true));
}

/* Another control process is asked anew. */
static void want_again(struct watch *w)
{
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, w->wanted);
	while (g_hash_table_iter_next(&iter, NULL, NULL))
		g_hash_table_iter_replace(&iter, GINT_TO_POINTER(false));
	send_want(w);
}

bool watch_awaits(struct node *n, const char *service)
{
	struct watch *w = n->watch;

	if (!is_up(&w->main))
		return false;
	if (add_wanted(w, service))
		send_want(w);
	return g_hash_table_contains(w->wanted, service) &&
	       !g_hash_table_lookup(w->wanted, service);
}

u32 watch_nodes(const struct node *n)
{
	return n->watch->nodes;
}

/* Brings the changes that were collected into force. */
static void apply_changes(struct watch *w, u64 revision, bool is_snapshot)
{
	config_apply(revision, is_snapshot, w->changes);
	g_ptr_array_set_size(w->changes, 0);
	caller_configure(w->node);
	want_configured(w);
	send_renew(w);
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
	if (is_last)
		apply_changes(w, revision, is_snapshot);
	return 0;
}

static void ask_for_config(struct watch *w, u64 have)
{
	FRAME_AUTO(f, CTL_WATCH);

	frame_put_u64(&f, have);
	link_send(w->main.link, &f);
}

static struct config_change *set_change(u64 version, char *text)
{
	struct config_change *change = g_new0(struct config_change, 1);

	change->name = g_strdup(SET_NAME);
	change->version = version;
	change->json = text;
	return change;
}

/* The set as a difference to the one in force; where it does not fit, the whole is asked for. */
static int take_set_delta(struct watch *w, struct frame_in *in)
{
	u64 revision = frame_get_u64(in);
	u64 base = frame_get_u64(in);
	u64 version = frame_get_u64(in);
	u64 checksum = frame_get_u64(in);
	g_autoptr(GArray) ops = delta_get(in);
	const char *old_text = config_set_text();
	char *text;

	if (frame_done(in))
		return ERR_INVAL;
	if (revision <= config_revision())
		return 0;
	text = old_text && base == config_revision() ? delta_apply(old_text, ops) : NULL;
	if (!text || XXH64(text, strlen(text), 0) != checksum) {
		log_event(LOG_WARN, "the difference of sets does not fit, asking for the whole",
			  "revision", log_u64(revision), "base", log_u64(base), "have",
			  log_u64(config_revision()), NULL);
		g_free(text);
		ask_for_config(w, 0);
		return 0;
	}
	g_ptr_array_add(w->changes, set_change(version, text));
	apply_changes(w, revision, false);
	return 0;
}

/* An entry of the view: it is used, or has lost its place to another one. */
static void take_entry(struct watch *w, const struct dir_entry *e, bool is_dropped)
{
	struct choose *c = &w->node->choose;

	if (w->sweep_due_us)
		g_hash_table_add(w->told, g_strdup(e->node));
	/* The node itself knows its own entry best. */
	if (!strcmp(e->node, w->node->self.name))
		return;
	choose_set(c, e, loop_clock_us());
	if (is_dropped)
		choose_drop(c, e->node);
	entry_directory(w->node, e);
}

static void take_answered(struct watch *w, struct frame_in *in, GPtrArray *answered)
{
	u32 n = frame_get_count(in, CTL_WANTED_MAX);

	for (u32 i = 0; i < n && !in->err; i++) {
		char *name = frame_get_str(in, CTL_NAME_MAX_BYTES);

		if (in->err)
			return;
		g_ptr_array_add(answered, name);
		want_answered(w, name);
	}
}

static int take_view(struct watch *w, struct frame_in *in)
{
	g_autoptr(GPtrArray) answered = g_ptr_array_new_with_free_func(g_free);
	u32 nodes = (u32)frame_get_u64(in);
	u32 n;

	take_answered(w, in, answered);
	n = frame_get_count(in, CTL_ITEMS_PER_FRAME);
	for (u32 i = 0; i < n && !in->err; i++) {
		__attribute__((cleanup(dir_entry_clear))) struct dir_entry e = { 0 };
		bool is_dropped = frame_get_bool(in);

		dir_entry_get(in, &e);
		if (!in->err)
			take_entry(w, &e, is_dropped);
	}
	if (frame_done(in))
		return ERR_INVAL;
	/* A control process that has just started doesn't know all nodes yet. */
	if (nodes > w->nodes || !w->sweep_due_us)
		w->nodes = nodes;
	for (guint i = 0; i < answered->len; i++)
		entry_service_known(w->node, g_ptr_array_index(answered, i));
	return 0;
}

/* What left while no control process was there is not in the new one's directory. */
static void sweep(struct watch *w)
{
	struct choose *c = &w->node->choose;
	g_autoptr(GList) names = g_hash_table_get_keys(c->targets);

	for (GList *l = names; l; l = l->next) {
		__attribute__((cleanup(dir_entry_clear))) struct dir_entry e = { 0 };
		const char *name = l->data;

		if (g_hash_table_contains(w->told, name) || !strcmp(name, w->node->self.name))
			continue;
		dir_entry_copy(&e, &choose_find(c, name)->entry);
		e.state = DIR_GONE;
		choose_set(c, &e, loop_clock_us());
		entry_directory(w->node, &e);
	}
	w->sweep_due_us = 0;
	g_hash_table_remove_all(w->told);
}

/* Links */

static enum distance distance_of(const struct watch *w, const struct link *k)
{
	const struct link_id *self = &w->node->self;

	if (strcmp(self->region, k->remote.region))
		return OTHER_REGION;
	return strcmp(self->zone, k->remote.zone) ? SAME_REGION : SAME_ZONE;
}

static bool is_main_fresh(const struct watch *w, u64 now_us)
{
	return is_up(&w->main) && w->main.fresh_us && now_us - w->main.fresh_us <= NOT_FRESH_MAX_US;
}

/* The trial becomes the main link. */
static void promote(struct watch *w, u64 now_us)
{
	struct link *k = w->trial.link;

	if (w->was_linked)
		ctr_inc(CTR_CONTROL_MOVED);
	w->was_linked = true;
	drop_main(w);
	w->main = w->trial;
	w->trial.link = NULL;
	w->trial.to = NULL;
	k->arg = &w->main;
	w->sweep_due_us = now_us + SWEEP_US;
	/* A new version, so that this control process takes the entry over. */
	w->node->own.version++;
	watch_register(w->node);
	ask_for_config(w, config_revision());
	want_again(w);
	log_event(LOG_INFO, "control link up", "control", k->remote.name, "fresh",
		  w->main.fresh_us ? "yes" : "no", NULL);
}

/* What is not worth a move from a fresh process is worth one as soon as that is not fresh. */
static void put_off(struct candidate *to, bool has_fresh, u64 now_us)
{
	if (has_fresh)
		to->nearer_us = now_us + NEARER_RETRY_US;
	else
		to->retry_us = now_us + RETRY_US;
}

static void judge_trial(struct watch *w, bool is_fresh, u64 now_us)
{
	struct candidate *to = w->trial.to;
	bool has_fresh = is_main_fresh(w, now_us);
	bool is_nearer = !w->main.to || to->distance < w->main.to->distance;

	if (is_fresh)
		w->trial.fresh_us = now_us;
	if (is_fresh ? !has_fresh || is_nearer : !has_fresh && is_nearer) {
		promote(w, now_us);
		return;
	}
	put_off(to, has_fresh, now_us);
	drop(&w->trial);
}

static int take_fresh(struct side *s, struct frame_in *in)
{
	bool is_fresh = frame_get_bool(in);
	u64 revision = frame_get_u64(in);
	u64 now = loop_clock_us();

	if (frame_done(in))
		return ERR_INVAL;
	is_fresh = is_fresh && revision >= config_revision();
	if (s == &s->w->trial)
		judge_trial(s->w, is_fresh, now);
	else if (is_fresh)
		s->fresh_us = now;
	return 0;
}

static struct candidate *find_candidate(struct watch *w, const struct endpoint *at)
{
	for (guint i = 0; i < w->candidates->len; i++) {
		struct candidate *c = g_ptr_array_index(w->candidates, i);

		if (endpoint_is_same(&c->at, at))
			return c;
	}
	return NULL;
}

static struct candidate *add_candidate(struct watch *w, const struct endpoint *at)
{
	u64 self = XXH64(w->node->self.name, strlen(w->node->self.name), 0);
	struct candidate *c = find_candidate(w, at);

	if (c || w->candidates->len >= CANDIDATES_MAX)
		return c;
	c = g_new0(struct candidate, 1);
	c->at = *at;
	c->distance = UNKNOWN_DISTANCE;
	c->order = XXH64(at->host, strlen(at->host), self + at->port);
	g_ptr_array_add(w->candidates, c);
	return c;
}

/* Those that were told before and are in use stay until they are not. */
static void drop_untold(struct watch *w)
{
	for (guint i = w->candidates->len; i > 0; i--) {
		struct candidate *c = g_ptr_array_index(w->candidates, i - 1);

		if (!c->is_seed && !c->is_told && c != w->main.to && c != w->trial.to)
			g_ptr_array_remove_index(w->candidates, i - 1);
	}
}

static int take_members(struct watch *w, struct frame_in *in)
{
	u32 n = frame_get_count(in, CANDIDATES_MAX);
	bool learns = w->node->settings->node.learns_control;

	for (guint i = 0; i < w->candidates->len; i++)
		((struct candidate *)g_ptr_array_index(w->candidates, i))->is_told = false;
	for (u32 i = 0; i < n && !in->err; i++) {
		struct endpoint at;
		struct candidate *c;

		endpoint_get(in, &at);
		c = in->err || !learns ? NULL : add_candidate(w, &at);
		if (c)
			c->is_told = true;
	}
	drop_untold(w);
	return frame_done(in);
}

static int take_frame(struct side *s, u32 type, struct frame_in *in);

/* One frame that was packed; a packed one in it is refused. */
static int take_packed(struct side *s, struct frame_in *in)
{
	u64 raw_len = frame_get_u64(in);
	size_t len;
	const void *packed = frame_get_bin(in, &len);
	g_autoptr(GByteArray) raw = NULL;
	struct frame_in inner;
	u32 type;

	if (frame_done(in))
		return ERR_INVAL;
	raw = unpack_bytes(packed, len, raw_len, FRAME_MAX_BYTES);
	if (!raw)
		return ERR_INVAL;
	frame_read(&inner, raw->data, raw->len);
	type = (u32)frame_get_u64(&inner);
	return type == CTL_PACKED ? ERR_INVAL : take_frame(s, type, &inner);
}

static int take_frame(struct side *s, u32 type, struct frame_in *in)
{
	switch (type) {
	case CTL_CONFIG:
		return take_config(s->w, in);
	case CTL_SET_DELTA:
		return take_set_delta(s->w, in);
	case CTL_VIEW:
		return take_view(s->w, in);
	case CTL_FRESH:
		return take_fresh(s, in);
	case CTL_MEMBERS:
		return take_members(s->w, in);
	case CTL_PACKED:
		return take_packed(s, in);
	default:
		return ERR_INVAL;
	}
}

static int on_frame(struct link *k, u32 type, struct frame_in *in)
{
	return take_frame(k->arg, type, in);
}

static void on_up(struct link *k)
{
	struct side *s = k->arg;

	s->to->distance = distance_of(s->w, k);
}

static void on_down(struct link *k, int err)
{
	struct side *s = k->arg;
	struct watch *w = s->w;

	s->to->retry_us = loop_clock_us() + RETRY_US;
	s->link = NULL;
	if (s == &w->trial) {
		drop(s);
		return;
	}
	log_event(LOG_WARN, "control link down", "control", k->remote.name ? k->remote.name : "",
		  "error", err_text(err), NULL);
	drop_main(w);
}

static const struct link_ops ops = { .up = on_up, .frame = on_frame, .down = on_down };

static bool is_before(const struct candidate *a, const struct candidate *b)
{
	if (a->distance != b->distance)
		return a->distance < b->distance;
	return a->order < b->order;
}

/* The best candidate that is due; with a fresh main link only a nearer one. */
static struct candidate *pick(struct watch *w, bool has_fresh, u64 now_us)
{
	struct candidate *best = NULL;

	for (guint i = 0; i < w->candidates->len; i++) {
		struct candidate *c = g_ptr_array_index(w->candidates, i);

		if (c == w->main.to || (has_fresh ? c->nearer_us : c->retry_us) > now_us)
			continue;
		if (has_fresh && c->distance != UNKNOWN_DISTANCE &&
		    c->distance >= w->main.to->distance)
			continue;
		if (!best || is_before(c, best))
			best = c;
	}
	return best;
}

static void try_another(struct watch *w, u64 now_us)
{
	bool has_fresh = is_main_fresh(w, now_us);
	struct candidate *to;

	if (has_fresh && w->main.to->distance == SAME_ZONE)
		return;
	to = pick(w, has_fresh, now_us);
	if (!to)
		return;
	put_off(to, has_fresh, now_us);
	log_event(LOG_DEBUG, "control trial", "control", to->at.host, "distance",
		  log_u64(to->distance), "has_fresh", has_fresh ? "yes" : "no", NULL);
	w->trial.to = to;
	w->trial.start_us = now_us;
	w->trial.fresh_us = 0;
	w->trial.link =
		link_dial(w->node->loop, &w->node->self, to->at.host, to->at.port, &ops, &w->trial);
	if (!w->trial.link)
		w->trial.to = NULL;
}

static void check_trial(struct watch *w, u64 now_us)
{
	if (w->trial.link && now_us - w->trial.start_us > TRIAL_MAX_US) {
		w->trial.to->retry_us = now_us + TRIAL_MAX_US;
		drop(&w->trial);
	}
	if (!w->trial.link)
		try_another(w, now_us);
}

/* Counts a main link that stopped being fresh, once. */
static void check_main(struct watch *w, u64 now_us)
{
	if (!is_up(&w->main) || !w->main.fresh_us || is_main_fresh(w, now_us))
		return;
	ctr_inc(CTR_CONTROL_NOT_FRESH);
	log_event(LOG_WARN, "control not fresh", "control", w->main.link->remote.name, "age_us",
		  log_u64(now_us - w->main.fresh_us), "revision", log_u64(config_revision()), NULL);
	w->main.fresh_us = 0;
}

static void on_timer(void *arg, u64 now_us)
{
	struct watch *w = arg;

	check_main(w, now_us);
	check_trial(w, now_us);
	if (is_up(&w->main) && now_us >= w->renew_due_us) {
		send_renew(w);
		w->renew_due_us = now_us + CTL_RENEW_INTERVAL_US;
	}
	if (w->sweep_due_us && now_us >= w->sweep_due_us && is_main_fresh(w, now_us))
		sweep(w);
	loop_timer_set(w->node->loop, &w->timer, now_us + TICK_US);
}

static void add_candidates(struct watch *w)
{
	const GArray *list = w->node->settings->node.control;

	for (guint i = 0; i < list->len; i++) {
		struct candidate *c = add_candidate(w, &g_array_index(list, struct endpoint, i));

		if (c)
			c->is_seed = true;
	}
}

void watch_settings(struct node *n)
{
	struct watch *w = n->watch;

	for (guint i = 0; i < w->candidates->len; i++)
		((struct candidate *)g_ptr_array_index(w->candidates, i))->is_seed = false;
	add_candidates(w);
}

bool watch_is_fresh(const struct node *n)
{
	return is_main_fresh(n->watch, loop_clock_us());
}

int watch_start(struct node *n)
{
	struct watch *w = g_new0(struct watch, 1);

	n->watch = w;
	w->node = n;
	w->main.w = w;
	w->trial.w = w;
	w->changes = g_ptr_array_new_with_free_func(config_change_free);
	w->told = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	w->wanted = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	w->candidates = g_ptr_array_new_with_free_func(g_free);
	add_candidates(w);
	w->timer = (struct loop_timer){ .fire = on_timer, .arg = w };
	loop_timer_set(n->loop, &w->timer, loop_clock_us());
	return 0;
}

void watch_stop(struct node *n)
{
	struct watch *w = n->watch;

	loop_timer_cancel(n->loop, &w->timer);
	drop(&w->main);
	drop(&w->trial);
	g_ptr_array_unref(w->candidates);
	g_hash_table_unref(w->told);
	g_hash_table_unref(w->wanted);
	g_ptr_array_unref(w->changes);
	g_clear_pointer(&n->watch, g_free);
}
