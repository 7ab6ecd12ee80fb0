/* GET /v1/status: members, nodes, upstreams and revisions, also without a quorum. */
#include "control/api.h"

#include <string.h>

void api_add_in_force(struct control *c, json_t *obj)
{
	struct in_force f;
	json_t *behind = json_array();

	propagate_count_in_force(c, &f);
	for (guint i = 0; i < f.behind->len; i++)
		json_array_append_new(behind, json_string(g_ptr_array_index(f.behind, i)));
	json_object_set_new(obj, "status",
			    json_pack("{s:{s:I, s:i, s:i, s:o}}", "inForce", "revision",
				      (json_int_t)f.revision, "nodes", (int)f.applied_nodes, "of",
				      (int)f.live_nodes, "behind", behind));
	in_force_clear(&f);
}

static json_t *members_json(struct control *c)
{
	json_t *list = json_array();
	u64 now = loop_clock_us();

	for (u32 i = 0; i < c->raft.members.n; i++) {
		const struct raft_member *m = &c->raft.members.m[i];
		const struct raft_progress *p = &c->raft.progress[i];
		g_autofree char *at = g_strdup_printf("%s:%u", m->at.host, m->at.port);
		g_autofree char *replica =
			g_strdup_printf("%016llx", (unsigned long long)m->replica);
		json_t *one = json_pack("{s:i, s:s, s:s, s:b}", "id", (int)m->id, "address", at,
					"replica", replica, "voter", m->is_voter);

		if (c->raft.role == RAFT_LEADER && m->id != c->raft.id) {
			json_object_set_new(one, "match", json_integer((json_int_t)p->match));
			json_object_set_new(one, "silent_ms",
					    json_integer((json_int_t)((now - p->heard_us) / 1000)));
		}
		json_array_append_new(list, one);
	}
	return list;
}

static json_t *nodes_json(struct control *c)
{
	g_autoptr(GPtrArray) items = directory_changes_since(&c->directory, 0);
	json_t *list = json_array();

	for (guint i = 0; i < items->len; i++) {
		const struct directory_item *item = g_ptr_array_index(items, i);
		const struct dir_entry *e = &item->entry;

		json_array_append_new(list,
				      json_pack("{s:s, s:s, s:s, s:s, s:s, s:i, s:i}", "node",
						e->node, "zone", e->zone, "region", e->region,
						"state", dir_state_name(directory_state(item)),
						"service", e->service, "slots", (int)e->slots,
						"control", (int)item->owner));
	}
	return list;
}

static json_t *upstreams_json(struct control *c)
{
	g_autoptr(GPtrArray) items = directory_changes_since(&c->directory, 0);
	json_t *list = json_array();

	for (guint i = 0; i < items->len; i++) {
		const struct directory_item *item = g_ptr_array_index(items, i);
		const struct dir_entry *e = &item->entry;
		enum dir_state state = directory_state(item);

		if (state != DIR_UP && state != DIR_DRAINING)
			continue;
		json_array_append_new(list,
				      json_pack("{s:s, s:s, s:s, s:s, s:i, s:i}", "service",
						e->service, "node", e->node, "zone", e->zone,
						"state", dir_state_name(state), "slots",
						(int)e->slots, "connections", (int)e->connections));
	}
	return list;
}

static const char *role_name(enum raft_role role)
{
	static const char *const names[] = { "forming", "follower", "precandidate", "candidate",
					     "leader" };

	return names[role];
}

static char *render_status(struct control *c, struct api_call *call)
{
	bool is_fresh = raft_is_fresh(&c->raft, 2 * US_PER_S, loop_clock_us());
	json_t *obj = json_pack("{s:s, s:i, s:s, s:I, s:b, s:I, s:I, s:I}", "cluster",
				c->self.cluster, "id", (int)c->raft.id, "role",
				role_name(c->raft.role), "term", (json_int_t)c->raft.term, "fresh",
				is_fresh, "revision", (json_int_t)c->store.revision, "commit",
				(json_int_t)c->raft.commit, "applied", (json_int_t)c->raft.applied);

	(void)call;
	if (c->raft.leader)
		json_object_set_new(obj, "leader", json_pack("{s:i}", "id", (int)c->raft.leader));
	else
		json_object_set_new(obj, "leader", json_null());
	json_object_set_new(obj, "members", members_json(c));
	json_object_set_new(obj, "nodes", nodes_json(c));
	json_object_set_new(obj, "upstreams", upstreams_json(c));
	json_object_set_new(obj, "evacuations", api_evacuations_json(c));
	api_add_in_force(c, obj);
	return api_dump(obj);
}

static void answer_status(struct api_call *call)
{
	api_answer(call, 200, "application/json", NULL, NULL, call->body);
}

static void serve(struct api_call *call)
{
	if (api_is(call, "GET"))
		api_render(call, render_status, answer_status);
	else
		api_answer_method(call, "use GET here");
}

const struct api_resource api_status = {
	.path = "/v1/status",
	.call_bytes = sizeof(struct api_call),
	.serve = serve,
};
