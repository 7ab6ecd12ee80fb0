/*
 * Propagation of directory entries and heartbeats between control processes. Each process
 * relays what it receives, so that two processes stay up to date if the link between them is
 * broken.
 */
#include "control/control_peer.h"

#include "wire/ctl.h"

#define HEARTBEATS_PER_FRAME_MAX 256

static void put_item(struct frame_out *f, const struct directory_item *item)
{
	dir_entry_put(f, &item->entry);
	frame_put_u64(f, item->owner);
	frame_put_u64(f, item->owner_incarnation);
	frame_put_u64(f, item->owner_rev);
	frame_put_bool(f, item->has_expired);
	withdrawal_put(f, &item->withdrawal);
}

static void get_item(struct frame_in *in, struct directory_item *item)
{
	dir_entry_get(in, &item->entry);
	item->owner = (u32)frame_get_u64(in);
	item->owner_incarnation = frame_get_u64(in);
	item->owner_rev = frame_get_u64(in);
	item->has_expired = frame_get_bool(in);
	withdrawal_get(in, &item->withdrawal);
}

/* Returns the changes to send to P; after the first time, without those received from it. */
static GPtrArray *changes_for(struct control *c, const struct control_peer *p)
{
	g_autoptr(GPtrArray) all = directory_changes_since(&c->directory, p->dir_seq);
	GPtrArray *out = g_ptr_array_new();

	for (guint i = 0; i < all->len; i++) {
		struct directory_item *item = g_ptr_array_index(all, i);

		if (item->from != p->id || !p->dir_seq)
			g_ptr_array_add(out, item);
	}
	return out;
}

/* Sends the changes, unless earlier ones are on their way: then all together follow those. */
void propagate_directory_to(struct control *c, struct control_peer *p)
{
	g_autoptr(GPtrArray) items = NULL;

	if (bulk_is_sending(&p->lanes[BULK_DIRECTORY]))
		return;
	items = changes_for(c, p);
	for (guint from = 0; from < items->len; from += CTL_ITEMS_PER_FRAME) {
		guint n = MIN(items->len - from, (guint)CTL_ITEMS_PER_FRAME);
		FRAME_AUTO(f, CTL_DIRECTORY);

		frame_put_u64(&f, n);
		for (guint i = from; i < from + n; i++)
			put_item(&f, g_ptr_array_index(items, i));
		peers_send_lane(p, BULK_DIRECTORY, &f);
	}
	p->dir_seq = c->directory.seq;
}

void propagate_directory(struct control *c)
{
	peers_each(c, propagate_directory_to);
}

static void on_propagate_timer(void *arg, u64 now_us)
{
	struct control *c = arg;

	(void)now_us;
	propagate_directory(c);
	nodes_push_directory(c);
}

void propagate_schedule(struct control *c)
{
	if (c->propagate_timer.is_set)
		return;
	c->propagate_timer = (struct loop_timer){ .fire = on_propagate_timer, .arg = c };
	loop_timer_set(c->loop, &c->propagate_timer, loop_clock_us() + CTL_PROPAGATE_DELAY_US);
}

/*
 * A node may have registered here before what another process knows of its earlier incarnation
 * arrives.
 */
static void merge(struct control *c, const struct directory_item *copy, u32 from, u64 now_us)
{
	const struct directory_item *item;

	directory_merge(&c->directory, copy, from, now_us);
	item = directory_find(&c->directory, copy->entry.node);
	if (copy->withdrawal.instance && directory_is_owned_here(&c->directory, item))
		nodes_send_withdrawal(c, copy->entry.node);
}

int propagate_receive_entries(struct control *c, struct link *k, struct frame_in *in)
{
	u32 n = frame_get_count(in, CTL_ITEMS_PER_FRAME);
	u64 now = loop_clock_us();
	u32 from = peers_id(c, k);

	for (u32 i = 0; i < n && !in->err; i++) {
		struct directory_item item = { 0 };

		get_item(in, &item);
		if (!in->err)
			merge(c, &item, from, now);
		dir_entry_clear(&item.entry);
		withdrawal_clear(&item.withdrawal);
	}
	propagate_schedule(c);
	return frame_done(in);
}

/* Heartbeats */

/* Writes a heartbeat. Its age is included, so that a relayed heartbeat does not look new. */
static void put_heartbeat(struct frame_out *f, u32 id, const struct directory_owner *o, u64 now_us,
			  const struct in_force_report *r)
{
	frame_put_u64(f, id);
	frame_put_u64(f, o->incarnation);
	frame_put_u64(f, o->heartbeat_seq);
	frame_put_u64(f, now_us > o->alive_us ? now_us - o->alive_us : 0);
	in_force_report_put(f, r);
}

/*
 * Writes the heartbeats of others that are relayed to P: not P's own, and no expired ones. Returns
 * their number; only counts them if F is NULL.
 */
static u32 put_relayed_heartbeats(struct control *c, const struct control_peer *p, u64 now_us,
				  struct frame_out *f)
{
	GHashTableIter iter;
	gpointer key;
	gpointer r;
	u32 n = 0;

	g_hash_table_iter_init(&iter, c->reports);
	while (g_hash_table_iter_next(&iter, &key, &r)) {
		u32 id = GPOINTER_TO_UINT(key);
		const struct directory_owner *o = directory_owner(&c->directory, id);

		if (id == p->id || now_us > o->alive_us + DIRECTORY_TTL_US)
			continue;
		n++;
		if (f)
			put_heartbeat(f, id, o, now_us, r);
	}
	return n;
}

static void send_heartbeats(struct control *c, struct control_peer *p, bool is_own_only,
			    const struct in_force_report *own)
{
	u64 now = loop_clock_us();
	struct directory_owner self = { .incarnation = c->self.incarnation,
					.heartbeat_seq = c->heartbeat_seq,
					.alive_us = now };
	FRAME_AUTO(f, CTL_HEARTBEAT);

	frame_put_u64(&f, is_own_only ? 1 : 1 + put_relayed_heartbeats(c, p, now, NULL));
	put_heartbeat(&f, c->raft.id, &self, now, own);
	if (!is_own_only)
		put_relayed_heartbeats(c, p, now, &f);
	link_send(p->link, &f);
}

static void send_all_heartbeats(struct control *c, bool is_own_only)
{
	struct in_force_report *own = in_force_report(&c->directory, c->behind_revision);
	GHashTableIter iter;
	gpointer value;

	c->heartbeat_seq++;
	g_hash_table_iter_init(&iter, c->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct control_peer *p = value;

		if (p->link && p->link->is_up)
			send_heartbeats(c, p, is_own_only, own);
	}
	in_force_report_free(own);
}

static void on_heartbeat_timer(void *arg, u64 now_us)
{
	(void)now_us;
	send_all_heartbeats(arg, true);
}

void propagate_schedule_heartbeat(struct control *c)
{
	if (c->heartbeat_timer.is_set)
		return;
	c->heartbeat_timer = (struct loop_timer){ .fire = on_heartbeat_timer, .arg = c };
	loop_timer_set(c->loop, &c->heartbeat_timer, loop_clock_us() + CTL_HEARTBEAT_DELAY_US);
}

void propagate_tick(struct control *c, u64 now_us)
{
	(void)now_us;
	send_all_heartbeats(c, false);
	c->behind_revision = c->store.revision;
	peers_refresh(c);
}

static void receive_heartbeat(struct control *c, struct frame_in *in, u64 now_us)
{
	u32 id = (u32)frame_get_u64(in);
	u64 incarnation = frame_get_u64(in);
	u64 heartbeat_seq = frame_get_u64(in);
	u64 age_us = frame_get_u64(in);
	struct in_force_report *r = in_force_report_get(in);

	if (in->err || id == c->raft.id ||
	    !directory_record_heartbeat(&c->directory, id, incarnation, heartbeat_seq,
					now_us - MIN(age_us, now_us))) {
		in_force_report_free(r);
		return;
	}
	g_hash_table_insert(c->reports, GUINT_TO_POINTER(id), r);
}

int propagate_receive_heartbeats(struct control *c, struct frame_in *in)
{
	u32 n = frame_get_count(in, HEARTBEATS_PER_FRAME_MAX);
	u64 now = loop_clock_us();

	for (u32 i = 0; i < n && !in->err; i++)
		receive_heartbeat(c, in, now);
	return frame_done(in);
}

void propagate_count_in_force(struct control *c, struct in_force *out)
{
	in_force_count(&c->directory, c->reports, c->store.revision, loop_clock_us(), out);
}
