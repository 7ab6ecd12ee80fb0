#include "node/slowness_monitor.h"

#include "lib/ctr.h"
#include "lib/err.h"
#include "lib/log.h"
#include "node/config.h"
#include "node/node.h"
#include "node/pace.h"
#include "node/upstream.h"

#include <string.h>

/* Polling stops after this time without calls. */
#define IDLE_TIMEOUT_US (1 * US_PER_S)
/* An answer that takes longer would be out of date. */
#define POLL_TIMEOUT_US (200 * US_PER_MS)
#define POLL_BODY_MAX_BYTES 4096
/* A change of slowness by at least this factor, in percent, is sent to other nodes at once. */
#define PUSH_CHANGE_MIN_PERCENT 130
/* A report older than this no longer counts; the slowness is then taken as normal. */
#define SLOWNESS_MAX_AGE_US (2 * US_PER_S)

struct slowness_monitor {
	struct node *node;
	struct upstream *upstream; /* has its own connection */
	struct upstream_call call;
	struct http_msg *request;
	bool is_polling;
	struct loop_timer timer;
	struct pace pace;
	u64 asked_us; /* when the last poll was sent */
	u64 reported_us; /* when the last report arrived */
	u64 used_us; /* when a call last arrived or was seen in progress */
	u32 slowness_percent; /* in the last report; 0 when there was none */
	u32 pushed_percent; /* the value that other nodes last received */
};

u32 slowness_monitor_percent(const struct slowness_monitor *m)
{
	if (!m->slowness_percent)
		return 0;
	if (loop_clock_us() - m->reported_us > SLOWNESS_MAX_AGE_US)
		return SLOWNESS_NORMAL_PERCENT;
	return m->slowness_percent;
}

static bool should_push(u32 a, u32 b)
{
	return (u64)MAX(a, b) * 100 >= (u64)MIN(a, b) * PUSH_CHANGE_MIN_PERCENT;
}

void slowness_monitor_record_answer(struct slowness_monitor *m, const struct http_msg *answer)
{
	struct dialect_load load;

	if (!m->node->dialect->load(answer, &load) || !load.slowness_percent)
		return;
	m->reported_us = loop_clock_us();
	m->slowness_percent = load.slowness_percent;
	if (!should_push(m->slowness_percent, m->pushed_percent))
		return;
	log_event(LOG_DEBUG, "slowness", "percent", log_u64(m->slowness_percent), "before",
		  log_u64(m->pushed_percent), "running", log_u64(load.running), "waiting",
		  log_u64(load.waiting), NULL);
	m->pushed_percent = m->slowness_percent;
	home_push_load(m->node);
}

static void record_invalid_status(const struct slowness_monitor *m)
{
	ctr_inc(CTR_STATUS_INVALID);
	if (log_should_write("health status", NULL, true))
		log_event(LOG_WARN, "answer of the health path has no valid status", "service",
			  m->node->dir_entry.service, "instance",
			  m->node->upstream_instance ? m->node->upstream_instance : "", NULL);
}

static void on_poll_done(struct upstream_call *call)
{
	struct slowness_monitor *m = call->arg;

	if (call->reply) {
		slowness_monitor_record_answer(m, call->reply);
		home_record_notice(m->node, call, m->asked_us, "health");
		home_record_cold(m->node, call->reply, m->asked_us);
	}
	if (call->err == ERR_STATUS)
		record_invalid_status(m);
	http_free(g_steal_pointer(&call->reply));
	/* Only now, as a new poll reuses CALL. */
	m->is_polling = false;
	home_poll_ended(m->node, m->asked_us);
}

/* Returns the health path that the configuration sets for the service, or NULL. */
static char *health_path(const struct node *n)
{
	const struct config_service *s;
	char *path = NULL;

	config_read_lock();
	s = config_current() ? config_find_set_service(config_current(), n->dir_entry.service) :
			       NULL;
	if (s)
		path = g_strdup(s->health_path);
	config_read_unlock();
	return path;
}

/* Returns whether there is a health path to poll. */
static bool poll_health(struct slowness_monitor *m, u64 now_us)
{
	char *path = health_path(m->node);

	if (!path)
		return false;
	http_free(m->request);
	m->request = http_new();
	m->request->method = g_strdup("GET");
	m->request->target = path;
	http_add_header(m->request, "Host", m->node->dir_entry.service);
	m->call = (struct upstream_call){ .request = m->request,
					  .is_idempotent = true,
					  .is_poll = true,
					  .deadline_us = now_us + POLL_TIMEOUT_US,
					  .max_body_bytes = POLL_BODY_MAX_BYTES,
					  .done = on_poll_done,
					  .arg = m };
	m->is_polling = true;
	m->asked_us = now_us;
	ctr_inc(CTR_GAUGE_ASKED);
	upstream_start(m->upstream, &m->node->upstream_endpoint, &m->call);
	return true;
}

bool slowness_monitor_ask(struct slowness_monitor *m)
{
	if (!m->pace.interval_min_us)
		return false;
	return m->is_polling || poll_health(m, loop_clock_us());
}

static void on_timer(void *arg, u64 now_us)
{
	struct slowness_monitor *m = arg;
	u64 due_us = MAX(m->reported_us, m->call.deadline_us - POLL_TIMEOUT_US) +
		     pace_interval_us(&m->pace);

	if (home_in_progress(m->node))
		m->used_us = now_us;
	if (now_us - m->used_us >= IDLE_TIMEOUT_US || !m->pace.interval_min_us)
		return; /* the next call restarts the timer */
	if (now_us < due_us) {
		loop_timer_set(m->node->loop, &m->timer, due_us);
		return;
	}
	if (m->node->dir_entry.state == DIR_UP && !m->is_polling)
		poll_health(m, now_us);
	loop_timer_set(m->node->loop, &m->timer, now_us + pace_interval_us(&m->pace));
}

void slowness_monitor_call_started(struct slowness_monitor *m)
{
	m->used_us = loop_clock_us();
	pace_record_call(&m->pace, m->used_us);
	if (m->pace.interval_min_us && !m->timer.is_set)
		loop_timer_set(m->node->loop, &m->timer, m->used_us + m->pace.interval_min_us);
}

void slowness_monitor_reset(struct slowness_monitor *m)
{
	upstream_close_idle(m->upstream);
	m->slowness_percent = 0;
	m->reported_us = 0;
	m->pushed_percent = SLOWNESS_NORMAL_PERCENT;
}

void slowness_monitor_apply_settings(struct slowness_monitor *m)
{
	u64 per_s = m->node->settings->node.load_asks_per_s;

	m->pace.interval_min_us = per_s ? US_PER_S / per_s : 0;
}

struct slowness_monitor *slowness_monitor_new(struct node *n)
{
	struct slowness_monitor *m = g_new0(struct slowness_monitor, 1);

	m->node = n;
	slowness_monitor_apply_settings(m);
	m->upstream = upstream_new(n->loop, n->dialect);
	m->timer = (struct loop_timer){ .fire = on_timer, .arg = m };
	m->call.deadline_us = POLL_TIMEOUT_US;
	m->pushed_percent = SLOWNESS_NORMAL_PERCENT;
	return m;
}

void slowness_monitor_free(struct slowness_monitor *m)
{
	loop_timer_cancel(m->node->loop, &m->timer);
	upstream_free(m->upstream);
	http_free(m->request);
	g_free(m);
}
