/* What a node acknowledged of its upstream's end, kept by control while the node starts again. */
#include "control/directory.h"
#include "test/fakes/fake_node.h"
#include "test/fakes/httpc.h"
#include "test/fakes/lone_control.h"

#include <string.h>

#define TIMEOUT_MS 20000
#define START_MS 1000

static struct lone_control control;

static bool covers(const struct withdrawal *w, u64 start_ms, u64 sequence)
{
	return withdrawal_covers(w, "i-1", start_ms, sequence);
}

static void test_covers_what_was_sent_before(void)
{
	struct withdrawal w = { 0 };

	g_assert_false(covers(&w, 0, 0));
	withdrawal_set(&w, "i-1", START_MS, 5);
	g_assert_true(covers(&w, START_MS, 5));
	g_assert_false(covers(&w, START_MS, 6));
	g_assert_true(covers(&w, START_MS - 1, 6));
	g_assert_false(covers(&w, START_MS + 1, 1));
	g_assert_false(withdrawal_covers(&w, "i-2", START_MS, 5));
	withdrawal_clear(&w);
}

/* A copy on its way that is older, or says nothing, changes nothing. */
static void test_newest_is_kept(void)
{
	struct withdrawal w = { 0 };
	struct withdrawal other = { .instance = (char *)"i-1", .start_ms = START_MS };

	g_assert_true(withdrawal_merge(&w, &other));
	g_assert_false(withdrawal_merge(&w, &other));
	g_assert_false(withdrawal_merge(&w, &(struct withdrawal){ 0 }));
	other.sequence = 1;
	g_assert_true(withdrawal_merge(&w, &other));
	other.start_ms--;
	g_assert_false(withdrawal_merge(&w, &other));
	g_assert_cmpuint(w.start_ms, ==, START_MS);
	withdrawal_clear(&w);
}

/*
 * Guards against: a node registers again before the withdrawal of its earlier incarnation arrives
 * from another control process, and it is dropped with the older entry that it comes with.
 */
static void test_withdrawal_comes_after_the_new_incarnation(void)
{
	struct dir_entry e = { .node = (char *)"127.0.0.1:1",
			       .zone = (char *)"z",
			       .region = (char *)"r",
			       .incarnation = 1,
			       .version = 1,
			       .state = DIR_NO_UPSTREAM,
			       .service = (char *)"" };
	struct withdrawal w = { .instance = (char *)"i-1", .start_ms = START_MS, .sequence = 5 };
	struct directory_item copy = { .owner = 2, .owner_incarnation = 1 };
	struct directory d;

	directory_init(&d, 1, 1);
	copy.entry = e;
	copy.withdrawal = w;
	e.incarnation = 2;
	g_assert_cmpint(directory_register(&d, &e, US_PER_S), ==, 1);
	directory_merge(&d, &copy, 2, US_PER_S);
	g_assert_cmpuint(directory_find(&d, e.node)->entry.incarnation, ==, 2);
	g_assert_cmpstr(directory_find(&d, e.node)->withdrawal.instance, ==, "i-1");
	/* The next registrations say nothing of it, either. */
	e.version++;
	directory_register(&d, &e, US_PER_S);
	directory_withdraw(&d, e.node, &(struct withdrawal){ 0 });
	g_assert_cmpuint(directory_find(&d, e.node)->withdrawal.sequence, ==, 5);
	directory_clear(&d);
}

static void call(const struct fake_node *node, const char *method, const char *body)
{
	struct httpc_reply reply;
	int err = httpc_call("127.0.0.1", node->settings.node.local_port, method,
			     "/v1/instances/i-1", NULL, body, TIMEOUT_MS, &reply);

	g_assert_cmpint(err, ==, 0);
	g_assert_cmpint(reply.status, ==, 200);
	httpc_reply_clear(&reply);
}

static void announce(const struct fake_node *node, const char *state, u64 start_ms, u64 sequence)
{
	g_autofree char *body =
		g_strdup_printf("{\"service\":\"sightings\",\"address\":"
				"\"127.0.0.1:9\",\"zone\":\"z\",\"version\":\"v1\","
				"\"cold_ms\":0,\"slots\":4,\"state\":\"%s\","
				"\"born\":%llu,\"sequence\":%llu}",
				state, (unsigned long long)start_ms, (unsigned long long)sequence);

	call(node, "PUT", body);
}

struct query {
	const char *node;
	bool is_withdrawn;
};

static void look_up(void *arg)
{
	struct query *q = arg;
	const struct directory_item *item = directory_find(&control.control->directory, q->node);

	q->is_withdrawn = item && item->withdrawal.instance;
}

static void wait_until_control_knows(const struct fake_node *node)
{
	struct query q = { .node = node->node->self.name };

	for (u32 i = 0; i < TIMEOUT_MS && !q.is_withdrawn; i++) {
		g_usleep(US_PER_MS);
		loop_call(control.control->loop, look_up, &q);
	}
	g_assert_true(q.is_withdrawn);
}

/* Starts a node; PORTS are those of an earlier process of it, or NULL. */
static void start_node(struct fake_node *node, const struct fake_node *ports)
{
	struct endpoint at = { .host = "127.0.0.1", .port = control.settings.control.peer_port };

	fake_node_prepare(node);
	node->settings.node.upstream_ttl_ms = 600000;
	if (ports) {
		node->settings.node.peer_port = ports->settings.node.peer_port;
		node->settings.node.local_port = ports->settings.node.local_port;
	}
	g_array_set_size(node->settings.node.control, 0);
	g_array_append_val(node->settings.node.control, at);
	fake_node_run(node);
}

static enum dir_state wait_for_withdrawal(const struct fake_node *node)
{
	for (u32 i = 0; i < TIMEOUT_MS && !node->node->withdrawal.instance; i++)
		g_usleep(US_PER_MS);
	g_assert_nonnull(node->node->withdrawal.instance);
	return node->node->dir_entry.state;
}

static void begin(struct fake_node *node)
{
	lone_control_start(&control, "z");
	start_node(node, NULL);
	announce(node, "ready", START_MS, 3);
	g_assert_cmpint(node->node->dir_entry.state, ==, DIR_UP);
}

static void restart(struct fake_node *node)
{
	struct fake_node before = *node;

	wait_until_control_knows(node);
	fake_node_stop(node);
	start_node(node, &before);
}

static void end(struct fake_node *node)
{
	fake_node_stop(node);
	lone_control_stop(&control);
}

/*
 * Guards against: a node that starts again forgets that it acknowledged the end of its upstream,
 * and a heartbeat that was sent before brings the upstream back.
 */
static void test_leave_forgotten_by_a_restart(void)
{
	struct fake_node node;

	begin(&node);
	call(&node, "DELETE", NULL);
	restart(&node);
	g_assert_cmpint(wait_for_withdrawal(&node), ==, DIR_NO_UPSTREAM);
	announce(&node, "ready", START_MS, 4);
	g_assert_cmpint(node.node->dir_entry.state, ==, DIR_NO_UPSTREAM);
	/* It starts again under its name. */
	announce(&node, "ready", (u64)g_get_real_time() / US_PER_MS + 5000, 1);
	g_assert_cmpint(node.node->dir_entry.state, ==, DIR_UP);
	end(&node);
}

/* Guards against: the same for an upstream that said that it drains. */
static void test_drain_forgotten_by_a_restart(void)
{
	struct fake_node node;

	begin(&node);
	announce(&node, "draining", START_MS, 5);
	restart(&node);
	g_assert_cmpint(wait_for_withdrawal(&node), ==, DIR_NO_UPSTREAM);
	announce(&node, "ready", START_MS, 4);
	g_assert_cmpint(node.node->dir_entry.state, ==, DIR_NO_UPSTREAM);
	announce(&node, "draining", START_MS, 6);
	g_assert_cmpint(node.node->dir_entry.state, ==, DIR_DRAINING);
	end(&node);
}

struct lesson {
	struct node *node;
	const struct withdrawal *w;
};

static void learn(void *arg)
{
	const struct lesson *l = arg;

	local_withdraw(l->node, l->w);
}

/* Guards against: the late heartbeat arrives before the node has a link to control. */
static void test_heartbeat_before_the_link(void)
{
	struct fake_node node;
	struct withdrawal w = { .instance = (char *)"i-1", .start_ms = START_MS, .sequence = 5 };

	fake_node_prepare(&node);
	node.settings.node.upstream_ttl_ms = 600000;
	fake_node_run(&node);
	announce(&node, "ready", START_MS, 4);
	g_assert_cmpint(node.node->dir_entry.state, ==, DIR_UP);
	loop_call(node.node->loop, learn, &(struct lesson){ node.node, &w });
	g_assert_cmpint(node.node->dir_entry.state, ==, DIR_NO_UPSTREAM);
	fake_node_stop(&node);
}

/*
 * Guards against: a node that starts again hears late of two runs of its upstream, the later of
 * which left, and takes that one for a run which started after the leave.
 */
static void test_late_heartbeats_of_two_runs(void)
{
	struct fake_node node;
	struct withdrawal w = { .instance = (char *)"i-1",
				.start_ms = 5 * START_MS,
				.sequence = UINT64_MAX };

	fake_node_prepare(&node);
	node.settings.node.upstream_ttl_ms = 600000;
	fake_node_run(&node);
	announce(&node, "ready", START_MS, 4);
	loop_call(node.node->loop, learn, &(struct lesson){ node.node, &w });
	g_assert_cmpint(node.node->dir_entry.state, ==, DIR_NO_UPSTREAM);
	announce(&node, "ready", 2 * START_MS, 9);
	g_assert_cmpint(node.node->dir_entry.state, ==, DIR_NO_UPSTREAM);
	announce(&node, "ready", 6 * START_MS, 1);
	g_assert_cmpint(node.node->dir_entry.state, ==, DIR_UP);
	fake_node_stop(&node);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/withdrawal/covers-what-was-sent-before",
			test_covers_what_was_sent_before);
	g_test_add_func("/withdrawal/newest-is-kept", test_newest_is_kept);
	g_test_add_func("/withdrawal/comes-after-the-new-incarnation",
			test_withdrawal_comes_after_the_new_incarnation);
	g_test_add_func("/withdrawal/leave-forgotten-by-a-restart",
			test_leave_forgotten_by_a_restart);
	g_test_add_func("/withdrawal/drain-forgotten-by-a-restart",
			test_drain_forgotten_by_a_restart);
	g_test_add_func("/withdrawal/heartbeat-before-the-link", test_heartbeat_before_the_link);
	g_test_add_func("/withdrawal/late-heartbeats-of-two-runs",
			test_late_heartbeats_of_two_runs);
	return g_test_run();
}
