#include "node/hedge.h"

#define WHOLE_HEDGE 100
#define PERCENTILE 95
/* One sample moves the estimate by at most 1/STEP_DIVISOR of its value. */
#define STEP_DIVISOR 20
#define SAMPLES_MIN 50
#define DELAY_MIN_US (1 * US_PER_MS)
#define DELAYS_MAX 4096

struct hedge_delay {
	u64 percentile_us;
	u32 samples;
};

void hedge_init(struct hedge *h)
{
	h->delays = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	h->hundredths = HEDGE_BUDGET_MAX;
}

void hedge_clear(struct hedge *h)
{
	g_hash_table_unref(h->delays);
}

void hedge_budget_deposit(struct hedge *h)
{
	h->hundredths = MIN(h->hundredths + HEDGE_BUDGET_PERCENT, (u32)HEDGE_BUDGET_MAX);
}

static struct hedge_delay *get_delay(struct hedge *h, const char *service, const char *rank)
{
	g_autofree char *key = g_strconcat(service, "/", rank, NULL);
	struct hedge_delay *d = g_hash_table_lookup(h->delays, key);

	if (d)
		return d;
	/* Bounds the memory as services come and go; dropped estimates are soon rebuilt. */
	if (g_hash_table_size(h->delays) >= DELAYS_MAX)
		g_hash_table_remove_all(h->delays);
	d = g_new0(struct hedge_delay, 1);
	g_hash_table_insert(h->delays, g_steal_pointer(&key), d);
	return d;
}

/*
 * Raises the estimate by 95 % of a step if the call took longer, and lowers it by 5 % of a step
 * otherwise: it settles where 5 calls in 100 take longer.
 */
void hedge_record_latency(struct hedge *h, const char *service, const char *rank, u64 took_us)
{
	struct hedge_delay *d = get_delay(h, service, rank);
	u64 step;

	if (!d->samples)
		d->percentile_us = took_us;
	d->samples++;
	step = d->percentile_us / STEP_DIVISOR + 1;
	if (took_us > d->percentile_us)
		d->percentile_us += step * PERCENTILE / 100;
	else
		d->percentile_us -= step * (100 - PERCENTILE) / 100;
}

u64 hedge_delay_us(struct hedge *h, const char *service, const char *rank)
{
	const struct hedge_delay *d = get_delay(h, service, rank);

	return d->samples < SAMPLES_MIN ? 0 : MAX(d->percentile_us, DELAY_MIN_US);
}

bool hedge_budget_try_withdraw(struct hedge *h)
{
	if (h->hundredths < WHOLE_HEDGE)
		return false;
	h->hundredths -= WHOLE_HEDGE;
	return true;
}
