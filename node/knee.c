#include "node/knee.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Samples of a rank that are needed on each side of a level. */
#define SIDE_SAMPLES_MIN 12
/* Most samples of one side that are compared; higher levels come first. */
#define POOL_SAMPLES_MAX 384
#define QUARTILE_DIVISOR 4
/* The knee is never below 1/LIMIT_MIN_DIVISOR of the slots. */
#define LIMIT_MIN_DIVISOR 2
/* Levels up to a possible knee that are compared with those above it. */
#define BELOW_LEVELS 4
/* Minimum throughput at the knee, relative to that above it. */
#define THROUGHPUT_GAIN_MIN 1.08
/* Standard errors by which the work on both sides must differ for a knee to be found. */
#define FOUND_STD_ERRORS 4.5
/* A knee that was found is dropped at this difference or below. */
#define DROP_STD_ERRORS 1.0
/* Standard error of a quartile of one sample: standard deviation of log work, plus a margin. */
#define LOG_WORK_STD_ERROR 0.5
#define SEARCH_SAMPLES 16 /* between two searches for the knee */
/* Half of the samples above the current limit are dropped at this interval. */
#define DECAY_INTERVAL_US (10 * US_PER_S)

/* Samples of one rank on one side of a possible knee. */
struct side {
	u32 samples;
	double log_work; /* first quartile */
	double level_sum;
};

void knee_reset(struct knee *k)
{
	memset(k->levels, 0, sizeof(k->levels));
	k->new_samples = 0;
	k->is_found = false;
	k->adopted = 0;
	k->current_limit = k->slots;
}

void knee_set_slots(struct knee *k, u32 slots)
{
	if (k->slots == slots)
		return;
	k->slots = slots;
	knee_reset(k);
}

static int by_value(const void *a, const void *b)
{
	float x = *(const float *)a;
	float y = *(const float *)b;

	return x < y ? -1 : x > y;
}

/* Appends the samples of RANK in L to ALL, which has N. Returns the new number. */
static u32 append_samples(const struct knee_level *l, u32 rank, float *all, u32 n)
{
	for (u32 i = 0; i < l->samples && n < POOL_SAMPLES_MAX; i++)
		if (l->rank[i] == rank)
			all[n++] = l->log_work[i];
	return n;
}

/* Summarizes the samples of RANK in the levels FROM to TO. */
static struct side pool_levels(const struct knee *k, u32 rank, u32 from, u32 to)
{
	float all[POOL_SAMPLES_MAX];
	struct side s = { 0 };

	for (u32 i = to; i >= from && i; i--) {
		u32 n = append_samples(&k->levels[i], rank, all, s.samples);

		s.level_sum += (double)(n - s.samples) * i;
		s.samples = n;
	}
	if (!s.samples)
		return s;
	qsort(all, s.samples, sizeof(*all), by_value);
	s.log_work = (double)all[s.samples / QUARTILE_DIVISOR];
	return s;
}

/* Calls above a level compared with those up to it, over all ranks. */
struct comparison {
	double weight;
	double log_ratio; /* weighted sum of the differences of log work */
	double above; /* samples above the level */
	double level_sum; /* of the samples above */
};

static void compare_rank(const struct knee *k, u32 rank, u32 level, struct comparison *c)
{
	u32 from = level > BELOW_LEVELS ? level - BELOW_LEVELS + 1 : 1;
	struct side below = pool_levels(k, rank, from, level);
	struct side above = pool_levels(k, rank, level + 1, MIN(k->slots, (u32)KNEE_LEVELS_MAX));
	double weight;

	if (below.samples < SIDE_SAMPLES_MIN || above.samples < SIDE_SAMPLES_MIN)
		return;
	weight = 1 / (1.0 / below.samples + 1.0 / above.samples);
	c->weight += weight;
	c->log_ratio += weight * (above.log_work - below.log_work);
	c->above += above.samples;
	c->level_sum += above.level_sum;
}

/*
 * Returns by how many standard errors calls above LEVEL take longer; 0 when throughput is not lower
 * there.
 */
static double knee_std_errors(const struct knee *k, u32 level)
{
	struct comparison c = { 0 };
	double log_ratio;

	for (u32 rank = 0; rank < k->nranks; rank++)
		compare_rank(k, rank, level, &c);
	if (c.weight <= 0)
		return 0;
	log_ratio = c.log_ratio / c.weight;
	if (level * exp(log_ratio) < c.level_sum / c.above * THROUGHPUT_GAIN_MIN)
		return 0;
	return log_ratio * sqrt(c.weight) / LOG_WORK_STD_ERROR;
}

static void update_limit(struct knee *k, u32 found)
{
	k->current_limit = found ? found : k->adopted ? k->adopted : k->slots;
}

static void find_knee(struct knee *k)
{
	double best = FOUND_STD_ERRORS;
	u32 found = 0;

	k->new_samples = 0;
	for (u32 i = MAX(k->slots / LIMIT_MIN_DIVISOR, 1u); i < k->slots && i < KNEE_LEVELS_MAX;
	     i++) {
		double e = knee_std_errors(k, i);

		if (e < best)
			continue;
		best = e;
		found = i;
	}
	/* A knee that was found stays until samples above it contradict it. */
	if (!found && k->is_found && knee_std_errors(k, k->current_limit) > DROP_STD_ERRORS)
		return;
	k->is_found = found;
	update_limit(k, found);
}

static void decay_unused(struct knee *k, u64 now_us)
{
	if (now_us < k->decayed_us + DECAY_INTERVAL_US)
		return;
	k->decayed_us = now_us;
	for (u32 i = k->current_limit + 1; i <= KNEE_LEVELS_MAX; i++) {
		k->levels[i].samples /= 2;
		k->levels[i].next = k->levels[i].samples;
	}
}

static void add_sample(struct knee_level *l, u32 rank, u64 work_us)
{
	if (l->next >= KNEE_LEVEL_SAMPLES)
		l->next = 0;
	l->log_work[l->next] = logf((float)MAX(work_us, 1));
	l->rank[l->next] = (u8)rank;
	l->next++;
	l->samples = MIN(l->samples + 1, (u32)KNEE_LEVEL_SAMPLES);
}

void knee_sample(struct knee *k, u32 rank, u64 work_us, u32 level, u64 now_us)
{
	if (!level || level > KNEE_LEVELS_MAX || rank >= KNEE_RANKS_MAX)
		return;
	k->nranks = MAX(k->nranks, rank + 1);
	add_sample(&k->levels[level], rank, work_us);
	decay_unused(k, now_us);
	if (++k->new_samples >= SEARCH_SAMPLES)
		find_knee(k);
}

void knee_adopt(struct knee *k, u32 limit)
{
	k->adopted = limit >= k->slots / LIMIT_MIN_DIVISOR && limit < k->slots ? limit : 0;
	if (!k->is_found)
		update_limit(k, 0);
}
