#include "node/knee.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Fewer samples of a rank on one side say nothing. */
#define SIDE_SAMPLES_MIN 12
/* Samples of one side that are compared; the levels next to the knee come first. */
#define POOL_MAX 384
#define QUARTILE_PART 4
/* No limit is set below this part of the slots. */
#define LOWEST_PART 2
/* Levels below a possible knee that are compared with those above it. */
#define BELOW_LEVELS 4
/* By so much more must be done at the knee than above it. */
#define GAIN 1.08
/* Standard errors by which the times on both sides must differ. */
#define CERTAINTY 4.5
/* With less a knee that was found is given up. */
#define RELEASE 1.0
/* Standard error of the quartile of one sample: the spread of the logarithm of a time, and more. */
#define SPREAD 0.5
#define LOOK_SAMPLES 16
/* In this time half of what is known of the levels that are not used is forgotten. */
#define FORGET_US (10 * US_PER_S)

/* The calls of one rank on one side of a possible knee. */
struct side {
	u32 samples;
	double work; /* first quartile of the logarithms */
	double level_sum;
};

void knee_reset(struct knee *k)
{
	memset(k->levels, 0, sizeof(k->levels));
	k->fresh = 0;
	k->is_found = false;
	k->adopted = 0;
	k->now = k->slots;
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

/* The calls of RANK in LEVEL; returns how many ALL holds then. */
static u32 take_level(const struct knee_level *l, u32 rank, float *all, u32 n)
{
	for (u32 i = 0; i < l->samples && n < POOL_MAX; i++)
		if (l->rank[i] == rank)
			all[n++] = l->work[i];
	return n;
}

/* The levels from FROM to TO together. */
static struct side pool(const struct knee *k, u32 rank, u32 from, u32 to)
{
	float all[POOL_MAX];
	struct side s = { 0 };

	for (u32 i = to; i >= from && i; i--) {
		u32 n = take_level(&k->levels[i], rank, all, s.samples);

		s.level_sum += (double)(n - s.samples) * i;
		s.samples = n;
	}
	if (!s.samples)
		return s;
	qsort(all, s.samples, sizeof(*all), by_value);
	s.work = (double)all[s.samples / QUARTILE_PART];
	return s;
}

/* What all ranks together say about calls above a level. */
struct verdict {
	double weight;
	double longer; /* sum of the differences of the logarithms, weighted */
	double above; /* samples above */
	double level_sum; /* of these */
};

static void judge_rank(const struct knee *k, u32 rank, u32 level, struct verdict *v)
{
	u32 from = level > BELOW_LEVELS ? level - BELOW_LEVELS + 1 : 1;
	struct side below = pool(k, rank, from, level);
	struct side above = pool(k, rank, level + 1, MIN(k->slots, (u32)KNEE_LEVELS_MAX));
	double weight;

	if (below.samples < SIDE_SAMPLES_MIN || above.samples < SIDE_SAMPLES_MIN)
		return;
	weight = 1 / (1.0 / below.samples + 1.0 / above.samples);
	v->weight += weight;
	v->longer += weight * (above.work - below.work);
	v->above += above.samples;
	v->level_sum += above.level_sum;
}

/* How clearly calls above LEVEL take longer, in standard errors; 0 when no less is done there. */
static double evidence(const struct knee *k, u32 level)
{
	struct verdict v = { 0 };
	double longer;

	for (u32 rank = 0; rank < k->nranks; rank++)
		judge_rank(k, rank, level, &v);
	if (v.weight <= 0)
		return 0;
	longer = v.longer / v.weight;
	if (level * exp(longer) < v.level_sum / v.above * GAIN)
		return 0;
	return longer * sqrt(v.weight) / SPREAD;
}

static void set_now(struct knee *k, u32 found)
{
	k->now = found ? found : k->adopted ? k->adopted : k->slots;
}

static void look(struct knee *k)
{
	double most = CERTAINTY;
	u32 found = 0;

	k->fresh = 0;
	for (u32 i = MAX(k->slots / LOWEST_PART, 1u); i < k->slots && i < KNEE_LEVELS_MAX; i++) {
		double e = evidence(k, i);

		if (e < most)
			continue;
		most = e;
		found = i;
	}
	/* A knee that was found stays until calls above it show that it is gone. */
	if (!found && k->is_found && evidence(k, k->now) > RELEASE)
		return;
	k->is_found = found;
	set_now(k, found);
}

static void forget_unused(struct knee *k, u64 now_us)
{
	if (now_us < k->forgot_us + FORGET_US)
		return;
	k->forgot_us = now_us;
	for (u32 i = k->now + 1; i <= KNEE_LEVELS_MAX; i++) {
		k->levels[i].samples /= 2;
		k->levels[i].next = k->levels[i].samples;
	}
}

static void add(struct knee_level *l, u32 rank, u64 work_us)
{
	if (l->next >= KNEE_LEVEL_SAMPLES)
		l->next = 0;
	l->work[l->next] = logf((float)MAX(work_us, 1));
	l->rank[l->next] = (u8)rank;
	l->next++;
	l->samples = MIN(l->samples + 1, (u32)KNEE_LEVEL_SAMPLES);
}

void knee_sample(struct knee *k, u32 rank, u64 work_us, u32 level, u64 now_us)
{
	if (!level || level > KNEE_LEVELS_MAX || rank >= KNEE_RANKS_MAX)
		return;
	k->nranks = MAX(k->nranks, rank + 1);
	add(&k->levels[level], rank, work_us);
	forget_unused(k, now_us);
	if (++k->fresh >= LOOK_SAMPLES)
		look(k);
}

void knee_adopt(struct knee *k, u32 limit)
{
	k->adopted = limit >= k->slots / LOWEST_PART && limit < k->slots ? limit : 0;
	if (!k->is_found)
		set_now(k, 0);
}
