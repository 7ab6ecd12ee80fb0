#include "node/slow_period.h"

#include <glib.h>

static void end_period(struct slow_period *p, u64 now_us)
{
	p->durations_us[p->n % SLOW_PERIOD_HISTORY] = now_us - p->since_us;
	p->n++;
	p->since_us = 0;
}

void slow_period_update(struct slow_period *p, u32 slowness_percent, u64 now_us)
{
	bool is_slow = slowness_percent >= SLOW_PERIOD_MIN_PERCENT;

	if (is_slow && !p->since_us)
		p->since_us = now_us;
	else if (!is_slow && p->since_us)
		end_period(p, now_us);
}

u64 slow_period_remaining_us(const struct slow_period *p, u64 now_us)
{
	u64 elapsed_us = now_us - p->since_us;
	u64 remaining_us = 0;
	u32 longer = 0;

	if (!p->since_us)
		return 0;
	for (u32 i = 0; i < MIN(p->n, (u32)SLOW_PERIOD_HISTORY); i++) {
		if (p->durations_us[i] <= elapsed_us)
			continue;
		remaining_us += p->durations_us[i] - elapsed_us;
		longer++;
	}
	return longer ? remaining_us / longer : elapsed_us;
}
