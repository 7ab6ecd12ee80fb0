#include "node/budget.h"

#include <glib.h>

#define MICRO 1000000ULL
/* Limits beyond this are cut to it, so that products fit into 64 bits. */
#define LIMIT_MAX (1000ULL * 1000 * 1000)

void budget_init(struct budget *b, u64 limit, u64 depth, u64 now_us)
{
	b->limit = MIN(limit, LIMIT_MAX);
	b->depth = CLAMP(depth, 1, MAX(b->limit, 1));
	b->micro_tokens = b->limit ? b->depth * MICRO : 0;
	b->filled_us = now_us;
	b->taken = 0;
	b->denied = 0;
}

/* Less than depth + refill of a second can be taken in a second: at most LIMIT whole tokens. */
static u64 refill_per_s(const struct budget *b)
{
	return b->limit ? b->limit - b->depth + 1 : 0;
}

static void refill(struct budget *b, u64 now_us)
{
	u64 span_us = now_us > b->filled_us ? now_us - b->filled_us : 0;

	if (!span_us)
		return;
	b->filled_us = now_us;
	/* A second refills all there is room for, but for a small refill. */
	if (span_us > b->depth * MICRO)
		span_us = b->depth * MICRO;
	b->micro_tokens = MIN(b->micro_tokens + span_us * refill_per_s(b), b->depth * MICRO);
}

bool budget_has(struct budget *b, u64 tokens, u64 now_us)
{
	refill(b, now_us);
	return b->limit && tokens <= b->depth && tokens * MICRO <= b->micro_tokens;
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
