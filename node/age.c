#include "node/age.h"

#include <glib.h>

#define SMOOTHING 64
/* So many requests of the route must tell the whole time. */
#define WHOLE_PART_MIN 0.4
/* Times of one kind of request may differ by rounding, and by the way to this node. */
#define SAME_PERCENT 2
/* After so many requests that tell less, the whole time is another one now. */
#define OTHERS_MAX 256

u64 age_ms(struct age *a, u64 left_ms)
{
	u64 same_ms = a->whole_ms * SAME_PERCENT / 100;
	bool is_whole = left_ms + same_ms >= a->whole_ms;

	if (left_ms > a->whole_ms || a->others >= OTHERS_MAX)
		*a = (struct age){ .whole_ms = left_ms, .whole_part = a->whole_part };
	a->others = is_whole ? 0 : a->others + 1;
	a->whole_part += ((is_whole ? 1 : 0) - a->whole_part) / SMOOTHING;
	if (is_whole || a->whole_part < WHOLE_PART_MIN)
		return 0;
	return a->whole_ms - left_ms;
}
