#include "node/gauge.h"

#include "lib/ctr.h"
#include "lib/log.h"
#include "node/config.h"
#include "node/node.h"
#include "node/pace.h"
#include "node/upstream.h"

#include <string.h>

/* An upstream is not asked when it had no call for this time. */
#define USED_US (1 * US_PER_S)
/* An answer that takes longer says nothing any more. */
#define ASK_TIMEOUT_US (200 * US_PER_MS)
#define ASK_BODY_MAX_BYTES 4096
/* A change of the slowness by this factor, in percent, is told to the others at once. */
#define TELL_PERCENT 130
/* A slowness that was told longer ago counts as usual. */
#define TOLD_AGE_US (2 * US_PER_S)

struct gauge {
	struct node *node;
	struct upstream *upstream; /* a connection of its own */
	struct upstream_call call;
	struct http_msg *request;
	bool is_asking;
	struct loop_timer timer;
	struct pace pace;
	u64 told_us;
	u64 used_us; /* the last call, or the last time that one was in progress */
	u32 slowness_percent;
	u32 pushed_percent; /* as the other nodes know it */
};

u32 gauge_slowness_percent(const struct gauge *g)
{
	if (!g->slowness_percent)
		return 0;
	if (loop_clock_us() - g->told_us > TOLD_AGE_US)
		return GAUGE_USUAL_PERCENT;
	return g->slowness_percent;
}

static bool matters(u32 a, u32 b)
{
	return (u64)MAX(a, b) * 100 >= (u64)MIN(a, b) * TELL_PERCENT;
}

void gauge_answer(struct gauge *g, const struct http_msg *answer)
{
	struct dialect_load load;

	if (!g->node->dialect->load(answer, &load) || !load.slowness_percent)
		return;
	g->told_us = loop_clock_us();
	g->slowness_percent = load.slowness_percent;
	if (!matters(g->slowness_percent, g->pushed_percent))
		return;
	log_event(LOG_DEBUG, "slowness", "percent", log_u64(g->slowness_percent), "before",
		  log_u64(g->pushed_percent), "running", log_u64(load.running), "waiting",
		  log_u64(load.waiting), NULL);
	g->pushed_percent = g->slowness_percent;
	home_push_load(g->node);
}

static void on_asked(struct upstream_call *call)
{
	struct gauge *g = call->arg;

	g->is_asking = false;
	if (call->reply)
		gauge_answer(g, call->reply);
	http_free(g_steal_pointer(&call->reply));
}

/* The path that the configuration names for the service, or NULL. */
static char *health_path(const struct node *n)
{
	const struct config *c;
	char *path = NULL;

	config_read_lock();
	c = config_current();
	for (guint i = 0; c && c->set && i < c->set->set->services->len; i++) {
		const struct set_service *s = g_ptr_array_index(c->set->set->services, i);

		if (!strcmp(s->name, n->own.service))
			path = g_strdup(s->health_path);
	}
	config_read_unlock();
	return path;
}

static void ask(struct gauge *g, u64 now_us)
{
	char *path = health_path(g->node);

	if (!path)
		return;
	http_free(g->request);
	g->request = http_new();
	g->request->method = g_strdup("GET");
	g->request->target = path;
	http_add_header(g->request, "Host", g->node->own.service);
	g->call = (struct upstream_call){ .request = g->request,
					  .is_idempotent = true,
					  .deadline_us = now_us + ASK_TIMEOUT_US,
					  .max_body_bytes = ASK_BODY_MAX_BYTES,
					  .done = on_asked,
					  .arg = g };
	g->is_asking = true;
	ctr_inc(CTR_GAUGE_ASKED);
	upstream_start(g->upstream, &g->node->upstream_endpoint, &g->call);
}

static void on_timer(void *arg, u64 now_us)
{
	struct gauge *g = arg;
	u64 due_us =
		MAX(g->told_us, g->call.deadline_us - ASK_TIMEOUT_US) + pace_interval_us(&g->pace);

	if (home_in_progress(g->node))
		g->used_us = now_us;
	if (now_us - g->used_us >= USED_US || !g->pace.interval_min_us)
		return; /* set again by the next call */
	if (now_us < due_us) {
		loop_timer_set(g->node->loop, &g->timer, due_us);
		return;
	}
	if (g->node->own.state == DIR_UP && !g->is_asking)
		ask(g, now_us);
	loop_timer_set(g->node->loop, &g->timer, now_us + pace_interval_us(&g->pace));
}

void gauge_used(struct gauge *g)
{
	g->used_us = loop_clock_us();
	pace_call(&g->pace, g->used_us);
	if (g->pace.interval_min_us && !g->timer.is_set)
		loop_timer_set(g->node->loop, &g->timer, g->used_us + g->pace.interval_min_us);
}

void gauge_reset(struct gauge *g)
{
	upstream_close_idle(g->upstream);
	g->slowness_percent = 0;
	g->told_us = 0;
	g->pushed_percent = GAUGE_USUAL_PERCENT;
}

void gauge_settings(struct gauge *g)
{
	u64 per_s = g->node->settings->node.load_asks_per_s;

	g->pace.interval_min_us = per_s ? US_PER_S / per_s : 0;
}

struct gauge *gauge_new(struct node *n)
{
	struct gauge *g = g_new0(struct gauge, 1);

	g->node = n;
	gauge_settings(g);
	g->upstream = upstream_new(n->loop, n->dialect);
	g->timer = (struct loop_timer){ .fire = on_timer, .arg = g };
	g->call.deadline_us = ASK_TIMEOUT_US;
	g->pushed_percent = GAUGE_USUAL_PERCENT;
	return g;
}

void gauge_free(struct gauge *g)
{
	loop_timer_cancel(g->node->loop, &g->timer);
	upstream_free(g->upstream);
	http_free(g->request);
	g_free(g);
}
