/* Links to other nodes: dialled ones carry this node's calls, accepted ones those of the peers. */
#include "node/mesh_impl.h"

#include "lib/err.h"
#include "lib/log.h"
#include "wire/peer.h"

#include <string.h>

/* Load changes are pushed only to nodes that sent a call within this time. */
#define RECENT_CALL_US (3 * US_PER_S)

static void send_load(struct mesh_peer *m, enum peer_type type, const struct peer_load *load)
{
	FRAME_AUTO(f, type);

	peer_load_put(&f, load);
	link_send(m->link, &f);
	m->is_load_stale = false;
}

/* A peer that calls after a pause has an outdated load, and may choose another upstream now. */
static void record_call(struct mesh_peer *m)
{
	struct peer_load load;

	m->last_call_us = loop_clock_us();
	if (!m->is_load_stale)
		return;
	home_get_load(m->node, &load);
	send_load(m, PEER_LOAD, &load);
}

static int on_call(struct mesh_peer *m, struct frame_in *in)
{
	record_call(m);
	return mesh_receive_call(m, in);
}

static int on_refuse(struct mesh_peer *m, struct frame_in *in)
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

static int on_call_id(struct mesh_peer *m, u32 type, struct frame_in *in)
{
	struct call_id id = peer_id_get(in);

	if (frame_done(in))
		return ERR_INVAL;
	if (type == PEER_CANCEL)
		home_cancel(m->node, id);
	else if (type == PEER_CALLER_LEFT)
		home_caller_left(m->node, id);
	else
		home_fence(m->node, m->link, id);
	return 0;
}

static int on_fenced(struct mesh_peer *m, struct frame_in *in)
{
	struct call_id id = peer_id_get(in);
	enum fence_state state = (enum fence_state)frame_get_u64(in);

	if (frame_done(in) || state < FENCE_NOT_RUN || state > FENCE_UNKNOWN)
		return ERR_INVAL;
	entry_fenced(m->node, id, state);
	return 0;
}

static int on_load(struct mesh_peer *m, struct frame_in *in)
{
	struct choose_target *t = choose_find(&m->node->choose, m->link->remote.name);
	struct peer_load load;

	peer_load_get(in, &load);
	if (frame_done(in))
		return ERR_INVAL;
	if (t)
		choose_set_load(t, &load, loop_clock_us());
	entry_slowness_changed(m->node, m->link->remote.name);
	return 0;
}

static int on_probe(struct mesh_peer *m, struct frame_in *in)
{
	struct peer_load load;

	if (frame_done(in))
		return ERR_INVAL;
	if (!probe_admit_answer(&m->node->probe, loop_clock_us()))
		return 0;
	home_get_load(m->node, &load);
	send_load(m, PEER_LOAD, &load);
	return 0;
}

static int on_frame(struct link *k, u32 type, struct frame_in *in)
{
	struct mesh_peer *m = k->arg;

	switch (type) {
	case PEER_CALL:
		return on_call(m, in);
	case PEER_BODY:
		return mesh_receive_body(m, in);
	case PEER_REPLY:
		return mesh_receive_reply(m, in);
	case PEER_REFUSE:
		return on_refuse(m, in);
	case PEER_CANCEL:
	case PEER_CALLER_LEFT:
	case PEER_FENCE:
		return on_call_id(m, type, in);
	case PEER_FENCED:
		return on_fenced(m, in);
	case PEER_PROBE:
		return on_probe(m, in);
	case PEER_LOAD:
	case PEER_GOAWAY:
		return on_load(m, in);
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
	g_hash_table_remove_all(m->partial_messages);
	entry_link_down(m->node, m->name);
}

static const struct link_ops dialled_ops = {
	.up = on_dialled_up,
	.frame = on_frame,
	.down = on_dialled_down,
};

#define REDIAL_INTERVAL_US (200 * US_PER_MS)

static void on_redial(void *arg, u64 now_us)
{
	struct mesh_peer *m = arg;

	dial(m);
	if (!m->link)
		loop_timer_set(m->node->loop, &m->redial, now_us + REDIAL_INTERVAL_US);
}

static void dial(struct mesh_peer *m)
{
	struct endpoint at;

	if (m->link || endpoint_parse(&at, m->name))
		return;
	m->link = link_dial(m->node->loop, &m->node->self, at.host, at.port, &dialled_ops, m);
	if (m->link)
		link_set_held(m->link, &m->node->held);
}

static void peer_free(gpointer arg)
{
	struct mesh_peer *m = arg;

	loop_timer_cancel(m->node->loop, &m->redial);
	if (m->link)
		link_close(m->link);
	g_hash_table_unref(m->partial_messages);
	g_free(m->name);
	g_free(m);
}

static struct mesh_peer *peer_new(struct node *n, const char *name)
{
	struct mesh_peer *m = g_new0(struct mesh_peer, 1);

	m->node = n;
	m->name = g_strdup(name);
	m->partial_messages = mesh_partial_messages_new();
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
		loop_timer_set(n->loop, &m->redial, loop_clock_us() + REDIAL_INTERVAL_US);
	}
	return m->link && m->link->is_up ? m->link : NULL;
}

bool mesh_is_dialling(struct node *n, const char *peer)
{
	struct mesh_peer *m = g_hash_table_lookup(n->mesh->dialled, peer);

	return m && m->link && !m->link->is_up;
}

/* A home that has calls of this node is pinged after this time of silence. */
#define SILENCE_PING_US (150 * US_PER_MS)
/*
 * After this time it gets no new calls, and its idempotent calls are hedged: its VM may have lost
 * power or be frozen.
 */
#define SILENCE_MAX_US (450 * US_PER_MS)
/* Limit on the time between two checks that counts as silence; the rest is a pause of this node. */
#define SILENCE_STEP_MAX_US (100 * US_PER_MS)

static void count_silence(struct mesh_peer *m, const struct choose_target *t, u64 step_us,
			  u64 now_us)
{
	u64 max_us = 0;

	/* An idle link is silent too: only the time since an answer became due counts. */
	if (t->in_flight)
		max_us = MIN(link_silence_us(m->link, now_us),
			     now_us - MIN(t->silent_since_us, now_us));
	m->silence_us = MIN(m->silence_us + MIN(step_us, SILENCE_STEP_MAX_US), max_us);
}

static void check_silent(struct mesh_peer *m, struct choose_target *t, u64 now_us)
{
	if (!m->is_silent)
		log_event(LOG_WARN, "peer silent", "peer", m->name, "silence_us",
			  log_u64(m->silence_us), "in_flight", log_u64(t->in_flight), NULL);
	m->is_silent = true;
	choose_set_unreachable(t, now_us);
	entry_home_silent(m->node, m->name);
}

/* A home that was silent and is heard again gets calls at once. */
static void check_heard(struct mesh_peer *m, struct choose_target *t, u64 now_us)
{
	if (!m->is_silent || link_silence_us(m->link, now_us) >= SILENCE_PING_US)
		return;
	log_event(LOG_INFO, "peer heard again", "peer", m->name, NULL);
	m->is_silent = false;
	t->unreachable_until_us = 0;
}

static void check_silence(struct mesh_peer *m, u64 step_us, u64 now_us)
{
	struct choose_target *t = choose_find(&m->node->choose, m->name);

	if (!m->link || !m->link->is_up || !t) {
		m->silence_us = 0;
		m->is_silent = false;
		return;
	}
	count_silence(m, t, step_us, now_us);
	if (m->silence_us >= SILENCE_MAX_US)
		check_silent(m, t, now_us);
	else if (m->silence_us >= SILENCE_PING_US)
		link_ping(m->link);
	check_heard(m, t, now_us);
}

void mesh_check_silent_peers(struct node *n, u64 now_us)
{
	/* A hedge may dial a link, which changes the table. */
	g_autoptr(GList) peers = g_hash_table_get_values(n->mesh->dialled);
	u64 step_us = now_us - n->mesh->checked_us;

	n->mesh->checked_us = now_us;
	for (GList *l = peers; l; l = l->next)
		check_silence(l->data, step_us, now_us);
}

/* Accepted links */

static void close_accepted(struct node *n, struct mesh_peer *m)
{
	home_link_down(n, m->link);
	g_ptr_array_remove_fast(n->mesh->accepted, m);
	peer_free(m);
}

/*
 * A node dials one link. When it dials again, the bytes left in the old link
 * must not be read: a call among them could arrive after its own fence.
 */
static void close_older(struct node *n, const char *name)
{
	for (guint i = n->mesh->accepted->len; i > 0; i--) {
		struct mesh_peer *m = g_ptr_array_index(n->mesh->accepted, i - 1);

		if (!strcmp(m->name, name))
			close_accepted(n, m);
	}
}

/* The peer is about to choose an upstream, so it needs the load of the one here. */
static void on_accepted_up(struct link *k)
{
	struct node *n = k->arg;
	struct peer_load load;
	struct mesh_peer *m;

	close_older(n, k->remote.name);
	m = peer_new(n, k->remote.name);
	m->link = k;
	k->arg = m;
	link_set_held(k, &n->held);
	g_ptr_array_add(n->mesh->accepted, m);
	home_expect_calls(n);
	m->last_call_us = loop_clock_us();
	home_get_load(n, &load);
	send_load(m, PEER_LOAD, &load);
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

	home_get_load(n, &load);
	for (guint i = 0; i < n->mesh->accepted->len; i++)
		send_load(g_ptr_array_index(n->mesh->accepted, i), PEER_GOAWAY, &load);
}

void mesh_push_load(struct node *n)
{
	u64 now = loop_clock_us();
	struct peer_load load;

	home_get_load(n, &load);
	for (guint i = 0; i < n->mesh->accepted->len; i++) {
		struct mesh_peer *m = g_ptr_array_index(n->mesh->accepted, i);

		if (now - m->last_call_us > RECENT_CALL_US)
			m->is_load_stale = true;
		else
			send_load(m, PEER_LOAD, &load);
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

void mesh_finish(struct node *n)
{
	g_clear_pointer(&n->mesh->listener, link_stop_listening);
	for (guint i = 0; i < n->mesh->accepted->len; i++) {
		const struct mesh_peer *m = g_ptr_array_index(n->mesh->accepted, i);

		link_end_sending(m->link);
	}
}

u32 mesh_accepted_links(const struct node *n)
{
	return n->mesh->accepted->len;
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

void mesh_reset(struct node *n)
{
	g_autoptr(GList) dialled = g_hash_table_get_values(n->mesh->dialled);

	while (n->mesh->accepted->len)
		close_accepted(n, g_ptr_array_index(n->mesh->accepted, 0));
	for (GList *l = dialled; l; l = l->next) {
		struct link *k = ((struct mesh_peer *)l->data)->link;

		if (!k)
			continue;
		on_dialled_down(k, ERR_CLOSED);
		link_close(k);
	}
}

void mesh_stop(struct node *n)
{
	while (n->mesh->accepted->len)
		close_accepted(n, g_ptr_array_index(n->mesh->accepted, 0));
	g_hash_table_unref(n->mesh->dialled);
	if (n->mesh->listener)
		link_stop_listening(n->mesh->listener);
	g_ptr_array_unref(n->mesh->accepted);
	g_clear_pointer(&n->mesh, g_free);
}
