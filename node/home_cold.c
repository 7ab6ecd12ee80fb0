/* Upstreams that are cold: the rate at which they take calls, and how this node learns of it. */
#include "node/home_impl.h"

#include "lib/log.h"
#include "node/config.h"

/*
 * Looks up what the configuration in force says of cold upstreams of the service, once for each.
 * Returns whether it has.
 */
static bool read_declaration(struct node *n)
{
	struct home *h = n->home;
	struct cold_tolerance tolerance = {
		.overage_percent = n->settings->node.cold_overage_percent,
		.slack = n->settings->node.cold_slack,
	};
	const struct config_service *s;

	if (h->cold_revision && h->cold_revision == config_revision())
		return false;
	config_read_lock();
	s = config_current() ? config_find_set_service(config_current(), n->dir_entry.service) :
			       NULL;
	h->cold_milli_per_s =
		cold_start_rate(s ? s->cold_milli_per_s : 0, &tolerance, &h->cold_burst_us);
	h->cold_period_us = s ? s->cold_period_ms * US_PER_MS : 0;
	config_read_unlock();
	h->cold_revision = config_revision();
	/* The announcement may have come before the configuration. */
	if (h->cold_unstated_us)
		cold_announced(&h->cold, h->cold_period_us, h->cold_unstated_us);
	return true;
}

static u64 remaining_ms(u64 until_us, u64 now_us)
{
	return until_us > now_us ? (until_us - now_us) / US_PER_MS : 0;
}

static void set_cold(struct node *n, bool is_cold, u64 now_us)
{
	struct home *h = n->home;

	if (h->is_cold == is_cold)
		return;
	h->is_cold = is_cold;
	log_event(LOG_INFO, is_cold ? "upstream is cold" : "upstream is warm", "service",
		  n->dir_entry.service, "instance",
		  n->upstream_instance ? n->upstream_instance : "", "calls_per_s",
		  log_u64(h->cold_milli_per_s / MILLI), "remaining_ms",
		  log_u64(remaining_ms(h->cold.until_us, now_us)), NULL);
}

static void schedule_end(struct node *n, u64 until_us, u64 now_us)
{
	struct home *h = n->home;

	if (h->is_cold && until_us > now_us)
		loop_timer_set(n->loop, &h->cold_timer, until_us);
	else
		loop_timer_cancel(n->loop, &h->cold_timer);
}

void home_apply_rate(struct node *n)
{
	struct home *h = n->home;
	const struct dialect_notice *notice = &h->notice.now;
	u64 now = loop_clock_us();
	bool was_cold = h->is_cold;
	u64 rate = notice->rate_limit_milli_per_s;
	u64 burst_us = RATE_LIMIT_BURST_US;
	u64 until_us;

	read_declaration(n);
	until_us = h->cold.until_us;
	set_cold(n, h->cold_milli_per_s && until_us > now, now);
	if (h->is_cold && (!notice->has_rate_limit || h->cold_milli_per_s < rate)) {
		rate = h->cold_milli_per_s;
		burst_us = h->cold_burst_us;
	}
	if (h->is_cold || notice->has_rate_limit)
		admit_set_rate_limit(&h->admit, rate, burst_us, now);
	else
		admit_remove_rate_limit(&h->admit, now);
	/* Calls that started just before it became cold count too. */
	if (h->is_cold && !was_cold)
		admit_use_rate_burst(&h->admit, now);
	schedule_end(n, until_us, now);
}

static void apply_change(struct node *n, u64 until_before_us)
{
	bool was_cold = n->home->is_cold;

	if (n->home->cold.until_us == until_before_us)
		return;
	home_apply_rate(n);
	if (n->home->is_cold != was_cold)
		home_push_load(n);
}

static void on_cold_timer(void *arg, u64 now_us)
{
	struct node *n = arg;

	(void)now_us;
	home_apply_rate(n);
	home_push_load(n);
	home_run_queue(n);
}

void home_cold_init(struct node *n)
{
	n->home->cold_timer = (struct loop_timer){ .fire = on_cold_timer, .arg = n };
	n->home->is_new = true;
}

void home_upstream_announced(struct node *n, bool has_cold, u64 cold_ms)
{
	struct home *h = n->home;
	u64 before = h->cold.until_us;
	u64 now = loop_clock_us();

	read_declaration(n);
	if (has_cold)
		h->cold_unstated_us = 0;
	else if (h->is_new)
		h->cold_unstated_us = now;
	h->is_new = false;
	cold_announced(&h->cold, has_cold ? cold_ms * US_PER_MS : 0, now);
	if (h->cold_unstated_us)
		cold_announced(&h->cold, h->cold_period_us, h->cold_unstated_us);
	apply_change(n, before);
}

void home_record_cold(struct node *n, const struct http_msg *answer, u64 sent_us)
{
	struct home *h = n->home;
	u64 before = h->cold.until_us;
	u64 now = loop_clock_us();
	u64 ms;

	if (sent_us < h->upstream_since_us)
		return; /* the answer is from an earlier upstream */
	/* What was heard before stays in force. */
	if (n->dialect->cold(answer, &ms))
		ctr_inc(CTR_NOTICE_BAD);
	cold_heard(&h->cold, ms * US_PER_MS, sent_us, now);
	apply_change(n, before);
}

bool home_may_be_cold(struct node *n)
{
	if (read_declaration(n))
		home_apply_rate(n);
	return n->home->cold_milli_per_s && !cold_is_known(&n->home->cold, loop_clock_us());
}
