/*
 * Orders: requests that change something and name no version that they build on.
 *
 * An order may reach the group long after it was sent: its process or the leader stood still, a
 * disk or a link was slow. Its client may have left by then, and a later order may have been
 * acknowledged. So each proposal names what this process had applied when the client was last known
 * to wait, and the group does not carry it out if its subject was changed since. An order of which
 * that is said is proposed again only if its client still waits.
 */
#include "control/api.h"

#include "lib/ctr.h"
#include "lib/log.h"

#define SAMPLE_INTERVAL_US (500 * US_PER_MS)
/* A sample that is late by more shows that this process stood still. */
#define SAMPLE_LATE_US (200 * US_PER_MS)
/*
 * For so long after the end of its request, a client that has closed its side is taken to wait for
 * the response. Others leave after a second.
 */
#define HALF_CLOSED_WAIT_US (500 * US_PER_MS)

/* Samples */

static void take_sample(struct api *a, u64 now_us)
{
	struct api_sample *s = &a->samples[a->samples_taken++ % API_SAMPLES];

	s->applied = control_applied(a->control);
	s->at_us = now_us;
}

/* The loop reads what has arrived before it fires timers that are late. */
static void on_sample_timer(void *arg, u64 now_us)
{
	struct api *a = arg;

	take_sample(a, now_us);
	loop_timer_set(a->loop, &a->sample_timer, loop_clock_us() + SAMPLE_INTERVAL_US);
}

void api_orders_start(struct api *a)
{
	a->sample_timer = (struct loop_timer){ .fire = on_sample_timer, .arg = a };
	on_sample_timer(a, loop_clock_us());
}

void api_orders_stop(struct api *a)
{
	loop_timer_cancel(a->loop, &a->sample_timer);
}

/* Returns the sample taken AGO before the newest one, or NULL if there is none. */
static const struct api_sample *find_sample(const struct api *a, u32 ago)
{
	if (ago >= MIN(a->samples_taken, API_SAMPLES))
		return NULL;
	return &a->samples[(a->samples_taken - 1 - ago) % API_SAMPLES];
}

/*
 * Returns what this process had applied before the bytes of a request can have arrived that was
 * read at READ_US. They may have waited since the sample before, if this process stood still.
 */
static struct control_applied applied_before(const struct api *a, u64 read_us)
{
	const struct api_sample *s;

	for (u32 ago = 0; (s = find_sample(a, ago)); ago++)
		if (s->at_us + SAMPLE_INTERVAL_US <= read_us)
			return s->applied;
	return (struct control_applied){ 0 };
}

/* Returns whether this process has run without a pause from one sample before AT_US until now. */
static bool has_run_since(const struct api *a, u64 at_us)
{
	const u64 most_us = SAMPLE_INTERVAL_US + SAMPLE_LATE_US;
	u64 next_us = loop_clock_us();
	const struct api_sample *s;

	for (u32 ago = 0; (s = find_sample(a, ago)); ago++) {
		if (next_us - s->at_us > most_us)
			return false;
		if (s->at_us + SAMPLE_INTERVAL_US <= at_us)
			return true;
		next_us = s->at_us;
	}
	return false;
}

/* Clients */

static bool is_waiting(const struct api_call *call, enum httpd_caller client)
{
	u64 read_us = call->request->began_us;

	if (client != HTTPD_CALLER_HALF_CLOSED)
		return client == HTTPD_CALLER_OPEN;
	return loop_clock_us() - read_us < HALF_CLOSED_WAIT_US && has_run_since(call->api, read_us);
}

static void log_superseded(const struct api_call *call, enum httpd_caller client, bool is_again)
{
	static const char *const clients[] = { "open", "half-closed", "gone" };
	const struct http_msg *m = call->request->msg;

	log_event(LOG_INFO, "order superseded", "method", m->method, "path", m->target, "client",
		  clients[client], "read_us_ago",
		  log_u64(loop_clock_us() - call->request->began_us), "proposals",
		  log_u64(call->order.proposals), "serial", log_u64(call->op->result.serial),
		  "outcome", is_again ? "proposed again" : "refused", NULL);
}

/* Proposals */

static void propose(struct api_call *call, const struct control_applied *seen)
{
	struct api_order *o = &call->order;

	o->proposals++;
	api_run_op(call, o->propose(call, seen), o->render, o->next);
}

void api_order_superseded(struct api_call *call)
{
	/* Before the look at the client: what is applied later, it may not have waited for. */
	struct control_applied seen = control_applied(call->api->control);
	enum httpd_caller client = httpd_caller(call->request);
	bool is_late = loop_clock_us() - call->request->began_us > OP_TIMEOUT_US;
	bool is_again = is_waiting(call, client) && !is_late;

	log_superseded(call, client, is_again);
	if (is_again) {
		propose(call, &seen);
		return;
	}
	ctr_inc(CTR_ORDER_SUPERSEDED);
	api_answer_error(call, 503, "not-run", ctr_name(CTR_ORDER_SUPERSEDED),
			 "a later order came first; nothing was changed");
}

static void begin_order(struct api_call *call)
{
	struct control_applied seen = applied_before(call->api, call->request->began_us);

	propose(call, &seen);
}

static struct op *propose_change(struct api_call *call, const struct control_applied *seen)
{
	struct op *op = op_new(OP_CHANGE);

	op->command = store_command_seen(call->order.command, seen->serial);
	return op;
}

static struct op *propose_member_change(struct api_call *call, const struct control_applied *seen)
{
	struct op *op = op_new(call->order.kind);

	op->member = call->order.member;
	op->seen_members_index = seen->members_index;
	return op;
}

void api_run_change(struct api_call *call, const struct store_change *change, api_render_fn *render,
		    api_next_fn *next)
{
	struct op *op;

	if (change->has_if_match) {
		op = op_new(OP_CHANGE);
		op->command = store_change_pack(change);
		call->order.proposals = 1;
		api_run_op(call, op, render, next);
		return;
	}
	call->order = (struct api_order){
		.propose = propose_change,
		.render = render,
		.next = next,
		.command = store_change_pack(change),
	};
	begin_order(call);
}

void api_run_member_change(struct api_call *call, enum op_kind kind, u32 id, api_next_fn *next)
{
	call->order = (struct api_order){
		.propose = propose_member_change,
		.next = next,
		.kind = kind,
		.member = id,
	};
	begin_order(call);
}
