#include "node/limit.h"

#include <glib.h>
#include <string.h>

#define WINDOW_MIN_US (500 * US_PER_MS)
/* Slots in use, on average, when more would be used if there were. */
#define FULL_PERCENT 90
#define WINDOW_MIN_SAMPLES 128
/* Latency over the baseline, in percent. */
#define SLOW_PERCENT 200
#define CUT_PERCENT 70
#define HOLD_FIRST_US (2 * US_PER_S)
#define HOLD_MAX_US (60 * US_PER_S)
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

void limit_reset(struct limit *l)
{
	memset(l->ranks, 0, sizeof(l->ranks));
	l->samples = 0;
	l->most_running = 0;
	l->sum_running = 0;
}

u64 limit_baseline_us(const struct limit *l)
{
	u64 sum = 0;
	u32 n = 0;

	for (u32 i = 0; i < LIMIT_RANKS_MAX; i++) {
		sum += l->ranks[i].baseline_us;
		n += l->ranks[i].baseline_us > 0;
	}
	return n ? sum / n : 0;
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

/* Work done a second: calls, weighted by what they take without load. */
static double work_rate(const struct limit *l, u64 span_us)
{
	double work = 0;

	for (u32 i = 0; i < LIMIT_RANKS_MAX; i++)
		work += (double)l->ranks[i].count * (double)l->ranks[i].baseline_us;
	return span_us ? work / (double)span_us : 0;
}

static bool is_full(const struct limit *l)
{
	return l->sum_running * 100 >= (u64)l->samples * l->now * FULL_PERCENT;
}

static void take_back(struct limit *l, u64 now_us)
{
	l->now = MIN(l->before_cut, l->slots);
	l->hold_us = CLAMP(l->hold_us * 2, HOLD_FIRST_US, HOLD_MAX_US);
	l->hold_until_us = now_us + l->hold_us;
}

/* True when the window showed that the last cut was wrong; it is taken back. */
static bool judge_cut(struct limit *l, double rate, u64 now_us)
{
	bool is_wrong = l->before_cut && is_full(l) && rate < l->rate_before;

	if (is_wrong)
		take_back(l, now_us);
	else if (l->before_cut)
		l->hold_us = 0;
	l->before_cut = 0;
	return is_wrong;
}

static void adapt(struct limit *l, u64 slowness, double rate, u64 now_us)
{
	if (judge_cut(l, rate, now_us))
		return;
	if (slowness <= SLOW_PERCENT || now_us < l->hold_until_us) {
		l->now = MIN(l->now + 1, l->slots);
		return;
	}
	if (!is_full(l) || l->now == lowest(l))
		return;
	l->before_cut = l->now;
	l->rate_before = rate;
	l->now = MAX(lowest(l), l->now * CUT_PERCENT / 100);
}

static void end_window(struct limit *l, u64 now_us)
{
	u64 slowness = slowness_percent(l);
	double rate = work_rate(l, now_us - l->window_start_us);

	learn(l, slowness);
	adapt(l, slowness, rate, now_us);
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
