#include "node/node.h"

#include "lib/ctr.h"
#include "lib/err.h"
#include "lib/log.h"
#include "node/config.h"
#include "node/entry_impl.h"
#include "node/quota_host.h"

#define SHUTDOWN_POLL_US (20 * US_PER_MS)
/* Longer than callers need to notice that a node is not ready. */
#define SHUTDOWN_QUIET_PERIOD_US (1 * US_PER_S)
/* Connections whose last answer was written are given this time to be closed by the other end. */
#define SHUTDOWN_LINGER_US (100 * US_PER_MS)
#define PROBE_TICK_US (50 * US_PER_MS)

void node_announce(struct node *n)
{
	n->dir_entry.version++;
	choose_set_entry(&n->choose, &n->dir_entry, loop_clock_us());
	watch_register(n);
}

void node_apply_evacuations(struct node *n)
{
	const struct config *config;
	bool was_evacuated = n->is_evacuated;

	config_read_lock();
	config = config_current();
	n->is_evacuated = config_is_evacuated(config, n->self.zone);
	if (config)
		choose_set_evacuated(&n->choose, config->evacuated, loop_clock_us());
	config_read_unlock();
	if (n->is_evacuated == was_evacuated)
		return;
	log_event(LOG_INFO, n->is_evacuated ? "zone evacuated" : "zone restored", "zone",
		  n->self.zone, "revision", log_u64(config_revision()), NULL);
	if (n->is_evacuated)
		home_refuse_queued(n, CTR_EVACUATED);
	else
		home_restored(n);
	home_push_load(n);
}

void node_set_state(struct node *n, enum dir_state state)
{
	n->dir_entry.state = state;
	node_announce(n);
	mesh_goaway(n);
}

/* Runs once per second. An upstream that has not announced itself within its TTL has left. */
static void on_second(void *arg, u64 now_us)
{
	struct node *n = arg;
	bool has_upstream = n->dir_entry.state == DIR_UP || n->dir_entry.state == DIR_DRAINING;
	u64 late_us = now_us - n->second_timer.due_us;
	/* If this is late because of a pause, on_probe has not allowed for that yet. */
	u64 announced_us = MIN(n->upstream_announced_us + late_us, now_us);

	if (has_upstream && now_us - announced_us > n->upstream_ttl_us) {
		log_event(LOG_WARN, "no announcement from the upstream within its TTL; removing it",
			  "service", n->dir_entry.service, NULL);
		node_set_state(n, DIR_NO_UPSTREAM);
		claim_end(&n->upstream_claim);
	}
	home_tick(n, now_us);
	mesh_close_idle_links(n, now_us);
	retry_quota_set_nodes(&n->entry->retry_quota, watch_node_count(n));
	ctr_add(CTR_PROBE_ALLOWED, n->settings->node.probe_budget_per_s);
	ctr_add(CTR_PROBE_BYTES_ALLOWED, n->settings->node.probe_budget_bytes_per_s);
	loop_timer_set(n->loop, &n->second_timer, now_us + US_PER_S);
}

static void send_probe(struct node *n, const char *home)
{
	struct link *k = mesh_link(n, home);
	FRAME_AUTO(f, PEER_PROBE);

	if (k && !link_send(k, &f))
		ctr_inc(CTR_PROBE_SENT);
}

static void on_probe(void *arg, u64 now_us)
{
	struct node *n = arg;
	u64 late_us = now_us - n->probe_timer.due_us;
	struct choose_target *t;

	/* Time in which this process did not run is no silence: it read no announcement. */
	n->upstream_announced_us = MIN(n->upstream_announced_us + late_us, now_us);
	while ((t = probe_next(&n->probe, &n->choose, now_us)))
		send_probe(n, t->entry.node);
	mesh_check_silent_peers(n, now_us);
	loop_timer_set(n->loop, &n->probe_timer, now_us + PROBE_TICK_US);
}

static void set_upstream_ttl(struct node *n)
{
	n->upstream_ttl_us = n->settings->node.upstream_ttl_ms * US_PER_MS;
	if (!n->upstream_ttl_us)
		n->upstream_ttl_us = NODE_UPSTREAM_DEFAULT_TTL_US;
}

static void set_identity(struct node *n)
{
	const struct node_settings *s = &n->settings->node;

	n->self.cluster = g_strdup(n->settings->cluster);
	n->self.role = LINK_NODE;
	n->self.name = g_strdup_printf("%s:%u", s->address, s->peer_port);
	n->self.zone = g_strdup(s->zone);
	n->self.region = g_strdup(s->region);
	n->self.incarnation = loop_wall_clock_us();
	n->dir_entry.node = g_strdup(n->self.name);
	n->dir_entry.zone = g_strdup(s->zone);
	n->dir_entry.region = g_strdup(s->region);
	n->dir_entry.incarnation = n->self.incarnation;
	n->dir_entry.state = DIR_NO_UPSTREAM;
	n->dir_entry.service = g_strdup("");
	set_upstream_ttl(n);
}

void node_raise_incarnation(struct node *n, u64 known)
{
	if (known < n->self.incarnation)
		return;
	ctr_inc(CTR_INCARNATION_RAISED);
	log_event(LOG_WARN, "incarnation raised", "from", log_u64(n->self.incarnation), "known",
		  log_u64(known), "reason", "the clock of the VM was ahead at an earlier start",
		  NULL);
	n->self.incarnation = known + 1;
	n->dir_entry.incarnation = n->self.incarnation;
	choose_set_entry(&n->choose, &n->dir_entry, loop_clock_us());
	mesh_reset(n);
	watch_reset(n);
}

static int node_start(struct module *m, struct module_registry *registry)
{
	struct node *n = (struct node *)m;
	int err;

	(void)registry;
	set_identity(n);
	n->loop = loop_new("node");
	choose_init(&n->choose, n->self.name, n->self.zone, n->self.region, n->self.incarnation,
		    loop_clock_us());
	choose_set_entry(&n->choose, &n->dir_entry, loop_clock_us());
	probe_init(&n->probe, n->settings->node.probe_budget_per_s,
		   n->settings->node.probe_budget_bytes_per_s, loop_clock_us());
	n->probe_timer = (struct loop_timer){ .fire = on_probe, .arg = n };
	loop_timer_set(n->loop, &n->probe_timer, loop_clock_us() + PROBE_TICK_US);
	n->second_timer = (struct loop_timer){ .fire = on_second, .arg = n };
	loop_timer_set(n->loop, &n->second_timer, loop_clock_us() + US_PER_S);
	quota_host_start(n);
	err = entry_start(n);
	if (!err)
		err = home_start(n);
	if (!err)
		err = mesh_start(n);
	if (!err)
		err = watch_start(n);
	if (!err)
		err = local_start(n);
	if (!err)
		err = caller_start(n);
	return err ? err : loop_start(n->loop);
}

struct stop_request {
	struct node *node;
	struct stop plan;
};

/* Drains this node's upstream; calls of local callers still go to other upstreams. */
static void begin_stop(void *arg)
{
	const struct stop_request *r = arg;
	const struct stop *s = &r->plan;
	struct node *n = r->node;

	n->stop = *s;
	__atomic_store_n(&n->is_stopping, true, __ATOMIC_RELEASE);
	log_event(LOG_INFO, "node stops", "calls", log_u64(entry_in_progress(n)), "jobs",
		  log_u64(home_in_progress(n)), "serve_us", log_u64(s->serve_us - s->begin_us),
		  "read_us", log_u64(s->read_us - s->begin_us), "end_us",
		  log_u64(s->end_us - s->begin_us), NULL);
	httpd_end_keep_alive(n->caller_http, s->serve_us);
	if (n->dir_entry.state == DIR_UP)
		node_set_state(n, DIR_DRAINING);
}

struct progress {
	struct node *node;
	u32 calls;
	u32 connections; /* of callers and of nodes that call here */
	size_t bytes; /* of answers and replies that were not written to a socket */
};

static void count_progress(void *arg)
{
	struct progress *p = arg;
	struct node *n = p->node;

	p->calls = home_in_progress(n) + entry_in_progress(n) + httpd_requests(n->caller_http);
	p->connections = httpd_connections(n->caller_http) + mesh_accepted_links(n);
	p->bytes = mesh_queued_bytes(n) + httpd_unsent_bytes(n->caller_http);
}

/* Waits for the calls in progress. Returns how many remain at END_US. */
static u32 wait_for_calls(struct node *n, u64 end_us)
{
	struct progress p = { .node = n };

	do {
		loop_call(n->loop, count_progress, &p);
		if (!p.calls && !p.bytes)
			return 0;
		g_usleep(SHUTDOWN_POLL_US);
	} while (loop_clock_us() < end_us);
	return p.calls;
}

/* Waits until the other ends have closed their connections, and so have read the last answers. */
static void wait_for_closes(struct node *n, u64 end_us)
{
	struct progress p = { .node = n };

	loop_call(n->loop, count_progress, &p);
	while (p.connections && loop_clock_us() < end_us) {
		g_usleep(SHUTDOWN_POLL_US / 4);
		loop_call(n->loop, count_progress, &p);
	}
}

static u64 calls_taken(void)
{
	return ctr_get(CTR_CALLS) - ctr_get(CTR_STOPPING);
}

/* Waits until no call is taken for a while: callers notice only later that it is not ready. */
static void wait_until_quiet(u64 end_us)
{
	u64 calls = calls_taken();
	u64 quiet_since_us = loop_clock_us();

	while (loop_clock_us() < end_us &&
	       loop_clock_us() - quiet_since_us < SHUTDOWN_QUIET_PERIOD_US) {
		g_usleep(SHUTDOWN_POLL_US);
		if (calls_taken() == calls)
			continue;
		calls = calls_taken();
		quiet_since_us = loop_clock_us();
	}
}

static void abandon_calls(void *arg)
{
	struct node *n = arg;

	entry_abandon_all(n);
	quota_host_abandon_all(n);
	home_cancel_all(n);
}

/* What is queued for the upstream is refused early enough to be tried elsewhere. */
static void end_serving(void *arg)
{
	struct node *n = arg;

	httpd_end_keep_alive(n->caller_http, 0);
	home_refuse_queued(n, CTR_DRAINING);
}

static void stop_accepting(void *arg)
{
	struct node *n = arg;

	httpd_stop_accepting(n->caller_http);
}

/*
 * The grace period has four phases: callers are served as before; then each answer asks them to
 * close the connection, and calls that could last too long are refused; then nobody can connect,
 * so that calls already taken have time to end; finally, calls still in progress are abandoned.
 */
static void finish_calls(struct node *n)
{
	const struct stop *s = &n->stop;
	u32 remaining_calls;

	wait_until_quiet(s->serve_us);
	loop_call(n->loop, end_serving, n);
	wait_until_quiet(s->read_us);
	loop_call(n->loop, stop_accepting, n);
	remaining_calls = wait_for_calls(n, s->end_us);
	if (!remaining_calls)
		return;
	log_event(LOG_WARN, "shutdown grace period ended with calls in progress", "calls",
		  log_u64(remaining_calls), NULL);
	loop_call(n->loop, abandon_calls, n);
	wait_for_calls(n, loop_clock_us() + SHUTDOWN_POLL_US);
}

/* Leaves the directory, and ends the connections after what is still to be sent on them. */
static void leave(void *arg)
{
	struct node *n = arg;

	n->dir_entry.state = DIR_GONE;
	n->dir_entry.version++;
	watch_register(n);
	caller_refuse_incomplete(n);
	mesh_finish(n);
}

static void stop_on_loop(void *arg)
{
	struct node *n = arg;

	caller_stop(n);
	quota_host_stop(n);
	local_stop(n);
	watch_stop(n);
	mesh_stop(n);
	loop_timer_cancel(n->loop, &n->second_timer);
	loop_timer_cancel(n->loop, &n->probe_timer);
	home_free(n);
}

static void node_stop(struct module *m)
{
	struct node *n = (struct node *)m;
	struct stop_request r = { .node = n };

	/* The grace period runs while the loop is busy. */
	stop_begin(&r.plan, loop_clock_us(), n->settings->node.shutdown_grace_ms * US_PER_MS);
	loop_call(n->loop, begin_stop, &r);
	finish_calls(n);
	loop_call(n->loop, leave, n);
	wait_for_closes(n, MIN(n->stop.close_us, loop_clock_us() + SHUTDOWN_LINGER_US));
	loop_call(n->loop, stop_on_loop, n);
	loop_stop(n->loop);
	entry_stop(n);
	choose_clear(&n->choose);
	loop_free(n->loop);
	config_reset();
}

struct reload {
	struct node *node;
	const struct settings *settings;
};

static void reload_on_loop(void *arg)
{
	const struct reload *r = arg;
	struct node *n = r->node;
	const struct node_settings *s = &r->settings->node;

	n->settings = r->settings;
	set_upstream_ttl(n);
	probe_init(&n->probe, s->probe_budget_per_s, s->probe_budget_bytes_per_s, loop_clock_us());
	retry_quota_set(&n->entry->retry_quota, s->retry_budget_percent, s->retry_budget_slack);
	home_apply_settings(n);
	watch_apply_settings(n);
	caller_configure(n);
	local_configure(n);
}

static void node_reload(struct module *m, const struct settings *settings)
{
	struct node *n = (struct node *)m;
	struct reload r = { .node = n, .settings = settings };

	loop_call(n->loop, reload_on_loop, &r);
}

static const struct module_ops node_ops = {
	.name = "node",
	.start = node_start,
	.stop = node_stop,
	.reload = node_reload,
};

struct node *node_new(const struct settings *s)
{
	struct node *n = g_new0(struct node, 1);

	n->module.ops = &node_ops;
	n->settings = s;
	n->dialect = &dialect_native;
	return n;
}

void node_free(struct node *n)
{
	g_free(n->self.cluster);
	g_free(n->self.name);
	g_free(n->self.zone);
	g_free(n->self.region);
	g_free(n->upstream_instance);
	claim_clear(&n->upstream_claim);
	withdrawal_clear(&n->withdrawal);
	dir_entry_clear(&n->dir_entry);
	g_free(n);
}
