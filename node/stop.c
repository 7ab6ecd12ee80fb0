#include "node/stop.h"

#include <glib.h>

/*
 * Callers notice within this time that a node is not ready, if they ask once a second and leave
 * after two misses. Part of the grace period at most, so that calls taken until then can end.
 */
#define SERVE_US (2500 * US_PER_MS)
#define SERVE_PERCENT 40
/* Callers can connect during this part of the grace period. */
#define READ_PERCENT 65
/* Steps at the end: an upstream's last answer returns, the last replies are written, and leave. */
#define STEP_US (250 * US_PER_MS)
#define STEP_DIVISOR 16

void stop_begin(struct stop *s, u64 now_us, u64 grace_us)
{
	u64 step_us = MIN(grace_us / STEP_DIVISOR, STEP_US);

	s->begin_us = now_us;
	s->serve_us = now_us + MIN(grace_us * SERVE_PERCENT / 100, SERVE_US);
	s->read_us = now_us + grace_us * READ_PERCENT / 100;
	s->close_us = now_us + grace_us - step_us / 2;
	s->end_us = now_us + grace_us - step_us;
	s->upstream_us = s->end_us - step_us;
}

bool stop_may_take(const struct stop *s, u64 deadline_us, u64 now_us)
{
	return !s->begin_us || now_us < s->serve_us || deadline_us <= s->upstream_us;
}

u64 stop_limit_us(const struct stop *s, u64 deadline_us)
{
	return s->begin_us ? MIN(deadline_us, s->upstream_us) : deadline_us;
}
