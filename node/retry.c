#include "node/retry.h"

#define WHOLE_RETRY 100

void retry_budget_init(struct retry_budget *b)
{
	b->hundredths = RETRY_BUDGET_MAX;
}

void retry_answered(struct retry_budget *b)
{
	b->hundredths += RETRY_SHARE_PERCENT;
	if (b->hundredths > RETRY_BUDGET_MAX)
		b->hundredths = RETRY_BUDGET_MAX;
}

enum retry_verdict retry_decide(struct retry_budget *b, u32 tries, bool is_not_run,
				bool is_idempotent, u64 left_us)
{
	if (!is_not_run && !is_idempotent)
		return RETRY_GIVE_UP;
	if (tries >= RETRY_TRIES_MAX || !left_us)
		return RETRY_GIVE_UP;
	if (b->hundredths < WHOLE_RETRY)
		return RETRY_NO_BUDGET;
	b->hundredths -= WHOLE_RETRY;
	return RETRY_AGAIN;
}
