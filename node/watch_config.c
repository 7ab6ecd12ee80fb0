/* The frames of a configuration from control: each one is applied to the next configuration. */
#include "node/watch_impl.h"

#include "lib/ctr.h"
#include "lib/err.h"
#include "lib/log.h"
#include "lib/set_frame.h"
#include "node/config.h"
#include "node/config_build.h"

#include <string.h>

#define CONFIG_TEXT_MAX_BYTES SET_JSON_MAX_BYTES

/* Requests the whole configuration. Returns an error if it is the whole that does not fit. */
static int request_whole(struct watch *w, u64 revision, u64 base)
{
	g_clear_pointer(&w->build, config_build_free);
	log_event(base ? LOG_WARN : LOG_ERROR,
		  base ? "the difference does not fit; requesting the whole configuration" :
			 "the whole configuration is inconsistent; keeping the previous one",
		  "revision", log_u64(revision), "base", log_u64(base), "have",
		  log_u64(config_revision()), NULL);
	if (!base)
		return ERR_INVAL;
	watch_request_config(w, 0);
	return 0;
}

void watch_config_begin(struct watch *w)
{
	g_clear_pointer(&w->build, config_build_free);
}

static int on_begin(struct watch *w, struct frame_in *in)
{
	u64 revision = frame_get_u64(in);
	u64 base = frame_get_u64(in);

	if (in->err)
		return ERR_INVAL;
	g_clear_pointer(&w->build, config_build_free);
	w->config_work = (struct config_work){ 0 };
	if (revision <= config_revision()) {
		ctr_inc(CTR_CONFIG_STALE);
		return 0;
	}
	w->build = config_build_new(revision, base);
	return w->build ? 0 : request_whole(w, revision, base);
}

static int on_declare(struct config_build *b, struct frame_in *in)
{
	g_autofree char *name = frame_get_str(in, CONFIG_TEXT_MAX_BYTES);
	u64 version = frame_get_u64(in);
	g_autofree char *json = frame_get_str(in, CONFIG_TEXT_MAX_BYTES);

	if (in->err || !b || !config_build_declare(b, version, json))
		return 0;
	log_event(LOG_ERROR, "service in the configuration is invalid", "service", name, NULL);
	config_build_undeclare(b, name);
	return 0;
}

static int on_undeclare(struct config_build *b, struct frame_in *in)
{
	g_autofree char *name = frame_get_str(in, CONFIG_TEXT_MAX_BYTES);

	if (b && !in->err)
		config_build_undeclare(b, name);
	return 0;
}

static int on_set(struct config_build *b, struct frame_in *in)
{
	u64 version = frame_get_u64(in);
	struct set_limits limits = { 0 };
	bool has_organisations;

	limits.head_bytes = (u32)frame_get_u64(in);
	limits.body_bytes = frame_get_u64(in);
	limits.head_timeout_ms = frame_get_u64(in);
	limits.idle_timeout_ms = frame_get_u64(in);
	has_organisations = frame_get_bool(in);
	if (b && !in->err)
		config_build_set(b, version, &limits, has_organisations);
	return 0;
}

static int on_organisation(struct config_build *b, struct frame_in *in)
{
	struct set_organisation *o = set_organisation_get(in);
	int err = o && b ? config_build_organisation(b, o) : 0;

	if (o)
		set_organisation_free(o);
	return err;
}

static int on_service(struct config_build *b, struct frame_in *in)
{
	struct set_service *s = set_service_get(in);
	int err = s && b ? config_build_service(b, s) : 0;

	if (s)
		set_service_free(s);
	return err;
}

/* Reads a route into *PREVIOUS, in place of the one before it. */
static int on_route(struct config_build *b, struct frame_in *in, struct set_route **previous)
{
	struct set_route *r = set_route_get(in, *previous);

	if (*previous)
		set_route_free(*previous);
	*previous = r;
	return r && b ? config_build_route(b, r) : 0;
}

static int on_drop(struct config_build *b, struct frame_in *in,
		   int (*drop)(struct config_build *b, u64 hash))
{
	u64 hash = frame_get_u64(in);

	return b && !in->err ? drop(b, hash) : 0;
}

/* Neither the name of a declared service nor a zone is long; the frame bounds it in any case. */
static int on_zone(struct config_build *b, struct frame_in *in,
		   void (*step)(struct config_build *b, const char *zone))
{
	g_autofree char *zone = frame_get_str(in, CONFIG_TEXT_MAX_BYTES);

	if (b && !in->err)
		step(b, zone);
	return 0;
}

static void log_work(const struct config_work *work, u64 now_us)
{
	log_event(LOG_INFO, "configuration in force", "revision", log_u64(config_revision()),
		  "frames", log_u64(work->frames), "time_us", log_u64(now_us - work->began_us),
		  "busy_us", log_u64(work->busy_us), "longest_us", log_u64(work->longest_us), NULL);
}

static int on_end(struct watch *w, struct frame_in *in)
{
	struct config_sums sums;

	sums.checksum = frame_get_u64(in);
	sums.routes = frame_get_u64(in);
	sums.services = frame_get_u64(in);
	sums.organisations = frame_get_u64(in);
	if (!w->build || in->err)
		return 0;
	if (!config_build_matches(w->build, &sums))
		return ERR_CONFLICT;
	config_build_publish(g_steal_pointer(&w->build));
	caller_configure(w->node);
	node_apply_evacuations(w->node);
	watch_subscribe_configured_services(w);
	watch_send_renew(w);
	return 0;
}

static int on_step(struct watch *w, struct frame_in *in, struct set_route **previous)
{
	switch (frame_get_u64(in)) {
	case CTL_CONFIG_BEGIN:
		return on_begin(w, in);
	case CTL_CONFIG_DECLARE:
		return on_declare(w->build, in);
	case CTL_CONFIG_UNDECLARE:
		return on_undeclare(w->build, in);
	case CTL_CONFIG_SET:
		return on_set(w->build, in);
	case CTL_CONFIG_SERVICE:
		return on_service(w->build, in);
	case CTL_CONFIG_DROP_SERVICE:
		return on_drop(w->build, in, config_build_drop_service);
	case CTL_CONFIG_ROUTE:
		return on_route(w->build, in, previous);
	case CTL_CONFIG_DROP_ROUTE:
		return on_drop(w->build, in, config_build_drop_route);
	case CTL_CONFIG_ORGANISATION:
		return on_organisation(w->build, in);
	case CTL_CONFIG_DROP_ORGANISATION:
		return on_drop(w->build, in, config_build_drop_organisation);
	case CTL_CONFIG_EVACUATE:
		return on_zone(w->build, in, config_build_evacuate);
	case CTL_CONFIG_RESTORE:
		return on_zone(w->build, in, config_build_restore);
	case CTL_CONFIG_END:
		return on_end(w, in);
	default:
		return ERR_INVAL;
	}
}

/* Returns 0, ERR_INVAL for a malformed frame or ERR_CONFLICT for a step that does not fit. */
static int on_steps(struct watch *w, struct frame_in *in)
{
	struct set_route *previous = NULL;
	int err = 0;

	while (!err && frame_has_more(in))
		err = on_step(w, in, &previous);
	if (previous)
		set_route_free(previous);
	return in->err ? ERR_INVAL : err;
}

static void count_work(struct config_work *work, u64 began_us, u64 now_us)
{
	u64 took_us = now_us - began_us;

	if (!work->began_us)
		work->began_us = began_us;
	work->frames++;
	work->busy_us += took_us;
	work->longest_us = MAX(work->longest_us, took_us);
}

/* Ends a frame: with a step that does not fit, the whole configuration is requested. */
static int finish_frame(struct watch *w, int err)
{
	if (!w->build)
		return err;
	if (err == ERR_CONFLICT)
		return request_whole(w, config_build_revision(w->build),
				     config_build_base(w->build));
	if (err)
		g_clear_pointer(&w->build, config_build_free);
	else
		config_build_settle(w->build);
	return err;
}

int watch_config_frame(struct watch *w, struct frame_in *in)
{
	struct config_work *work = &w->config_work;
	u64 began_us = loop_clock_us();
	u64 revision = config_revision();
	int err = finish_frame(w, on_steps(w, in));
	u64 now_us = loop_clock_us();

	ctr_add(CTR_CONFIG_DECODED_BYTES, in->len);
	count_work(work, began_us, now_us);
	if (config_revision() != revision) {
		log_work(work, now_us);
		*work = (struct config_work){ 0 };
	}
	return err;
}
