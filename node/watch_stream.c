/* Streams of configuration from control: requests, parts and acknowledgements. */
#include "node/watch_impl.h"

#include "lib/ctr.h"
#include "lib/err.h"
#include "lib/log.h"
#include "node/config.h"

u64 watch_unfinished_bytes(const struct watch *w)
{
	struct config_request q = { 0 };

	config_receive_describe(&w->receive, &q);
	return q.received;
}

void watch_resume_config(struct watch *w, u64 have)
{
	struct config_request q = { .number = ++w->request, .revision = have };
	FRAME_AUTO(f, CTL_WATCH);

	w->is_request_due = config_receive_has_work(&w->receive);
	if (w->is_request_due)
		return;
	config_receive_describe(&w->receive, &q);
	if (q.received)
		q.revision = q.stream.from;
	config_request_put(&f, &q);
	if (!watch_is_up(&w->main))
		return;
	link_send(w->main.link, &f);
	w->requested_us = loop_clock_us();
}

void watch_request_config(struct watch *w, u64 have)
{
	config_receive_drop(&w->receive);
	watch_resume_config(w, have);
}

static void on_stream_begin(void *arg)
{
	watch_config_begin(arg);
}

static int on_stream_frame(void *arg, u32 type, struct frame_in *in)
{
	return type == CTL_CONFIG ? watch_config_frame(arg, in) : ERR_INVAL;
}

static const struct config_receive_ops receive_ops = { .begin = on_stream_begin,
						       .frame = on_stream_frame };

static void send_ack(struct watch *w)
{
	FRAME_AUTO(f, CTL_CONFIG_ACK);

	if (!watch_is_up(&w->main) || w->receive.request != w->request)
		return;
	frame_put_u64(&f, w->request);
	frame_put_u64(&f, w->receive.received);
	link_send(w->main.link, &f);
}

static const char *control_name(const struct watch *w)
{
	return w->main.link ? w->main.link->remote.name : "";
}

static void log_received(const struct watch *w)
{
	const struct config_receive *r = &w->receive;

	log_event(LOG_INFO, "configuration received", "control", control_name(w), "from",
		  log_u64(r->stream.from), "to", log_u64(r->stream.to), "bytes", log_u64(r->total),
		  "requested_age_us", log_u64(loop_clock_us() - w->requested_us), "revision",
		  log_u64(config_revision()), NULL);
}

/* The stream is complete. If it is not in force, the whole configuration is requested. */
static void finish_stream(struct watch *w)
{
	u64 revision = w->receive.stream.to;

	log_received(w);
	if (config_revision() >= revision)
		return;
	log_event(LOG_WARN, "a configuration is not in force; requesting the whole one", "revision",
		  log_u64(revision), "have", log_u64(config_revision()), NULL);
	watch_request_config(w, 0);
}

/* The stream that begins with P takes the place of one that is not complete. */
static void log_superseded(struct watch *w, const struct config_part *p)
{
	if (p->offset || !watch_unfinished_bytes(w))
		return;
	ctr_inc(CTR_CONFIG_UNFINISHED);
	log_event(LOG_INFO, "unfinished configuration dropped", "to", log_u64(w->receive.stream.to),
		  "bytes", log_u64(w->receive.received), "of", log_u64(w->receive.total), "next",
		  log_u64(p->stream.to), NULL);
}

static int check_part(struct watch *w, int err)
{
	if (err)
		log_event(LOG_WARN, "part of a configuration refused", "control", control_name(w),
			  "error", err_text(err), NULL);
	return err;
}

/* Acknowledges what was handled since BEFORE. */
static void note_handled(struct watch *w, u64 before)
{
	if (!w->receive.is_usable || w->receive.received == before)
		return;
	send_ack(w);
	if (config_receive_is_complete(&w->receive))
		finish_stream(w);
}

/* Works on the parts that wait, for one turn of the loop. */
static int do_turn(struct watch *w)
{
	u64 before = w->receive.received;
	int err = config_receive_work(&w->receive);

	if (!err)
		note_handled(w, before);
	if (config_receive_has_work(&w->receive))
		loop_timer_set(w->node->loop, &w->work_timer, loop_clock_us());
	else if (w->is_request_due)
		watch_resume_config(w, config_revision());
	return check_part(w, err);
}

static void on_work_timer(void *arg, u64 now_us)
{
	struct watch *w = arg;
	bool is_of_link = w->receive.request == w->request;
	int err = do_turn(w);

	(void)now_us;
	if (err && is_of_link && w->main.link)
		watch_lose_control(w, err);
}

int watch_on_config_part(struct control_link *s, struct frame_in *in)
{
	struct watch *w = s->w;
	struct config_part p;
	int err = config_part_get(in, &p);

	/* Parts for an earlier request may still be on their way. */
	if (!err && (s != &w->main || p.request != w->request))
		return 0;
	if (!err) {
		ctr_add(CTR_CONFIG_BYTES, p.len);
		log_superseded(w, &p);
		err = config_receive_part(&w->receive, &p);
	}
	if (err)
		return check_part(w, err);
	return w->work_timer.is_set ? 0 : do_turn(w);
}

void watch_stream_init(struct watch *w)
{
	config_receive_init(&w->receive, &receive_ops, w);
	w->work_timer = (struct loop_timer){ .fire = on_work_timer, .arg = w };
}

void watch_stream_clear(struct watch *w)
{
	loop_timer_cancel(w->node->loop, &w->work_timer);
	config_receive_clear(&w->receive);
}
