#include "node/quantiles.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

static int by_value(const void *a, const void *b)
{
	u32 x = *(const u32 *)a;
	u32 y = *(const u32 *)b;

	return x < y ? -1 : x > y;
}

void quantiles_add(struct quantiles *q, u64 time_us)
{
	u32 sorted[QUANTILES_SAMPLES];
	u32 kept;

	q->samples_us[q->n % QUANTILES_SAMPLES] = (u32)CLAMP(time_us, 1, UINT32_MAX);
	q->n++;
	kept = MIN(q->n, (u32)QUANTILES_SAMPLES);
	memcpy(sorted, q->samples_us, kept * sizeof(*sorted));
	qsort(sorted, kept, sizeof(*sorted), by_value);
	q->median_us = sorted[kept / 2];
	q->approx_p90_us = q->median_us + sorted[kept * 3 / 4] - sorted[kept / 4];
}
