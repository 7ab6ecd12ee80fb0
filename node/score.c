/* One upstream as an entry node sees it: expected time of a call, outliers. */
#include "node/choose.h"

#include "lib/ctr.h"
#include "node/slow_period.h"

#include <string.h>

#define UNREACHABLE_US (1 * US_PER_S)
/* A told load loses its weight in this time. */
#define LOAD_AGE_US (200 * US_PER_MS)
/* So does a measured latency, and a failure. */
#define LATENCY_AGE_US (1 * US_PER_S)
#define FAILED_AGE_US (5 * US_PER_S)
#define LATENCY_SMOOTHING 8
#define FAILED_SMOOTHING 8
#define SERVICE_FIRST_GUESS_US (10 * US_PER_MS)
/* Cost of a try that fails, over the time it takes. */
#define FAILED_COST_US (1 * US_PER_S)
#define REFUSED_COST_US (1 * US_PER_S)
#define RAMP_FIRST_PERCENT 10
/* Own latency counts when it is so many times what the load says. */
#define LATENCY_DOUBT 2
/* By so much longer calls must take at an upstream before it counts as a slower one. */
#define SLOWER_PERCENT 130
/* A silence this many times the expected time speaks against what was told. */
#define SILENT_DOUBT 4
/* By so much of its time must a call be faster in another zone. */
#define PLACE_PERCENT 100
#define EJECT_IN_ROW 5
#define EJECT_PERMILLE 500
#define EJECT_ANSWERS 8
#define EJECT_SLOWER 4
#define EJECT_US (1 * US_PER_S)
#define EJECT_DOUBLINGS_MAX 5

/* VALUE, less with its age: all of it now, nothing after SPAN_US. */
static u64 aged(u64 value, u64 at_us, u64 span_us, u64 now_us)
{
	u64 age = now_us > at_us ? now_us - at_us : 0;

	return age < span_us ? value * (span_us - age) / span_us : 0;
}

/* Its upstream tells how slow its VM is now, which is newer than any time measured before. */
static bool reports_slowness(const struct choose_target *t)
{
	return t->load_us && t->load.slowness_percent && t->service && t->service->typical_us;
}

u64 choose_told_work_us(const struct choose_target *t, u32 worth)
{
	for (u32 i = 0; t->load_us && i < t->load.nwaits; i++)
		if (t->load.waits[i].worth == worth)
			return t->load.waits[i].work_us;
	return 0;
}

/* Small differences between upstreams are those of the calls that they happened to get. */
static u64 told_service_us(const struct choose_target *t, u32 worth, u64 silent_us)
{
	u64 typical = t->service->typical_us;
	u64 work = choose_told_work_us(t, worth);
	u64 usual = work * 100 > typical * SLOWER_PERCENT ? work : typical;
	u64 told = usual * t->load.slowness_percent / 100;

	return silent_us > SILENT_DOUBT * told ? silent_us : told;
}

static u64 service_us(const struct choose_target *t, u32 worth, u64 now_us)
{
	u64 told = t->load_us ? t->load.service_us : SERVICE_FIRST_GUESS_US;
	u64 silent = t->in_flight && now_us > t->silent_since_us ? now_us - t->silent_since_us : 0;

	if (reports_slowness(t))
		return told_service_us(t, worth, silent);
	/* A straggler gives no answer long before a report says that it is slow. */
	return MAX(told, silent);
}

u64 choose_told_now_us(const struct choose_target *t, u32 worth)
{
	return reports_slowness(t) ? told_service_us(t, worth, 0) : 0;
}

/* Calls that run at once; a cold upstream takes its share only after a time. */
static u64 limit_now(const struct choose_target *t, u64 now_us)
{
	u64 limit = t->load_us ? t->load.limit : t->entry.slots;
	u64 left = t->warm_us > now_us ? t->warm_us - now_us : 0;

	limit = MAX(limit, 1) * 100;
	left = MIN(left, CHOOSE_RAMP_US);
	limit -= limit * (100 - RAMP_FIRST_PERCENT) / 100 * left / CHOOSE_RAMP_US;
	return MAX(limit, 100);
}

/* Calls there as far as known, in hundredths: the told ones, aged, and own ones since. */
static u64 work(const struct choose_target *t, u64 now_us)
{
	u64 told = aged((u64)(t->load.running + t->load.queued) * 100, t->load_us, LOAD_AGE_US,
			now_us);

	return MAX(told + t->sent_since * 100ULL, t->in_flight * 100ULL);
}

static u64 told_wait_us(const struct choose_target *t, u32 worth, u64 now_us)
{
	for (u32 i = 0; i < t->load.nwaits; i++)
		if (t->load.waits[i].worth <= worth)
			return aged(t->load.waits[i].wait_us, t->load_us, LOAD_AGE_US, now_us);
	return 0;
}

/*
 * Near the limit a call may have to wait though the last report showed a free slot, so the
 * wait grows smoothly with the work.
 */
static u64 wait_us(const struct choose_target *t, u32 worth, u64 now_us)
{
	u64 limit = limit_now(t, now_us);
	u64 busy = work(t, now_us);
	u64 service = service_us(t, worth, now_us);
	u64 part = MIN(busy, limit);
	u64 wait = service * part * part / (limit * limit) / 4;

	if (t->load.nwaits && t->load_us)
		return wait + told_wait_us(t, worth, now_us) +
		       (busy > limit ? t->sent_since * service * 100 / limit : 0);
	return wait + (busy > limit ? (busy - limit) * service / limit : 0);
}

/*
 * Bytes between zones cost more than the time they take, so a call leaves its
 * zone only where that clearly shortens it.
 */
static u64 place_cost_us(const struct choose_target *t, u64 service)
{
	return t->is_own_zone || !reports_slowness(t) ? 0 : service * PLACE_PERCENT / 100;
}

u64 choose_score(const struct choose_target *t, u32 worth, u64 now_us)
{
	u64 rtt = t->rtt_us ? t->rtt_us : t->far_us;
	u64 service = service_us(t, worth, now_us);
	u64 score = rtt + wait_us(t, worth, now_us) + service + place_cost_us(t, service);
	u64 latency = aged(t->latency_us, t->latency_at_us, LATENCY_AGE_US, now_us);
	u64 failed = aged(t->failed_permille, t->failed_at_us, FAILED_AGE_US, now_us);

	if (latency > LATENCY_DOUBT * score && !reports_slowness(t))
		score = latency;
	if (t->load_us && worth < t->load.lowest_worth)
		score += aged(REFUSED_COST_US, t->load_us, LOAD_AGE_US, now_us);
	return score + failed * FAILED_COST_US / 1000;
}

bool choose_is_slow(const struct choose_target *t)
{
	return t->load_us && t->load.slowness_percent >= SLOW_PERIOD_MIN_PERCENT;
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
	if ((count_ejected(t->service, now_us) + 1) * CHOOSE_EJECT_PART > t->service->targets->len)
		return;
	t->ejected_until_us = now_us + span;
	t->ejections++;
	t->failed_in_row = 0;
	t->answers = 0;
	t->latency_us = 0;
	t->warm_us = t->ejected_until_us + CHOOSE_RAMP_US;
	ctr_inc(CTR_EJECTED);
}

static gint by_value(gconstpointer a, gconstpointer b)
{
	u64 x = *(const u64 *)a;
	u64 y = *(const u64 *)b;

	return x < y ? -1 : x > y;
}

/* The median latency of the other upstreams, or 0 when fewer than two are known. */
static u64 median_us(const struct choose_target *t, u64 now_us)
{
	u64 list[SUBSET_MAX];
	u32 n = 0;

	for (guint i = 0; i < t->service->subset->len; i++) {
		const struct choose_target *o = g_ptr_array_index(t->service->subset, i);

		if (o == t || o->answers < EJECT_ANSWERS)
			continue;
		if (now_us - o->latency_at_us < LATENCY_AGE_US)
			list[n++] = o->latency_us;
	}
	if (n < 2)
		return 0;
	qsort(list, n, sizeof(list[0]), by_value);
	return list[n / 2];
}

static bool is_outlier(const struct choose_target *t, u64 now_us)
{
	u64 median;

	if (t->failed_in_row >= EJECT_IN_ROW || t->failed_permille > EJECT_PERMILLE)
		return true;
	if (!t->service || t->answers < EJECT_ANSWERS)
		return false;
	median = median_us(t, now_us);
	return median && t->latency_us > EJECT_SLOWER * median;
}

void choose_sent(struct choose_target *t, u64 now_us)
{
	if (!t->in_flight)
		t->silent_since_us = now_us;
	t->sent_since++;
	t->in_flight++;
}

static void count_failure(struct choose_target *t, bool is_failure, u64 now_us)
{
	u32 old = (u32)aged(t->failed_permille, t->failed_at_us, FAILED_AGE_US, now_us);

	t->failed_permille =
		(old * (FAILED_SMOOTHING - 1) + (is_failure ? 1000 : 0)) / FAILED_SMOOTHING;
	t->failed_in_row = is_failure ? t->failed_in_row + 1 : 0;
	t->failed_at_us = now_us;
}

static void count_latency(struct choose_target *t, u64 took_us, u64 now_us)
{
	if (t->answers < LATENCY_SMOOTHING)
		t->answers++;
	t->latency_us += (t->answers == 1) ? took_us : 0;
	t->latency_us = (t->latency_us * (t->answers - 1) + took_us) / t->answers;
	t->latency_at_us = now_us;
}

static u64 usual_us(const struct choose_target *t)
{
	u64 told = t->load_us ? t->load.service_us : SERVICE_FIRST_GUESS_US;

	return MAX(told, t->latency_us);
}

void choose_ended(struct choose_target *t, enum choose_result result, u64 took_us, u64 now_us)
{
	if (t->in_flight)
		t->in_flight--;
	/* What has ended is no load any more. */
	t->sent_since = MIN(t->sent_since, t->in_flight);
	if (result == CHOOSE_CANCELLED)
		return;
	t->silent_since_us = now_us;
	if (result == CHOOSE_REFUSED)
		return;
	/* A caller in a hurry must not make a good upstream look bad. */
	if (result == CHOOSE_TIMED_OUT && took_us < LATENCY_DOUBT * usual_us(t))
		return;
	count_failure(t, result != CHOOSE_ANSWERED, now_us);
	/* The time of an error says nothing: an upstream that fails fast is not a fast one. */
	if (result == CHOOSE_ANSWERED)
		count_latency(t, took_us, now_us);
	if (is_outlier(t, now_us))
		eject(t, now_us);
	else if (t->ejections && now_us > t->warm_us)
		t->ejections = 0;
}

void choose_load(struct choose_target *t, const struct peer_load *load, u64 now_us)
{
	t->load = *load;
	t->load_us = now_us;
	t->sent_since = 0;
}

void choose_unreachable(struct choose_target *t, u64 now_us)
{
	t->unreachable_until_us = now_us + UNREACHABLE_US;
}
