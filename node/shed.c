#include "node/shed.h"

/* Counts halve in this time. */
#define HALF_LIFE_US (1 * US_PER_S)
/* Calls that are sent for each recently accepted one. */
#define SENT_PER_ACCEPTED 2
/* The least share of calls that are sent. */
#define SENT_MIN_PERCENT 2
#define RANKS_MAX 4096
#define ONE_CALL 1000 /* fixed point: what one call adds to a count */

struct shed_rank {
	u64 calls;
	u64 accepted;
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

/* Finds or creates the counts of a rank, halved for the time that has passed. */
static struct shed_rank *get_rank(struct shed *s, const char *service, const char *rank, u64 now_us)
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
		r->accepted /= 2;
	}
	if (now_us >= r->halved_us + HALF_LIFE_US)
		r->halved_us = now_us;
	return r;
}

bool shed_should_refuse(struct shed *s, struct rng *rng, const char *service, const char *rank,
			u32 worth, u32 lowest_worth, u64 now_us)
{
	struct shed_rank *r = get_rank(s, service, rank, now_us);
	u64 sent;

	r->calls += ONE_CALL;
	if (worth >= lowest_worth)
		return false;
	sent = MAX(r->accepted * SENT_PER_ACCEPTED, r->calls * SENT_MIN_PERCENT / 100);
	return (u64)rng_below(rng, ONE_CALL) * r->calls >= sent * ONE_CALL;
}

void shed_accepted(struct shed *s, const char *service, const char *rank, u64 now_us)
{
	get_rank(s, service, rank, now_us)->accepted += ONE_CALL;
}
