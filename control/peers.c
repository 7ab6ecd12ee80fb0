/* Links between control processes; each process connects to all others. */
#include "control/control.h"

#include "control/control_peer.h"
#include "control/join.h"
#include "control/op.h"
#include "control/quota_host.h"
#include "lib/err.h"
#include "lib/log.h"
#include "wire/ctl.h"

#include <string.h>

#define REDIAL_US (300 * US_PER_MS)
/*
 * A process that sends Raft messages keeps its link for this time, member or not: a leader sends
 * them at each heartbeat, a candidate at each election timeout.
 */
#define SENDER_KEEP_US (2 * RAFT_ELECTION_TIMEOUT_MAX_US)

static void dial(struct control_peer *p);

static void clear_lanes(struct control_peer *p)
{
	for (u32 i = 0; i < BULK_LANES; i++)
		bulk_out_clear(&p->lanes[i]);
}

static void peer_free(gpointer arg)
{
	struct control_peer *p = arg;

	loop_timer_cancel(p->c->loop, &p->redial);
	if (p->link)
		link_close(p->link);
	clear_lanes(p);
	g_free(p);
}

static void on_up(struct link *k)
{
	struct control_peer *p = k->arg;

	p->dir_seq = 0;
	clear_lanes(p);
	log_event(LOG_INFO, "control link up", "peer", k->remote.name, NULL);
	propagate_directory(p->c);
}

static int receive_ack(struct control_peer *p, struct frame_in *in);

static int on_frame(struct link *k, u32 type, struct frame_in *in)
{
	struct control_peer *p = k->arg;

	if (type == CTL_BULK_ACK)
		return receive_ack(p, in);
	return peers_on_frame(p->c, k, type, in);
}

static void on_down(struct link *k, int err)
{
	struct control_peer *p = k->arg;

	if (k->is_up)
		log_event(LOG_WARN, "control link down", "peer", k->remote.name, "error",
			  err_text(err), NULL);
	p->link = NULL;
	clear_lanes(p);
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

/*
 * Connects immediately to a peer that has just connected here. A pending connection attempt is
 * replaced: if it began before the other VM was up, it would wait for a retransmission.
 */
void peers_dial_back(struct control *c, const struct link *k)
{
	struct control_peer *p = g_hash_table_lookup(c->peers, k->remote.name);

	if (!p || (p->link && !link_is_connecting(p->link)))
		return;
	if (p->link)
		link_close(p->link);
	loop_timer_cancel(c->loop, &p->redial);
	dial(p);
}

static void ensure_peer(struct control *c, u32 id, const struct endpoint *at)
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

/*
 * The membership known here may be older than the sender of a Raft message, which has joined since.
 * Without an answer it can neither be elected by this process nor bring it up to date.
 */
static bool is_sender(const struct control_peer *p)
{
	return p->heard_us && loop_clock_us() - p->heard_us < SENDER_KEEP_US;
}

static gboolean is_obsolete(gpointer key, gpointer value, gpointer arg)
{
	struct control_peer *p = value;
	struct control *c = arg;
	struct raft_member *m = raft_member_find(&c->raft.members, p->id);

	(void)key;
	if (m && endpoint_equal(&m->at, &p->at))
		return FALSE;
	if (join_needs_link(c, p->id) || is_sender(p))
		return FALSE;
	if (p->link)
		op_link_down(c, p->link);
	return TRUE;
}

void peers_refresh(struct control *c)
{
	const GArray *list = c->settings->control.members;

	if (c->raft.role != RAFT_FORMING && c->raft.members.n)
		g_hash_table_foreach_remove(c->peers, is_obsolete, c);
	for (u32 i = 0; i < c->raft.members.n; i++)
		ensure_peer(c, c->raft.members.m[i].id, &c->raft.members.m[i].at);
	join_each_needed(c, ensure_peer);
	if (c->raft.role != RAFT_FORMING)
		return;
	for (u32 i = 0; i < c->raft.founding.n; i++)
		ensure_peer(c, c->raft.founding.m[i].id, &c->raft.founding.m[i].at);
	for (guint i = 0; i < list->len; i++) {
		const struct member_setting *m = &g_array_index(list, struct member_setting, i);

		ensure_peer(c, m->id, &m->at);
	}
}

/* Long messages */

/* What comes through the lanes of one link. */
struct incoming {
	struct control *c;
	struct link *link;
	struct bulk_in lanes[BULK_LANES];
};

static void incoming_free(gpointer arg)
{
	struct incoming *n = arg;

	for (u32 i = 0; i < BULK_LANES; i++)
		bulk_in_clear(&n->lanes[i]);
	g_free(n);
}

static struct incoming *incoming_of(struct control *c, struct link *k)
{
	struct incoming *n = g_hash_table_lookup(c->incoming, k);

	if (n)
		return n;
	n = g_new0(struct incoming, 1);
	n->c = c;
	n->link = k;
	g_hash_table_insert(c->incoming, k, n);
	return n;
}

void peers_on_link_down(struct control *c, struct link *k)
{
	g_hash_table_remove(c->incoming, k);
}

static int on_long_frame(void *arg, u32 type, struct frame_in *in)
{
	struct incoming *n = arg;

	if (type == CTL_BULK)
		return ERR_INVAL;
	return peers_on_frame(n->c, n->link, type, in);
}

static int receive_part(struct control *c, struct link *k, struct frame_in *in)
{
	struct incoming *n = incoming_of(c, k);
	u64 lane = frame_get_u64(in);
	u64 offset = frame_get_u64(in);
	size_t len;
	const void *p = frame_get_bin(in, &len);
	FRAME_AUTO(f, CTL_BULK_ACK);
	int err;

	if (frame_done(in) || lane >= BULK_LANES)
		return ERR_INVAL;
	err = bulk_receive(&n->lanes[lane], offset, p, len, on_long_frame, n);
	if (err)
		return err;
	frame_put_u64(&f, lane);
	frame_put_u64(&f, n->lanes[lane].received);
	link_send(k, &f);
	return 0;
}

static void send_part(void *arg, struct frame_out *part)
{
	struct control_peer *p = arg;

	link_send(p->link, part);
}

static int receive_ack(struct control_peer *p, struct frame_in *in)
{
	u64 lane = frame_get_u64(in);
	u64 received = frame_get_u64(in);

	if (frame_done(in) || lane >= BULK_LANES || bulk_acknowledge(&p->lanes[lane], received))
		return ERR_INVAL;
	bulk_send(&p->lanes[lane], (enum bulk_lane)lane, send_part, p);
	if (lane == BULK_DIRECTORY)
		propagate_directory_to(p->c, p);
	return 0;
}

void peers_send_lane(struct control_peer *p, enum bulk_lane lane, struct frame_out *f)
{
	bulk_put(&p->lanes[lane], f);
	bulk_send(&p->lanes[lane], lane, send_part, p);
}

void peers_start(struct control *c)
{
	c->peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, peer_free);
	c->reports = g_hash_table_new_full(NULL, NULL, NULL, in_force_report_free);
	c->incoming = g_hash_table_new_full(NULL, NULL, NULL, incoming_free);
	peers_refresh(c);
}

/* The tables stay: links from other processes may still bring a frame, or close. */
void peers_stop(struct control *c)
{
	g_hash_table_remove_all(c->peers);
	g_hash_table_remove_all(c->reports);
	g_hash_table_remove_all(c->incoming);
}

void peers_free(struct control *c)
{
	if (!c->peers)
		return;
	g_hash_table_unref(c->peers);
	g_hash_table_unref(c->reports);
	g_hash_table_unref(c->incoming);
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

/* Returns the peer if the link to it is up, else NULL. */
static struct control_peer *find_linked_peer(struct control *c, u32 id)
{
	struct control_peer *p = find_peer(c, id);

	return p && p->link && p->link->is_up ? p : NULL;
}

struct link *peers_link(struct control *c, u32 id)
{
	struct control_peer *p = find_linked_peer(c, id);

	return p ? p->link : NULL;
}

u32 peers_id(struct control *c, const struct link *k)
{
	struct control_peer *p =
		k->remote.name ? g_hash_table_lookup(c->peers, k->remote.name) : NULL;

	return p ? p->id : 0;
}

void peers_send_raft(struct control *c, u32 to, const struct raft_msg *m)
{
	struct control_peer *p = find_linked_peer(c, to);
	FRAME_AUTO(f, CTL_RAFT);

	if (!p)
		return;
	raft_msg_put(&f, m);
	if (m->is_ordered && bulk_needs_lane(&p->lanes[BULK_LOG], &f, m->unacknowledged))
		peers_send_lane(p, BULK_LOG, &f);
	else
		link_send(p->link, &f);
}

bool peers_is_sending_raft(struct control *c, u32 to)
{
	struct control_peer *p = find_linked_peer(c, to);

	return p && bulk_is_sending(&p->lanes[BULK_LOG]);
}

int peers_send_forward(struct control *c, struct link *k, struct frame_out *f)
{
	struct control_peer *p = g_hash_table_lookup(c->peers, k->remote.name);

	if (!p || p->link != k || !bulk_needs_lane(&p->lanes[BULK_LOG], f, 0))
		return link_send(k, f);
	peers_send_lane(p, BULK_LOG, f);
	return 0;
}

void peers_each(struct control *c, void (*fn)(struct control *c, struct control_peer *p))
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct control_peer *p = value;

		if (p->link && p->link->is_up)
			fn(c, p);
	}
}

/* Records that member ID has sent a Raft message over K, and connects to it if there is no link. */
static void record_sender(struct control *c, const struct link *k, u32 id)
{
	struct control_peer *p = find_peer(c, id);
	struct endpoint at;

	if (!p && !endpoint_parse(&at, k->remote.name)) {
		ensure_peer(c, id, &at);
		p = find_peer(c, id);
	}
	if (p)
		p->heard_us = loop_clock_us();
}

static int receive_raft(struct control *c, const struct link *k, struct frame_in *in)
{
	__attribute__((cleanup(raft_msg_clear))) struct raft_msg m = { 0 };
	u64 now = loop_clock_us();

	if (raft_msg_get(in, &m))
		return ERR_INVAL;
	record_sender(c, k, m.from);
	raft_step(&c->raft, &m, now);
	op_poll(c, now);
	raft_host_arm(c);
	nodes_push(c);
	return 0;
}

int peers_on_frame(struct control *c, struct link *k, u32 type, struct frame_in *in)
{
	switch (type) {
	case CTL_RAFT:
		return receive_raft(c, k, in);
	case CTL_DIRECTORY:
		return propagate_receive_entries(c, k, in);
	case CTL_HEARTBEAT:
		return propagate_receive_heartbeats(c, in);
	case CTL_FORWARD:
		return op_receive_forward(c, k, in);
	case CTL_FORWARD_RESULT:
		return op_receive_result(c, in);
	case CTL_QUOTA_FORWARD:
		return quota_host_receive_forward(c, k, in);
	case CTL_QUOTA_FORWARD_GRANT:
		return quota_host_receive_grant(c, in);
	case CTL_JOIN:
		return join_receive_request(c, k, in);
	case CTL_LEAVE:
		return join_receive_leave(c, in);
	case CTL_MEMBERS:
		return join_receive_members(c, in);
	case CTL_BULK:
		return receive_part(c, k, in);
	default:
		return ERR_INVAL;
	}
}
