/* Links of a control process whose membership is older than its leader. */
#include "control/control.h"
#include "lib/log.h"
#include "test/fakes/raw_server.h"
#include "wire/ctl.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define SELF 1
#define LEADER 4
#define WAIT_MS 20000

/* A fake leader or candidate, which counts the answers that it gets. */
struct leader {
	struct loop *loop;
	struct link_id self;
	struct link_listener *listener;
	u16 port;
	gint replies;
};

static struct leader leader;
static struct control *control;
static struct settings settings;

static void on_up(struct link *k)
{
	(void)k;
}

static int on_frame(struct link *k, u32 type, struct frame_in *in)
{
	struct leader *l = k->arg;

	(void)in;
	if (type == CTL_RAFT)
		g_atomic_int_inc(&l->replies);
	return 0;
}

static void on_down(struct link *k, int err)
{
	(void)k;
	(void)err;
}

static const struct link_ops link_ops = { .up = on_up, .frame = on_frame, .down = on_down };

static struct link_id identity(u16 port)
{
	return (struct link_id){ .cluster = (char *)"breizh",
				 .role = LINK_CONTROL,
				 .name = g_strdup_printf("127.0.0.1:%u", port),
				 .zone = (char *)"z",
				 .region = (char *)"r",
				 .incarnation = 1 };
}

static u16 free_port(void)
{
	u16 port;

	close(raw_listen(&port));
	return port;
}

static void start_leader(struct leader *l)
{
	l->port = free_port();
	l->loop = loop_new("fake-leader");
	l->self = identity(l->port);
	l->listener = link_listen(l->loop, &l->self, "127.0.0.1", l->port, &link_ops, l);
	g_assert_nonnull(l->listener);
	g_assert_cmpint(loop_start(l->loop), ==, 0);
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

static void add_member(struct raft_members *m, u32 id, u16 port)
{
	struct raft_member *one = &m->m[m->n++];

	one->id = id;
	one->replica = id;
	one->is_voter = true;
	one->at.port = port;
	g_strlcpy(one->at.host, "127.0.0.1", sizeof(one->at.host));
}

static void ignore_timer(void *arg, u64 now_us)
{
	(void)arg;
	(void)now_us;
}

/* A process that does not belong to a group yet; its seeds are SEEDS, and no timer of it fires. */
static void start_control(u16 seed)
{
	struct member_setting m = { .id = LEADER, .at = { .host = "127.0.0.1", .port = seed } };

	settings.cluster = (char *)"breizh";
	settings.control.id = SELF;
	settings.control.members = g_array_new(FALSE, TRUE, sizeof(struct member_setting));
	if (seed)
		g_array_append_val(settings.control.members, m);
	control = control_new(&settings);
	control->self = identity(1);
	control->loop = loop_new("follower");
	control->raft_timer = (struct loop_timer){ .fire = ignore_timer };
	raft_init(&control->raft, &raft_ops, control, SELF, SELF, 1, loop_clock_us());
	peers_start(control);
	g_assert_cmpint(loop_start(control->loop), ==, 0);
}

/* The process takes over the membership of the time when the group was founded. */
static void take_founding_members(void *arg)
{
	struct raft *r = &control->raft;

	(void)arg;
	r->role = RAFT_FOLLOWER;
	add_member(&r->members, SELF, 1);
	add_member(&r->members, 2, free_port());
	add_member(&r->members, 3, free_port());
}

static void refresh(void *arg)
{
	(void)arg;
	peers_refresh(control);
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
	g_assert_cmpint(peers_on_frame(control, &from, CTL_RAFT, &in), ==, 0);
}

static void check_link(void *arg)
{
	*(bool *)arg = peers_link(control, LEADER) != NULL;
}

static void wait_link(void)
{
	bool is_up = false;

	for (u32 i = 0; i < WAIT_MS && !is_up; i++) {
		loop_call(control->loop, check_link, &is_up);
		g_usleep(US_PER_MS);
	}
	g_assert_true(is_up);
}

/* The leader sends messages of TYPE until one is answered. */
static void wait_reply(enum raft_msg_type type)
{
	g_atomic_int_set(&leader.replies, 0);
	for (u32 i = 0; i < WAIT_MS / 10 && !g_atomic_int_get(&leader.replies); i++) {
		loop_call(control->loop, receive, &type);
		loop_call(control->loop, refresh, NULL);
		g_usleep(10 * US_PER_MS);
	}
	g_assert_cmpint(g_atomic_int_get(&leader.replies), >, 0);
}

/*
 * Guards against a member with an emptied folder that closes the link to its leader, as the
 * founding membership lacks the leader, and so never gets the log.
 */
static void test_founding_members_lack_the_leader(void)
{
	start_leader(&leader);
	start_control(leader.port);
	wait_link();
	loop_call(control->loop, take_founding_members, NULL);
	wait_reply(RAFT_APPEND_ENTRIES);
	wait_reply(RAFT_APPEND_ENTRIES);
}

/*
 * Guards against a member that was down while others were replaced: it hears a leader that it does
 * not know, and cannot answer.
 */
static void test_leader_joined_while_the_member_was_down(void)
{
	start_leader(&leader);
	start_control(0);
	loop_call(control->loop, take_founding_members, NULL);
	wait_reply(RAFT_APPEND_ENTRIES);
}

/* Guards against a vote that is lost, as the voter was down while the candidate joined. */
static void test_candidate_joined_while_the_member_was_down(void)
{
	start_leader(&leader);
	start_control(0);
	loop_call(control->loop, take_founding_members, NULL);
	wait_reply(RAFT_PREVOTE);
}

int main(int argc, char **argv)
{
	int ret;

	g_test_init(&argc, &argv, NULL);
	log_open(NULL, LOG_ERROR, LOG_TEXT);
	g_test_add_func("/peers/founding-members-lack-the-leader",
			test_founding_members_lack_the_leader);
	g_test_add_func("/peers/leader-joined-while-the-member-was-down",
			test_leader_joined_while_the_member_was_down);
	g_test_add_func("/peers/candidate-joined-while-the-member-was-down",
			test_candidate_joined_while_the_member_was_down);
	ret = g_test_run();
	fflush(stdout);
	_exit(ret); /* the loops still run */
}
