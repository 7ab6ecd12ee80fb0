#include "node/retry_quota.h"

#define WHOLE 100 /* a send, in the counts */
/* The part of the bound that sends of this node's own requests may use. */
#define OWN_PART 2
#define SERVICES_MAX 4096

struct retry_quota_bucket {
	u64 saved; /* in hundredths of a send */
};

void retry_quota_init(struct retry_quota *s, u64 percent, u64 slack)
{
	s->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->nodes = 1;
	retry_quota_set(s, percent, slack);
}

void retry_quota_set(struct retry_quota *s, u64 percent, u64 slack)
{
	s->percent = percent;
	s->slack = slack;
}

void retry_quota_clear(struct retry_quota *s)
{
	g_hash_table_unref(s->services);
}

void retry_quota_set_nodes(struct retry_quota *s, u32 nodes)
{
	s->nodes = MAX(nodes, 1u);
}

/* What a node saves up is its part of the slack, so that bursts of all nodes stay within it. */
static u64 saved_max(const struct retry_quota *s)
{
	return WHOLE + s->slack * WHOLE / OWN_PART / s->nodes;
}

static struct retry_quota_bucket *find(struct retry_quota *s, const char *service)
{
	struct retry_quota_bucket *one = g_hash_table_lookup(s->services, service);

	if (one)
		return one;
	if (g_hash_table_size(s->services) >= SERVICES_MAX)
		g_hash_table_remove_all(s->services);
	one = g_new0(struct retry_quota_bucket, 1);
	one->saved = WHOLE;
	g_hash_table_insert(s->services, g_strdup(service), one);
	return one;
}

void retry_quota_deposit(struct retry_quota *s, const char *service)
{
	struct retry_quota_bucket *one = find(s, service);

	one->saved = MIN(one->saved + s->percent / OWN_PART, saved_max(s));
}

bool retry_quota_try_withdraw(struct retry_quota *s, const char *service)
{
	struct retry_quota_bucket *one = find(s, service);

	if (one->saved < WHOLE)
		return false;
	one->saved -= WHOLE;
	return true;
}
