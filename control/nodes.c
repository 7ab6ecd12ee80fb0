/* Links from nodes: registrations, renewals, and configuration and directory updates. */
#include "control/control.h"

#include "control/config_transfer.h"
#include "control/join.h"
#include "control/op.h"
#include "control/quota_host.h"
#include "control/view.h"
#include "lib/err.h"
#include "lib/log.h"
#include "wire/ctl.h"

#include <string.h>

/* A turn of the loop starts no other view, and no other transfer, after this time. */
#define VIEWS_TURN_US (5 * US_PER_MS)
#define CONFIGS_TURN_US (5 * US_PER_MS)

struct node_link {
	struct link *link;
	bool is_watching;
	bool is_confirmed; /* may receive the configuration, see on_confirmed */
	u32 confirm_round; /* the read that it waits for; 0 if none */
	struct config_request request; /* the last one; its revision is what the node has by now */
	struct config_transfer transfer;
	struct view view;
	u32 view_sent; /* changes of the view sent since the node last answered one */
	u64 members_index; /* log index of the membership sent last; 0 for none */
	struct withdrawal withdrawal; /* that the node has sent, or was sent */
};

static struct node_link *find_node(struct control *c, const struct link *k)
{
	for (guint i = 0; i < c->nodes->len; i++) {
		struct node_link *n = g_ptr_array_index(c->nodes, i);

		if (n->link == k)
			return n;
	}
	return NULL;
}

struct link *nodes_find_link(struct control *c, const char *node, u64 incarnation)
{
	for (guint i = 0; i < c->nodes->len; i++) {
		struct node_link *n = g_ptr_array_index(c->nodes, i);

		if (n->link->remote.incarnation == incarnation &&
		    !strcmp(n->link->remote.name, node))
			return n->link;
	}
	return NULL;
}

static void send_freshness(struct control *c, struct node_link *n, u64 now_us)
{
	FRAME_AUTO(f, CTL_FRESHNESS);

	frame_put_bool(&f, raft_is_fresh(&c->raft, CTL_LEASE_US, now_us));
	frame_put_u64(&f, c->store.revision);
	frame_put_u64(&f, now_us);
	link_send(n->link, &f);
}

static void send_members(struct control *c, struct node_link *n)
{
	if (!c->raft.members.n || n->members_index == c->raft.members_index)
		return;
	n->members_index = c->raft.members_index;
	join_send_members(c, n->link);
}

void nodes_send_freshness(struct control *c)
{
	u64 now = loop_clock_us();

	for (guint i = 0; i < c->nodes->len; i++) {
		send_members(c, g_ptr_array_index(c->nodes, i));
		send_freshness(c, g_ptr_array_index(c->nodes, i), now);
	}
}

void nodes_on_link_up(struct control *c, struct link *k)
{
	struct node_link *n = g_new0(struct node_link, 1);

	n->link = k;
	view_init(&n->view, k->remote.name, k->remote.zone, k->remote.region);
	g_ptr_array_add(c->nodes, n);
	send_members(c, n);
	send_freshness(c, n, loop_clock_us());
}

void nodes_on_link_down(struct control *c, struct link *k)
{
	struct node_link *n = find_node(c, k);

	if (!n)
		return;
	g_ptr_array_remove_fast(c->nodes, n);
	config_transfer_clear(&n->transfer);
	view_clear(&n->view);
	withdrawal_clear(&n->withdrawal);
	g_free(n);
}

/*
 * A node that starts while the clock of its VM is behind has a lower incarnation than before. It is
 * told the known one, and registers again above it.
 */
static void refuse_registration(struct control *c, struct link *k, const struct dir_entry *e)
{
	const struct directory_item *known = directory_find(&c->directory, e->node);
	FRAME_AUTO(f, CTL_INCARNATION);

	log_event(LOG_WARN, "registration refused", "node", e->node, "reason",
		  "a newer one is known; is the clock of its VM behind?", "incarnation",
		  log_u64(e->incarnation), "known_incarnation", log_u64(known->entry.incarnation),
		  NULL);
	if (known->entry.incarnation <= e->incarnation)
		return;
	frame_put_u64(&f, known->entry.incarnation);
	link_send(k, &f);
}

/* A node that has started again does not know what it had acknowledged before. */
static void send_withdrawal(struct control *c, struct node_link *n)
{
	const struct directory_item *item = directory_find(&c->directory, n->link->remote.name);
	FRAME_AUTO(f, CTL_WITHDRAWAL);

	if (!item || !withdrawal_merge(&n->withdrawal, &item->withdrawal))
		return;
	withdrawal_put(&f, &n->withdrawal);
	link_send(n->link, &f);
}

void nodes_send_withdrawal(struct control *c, const char *node)
{
	for (guint i = 0; i < c->nodes->len; i++) {
		struct node_link *n = g_ptr_array_index(c->nodes, i);

		if (!strcmp(n->link->remote.name, node))
			send_withdrawal(c, n);
	}
}

static int receive_register(struct control *c, struct link *k, struct frame_in *in)
{
	__attribute__((cleanup(dir_entry_clear))) struct dir_entry e = { 0 };
	__attribute__((cleanup(withdrawal_clear))) struct withdrawal w = { 0 };
	struct node_link *n = find_node(c, k);
	int ret;

	dir_entry_get(in, &e);
	withdrawal_get(in, &w);
	/* Only the node itself writes its entry. */
	if (frame_done(in) || strcmp(e.node, k->remote.name))
		return ERR_INVAL;
	ret = directory_register(&c->directory, &e, loop_clock_us());
	directory_withdraw(&c->directory, e.node, &w);
	withdrawal_merge(&n->withdrawal, &w);
	send_withdrawal(c, n);
	if (ret == ERR_CONFLICT)
		refuse_registration(c, k, &e);
	if (ret == 1) {
		propagate_schedule(c);
		propagate_schedule_heartbeat(c);
	}
	return 0;
}

static int receive_renew(struct control *c, struct link *k, struct frame_in *in)
{
	u64 applied = frame_get_u64(in);
	struct directory_item *item = directory_find(&c->directory, k->remote.name);

	if (frame_done(in))
		return ERR_INVAL;
	/* An unknown or superseded node must register again. */
	if (directory_renew(&c->directory, k->remote.name, k->remote.incarnation, loop_clock_us()))
		return ERR_CLOSED;
	if (item->applied_revision != applied)
		propagate_schedule_heartbeat(c);
	item->applied_revision = applied;
	return 0;
}

/*
 * A restarted node does not know which revision it had, so its first configuration must
 * contain every change that was accepted before its request. A read through the leader
 * confirms this; concurrent requests share one read.
 */
static void on_confirmed(struct control *c, struct op *o)
{
	bool is_ok = o->outcome == OP_DONE;

	op_free(o);
	c->is_confirming = false;
	for (guint i = 0; i < c->nodes->len; i++) {
		struct node_link *n = g_ptr_array_index(c->nodes, i);

		if (n->confirm_round != c->confirm_round)
			continue;
		n->is_confirmed |= is_ok;
		n->confirm_round = 0;
	}
	nodes_push(c);
}

static void confirm(struct control *c)
{
	bool is_wanted = false;
	struct op *o;

	if (c->is_confirming)
		return;
	c->confirm_round++;
	for (guint i = 0; i < c->nodes->len; i++) {
		struct node_link *n = g_ptr_array_index(c->nodes, i);

		if (!n->is_watching || n->is_confirmed)
			continue;
		n->confirm_round = c->confirm_round;
		is_wanted = true;
	}
	if (!is_wanted)
		return;
	c->is_confirming = true;
	o = op_new(OP_READ);
	o->done = on_confirmed;
	op_submit(c, o);
}

static int receive_watch(struct control *c, struct link *k, struct frame_in *in)
{
	struct node_link *n = find_node(c, k);

	if (config_request_get(in, &n->request))
		return ERR_INVAL;
	config_transfer_clear(&n->transfer);
	n->is_watching = true;
	n->is_confirmed = n->request.revision > 0;
	nodes_push(c);
	return 0;
}

static void put_view_change(struct frame_out *f, const struct view_change *change)
{
	struct dir_entry e = change->item->entry;

	e.state = directory_state(change->item);
	frame_put_bool(f, change->is_dropped);
	dir_entry_put(f, &e);
}

/*
 * Sends the next changes of the view. After each VIEW_CHANGES_MAX the node has to answer before
 * more are sent, so that freshness reports wait behind no more than these. A send error is
 * ignored: the send queue is full only if the node is unresponsive.
 */
static void push_view(struct control *c, struct node_link *n)
{
	g_autoptr(GPtrArray) complete = g_ptr_array_new();
	g_autoptr(GArray) changes = NULL;
	FRAME_AUTO(f, CTL_VIEW);

	if (n->view_sent >= VIEW_CHANGES_MAX)
		return;
	changes = view_collect_changes(&n->view, &c->directory, complete);
	if (!changes->len && !complete->len && !view_is_count_stale(&n->view, &c->directory))
		return;
	n->view.nodes = c->directory.nodes;
	n->view_sent += changes->len;
	frame_put_bool(&f, n->view_sent >= VIEW_CHANGES_MAX);
	frame_put_u64(&f, c->directory.nodes);
	frame_put_u64(&f, complete->len);
	for (guint i = 0; i < complete->len; i++)
		frame_put_str(&f, g_ptr_array_index(complete, i));
	frame_put_u64(&f, changes->len);
	for (guint i = 0; i < changes->len; i++)
		put_view_change(&f, &g_array_index(changes, struct view_change, i));
	link_send(n->link, &f);
}

static void on_view_timer(void *arg, u64 now_us)
{
	(void)now_us;
	nodes_push_directory(arg);
}

/* Fires T in the next turn, so that frames that wait are read before. */
static void schedule(struct control *c, struct loop_timer *t, void (*fire)(void *arg, u64 now_us))
{
	if (t->is_set)
		return;
	*t = (struct loop_timer){ .fire = fire, .arg = c };
	loop_timer_set(c->loop, t, loop_clock_us());
}

static void schedule_views(struct control *c)
{
	schedule(c, &c->view_timer, on_view_timer);
}

static int receive_view_ack(struct control *c, struct link *k, struct frame_in *in)
{
	struct node_link *n = find_node(c, k);

	if (frame_done(in))
		return ERR_INVAL;
	n->view_sent = 0;
	if (view_needs_update(&n->view, &c->directory))
		schedule_views(c);
	return 0;
}

static bool is_view_due(const struct control *c, const struct node_link *n)
{
	if (!n->is_watching && !n->view.is_answer_due)
		return false;
	return view_needs_update(&n->view, &c->directory);
}

void nodes_push_directory(struct control *c)
{
	u64 start_us = loop_clock_us();

	for (guint i = 0; i < c->nodes->len; i++) {
		struct node_link *n;

		c->view_next = (c->view_next + 1) % c->nodes->len;
		n = g_ptr_array_index(c->nodes, c->view_next);
		if (!is_view_due(c, n))
			continue;
		push_view(c, n);
		if (loop_clock_us() - start_us < VIEWS_TURN_US)
			continue;
		schedule_views(c);
		return;
	}
}

static int receive_subscribe(struct control *c, struct link *k, struct frame_in *in)
{
	g_autoptr(GPtrArray) services = g_ptr_array_new_with_free_func(g_free);
	bool is_whole = frame_get_bool(in);
	u32 count = frame_get_count(in, CTL_SUBSCRIPTIONS_MAX);
	struct node_link *n = find_node(c, k);

	for (u32 i = 0; i < count && !in->err; i++)
		g_ptr_array_add(services, frame_get_str(in, SET_TEXT_MAX_BYTES));
	if (frame_done(in))
		return ERR_INVAL;
	if (is_whole)
		view_subscribe(&n->view, g_steal_pointer(&services));
	else
		view_subscribe_more(&n->view, services);
	schedule_views(c);
	return 0;
}

/* Returns the rest of the stream that the node has a part of, if this process has the same one. */
static struct config_stream *resume_stream(struct control *c, struct node_link *n)
{
	const struct config_request *r = &n->request;
	struct config_stream *stream;

	if (!r->received || r->stream.from != r->revision)
		return NULL;
	stream = config_streams_find(&c->config_streams, &c->store, &r->stream);
	if (stream && r->received >= stream->bytes->len)
		g_clear_pointer(&stream, config_stream_unref);
	return stream;
}

static void start_transfer(struct control *c, struct node_link *n)
{
	struct config_stream *stream = resume_stream(c, n);
	u64 offset = stream ? n->request.received : 0;
	u64 now_us;

	n->request.received = 0;
	if (!stream)
		stream = config_streams_get(&c->config_streams, &c->store, n->request.revision);
	if (!stream)
		return;
	now_us = loop_clock_us();
	config_transfer_start(&n->transfer, stream, offset, n->request.number, now_us);
	config_transfer_send(&n->transfer, n->link, now_us);
}

/* A node gets the next transfer when none is under way. */
static bool is_config_due(const struct control *c, const struct node_link *n)
{
	return n->is_watching && n->is_confirmed && !n->transfer.stream &&
	       n->request.revision < c->store.revision;
}

static void complete_transfer(struct node_link *n)
{
	const struct config_transfer *t = &n->transfer;

	log_event(LOG_INFO, "configuration acknowledged", "node", n->link->remote.name, "from",
		  log_u64(t->stream->id.from), "to", log_u64(t->stream->id.to), "bytes",
		  log_u64(t->stream->bytes->len), "start", log_u64(t->start), "time_us",
		  log_u64(loop_clock_us() - t->start_us), NULL);
	n->request.revision = t->stream->id.to;
	config_transfer_clear(&n->transfer);
}

static int receive_ack(struct control *c, struct link *k, struct frame_in *in)
{
	struct node_link *n = find_node(c, k);
	u64 request = frame_get_u64(in);
	u64 received = frame_get_u64(in);
	u64 now_us = loop_clock_us();

	if (frame_done(in) || config_transfer_acknowledge(&n->transfer, request, received, now_us))
		return ERR_INVAL;
	if (config_transfer_is_complete(&n->transfer)) {
		complete_transfer(n);
		if (is_config_due(c, n) && raft_is_fresh(&c->raft, CTL_LEASE_US, now_us))
			start_transfer(c, n);
		return 0;
	}
	config_transfer_send(&n->transfer, k, now_us);
	return 0;
}

int nodes_on_frame(struct control *c, struct link *k, u32 type, struct frame_in *in)
{
	switch (type) {
	case CTL_REGISTER:
		return receive_register(c, k, in);
	case CTL_RENEW:
		return receive_renew(c, k, in);
	case CTL_WATCH:
		return receive_watch(c, k, in);
	case CTL_CONFIG_ACK:
		return receive_ack(c, k, in);
	case CTL_VIEW_ACK:
		return receive_view_ack(c, k, in);
	case CTL_SUBSCRIBE:
		return receive_subscribe(c, k, in);
	case CTL_QUOTA_REQUEST:
		return quota_host_receive_request(c, k, in);
	default:
		return ERR_INVAL;
	}
}

static void on_config_timer(void *arg, u64 now_us)
{
	(void)now_us;
	nodes_push(arg);
}

static void push_configs(struct control *c)
{
	u64 start_us = loop_clock_us();

	for (guint i = 0; i < c->nodes->len; i++) {
		struct node_link *n;

		c->config_next = (c->config_next + 1) % c->nodes->len;
		n = g_ptr_array_index(c->nodes, c->config_next);
		if (!is_config_due(c, n))
			continue;
		start_transfer(c, n);
		if (loop_clock_us() - start_us < CONFIGS_TURN_US)
			continue;
		schedule(c, &c->config_timer, on_config_timer);
		return;
	}
}

static bool is_confirmation_due(const struct control *c)
{
	for (guint i = 0; i < c->nodes->len; i++) {
		const struct node_link *n = g_ptr_array_index(c->nodes, i);

		if (n->is_watching && !n->is_confirmed)
			return true;
	}
	return false;
}

/*
 * A process that is not fresh starts no transfer, but goes on with those under way, and continues
 * to send its directory.
 */
void nodes_push(struct control *c)
{
	config_frames_observe(&c->config_streams.frames, &c->store);
	if (!raft_is_fresh(&c->raft, CTL_LEASE_US, loop_clock_us()))
		return;
	if (!c->config_timer.is_set)
		push_configs(c);
	if (is_confirmation_due(c))
		confirm(c);
}
