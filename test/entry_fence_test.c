/* The fence: the entry node asks a home node for a call's outcome after their link broke. */
#include "test/fakes/entry_case.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

static struct entry_case t;

static void start_broken_call(struct entry_caller *c, struct call_id *id)
{
	entry_case_start(&t);
	entry_caller_start(&t, c, "POST", "one hoopoe", 0);
	entry_expect_event(&t, PEER_EVENT_UP);
	*id = entry_expect_call(&t, "one hoopoe");
	fake_peer_close_link(&t.home);
}

/* As start_broken_call, then waits until the link is up again and the fence has arrived. */
static void start_fenced_call(struct entry_caller *c, struct call_id *id)
{
	start_broken_call(c, id);
	entry_expect_event(&t, PEER_EVENT_UP);
	entry_expect_id(&t, PEER_FENCE, *id);
}

/* After its link broke, a call is looked up by id and never sent a second time. */
static void test_fence_not_run(void)
{
	struct call_id id;
	struct entry_caller c;

	start_fenced_call(&c, &id);
	fake_peer_fenced(&t.home, id, FENCE_NOT_RUN);
	entry_caller_finish(&c, 503, "not-run", NULL);
	g_assert_null(g_async_queue_try_pop(t.home.events));
	entry_case_stop(&t);
}

static void test_fence_done(void)
{
	struct call_id id;
	struct entry_caller c;

	start_fenced_call(&c, &id);
	fake_peer_fenced(&t.home, id, FENCE_DONE);
	fake_peer_reply(&t.home, id, "noted");
	entry_caller_finish(&c, 200, NULL, "noted");
	g_assert_null(g_async_queue_try_pop(t.home.events));
	entry_case_stop(&t);
}

/* If the link breaks again while the call is running, the entry node sends another fence. */
static void test_fence_running(void)
{
	struct call_id id;
	struct entry_caller c;

	start_fenced_call(&c, &id);
	fake_peer_fenced(&t.home, id, FENCE_RUNNING);
	fake_peer_close_link(&t.home);
	entry_expect_event(&t, PEER_EVENT_UP);
	entry_expect_id(&t, PEER_FENCE, id);
	fake_peer_fenced(&t.home, id, FENCE_RUNNING);
	fake_peer_reply(&t.home, id, "noted");
	entry_caller_finish(&c, 200, NULL, "noted");
	entry_case_stop(&t);
}

static void test_fence_unknown(void)
{
	struct call_id id;
	struct entry_caller c;

	start_fenced_call(&c, &id);
	fake_peer_fenced(&t.home, id, FENCE_UNKNOWN);
	entry_caller_finish(&c, 502, "unknown", NULL);
	entry_case_stop(&t);
}

/* A restarted home node has lost its call table, so no fence is sent. */
static void test_new_incarnation(void)
{
	struct call_id id;
	struct entry_caller c;

	entry_case_start(&t);
	entry_caller_start(&t, &c, "POST", "one hoopoe", 0);
	entry_expect_event(&t, PEER_EVENT_UP);
	id = entry_expect_call(&t, "one hoopoe");
	t.home.self.incarnation++;
	fake_peer_close_link(&t.home);
	entry_expect_event(&t, PEER_EVENT_UP);
	entry_caller_finish(&c, 502, "unknown", NULL);
	g_assert_null(g_async_queue_try_pop(t.home.events));
	g_assert_cmpuint(id.seq, >, 0);
	entry_case_stop(&t);
}

/* If a home node does not return, the directory ends the wait long before the deadline. */
static void check_directory_ends_fence(u64 incarnation_increase, enum dir_state state)
{
	u64 downs = ctr_get(CTR_LINK_DOWN);
	struct call_id id;
	struct entry_caller c;

	entry_case_start(&t);
	entry_caller_start(&t, &c, "POST", "one hoopoe", 0);
	entry_expect_event(&t, PEER_EVENT_UP);
	id = entry_expect_call(&t, "one hoopoe");
	fake_peer_stop_listening(&t.home);
	fake_peer_close_link(&t.home);
	/* Directory changes have no effect until the entry node has noticed the broken link. */
	while (ctr_get(CTR_LINK_DOWN) == downs)
		g_usleep(US_PER_MS);
	/* Changes of an older incarnation do not concern the call. */
	fake_node_set_directory_entry(&t.node, t.home.name, t.home.self.incarnation - 1, DIR_GONE);
	g_assert_cmpuint(entry_in_progress(t.node.node), ==, 1);
	fake_node_set_directory_entry(&t.node, t.home.name,
				      t.home.self.incarnation + incarnation_increase, state);
	entry_caller_finish(&c, 502, "unknown", NULL);
	g_assert_cmpuint(id.seq, >, 0);
	entry_case_stop(&t);
}

static void test_directory_ends_fence(void)
{
	check_directory_ends_fence(0, DIR_GONE);
	check_directory_ends_fence(1, DIR_UP);
}

/*
 * Guards against: what a home node says once more of a fenced call ends the call's next attempt,
 * which runs, or starts a third.
 */
static void test_frames_that_come_after_a_fence(void)
{
	u64 late = ctr_get(CTR_LATE_REPLY);
	struct fake_peer other;
	struct call_id fenced;
	struct call_id running;
	struct entry_caller c;

	start_fenced_call(&c, &fenced);
	fake_peer_start(&other, true);
	fake_node_set_directory_entry(&t.node, other.name, other.self.incarnation, DIR_UP);
	fake_peer_fenced(&t.home, fenced, FENCE_NOT_RUN);
	peer_event_free(fake_peer_expect(&other, PEER_EVENT_UP));
	running = peer_event_take_id(fake_peer_expect(&other, PEER_CALL));
	fake_peer_fenced(&t.home, fenced, FENCE_NOT_RUN);
	fake_peer_fenced(&t.home, fenced, FENCE_UNKNOWN);
	fake_peer_fenced(&t.home, fenced, FENCE_DONE);
	fake_peer_reply(&t.home, fenced, "a late answer");
	fake_peer_refuse(&t.home, fenced, CTR_UPSTREAM_SHED, true);
	fake_peer_refuse(&t.home, fenced, CTR_UPSTREAM_BROKEN, false);
	/* Nobody has asked for the outcome of the attempt that runs. */
	fake_peer_fenced(&other, running, FENCE_NOT_RUN);
	fake_peer_fenced(&other, running, FENCE_UNKNOWN);
	entry_wait_counter(CTR_LATE_REPLY, late + 6);
	fake_peer_reply(&other, running, "noted");
	fake_peer_refuse(&other, running, CTR_UPSTREAM_SHED, true);
	entry_caller_finish(&c, 200, NULL, "noted");
	fake_peer_stop(&other);
	entry_case_stop(&t);
}

/* Guards against: a call that runs is told as not run by an earlier outcome of its fence. */
static void test_running_after_a_fence(void)
{
	struct call_id id;
	struct entry_caller c;

	start_fenced_call(&c, &id);
	fake_peer_fenced(&t.home, id, FENCE_RUNNING);
	fake_peer_fenced(&t.home, id, FENCE_RUNNING);
	fake_peer_refuse(&t.home, id, CTR_UPSTREAM_BROKEN, false);
	fake_peer_refuse(&t.home, id, CTR_UPSTREAM_SHED, true);
	fake_peer_fenced(&t.home, id, FENCE_NOT_RUN);
	entry_caller_finish(&c, 502, "unknown", NULL);
	entry_case_stop(&t);
}

/* The link breaks within the body of the reply. */
static void cut_reply(struct entry_caller *c, const char *method, struct call_id *id)
{
	entry_case_start(&t);
	entry_caller_start(&t, c, method, strcmp(method, "POST") ? NULL : "one hoopoe", 0);
	entry_expect_event(&t, PEER_EVENT_UP);
	*id = entry_expect_call(&t, NULL);
	fake_peer_send_reply_head(&t.home, *id, 10);
	fake_peer_send_body(&t.home, *id, "not");
	fake_peer_close_link(&t.home);
}

/* Guards against: a reply whose body was cut between two nodes is passed on as whole. */
static void test_reply_cut_between_nodes(void)
{
	struct call_id id;
	struct entry_caller c;

	cut_reply(&c, "POST", &id);
	entry_expect_event(&t, PEER_EVENT_UP);
	entry_expect_id(&t, PEER_FENCE, id);
	fake_peer_fenced(&t.home, id, FENCE_DONE);
	fake_peer_send_reply_head(&t.home, id, 5);
	fake_peer_send_body(&t.home, id, "noted");
	entry_caller_finish(&c, 200, NULL, "noted");
	entry_case_stop(&t);
	cut_reply(&c, "GET", &id);
	entry_caller_finish(&c, 502, "unknown", NULL);
	entry_case_stop(&t);
}

int main(int argc, char **argv)
{
	int ret;

	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entry/fence-not-run", test_fence_not_run);
	g_test_add_func("/entry/fence-done", test_fence_done);
	g_test_add_func("/entry/fence-running", test_fence_running);
	g_test_add_func("/entry/fence-unknown", test_fence_unknown);
	g_test_add_func("/entry/new-incarnation", test_new_incarnation);
	g_test_add_func("/entry/directory-ends-fence", test_directory_ends_fence);
	g_test_add_func("/entry/frames-that-come-after-a-fence",
			test_frames_that_come_after_a_fence);
	g_test_add_func("/entry/running-after-a-fence", test_running_after_a_fence);
	g_test_add_func("/entry/reply-cut-between-nodes", test_reply_cut_between_nodes);
	ret = g_test_run();
	fflush(stdout);
	_exit(ret); /* node threads are still running */
}
