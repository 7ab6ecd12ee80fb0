/* A node's link to control: which control process it watches, and when it moves to another. */
#include "lib/ctr.h"
#include "test/fakes/fake_control.h"
#include "test/fakes/fake_node.h"
#include "test/fakes/httpc.h"
#include "test/fakes/paced_relay.h"

#include <stdio.h>
#include <unistd.h>

#define WAIT_MS 20000
/* A configuration must be in force within this time, so a node must have moved by then. */
#define MOVE_MAX_US (2 * US_PER_S)

static struct fake_control controls[3];

/* Ends the case of NODE and of the control processes that it started. */
static void stop(struct fake_node *node)
{
	fake_node_stop(node);
	for (guint i = 0; i < G_N_ELEMENTS(controls); i++)
		fake_control_stop(&controls[i]);
}

/* Waits until the node watches one of the first two control processes. */
static void wait_until_linked(void)
{
	for (u32 i = 0; i < WAIT_MS && !controls[0].watches && !controls[1].watches; i++)
		g_usleep(US_PER_MS);
}

/*
 * A control process that was tried because it might be nearer, and was not, must be tried again
 * at once when the main one stops being fresh.
 */
static void test_moves_to_process_tried_before(void)
{
	struct fake_node node;
	struct fake_control *from;
	struct fake_control *to;
	u64 began_us;

	fake_control_start(&controls[0]);
	fake_control_start(&controls[1]);
	fake_node_prepare(&node);
	g_array_set_size(node.settings.node.control, 0);
	for (guint i = 0; i < 2; i++) {
		struct endpoint at = { .host = "127.0.0.1", .port = controls[i].port };

		g_array_append_val(node.settings.node.control, at);
	}
	fake_node_run(&node);
	wait_until_linked();
	from = controls[0].watches ? &controls[0] : &controls[1];
	to = from == &controls[0] ? &controls[1] : &controls[0];
	/* Time for a trial of the other one. */
	g_usleep(US_PER_S);
	g_assert_cmpint(g_atomic_int_get(&to->watches), ==, 0);
	began_us = loop_clock_us();
	g_atomic_int_set(&from->is_fresh, 0);
	fake_control_wait_watches(to, 1);
	g_assert_cmpuint(to->watched_us - began_us, <, MOVE_MAX_US);
	stop(&node);
}

/* What waits at the link: 75 KB of the bodies of calls, at 2 Mbit/s. */
#define QUEUE_US (300 * US_PER_MS)

/*
 * Guards against: a node without a fresh control process finds none while its link is full of
 * calls, as each trial is given up before the greetings and a freshness report have come through.
 */
static void test_trials_behind_calls_are_given_up(void)
{
	static struct paced_link link = { .bytes_per_s = 2000000 / 8 };
	struct fake_node node;
	struct fake_control *from;
	struct fake_control *to;
	u64 began_us;

	fake_node_prepare(&node);
	g_array_set_size(node.settings.node.control, 0);
	for (guint i = 0; i < 2; i++) {
		struct endpoint at = { .host = "127.0.0.1" };

		fake_control_start(&controls[i]);
		at.port = paced_relay_start(&link, controls[i].port);
		g_array_append_val(node.settings.node.control, at);
	}
	fake_node_run(&node);
	wait_until_linked();
	from = controls[0].watches ? &controls[0] : &controls[1];
	to = from == &controls[0] ? &controls[1] : &controls[0];
	g_usleep(US_PER_S);
	g_atomic_int_set(&link.delay_us, QUEUE_US);
	began_us = loop_clock_us();
	g_atomic_int_set(&from->is_fresh, 0);
	fake_control_wait_watches(to, 1);
	g_assert_cmpuint(to->watched_us - began_us, <, MOVE_MAX_US);
	stop(&node);
}

/*
 * Guards against: a freshness report that waited on its way counts as new, so the node stays with
 * a control process that was fresh a while ago.
 */
static void test_late_freshness_taken_for_new(void)
{
	struct fake_node node;
	struct fake_control *from;
	struct fake_control *to;
	u64 began_us;

	fake_control_start(&controls[0]);
	fake_control_start(&controls[1]);
	fake_node_prepare(&node);
	g_array_set_size(node.settings.node.control, 0);
	for (guint i = 0; i < 2; i++) {
		struct endpoint at = { .host = "127.0.0.1", .port = controls[i].port };

		g_array_append_val(node.settings.node.control, at);
	}
	fake_node_run(&node);
	wait_until_linked();
	from = controls[0].watches ? &controls[0] : &controls[1];
	to = from == &controls[0] ? &controls[1] : &controls[0];
	began_us = loop_clock_us();
	g_atomic_int_set(&from->freshness_age_ms, 2000);
	fake_control_wait_watches(to, 1);
	g_assert_cmpuint(to->watched_us - began_us, <, MOVE_MAX_US);
	/* Nor does it go back to one whose reports are old. */
	g_usleep(2 * US_PER_S);
	g_assert_cmpint(g_atomic_int_get(&from->watches), ==, 1);
	stop(&node);
}

static void do_apply_settings(void *arg)
{
	watch_apply_settings(arg);
}

/* Longer than the test: what is behind the relays is silent, old connections and new ones. */
#define SILENT_US (60 * US_PER_S)
/* By then the node has given up its link to a silent control process. */
#define LINK_LOST_US (4 * US_PER_S)
/* Until a change is in force beside an unstable core. */
#define IN_FORCE_MAX_US (7 * US_PER_S)

/*
 * Guards against: a node that knows two near control processes which do not answer tries them in
 * turn for ever, and keeps an old configuration though others answer.
 */
static void test_two_silent_processes_tried_for_ever(void)
{
	static struct paced_link link = { .bytes_per_s = 100000000 };
	struct fake_node node;
	struct endpoint at = { .host = "127.0.0.1" };
	u64 began_us;

	fake_node_prepare(&node);
	g_array_set_size(node.settings.node.control, 0);
	for (guint i = 0; i < 2; i++) {
		fake_control_start(&controls[i]);
		at.port = paced_relay_start(&link, controls[i].port);
		g_array_append_val(node.settings.node.control, at);
	}
	fake_node_run(&node);
	wait_until_linked();
	/* Time for a trial of the other one, so that both are known to be near. */
	g_usleep(US_PER_S);
	g_atomic_int_set(&link.delay_us, SILENT_US);
	g_usleep(LINK_LOST_US);
	fake_control_start(&controls[2]);
	at.port = controls[2].port;
	g_array_append_val(node.settings.node.control, at);
	began_us = loop_clock_us();
	loop_call(node.node->loop, do_apply_settings, node.node);
	fake_control_wait_watches(&controls[2], 1);
	g_assert_cmpuint(controls[2].watched_us - began_us, <, IN_FORCE_MAX_US);
	stop(&node);
}

static void do_stall(void *arg)
{
	(void)arg;
	g_usleep(US_PER_S);
}

/*
 * Guards against: a node that was busy itself for a while takes its control process for not fresh,
 * though its reports wait to be read.
 */
static void test_own_stall_taken_for_old_freshness(void)
{
	struct fake_node node;
	struct endpoint at = { .host = "127.0.0.1" };
	u64 before = ctr_get(CTR_CONTROL_NOT_FRESH);

	fake_control_start(&controls[0]);
	fake_node_prepare(&node);
	g_array_set_size(node.settings.node.control, 0);
	at.port = controls[0].port;
	g_array_append_val(node.settings.node.control, at);
	fake_node_run(&node);
	fake_control_wait_watches(&controls[0], 1);
	for (u32 i = 0; i < 3; i++) {
		loop_call(node.node->loop, do_stall, NULL);
		g_usleep(300 * US_PER_MS);
		g_assert_cmpuint(ctr_get(CTR_CONTROL_NOT_FRESH), ==, before);
	}
	stop(&node);
}

/* Returns the duration of a call to the configured service, which must fail with REASON. */
static u64 measure_call_us(const struct fake_node *node, const char *reason)
{
	u64 began_us = loop_clock_us();
	struct httpc_reply reply;

	g_assert_cmpint(httpc_call("127.0.0.1", node->settings.node.caller_port, "GET", "/",
				   "Host: sightings.example\r\n", NULL, 5000, &reply),
			==, 0);
	g_assert_cmpint(reply.status, ==, 503);
	g_assert_cmpstr(reply.reason, ==, reason);
	httpc_reply_clear(&reply);
	return loop_clock_us() - began_us;
}

/*
 * The first call of a service waits until control has sent the service's upstreams, even if there
 * are none, but only for a limited time.
 */
static void test_first_call_of_a_service(void)
{
	struct fake_node node;
	struct endpoint at = { .host = "127.0.0.1" };

	fake_control_start(&controls[0]);
	g_atomic_int_set(&controls[0].sends_views, 0);
	fake_node_prepare(&node);
	g_array_set_size(node.settings.node.control, 0);
	at.port = controls[0].port;
	g_array_append_val(node.settings.node.control, at);
	fake_node_run(&node);
	fake_control_wait_watches(&controls[0], 1);
	g_assert_cmpint(g_atomic_int_get(&controls[0].subscribed_services), ==, 0);
	g_assert_cmpuint(measure_call_us(&node, "no-upstream"), >=, 400 * US_PER_MS);
	g_assert_cmpint(g_atomic_int_get(&controls[0].subscribed_services), ==, 1);
	/* The service is requested from the next control process before a call arrives. */
	g_atomic_int_set(&controls[0].sends_views, 1);
	fake_control_drop_link(&controls[0]);
	fake_control_wait_watches(&controls[0], 2);
	g_assert_cmpuint(measure_call_us(&node, "no-upstream"), <, 400 * US_PER_MS);
	g_assert_cmpuint(measure_call_us(&node, "no-upstream"), <, 400 * US_PER_MS);
	stop(&node);
}

int main(int argc, char **argv)
{
	int ret;

	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/watch/moves-to-process-tried-before", test_moves_to_process_tried_before);
	g_test_add_func("/watch/trials-behind-calls-are-given-up",
			test_trials_behind_calls_are_given_up);
	g_test_add_func("/watch/late-freshness-taken-for-new", test_late_freshness_taken_for_new);
	g_test_add_func("/watch/two-silent-processes-tried-for-ever",
			test_two_silent_processes_tried_for_ever);
	g_test_add_func("/watch/own-stall-taken-for-old-freshness",
			test_own_stall_taken_for_old_freshness);
	g_test_add_func("/watch/first-call-of-a-service", test_first_call_of_a_service);
	ret = g_test_run();
	fflush(stdout);
	_exit(ret); /* the threads of the relays still run */
}
