#include "node/notice.h"

static bool may_end_limit(const struct notice *n, u64 sent_us)
{
	return n->now.has_rate_limit && sent_us >= n->named_us;
}

/* Returns whether what is said would end or raise the rate limit in force. */
static bool is_rise(const struct notice *n, const struct dialect_notice *said, u64 sent_us)
{
	if (!said->has_rate_limit)
		return may_end_limit(n, sent_us);
	return n->now.has_rate_limit &&
	       said->rate_limit_milli_per_s > n->now.rate_limit_milli_per_s;
}

/* Returns whether a rise has to be heard once more before it counts. */
static bool is_rise_in_doubt(struct notice *n, const struct dialect_notice *said, u64 sent_us,
			     bool may_be_copy)
{
	bool is_first = !n->is_rise_heard;

	n->is_rise_heard = may_be_copy && is_rise(n, said, sent_us);
	return n->is_rise_heard && is_first;
}

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
	if (!may_end_limit(n, sent_us))
		return false;
	n->now.has_rate_limit = false;
	n->now.rate_limit_milli_per_s = 0;
	return true;
}

static bool update_rate_limit(struct notice *n, const struct dialect_notice *said, u64 sent_us,
			      u64 now_us)
{
	return said->has_rate_limit ? set_rate_limit(n, said, now_us) : end_rate_limit(n, sent_us);
}

bool notice_update(struct notice *n, const struct dialect_notice *said, u64 sent_us, u64 now_us,
		   bool may_be_copy)
{
	bool has_left = said->is_leaving && !n->now.is_leaving;
	bool is_limit_changed = !is_rise_in_doubt(n, said, sent_us, may_be_copy) &&
				update_rate_limit(n, said, sent_us, now_us);

	n->now.is_leaving |= said->is_leaving;
	return has_left || is_limit_changed;
}
