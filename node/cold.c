#include "node/cold.h"

#include <glib.h>

/* Calls that may start at once, if the tolerance has room for them. */
#define BURST_CALLS 4
/* Calls that start in one second and arrive in the next one. */
#define DELAYED_CALLS 3

u64 cold_start_rate(u64 declared, const struct cold_tolerance *t, u64 *burst_us)
{
	u64 spare = t->slack > DELAYED_CALLS ? t->slack - DELAYED_CALLS : 0;
	u64 burst = MIN(spare, (u64)BURST_CALLS);
	u64 rate = declared * t->overage_percent / 100 + (spare - burst) * MILLI;

	rate = CLAMP(rate, declared, MAX(declared * t->overage_percent / 100, declared));
	*burst_us = rate ? MAX(burst, 1) * MILLI * US_PER_S / rate : 0;
	return rate;
}

void cold_reset(struct cold *c)
{
	*c = (struct cold){ 0 };
}

void cold_announced(struct cold *c, u64 remaining_us, u64 now_us)
{
	if (remaining_us)
		c->until_us = MAX(c->until_us, now_us + remaining_us);
}

void cold_heard(struct cold *c, u64 remaining_us, u64 sent_us, u64 now_us)
{
	cold_announced(c, remaining_us, now_us);
	c->heard_us = MAX(c->heard_us, sent_us);
}

bool cold_is_known(const struct cold *c, u64 now_us)
{
	return c->heard_us && now_us < c->heard_us + COLD_HEARD_MAX_AGE_US;
}
