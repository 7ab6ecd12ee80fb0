#include "node/spell.h"

#include <glib.h>

static void end(struct spell *s, u64 now_us)
{
	s->lengths_us[s->n % SPELL_LENGTHS] = now_us - s->since_us;
	s->n++;
	s->since_us = 0;
}

void spell_note(struct spell *s, u32 slowness_percent, u64 now_us)
{
	bool is_slow = slowness_percent >= SPELL_SLOW_PERCENT;

	if (is_slow && !s->since_us)
		s->since_us = now_us;
	else if (!is_slow && s->since_us)
		end(s, now_us);
}

u64 spell_left_us(const struct spell *s, u64 now_us)
{
	u64 age_us = now_us - s->since_us;
	u64 rest_us = 0;
	u32 longer = 0;

	if (!s->since_us)
		return 0;
	for (u32 i = 0; i < MIN(s->n, (u32)SPELL_LENGTHS); i++) {
		if (s->lengths_us[i] <= age_us)
			continue;
		rest_us += s->lengths_us[i] - age_us;
		longer++;
	}
	return longer ? rest_us / longer : age_us;
}
