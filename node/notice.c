#include "node/notice.h"

static bool set_rate_limit(struct notice *n, const struct dialect_notice *said, u64 now_us)
{
	bool is_same = n->now.has_rate_limit &&
		       n->now.rate_limit_milli_per_s == said->rate_limit_milli_per_s;

	n->named_us = now_us;
	n->now.has_rate_limit = true;
	n->now.rate_limit_milli_per_s = said->rate_limit_milli_per_s;
	return !is_same;
}

static bool end_rate_limit(struct notice *n, u64 sent_us)
{
	if (!n->now.has_rate_limit || sent_us < n->named_us)
		return false;
	n->now.has_rate_limit = false;
	n->now.rate_limit_milli_per_s = 0;
	return true;
}

bool notice_update(struct notice *n, const struct dialect_notice *said, u64 sent_us, u64 now_us)
{
	bool has_left = said->is_leaving && !n->now.is_leaving;
	bool is_limit_changed =
		said->has_rate_limit ? set_rate_limit(n, said, now_us) : end_rate_limit(n, sent_us);

	n->now.is_leaving |= said->is_leaving;
	return has_left || is_limit_changed;
}
