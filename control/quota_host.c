#include "control/quota_host.h"

#include "lib/err.h"
#include "lib/set.h"
#include "wire/ctl.h"
#include "wire/quota.h"

#include <string.h>

#define NAME_MAX_BYTES SET_TEXT_MAX_BYTES

static enum quota_role role_of(const struct control *c, u64 now_us)
{
	bool leads = c->raft.role == RAFT_LEADER;

	if (!raft_is_fresh(&c->raft, CTL_LEASE_US, now_us))
		return leads ? QUOTA_PAUSED : QUOTA_ALONE;
	return leads ? QUOTA_LEADER : QUOTA_FOLLOWER;
}

static void update_limits(struct control *c, u64 now_us)
{
	struct config_frames *frames = &c->config_streams.frames;

	if (c->quota_revision == c->store.revision && c->quota_processes == c->raft.members.n)
		return;
	config_frames_observe(frames, &c->store);
	quota_pool_set_limits(&c->quota_pool, frames->set_history.newest, c->raft.members.n,
			      now_us);
	c->quota_revision = c->store.revision;
	c->quota_processes = c->raft.members.n;
}

void quota_host_tick(struct control *c, u64 now_us)
{
	quota_pool_set_role(&c->quota_pool, role_of(c, now_us), now_us);
	update_limits(c, now_us);
}

static void decide(struct control *c, const struct quota_request *request,
		   struct quota_grant *grant)
{
	u64 now = loop_clock_us();

	quota_host_tick(c, now);
	quota_pool_request(&c->quota_pool, request, grant, now);
}

/*
 * Returns the link to the leader, NULL if this process has to decide. A request that comes again
 * was passed on to a leader that did not answer.
 */
static struct link *leader_link(struct control *c, const struct quota_request *request)
{
	if (request->is_repeat || role_of(c, loop_clock_us()) != QUOTA_FOLLOWER)
		return NULL;
	return peers_link(c, c->raft.leader);
}

static void answer(struct control *c, struct link *k, const struct quota_request *request)
{
	__attribute__((cleanup(quota_grant_clear))) struct quota_grant grant = { 0 };
	FRAME_AUTO(f, CTL_QUOTA_GRANT);

	quota_grant_init(&grant);
	decide(c, request, &grant);
	quota_grant_put(&f, &grant);
	link_send(k, &f);
}

int quota_host_receive_request(struct control *c, struct link *k, struct frame_in *in)
{
	__attribute__((cleanup(quota_request_clear))) struct quota_request request = { 0 };
	FRAME_AUTO(f, CTL_QUOTA_FORWARD);
	struct link *leader;

	quota_request_init(&request);
	quota_request_get(in, &request);
	if (frame_done(in))
		return ERR_INVAL;
	leader = leader_link(c, &request);
	if (!leader) {
		answer(c, k, &request);
		return 0;
	}
	frame_put_str(&f, k->remote.name);
	frame_put_u64(&f, k->remote.incarnation);
	quota_request_put(&f, &request);
	link_send(leader, &f);
	return 0;
}

int quota_host_receive_forward(struct control *c, struct link *k, struct frame_in *in)
{
	__attribute__((cleanup(quota_request_clear))) struct quota_request request = { 0 };
	__attribute__((cleanup(quota_grant_clear))) struct quota_grant grant = { 0 };
	g_autofree char *node = frame_get_str(in, NAME_MAX_BYTES);
	u64 incarnation = frame_get_u64(in);
	FRAME_AUTO(f, CTL_QUOTA_FORWARD_GRANT);

	quota_request_init(&request);
	quota_grant_init(&grant);
	quota_request_get(in, &request);
	if (frame_done(in))
		return ERR_INVAL;
	/* Only the leader's buckets serve the nodes of other processes; they have reserves too. */
	grant.number = request.number;
	if (role_of(c, loop_clock_us()) == QUOTA_LEADER)
		decide(c, &request, &grant);
	frame_put_str(&f, node);
	frame_put_u64(&f, incarnation);
	quota_grant_put(&f, &grant);
	link_send(k, &f);
	return 0;
}

int quota_host_receive_grant(struct control *c, struct frame_in *in)
{
	__attribute__((cleanup(quota_grant_clear))) struct quota_grant grant = { 0 };
	g_autofree char *node = frame_get_str(in, NAME_MAX_BYTES);
	u64 incarnation = frame_get_u64(in);
	struct link *k = nodes_find_link(c, node, incarnation);
	FRAME_AUTO(f, CTL_QUOTA_GRANT);

	quota_grant_init(&grant);
	quota_grant_get(in, &grant);
	if (frame_done(in))
		return ERR_INVAL;
	quota_grant_put(&f, &grant);
	if (k)
		link_send(k, &f);
	return 0;
}
