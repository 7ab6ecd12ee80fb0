#include "test/fakes/scenario.h"

#include <string.h>

#define STEP_US 100
#define TIMEOUT_US (30 * US_PER_S)
#define REQUEST_BYTES (64 * 1024)

const struct admit_rank scenario_ranks[SCENARIO_RANKS] = {
	{ .worth = 100, .target_us = 250 * US_PER_MS, .floor_percent = 10 },
	{ .worth = 1, .target_us = 1000 * US_PER_MS, .floor_percent = 20 },
};

void scenario_init(struct scenario *s, u64 top_per_s, u64 low_per_s)
{
	memset(s, 0, sizeof(*s));
	admit_init(&s->a);
	admit_set_slots(&s->a, SCENARIO_SLOTS);
	admit_set_ranks(&s->a, scenario_ranks, SCENARIO_RANKS);
	s->rng.state = 4;
	s->now_us = US_PER_S;
	s->running = g_ptr_array_new_with_free_func(g_free);
	s->per_s[SCENARIO_TOP] = top_per_s;
	s->per_s[SCENARIO_LOW] = low_per_s;
	s->service_us[SCENARIO_TOP] = 10 * US_PER_MS;
	s->service_us[SCENARIO_LOW] = 20 * US_PER_MS;
}

void scenario_clear(struct scenario *s)
{
	for (u32 i = 0; i < ADMIT_RANKS_MAX; i++)
		while (s->a.queues[i].waiting.length) {
			struct admit_req *r = s->a.queues[i].waiting.head->data;

			admit_cancel(&s->a, r);
			g_free(r);
		}
	g_ptr_array_unref(s->running);
	admit_clear(&s->a);
}

static void arrive(struct scenario *s, u32 rank)
{
	struct admit_req *r;

	if (rng_below(&s->rng, US_PER_S / STEP_US) >= s->per_s[rank])
		return;
	r = g_new0(struct admit_req, 1);
	r->rank = rank;
	r->deadline_us = s->now_us + TIMEOUT_US;
	r->bytes = REQUEST_BYTES;
	s->arrived[rank]++;
	if (admit_offer(&s->a, r, s->now_us))
		g_free(r);
}

static bool has_ended(struct scenario *s, const struct admit_req *r)
{
	u64 service = s->service_us[r->rank];

	if (s->parallel && s->running->len > s->parallel)
		service = service * s->running->len * s->running->len / (s->parallel * s->parallel);
	return rng_below(&s->rng, (u32)(service / STEP_US)) == 0;
}

static void end_calls(struct scenario *s)
{
	for (guint i = s->running->len; i > 0; i--) {
		struct admit_req *r = g_ptr_array_index(s->running, i - 1);

		s->slot_time_us[r->rank] += STEP_US;
		if (!has_ended(s, r))
			continue;
		admit_done(&s->a, r, true, s->now_us);
		s->done[r->rank]++;
		s->in_target[r->rank] +=
			s->now_us - r->queued_us <= scenario_ranks[r->rank].target_us;
		g_ptr_array_remove_index_fast(s->running, i - 1);
	}
}

void scenario_run(struct scenario *s, u64 for_us)
{
	u64 end = s->now_us + for_us;
	struct admit_req *r;

	for (; s->now_us < end; s->now_us += STEP_US) {
		end_calls(s);
		arrive(s, SCENARIO_TOP);
		arrive(s, SCENARIO_LOW);
		while ((r = admit_expired(&s->a, s->now_us)))
			g_free(r);
		while ((r = admit_next(&s->a, s->now_us)))
			g_ptr_array_add(s->running, r);
		s->most_bytes = MAX(s->most_bytes, s->a.queued_bytes);
	}
}

void scenario_reset_counts(struct scenario *s)
{
	memset(s->slot_time_us, 0, sizeof(s->slot_time_us));
	memset(s->arrived, 0, sizeof(s->arrived));
	memset(s->done, 0, sizeof(s->done));
	memset(s->in_target, 0, sizeof(s->in_target));
}
