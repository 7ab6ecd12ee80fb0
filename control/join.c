#include "control/join.h"

#include "control/control_peer.h"
#include "control/membership.h"
#include "lib/ctr.h"
#include "lib/err.h"
#include "lib/log.h"
#include "wire/ctl.h"
#include "wire/endpoint.h"

#include <string.h>

#define CHECK_INTERVAL_US (200 * US_PER_MS)
/* Processes that are remembered to reach the group; there are no more seeds than members. */
#define KNOWN_MAX (2 * RAFT_MEMBERS_MAX)

struct join {
	struct loop_timer timer;
	GArray *requests; /* of struct membership_request */
	GArray *known; /* of struct member_setting: seeds, and members received from peers */
};

static bool is_enabled(const struct control *c)
{
	return c->settings->control.uses_seeds;
}

static bool is_seed(const struct control *c, u32 id)
{
	const GArray *list = c->settings->control.members;

	for (guint i = 0; i < list->len; i++)
		if (g_array_index(list, struct member_setting, i).id == id)
			return true;
	return false;
}

bool join_is_founder(const struct control *c)
{
	return c->settings->control.may_form_group && is_seed(c, c->settings->control.id);
}

static u32 voters_required(const struct control *c)
{
	return 2 * c->settings->control.losses + 1;
}

bool join_is_complete(const struct control *c)
{
	return !is_enabled(c) || c->store.revision || voters_count(&c->raft) >= voters_required(c);
}

/* Requesting membership */

static bool needs_group(const struct control *c, u64 now_us)
{
	return membership_is_needed(&c->raft, join_is_founder(c), now_us);
}

static void send_request(struct link *k, const struct membership_request *r)
{
	FRAME_AUTO(f, CTL_JOIN);

	frame_put_u64(&f, r->id);
	frame_put_u64(&f, r->replica);
	endpoint_put(&f, &r->at);
	link_send(k, &f);
}

static void send_own_request(struct control *c, struct control_peer *p)
{
	const struct control_settings *s = &c->settings->control;
	struct membership_request r = { .id = c->raft.id,
					.replica = c->raft.replica,
					.at.port = s->peer_port };

	g_strlcpy(r.at.host, s->address, sizeof(r.at.host));
	send_request(p->link, &r);
}

/* Addresses */

static void remove_known(struct join *j, u32 id)
{
	for (guint i = 0; i < j->known->len; i++) {
		if (g_array_index(j->known, struct member_setting, i).id != id)
			continue;
		g_array_remove_index(j->known, i);
		return;
	}
}

/* Removes the process that was named least recently; the seeds stay. */
static void remove_oldest_known(struct control *c)
{
	GArray *known = c->join->known;
	guint i = 0;

	while (i < known->len && is_seed(c, g_array_index(known, struct member_setting, i).id))
		i++;
	if (i < known->len)
		g_array_remove_index(known, i);
}

static void add_known(struct control *c, u32 id, const struct endpoint *at)
{
	struct member_setting m = { .id = id, .at = *at };

	remove_known(c->join, id);
	if (c->join->known->len >= KNOWN_MAX)
		remove_oldest_known(c);
	g_array_append_val(c->join->known, m);
}

void join_send_members(struct control *c, struct link *k)
{
	FRAME_AUTO(f, CTL_MEMBERS);

	frame_put_u64(&f, c->raft.members.n);
	for (u32 i = 0; i < c->raft.members.n; i++)
		endpoint_put(&f, &c->raft.members.m[i].at);
	link_send(k, &f);
}

int join_receive_members(struct control *c, struct frame_in *in)
{
	u32 n = frame_get_count(in, RAFT_MEMBERS_MAX);

	for (u32 i = 0; i < n && !in->err; i++) {
		struct endpoint at;
		u32 id;

		endpoint_get(in, &at);
		id = member_id_from_host(at.host);
		if (!in->err && is_enabled(c) && id)
			add_known(c, id, &at);
	}
	if (frame_done(in))
		return ERR_INVAL;
	peers_refresh(c);
	return 0;
}

bool join_needs_link(struct control *c, u32 id)
{
	if (!is_enabled(c) || !needs_group(c, loop_clock_us()))
		return false;
	for (guint i = 0; i < c->join->known->len; i++)
		if (g_array_index(c->join->known, struct member_setting, i).id == id)
			return true;
	return false;
}

void join_each_needed(struct control *c,
		      void (*fn)(struct control *c, u32 id, const struct endpoint *at))
{
	if (!is_enabled(c) || !needs_group(c, loop_clock_us()))
		return;
	for (guint i = 0; i < c->join->known->len; i++) {
		const struct member_setting *m =
			&g_array_index(c->join->known, struct member_setting, i);

		fn(c, m->id, &m->at);
	}
}

/* Receiving requests */

static int get_request(struct frame_in *in, struct membership_request *r)
{
	r->id = (u32)frame_get_u64(in);
	r->replica = frame_get_u64(in);
	endpoint_get(in, &r->at);
	r->heard_us = loop_clock_us();
	return frame_done(in) || !r->id || !r->replica ? ERR_INVAL : 0;
}

static void forward_to_leader(struct control *c, const struct membership_request *r)
{
	struct link *k = c->raft.leader ? peers_link(c, c->raft.leader) : NULL;

	if (k && c->raft.leader != r->id)
		send_request(k, r);
}

int join_receive_request(struct control *c, struct link *k, struct frame_in *in)
{
	struct membership_request r = { 0 };

	if (get_request(in, &r))
		return ERR_INVAL;
	if (!is_enabled(c))
		return 0;
	if (c->raft.members.n && k->remote.role == LINK_CONTROL)
		join_send_members(c, k);
	if (c->raft.role == RAFT_LEADER)
		membership_store(c->join->requests, &r);
	else
		forward_to_leader(c, &r);
	return 0;
}

/* Membership */

void join_update(struct control *c, u64 now_us)
{
	struct voters_change change;
	g_autofree char *who = NULL;
	u64 index;
	int err;

	if (!membership_next_change(&c->raft, c->join->requests, voters_required(c), now_us,
				    &change))
		return;
	err = raft_propose_members(&c->raft, &change.next, now_us, &index);
	who = g_strdup_printf("%u", change.id);
	log_event(err ? LOG_WARN : LOG_INFO, "membership change", "member", who, "change",
		  change.what, "voters", log_u64(voters_count(&c->raft)), "error",
		  err ? err_text(err) : "", NULL);
}

/* Leaving */

bool join_leave(struct control *c)
{
	struct link *k = c->raft.leader ? peers_link(c, c->raft.leader) : NULL;
	FRAME_AUTO(f, CTL_LEAVE);

	if (!is_enabled(c) || !voters_may_replace(&c->raft, voters_required(c)))
		return false;
	frame_put_u64(&f, c->raft.id);
	frame_put_u64(&f, c->raft.replica);
	if (k)
		link_send(k, &f);
	return true;
}

int join_receive_leave(struct control *c, struct frame_in *in)
{
	u32 id = (u32)frame_get_u64(in);
	u64 replica = frame_get_u64(in);
	u64 now_us = loop_clock_us();

	if (frame_done(in))
		return ERR_INVAL;
	if (!is_enabled(c) || c->raft.role != RAFT_LEADER)
		return 0;
	voters_leave(&c->raft, id, replica, now_us);
	join_update(c, now_us);
	raft_host_arm(c);
	return 0;
}

static void on_timer(void *arg, u64 now_us)
{
	struct control *c = arg;

	if (c->raft.role == RAFT_LEADER) {
		join_update(c, now_us);
		raft_host_arm(c);
	} else if (needs_group(c, now_us)) {
		peers_refresh(c);
		peers_each(c, send_own_request);
	}
	loop_timer_set(c->loop, &c->join->timer, now_us + CHECK_INTERVAL_US);
}

void join_start(struct control *c)
{
	const GArray *seeds = c->settings->control.members;
	struct join *j = g_new0(struct join, 1);

	c->join = j;

	j->requests = g_array_new(FALSE, TRUE, sizeof(struct membership_request));
	j->known = g_array_new(FALSE, TRUE, sizeof(struct member_setting));
	j->timer = (struct loop_timer){ .fire = on_timer, .arg = c };
	if (!is_enabled(c))
		return;
	for (guint i = 0; i < seeds->len; i++) {
		const struct member_setting *m = &g_array_index(seeds, struct member_setting, i);

		add_known(c, m->id, &m->at);
	}
	loop_timer_set(c->loop, &j->timer, loop_clock_us() + CHECK_INTERVAL_US);
}

void join_stop(struct control *c)
{
	loop_timer_cancel(c->loop, &c->join->timer);
	g_array_unref(c->join->requests);
	g_array_unref(c->join->known);
	g_clear_pointer(&c->join, g_free);
}
