#include "node/probe.h"

#include "lib/ctr.h"

#define BURST_PART 4

#define COST_BYTES (PROBE_FRAME_BYTES + PROBE_LOAD_BYTES)

static void init_half(struct probe_budget *b, u64 per_s, u64 bytes_per_s, u64 now_us)
{
	budget_init(&b->count, per_s, per_s / BURST_PART, now_us);
	budget_init(&b->bytes, bytes_per_s, MAX(bytes_per_s / BURST_PART, COST_BYTES), now_us);
}

void probe_init(struct probe *p, u64 per_s, u64 bytes_per_s, u64 now_us)
{
	u64 own = per_s - per_s / 2;
	u64 own_bytes = bytes_per_s - bytes_per_s / 2;

	init_half(&p->own, own, own_bytes, now_us);
	init_half(&p->answers, per_s - own, bytes_per_s - own_bytes, now_us);
}

/* A probe and its bytes, both or none. */
static bool take(struct probe_budget *b, u64 now_us)
{
	if (!budget_has(&b->count, 1, now_us) || !budget_has(&b->bytes, COST_BYTES, now_us))
		return false;
	budget_take(&b->count, 1, now_us);
	budget_take(&b->bytes, COST_BYTES, now_us);
	ctr_add(CTR_PROBE_BYTES, COST_BYTES);
	return true;
}

struct choose_target *probe_next(struct probe *p, struct choose *c, u64 now_us)
{
	struct choose_target *t = choose_probe_target(c, now_us);

	if (!t)
		return NULL;
	if (!take(&p->own, now_us)) {
		ctr_inc(CTR_PROBE_DENIED);
		return NULL;
	}
	/* Asked is as good as told until the next round: a lost answer must not take all. */
	t->probed_us = now_us;
	return t;
}

bool probe_may_answer(struct probe *p, u64 now_us)
{
	if (take(&p->answers, now_us)) {
		ctr_inc(CTR_PROBE_ANSWERED);
		return true;
	}
	ctr_inc(CTR_PROBE_UNANSWERED);
	return false;
}
