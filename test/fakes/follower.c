#include "test/fakes/follower.h"

#include "test/fakes/raw_server.h"

#include <string.h>

static void on_up(struct link *k)
{
	((struct fake_leader *)k->arg)->link = k;
}

static void on_down(struct link *k, int err)
{
	struct fake_leader *l = k->arg;

	(void)err;
	if (l->link == k)
		l->link = NULL;
}

static struct link_id identity(u16 port)
{
	return (struct link_id){ .cluster = g_strdup("breizh"),
				 .role = LINK_CONTROL,
				 .name = g_strdup_printf("127.0.0.1:%u", port),
				 .zone = g_strdup("z"),
				 .region = g_strdup("r"),
				 .incarnation = 1 };
}

void fake_leader_start(struct fake_leader *l, fake_leader_frame frame)
{
	memset(l, 0, sizeof(*l));
	l->port = raw_free_port();
	l->loop = loop_new("fake-leader");
	l->self = identity(l->port);
	l->ops = (struct link_ops){ .up = on_up, .frame = frame, .down = on_down };
	l->listener = link_listen(l->loop, &l->self, "127.0.0.1", l->port, &l->ops, l);
	g_assert_nonnull(l->listener);
	g_assert_cmpint(loop_start(l->loop), ==, 0);
}

static void stop_leader(void *arg)
{
	struct fake_leader *l = arg;

	link_stop_listening(l->listener);
	if (l->link)
		link_close(l->link);
}

void fake_leader_stop(struct fake_leader *l)
{
	loop_call(l->loop, stop_leader, l);
	loop_stop(l->loop);
	loop_free(l->loop);
	g_free(l->self.cluster);
	g_free(l->self.name);
	g_free(l->self.zone);
	g_free(l->self.region);
}

static void ignore_timer(void *arg, u64 now_us)
{
	(void)arg;
	(void)now_us;
}

void follower_new(struct follower *f, const struct raft_ops *ops, u32 id, u16 port)
{
	struct member_setting m = { .id = id, .at = { .host = "127.0.0.1", .port = port } };
	struct settings *s = &f->settings;
	struct control *c;

	memset(f, 0, sizeof(*f));
	s->cluster = (char *)"breizh";
	s->control.id = FOLLOWER_ID;
	s->control.members = g_array_new(FALSE, TRUE, sizeof(struct member_setting));
	if (port)
		g_array_append_val(s->control.members, m);
	f->control = c = control_new(s);
	c->self = identity(1);
	c->loop = loop_new("follower");
	c->raft_timer = (struct loop_timer){ .fire = ignore_timer };
	raft_init(&c->raft, ops, c, FOLLOWER_ID, FOLLOWER_ID, 1, loop_clock_us());
}

void follower_add_member(struct follower *f, u32 id, u16 port)
{
	struct raft_members *m = &f->control->raft.members;
	struct raft_member *one = &m->m[m->n++];

	one->id = id;
	one->replica = id;
	one->is_voter = true;
	one->at.port = port;
	g_strlcpy(one->at.host, "127.0.0.1", sizeof(one->at.host));
}

void follower_start(struct follower *f)
{
	peers_start(f->control);
	g_assert_cmpint(loop_start(f->control->loop), ==, 0);
}

static void stop_peers(void *arg)
{
	peers_stop(arg);
}

void follower_stop(struct follower *f)
{
	struct loop *l = f->control->loop;

	loop_call(l, stop_peers, f->control);
	loop_stop(l);
	raft_clear(&f->control->raft);
	control_free(f->control);
	loop_free(l);
	g_array_unref(f->settings.control.members);
}
