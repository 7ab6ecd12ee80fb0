#include "node/quota.h"

#include <string.h>

#define TARGET_DIVISOR 4

void quota_init(struct quota *q)
{
	memset(q, 0, sizeof(*q));
	q->returns = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
}

void quota_clear(struct quota *q)
{
	g_clear_pointer(&q->returns, g_hash_table_unref);
}

void quota_add(struct quota *q, struct quota_call *call, u64 target_us, u64 now_us)
{
	u64 wait_us = QUOTA_WAIT_MAX_US;

	if (target_us)
		wait_us = MIN(wait_us, target_us / TARGET_DIVISOR);
	call->verdict = QUOTA_PENDING;
	call->wait_ms = 0;
	call->request = 0;
	call->until_us = now_us + wait_us;
	call->link = (GList){ .data = call };
	g_queue_push_tail_link(&q->waiting, &call->link);
}

void quota_remove(struct quota *q, struct quota_call *call)
{
	g_queue_unlink(call->verdict == QUOTA_PENDING ? &q->waiting : &q->decided, &call->link);
}

static void return_tokens(struct quota *q, u64 organisation, u32 count, u64 now_us)
{
	u32 before = GPOINTER_TO_UINT(g_hash_table_lookup(q->returns, &organisation));
	u64 *key = g_new(u64, 1);

	*key = organisation;
	g_hash_table_insert(q->returns, key, GUINT_TO_POINTER(before + count));
	if (!q->return_due_us)
		q->return_due_us = now_us + QUOTA_RETURN_US;
}

void quota_return(struct quota *q, u64 organisation, u64 now_us)
{
	return_tokens(q, organisation, 1, now_us);
}

static void decide(struct quota *q, struct quota_call *call, enum quota_verdict verdict)
{
	g_queue_unlink(&q->waiting, &call->link);
	call->verdict = verdict;
	g_queue_push_tail_link(&q->decided, &call->link);
}

/* Returns when the next request has to be sent, if any. */
static u64 request_due_us(const struct quota *q)
{
	u64 due = q->return_due_us ? q->return_due_us : UINT64_MAX;

	if (q->is_pending)
		return q->sent_us + QUOTA_REPEAT_US;
	for (const GList *l = q->waiting.tail; l; l = l->prev)
		if (!((const struct quota_call *)l->data)->request)
			return q->not_before_us;
	return MAX(due, q->not_before_us);
}

u64 quota_due_us(const struct quota *q)
{
	u64 due = request_due_us(q);

	for (const GList *l = q->waiting.head; l; l = l->next)
		due = MIN(due, ((const struct quota_call *)l->data)->until_us);
	return due;
}

static void expire(struct quota *q, u64 now_us)
{
	GList *next;

	for (GList *l = q->waiting.head; l; l = next) {
		struct quota_call *call = l->data;

		next = l->next;
		if (call->until_us <= now_us)
			decide(q, call, QUOTA_NOT_KNOWN);
	}
}

/* The answer to the last request has not come, or did not say enough: its calls are asked for
 * again. */
static void forget_request(struct quota *q)
{
	q->is_pending = false;
	for (GList *l = q->waiting.head; l; l = l->next)
		((struct quota_call *)l->data)->request = 0;
}

static struct quota_want *find_want(struct quota_request *r, u64 organisation)
{
	struct quota_want want = { .organisation = organisation };

	for (guint i = 0; i < r->wants->len; i++) {
		struct quota_want *w = &g_array_index(r->wants, struct quota_want, i);

		if (w->organisation == organisation)
			return w;
	}
	if (r->wants->len == QUOTA_ITEMS_MAX)
		return NULL;
	g_array_append_val(r->wants, want);
	return &g_array_index(r->wants, struct quota_want, r->wants->len - 1);
}

static void put_calls(struct quota *q, struct quota_request *out)
{
	for (GList *l = q->waiting.head; l; l = l->next) {
		struct quota_call *call = l->data;
		struct quota_want *want = find_want(out, call->organisation);

		if (!want)
			continue;
		call->request = out->number;
		if (call->is_again)
			want->wanted_again++;
		else
			want->wanted++;
	}
}

static void put_returns(struct quota *q, struct quota_request *out)
{
	GHashTableIter iter;
	gpointer key;
	gpointer count;

	g_hash_table_iter_init(&iter, q->returns);
	while (g_hash_table_iter_next(&iter, &key, &count)) {
		struct quota_want *want = find_want(out, *(const u64 *)key);

		if (!want)
			return;
		want->returned += GPOINTER_TO_UINT(count);
		g_hash_table_iter_remove(&iter);
	}
	q->return_due_us = 0;
}

bool quota_step(struct quota *q, struct quota_request *out, u64 now_us)
{
	expire(q, now_us);
	if (request_due_us(q) > now_us)
		return false;
	out->is_repeat = q->is_pending;
	forget_request(q);
	out->number = ++q->number;
	put_calls(q, out);
	put_returns(q, out);
	if (!out->wants->len)
		return false;
	q->is_pending = q->waiting.length;
	q->sent_us = now_us;
	q->not_before_us = now_us + QUOTA_INTERVAL_US;
	return true;
}

/* Gives the calls of SHARE's organisation what was granted, oldest first. */
static void apply(struct quota *q, const struct quota_grant *grant, const struct quota_share *share,
		  u64 now_us)
{
	u32 granted[] = { share->granted, share->granted_again };
	u64 wait_ms = share->wait_ms;
	GList *next;

	for (GList *l = q->waiting.head; l; l = next) {
		struct quota_call *call = l->data;

		next = l->next;
		if (call->organisation != share->organisation || call->request != grant->number)
			continue;
		if (granted[call->is_again]) {
			granted[call->is_again]--;
			decide(q, call, QUOTA_GRANTED);
		} else if (grant->is_known) {
			call->wait_ms = (u32)MIN(wait_ms, (u64)UINT32_MAX);
			wait_ms += share->spacing_ms;
			decide(q, call, QUOTA_EXCEEDED);
		}
	}
	if (granted[0] + granted[1])
		return_tokens(q, share->organisation, granted[0] + granted[1], now_us);
}

void quota_receive(struct quota *q, const struct quota_grant *grant, u64 now_us)
{
	for (guint i = 0; i < grant->shares->len; i++)
		apply(q, grant, &g_array_index(grant->shares, struct quota_share, i), now_us);
	if (!q->is_pending || grant->number != q->number)
		return;
	forget_request(q);
	/* Calls that came after the request are asked for now, those that got no answer later. */
	q->not_before_us = q->sent_us + (grant->is_known ? QUOTA_INTERVAL_US : QUOTA_REPEAT_US);
}

void quota_abandon_all(struct quota *q)
{
	while (q->waiting.head)
		decide(q, q->waiting.head->data, QUOTA_NOT_KNOWN);
}

struct quota_call *quota_next_decided(struct quota *q)
{
	GList *l = g_queue_pop_head_link(&q->decided);

	return l ? l->data : NULL;
}
