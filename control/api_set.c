/* GET and PUT /v1/set: a configuration that is replaced as a whole. */
#include "control/api.h"

#include "lib/log.h"
#include "lib/set.h"

#include <string.h>
#include <xxhash.h>

struct set_call {
	struct api_call call; /* must be first */
	/* Of a PUT. */
	u64 base; /* the version that it replaces */
	u64 version;
	char *change_id;
};

/*
 * The same set on the same base is the same change, whoever sends it, so the change id is a
 * hash of both.
 */
static char *make_change_id(const GByteArray *body, u64 base)
{
	XXH128_hash_t h = XXH3_128bits_withSeed(body->data, body->len, base);

	return g_strdup_printf("set-%016llx%016llx", (unsigned long long)h.high64,
			       (unsigned long long)h.low64);
}

/* Without If-Match, this must be the first set. */
static u64 read_base(const struct api_call *call, struct findings *found)
{
	const char *match = api_header(call, "If-Match");
	u64 base = 0;

	if (match && !api_parse_version(match, &base))
		findings_add(found, "If-Match", "not a version number");
	return base;
}

static void log_change(const struct set_call *s)
{
	static const char *const names[] = { "pending", "done", "not-run", "unknown" };
	const struct op *o = s->call.op;

	log_event(LOG_INFO, "set replacement finished", "version", log_u64(s->version), "base",
		  log_u64(s->base), "change", s->change_id, "outcome", names[o->outcome], "status",
		  log_u64(o->result.status), "current", log_u64(o->result.version), "repeat",
		  o->result.is_repeat ? "yes" : "no", NULL);
}

static char *render_change(struct control *c, struct api_call *call)
{
	const struct store_result *r = &call->op->result;
	json_t *obj = json_pack("{s:I, s:I}", "version", (json_int_t)r->version, "revision",
				(json_int_t)r->revision);

	(void)c;
	if (r->status == 412)
		json_object_set_new(obj, "error", json_string("another version is current"));
	return api_dump(obj);
}

static void answer_change(struct api_call *call)
{
	u16 status = call->op->result.status;

	log_change((const struct set_call *)call);
	api_answer_result(call, status == 201 ? 200 : status);
}

static void refuse(struct api_call *call, const struct findings *found)
{
	const struct set_call *s = (const struct set_call *)call;

	log_event(LOG_INFO, "set refused", "base", log_u64(s->base), "findings",
		  log_u64(findings_count(found)), "place", findings_at(found, 0)->place, "text",
		  findings_at(found, 0)->text, NULL);
	api_answer_findings(call, found);
}

static void run_change(struct api_call *call)
{
	__attribute__((cleanup(store_change_clear))) struct store_change change = { 0 };
	struct set_call *s = (struct set_call *)call;
	const GByteArray *body = call->request->msg->body;

	s->change_id = make_change_id(body, s->base);
	change.op = STORE_SET;
	change.name = g_strdup(SET_NAME);
	change.has_if_match = true;
	change.if_match = s->base;
	change.version = s->version;
	change.change_id = g_strdup(s->change_id);
	change.json = g_strndup((const char *)body->data, body->len);
	api_run_change(call, &change, render_change, answer_change);
}

static void put_set(struct api_call *call)
{
	FINDINGS_AUTO(found);
	struct set_call *s = (struct set_call *)call;
	const GByteArray *body = call->request->msg->body;
	struct set *set;

	s->base = read_base(call, &found);
	set = set_parse((const char *)body->data, body->len, &found);
	if (set && set->version <= s->base)
		findings_add(&found, "$.version", "not above the version that it builds on");
	s->version = set ? set->version : 0;
	set_free(set);
	if (findings_count(&found))
		refuse(call, &found);
	else
		run_change(call);
}

static char *render_set(struct control *c, struct api_call *call)
{
	const struct store_item *item = store_find(&c->store, SET_NAME);

	(void)call;
	return item ? g_strdup(item->json) : NULL;
}

static void serve(struct api_call *call)
{
	if (api_is(call, "GET"))
		api_run_read(call, render_set, "no set was declared");
	else if (api_is(call, "PUT"))
		put_set(call);
	else
		api_answer_method(call, "use GET or PUT");
}

static void clear(struct api_call *call)
{
	g_free(((struct set_call *)call)->change_id);
}

const struct api_resource api_set = {
	.path = "/v1/set",
	.call_bytes = sizeof(struct set_call),
	.serve = serve,
	.clear = clear,
};
