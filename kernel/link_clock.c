/* The other end's clock, from the times in its PONGs. */
#include "kernel/link_impl.h"

/* Samples with more than this multiple of the minimum RTT do not update the clock offset. */
#define LINK_OFFSET_RTT_FACTOR 2
/* The minimum RTT expires after this time, so that the offset adapts to a changed network path. */
#define LINK_MIN_RTT_MAX_AGE_US (60 * US_PER_S)

void link_clock_sample(struct link *k, u64 sent_us, u64 remote_us, u64 now_us)
{
	struct link_private *p = k->priv;
	u64 rtt = now_us - sent_us;

	k->rtt_us = k->rtt_us ? (k->rtt_us * 7 + rtt) / 8 : rtt;
	if (now_us - p->min_rtt_at_us > LINK_MIN_RTT_MAX_AGE_US)
		p->min_rtt_us = 0;
	if (!p->min_rtt_us || rtt < p->min_rtt_us) {
		p->min_rtt_us = rtt;
		p->min_rtt_at_us = now_us;
	}
	if (!k->has_clock_offset || rtt <= p->min_rtt_us * LINK_OFFSET_RTT_FACTOR) {
		k->clock_offset_us = (i64)remote_us - (i64)(sent_us + rtt / 2);
		p->offset_rtt_us = rtt;
		k->has_clock_offset = true;
	}
}

u64 link_to_local_us(const struct link *k, u64 remote_us)
{
	i64 uncertainty_us = (i64)(k->priv->offset_rtt_us / 2);
	i64 local_us = (i64)remote_us - k->clock_offset_us - uncertainty_us;

	return local_us > 0 ? (u64)local_us : 0;
}
