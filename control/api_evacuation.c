/* /v1/evacuations: availability zones whose upstreams are to get no calls. */
#include "control/api.h"

#include "control/evacuation.h"
#include "lib/ctr.h"
#include "lib/log.h"

#include <string.h>

/* An order for a zone. */
struct order {
	struct api_call call; /* must be first */
	struct store_change change;
	bool is_wanted; /* the zone is to be evacuated */
	bool is_known; /* the zone exists */
	bool is_in_force; /* the zone was evacuated before */
	u64 began_us;
};

json_t *api_evacuations_json(const struct control *c)
{
	g_autoptr(GPtrArray) zones = evacuation_zones(&c->store);
	json_t *list = json_array();

	for (guint i = 0; i < zones->len; i++)
		json_array_append_new(list, json_string(g_ptr_array_index(zones, i)));
	return list;
}

/*
 * Nodes that are gone stay in the directory for a while, so that a zone that has lost all its VMs
 * is still known.
 */
static bool is_known_zone(struct control *c, const char *zone)
{
	g_autoptr(GPtrArray) items = directory_changes_since(&c->directory, 0);

	for (guint i = 0; i < items->len; i++) {
		const struct directory_item *item = g_ptr_array_index(items, i);

		if (!strcmp(item->entry.zone, zone))
			return true;
	}
	return !strcmp(c->settings->control.zone, zone);
}

static char *render_refusal(const struct store_result *r)
{
	const char *text = r->status == 409 ? "version conflict" :
					      "this Change-Id was used for another change";

	return api_dump(json_pack("{s:s, s:I, s:I}", "error", text, "version",
				  (json_int_t)r->version, "revision", (json_int_t)r->revision));
}

/* Runs once this process has what the leader has. */
static char *render_state(struct control *c, struct api_call *call)
{
	struct order *o = (struct order *)call;

	o->is_in_force = store_find(&c->store, o->change.name) != NULL;
	o->is_known = o->is_in_force || is_known_zone(c, call->rest);
	return NULL;
}

static char *render_order(struct control *c, struct api_call *call)
{
	const struct order *o = (const struct order *)call;
	const struct store_result *r = &call->op->result;
	json_t *obj;

	if (r->status >= 300)
		return render_refusal(r);
	obj = json_pack("{s:s, s:b, s:I, s:I}", "zone", call->rest, "evacuated", o->is_wanted,
			"version", (json_int_t)r->version, "revision",
			(json_int_t)c->store.revision);
	api_add_in_force(c, obj);
	return api_dump(obj);
}

static void log_order(const struct order *o, u16 status)
{
	const struct store_result *r = &o->call.op->result;

	log_event(LOG_INFO, "evacuation order finished", "zone", o->call.rest, "evacuated",
		  o->is_wanted ? "yes" : "no", "before", o->is_in_force ? "yes" : "no", "status",
		  log_u64(status), "version", log_u64(r->version), "revision", log_u64(r->revision),
		  "repeat", r->is_repeat ? "yes" : "no", "proposals",
		  log_u64(o->call.order.proposals), "took_us",
		  log_u64(loop_clock_us() - o->began_us), NULL);
}

static void answer_order(struct api_call *call)
{
	u16 status = call->op->outcome == OP_DONE ? call->op->result.status : 503;

	status = status == 201 ? 200 : status;
	log_order((const struct order *)call, status);
	api_answer_result(call, status);
}

/* Goes on with an order once the leader has said whether the zone exists. */
static void on_state(struct api_call *call)
{
	struct order *o = (struct order *)call;

	if (call->op->outcome != OP_DONE) {
		answer_order(call);
	} else if (!o->is_known) {
		log_order(o, 404);
		api_answer_error(call, 404, "not-run", NULL, "no such zone");
	} else {
		api_run_change(call, &o->change, render_order, answer_order);
	}
}

static void change_zone(struct api_call *call, bool is_wanted)
{
	FINDINGS_AUTO(found);
	struct order *o = (struct order *)call;

	o->is_wanted = is_wanted;
	o->began_us = loop_clock_us();
	o->change.op = is_wanted ? STORE_PUT : STORE_DELETE;
	o->change.name = evacuation_item_name(call->rest);
	o->change.json = is_wanted ? g_strdup("{}") : NULL;
	api_read_change_headers(call, &o->change, &found);
	if (!evacuation_is_zone(call->rest))
		api_answer_error(call, 400, "not-run", ctr_name(CTR_CHANGE_INVALID),
				 "not the name of a zone");
	else if (findings_count(&found))
		api_answer_findings(call, &found);
	else
		api_run_op(call, op_new(OP_READ), render_state, on_state);
}

static void clear(struct api_call *call)
{
	store_change_clear(&((struct order *)call)->change);
}

static char *render_list(struct control *c, struct api_call *call)
{
	(void)call;
	return api_dump(json_pack("{s:o, s:I}", "evacuations", api_evacuations_json(c), "revision",
				  (json_int_t)c->store.revision));
}

static void serve(struct api_call *call)
{
	if (!call->rest && api_is(call, "GET"))
		api_run_read(call, render_list, "");
	else if (!call->rest)
		api_answer_method(call, "use GET, or name a zone");
	else if (api_is(call, "PUT"))
		change_zone(call, true);
	else if (api_is(call, "DELETE"))
		change_zone(call, false);
	else
		api_answer_method(call, "use PUT or DELETE");
}

const struct api_resource api_evacuations = {
	.path = "/v1/evacuations",
	.call_bytes = sizeof(struct order),
	.serve = serve,
	.clear = clear,
};
