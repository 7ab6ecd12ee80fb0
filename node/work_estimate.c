#include "node/work_estimate.h"

#include <glib.h>
#include <math.h>

/* Length of the moving average, in calls. */
#define AVERAGE_CALLS 32
/* A mean of fewer samples is not known: of 8 exponential samples it is off by a third at most. */
#define SAMPLES_MIN 8
/* An exponential moving average has the error of a mean of about twice its length. */
#define EFFECTIVE_SAMPLES_MAX (2 * AVERAGE_CALLS - 1)
/* Standard deviation over mean absolute deviation, for a normal distribution. */
#define DEVIATION_RATIO 1.25
#define STANDARD_ERRORS 3
/* A sample counts as at most the mean and this many deviations: one stuck call is no trend. */
#define OUTLIER_DEVIATIONS 8
/* Means that differ by less than this do not change an order. */
#define DIFFERENCE_MIN_PERCENT 25

static double clip(const struct work_mean *m, double sample)
{
	if (m->samples < SAMPLES_MIN)
		return sample;
	return MIN(sample, m->mean_us + OUTLIER_DEVIATIONS * MAX(m->deviation_us, m->mean_us / 8));
}

void work_mean_add(struct work_mean *m, u64 work_us)
{
	double sample = clip(m, (double)work_us);
	double weight;

	m->samples++;
	weight = 1.0 / MIN(m->samples, AVERAGE_CALLS);
	if (m->samples > 1)
		m->deviation_us += (fabs(sample - m->mean_us) - m->deviation_us) * weight;
	m->mean_us += (sample - m->mean_us) * weight;
	m->samples = MIN(m->samples, EFFECTIVE_SAMPLES_MAX);
}

struct work work_mean_get(const struct work_mean *m)
{
	double error;

	if (m->samples < SAMPLES_MIN)
		return (struct work){ 0 };
	error = STANDARD_ERRORS * DEVIATION_RATIO * m->deviation_us / sqrt(m->samples);
	return (struct work){ .mean_us = MAX((u64)m->mean_us, 1), .error_us = (u64)error };
}

bool work_differs(struct work a, struct work b)
{
	double difference = fabs((double)a.mean_us - (double)b.mean_us);

	if (!a.mean_us || !b.mean_us)
		return false;
	if (difference * 100 < (double)MIN(a.mean_us, b.mean_us) * DIFFERENCE_MIN_PERCENT)
		return false;
	return difference > hypot((double)a.error_us, (double)b.error_us);
}

static struct work_entry *set_of(struct work_estimate *e, u64 route, u64 organisation)
{
	u64 mixed = (route ^ (organisation * 31)) * 0x9e3779b97f4a7c15ULL;

	return e->entries[mixed >> 32 & (WORK_SETS - 1)];
}

static struct work_entry *find(struct work_estimate *e, u64 route, u64 organisation)
{
	struct work_entry *set = set_of(e, route, organisation);

	for (u32 i = 0; i < WORK_WAYS; i++) {
		if (set[i].route != route || set[i].organisation != organisation)
			continue;
		set[i].used = ++e->uses;
		return &set[i];
	}
	return NULL;
}

static struct work_entry *find_or_replace(struct work_estimate *e, u64 route, u64 organisation)
{
	struct work_entry *found = find(e, route, organisation);
	struct work_entry *set = set_of(e, route, organisation);

	if (found)
		return found;
	found = &set[0];
	for (u32 i = 1; i < WORK_WAYS; i++)
		if (set[i].used < found->used)
			found = &set[i];
	*found = (struct work_entry){ .route = route,
				      .organisation = organisation,
				      .used = ++e->uses };
	return found;
}

void work_add(struct work_estimate *e, u64 route, u64 organisation, u64 work_us)
{
	work_mean_add(&find_or_replace(e, route, 0)->mean, work_us);
	if (organisation)
		work_mean_add(&find_or_replace(e, route, organisation)->mean, work_us);
}

struct work work_expect(struct work_estimate *e, u64 route, u64 organisation)
{
	const struct work_entry *all = route ? find(e, route, 0) : NULL;
	const struct work_entry *own;
	struct work whole, part;

	if (!all)
		return (struct work){ 0 };
	whole = work_mean_get(&all->mean);
	own = organisation ? find(e, route, organisation) : NULL;
	if (!own)
		return whole;
	part = work_mean_get(&own->mean);
	return work_differs(part, whole) ? part : whole;
}
