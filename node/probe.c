#include "node/probe.h"

#include "lib/ctr.h"

#define BURST_PART 4

void probe_init(struct probe *p, u64 per_s, u64 bytes_per_s, u64 now_us)
{
	budget_init(&p->count, per_s, per_s / BURST_PART, now_us);
	budget_init(&p->bytes, bytes_per_s,
		    MAX(bytes_per_s / BURST_PART, PROBE_FRAME_BYTES + PROBE_LOAD_BYTES), now_us);
}

/* Both or none. */
static bool take(struct probe *p, u64 probes, u64 bytes, u64 now_us)
{
	if (!budget_has(&p->count, probes, now_us) || !budget_has(&p->bytes, bytes, now_us)) {
		ctr_inc(CTR_PROBE_DENIED);
		return false;
	}
	budget_take(&p->count, probes, now_us);
	budget_take(&p->bytes, bytes, now_us);
	ctr_add(CTR_PROBE_BYTES, bytes);
	return true;
}

struct choose_target *probe_next(struct probe *p, struct choose *c, u64 now_us)
{
	struct choose_target *t = choose_to_probe(c, now_us);

	if (!t || !take(p, 1, PROBE_FRAME_BYTES + PROBE_LOAD_BYTES, now_us))
		return NULL;
	/* Asked is as good as told until the next round: a lost answer must not take all. */
	t->probed_us = now_us;
	return t;
}

bool probe_answer(struct probe *p, u64 now_us)
{
	return take(p, 1, PROBE_FRAME_BYTES + PROBE_LOAD_BYTES, now_us);
}
