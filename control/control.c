#include "control/control.h"

#include "control/join.h"
#include "control/op.h"
#include "control/quota_host.h"
#include "lib/err.h"
#include "lib/log.h"
#include "wire/ctl.h"

#include <string.h>

/* At the end of the grace, to write the last answers and close the connections. */
#define CLOSE_US (500 * US_PER_MS)
#define HAND_OVER_POLL_US (5 * US_PER_MS)
/* A member that is there has answered a heartbeat meanwhile. */
#define HAND_OVER_TRY_US (2 * RAFT_HEARTBEAT_US)
/* Between the messages that this process is about to end. */
#define LEAVE_POLL_US (50 * US_PER_MS)

static void on_link_up(struct link *k)
{
	if (k->remote.role == LINK_NODE)
		nodes_on_link_up(k->arg, k);
	else
		peers_dial_back(k->arg, k);
}

static int on_link_frame(struct link *k, u32 type, struct frame_in *in)
{
	if (k->remote.role == LINK_NODE)
		return nodes_on_frame(k->arg, k, type, in);
	return peers_on_frame(k->arg, k, type, in);
}

static void on_link_down(struct link *k, int err)
{
	struct control *c = k->arg;

	(void)err;
	op_link_down(c, k);
	peers_on_link_down(c, k);
	nodes_on_link_down(c, k);
}

static const struct link_ops accepted_ops = {
	.up = on_link_up,
	.frame = on_link_frame,
	.down = on_link_down,
};

static void on_tick(void *arg, u64 now_us)
{
	struct control *c = arg;

	if (directory_expire(&c->directory, now_us))
		propagate_schedule(c);
	propagate_tick(c, now_us);
	loop_timer_set(c->loop, &c->tick_timer, now_us + CTL_RENEW_INTERVAL_US);
}

static void on_freshness_timer(void *arg, u64 now_us)
{
	struct control *c = arg;

	op_poll(c, now_us);
	quota_host_tick(c, now_us);
	nodes_send_freshness(c);
	nodes_push(c);
	loop_timer_set(c->loop, &c->freshness_timer, now_us + CTL_FRESHNESS_INTERVAL_US);
}

static void set_identity(struct control *c)
{
	const struct control_settings *s = &c->settings->control;

	c->self.cluster = g_strdup(c->settings->cluster);
	c->self.role = LINK_CONTROL;
	c->self.name = g_strdup_printf("%s:%u", s->address, s->peer_port);
	c->self.zone = g_strdup(s->zone);
	c->self.region = g_strdup(s->region);
	c->self.incarnation = loop_wall_clock_us();
	c->self.api_port = s->api_listen.port;
	c->directory.incarnation = c->self.incarnation;
}

static int listen_for_links(struct control *c)
{
	const struct control_settings *s = &c->settings->control;

	const char *host = s->peer_listen.port ? s->peer_listen.host : s->address;
	u16 port = s->peer_listen.port ? s->peer_listen.port : s->peer_port;

	c->listener = link_listen(c->loop, &c->self, host, port, &accepted_ops, c);
	if (c->listener)
		return 0;
	log_event(LOG_ERROR, "cannot listen; is the port in use?", "address", host, "peer_port",
		  log_u64(port), NULL);
	return ERR_IO;
}

static void start_timers(struct control *c)
{
	u64 now = loop_clock_us();

	c->tick_timer = (struct loop_timer){ .fire = on_tick, .arg = c };
	c->freshness_timer = (struct loop_timer){ .fire = on_freshness_timer, .arg = c };
	loop_timer_set(c->loop, &c->tick_timer, now + CTL_RENEW_INTERVAL_US);
	loop_timer_set(c->loop, &c->freshness_timer, now + CTL_FRESHNESS_INTERVAL_US);
	raft_host_arm(c);
}

static int control_start(struct module *m, struct module_registry *registry)
{
	struct control *c = (struct control *)m;
	int err;

	(void)registry;
	set_identity(c);
	c->loop = loop_new("control");
	err = raft_host_open(c);
	if (err)
		return err;
	err = listen_for_links(c);
	if (err)
		return err;
	join_start(c);
	peers_start(c);
	start_timers(c);
	err = loop_start(c->loop);
	return err ? err : api_start(c);
}

static void stop_on_loop(void *arg)
{
	struct control *c = arg;

	link_stop_listening(c->listener);
	join_stop(c);
	peers_stop(c);
	while (c->nodes->len) {
		struct link **first = g_ptr_array_index(c->nodes, 0);
		struct link *k = *first;

		nodes_on_link_down(c, k);
		link_close(k);
	}
	loop_timer_cancel(c->loop, &c->raft_timer);
	loop_timer_cancel(c->loop, &c->tick_timer);
	loop_timer_cancel(c->loop, &c->freshness_timer);
	loop_timer_cancel(c->loop, &c->propagate_timer);
	loop_timer_cancel(c->loop, &c->heartbeat_timer);
	loop_timer_cancel(c->loop, &c->view_timer);
	loop_timer_cancel(c->loop, &c->config_timer);
}

/* What a process that ends waits for, and whether it still has to. */
struct stop_step {
	struct control *control;
	bool is_under_way;
};

static void begin_hand_over(void *arg)
{
	struct stop_step *h = arg;
	struct control *c = h->control;

	c->raft.stands_for_none = true;
	h->is_under_way = !raft_hand_over(&c->raft, loop_clock_us());
	raft_host_arm(c);
}

static void check_hand_over(void *arg)
{
	struct stop_step *h = arg;

	h->is_under_way = raft_is_handing_over(&h->control->raft);
}

static void wait_for_successor(struct stop_step *h, u64 end_us)
{
	while (h->is_under_way && loop_clock_us() < end_us) {
		g_usleep(HAND_OVER_POLL_US);
		loop_call(h->control->loop, check_hand_over, h);
	}
}

/*
 * If this process leads, another takes over, so that no election time-out has to pass. The first
 * choice may be a member that has ended since its last reply.
 */
static void hand_over(struct control *c, u64 end_us)
{
	struct stop_step h = { .control = c, .is_under_way = true };
	u64 now = loop_clock_us();

	for (; h.is_under_way && now < end_us; now = loop_clock_us()) {
		loop_call(c->loop, begin_hand_over, &h);
		wait_for_successor(&h, now + HAND_OVER_TRY_US);
	}
}

static void leave_on_loop(void *arg)
{
	struct stop_step *l = arg;

	l->is_under_way = join_leave(l->control);
}

/*
 * Another member takes the vote of this process if one can. Else the group would have one voter
 * less until it takes this process for lost.
 */
static void give_up_vote(struct control *c, u64 end_us)
{
	struct stop_step l = { .control = c };
	u64 began_us = loop_clock_us();

	loop_call(c->loop, leave_on_loop, &l);
	if (!l.is_under_way)
		return;
	while (l.is_under_way && loop_clock_us() < end_us) {
		g_usleep(LEAVE_POLL_US);
		loop_call(c->loop, leave_on_loop, &l);
	}
	log_event(l.is_under_way ? LOG_WARN : LOG_INFO, "vote given up", "outcome",
		  l.is_under_way ? "no other member took it in time" : "done", "took_us",
		  log_u64(loop_clock_us() - began_us), NULL);
}

static void control_stop(struct module *m)
{
	struct control *c = (struct control *)m;

	u64 now = loop_clock_us();
	u64 grace_us = c->settings->control.shutdown_grace_ms * US_PER_MS;

	/* The loop may be waiting for room, and what follows waits for the loop. */
	__atomic_store_n(&c->disk_wait_end_us, now + grace_us / 2, __ATOMIC_RELEASE);
	hand_over(c, now + MIN(grace_us / 4, RAFT_TRANSFER_TIMEOUT_US));
	give_up_vote(c, now + grace_us / 2);
	api_stop(c, now + grace_us - MIN(grace_us / 4, CLOSE_US));
	loop_call(c->loop, stop_on_loop, c);
	loop_stop(c->loop);
	raft_host_close(c);
	loop_free(c->loop);
}

struct reload {
	struct control *control;
	const struct settings *settings;
};

static void reload_on_loop(void *arg)
{
	const struct reload *r = arg;

	r->control->settings = r->settings;
}

static void control_reload(struct module *m, const struct settings *settings)
{
	struct control *c = (struct control *)m;
	struct reload r = { .control = c, .settings = settings };

	loop_call(c->loop, reload_on_loop, &r);
	api_reload(c);
}

static const struct module_ops control_ops = {
	.name = "control",
	.start = control_start,
	.stop = control_stop,
	.reload = control_reload,
};

static void init_quotas(struct control *c)
{
	const struct control_settings *s = &c->settings->control;
	struct quota_pool_settings q = { .window_us = s->quota_window_ms * US_PER_MS,
					 .overage_permille = s->quota_overage_permille,
					 .slack = s->quota_slack };

	quota_pool_init(&c->quota_pool, &q);
}

struct control *control_new(const struct settings *s)
{
	struct control *c = g_new0(struct control, 1);

	c->module.ops = &control_ops;
	c->settings = s;
	c->nodes = g_ptr_array_new();
	c->ops = g_hash_table_new(g_int64_hash, g_int64_equal);
	store_init(&c->store);
	init_quotas(c);
	directory_init(&c->directory, s->control.id, 0);
	return c;
}

void control_free(struct control *c)
{
	peers_free(c);
	store_clear(&c->store);
	quota_pool_clear(&c->quota_pool);
	config_streams_clear(&c->config_streams);
	directory_clear(&c->directory);
	g_ptr_array_unref(c->nodes);
	g_hash_table_unref(c->ops);
	g_free(c->self.cluster);
	g_free(c->self.name);
	g_free(c->self.zone);
	g_free(c->self.region);
	g_free(c);
}
