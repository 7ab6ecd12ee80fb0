/* Links between nodes: one dialled for own calls, those accepted for others' calls. */
#include "node/node.h"

#include "lib/err.h"
#include "lib/log.h"
#include "wire/peer.h"

#include <string.h>

/* Bodies that may be incomplete on one link at the same time. */
#define PARTIALS_MAX 4
/* A node that sent no call for this time is not told of changes of the load. */
#define TELL_US (3 * US_PER_S)

/* A call or a reply whose body is still coming. */
struct partial {
	struct call_id id;
	struct peer_call call; /* msg is NULL for a reply */
	struct peer_reply reply;
	u64 body_len;
	u64 deadline_us;
};

struct mesh_peer {
	struct node *node;
	char *name;
	struct link *link;
	struct loop_timer redial;
	GHashTable *partials; /* call id -> struct partial */
	u64 called_us; /* of an accepted link: the last call, or the start */
	bool is_behind; /* of an accepted link: the load has changed since it was told */
};

struct mesh {
	struct link_listener *listener;
	GHashTable *dialled; /* name -> struct mesh_peer */
	GPtrArray *accepted; /* of struct mesh_peer */
};

static void partial_free(gpointer arg)
{
	struct partial *p = arg;

	peer_call_clear(&p->call);
	http_free(p->reply.msg);
	g_free(p);
}

static GHashTable *partials_new(void)
{
	return g_hash_table_new_full(call_id_hash, call_id_equal, NULL, partial_free);
}

static void tell_load(struct mesh_peer *m, enum peer_type type, const struct peer_load *load)
{
	FRAME_AUTO(f, type);

	peer_load_put(&f, load);
	link_send(m->link, &f);
	m->is_behind = false;
}

/* Hands a whole call or reply on. */
static void complete(struct mesh_peer *m, struct partial *p)
{
	if (p->call.msg) {
		home_call(m->node, m->link, &p->call, p->deadline_us);
	} else {
		entry_reply(m->node, p->id, p->reply.msg, &p->reply.load);
		p->reply.msg = NULL;
	}
	g_hash_table_remove(m->partials, &p->id);
}

/* A sender queues the body right after its head, so more than one of these is rare. */
static int add_partial(struct mesh_peer *m, struct partial *p)
{
	if (p->body_len > m->node->settings->node.max_body_bytes ||
	    g_hash_table_size(m->partials) >= PARTIALS_MAX ||
	    g_hash_table_contains(m->partials, &p->id)) {
		partial_free(p);
		return ERR_INVAL;
	}
	g_hash_table_insert(m->partials, &p->id, p);
	if (!p->body_len)
		complete(m, p);
	return 0;
}

/* Who calls after a pause knows the load of before it, and may want another upstream now. */
static void note_call(struct mesh_peer *m)
{
	struct peer_load load;

	m->called_us = loop_clock_us();
	if (!m->is_behind)
		return;
	home_load(m->node, &load);
	tell_load(m, PEER_LOAD, &load);
}

static int take_call(struct mesh_peer *m, struct frame_in *in)
{
	struct partial *p = g_new0(struct partial, 1);

	if (peer_call_get(in, &p->call)) {
		g_free(p);
		return ERR_INVAL;
	}
	p->id = p->call.id;
	p->body_len = p->call.body_len;
	p->deadline_us = link_to_local_us(m->link, p->call.deadline_us);
	note_call(m);
	return add_partial(m, p);
}

static int take_reply(struct mesh_peer *m, struct frame_in *in)
{
	struct partial *p = g_new0(struct partial, 1);

	if (peer_reply_get(in, &p->reply)) {
		g_free(p);
		return ERR_INVAL;
	}
	p->id = p->reply.id;
	p->body_len = p->reply.body_len;
	return add_partial(m, p);
}

static int take_body(struct mesh_peer *m, struct frame_in *in)
{
	struct peer_body b;
	struct partial *p;
	GByteArray *body;

	if (peer_body_get(in, &b))
		return ERR_INVAL;
	p = g_hash_table_lookup(m->partials, &b.id);
	if (!p)
		return ERR_INVAL;
	body = p->call.msg ? p->call.msg->body : p->reply.msg->body;
	if (body->len + b.len > p->body_len)
		return ERR_INVAL;
	g_byte_array_append(body, b.data, (guint)b.len);
	if (body->len == p->body_len)
		complete(m, p);
	return 0;
}

static int take_refuse(struct mesh_peer *m, struct frame_in *in)
{
	struct peer_refuse r = { 0 };
	enum ctr reason;

	if (peer_refuse_get(in, &r))
		return ERR_INVAL;
	reason = ctr_find(r.reason);
	g_free(r.reason);
	if (reason == CTR_COUNT)
		return ERR_INVAL;
	entry_refuse(m->node, r.id, reason, r.is_not_run, &r.load);
	return 0;
}

static int take_id(struct mesh_peer *m, u32 type, struct frame_in *in)
{
	struct call_id id = peer_id_get(in);

	if (frame_done(in))
		return ERR_INVAL;
	if (type == PEER_CANCEL)
		home_cancel(m->node, id);
	else if (type == PEER_LEFT)
		home_left(m->node, id);
	else
		home_fence(m->node, m->link, id);
	return 0;
}

static int take_fenced(struct mesh_peer *m, struct frame_in *in)
{
	struct call_id id = peer_id_get(in);
	enum fence_state state = (enum fence_state)frame_get_u64(in);

	if (frame_done(in) || state < FENCE_NOT_RUN || state > FENCE_UNKNOWN)
		return ERR_INVAL;
	entry_fenced(m->node, id, state);
	return 0;
}

static int take_load(struct mesh_peer *m, struct frame_in *in)
{
	struct choose_target *t = choose_find(&m->node->choose, m->link->remote.name);
	struct peer_load load;

	peer_load_get(in, &load);
	if (frame_done(in))
		return ERR_INVAL;
	if (t)
		choose_load(t, &load, loop_clock_us());
	entry_slowness(m->node, m->link->remote.name);
	return 0;
}

static int answer_probe(struct mesh_peer *m, struct frame_in *in)
{
	struct peer_load load;

	if (frame_done(in))
		return ERR_INVAL;
	if (!probe_answer(&m->node->probe, loop_clock_us()))
		return 0;
	home_load(m->node, &load);
	tell_load(m, PEER_LOAD, &load);
	return 0;
}

static int on_frame(struct link *k, u32 type, struct frame_in *in)
{
	struct mesh_peer *m = k->arg;

	switch (type) {
	case PEER_CALL:
		return take_call(m, in);
	case PEER_BODY:
		return take_body(m, in);
	case PEER_REPLY:
		return take_reply(m, in);
	case PEER_REFUSE:
		return take_refuse(m, in);
	case PEER_CANCEL:
	case PEER_LEFT:
	case PEER_FENCE:
		return take_id(m, type, in);
	case PEER_FENCED:
		return take_fenced(m, in);
	case PEER_PROBE:
		return answer_probe(m, in);
	case PEER_LOAD:
	case PEER_GOAWAY:
		return take_load(m, in);
	default:
		return ERR_INVAL;
	}
}

/* Dialled links */

static void dial(struct mesh_peer *m);

static void on_dialled_up(struct link *k)
{
	struct mesh_peer *m = k->arg;

	log_event(LOG_INFO, "link up", "peer", m->name, "rtt_us", log_u64(k->rtt_us), NULL);
	entry_link_up(m->node, m->name, k->remote.incarnation);
}

static void on_dialled_down(struct link *k, int err)
{
	struct mesh_peer *m = k->arg;

	log_event(LOG_WARN, "link down", "peer", m->name, "was_up", k->is_up ? "yes" : "no",
		  "error", err_text(err), NULL);
	m->link = NULL;
	g_hash_table_remove_all(m->partials);
	entry_link_down(m->node, m->name);
}

static const struct link_ops dialled_ops = {
	.up = on_dialled_up,
	.frame = on_frame,
	.down = on_dialled_down,
};

#define REDIAL_US (200 * US_PER_MS)

static void on_redial(void *arg, u64 now_us)
{
	struct mesh_peer *m = arg;

	dial(m);
	if (!m->link)
		loop_timer_set(m->node->loop, &m->redial, now_us + REDIAL_US);
}

static void dial(struct mesh_peer *m)
{
	struct endpoint at;

	if (m->link || endpoint_parse(&at, m->name))
		return;
	m->link = link_dial(m->node->loop, &m->node->self, at.host, at.port, &dialled_ops, m);
}

static void peer_free(gpointer arg)
{
	struct mesh_peer *m = arg;

	loop_timer_cancel(m->node->loop, &m->redial);
	if (m->link)
		link_close(m->link);
	g_hash_table_unref(m->partials);
	g_free(m->name);
	g_free(m);
}

static struct mesh_peer *peer_new(struct node *n, const char *name)
{
	struct mesh_peer *m = g_new0(struct mesh_peer, 1);

	m->node = n;
	m->name = g_strdup(name);
	m->partials = partials_new();
	m->redial = (struct loop_timer){ .fire = on_redial, .arg = m };
	return m;
}

struct link *mesh_link(struct node *n, const char *peer)
{
	struct mesh_peer *m = g_hash_table_lookup(n->mesh->dialled, peer);

	if (!m) {
		m = peer_new(n, peer);
		g_hash_table_insert(n->mesh->dialled, m->name, m);
	}
	if (!m->link && !m->redial.is_set) {
		dial(m);
		loop_timer_set(n->loop, &m->redial, loop_clock_us() + REDIAL_US);
	}
	return m->link && m->link->is_up ? m->link : NULL;
}

bool mesh_is_dialling(struct node *n, const char *peer)
{
	struct mesh_peer *m = g_hash_table_lookup(n->mesh->dialled, peer);

	return m && m->link && !m->link->is_up;
}

/* A home with calls of this node that was not heard for so long is asked. */
#define ASK_US (150 * US_PER_MS)
/* One that does not answer either gets no new calls: its VM may be dark or frozen. */
#define SILENT_US (450 * US_PER_MS)

static void check_silence(struct mesh_peer *m, u64 now_us)
{
	struct choose_target *t = choose_find(&m->node->choose, m->name);
	u64 silence;

	if (!m->link || !m->link->is_up || !t || !t->in_flight)
		return;
	/* An idle link is silent; the silence counts from when an answer was awaited. */
	silence = MIN(link_silence_us(m->link, now_us), now_us - MIN(t->silent_since_us, now_us));
	if (silence < ASK_US)
		return;
	if (silence < SILENT_US) {
		link_ping(m->link);
		return;
	}
	if (t->unreachable_until_us <= now_us)
		log_event(LOG_WARN, "peer silent", "peer", m->name, "silence_us", log_u64(silence),
			  "in_flight", log_u64(t->in_flight), NULL);
	choose_unreachable(t, now_us);
	entry_silence(m->node, m->name);
}

void mesh_check_silence(struct node *n, u64 now_us)
{
	/* A second try may dial a link, and so change the table. */
	g_autoptr(GList) peers = g_hash_table_get_values(n->mesh->dialled);

	for (GList *l = peers; l; l = l->next)
		check_silence(l->data, now_us);
}

/* Accepted links */

static void drop_accepted(struct node *n, struct mesh_peer *m)
{
	home_link_down(n, m->link);
	g_ptr_array_remove_fast(n->mesh->accepted, m);
	peer_free(m);
}

/*
 * A node dials one link. When it comes again, the bytes left in the old link
 * must not be read any more: a call in them could follow its own fence.
 */
static void drop_older(struct node *n, const char *name)
{
	for (guint i = n->mesh->accepted->len; i > 0; i--) {
		struct mesh_peer *m = g_ptr_array_index(n->mesh->accepted, i - 1);

		if (!strcmp(m->name, name))
			drop_accepted(n, m);
	}
}

/* Who dials is about to choose, and knows nothing of the upstream here yet. */
static void on_accepted_up(struct link *k)
{
	struct node *n = k->arg;
	struct peer_load load;
	struct mesh_peer *m;

	drop_older(n, k->remote.name);
	m = peer_new(n, k->remote.name);
	m->link = k;
	k->arg = m;
	g_ptr_array_add(n->mesh->accepted, m);
	home_awaits_calls(n);
	m->called_us = loop_clock_us();
	home_load(n, &load);
	tell_load(m, PEER_LOAD, &load);
}

static void on_accepted_down(struct link *k, int err)
{
	struct mesh_peer *m = k->arg;
	struct node *n;

	(void)err;
	if (!k->is_up)
		return;
	n = m->node;
	home_link_down(n, k);
	m->link = NULL;
	g_ptr_array_remove_fast(n->mesh->accepted, m);
	peer_free(m);
}

static const struct link_ops accepted_ops = {
	.up = on_accepted_up,
	.frame = on_frame,
	.down = on_accepted_down,
};

void mesh_goaway(struct node *n)
{
	struct peer_load load;

	home_load(n, &load);
	for (guint i = 0; i < n->mesh->accepted->len; i++)
		tell_load(g_ptr_array_index(n->mesh->accepted, i), PEER_GOAWAY, &load);
}

void mesh_push_load(struct node *n)
{
	u64 now = loop_clock_us();
	struct peer_load load;

	home_load(n, &load);
	for (guint i = 0; i < n->mesh->accepted->len; i++) {
		struct mesh_peer *m = g_ptr_array_index(n->mesh->accepted, i);

		if (now - m->called_us > TELL_US)
			m->is_behind = true;
		else
			tell_load(m, PEER_LOAD, &load);
	}
}

size_t mesh_queued_bytes(struct node *n)
{
	size_t sum = 0;

	for (guint i = 0; i < n->mesh->accepted->len; i++) {
		const struct mesh_peer *m = g_ptr_array_index(n->mesh->accepted, i);

		sum += link_queued_bytes(m->link);
	}
	return sum;
}

int mesh_start(struct node *n)
{
	const struct node_settings *s = &n->settings->node;
	const char *host = s->peer_listen.port ? s->peer_listen.host : s->address;
	u16 port = s->peer_listen.port ? s->peer_listen.port : s->peer_port;
	struct mesh *m = g_new0(struct mesh, 1);

	n->mesh = m;
	m->dialled = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
	m->accepted = g_ptr_array_new();
	m->listener = link_listen(n->loop, &n->self, host, port, &accepted_ops, n);
	if (m->listener)
		return 0;
	log_event(LOG_ERROR, "cannot listen; is the port in use?", "address", host, "peer_port",
		  log_u64(port), NULL);
	return ERR_IO;
}

void mesh_stop(struct node *n)
{
	while (n->mesh->accepted->len)
		drop_accepted(n, g_ptr_array_index(n->mesh->accepted, 0));
	g_hash_table_unref(n->mesh->dialled);
	if (n->mesh->listener)
		link_stop_listening(n->mesh->listener);
	g_ptr_array_unref(n->mesh->accepted);
	g_clear_pointer(&n->mesh, g_free);
}
