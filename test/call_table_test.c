/* The home node's call table, compared with a model that evicts nothing. */
#include "lib/err.h"
#include "lib/rng.h"
#include "node/call_table.h"

#include <glib.h>

#define INCARNATIONS 4
#define SEQS 3000
#define STEPS_PER_SEQ 66

static struct http_msg *reply_of(guint bytes)
{
	struct http_msg *m = http_new();

	m->status = 200;
	g_byte_array_set_size(m->body, bytes);
	return m;
}

/* The model: the true state of every id, kept for the whole test. */
struct model {
	bool has_run;
	bool is_known;
	bool is_active;
	bool was_not_run; /* the table reported it as not-run */
};

static struct model models[INCARNATIONS][SEQS];

static void step_begin(struct call_table *t, struct call_id id, struct model *r)
{
	int err = call_table_begin(t, id);

	if (!err) {
		g_assert_false(r->has_run);
		g_assert_false(r->was_not_run);
		r->has_run = true;
		r->is_active = true;
	} else if (err == ERR_CONFLICT) {
		g_assert_true(r->is_known);
	}
	r->is_known = true;
}

static void step_fence(struct call_table *t, struct call_id id, struct model *r, u64 now_us)
{
	const struct http_msg *reply;
	enum fence_state state = call_table_fence(t, id, now_us, &reply);

	if (r->is_active)
		g_assert_cmpint(state, ==, FENCE_RUNNING);
	if (state == FENCE_NOT_RUN) {
		g_assert_false(r->has_run);
		r->was_not_run = true;
		r->is_known = true;
	}
	if (state == FENCE_DONE) {
		g_assert_true(r->has_run);
		g_assert_cmpuint(reply->body->len, ==, id.seq % 50);
	}
	if (state == FENCE_RUNNING)
		g_assert_true(r->is_active);
}

static void step_end(struct call_table *t, struct rng *rng, struct call_id id, struct model *r,
		     u64 now_us)
{
	if (!r->is_active)
		return;
	r->is_active = false;
	if (rng_below(rng, 3)) {
		call_table_done(t, id, reply_of((guint)(id.seq % 50)), now_us);
		return;
	}
	/* Refused while queued: it did not run. */
	call_table_refuse(t, id, now_us);
	r->has_run = false;
	r->was_not_run = true;
}

static void test_differential(void)
{
	struct rng rng = { .state = 4 };
	struct call_table t;
	u64 now_us = 1;

	call_table_init(&t);
	for (u32 i = 0; i < SEQS * STEPS_PER_SEQ; i++) {
		u32 inc = rng_below(&rng, INCARNATIONS);
		/* Ids come from a sliding window, with a few far behind it. */
		u32 newest = i / STEPS_PER_SEQ;
		u32 back = rng_below(&rng, rng_below(&rng, 50) ? 100 : SEQS);
		u32 seq = newest > back ? newest - back : 0;
		struct call_id id = { .incarnation = inc + 1, .seq = seq };
		struct model *r = &models[inc][seq];

		now_us += rng_below(&rng, 20 * US_PER_MS);
		switch (rng_below(&rng, 4)) {
		case 0:
			step_begin(&t, id, r);
			break;
		case 1:
			step_fence(&t, id, r, now_us);
			break;
		default:
			step_end(&t, &rng, id, r, now_us);
			break;
		}
		if (!rng_below(&rng, 100))
			call_table_expire(&t, now_us);
	}
	g_assert_cmpuint(g_tree_nnodes(t.watermarks), ==, INCARNATIONS);
	call_table_clear(&t);
}

/* A call that ran and was evicted is never reported as not-run, and never starts again. */
static void test_evicted_is_not_reported_as_not_run(void)
{
	struct call_id id = { .incarnation = 7, .seq = 12 };
	struct call_id newer = { .incarnation = 7, .seq = 13 };
	const struct http_msg *reply;
	struct call_table t;

	call_table_init(&t);
	g_assert_cmpint(call_table_begin(&t, id), ==, 0);
	call_table_done(&t, id, reply_of(1), 1);
	call_table_expire(&t, 2 + CALL_RETENTION_US);
	g_assert_cmpint(call_table_fence(&t, id, 3 + CALL_RETENTION_US, &reply), ==, FENCE_UNKNOWN);
	g_assert_cmpint(call_table_begin(&t, id), ==, ERR_NOTFOUND);
	g_assert_cmpint(call_table_fence(&t, newer, 3 + CALL_RETENTION_US, &reply), ==,
			FENCE_NOT_RUN);
	g_assert_cmpint(call_table_begin(&t, newer), ==, ERR_CONFLICT);
	call_table_clear(&t);
}

static void test_bounded(void)
{
	const struct http_msg *reply;
	struct call_table t;

	call_table_init(&t);
	for (u64 i = 1; i <= 3 * CALL_ENDED_MAX; i++) {
		struct call_id id = { .incarnation = 1, .seq = i };

		g_assert_cmpint(call_table_begin(&t, id), ==, 0);
		call_table_done(&t, id, reply_of(1024), i);
		g_assert_cmpuint(t.reply_bytes, <=, CALL_KEPT_REPLIES_MAX_BYTES);
	}
	g_assert_cmpuint(g_hash_table_size(t.records), ==, CALL_ENDED_MAX);
	g_assert_cmpint(call_table_fence(&t, (struct call_id){ 1, 5, 0 }, 0, &reply), ==,
			FENCE_UNKNOWN);
	g_assert_cmpint(
		call_table_fence(&t, (struct call_id){ 1, 3 * CALL_ENDED_MAX, 0 }, 0, &reply), ==,
		FENCE_DONE);
	call_table_clear(&t);
}

static void test_incarnations_are_bounded(void)
{
	const struct http_msg *reply;
	struct call_table t;
	u64 now_us = 1;

	call_table_init(&t);
	for (u64 i = 1; i <= CALL_INCARNATIONS_MAX + 10; i++) {
		struct call_id id = { .incarnation = i, .seq = 3 };

		call_table_begin(&t, id);
		call_table_done(&t, id, NULL, now_us);
		now_us += CALL_RETENTION_US + 1;
		call_table_expire(&t, now_us);
	}
	g_assert_cmpint(g_tree_nnodes(t.watermarks), ==, CALL_INCARNATIONS_MAX);
	g_assert_cmpint(call_table_fence(&t, (struct call_id){ 2, 3, 0 }, now_us, &reply), ==,
			FENCE_UNKNOWN);
	g_assert_cmpint(call_table_begin(&t, (struct call_id){ 2, 9, 0 }), ==, ERR_NOTFOUND);
	call_table_clear(&t);
}

/*
 * Nodes that start at the same moment, as after a power failure, have the same incarnation.
 * Calls of one node must not be mistaken for calls of the other.
 */
static void test_nodes_with_the_same_incarnation(void)
{
	const struct call_id one = { .incarnation = 7, .seq = 1, .origin = 1 };
	const struct call_id other = { .incarnation = 7, .seq = 1, .origin = 2 };
	const struct http_msg *reply;
	struct call_table t;

	call_table_init(&t);
	g_assert_cmpint(call_table_begin(&t, one), ==, 0);
	g_assert_cmpint(call_table_begin(&t, other), ==, 0);
	call_table_done(&t, one, http_new(), 0);
	g_assert_cmpint(call_table_fence(&t, one, 0, &reply), ==, FENCE_DONE);
	g_assert_cmpint(call_table_fence(&t, other, 0, &reply), ==, FENCE_RUNNING);
	/* Evicting calls of one node has no effect on the other. */
	call_table_expire(&t, CALL_RETENTION_US + 1);
	g_assert_cmpint(call_table_begin(&t, one), ==, ERR_NOTFOUND);
	g_assert_cmpint(call_table_begin(&t, (struct call_id){ 7, 0, 3 }), ==, 0);
	call_table_clear(&t);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/call-table/differential", test_differential);
	g_test_add_func("/call-table/evicted-is-not-reported-as-not-run",
			test_evicted_is_not_reported_as_not_run);
	g_test_add_func("/call-table/bounded", test_bounded);
	g_test_add_func("/call-table/incarnations-are-bounded", test_incarnations_are_bounded);
	g_test_add_func("/call-table/nodes-with-the-same-incarnation",
			test_nodes_with_the_same_incarnation);
	return g_test_run();
}
