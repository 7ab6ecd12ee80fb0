#include "node/limit.h"

#include <glib.h>
#include <string.h>

#define WINDOW_MIN_US (100 * US_PER_MS)
#define WINDOW_MIN_SAMPLES 64
/* Latency over the baseline, in percent. */
#define SLOW_PERCENT 200
#define CALM_PERCENT 150
#define CUT_MIN_PERCENT 50
/* Limits below this part of the slots are not taken. */
#define LOWEST_PART 4
#define LIGHT_PART 2
/* Weight of the old baseline, in samples. */
#define LEARN_SAMPLES 128
#define STUCK_SMOOTHING 32

static u32 lowest(const struct limit *l)
{
	return MAX(l->slots / LOWEST_PART, 1u);
}

void limit_set_slots(struct limit *l, u32 slots)
{
	if (l->now >= l->slots)
		l->now = slots;
	l->slots = slots;
	l->now = slots ? CLAMP(l->now, lowest(l), slots) : 0;
}

void limit_forget(struct limit *l)
{
	memset(l->ranks, 0, sizeof(l->ranks));
	l->samples = 0;
	l->most_running = 0;
	l->sum_running = 0;
}

/* Latency of the window against the baseline, in percent; 100 while unknown. */
static u64 slowness_percent(const struct limit *l)
{
	u64 took = 0;
	u64 expected = 0;

	for (u32 i = 0; i < LIMIT_RANKS_MAX; i++) {
		const struct limit_rank *r = &l->ranks[i];

		if (!r->baseline_us)
			continue;
		took += r->sum_us;
		expected += r->count * r->baseline_us;
	}
	return expected ? took * 100 / expected : 100;
}

/*
 * A loaded window never raises the baseline, else it would creep after the load; but
 * at the lowest limit, where no more load can be taken off, slow is the new normal.
 */
static void learn(struct limit *l, u64 slowness)
{
	bool is_stuck = l->now == lowest(l) && slowness > SLOW_PERCENT;
	bool is_light = l->most_running < l->now &&
			l->sum_running * LIGHT_PART <= (u64)l->samples * l->slots;

	for (u32 i = 0; i < LIMIT_RANKS_MAX; i++) {
		struct limit_rank *r = &l->ranks[i];
		u64 mean = r->count ? r->sum_us / r->count : 0;

		if (!mean)
			continue;
		if (!r->baseline_us)
			r->baseline_us = mean;
		else if (mean < r->baseline_us || is_light)
			r->baseline_us = (r->baseline_us * LEARN_SAMPLES + r->sum_us) /
					 (LEARN_SAMPLES + r->count);
		else if (is_stuck)
			r->baseline_us += (mean - r->baseline_us) / STUCK_SMOOTHING;
	}
}

static void end_window(struct limit *l, u64 now_us)
{
	u64 slowness = slowness_percent(l);

	learn(l, slowness);
	if (slowness > SLOW_PERCENT && l->most_running >= l->now)
		l->now = MAX(
			lowest(l),
			(u32)(l->now * MAX(CUT_MIN_PERCENT, 100 * SLOW_PERCENT / slowness) / 100));
	else if (slowness <= CALM_PERCENT && l->now < l->slots)
		l->now++;
	for (u32 i = 0; i < LIMIT_RANKS_MAX; i++) {
		l->ranks[i].sum_us = 0;
		l->ranks[i].count = 0;
	}
	l->samples = 0;
	l->most_running = 0;
	l->sum_running = 0;
	l->window_start_us = now_us;
}

void limit_sample(struct limit *l, u32 rank, u64 took_us, u32 running, u64 now_us)
{
	struct limit_rank *r = &l->ranks[rank];

	took_us = MAX(took_us, 1);
	r->sum_us += took_us;
	r->count++;
	l->samples++;
	l->sum_running += running;
	l->most_running = MAX(l->most_running, running);
	if (now_us >= l->window_start_us + WINDOW_MIN_US && l->samples >= WINDOW_MIN_SAMPLES)
		end_window(l, now_us);
}
