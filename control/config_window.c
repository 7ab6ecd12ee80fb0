#include "control/config_window.h"

#include <glib.h>

void config_window_init(struct config_window *w, u32 offset)
{
	*w = (struct config_window){ .bytes = CONFIG_WINDOW_BYTES,
				     .sent = offset,
				     .grow_at = offset + CONFIG_WINDOW_BYTES };
}

bool config_window_has_room(const struct config_window *w, u32 in_flight)
{
	return w->count < CONFIG_WINDOW_PARTS && in_flight + CONFIG_PART_BYTES <= w->bytes;
}

void config_window_sent(struct config_window *w, u32 end, u64 now_us)
{
	u32 at = (w->first + w->count++) % CONFIG_WINDOW_PARTS;

	w->parts[at] = (struct config_window_part){ .end = end, .sent_us = now_us };
	w->sent = end;
}

/* Takes out the parts before RECEIVED. Returns the last one of them, or NULL. */
static const struct config_window_part *take_parts(struct config_window *w, u32 received)
{
	const struct config_window_part *last = NULL;

	while (w->count && w->parts[w->first].end <= received) {
		last = &w->parts[w->first];
		w->first = (w->first + 1) % CONFIG_WINDOW_PARTS;
		w->count--;
	}
	return last;
}

static void resize(struct config_window *w, u64 bytes)
{
	bytes -= bytes % CONFIG_PART_BYTES;
	w->bytes = (u32)CLAMP(bytes, CONFIG_WINDOW_BYTES, CONFIG_WINDOW_MAX_BYTES);
}

/* Grows by half, or by what the rate takes in a step, but by one part at least. */
static void grow(struct config_window *w, u32 received, u64 took_us)
{
	u64 step = MIN((u64)w->bytes / 2, w->bytes * CONFIG_WINDOW_STEP_US / MAX(took_us, 1));

	resize(w, w->bytes + MAX(step, (u64)CONFIG_PART_BYTES));
	w->grow_at = received + w->bytes;
}

/* Shrinks to what the rate takes in the delay and a short queue. */
static void shrink(struct config_window *w, u64 took_us)
{
	resize(w, w->bytes * (w->least_us + CONFIG_WINDOW_GROW_US) / took_us);
	w->shrink_at = w->sent + 1;
	w->grow_at = w->sent + w->bytes;
}

void config_window_acknowledged(struct config_window *w, u32 received, u64 now_us)
{
	const struct config_window_part *part = take_parts(w, received);
	u64 took_us;
	u64 queue_us;

	if (!part)
		return;
	took_us = MAX(now_us - part->sent_us, 1);
	w->least_us = w->least_us ? MIN(w->least_us, took_us) : took_us;
	queue_us = took_us - w->least_us;
	if (received >= w->shrink_at && queue_us > CONFIG_WINDOW_QUEUE_US)
		shrink(w, took_us);
	else if (received >= w->grow_at && queue_us <= MIN(w->least_us / 2, CONFIG_WINDOW_GROW_US))
		grow(w, received, took_us);
}
