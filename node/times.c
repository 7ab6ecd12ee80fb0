#include "node/times.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

static int by_value(const void *a, const void *b)
{
	u32 x = *(const u32 *)a;
	u32 y = *(const u32 *)b;

	return x < y ? -1 : x > y;
}

void times_add(struct times *t, u64 time_us)
{
	u32 sorted[TIMES_KEPT];
	u32 kept;

	t->samples_us[t->n % TIMES_KEPT] = (u32)CLAMP(time_us, 1, UINT32_MAX);
	t->n++;
	kept = MIN(t->n, (u32)TIMES_KEPT);
	memcpy(sorted, t->samples_us, kept * sizeof(*sorted));
	qsort(sorted, kept, sizeof(*sorted), by_value);
	t->median_us = sorted[kept / 2];
	t->long_us = t->median_us + sorted[kept * 3 / 4] - sorted[kept / 4];
}
