#include "node/probe.h"

#include "lib/ctr.h"

/* The burst is the limit for one second divided by this. */
#define BURST_DIVISOR 4

#define COST_BYTES (PROBE_FRAME_BYTES + PROBE_LOAD_BYTES)

static void init_half(struct probe_budget *b, u64 per_s, u64 bytes_per_s, u64 now_us)
{
	budget_init(&b->count, per_s, per_s / BURST_DIVISOR, now_us);
	budget_init(&b->bytes, bytes_per_s, MAX(bytes_per_s / BURST_DIVISOR, COST_BYTES), now_us);
}

void probe_init(struct probe *p, u64 per_s, u64 bytes_per_s, u64 now_us)
{
	u64 outgoing = per_s - per_s / 2;
	u64 outgoing_bytes = bytes_per_s - bytes_per_s / 2;

	init_half(&p->outgoing, outgoing, outgoing_bytes, now_us);
	init_half(&p->incoming, per_s - outgoing, bytes_per_s - outgoing_bytes, now_us);
}

/* Takes one probe or answer, and its bytes, from B; takes neither if one budget is used up. */
static bool take_cost(struct probe_budget *b, u64 now_us)
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
	if (!take_cost(&p->outgoing, now_us)) {
		ctr_inc(CTR_PROBE_DENIED);
		return NULL;
	}
	/* The load counts as known until the next round, so a lost answer costs one probe. */
	t->probed_us = now_us;
	return t;
}

bool probe_admit_answer(struct probe *p, u64 now_us)
{
	if (take_cost(&p->incoming, now_us)) {
		ctr_inc(CTR_PROBE_ANSWERED);
		return true;
	}
	ctr_inc(CTR_PROBE_UNANSWERED);
	return false;
}
