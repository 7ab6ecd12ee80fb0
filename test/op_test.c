/* Operations of a follower, between fake leaders. */
#include "control/control.h"
#include "control/op.h"
#include "lib/err.h"
#include "test/fakes/raw_server.h"
#include "wire/ctl.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define WAIT_MS 20000
/* Much shorter than the time after which a link on which nothing is heard is closed. */
#define NEXT_LEADER_MS 500
#define SELF 1

/* A fake leader, which counts what is forwarded to it and answers when told to. */
struct leader {
	struct loop *loop;
	struct link_id self;
	struct link_listener *listener;
	struct link *link;
	u16 port;
	gint forwards;
	u64 request; /* id of the last one */
};

static struct leader leaders[2]; /* members 2 and 3 */
static struct control *control;
static struct settings settings;
static gint outcome; /* of the last operation that ended */

static void on_up(struct link *k)
{
	((struct leader *)k->arg)->link = k;
}

static int on_frame(struct link *k, u32 type, struct frame_in *in)
{
	struct leader *l = k->arg;

	if (type != CTL_FORWARD)
		return 0;
	l->request = frame_get_u64(in);
	g_atomic_int_inc(&l->forwards);
	return 0;
}

static void on_down(struct link *k, int err)
{
	(void)k;
	(void)err;
}

static const struct link_ops ops = { .up = on_up, .frame = on_frame, .down = on_down };

static void start_leader(struct leader *l)
{
	int fd = raw_listen(&l->port);

	close(fd);
	l->loop = loop_new("fake-leader");
	l->self = (struct link_id){ .cluster = (char *)"breizh",
				    .role = LINK_CONTROL,
				    .name = g_strdup_printf("127.0.0.1:%u", l->port),
				    .zone = (char *)"z",
				    .region = (char *)"r",
				    .incarnation = 1 };
	l->listener = link_listen(l->loop, &l->self, "127.0.0.1", l->port, &ops, l);
	g_assert_nonnull(l->listener);
	g_assert_cmpint(loop_start(l->loop), ==, 0);
}

static void send_answer(void *arg)
{
	struct leader *l = arg;
	FRAME_AUTO(f, CTL_FORWARD_RESULT);

	frame_put_u64(&f, l->request);
	frame_put_u64(&f, OP_DONE);
	frame_put_u64(&f, 0);
	frame_put_u64(&f, 0);
	frame_put_u64(&f, 0);
	frame_put_bool(&f, false);
	frame_put_u64(&f, control->raft.applied);
	frame_put_str(&f, "");
	link_send(l->link, &f);
}

static void add_member(struct raft_members *m, u32 id, u16 port)
{
	struct raft_member *one = &m->m[m->n++];

	one->id = id;
	one->replica = id;
	one->is_voter = true;
	one->at.port = port;
	g_strlcpy(one->at.host, "127.0.0.1", sizeof(one->at.host));
}

/* A follower whose timers don't fire: the test says who leads, and polls the operations. */
static void start_follower(void)
{
	struct raft *r;

	settings.cluster = (char *)"breizh";
	settings.control.id = SELF;
	settings.control.members = g_array_new(FALSE, TRUE, sizeof(struct member_setting));
	control = control_new(&settings);
	control->self = (struct link_id){ .cluster = (char *)"breizh",
					  .role = LINK_CONTROL,
					  .name = (char *)"127.0.0.1:1",
					  .zone = (char *)"z",
					  .region = (char *)"r",
					  .incarnation = 1 };
	control->loop = loop_new("follower");
	r = &control->raft;
	raft_init(r, NULL, control, SELF, SELF, 1, loop_clock_us());
	r->role = RAFT_FOLLOWER;
	r->leader = 2;
	r->applied = 7;
	r->election_due_us = UINT64_MAX;
	add_member(&r->members, SELF, 1);
	add_member(&r->members, 2, leaders[0].port);
	add_member(&r->members, 3, leaders[1].port);
	peers_start(control);
	g_assert_cmpint(loop_start(control->loop), ==, 0);
}

static void check_links(void *arg)
{
	*(bool *)arg = peers_link(control, 2) && peers_link(control, 3);
}

static void start(void)
{
	bool are_up = false;

	log_open(NULL, LOG_ERROR, LOG_TEXT);
	start_leader(&leaders[0]);
	start_leader(&leaders[1]);
	start_follower();
	for (u32 i = 0; i < WAIT_MS && !are_up; i++) {
		g_usleep(US_PER_MS);
		loop_call(control->loop, check_links, &are_up);
	}
	g_assert_true(are_up);
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
	op_submit(control, o);
}

static void set_leader(void *arg)
{
	control->raft.leader = GPOINTER_TO_UINT(arg);
}

static void poll_ops(void *arg)
{
	(void)arg;
	op_poll(control, loop_clock_us());
}

/* Polls for at most SPAN_MS, until the leader has got N forwarded operations. */
static void wait_forwards(struct leader *l, gint n, u32 span_ms)
{
	for (u32 i = 0; i < span_ms && g_atomic_int_get(&l->forwards) < n; i++) {
		loop_call(control->loop, poll_ops, NULL);
		g_usleep(US_PER_MS);
	}
	g_assert_cmpint(g_atomic_int_get(&l->forwards), ==, n);
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
	loop_call(control->loop, submit, GINT_TO_POINTER(OP_READ));
	wait_forwards(&leaders[0], 1, WAIT_MS);
	/* No leader is known for a while. */
	loop_call(control->loop, set_leader, GUINT_TO_POINTER(0));
	loop_call(control->loop, poll_ops, NULL);
	loop_call(control->loop, set_leader, GUINT_TO_POINTER(3));
	wait_forwards(&leaders[1], 1, NEXT_LEADER_MS);
	loop_call(leaders[1].loop, send_answer, &leaders[1]);
	wait_outcome(OP_DONE);
	/* The former leader's answer comes late, and nothing waits for it. */
	loop_call(leaders[0].loop, send_answer, &leaders[0]);
	loop_call(control->loop, submit, GINT_TO_POINTER(OP_READ));
	wait_forwards(&leaders[1], 2, WAIT_MS);
	g_assert_cmpint(g_atomic_int_get(&outcome), ==, OP_PENDING);
	g_assert_cmpint(g_atomic_int_get(&leaders[0].forwards), ==, 1);
}

/* A change may have been accepted by the former leader, so it is not proposed again meanwhile. */
static void test_change_stays_with_a_former_leader(void)
{
	start();
	loop_call(control->loop, submit, GINT_TO_POINTER(OP_CHANGE));
	wait_forwards(&leaders[0], 1, WAIT_MS);
	loop_call(control->loop, set_leader, GUINT_TO_POINTER(3));
	wait_forwards(&leaders[1], 0, 1);
	for (u32 i = 0; i < NEXT_LEADER_MS; i++)
		wait_forwards(&leaders[1], 0, 1);
	loop_call(leaders[0].loop, send_answer, &leaders[0]);
	wait_outcome(OP_DONE);
}

int main(int argc, char **argv)
{
	int ret;

	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/op/read-waits-for-a-former-leader", test_read_waits_for_a_former_leader);
	g_test_add_func("/op/change-stays-with-a-former-leader",
			test_change_stays_with_a_former_leader);
	ret = g_test_run();
	fflush(stdout);
	_exit(ret); /* the loops still run */
}
