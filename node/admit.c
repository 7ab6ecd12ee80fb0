#include "node/admit.h"

#include <string.h>

#define SERVICE_SMOOTHING 8
#define SERVICE_FIRST_GUESS_US (10 * US_PER_MS)

void admit_init(struct admit *a)
{
	memset(a, 0, sizeof(*a));
	for (u32 i = 0; i < ADMIT_RANKS_MAX; i++)
		a->queues[i] = g_queue_new();
	a->service_us = SERVICE_FIRST_GUESS_US;
}

void admit_clear(struct admit *a)
{
	for (u32 i = 0; i < ADMIT_RANKS_MAX; i++)
		g_queue_free(a->queues[i]);
}

void admit_set_slots(struct admit *a, u32 slots)
{
	a->slots = slots;
	a->limit = slots;
}

void admit_set_ranks(struct admit *a, const struct admit_rank *ranks, u32 n)
{
	a->nranks = MIN(n, (u32)ADMIT_RANKS_MAX);
	memcpy(a->ranks, ranks, a->nranks * sizeof(*ranks));
}

/* Calls that would be served before a new one of RANK. */
static u32 ahead_of(const struct admit *a, u32 rank)
{
	u32 n = 0;

	for (u32 i = 0; i < a->nranks; i++)
		if (a->ranks[i].worth >= a->ranks[rank].worth)
			n += g_queue_get_length(a->queues[i]);
	return n;
}

static u64 expected_wait_us(const struct admit *a, u32 rank)
{
	u32 ahead = ahead_of(a, rank);

	if (a->running < a->limit && !ahead)
		return 0;
	if (!a->limit)
		return UINT64_MAX;
	return (ahead + 1) * a->service_us / a->limit;
}

int admit_offer(struct admit *a, struct admit_req *r, u64 now_us)
{
	u64 wait = expected_wait_us(a, r->rank);
	u64 left = r->deadline_us > now_us ? r->deadline_us - now_us : 0;

	if (wait > MIN(left, a->ranks[r->rank].target_us))
		return -CTR_QUEUE_WAIT;
	if (a->queued_bytes + r->bytes > ADMIT_QUEUE_MAX_BYTES)
		return -CTR_QUEUE_MEMORY;
	r->state = ADMIT_QUEUED;
	r->queued_us = now_us;
	a->queued++;
	a->queued_bytes += r->bytes;
	g_queue_push_tail(a->queues[r->rank], r);
	return 0;
}

static void leave_queue(struct admit *a, struct admit_req *r)
{
	a->queued--;
	a->queued_bytes -= r->bytes;
	r->state = ADMIT_LEFT;
}

struct admit_req *admit_next(struct admit *a, u64 now_us)
{
	struct admit_req *r;
	int best = -1;

	if (a->running >= a->limit)
		return NULL;
	for (u32 i = 0; i < ADMIT_RANKS_MAX; i++) {
		if (g_queue_is_empty(a->queues[i]))
			continue;
		if (best < 0 || a->ranks[i].worth > a->ranks[best].worth)
			best = (int)i;
	}
	if (best < 0)
		return NULL;
	r = g_queue_pop_head(a->queues[best]);
	leave_queue(a, r);
	r->state = ADMIT_RUNNING;
	r->started_us = now_us;
	a->running++;
	return r;
}

struct admit_req *admit_expired(struct admit *a, u64 now_us)
{
	for (u32 i = 0; i < ADMIT_RANKS_MAX; i++) {
		for (GList *l = a->queues[i]->head; l; l = l->next) {
			struct admit_req *r = l->data;

			if (r->deadline_us > now_us)
				continue;
			g_queue_delete_link(a->queues[i], l);
			leave_queue(a, r);
			return r;
		}
	}
	return NULL;
}

void admit_done(struct admit *a, struct admit_req *r, u64 now_us)
{
	u64 took = now_us - r->started_us;

	a->running--;
	r->state = ADMIT_LEFT;
	a->service_us = (a->service_us * (SERVICE_SMOOTHING - 1) + took) / SERVICE_SMOOTHING;
}

void admit_cancel(struct admit *a, struct admit_req *r)
{
	if (r->state != ADMIT_QUEUED)
		return;
	g_queue_remove(a->queues[r->rank], r);
	leave_queue(a, r);
}

u32 admit_lowest_worth(const struct admit *a, u64 now_us)
{
	u32 lowest = 0;

	(void)now_us;
	for (u32 i = 0; i < a->nranks; i++)
		if (expected_wait_us(a, i) > a->ranks[i].target_us)
			lowest = MAX(lowest, a->ranks[i].worth + 1);
	return lowest;
}
