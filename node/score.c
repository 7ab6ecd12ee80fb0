/* The state of one upstream on an entry node: expected time of a call, outlier ejection. */
#include "node/choose.h"

#include "lib/ctr.h"
#include "node/slow_period.h"

#include <string.h>

#define UNREACHABLE_US (1 * US_PER_S)
/* The weight of a load report falls to zero within this time. */
#define LOAD_AGE_US (200 * US_PER_MS)
/* So do the weights of a measured latency and of a failure, within these times. */
#define LATENCY_AGE_US (1 * US_PER_S)
#define FAILED_AGE_US (5 * US_PER_S)
/* Exponential smoothing: a new sample has the weight 1/SMOOTHING. */
#define LATENCY_SMOOTHING 8
#define FAILED_SMOOTHING 8
/* Assumed time of a call before the first load report. */
#define DEFAULT_SERVICE_US (10 * US_PER_MS)
/* Penalties for an attempt that fails or is refused, in addition to the time it takes. */
#define FAILED_COST_US (1 * US_PER_S)
#define REFUSED_COST_US (1 * US_PER_S)
#define RAMP_START_PERCENT 10 /* of the full share */
/* The measured latency overrides a score that it exceeds by this factor. */
#define LATENCY_OVERRIDE_FACTOR 2
/* An upstream is slower than others if its calls take over this percentage of the typical time. */
#define SLOWER_PERCENT 130
/* A silence of more than this many times the expected time overrides the report. */
#define SILENCE_OVERRIDE_FACTOR 4
/* Penalty for leaving the own zone, as a percentage of the time of a call. */
#define CROSS_ZONE_PERCENT 100
/* An upstream is ejected for consecutive failures, its share of failures or its latency. */
#define EJECT_FAILED_IN_ROW 5
#define EJECT_FAILED_PERMILLE 500
#define EJECT_MIN_SAMPLES 8
#define EJECT_LATENCY_FACTOR 4 /* of the median of the others */
#define EJECT_US (1 * US_PER_S) /* the first ejection; doubles with each successive one */
#define EJECT_DOUBLINGS_MAX 5

/* Returns VALUE, reduced linearly with its age: all of it now, nothing after SPAN_US. */
static u64 decayed(u64 value, u64 at_us, u64 span_us, u64 now_us)
{
	u64 age = now_us > at_us ? now_us - at_us : 0;

	return age < span_us ? value * (span_us - age) / span_us : 0;
}

/* A reported slowness of the VM is more recent than any latency measured before. */
static bool reports_slowness(const struct choose_target *t)
{
	return t->load_at_us && t->load.slowness_percent && t->service && t->service->typical_us;
}

u64 choose_usual_call_us(const struct choose_target *t, u32 worth)
{
	for (u32 i = 0; t->load_at_us && i < t->load.nwaits; i++)
		if (t->load.waits[i].worth == worth)
			return t->load.waits[i].work_us;
	return 0;
}

/*
 * Returns the time of a call at the reported speed. Small differences between upstreams are
 * ignored: they come from the calls that each happened to get.
 */
static u64 reported_service_us(const struct choose_target *t, u32 worth, u64 silent_us)
{
	u64 typical = t->service->typical_us;
	u64 own = choose_usual_call_us(t, worth);
	u64 usual = own * 100 > typical * SLOWER_PERCENT ? own : typical;
	u64 reported = usual * t->load.slowness_percent / 100;

	return silent_us > SILENCE_OVERRIDE_FACTOR * reported ? silent_us : reported;
}

static u64 service_us(const struct choose_target *t, u32 worth, u64 now_us)
{
	u64 reported = t->load_at_us ? t->load.service_us : DEFAULT_SERVICE_US;
	u64 silent = t->in_flight && now_us > t->silent_since_us ? now_us - t->silent_since_us : 0;

	if (reports_slowness(t))
		return reported_service_us(t, worth, silent);
	/* A straggler falls silent long before a report shows that it is slow. */
	return MAX(reported, silent);
}

u64 choose_current_call_us(const struct choose_target *t, u32 worth)
{
	return reports_slowness(t) ? reported_service_us(t, worth, 0) : 0;
}

/* Returns the concurrency limit in hundredths of a call; that of a cold upstream ramps up. */
static u64 current_limit(const struct choose_target *t, u64 now_us)
{
	u64 limit = t->load_at_us ? t->load.limit : t->entry.slots;
	u64 ramp_left = t->ramp_end_us > now_us ? t->ramp_end_us - now_us : 0;

	limit = MAX(limit, 1) * 100;
	ramp_left = MIN(ramp_left, CHOOSE_RAMP_US);
	limit -= limit * (100 - RAMP_START_PERCENT) / 100 * ramp_left / CHOOSE_RAMP_US;
	return MAX(limit, 100);
}

/*
 * Returns the estimated number of calls at T in hundredths: the reported ones, whose weight falls
 * with the age of the report, and those sent by this node since; at least its own in flight.
 */
static u64 estimated_calls(const struct choose_target *t, u64 now_us)
{
	u64 reported = decayed((u64)(t->load.running + t->load.queued) * 100, t->load_at_us,
			       LOAD_AGE_US, now_us);

	return MAX(reported + t->sent_since_load * 100ULL, t->in_flight * 100ULL);
}

static u64 reported_wait_us(const struct choose_target *t, u32 worth, u64 now_us)
{
	for (u32 i = 0; i < t->load.nwaits; i++)
		if (t->load.waits[i].worth <= worth)
			return decayed(t->load.waits[i].wait_us, t->load_at_us, LOAD_AGE_US,
				       now_us);
	return 0;
}

/*
 * Returns the expected queueing time. Near the limit a call may have to wait although the last
 * report showed a free slot, so the time grows smoothly with the number of calls.
 */
static u64 wait_us(const struct choose_target *t, u32 worth, u64 now_us)
{
	u64 limit = current_limit(t, now_us);
	u64 calls = estimated_calls(t, now_us);
	u64 service = service_us(t, worth, now_us);
	u64 in_use = MIN(calls, limit);
	u64 wait = service * in_use * in_use / (limit * limit) / 4;

	if (t->load.nwaits && t->load_at_us)
		return wait + reported_wait_us(t, worth, now_us) +
		       (calls > limit ? t->sent_since_load * service * 100 / limit : 0);
	return wait + (calls > limit ? (calls - limit) * service / limit : 0);
}

/*
 * Returns the penalty for another zone. Traffic between zones costs more than its delay, so a
 * call leaves its zone only if that clearly shortens it.
 */
static u64 cross_zone_cost_us(const struct choose_target *t, u64 service)
{
	return t->is_own_zone || !reports_slowness(t) ? 0 : service * CROSS_ZONE_PERCENT / 100;
}

u64 choose_score(const struct choose_target *t, u32 worth, u64 now_us)
{
	u64 rtt = t->rtt_us ? t->rtt_us : t->default_rtt_us;
	u64 service = service_us(t, worth, now_us);
	u64 score = rtt + wait_us(t, worth, now_us) + service + cross_zone_cost_us(t, service);
	u64 latency = decayed(t->latency_us, t->latency_at_us, LATENCY_AGE_US, now_us);
	u64 failed = decayed(t->failed_permille, t->failed_at_us, FAILED_AGE_US, now_us);

	if (latency > LATENCY_OVERRIDE_FACTOR * score && !reports_slowness(t))
		score = latency;
	if (t->load_at_us && worth < t->load.lowest_worth)
		score += decayed(REFUSED_COST_US, t->load_at_us, LOAD_AGE_US, now_us);
	return score + failed * FAILED_COST_US / 1000;
}

bool choose_is_slow(const struct choose_target *t)
{
	return t->load_at_us && t->load.slowness_percent >= SLOW_PERIOD_MIN_PERCENT;
}

bool choose_is_usable(const struct choose_target *t, u64 now_us)
{
	return t->service && !t->load.is_draining && t->unreachable_until_us <= now_us &&
	       t->ejected_until_us <= now_us;
}

static u32 count_ejected(const struct choose_service *s, u64 now_us)
{
	u32 n = 0;

	for (guint i = 0; i < s->targets->len; i++) {
		const struct choose_target *t = g_ptr_array_index(s->targets, i);

		n += t->ejected_until_us > now_us;
	}
	return n;
}

static void eject(struct choose_target *t, u64 now_us)
{
	u64 span = EJECT_US << MIN(t->ejections, EJECT_DOUBLINGS_MAX);

	if (!t->service || t->ejected_until_us > now_us)
		return;
	if ((count_ejected(t->service, now_us) + 1) * CHOOSE_EJECT_DIVISOR >
	    t->service->targets->len)
		return;
	t->ejected_until_us = now_us + span;
	t->ejections++;
	t->failed_in_row = 0;
	t->latency_samples = 0;
	t->latency_us = 0;
	t->ramp_end_us = t->ejected_until_us + CHOOSE_RAMP_US;
	ctr_inc(CTR_EJECTED);
}

static gint compare_u64(gconstpointer a, gconstpointer b)
{
	u64 x = *(const u64 *)a;
	u64 y = *(const u64 *)b;

	return x < y ? -1 : x > y;
}

/* Returns the median latency of the other upstreams, or 0 if fewer than two are known. */
static u64 median_of_others_us(const struct choose_target *t, u64 now_us)
{
	u64 list[SUBSET_MAX];
	u32 n = 0;

	for (guint i = 0; i < t->service->subset->len; i++) {
		const struct choose_target *other = g_ptr_array_index(t->service->subset, i);

		if (other == t || other->latency_samples < EJECT_MIN_SAMPLES)
			continue;
		if (now_us - other->latency_at_us < LATENCY_AGE_US)
			list[n++] = other->latency_us;
	}
	if (n < 2)
		return 0;
	qsort(list, n, sizeof(list[0]), compare_u64);
	return list[n / 2];
}

static bool is_outlier(const struct choose_target *t, u64 now_us)
{
	u64 median;

	if (t->failed_in_row >= EJECT_FAILED_IN_ROW || t->failed_permille > EJECT_FAILED_PERMILLE)
		return true;
	if (!t->service || t->latency_samples < EJECT_MIN_SAMPLES)
		return false;
	median = median_of_others_us(t, now_us);
	return median && t->latency_us > EJECT_LATENCY_FACTOR * median;
}

void choose_sent(struct choose_target *t, u64 now_us)
{
	if (!t->in_flight)
		t->silent_since_us = now_us;
	t->sent_since_load++;
	t->in_flight++;
}

static void record_result(struct choose_target *t, bool is_failure, u64 now_us)
{
	u32 old = (u32)decayed(t->failed_permille, t->failed_at_us, FAILED_AGE_US, now_us);

	t->failed_permille =
		(old * (FAILED_SMOOTHING - 1) + (is_failure ? 1000 : 0)) / FAILED_SMOOTHING;
	t->failed_in_row = is_failure ? t->failed_in_row + 1 : 0;
	t->failed_at_us = now_us;
}

static void record_latency(struct choose_target *t, u64 took_us, u64 now_us)
{
	if (t->latency_samples < LATENCY_SMOOTHING)
		t->latency_samples++;
	t->latency_us += (t->latency_samples == 1) ? took_us : 0;
	t->latency_us = (t->latency_us * (t->latency_samples - 1) + took_us) / t->latency_samples;
	t->latency_at_us = now_us;
}

static u64 usual_us(const struct choose_target *t)
{
	u64 reported = t->load_at_us ? t->load.service_us : DEFAULT_SERVICE_US;

	return MAX(reported, t->latency_us);
}

void choose_ended(struct choose_target *t, enum choose_result result, u64 took_us, u64 now_us)
{
	if (t->in_flight)
		t->in_flight--;
	/* An attempt that has ended no longer counts as load. */
	t->sent_since_load = MIN(t->sent_since_load, t->in_flight);
	if (result == CHOOSE_CANCELLED)
		return;
	t->silent_since_us = now_us;
	if (result == CHOOSE_REFUSED)
		return;
	/* A short deadline must not make a healthy upstream look bad. */
	if (result == CHOOSE_TIMED_OUT && took_us < LATENCY_OVERRIDE_FACTOR * usual_us(t))
		return;
	record_result(t, result != CHOOSE_ANSWERED, now_us);
	/* The time of an error is not a sample: an upstream that fails fast is not a fast one. */
	if (result == CHOOSE_ANSWERED)
		record_latency(t, took_us, now_us);
	if (is_outlier(t, now_us))
		eject(t, now_us);
	else if (t->ejections && now_us > t->ramp_end_us)
		t->ejections = 0;
}

void choose_set_load(struct choose_target *t, const struct peer_load *load, u64 now_us)
{
	t->load = *load;
	t->load_at_us = now_us;
	t->sent_since_load = 0;
}

void choose_set_unreachable(struct choose_target *t, u64 now_us)
{
	t->unreachable_until_us = now_us + UNREACHABLE_US;
}
