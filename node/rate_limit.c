#include "node/rate_limit.h"

#include <glib.h>

static u64 interval_us(u64 milli_per_s)
{
	if (!milli_per_s)
		return RATE_LIMIT_INTERVAL_MAX_US;
	return CLAMP(US_PER_S * MILLI / milli_per_s, 1, RATE_LIMIT_INTERVAL_MAX_US);
}

void rate_limit_set(struct rate_limit *r, u64 milli_per_s, u64 burst_us, u64 now_us)
{
	r->burst_us = burst_us;
	r->interval_us = interval_us(milli_per_s);
	r->due_us = CLAMP(r->due_us, now_us, now_us + burst_us + r->interval_us);
}

void rate_limit_use_burst(struct rate_limit *r, u64 now_us)
{
	if (r->interval_us)
		r->due_us = MAX(r->due_us, now_us + r->burst_us + r->interval_us);
}

void rate_limit_remove(struct rate_limit *r)
{
	*r = (struct rate_limit){ 0 };
}

u64 rate_limit_next_us(const struct rate_limit *r, u64 ahead)
{
	u64 due_us = r->due_us + ahead * r->interval_us;

	if (!r->interval_us)
		return 0;
	return due_us > r->burst_us ? due_us - r->burst_us : 0;
}

void rate_limit_take(struct rate_limit *r, u64 now_us)
{
	if (r->interval_us)
		r->due_us = MAX(r->due_us, now_us) + r->interval_us;
}
