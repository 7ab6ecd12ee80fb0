#include "control/quota_window.h"

#include <glib.h>

#define SLOTS (QUOTA_WINDOW_PARTS + 1)

u64 quota_window_sum(struct quota_window *w, u64 length_us, u64 now_us)
{
	u64 part = now_us / MAX(length_us / QUOTA_WINDOW_PARTS, 1);
	u64 sum = 0;

	for (u32 i = 0; w->part < part && i < SLOTS; i++)
		w->granted[++w->part % SLOTS] = 0;
	w->part = MAX(w->part, part);
	for (u32 i = 0; i < SLOTS; i++)
		sum += w->granted[i];
	return sum;
}

void quota_window_grant(struct quota_window *w, u64 count)
{
	w->granted[w->part % SLOTS] += count;
}

void quota_window_return(struct quota_window *w, u64 count)
{
	for (u64 i = 1; i <= SLOTS && count; i++) {
		u64 *granted = &w->granted[(w->part + i) % SLOTS];
		u64 taken = MIN(*granted, count);

		*granted -= taken;
		count -= taken;
	}
}
