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

void quantiles_add(struct quantiles *t, u64 time_us)
{
	u32 sorted[QUANTILES_SAMPLES];
	u32 kept;

	t->samples_us[t->n % QUANTILES_SAMPLES] = (u32)CLAMP(time_us, 1, UINT32_MAX);
	t->n++;
	kept = MIN(t->n, (u32)QUANTILES_SAMPLES);
	memcpy(sorted, t->samples_us, kept * sizeof(*sorted));
	qsort(sorted, kept, sizeof(*sorted), by_value);
	t->median_us = sorted[kept / 2];
	t->approx_p90_us = t->median_us + sorted[kept * 3 / 4] - sorted[kept / 4];
}
