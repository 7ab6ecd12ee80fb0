/* Membership requests that a leader keeps, and the processes that it remembers. */
#include "control/join.h"
#include "test/fakes/stepped_raft.h"
#include "wire/ctl.h"
#include "wire/endpoint.h"

#include <arpa/inet.h>

/* As in control/join.c. */
#define REQUEST_TTL_US (1 * US_PER_S)
#define FIRST_HOST 0x7f010001u

static struct settings settings;
static struct control *control;
static struct stepped_raft *stepped;

static void start(void)
{
	settings.control.uses_seeds = true;
	settings.control.losses = 2;
	settings.control.members = g_array_new(FALSE, TRUE, sizeof(struct member_setting));
	control = control_new(&settings);
	control->loop = loop_new("join-test");
	stepped = stepped_new(5, 1, 1);
	stepped_elect(stepped);
	raft_tick(&stepped->r, STEPPED_NOW_US);
	for (u32 id = 2; id <= 5; id++)
		stepped_reply(stepped, id, raft_last_index(&stepped->r), true);
	control->raft = stepped->r;
	join_start(control);
}

static void stop(void)
{
	join_stop(control);
	/* Links that were closed are freed in a turn of the loop. */
	g_assert_cmpint(loop_start(control->loop), ==, 0);
	loop_stop(control->loop);
	stepped->r = control->raft;
	stepped_free(stepped);
	loop_free(control->loop);
	control_free(control);
	g_array_unref(settings.control.members);
}

/* Makes IN the payload of F behind its type. */
static void read_frame(struct frame_out *f, struct frame_in *in)
{
	size_t len = frame_end(f) - FRAME_HEADER_BYTES;

	frame_in_init(in, f->buf.data + FRAME_HEADER_BYTES, len);
	frame_get_u64(in);
}

static void host_of(u32 nth, struct endpoint *at)
{
	struct in_addr in = { .s_addr = htonl(FIRST_HOST + nth) };

	inet_ntop(AF_INET, &in, at->host, sizeof(at->host));
	at->port = 1;
}

/* The process at the NTH address requests membership. */
static u32 request(u32 nth)
{
	struct link from = { .remote.role = LINK_NODE };
	struct endpoint at = { 0 };
	struct frame_in in;
	FRAME_AUTO(f, CTL_JOIN);
	u32 id;

	host_of(nth, &at);
	id = member_id_from_host(at.host);
	frame_put_u64(&f, id);
	frame_put_u64(&f, 1000 + nth);
	endpoint_put(&f, &at);
	read_frame(&f, &in);
	g_assert_cmpint(join_receive_request(control, &from, &in), ==, 0);
	return id;
}

/*
 * Guards against: a leader that has heard requests of 32 addresses drops those of all others, and
 * the group can't replace its members any more.
 */
static void test_requests_of_many_addresses(void)
{
	u32 id;

	start();
	for (u32 i = 0; i < RAFT_MEMBERS_MAX; i++)
		request(i);
	g_usleep(REQUEST_TTL_US + 100 * US_PER_MS);
	id = request(RAFT_MEMBERS_MAX);
	join_update(control, loop_clock_us());
	g_assert_nonnull(raft_member_find(&control->raft.members, id));
	stop();
}

/* A membership of MEMBERS_N addresses, from the NTH on, is received. */
static void receive_members(u32 nth, u32 members_n)
{
	struct frame_in in;
	FRAME_AUTO(f, CTL_MEMBERS);

	frame_put_u64(&f, members_n);
	for (u32 i = 0; i < members_n; i++) {
		struct endpoint at = { 0 };

		host_of(nth + i, &at);
		endpoint_put(&f, &at);
	}
	read_frame(&f, &in);
	g_assert_cmpint(join_receive_members(control, &in), ==, 0);
}

/*
 * Guards against: a process that has heard of 64 addresses remembers no other one, so that it finds
 * the group only through members of long ago.
 */
static void test_members_of_many_addresses(void)
{
	struct endpoint last = { 0 };

	start();
	peers_start(control);
	for (u32 nth = 0; nth < 90; nth += 5)
		receive_members(nth, 5);
	host_of(89, &last);
	/* It has lost the group. */
	control->raft.role = RAFT_FOLLOWER;
	control->raft.leader = 0;
	g_assert_true(join_needs_link(control, member_id_from_host(last.host)));
	control->raft.role = RAFT_LEADER;
	peers_stop(control);
	stop();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/join-request/many-addresses", test_requests_of_many_addresses);
	g_test_add_func("/join-request/members-of-many-addresses", test_members_of_many_addresses);
	return g_test_run();
}
