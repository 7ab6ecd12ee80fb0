/* Operations of a follower, between fake leaders. */
#include "control/op.h"
#include "test/fakes/follower.h"
#include "wire/ctl.h"

#define WAIT_MS 20000
/* Much shorter than the time after which a link on which nothing is heard is closed. */
#define NEXT_LEADER_MS 500

static struct fake_leader leaders[2]; /* members 2 and 3 */
static struct follower follower;
static gint outcome; /* of the last operation that ended */

static int on_frame(struct link *k, u32 type, struct frame_in *in)
{
	struct fake_leader *l = k->arg;

	if (type != CTL_FORWARD)
		return 0;
	l->request = frame_get_u64(in);
	g_atomic_int_inc(&l->frames);
	return 0;
}

/* Answers that the operation is done, or, with a SERIAL, that it was superseded by that entry. */
static void send_result(struct fake_leader *l, u64 serial)
{
	FRAME_AUTO(f, CTL_FORWARD_RESULT);

	frame_put_u64(&f, l->request);
	frame_put_u64(&f, OP_DONE);
	frame_put_u64(&f, 0);
	frame_put_u64(&f, 0);
	frame_put_u64(&f, 0);
	frame_put_bool(&f, false);
	frame_put_bool(&f, serial > 0);
	frame_put_u64(&f, serial);
	frame_put_u64(&f, follower.control->raft.applied);
	frame_put_str(&f, "");
	link_send(l->link, &f);
}

static void send_answer(void *arg)
{
	send_result(arg, 0);
}

#define LATER_MEMBERS_INDEX 9

static void send_superseded(void *arg)
{
	send_result(arg, LATER_MEMBERS_INDEX);
}

/* Members 2 and 3 are the leaders, of whom 2 leads. The test polls the operations. */
static void start_follower(void)
{
	struct raft *r;

	follower_new(&follower, NULL, 0, 0);
	r = &follower.control->raft;
	r->role = RAFT_FOLLOWER;
	r->leader = 2;
	r->applied = 7;
	r->election_due_us = UINT64_MAX;
	follower_add_member(&follower, FOLLOWER_ID, 1);
	follower_add_member(&follower, 2, leaders[0].port);
	follower_add_member(&follower, 3, leaders[1].port);
	follower_start(&follower);
}

static void check_links(void *arg)
{
	*(bool *)arg = peers_link(follower.control, 2) && peers_link(follower.control, 3);
}

static void start(void)
{
	bool are_up = false;

	log_open(NULL, LOG_ERROR, LOG_TEXT);
	fake_leader_start(&leaders[0], on_frame);
	fake_leader_start(&leaders[1], on_frame);
	start_follower();
	for (u32 i = 0; i < WAIT_MS && !are_up; i++) {
		g_usleep(US_PER_MS);
		loop_call(follower.control->loop, check_links, &are_up);
	}
	g_assert_true(are_up);
}

static void stop(void)
{
	follower_stop(&follower);
	fake_leader_stop(&leaders[0]);
	fake_leader_stop(&leaders[1]);
}

static void on_done(struct control *c, struct op *o)
{
	(void)c;
	g_atomic_int_set(&outcome, o->outcome);
	op_free(o);
}

static void submit(void *arg)
{
	enum op_kind kind = (enum op_kind)GPOINTER_TO_INT(arg);
	struct op *o = op_new(kind);

	o->done = on_done;
	if (kind == OP_CHANGE)
		o->command = g_bytes_new_static("x", 1);
	g_atomic_int_set(&outcome, OP_PENDING);
	op_submit(follower.control, o);
}

static void set_leader(void *arg)
{
	follower.control->raft.leader = GPOINTER_TO_UINT(arg);
}

static void poll_ops(void *arg)
{
	(void)arg;
	op_poll(follower.control, loop_clock_us());
}

/* Polls for at most SPAN_MS, until the leader has got N forwarded operations. */
static void wait_forwards(struct fake_leader *l, gint n, u32 span_ms)
{
	for (u32 i = 0; i < span_ms && g_atomic_int_get(&l->frames) < n; i++) {
		loop_call(follower.control->loop, poll_ops, NULL);
		g_usleep(US_PER_MS);
	}
	g_assert_cmpint(g_atomic_int_get(&l->frames), ==, n);
}

static void wait_outcome(gint expected)
{
	for (u32 i = 0; i < WAIT_MS && !g_atomic_int_get(&outcome); i++)
		g_usleep(US_PER_MS);
	g_assert_cmpint(g_atomic_int_get(&outcome), ==, expected);
}

/*
 * Guards against a read that waits for a leader that went silent, while another one leads: nodes
 * that have just started get no configuration until such a read is answered.
 */
static void test_read_waits_for_a_former_leader(void)
{
	start();
	loop_call(follower.control->loop, submit, GINT_TO_POINTER(OP_READ));
	wait_forwards(&leaders[0], 1, WAIT_MS);
	/* No leader is known for a while. */
	loop_call(follower.control->loop, set_leader, GUINT_TO_POINTER(0));
	loop_call(follower.control->loop, poll_ops, NULL);
	loop_call(follower.control->loop, set_leader, GUINT_TO_POINTER(3));
	wait_forwards(&leaders[1], 1, NEXT_LEADER_MS);
	loop_call(leaders[1].loop, send_answer, &leaders[1]);
	wait_outcome(OP_DONE);
	/* The former leader's answer comes late, and nothing waits for it. */
	loop_call(leaders[0].loop, send_answer, &leaders[0]);
	loop_call(follower.control->loop, submit, GINT_TO_POINTER(OP_READ));
	wait_forwards(&leaders[1], 2, WAIT_MS);
	g_assert_cmpint(g_atomic_int_get(&outcome), ==, OP_PENDING);
	g_assert_cmpint(g_atomic_int_get(&leaders[0].frames), ==, 1);
	loop_call(leaders[1].loop, send_answer, &leaders[1]);
	wait_outcome(OP_DONE);
	stop();
}

/* A change may have been accepted by the former leader, so it is not proposed again meanwhile. */
static void test_change_stays_with_a_former_leader(void)
{
	start();
	loop_call(follower.control->loop, submit, GINT_TO_POINTER(OP_CHANGE));
	wait_forwards(&leaders[0], 1, WAIT_MS);
	loop_call(follower.control->loop, set_leader, GUINT_TO_POINTER(3));
	wait_forwards(&leaders[1], 0, 1);
	for (u32 i = 0; i < NEXT_LEADER_MS; i++)
		wait_forwards(&leaders[1], 0, 1);
	loop_call(leaders[0].loop, send_answer, &leaders[0]);
	wait_outcome(OP_DONE);
	stop();
}

static void apply_members(void *arg)
{
	(void)arg;
	follower.control->raft.members_index = LATER_MEMBERS_INDEX;
}

/*
 * Guards against: a change of the group that came late is proposed again and again until this
 * process has the membership entry that came first.
 */
static void test_superseded_change_waits_for_its_cause(void)
{
	start();
	loop_call(follower.control->loop, submit, GINT_TO_POINTER(OP_REMOVE));
	wait_forwards(&leaders[0], 1, WAIT_MS);
	loop_call(leaders[0].loop, send_superseded, &leaders[0]);
	for (u32 i = 0; i < NEXT_LEADER_MS; i++)
		wait_forwards(&leaders[0], 1, 1);
	g_assert_cmpint(g_atomic_int_get(&outcome), ==, OP_PENDING);
	loop_call(follower.control->loop, apply_members, NULL);
	loop_call(follower.control->loop, poll_ops, NULL);
	wait_outcome(OP_DONE);
	stop();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/op/read-waits-for-a-former-leader", test_read_waits_for_a_former_leader);
	g_test_add_func("/op/change-stays-with-a-former-leader",
			test_change_stays_with_a_former_leader);
	g_test_add_func("/op/superseded-change-waits-for-its-cause",
			test_superseded_change_waits_for_its_cause);
	return g_test_run();
}
