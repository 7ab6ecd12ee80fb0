/* Queue memory: requests of low worth make room for those of higher worth. */
#include "node/admit_impl.h"

/* Returns the queue memory that RANK holds above its floor, if a call of WORTH may evict it. */
static size_t spare_bytes(const struct admit *a, u32 rank, u32 worth)
{
	size_t reserved = (size_t)ADMIT_QUEUE_MAX_BYTES / 100 * a->ranks[rank].floor_percent;
	size_t bytes = a->queues[rank].bytes;

	return a->ranks[rank].worth < worth && bytes > reserved ? bytes - reserved : 0;
}

static size_t all_spare_bytes(const struct admit *a, u32 worth)
{
	size_t sum = 0;

	for (u32 i = 0; i < ADMIT_RANKS_MAX; i++)
		sum += spare_bytes(a, i, worth);
	return sum;
}

/* Returns the rank of lowest worth, below WORTH, that has memory to spare; -1 for none. */
static int rank_to_evict(const struct admit *a, u32 worth)
{
	int found = -1;

	for (u32 i = 0; i < ADMIT_RANKS_MAX; i++) {
		if (!spare_bytes(a, i, worth))
			continue;
		if (found < 0 || a->ranks[i].worth < a->ranks[found].worth)
			found = (int)i;
	}
	return found;
}

bool admit_make_room(struct admit *a, const struct admit_req *r)
{
	u32 worth = a->ranks[r->rank].worth;

	if (a->queued_bytes + r->bytes > ADMIT_QUEUE_MAX_BYTES + all_spare_bytes(a, worth))
		return false;
	while (a->queued_bytes + r->bytes > ADMIT_QUEUE_MAX_BYTES) {
		int rank = rank_to_evict(a, worth);
		struct admit_req *victim;

		if (rank < 0)
			return false;
		victim = g_queue_peek_tail(&a->queues[rank].waiting);
		admit_give_up(a, victim, CTR_EVICTED);
	}
	return true;
}
