/* Links of a control process whose membership is older than its leader. */
#include "lib/log.h"
#include "test/fakes/follower.h"
#include "test/fakes/raw_server.h"
#include "wire/ctl.h"

#define LEADER 4
#define WAIT_MS 20000

static struct fake_leader leader; /* or candidate; counts the answers that it gets */
static struct follower follower;

static int on_frame(struct link *k, u32 type, struct frame_in *in)
{
	struct fake_leader *l = k->arg;

	(void)in;
	if (type == CTL_RAFT)
		g_atomic_int_inc(&l->frames);
	return 0;
}

static void send_message(struct raft *r, u32 to, const struct raft_msg *m)
{
	peers_send_raft(r->arg, to, m);
}

static void save_state(struct raft *r, u64 term, u32 vote)
{
	(void)r;
	(void)term;
	(void)vote;
}

static const struct raft_ops raft_ops = { .send = send_message, .save_state = save_state };

/* A process that does not belong to a group yet; its seed is the leader, or none. */
static void start(bool has_seed)
{
	fake_leader_start(&leader, on_frame);
	follower_new(&follower, &raft_ops, LEADER, has_seed ? leader.port : 0);
	follower_start(&follower);
}

static void stop(void)
{
	follower_stop(&follower);
	fake_leader_stop(&leader);
}

/* The process takes over the membership of the time when the group was founded. */
static void take_founding_members(void *arg)
{
	(void)arg;
	follower.control->raft.role = RAFT_FOLLOWER;
	follower_add_member(&follower, FOLLOWER_ID, 1);
	follower_add_member(&follower, 2, raw_free_port());
	follower_add_member(&follower, 3, raw_free_port());
}

static void refresh(void *arg)
{
	(void)arg;
	peers_refresh(follower.control);
}

/* The process receives a message, of the type that ARG points to, over a link of the leader. */
static void receive(void *arg)
{
	struct link from = { .remote = leader.self };
	struct raft_msg m = { .type = *(const enum raft_msg_type *)arg,
			      .from = LEADER,
			      .replica = LEADER,
			      .term = 2 };
	struct frame_in in;
	FRAME_AUTO(f, CTL_RAFT);

	raft_msg_put(&f, &m);
	frame_end(&f);
	frame_in_init(&in, f.buf.data + FRAME_HEADER_BYTES, f.buf.size - FRAME_HEADER_BYTES);
	g_assert_cmpuint(frame_get_u64(&in), ==, CTL_RAFT);
	g_assert_cmpint(peers_on_frame(follower.control, &from, CTL_RAFT, &in), ==, 0);
}

static void check_link(void *arg)
{
	*(bool *)arg = peers_link(follower.control, LEADER) != NULL;
}

static void wait_link(void)
{
	bool is_up = false;

	for (u32 i = 0; i < WAIT_MS && !is_up; i++) {
		loop_call(follower.control->loop, check_link, &is_up);
		g_usleep(US_PER_MS);
	}
	g_assert_true(is_up);
}

/* The leader sends messages of TYPE until one is answered. */
static void wait_reply(enum raft_msg_type type)
{
	g_atomic_int_set(&leader.frames, 0);
	for (u32 i = 0; i < WAIT_MS / 10 && !g_atomic_int_get(&leader.frames); i++) {
		loop_call(follower.control->loop, receive, &type);
		loop_call(follower.control->loop, refresh, NULL);
		g_usleep(10 * US_PER_MS);
	}
	g_assert_cmpint(g_atomic_int_get(&leader.frames), >, 0);
}

/*
 * Guards against a member with an emptied folder that closes the link to its leader, as the
 * founding membership lacks the leader, and so never gets the log.
 */
static void test_founding_members_lack_the_leader(void)
{
	start(true);
	wait_link();
	loop_call(follower.control->loop, take_founding_members, NULL);
	wait_reply(RAFT_APPEND_ENTRIES);
	wait_reply(RAFT_APPEND_ENTRIES);
	stop();
}

/*
 * Guards against a member that was down while others were replaced: it hears a leader that it does
 * not know, and cannot answer.
 */
static void test_leader_joined_while_the_member_was_down(void)
{
	start(false);
	loop_call(follower.control->loop, take_founding_members, NULL);
	wait_reply(RAFT_APPEND_ENTRIES);
	stop();
}

/* Guards against a vote that is lost, as the voter was down while the candidate joined. */
static void test_candidate_joined_while_the_member_was_down(void)
{
	start(false);
	loop_call(follower.control->loop, take_founding_members, NULL);
	wait_reply(RAFT_PREVOTE);
	stop();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_open(NULL, LOG_ERROR, LOG_TEXT);
	g_test_add_func("/peers/founding-members-lack-the-leader",
			test_founding_members_lack_the_leader);
	g_test_add_func("/peers/leader-joined-while-the-member-was-down",
			test_leader_joined_while_the_member_was_down);
	g_test_add_func("/peers/candidate-joined-while-the-member-was-down",
			test_candidate_joined_while_the_member_was_down);
	return g_test_run();
}
