#include "node/knee.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* Fewer samples on one side say nothing. */
#define SIDE_SAMPLES_MIN 16
#define LEVEL_SAMPLES_MAX 200
#define USUAL_SMOOTHING 64
/* One call that took very long must not outweigh the others: logarithm of a factor of 8. */
#define STRETCH_MAX 2.08
/* Levels up to this part of the slots show what is usual. */
#define USUAL_PART 2
/* No limit is set below this part of the slots. */
#define LOWEST_PART 2
/* Levels below a possible knee that are compared with those above it. */
#define BELOW_LEVELS 4
/* By so much more must be done at the knee than above it. */
#define GAIN 1.08
/* Standard errors by which the times on both sides must differ. */
#define CERTAINTY 4.0
/* With less a knee that was found is given up. */
#define RELEASE 1.0
/* Spread of the logarithm of the time of a call. */
#define SPREAD 0.6
#define LOOK_SAMPLES 16
/* In this time half of what is known of the levels that are not used is forgotten. */
#define FORGET_US (15 * US_PER_S)

/* Calls on one side of a possible knee. */
struct side {
	double samples;
	double stretch; /* mean of the logarithms */
	double level; /* mean */
};

void knee_forget(struct knee *k)
{
	memset(k->usual, 0, sizeof(k->usual));
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
	knee_forget(k);
}

/* The levels from FROM to TO together. */
static struct side pool(const struct knee *k, u32 from, u32 to)
{
	struct side s = { 0 };
	double stretch = 0;
	double level = 0;

	for (u32 i = from; i <= to && i <= KNEE_LEVELS_MAX; i++) {
		s.samples += k->levels[i].samples;
		stretch += k->levels[i].stretch_sum;
		level += k->levels[i].samples * i;
	}
	if (s.samples > 0) {
		s.stretch = stretch / s.samples;
		s.level = level / s.samples;
	}
	return s;
}

/* How clearly calls above LEVEL take longer, in standard errors; 0 when less is not done there. */
static double evidence(const struct knee *k, u32 level)
{
	struct side below = pool(k, level > BELOW_LEVELS ? level - BELOW_LEVELS + 1 : 1, level);
	struct side above = pool(k, level + 1, k->slots);
	double error;

	if (below.samples < SIDE_SAMPLES_MIN || above.samples < SIDE_SAMPLES_MIN)
		return 0;
	if (level * exp(above.stretch - below.stretch) < above.level * GAIN)
		return 0;
	error = SPREAD * sqrt(1 / below.samples + 1 / above.samples);
	return (above.stretch - below.stretch) / error;
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
	for (u32 i = MAX(k->slots / LOWEST_PART, 1u); i < k->slots; i++) {
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
		k->levels[i].stretch_sum /= 2;
	}
}

static void add(struct knee_level *l, double stretch)
{
	if (l->samples >= LEVEL_SAMPLES_MAX) {
		l->samples -= 1;
		l->stretch_sum *= (LEVEL_SAMPLES_MAX - 1.0) / LEVEL_SAMPLES_MAX;
	}
	l->samples += 1;
	l->stretch_sum += stretch;
}

void knee_sample(struct knee *k, u32 rank, u64 work_us, u32 level, u64 now_us)
{
	double work = log((double)MAX(work_us, 2));
	double *usual;

	if (!level || level > KNEE_LEVELS_MAX || rank >= KNEE_RANKS_MAX)
		return;
	usual = &k->usual[rank];
	if (level * USUAL_PART <= k->slots)
		*usual += *usual > 0 ? (work - *usual) / USUAL_SMOOTHING : work;
	if (*usual <= 0)
		return;
	add(&k->levels[level], CLAMP(work - *usual, -STRETCH_MAX, STRETCH_MAX));
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
