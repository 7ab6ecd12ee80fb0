/* The frames of a configuration from control: collected, and applied with the last one. */
#include "node/watch_impl.h"

#include "lib/delta.h"
#include "lib/err.h"
#include "lib/log.h"
#include "lib/set.h"
#include "node/config.h"

#include <string.h>
#include <xxhash.h>

#define CONFIG_TEXT_MAX_BYTES SET_JSON_MAX_BYTES

static struct config_change *get_change(struct frame_in *in)
{
	struct config_change *change = g_new0(struct config_change, 1);
	bool is_live;

	change->name = frame_get_str(in, CONFIG_TEXT_MAX_BYTES);
	change->version = frame_get_u64(in);
	frame_get_u64(in); /* the change's revision is not used */
	is_live = frame_get_bool(in);
	change->json = frame_get_str(in, CONFIG_TEXT_MAX_BYTES);
	if (!is_live)
		g_clear_pointer(&change->json, g_free);
	return change;
}

/* Applies the changes that were collected. */
static void apply_changes(struct watch *w, u64 revision, bool is_snapshot)
{
	config_apply(revision, is_snapshot, w->changes);
	g_ptr_array_set_size(w->changes, 0);
	caller_configure(w->node);
	watch_subscribe_configured_services(w);
	watch_send_renew(w);
}

static int on_config(struct watch *w, struct frame_in *in)
{
	u64 revision = frame_get_u64(in);
	bool is_snapshot = frame_get_bool(in);
	bool is_last = frame_get_bool(in);
	u32 n = frame_get_count(in, CTL_ITEMS_PER_FRAME);

	for (u32 i = 0; i < n && !in->err; i++)
		g_ptr_array_add(w->changes, get_change(in));
	if (frame_done(in))
		return ERR_INVAL;
	if (is_last)
		apply_changes(w, revision, is_snapshot);
	return 0;
}

static struct config_change *set_change(u64 version, char *text)
{
	struct config_change *change = g_new0(struct config_change, 1);

	change->name = g_strdup(SET_NAME);
	change->version = version;
	change->json = text;
	return change;
}

/* Applies a delta to the set in force; requests the whole set when the delta does not apply. */
static int on_set_delta(struct watch *w, struct frame_in *in)
{
	u64 revision = frame_get_u64(in);
	u64 base = frame_get_u64(in);
	u64 version = frame_get_u64(in);
	u64 checksum = frame_get_u64(in);
	g_autoptr(GArray) ops = delta_get(in);
	const char *old_text = config_set_text();
	char *text;

	if (frame_done(in))
		return ERR_INVAL;
	if (revision <= config_revision())
		return 0;
	text = old_text && base == config_revision() ? delta_apply(old_text, ops) : NULL;
	if (!text || XXH64(text, strlen(text), 0) != checksum) {
		log_event(LOG_WARN, "set delta does not apply; requesting the whole set",
			  "revision", log_u64(revision), "base", log_u64(base), "have",
			  log_u64(config_revision()), NULL);
		g_free(text);
		watch_request_config(w, 0);
		return 0;
	}
	g_ptr_array_add(w->changes, set_change(version, text));
	apply_changes(w, revision, false);
	return 0;
}

static void log_work(const struct config_work *work, u64 now_us)
{
	log_event(LOG_INFO, "configuration in force", "revision", log_u64(config_revision()),
		  "frames", log_u64(work->frames), "time_us", log_u64(now_us - work->began_us),
		  "busy_us", log_u64(work->busy_us), "longest_us", log_u64(work->longest_us), NULL);
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

int watch_config_frame(struct watch *w, u32 type, struct frame_in *in)
{
	struct config_work *work = &w->config_work;
	u64 began_us = loop_clock_us();
	u64 revision = config_revision();
	int err = type == CTL_CONFIG ? on_config(w, in) : on_set_delta(w, in);
	u64 now_us = loop_clock_us();

	count_work(work, began_us, now_us);
	if (config_revision() != revision) {
		log_work(work, now_us);
		*work = (struct config_work){ 0 };
	}
	return err;
}
