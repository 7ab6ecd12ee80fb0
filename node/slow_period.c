#include "node/slow_period.h"

#include <glib.h>

static void end(struct slow_period *s, u64 now_us)
{
	s->lengths_us[s->n % SLOW_PERIOD_HISTORY] = now_us - s->since_us;
	s->n++;
	s->since_us = 0;
}

void slow_period_update(struct slow_period *s, u32 slowness_percent, u64 now_us)
{
	bool is_slow = slowness_percent >= SLOW_PERIOD_MIN_PERCENT;

	if (is_slow && !s->since_us)
		s->since_us = now_us;
	else if (!is_slow && s->since_us)
		end(s, now_us);
}

u64 slow_period_remaining_us(const struct slow_period *s, u64 now_us)
{
	u64 age_us = now_us - s->since_us;
	u64 rest_us = 0;
	u32 longer = 0;

	if (!s->since_us)
		return 0;
	for (u32 i = 0; i < MIN(s->n, (u32)SLOW_PERIOD_HISTORY); i++) {
		if (s->lengths_us[i] <= age_us)
			continue;
		rest_us += s->lengths_us[i] - age_us;
		longer++;
	}
	return longer ? rest_us / longer : age_us;
}
