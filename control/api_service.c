/* /v1/services: the declared services. */
#include "control/api.h"

#include "lib/ctr.h"
#include "lib/json_text.h"
#include "lib/res.h"

#include <string.h>

struct service_call {
	struct api_call call; /* must be first */
	char *json; /* the service that a PUT declares, as it is stored */
};

static json_t *item_json(const char *json, u64 version, u64 revision)
{
	json_error_t error;
	json_t *obj = json_text_load_accepted(json, strlen(json), 0, &error);

	json_object_set_new(obj, "version", json_integer((json_int_t)version));
	json_object_set_new(obj, "revision", json_integer((json_int_t)revision));
	return obj;
}

/* Changes */

static char *render_change(struct control *c, struct api_call *call)
{
	const struct service_call *change = (const struct service_call *)call;
	const struct store_result *r = &call->op->result;
	json_t *obj;

	if (r->status >= 300 || !change->json)
		obj = json_pack("{s:I, s:I}", "version", (json_int_t)r->version, "revision",
				(json_int_t)r->revision);
	else
		obj = item_json(change->json, r->version, r->revision);
	if (r->status == 409)
		json_object_set_new(obj, "error", json_string("version conflict"));
	if (r->status == 422)
		json_object_set_new(obj, "error",
				    json_string("this Change-Id was used for another change"));
	if (r->status == 404)
		json_object_set_new(obj, "error", json_string("no such service"));
	api_add_in_force(c, obj);
	return api_dump(obj);
}

static void answer_change(struct api_call *call)
{
	api_answer_result(call, call->op->result.status);
}

static void put_service(struct api_call *call)
{
	FINDINGS_AUTO(found);
	__attribute__((cleanup(store_change_clear))) struct store_change change = { 0 };
	const GByteArray *body = call->request->msg->body;
	struct res_service *s;

	if (body->len > RES_JSON_MAX_BYTES) {
		ctr_inc(CTR_BODY_TOO_LARGE);
		api_answer_error(call, 413, "not-run", ctr_name(CTR_BODY_TOO_LARGE),
				 "the declaration is too large");
		return;
	}
	change.op = STORE_PUT;
	change.name = g_strdup(call->rest);
	api_read_change_headers(call, &change, &found);
	s = res_parse((const char *)body->data, body->len, &found);
	if (s && strcmp(s->name, call->rest))
		findings_add(&found, "$.name", "is \"%s\", the path says \"%s\"", s->name,
			     call->rest);
	if (s)
		change.json = res_dump(s);
	res_free(s);
	if (findings_count(&found)) {
		api_answer_findings(call, &found);
		return;
	}
	((struct service_call *)call)->json = g_strdup(change.json);
	api_run_change(call, &change, render_change, answer_change);
}

static void delete_service(struct api_call *call)
{
	FINDINGS_AUTO(found);
	__attribute__((cleanup(store_change_clear))) struct store_change change = { 0 };

	change.op = STORE_DELETE;
	change.name = g_strdup(call->rest);
	api_read_change_headers(call, &change, &found);
	if (findings_count(&found))
		api_answer_findings(call, &found);
	else
		api_run_change(call, &change, render_change, answer_change);
}

/* Reads */

static char *render_service(struct control *c, struct api_call *call)
{
	const struct store_item *item = store_find(&c->store, call->rest);
	json_t *obj;

	if (!item)
		return NULL;
	obj = item_json(item->json, item->version, item->revision);
	api_add_in_force(c, obj);
	return api_dump(obj);
}

static char *render_services(struct control *c, struct api_call *call)
{
	bool unused;
	g_autoptr(GPtrArray) items = store_changes_since(&c->store, 0, &unused);
	json_t *list = json_array();
	json_t *obj;

	(void)call;
	for (guint i = 0; i < items->len; i++) {
		const struct store_item *item = g_ptr_array_index(items, i);

		/* The set and the evacuations are resources of their own. */
		if (*item->name == '/')
			continue;
		json_array_append_new(list, item_json(item->json, item->version, item->revision));
	}
	obj = json_pack("{s:o, s:I}", "services", list, "revision", (json_int_t)c->store.revision);
	api_add_in_force(c, obj);
	return api_dump(obj);
}

static void on_list(struct api_call *call)
{
	if (api_is(call, "GET"))
		api_run_read(call, render_services, "no such service");
	else
		api_answer_method(call, "use GET here");
}

static void serve(struct api_call *call)
{
	if (!call->rest)
		on_list(call);
	else if (!res_is_valid_name(call->rest))
		api_answer_error(call, 400, "not-run", ctr_name(CTR_CHANGE_INVALID),
				 "not a service name");
	else if (api_is(call, "GET"))
		api_run_read(call, render_service, "no such service");
	else if (api_is(call, "PUT"))
		put_service(call);
	else if (api_is(call, "DELETE"))
		delete_service(call);
	else
		api_answer_method(call, "use GET, PUT or DELETE");
}

static void clear(struct api_call *call)
{
	g_free(((struct service_call *)call)->json);
}

const struct api_resource api_services = {
	.path = "/v1/services",
	.call_bytes = sizeof(struct service_call),
	.serve = serve,
	.clear = clear,
};
