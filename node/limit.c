#include "node/limit.h"

#include <glib.h>
#include <string.h>

#define WINDOW_MIN_US (500 * US_PER_MS)
/* The limit is saturated at this mean use: more slots would be used if there were any. */
#define SATURATED_PERCENT 90
#define WINDOW_MIN_SAMPLES 128
/* Latency in percent of the baseline above which the limit may be cut. */
#define SLOW_PERCENT 200
#define CUT_PERCENT 70
#define CUT_BACKOFF_MIN_US (2 * US_PER_S)
#define CUT_BACKOFF_MAX_US (60 * US_PER_S)
/* The limit is never below 1/LIMIT_MIN_DIVISOR of the slots. */
#define LIMIT_MIN_DIVISOR 4
/* Load is light while on average at most 1/LIGHT_LOAD_DIVISOR of the slots are in use. */
#define LIGHT_LOAD_DIVISOR 2
/* Weight of the old baseline in the new one, in samples. */
#define BASELINE_WEIGHT_SAMPLES 128
/* Divisor of the steps by which a baseline rises at the minimum limit. */
#define MINIMUM_SMOOTHING 32

static u32 min_limit(const struct limit *l)
{
	return MAX(l->slots / LIMIT_MIN_DIVISOR, 1u);
}

void limit_set_slots(struct limit *l, u32 slots)
{
	if (l->current_limit >= l->slots)
		l->current_limit = slots;
	l->slots = slots;
	l->current_limit = slots ? CLAMP(l->current_limit, min_limit(l), slots) : 0;
}

void limit_reset(struct limit *l)
{
	memset(l->ranks, 0, sizeof(l->ranks));
	l->samples = 0;
	l->max_running = 0;
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

/* Returns the latency in the window, in percent of the baseline; 100 while that is unknown. */
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
 * Updates the baselines from the window. A window under load never raises a baseline, as the
 * baseline would follow the load upwards. The exception is a slow window at the minimum limit:
 * the load can't be lowered further, so the latency is taken for the new normal.
 */
static void update_baselines(struct limit *l, u64 slowness)
{
	bool is_slow_at_minimum = l->current_limit == min_limit(l) && slowness > SLOW_PERCENT;
	bool is_light = l->max_running < l->current_limit &&
			l->sum_running * LIGHT_LOAD_DIVISOR <= (u64)l->samples * l->slots;

	for (u32 i = 0; i < LIMIT_RANKS_MAX; i++) {
		struct limit_rank *r = &l->ranks[i];
		u64 mean = r->count ? r->sum_us / r->count : 0;

		if (!mean)
			continue;
		if (!r->baseline_us)
			r->baseline_us = mean;
		else if (mean < r->baseline_us || is_light)
			r->baseline_us = (r->baseline_us * BASELINE_WEIGHT_SAMPLES + r->sum_us) /
					 (BASELINE_WEIGHT_SAMPLES + r->count);
		else if (is_slow_at_minimum)
			r->baseline_us += (mean - r->baseline_us) / MINIMUM_SMOOTHING;
	}
}

/* Returns the throughput: the sum of the baselines of the calls in the window, over SPAN_US. */
static double work_rate(const struct limit *l, u64 span_us)
{
	double work = 0;

	for (u32 i = 0; i < LIMIT_RANKS_MAX; i++)
		work += (double)l->ranks[i].count * (double)l->ranks[i].baseline_us;
	return span_us ? work / (double)span_us : 0;
}

static bool is_saturated(const struct limit *l)
{
	return l->sum_running * 100 >= (u64)l->samples * l->current_limit * SATURATED_PERCENT;
}

static void revert_cut(struct limit *l, u64 now_us)
{
	l->current_limit = MIN(l->limit_before_cut, l->slots);
	l->cut_backoff_us = CLAMP(l->cut_backoff_us * 2, CUT_BACKOFF_MIN_US, CUT_BACKOFF_MAX_US);
	l->no_cut_until_us = now_us + l->cut_backoff_us;
}

/* Reverts the last cut when throughput dropped after it. Returns whether it did. */
static bool evaluate_cut(struct limit *l, double rate, u64 now_us)
{
	bool is_harmful = l->limit_before_cut && is_saturated(l) && rate < l->rate_before_cut;

	if (is_harmful)
		revert_cut(l, now_us);
	else if (l->limit_before_cut)
		l->cut_backoff_us = 0;
	l->limit_before_cut = 0;
	return is_harmful;
}

static void adjust_limit(struct limit *l, u64 slowness, double rate, u64 now_us)
{
	if (evaluate_cut(l, rate, now_us))
		return;
	if (slowness <= SLOW_PERCENT || now_us < l->no_cut_until_us) {
		l->current_limit = MIN(l->current_limit + 1, l->slots);
		return;
	}
	if (!is_saturated(l) || l->current_limit == min_limit(l))
		return;
	l->limit_before_cut = l->current_limit;
	l->rate_before_cut = rate;
	l->current_limit = MAX(min_limit(l), l->current_limit * CUT_PERCENT / 100);
}

static void end_window(struct limit *l, u64 now_us)
{
	u64 slowness = slowness_percent(l);
	double rate = work_rate(l, now_us - l->window_start_us);

	update_baselines(l, slowness);
	adjust_limit(l, slowness, rate, now_us);
	for (u32 i = 0; i < LIMIT_RANKS_MAX; i++) {
		l->ranks[i].sum_us = 0;
		l->ranks[i].count = 0;
	}
	l->samples = 0;
	l->max_running = 0;
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
	l->max_running = MAX(l->max_running, running);
	if (now_us >= l->window_start_us + WINDOW_MIN_US && l->samples >= WINDOW_MIN_SAMPLES)
		end_window(l, now_us);
}
