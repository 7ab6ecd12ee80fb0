/* Calls and replies that come in parts: a head, and its body in frames behind it. */
#include "node/mesh_impl.h"

#include "lib/err.h"
#include "wire/peer.h"

/* Limit on messages with an incomplete body on one link. */
#define PARTIAL_MESSAGES_MAX 4

/* A call or a reply whose body is incomplete. */
struct partial_message {
	struct node *node;
	struct call_id id;
	struct peer_call call; /* msg is NULL for a reply */
	struct peer_reply reply;
	u64 body_len;
	u64 received_bytes; /* of the body */
	bool is_dropped; /* there was no room for it: its body is discarded */
	u64 deadline_us;
	u64 call_bytes; /* of a call, as counted by home */
	u64 held_bytes; /* of a reply, as counted in the account */
};

static void release(struct partial_message *p)
{
	home_count_call(p->node, &p->call_bytes, 0);
	held_update(&p->node->held, &p->held_bytes, 0);
}

static void partial_message_free(gpointer arg)
{
	struct partial_message *p = arg;

	release(p);
	peer_call_clear(&p->call);
	http_free(p->reply.msg);
	g_free(p);
}

GHashTable *mesh_partial_messages_new(void)
{
	return g_hash_table_new_full(call_id_hash, call_id_equal, NULL, partial_message_free);
}

/* Passes on a call or reply whose body is complete. */
static void dispatch(struct mesh_peer *m, struct partial_message *p)
{
	release(p);
	if (p->call.msg && !p->is_dropped) {
		home_call(m->node, m->link, &p->call, p->deadline_us);
	} else if (!p->is_dropped) {
		entry_reply(m->node, p->id, p->reply.msg, &p->reply.load);
		p->reply.msg = NULL;
	}
	g_hash_table_remove(m->partial_messages, &p->id);
}

/* A sender queues the body right after its head, so there is rarely more than one. */
static bool may_add(const struct mesh_peer *m, const struct partial_message *p)
{
	return p->body_len <= m->node->settings->node.max_body_bytes &&
	       g_hash_table_size(m->partial_messages) < PARTIAL_MESSAGES_MAX &&
	       !g_hash_table_contains(m->partial_messages, &p->id);
}

/* Takes P; TAKE_ROOM takes room for its body, or drops it. */
static int begin(struct mesh_peer *m, struct partial_message *p,
		 void (*take_room)(struct mesh_peer *m, struct partial_message *p))
{
	if (!may_add(m, p)) {
		partial_message_free(p);
		return ERR_INVAL;
	}
	take_room(m, p);
	g_hash_table_insert(m->partial_messages, &p->id, p);
	if (!p->body_len)
		dispatch(m, p);
	return 0;
}

/* Room is taken for the whole body at once, as its parts come without a pause. */
static void take_room_for_call(struct mesh_peer *m, struct partial_message *p)
{
	p->is_dropped = !home_may_hold_call(m->node, p->body_len);
	if (p->is_dropped)
		home_refuse_unread(m->node, m->link, p->id, p->body_len);
	else
		home_count_call(m->node, &p->call_bytes, p->body_len);
}

int mesh_receive_call(struct mesh_peer *m, struct frame_in *in)
{
	struct partial_message *p = g_new0(struct partial_message, 1);

	p->node = m->node;
	if (peer_call_get(in, &p->call)) {
		g_free(p);
		return ERR_INVAL;
	}
	p->id = p->call.id;
	p->body_len = p->call.body_len;
	p->deadline_us = link_to_local_us(m->link, p->call.deadline_us);
	watch_note_revision(m->node, p->call.revision);
	return begin(m, p, take_room_for_call);
}

/* The call has run; its caller is told that the outcome is not known. */
static void drop_reply(struct mesh_peer *m, struct partial_message *p)
{
	home_log_dropped_reply(m->node, "reply dropped", m->link, p->body_len);
	p->is_dropped = true;
	entry_refuse(m->node, p->id, CTR_REPLY_HELD, false, &p->reply.load);
}

static void take_room_for_reply(struct mesh_peer *m, struct partial_message *p)
{
	if (home_has_room(m->node, p->body_len))
		held_update(&m->node->held, &p->held_bytes, p->body_len);
	else
		drop_reply(m, p);
}

int mesh_receive_reply(struct mesh_peer *m, struct frame_in *in)
{
	struct partial_message *p = g_new0(struct partial_message, 1);

	p->node = m->node;
	if (peer_reply_get(in, &p->reply)) {
		g_free(p);
		return ERR_INVAL;
	}
	p->id = p->reply.id;
	p->body_len = p->reply.body_len;
	return begin(m, p, take_room_for_reply);
}

int mesh_receive_body(struct mesh_peer *m, struct frame_in *in)
{
	struct peer_body b;
	struct partial_message *p;
	GByteArray *body;

	if (peer_body_get(in, &b))
		return ERR_INVAL;
	p = g_hash_table_lookup(m->partial_messages, &b.id);
	if (!p || p->received_bytes + b.len > p->body_len)
		return ERR_INVAL;
	p->received_bytes += b.len;
	body = p->call.msg ? p->call.msg->body : p->reply.msg->body;
	if (!p->is_dropped)
		g_byte_array_append(body, b.data, (guint)b.len);
	if (p->received_bytes == p->body_len)
		dispatch(m, p);
	return 0;
}
