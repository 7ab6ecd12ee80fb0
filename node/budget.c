#include "node/budget.h"

#include <glib.h>

#define MICRO 1000000ULL
/* Larger limits are reduced to this one, so that products fit into 64 bits. */
#define LIMIT_MAX (1000ULL * 1000 * 1000)

void budget_init(struct budget *b, u64 limit, u64 burst, u64 now_us)
{
	b->limit = MIN(limit, LIMIT_MAX);
	b->burst = CLAMP(burst, 1, MAX(b->limit, 1));
	b->micro_tokens = b->limit ? b->burst * MICRO : 0;
	b->refilled_us = now_us;
	b->taken = 0;
	b->denied = 0;
}

/*
 * The tokens taken in one second are fewer than the burst plus one second of refill, so at
 * most LIMIT whole tokens.
 */
static u64 refill_per_s(const struct budget *b)
{
	return b->limit ? b->limit - b->burst + 1 : 0;
}

static void refill(struct budget *b, u64 now_us)
{
	u64 elapsed_us = now_us > b->refilled_us ? now_us - b->refilled_us : 0;

	if (!elapsed_us)
		return;
	b->refilled_us = now_us;
	/* By then the bucket is full at any refill rate, and the product below cannot overflow. */
	if (elapsed_us > b->burst * MICRO)
		elapsed_us = b->burst * MICRO;
	b->micro_tokens = MIN(b->micro_tokens + elapsed_us * refill_per_s(b), b->burst * MICRO);
}

bool budget_has(struct budget *b, u64 tokens, u64 now_us)
{
	refill(b, now_us);
	return b->limit && tokens <= b->burst && tokens * MICRO <= b->micro_tokens;
}

bool budget_take(struct budget *b, u64 tokens, u64 now_us)
{
	if (!budget_has(b, tokens, now_us)) {
		b->denied++;
		return false;
	}
	b->micro_tokens -= tokens * MICRO;
	b->taken += tokens;
	return true;
}
