#include "node/shed.h"

/* Counts halve in this time. */
#define HALF_LIFE_US (1 * US_PER_S)
#define SENT_FOR_TAKEN 2
/* Of a hundred calls at least so many are sent. */
#define TRICKLE_PERCENT 2
#define RANKS_MAX 4096
#define ONE 1000 /* a call, in the counts */

struct shed_rank {
	u64 calls;
	u64 taken;
	u64 halved_us;
};

void shed_init(struct shed *s)
{
	s->ranks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void shed_clear(struct shed *s)
{
	g_hash_table_unref(s->ranks);
}

static struct shed_rank *find(struct shed *s, const char *service, const char *rank, u64 now_us)
{
	g_autofree char *key = g_strconcat(service, "/", rank, NULL);
	struct shed_rank *r = g_hash_table_lookup(s->ranks, key);

	if (!r) {
		if (g_hash_table_size(s->ranks) >= RANKS_MAX)
			g_hash_table_remove_all(s->ranks);
		r = g_new0(struct shed_rank, 1);
		r->halved_us = now_us;
		g_hash_table_insert(s->ranks, g_steal_pointer(&key), r);
	}
	for (; now_us >= r->halved_us + HALF_LIFE_US && r->calls; r->halved_us += HALF_LIFE_US) {
		r->calls /= 2;
		r->taken /= 2;
	}
	if (now_us >= r->halved_us + HALF_LIFE_US)
		r->halved_us = now_us;
	return r;
}

bool shed_should_refuse(struct shed *s, struct rng *rng, const char *service, const char *rank,
			u32 worth, u32 lowest_worth, u64 now_us)
{
	struct shed_rank *r = find(s, service, rank, now_us);
	u64 sent;

	r->calls += ONE;
	if (worth >= lowest_worth)
		return false;
	sent = MAX(r->taken * SENT_FOR_TAKEN, r->calls * TRICKLE_PERCENT / 100);
	return (u64)rng_below(rng, ONE) * r->calls >= sent * ONE;
}

void shed_accepted(struct shed *s, const char *service, const char *rank, u64 now_us)
{
	find(s, service, rank, now_us)->taken += ONE;
}
