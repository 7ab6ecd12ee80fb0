/* The entry node, with a home node simulated by the test: replies, deadlines, other homes. */
#include "test/fakes/entry_case.h"
#include "test/fakes/raw_server.h"

#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#define CALLERS 32

static struct entry_case t;

/*
 * Many concurrent callers. Answers arrive in reverse order and twice, along with refusals of
 * calls that were already answered and answers to calls that never existed.
 */
static void test_replies_by_id(void)
{
	struct peer_event *calls[CALLERS];
	struct entry_caller callers[CALLERS];
	u64 late = ctr_get(CTR_LATE_REPLY);

	entry_case_start(&t);
	for (u32 i = 0; i < CALLERS; i++) {
		g_autofree char *body = g_strdup_printf("checklist %u", i);

		entry_caller_start(&t, &callers[i], "POST", body, 0);
		/* The first call establishes the link. */
		if (!i)
			entry_expect_event(&t, PEER_EVENT_UP);
		calls[i] = fake_peer_expect(&t.home, PEER_CALL);
	}
	fake_peer_reply(&t.home, (struct call_id){ 1, 1, 1 }, "nobody's");
	fake_peer_reply(&t.home,
			(struct call_id){ calls[0]->id.incarnation, 1 << 20, calls[0]->id.origin },
			"nobody's");
	for (u32 i = CALLERS; i > 0; i--) {
		const struct peer_event *e = calls[i - 1];
		g_autofree char *body = g_strndup((char *)e->body->data, e->body->len);

		fake_peer_reply(&t.home, e->id, body);
		fake_peer_reply(&t.home, e->id, "a second answer");
		fake_peer_refuse(&t.home, e->id, CTR_DRAINING, true);
	}
	for (u32 i = 0; i < CALLERS; i++) {
		g_autofree char *body = g_strdup(callers[i].body);

		entry_caller_finish(&callers[i], 200, NULL, body);
		peer_event_free(calls[i]);
	}
	entry_wait_counter(CTR_LATE_REPLY, late + 2 + 2 * CALLERS);
	entry_case_stop(&t);
	fake_node_stop(&t.node);
}

/*
 * The first call for a service opens links to all home nodes of its subset. Without their
 * loads, an entry node would choose blindly after a start or when upstreams join.
 */
static void test_first_call_links_all(void)
{
	struct fake_peer other;
	struct entry_caller c;

	entry_case_start(&t);
	fake_peer_start(&other, true);
	fake_node_set_directory_entry(&t.node, other.name, other.self.incarnation, DIR_UP);
	entry_caller_start(&t, &c, "POST", "one hoopoe", 1000);
	entry_expect_event(&t, PEER_EVENT_UP);
	peer_event_free(fake_peer_expect(&other, PEER_EVENT_UP));
	entry_caller_finish(&c, 504, "unknown", NULL);
	fake_peer_stop(&other);
	entry_case_stop(&t);
}

/* The deadline cancels the call at the home node; a call that was sent is not reported not-run. */
static void test_deadline(void)
{
	struct call_id id;
	struct entry_caller c;

	entry_case_start(&t);
	entry_caller_start(&t, &c, "POST", "one hoopoe", 300);
	entry_expect_event(&t, PEER_EVENT_UP);
	id = entry_expect_call(&t, "one hoopoe");
	entry_expect_id(&t, PEER_CANCEL, id);
	entry_caller_finish(&c, 504, "unknown", NULL);
	entry_case_stop(&t);
}

/*
 * The home node's address does not answer SYNs: the call ends unsent and is reported as not run.
 * Its deadline is shorter than any dial timeout, which would otherwise end the call first.
 */
static void test_deadline_unsent(void)
{
	struct entry_caller c;
	int fillers[8];
	u16 port;
	int fd = raw_listen(&port);
	g_autofree char *name = g_strdup_printf("127.0.0.1:%u", port);

	listen(fd, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(fillers); i++)
		fillers[i] = raw_connect_async(port);
	entry_case_start(&t);
	fake_node_set_directory_entry(&t.node, t.home.name, t.home.self.incarnation, DIR_GONE);
	fake_node_set_directory_entry(&t.node, name, 1, DIR_UP);
	entry_caller_start(&t, &c, "POST", "one hoopoe",
			   LINK_CONNECT_TIMEOUT_MIN_US / US_PER_MS / 2);
	entry_caller_finish(&c, 504, "not-run", NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(fillers); i++)
		close(fillers[i]);
	close(fd);
	entry_case_stop(&t);
}

static void block_loop(void *arg)
{
	(void)arg;
	g_usleep(3 * US_PER_S);
}

/*
 * A VM stops responding without closing its connections. Long before its link times out, an
 * idempotent call that waits there is tried elsewhere, and new calls go elsewhere at once.
 */
static void test_unresponsive_home(void)
{
	struct fake_peer other;
	struct entry_caller first, second;
	u64 began;

	entry_case_start(&t);
	entry_caller_start(&t, &first, "GET", NULL, 0);
	entry_expect_event(&t, PEER_EVENT_UP);
	entry_expect_call(&t, NULL);
	fake_peer_start(&other, true);
	fake_node_set_directory_entry(&t.node, other.name, other.self.incarnation, DIR_UP);
	loop_post(t.home.loop, block_loop, NULL);
	began = loop_clock_us();
	peer_event_free(fake_peer_expect(&other, PEER_EVENT_UP));
	fake_peer_reply(&other, peer_event_take_id(fake_peer_expect(&other, PEER_CALL)), "first");
	entry_caller_finish(&first, 200, NULL, "first");
	entry_caller_start(&t, &second, "GET", NULL, 0);
	fake_peer_reply(&other, peer_event_take_id(fake_peer_expect(&other, PEER_CALL)), "second");
	entry_caller_finish(&second, 200, NULL, "second");
	g_assert_cmpuint(loop_clock_us() - began, <, 2 * US_PER_S);
	fake_peer_stop(&other);
	entry_case_stop(&t);
}

/* Guards against: a refusal that comes twice also ends the call's next attempt, which runs. */
static void test_refusal_that_comes_twice(void)
{
	u64 late = ctr_get(CTR_LATE_REPLY);
	struct fake_peer other;
	struct call_id refused;
	struct call_id running;
	struct entry_caller c;

	entry_case_start(&t);
	entry_caller_start(&t, &c, "POST", "one hoopoe", 0);
	entry_expect_event(&t, PEER_EVENT_UP);
	refused = entry_expect_call(&t, "one hoopoe");
	fake_peer_start(&other, true);
	fake_node_set_directory_entry(&t.node, other.name, other.self.incarnation, DIR_UP);
	fake_peer_refuse(&t.home, refused, CTR_DRAINING, true);
	peer_event_free(fake_peer_expect(&other, PEER_EVENT_UP));
	running = peer_event_take_id(fake_peer_expect(&other, PEER_CALL));
	fake_peer_refuse(&t.home, refused, CTR_DRAINING, true);
	fake_peer_refuse(&t.home, refused, CTR_UPSTREAM_SHED, true);
	fake_peer_refuse(&t.home, refused, CTR_UPSTREAM_BROKEN, false);
	entry_wait_counter(CTR_LATE_REPLY, late + 3);
	g_assert_cmpuint(running.seq, !=, refused.seq);
	fake_peer_reply(&other, running, "noted");
	entry_caller_finish(&c, 200, NULL, "noted");
	fake_peer_stop(&other);
	entry_case_stop(&t);
}

int main(int argc, char **argv)
{
	int ret;

	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entry/replies-by-id", test_replies_by_id);
	g_test_add_func("/entry/deadline", test_deadline);
	g_test_add_func("/entry/deadline-unsent", test_deadline_unsent);
	g_test_add_func("/entry/first-call-links-all", test_first_call_links_all);
	g_test_add_func("/entry/unresponsive-home", test_unresponsive_home);
	g_test_add_func("/entry/refusal-that-comes-twice", test_refusal_that_comes_twice);
	ret = g_test_run();
	fflush(stdout);
	_exit(ret); /* node threads are still running */
}
