/*
 * The link to control: registration, renewals, and the watch on the configuration.
 *
 * The main link follows a control process that is fresh, that is, up to date.
 * While it is not fresh, or is in another zone, a second link tries the other
 * control processes one at a time, in the order of trial_order. When none is fresh, the node keeps
 * the nearest one that answers, so that joins and leaves still propagate within a zone that is cut
 * off.
 */
#include "node/watch_impl.h"

#include "lib/err.h"
#include "lib/log.h"
#include "node/config.h"
#include "node/config_build.h"
#include "node/quota_host.h"
#include "wire/ctl.h"
#include "wire/endpoint.h"

#include <string.h>

#define TICK_US (100 * US_PER_MS)
/* A node leaves a control process that has not been fresh for this time. */
#define NOT_FRESH_MAX_US (700 * US_PER_MS)
/*
 * A trial is abandoned when nothing has come from the control process for this time, at first from
 * the dial on.
 */
#define TRIAL_SILENCE_US (500 * US_PER_MS)
/*
 * It is abandoned in any case when the control process has not reported its freshness by then. The
 * connection, the greetings and the report each wait behind what fills the node's link, which may
 * be as long as a freshness report may wait: NOT_FRESH_MAX_US less the interval of the reports.
 */
#define TRIAL_MAX_US (3 * (NOT_FRESH_MAX_US - CTL_FRESHNESS_INTERVAL_US))
/* A freshness report that took longer to arrive is logged and counted. */
#define FRESHNESS_LATE_US (500 * US_PER_MS)
#define RETRY_INTERVAL_US (500 * US_PER_MS)
/* Interval between trials of a nearer control process while the main one is fresh. */
#define NEARER_RETRY_INTERVAL_US (15 * US_PER_S)
/* By then even a control process that has just started has reported all live nodes. */
#define REMOVAL_DELAY_US (10 * US_PER_S)
bool watch_is_up(const struct control_link *s)
{
	return s->link && s->link->is_up;
}

struct link *watch_link(const struct node *n)
{
	return n->watch && watch_is_up(&n->watch->main) ? n->watch->main.link : NULL;
}

void watch_send_renew(struct watch *w)
{
	FRAME_AUTO(f, CTL_RENEW);

	if (!watch_is_up(&w->main))
		return;
	frame_put_u64(&f, config_revision());
	link_send(w->main.link, &f);
}

void watch_register(struct node *n)
{
	struct watch *w = n->watch;
	FRAME_AUTO(f, CTL_REGISTER);

	if (!w || !watch_is_up(&w->main))
		return;
	dir_entry_put(&f, &n->dir_entry);
	withdrawal_put(&f, &n->withdrawal);
	link_send(w->main.link, &f);
	watch_send_renew(w);
}

static void close_link(struct control_link *s)
{
	if (s->link)
		link_close(s->link);
	s->link = NULL;
	s->candidate = NULL;
}

static u64 bytes_since_freshness(const struct control_link *s)
{
	return link_received_bytes(s->link) - s->freshness_at_bytes;
}

/*
 * Logs why the node leaves its control process, and how much it got since the last freshness
 * report.
 */
static void log_left(struct watch *w, const char *reason)
{
	const struct control_link *s = &w->main;
	u64 now = loop_clock_us();

	log_event(LOG_INFO, "control left", "control", s->candidate->at.host, "reason", reason,
		  "freshness_age_us",
		  log_u64(s->freshness_sent_us ? now - s->freshness_sent_us : 0),
		  "bytes_since_freshness", log_u64(bytes_since_freshness(s)), "unfinished_bytes",
		  log_u64(watch_unfinished_bytes(w)), "requested_age_us",
		  log_u64(now - w->requested_us), "revision", log_u64(config_revision()), NULL);
}

static void close_main(struct watch *w, const char *reason)
{
	if (w->main.candidate)
		log_left(w, reason);
	if (w->main.last_fresh_us)
		trial_order_restart(&w->trials);
	close_link(&w->main);
	g_hash_table_remove_all(w->reported);
	w->removal_due_us = 0;
}

static enum trial_distance link_distance(const struct watch *w, const struct link *k)
{
	const struct link_id *self = &w->node->self;

	if (strcmp(self->region, k->remote.region))
		return OTHER_REGION;
	return strcmp(self->zone, k->remote.zone) ? SAME_REGION : SAME_ZONE;
}

static bool is_main_fresh(const struct watch *w, u64 now_us)
{
	return watch_is_up(&w->main) && w->main.last_fresh_us &&
	       now_us - w->main.last_fresh_us <= NOT_FRESH_MAX_US;
}

/* Makes the trial link the main link. */
static void promote(struct watch *w, u64 now_us)
{
	struct link *k = w->trial.link;

	if (w->was_linked)
		ctr_inc(CTR_CONTROL_MOVED);
	w->was_linked = true;
	close_main(w, w->main.last_fresh_us ? "nearer" : "not fresh");
	w->main = w->trial;
	w->trial.link = NULL;
	w->trial.candidate = NULL;
	k->arg = &w->main;
	w->removal_due_us = now_us + REMOVAL_DELAY_US;
	/* A new version makes this control process accept the entry. */
	w->node->dir_entry.version++;
	watch_register(w->node);
	watch_resume_config(w, config_revision());
	watch_resend_subscriptions(w);
	log_event(LOG_INFO, "control link up", "control", k->remote.name, "fresh",
		  w->main.last_fresh_us ? "yes" : "no", NULL);
}

/*
 * Retry times are separate for the two cases, so that a candidate that was not worth leaving a
 * fresh process for is tried as soon as that process is no longer fresh.
 */
static void postpone(struct trial_candidate *candidate, bool has_fresh, u64 now_us)
{
	if (has_fresh)
		candidate->nearer_retry_at_us = now_us + NEARER_RETRY_INTERVAL_US;
	else
		candidate->retry_at_us = now_us + RETRY_INTERVAL_US;
}

/* The control process was fresh at FRESH_US; 0 if it is not. */
static void finish_trial(struct watch *w, u64 fresh_us, u64 now_us)
{
	struct trial_candidate *candidate = w->trial.candidate;
	bool has_fresh = is_main_fresh(w, now_us);
	bool is_nearer = !w->main.candidate || candidate->distance < w->main.candidate->distance;
	bool is_fresh = fresh_us && now_us - fresh_us <= NOT_FRESH_MAX_US;

	w->trial.last_fresh_us = is_fresh ? fresh_us : 0;
	if (is_fresh ? !has_fresh || is_nearer : !has_fresh && is_nearer) {
		promote(w, now_us);
		return;
	}
	postpone(candidate, has_fresh, now_us);
	close_link(&w->trial);
}

static void record_freshness(struct control_link *s, u64 sent_us, u64 now_us)
{
	if (now_us - sent_us > FRESHNESS_LATE_US) {
		ctr_inc(CTR_FRESHNESS_LATE);
		log_event(LOG_INFO, "freshness report late", "control", s->candidate->at.host,
			  "age_us", log_u64(now_us - sent_us), "bytes_before",
			  log_u64(bytes_since_freshness(s)), NULL);
		/* The offset of the clocks may come from a PING that was slow. */
		link_ping(s->link);
	}
	s->freshness_sent_us = sent_us;
	s->freshness_at_bytes = link_received_bytes(s->link);
}

static int on_fresh(struct control_link *s, struct frame_in *in)
{
	bool is_fresh = frame_get_bool(in);
	u64 revision = frame_get_u64(in);
	u64 sent = link_to_local_us(s->link, frame_get_u64(in));
	u64 now = loop_clock_us();

	if (frame_done(in))
		return ERR_INVAL;
	watch_note_revision(s->w->node, revision);
	sent = MIN(sent, now);
	record_freshness(s, sent, now);
	if (is_fresh && sent > CTL_LEASE_US)
		confirmation_add(&s->w->confirmation, revision, sent - CTL_LEASE_US);
	is_fresh = is_fresh && revision >= config_revision();
	if (s == &s->w->trial)
		finish_trial(s->w, is_fresh ? sent : 0, now);
	else if (is_fresh)
		s->last_fresh_us = MAX(s->last_fresh_us, sent);
	return 0;
}

static struct trial_candidate *add_candidate(struct watch *w, const struct endpoint *at)
{
	return trial_order_add(&w->trials, at, w->node->self.name);
}

static int on_members(struct watch *w, struct frame_in *in)
{
	u32 n = frame_get_count(in, TRIAL_CANDIDATES_MAX);
	bool discovers_control = w->node->settings->node.discovers_control;

	trial_order_unmark_members(&w->trials);
	for (u32 i = 0; i < n && !in->err; i++) {
		struct endpoint at;
		struct trial_candidate *c;

		endpoint_get(in, &at);
		c = in->err || !discovers_control ? NULL : add_candidate(w, &at);
		if (c)
			c->is_member = true;
	}
	trial_order_remove_former(&w->trials, w->main.candidate, w->trial.candidate);
	return frame_done(in);
}

static int on_withdrawal(struct watch *w, struct frame_in *in)
{
	__attribute__((cleanup(withdrawal_clear))) struct withdrawal withdrawal = { 0 };

	withdrawal_get(in, &withdrawal);
	if (frame_done(in))
		return ERR_INVAL;
	local_withdraw(w->node, &withdrawal);
	return 0;
}

static void on_reset(void *arg, u64 now_us)
{
	struct watch *w = arg;

	(void)now_us;
	node_raise_incarnation(w->node, w->known_incarnation);
}

/* The links are closed in the next turn: this frame came through one of them. */
static int on_incarnation(struct watch *w, struct frame_in *in)
{
	w->known_incarnation = frame_get_u64(in);
	if (frame_done(in))
		return ERR_INVAL;
	if (w->reset_timer.is_set)
		return 0;
	w->reset_timer = (struct loop_timer){ .fire = on_reset, .arg = w };
	loop_timer_set(w->node->loop, &w->reset_timer, loop_clock_us());
	return 0;
}

static int on_message(struct control_link *s, u32 type, struct frame_in *in)
{
	switch (type) {
	case CTL_CONFIG_PART:
		return watch_on_config_part(s, in);
	case CTL_VIEW:
		return watch_on_view(s->w, in);
	case CTL_FRESHNESS:
		return on_fresh(s, in);
	case CTL_MEMBERS:
		return on_members(s->w, in);
	case CTL_WITHDRAWAL:
		return on_withdrawal(s->w, in);
	case CTL_INCARNATION:
		return on_incarnation(s->w, in);
	case CTL_QUOTA_GRANT:
		return quota_host_receive(s->w->node, in);
	default:
		return ERR_INVAL;
	}
}

static int on_frame(struct link *k, u32 type, struct frame_in *in)
{
	return on_message(k->arg, type, in);
}

static void on_up(struct link *k)
{
	struct control_link *s = k->arg;

	s->candidate->distance = link_distance(s->w, k);
}

void watch_lose_control(struct watch *w, int err)
{
	const char *name = w->main.link->remote.name;

	w->main.candidate->retry_at_us = loop_clock_us() + RETRY_INTERVAL_US;
	log_event(LOG_WARN, "control link down", "control", name ? name : "", "error",
		  err_text(err), NULL);
	close_main(w, "link down");
}

static void on_down(struct link *k, int err)
{
	struct control_link *s = k->arg;

	if (s == &s->w->main) {
		watch_lose_control(s->w, err);
		return;
	}
	s->candidate->retry_at_us = loop_clock_us() + RETRY_INTERVAL_US;
	close_link(s);
}

static const struct link_ops ops = { .up = on_up, .frame = on_frame, .down = on_down };

static void start_trial(struct watch *w, u64 now_us)
{
	bool has_fresh = is_main_fresh(w, now_us);
	struct trial_candidate *candidate;

	if (has_fresh && w->main.candidate->distance == SAME_ZONE)
		return;
	candidate = trial_order_next(&w->trials, w->main.candidate, has_fresh, now_us);
	if (!candidate)
		return;
	postpone(candidate, has_fresh, now_us);
	log_event(LOG_DEBUG, "control trial", "control", candidate->at.host, "distance",
		  log_u64(candidate->distance), "has_fresh", has_fresh ? "yes" : "no", NULL);
	w->trial.candidate = candidate;
	w->trial.start_us = now_us;
	w->trial.last_fresh_us = 0;
	w->trial.link = link_dial(w->node->loop, &w->node->self, candidate->at.host,
				  candidate->at.port, &ops, &w->trial);
	if (!w->trial.link)
		w->trial.candidate = NULL;
}

static bool is_trial_over(const struct watch *w, u64 now_us)
{
	return now_us - w->trial.start_us > TRIAL_MAX_US ||
	       link_silence_us(w->trial.link, now_us) > TRIAL_SILENCE_US;
}

static void check_trial(struct watch *w, u64 now_us)
{
	if (w->trial.link && is_trial_over(w, now_us)) {
		w->trial.candidate->retry_at_us = now_us + RETRY_INTERVAL_US;
		close_link(&w->trial);
	}
	if (!w->trial.link)
		start_trial(w, now_us);
}

/* Counts and logs once that the main link is no longer fresh. */
static void check_main(struct watch *w, u64 now_us)
{
	if (!watch_is_up(&w->main) || !w->main.last_fresh_us || is_main_fresh(w, now_us))
		return;
	ctr_inc(CTR_CONTROL_NOT_FRESH);
	log_event(LOG_WARN, "control not fresh", "control", w->main.link->remote.name, "age_us",
		  log_u64(now_us - w->main.last_fresh_us), "revision", log_u64(config_revision()),
		  "freshness_age_us", log_u64(now_us - w->main.freshness_sent_us),
		  "bytes_since_freshness", log_u64(bytes_since_freshness(&w->main)), NULL);
	w->main.last_fresh_us = 0;
	trial_order_restart(&w->trials);
}

/*
 * Returns whether this tick comes so late that reports of control processes wait to be read. The
 * next one comes after they were, so two in succession are not skipped.
 */
static bool has_stalled(struct watch *w, u64 now_us)
{
	w->has_stalled = !w->has_stalled && w->tick_due_us && now_us > w->tick_due_us + TICK_US;
	return w->has_stalled;
}

static void on_timer(void *arg, u64 now_us)
{
	struct watch *w = arg;

	if (!has_stalled(w, now_us)) {
		check_main(w, now_us);
		check_trial(w, now_us);
	}
	if (watch_is_up(&w->main) && now_us >= w->renew_due_us) {
		watch_send_renew(w);
		w->renew_due_us = now_us + CTL_RENEW_INTERVAL_US;
	}
	if (w->removal_due_us && now_us >= w->removal_due_us && is_main_fresh(w, now_us))
		watch_remove_unreported(w);
	w->tick_due_us = now_us + TICK_US;
	loop_timer_set(w->node->loop, &w->timer, w->tick_due_us);
}

static void add_candidates(struct watch *w)
{
	const GArray *list = w->node->settings->node.control;

	for (guint i = 0; i < list->len; i++) {
		struct trial_candidate *c =
			add_candidate(w, &g_array_index(list, struct endpoint, i));

		if (c)
			c->is_seed = true;
	}
}

void watch_apply_settings(struct node *n)
{
	struct watch *w = n->watch;

	trial_order_unmark_seeds(&w->trials);
	add_candidates(w);
}

void watch_note_revision(struct node *n, u64 revision)
{
	if (n->watch)
		n->watch->newest_revision = MAX(n->watch->newest_revision, revision);
}

u64 watch_newest_revision(const struct node *n)
{
	return n->watch ? n->watch->newest_revision : 0;
}

bool watch_is_current(const struct node *n)
{
	const struct watch *w = n->watch;

	return w && is_main_fresh(w, loop_clock_us()) && config_revision() >= w->newest_revision;
}

u64 watch_confirmed_us(const struct node *n)
{
	return n->watch ? confirmation_us(&n->watch->confirmation, config_revision()) : 0;
}

void watch_reset(struct node *n)
{
	struct watch *w = n->watch;

	close_main(w, "incarnation raised");
	close_link(&w->trial);
	trial_order_reset(&w->trials);
}

int watch_start(struct node *n)
{
	struct watch *w = g_new0(struct watch, 1);

	n->watch = w;
	w->node = n;
	w->main.w = w;
	w->trial.w = w;
	watch_stream_init(w);
	w->reported = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	w->subscriptions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	trial_order_init(&w->trials);
	add_candidates(w);
	w->timer = (struct loop_timer){ .fire = on_timer, .arg = w };
	loop_timer_set(n->loop, &w->timer, loop_clock_us());
	return 0;
}

void watch_stop(struct node *n)
{
	struct watch *w = n->watch;

	loop_timer_cancel(n->loop, &w->timer);
	loop_timer_cancel(n->loop, &w->reset_timer);
	watch_stream_clear(w);
	close_link(&w->main);
	close_link(&w->trial);
	trial_order_clear(&w->trials);
	g_hash_table_unref(w->reported);
	g_hash_table_unref(w->subscriptions);
	config_build_free(w->build);
	g_clear_pointer(&n->watch, g_free);
}
