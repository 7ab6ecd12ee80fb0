/* Links between control processes; each process dials all the others. */
#include "control/control.h"

#include "control/op.h"
#include "lib/err.h"
#include "lib/log.h"
#include "wire/ctl.h"

#include <string.h>

#define REDIAL_US (300 * US_PER_MS)
#define BEHIND_NAMES_MAX 16
#define SUMMARY_MAX 64
#define NODE_NAME_MAX_BYTES 128

struct control_peer {
	struct control *c;
	u32 id;
	struct endpoint at;
	struct link *link;
	struct loop_timer redial;
	u64 dir_seq; /* directory changes sent up to here */
};

/* The applied revisions of the nodes of one control process. */
struct applied_summary {
	u32 n;
	u64 revision[SUMMARY_MAX];
	u32 nodes[SUMMARY_MAX];
	GPtrArray *behind; /* of char, the nodes that are not at the highest revision */
	u64 heard_us;
};

static void dial(struct control_peer *p);

static void summary_free(gpointer arg)
{
	struct applied_summary *s = arg;

	g_ptr_array_unref(s->behind);
	g_free(s);
}

static void peer_free(gpointer arg)
{
	struct control_peer *p = arg;

	loop_timer_cancel(p->c->loop, &p->redial);
	if (p->link)
		link_close(p->link);
	g_free(p);
}

static void on_up(struct link *k)
{
	struct control_peer *p = k->arg;

	p->dir_seq = 0;
	log_event(LOG_INFO, "control link up", "peer", k->remote.name, NULL);
	peers_spread_directory(p->c);
}

static int on_frame(struct link *k, u32 type, struct frame_in *in)
{
	struct control_peer *p = k->arg;

	return peers_frame(p->c, k, type, in);
}

static void on_down(struct link *k, int err)
{
	struct control_peer *p = k->arg;

	if (k->is_up)
		log_event(LOG_WARN, "control link down", "peer", k->remote.name, "error",
			  err_text(err), NULL);
	p->link = NULL;
	op_link_down(p->c, k);
	loop_timer_set(p->c->loop, &p->redial, loop_clock_us() + REDIAL_US);
}

static const struct link_ops dialled_ops = { .up = on_up, .frame = on_frame, .down = on_down };

static void on_redial(void *arg, u64 now_us)
{
	(void)now_us;
	dial(arg);
}

static void dial(struct control_peer *p)
{
	p->link = link_dial(p->c->loop, &p->c->self, p->at.host, p->at.port, &dialled_ops, p);
	if (!p->link)
		loop_timer_set(p->c->loop, &p->redial, loop_clock_us() + REDIAL_US);
}

static void want_peer(struct control *c, u32 id, const struct endpoint *at)
{
	g_autofree char *key = g_strdup_printf("%s:%u", at->host, at->port);
	struct control_peer *p = g_hash_table_lookup(c->peers, key);

	if (id == c->raft.id)
		return;
	if (p) {
		p->id = id;
		return;
	}
	p = g_new0(struct control_peer, 1);
	p->c = c;
	p->id = id;
	p->at = *at;
	p->redial = (struct loop_timer){ .fire = on_redial, .arg = p };
	g_hash_table_insert(c->peers, g_steal_pointer(&key), p);
	dial(p);
}

void peers_refresh(struct control *c)
{
	const GArray *list = c->settings->control.members;

	for (u32 i = 0; i < c->raft.members.n; i++)
		want_peer(c, c->raft.members.m[i].id, &c->raft.members.m[i].at);
	if (c->raft.role != RAFT_FORMING)
		return;
	for (guint i = 0; i < list->len; i++) {
		const struct member_setting *m = &g_array_index(list, struct member_setting, i);

		want_peer(c, m->id, &m->at);
	}
}

void peers_start(struct control *c)
{
	c->peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, peer_free);
	c->summaries = g_hash_table_new_full(NULL, NULL, NULL, summary_free);
	peers_refresh(c);
}

void peers_stop(struct control *c)
{
	g_hash_table_unref(c->peers);
	g_hash_table_unref(c->summaries);
}

static struct control_peer *find_peer(struct control *c, u32 id)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((struct control_peer *)value)->id == id)
			return value;
	return NULL;
}

struct link *peers_link(struct control *c, u32 id)
{
	struct control_peer *p = find_peer(c, id);

	return p && p->link && p->link->is_up ? p->link : NULL;
}

u16 peers_api_port(struct control *c, u32 id)
{
	struct link *k = peers_link(c, id);

	return k ? k->remote.api_port : 0;
}

void peers_send_raft(struct control *c, u32 to, const struct raft_msg *m)
{
	struct link *k = peers_link(c, to);
	FRAME_AUTO(f, CTL_RAFT);

	if (!k)
		return;
	raft_msg_put(&f, m);
	link_send(k, &f);
}

static void put_directory(struct frame_out *f, u32 owner, GPtrArray *items, guint from, guint n,
			  bool is_last)
{
	frame_put_u64(f, owner);
	frame_put_bool(f, false);
	frame_put_bool(f, is_last);
	frame_put_u64(f, n);
	for (guint i = from; i < from + n; i++) {
		const struct directory_item *item = g_ptr_array_index(items, i);

		dir_entry_put(f, &item->entry);
	}
}

/* Only the owner spreads an entry, so changes take one step. */
static GPtrArray *own_changes(struct control *c, u64 seq)
{
	g_autoptr(GPtrArray) all = directory_since(&c->directory, seq);
	GPtrArray *own = g_ptr_array_new();

	for (guint i = 0; i < all->len; i++) {
		struct directory_item *item = g_ptr_array_index(all, i);

		if (item->owner == c->raft.id)
			g_ptr_array_add(own, item);
	}
	return own;
}

static void spread_to(struct control *c, struct control_peer *p)
{
	g_autoptr(GPtrArray) items = own_changes(c, p->dir_seq);

	for (guint from = 0; from < items->len; from += CTL_ITEMS_PER_FRAME) {
		guint n = MIN(items->len - from, (guint)CTL_ITEMS_PER_FRAME);
		FRAME_AUTO(f, CTL_DIR);

		put_directory(&f, c->raft.id, items, from, n, from + n == items->len);
		if (link_send(p->link, &f))
			return;
	}
	p->dir_seq = c->directory.seq;
}

void peers_spread_directory(struct control *c)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct control_peer *p = value;

		if (p->link && p->link->is_up && p->dir_seq < c->directory.seq)
			spread_to(c, p);
	}
}

static int take_directory(struct control *c, struct frame_in *in)
{
	u64 now = loop_clock_us();
	u32 owner = (u32)frame_get_u64(in);
	u32 n;

	frame_get_bool(in);
	frame_get_bool(in);
	n = frame_get_count(in, CTL_ITEMS_PER_FRAME);
	for (u32 i = 0; i < n && !in->err; i++) {
		__attribute__((cleanup(dir_entry_clear))) struct dir_entry e = { 0 };

		dir_entry_get(in, &e);
		if (!in->err)
			directory_put(&c->directory, &e, owner, now);
	}
	nodes_push(c);
	return frame_done(in);
}

/* Counts the own nodes by applied revision. */
static void summarize(struct control *c, struct applied_summary *s)
{
	GHashTableIter iter;
	gpointer value;

	s->behind = g_ptr_array_new_with_free_func(g_free);
	g_hash_table_iter_init(&iter, c->directory.items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct directory_item *item = value;
		u32 i = 0;

		if (item->owner != c->raft.id || item->entry.state == DIR_GONE)
			continue;
		while (i < s->n && s->revision[i] != item->applied_revision)
			i++;
		if (i == SUMMARY_MAX)
			i = 0;
		if (i == s->n)
			s->revision[s->n++] = item->applied_revision;
		s->nodes[i]++;
		if (item->applied_revision < c->store.revision && s->behind->len < BEHIND_NAMES_MAX)
			g_ptr_array_add(s->behind, g_strdup(item->entry.node));
	}
}

static void put_summary(struct frame_out *f, const struct applied_summary *s)
{
	frame_put_u64(f, s->n);
	for (u32 i = 0; i < s->n; i++) {
		frame_put_u64(f, s->revision[i]);
		frame_put_u64(f, s->nodes[i]);
	}
	frame_put_u64(f, s->behind->len);
	for (guint i = 0; i < s->behind->len; i++)
		frame_put_str(f, g_ptr_array_index(s->behind, i));
}

static int take_owned(struct control *c, struct frame_in *in)
{
	u32 owner = (u32)frame_get_u64(in);
	struct applied_summary *s = g_new0(struct applied_summary, 1);
	u32 n = frame_get_count(in, SUMMARY_MAX);

	s->heard_us = loop_clock_us();
	s->behind = g_ptr_array_new_with_free_func(g_free);
	for (s->n = 0; s->n < n; s->n++) {
		s->revision[s->n] = frame_get_u64(in);
		s->nodes[s->n] = (u32)frame_get_u64(in);
	}
	n = frame_get_count(in, BEHIND_NAMES_MAX);
	for (u32 i = 0; i < n; i++)
		g_ptr_array_add(s->behind, frame_get_str(in, NODE_NAME_MAX_BYTES));
	if (frame_done(in)) {
		summary_free(s);
		return ERR_INVAL;
	}
	g_hash_table_insert(c->summaries, GUINT_TO_POINTER(owner), s);
	directory_renew_owned(&c->directory, owner, s->heard_us);
	return 0;
}

void peers_second(struct control *c, u64 now_us)
{
	struct applied_summary s = { 0 };
	GHashTableIter iter;
	gpointer value;

	(void)now_us;
	summarize(c, &s);
	g_hash_table_iter_init(&iter, c->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct control_peer *p = value;
		FRAME_AUTO(f, CTL_OWNED);

		if (!p->link || !p->link->is_up)
			continue;
		frame_put_u64(&f, c->raft.id);
		put_summary(&f, &s);
		link_send(p->link, &f);
	}
	g_ptr_array_unref(s.behind);
	peers_refresh(c);
}

static void add_summary(const struct applied_summary *s, struct in_force *out)
{
	for (u32 i = 0; i < s->n; i++) {
		out->of += s->nodes[i];
		if (s->revision[i] >= out->revision)
			out->nodes += s->nodes[i];
	}
	for (guint i = 0; i < s->behind->len; i++)
		g_ptr_array_add(out->behind, g_strdup(g_ptr_array_index(s->behind, i)));
}

void nodes_in_force(struct control *c, struct in_force *out)
{
	struct applied_summary own = { 0 };
	GHashTableIter iter;
	gpointer value;

	out->revision = c->store.revision;
	out->nodes = 0;
	out->of = 0;
	out->behind = g_ptr_array_new_with_free_func(g_free);
	summarize(c, &own);
	add_summary(&own, out);
	g_ptr_array_unref(own.behind);
	g_hash_table_iter_init(&iter, c->summaries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		add_summary(value, out);
}

void in_force_clear(struct in_force *f)
{
	g_ptr_array_unref(f->behind);
}

static int take_raft(struct control *c, struct frame_in *in)
{
	__attribute__((cleanup(raft_msg_clear))) struct raft_msg m = { 0 };
	u64 now = loop_clock_us();

	if (raft_msg_get(in, &m))
		return ERR_INVAL;
	raft_step(&c->raft, &m, now);
	op_poll(c, now);
	raft_host_arm(c);
	nodes_push(c);
	return 0;
}

int peers_frame(struct control *c, struct link *k, u32 type, struct frame_in *in)
{
	switch (type) {
	case CTL_RAFT:
		return take_raft(c, in);
	case CTL_DIR:
		return take_directory(c, in);
	case CTL_OWNED:
		return take_owned(c, in);
	case CTL_FORWARD:
		return op_take_forward(c, k, in);
	case CTL_FORWARDED:
		return op_take_forwarded(c, in);
	default:
		return ERR_INVAL;
	}
}
