/* What the upstream beside this node says of itself in its answers. */
#include "node/home_impl.h"

#include "lib/log.h"
#include "node/slowness_monitor.h"

#define RATE_TEXT_BYTES 32

static const char *rate_text(const struct dialect_notice *d, char text[RATE_TEXT_BYTES])
{
	if (!d->has_rate_limit)
		return "none";
	g_snprintf(text, RATE_TEXT_BYTES, "%.3f", (double)d->rate_limit_milli_per_s / MILLI);
	return text;
}

static void log_change(const struct node *n, const struct dialect_notice *before,
		       const char *source)
{
	const struct home *h = n->home;
	char old_rate[RATE_TEXT_BYTES];
	char rate[RATE_TEXT_BYTES];

	log_event(LOG_INFO, "upstream notice", "service", n->dir_entry.service, "instance",
		  n->upstream_instance ? n->upstream_instance : "", "source", source, "limit_per_s",
		  rate_text(&h->notice.now, rate), "before", rate_text(before, old_rate),
		  "calls_meanwhile", log_u64(h->calls_under_limit), "leaving",
		  h->notice.now.is_leaving ? "yes" : "no", NULL);
}

/* Calls in the queue have not run, and another upstream can take them. */
static void start_leaving(struct node *n)
{
	if (n->dir_entry.state == DIR_UP)
		node_set_state(n, DIR_DRAINING);
	home_refuse_queued(n, CTR_DRAINING);
}

void home_record_notice(struct node *n, const struct upstream_call *call, u64 sent_us,
			const char *source)
{
	struct home *h = n->home;
	struct dialect_notice before = h->notice.now;
	struct dialect_notice said;

	if (sent_us < h->upstream_since_us)
		return; /* the answer is from an earlier upstream */
	h->notice_source = NOTICE_READ;
	if (n->dialect->notice(call->reply, &said)) {
		ctr_inc(CTR_NOTICE_BAD);
		log_event(LOG_WARN, "rate limit of the upstream is invalid", "source", source,
			  NULL);
		sent_us = 0; /* such an answer does not end the limit in force */
	}
	if (said.has_rate_limit)
		ctr_inc(CTR_RATE_LIMIT_NAMED);
	if (!notice_update(&h->notice, &said, sent_us, loop_clock_us(), call->may_be_copy))
		return;
	log_change(n, &before, source);
	h->calls_under_limit = 0;
	home_apply_rate(n);
	if (h->notice.now.is_leaving && !before.is_leaving)
		start_leaving(n);
	home_push_load(n);
}

static void request_notice(struct node *n)
{
	bool is_polling = slowness_monitor_ask(n->home->slowness_monitor);

	n->home->notice_source = is_polling ? NOTICE_REQUESTED : NOTICE_NOT_NEEDED;
}

void home_restored(struct node *n)
{
	n->home->notice_source = NOTICE_NONE;
}

bool home_may_start(struct node *n)
{
	struct home *h = n->home;

	if (h->notice_source == NOTICE_READ && home_may_be_cold(n))
		h->notice_source = NOTICE_NONE;
	if (h->notice_source == NOTICE_NONE && h->admit.queued)
		request_notice(n);
	if (h->notice_source == NOTICE_MISSING)
		return !h->admit.running;
	return h->notice_source != NOTICE_REQUESTED;
}

void home_poll_ended(struct node *n, u64 sent_us)
{
	struct home *h = n->home;

	/* A poll of an earlier upstream does not count. */
	if (h->notice_source == NOTICE_REQUESTED)
		h->notice_source = sent_us < h->upstream_since_us ? NOTICE_NONE : NOTICE_MISSING;
	if (h->admit.queued)
		home_run_queue(n);
}

bool home_is_upstream_leaving(const struct node *n)
{
	return n->home->notice.now.is_leaving;
}
