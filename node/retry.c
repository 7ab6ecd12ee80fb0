#include "node/retry.h"

#define WHOLE_RETRY 100
/* Time reserved for the answer to travel back over one hop. */
#define HOP_US (1 * US_PER_MS)

void retry_budget_init(struct retry_budget *b)
{
	b->hundredths = RETRY_BUDGET_MAX;
}

void retry_budget_deposit(struct retry_budget *b)
{
	b->hundredths += RETRY_BUDGET_PERCENT;
	if (b->hundredths > RETRY_BUDGET_MAX)
		b->hundredths = RETRY_BUDGET_MAX;
}

enum retry_verdict retry_decide(struct retry_budget *b, u32 attempts, struct retry_failure failure,
				bool is_idempotent, u64 remaining_us)
{
	if (failure.is_refused_below)
		return RETRY_GIVE_UP;
	if (!failure.is_not_run && !is_idempotent)
		return RETRY_GIVE_UP;
	if (attempts >= RETRY_ATTEMPTS_MAX || !remaining_us)
		return RETRY_GIVE_UP;
	if (b->hundredths < WHOLE_RETRY)
		return RETRY_NO_BUDGET;
	b->hundredths -= WHOLE_RETRY;
	return RETRY_AGAIN;
}

u64 retry_upstream_timeout_ms(u64 deadline_us, u64 now_us)
{
	u64 left = deadline_us > now_us ? deadline_us - now_us : 0;

	return left > HOP_US ? (left - HOP_US) / US_PER_MS : 0;
}
