#include "node/retry_quota.h"

#define TOKENS_PER_SEND 100
/* Retries and hedges use 1/OWN_SHARE_DIVISOR of the bound; nested calls use the rest. */
#define OWN_SHARE_DIVISOR 2
#define SERVICES_MAX 4096

struct retry_quota_bucket {
	u64 tokens;
};

void retry_quota_init(struct retry_quota *q, u64 percent, u64 slack)
{
	q->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	q->nodes = 1;
	retry_quota_set(q, percent, slack);
}

void retry_quota_set(struct retry_quota *q, u64 percent, u64 slack)
{
	q->percent = percent;
	q->slack = slack;
}

void retry_quota_clear(struct retry_quota *q)
{
	g_hash_table_unref(q->services);
}

void retry_quota_set_nodes(struct retry_quota *q, u32 nodes)
{
	q->nodes = MAX(nodes, 1u);
}

/* Bounds a bucket to the node's part of the slack, so that bursts of all nodes stay within it. */
static u64 tokens_max(const struct retry_quota *q)
{
	return TOKENS_PER_SEND + q->slack * TOKENS_PER_SEND / OWN_SHARE_DIVISOR / q->nodes;
}

static struct retry_quota_bucket *get_bucket(struct retry_quota *q, const char *service)
{
	struct retry_quota_bucket *bucket = g_hash_table_lookup(q->services, service);

	if (bucket)
		return bucket;
	if (g_hash_table_size(q->services) >= SERVICES_MAX)
		g_hash_table_remove_all(q->services);
	bucket = g_new0(struct retry_quota_bucket, 1);
	bucket->tokens = TOKENS_PER_SEND;
	g_hash_table_insert(q->services, g_strdup(service), bucket);
	return bucket;
}

void retry_quota_deposit(struct retry_quota *q, const char *service)
{
	struct retry_quota_bucket *bucket = get_bucket(q, service);

	bucket->tokens = MIN(bucket->tokens + q->percent / OWN_SHARE_DIVISOR, tokens_max(q));
}

bool retry_quota_try_withdraw(struct retry_quota *q, const char *service)
{
	struct retry_quota_bucket *bucket = get_bucket(q, service);

	if (bucket->tokens < TOKENS_PER_SEND)
		return false;
	bucket->tokens -= TOKENS_PER_SEND;
	return true;
}
