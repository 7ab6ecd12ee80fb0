/* GET and PUT /v1/set: a configuration that is replaced as a whole. */
#include "control/api.h"

#include "lib/ctr.h"
#include "lib/err.h"
#include "lib/http_server.h"
#include "lib/log.h"
#include "lib/set.h"

#include <string.h>
#include <xxhash.h>

/*
 * The same set on the same base is the same change, whoever sends it, so the change id is a
 * hash of both.
 */
static char *change_id(const GByteArray *body, u64 base)
{
	XXH128_hash_t h = XXH3_128bits_withSeed(body->data, body->len, base);

	return g_strdup_printf("set-%016llx%016llx", (unsigned long long)h.high64,
			       (unsigned long long)h.low64);
}

static void read_base(struct mg_connection *conn, struct store_change *change,
		      struct findings *found)
{
	const char *match = mg_get_header(conn, "If-Match");

	/* Without If-Match, this must be the first set. */
	change->has_if_match = true;
	if (match && !api_parse_version(match, &change->if_match))
		findings_add(found, "If-Match", "not a version number");
}

static void log_change(const struct store_change *change, const struct api_waiter *w)
{
	static const char *const names[] = { "pending", "done", "not-run", "unknown" };
	const struct op *o = w->op;

	log_event(LOG_INFO, "set replacement finished", "version", log_u64(change->version), "base",
		  log_u64(change->if_match), "change", change->change_id, "outcome",
		  names[o->outcome], "status", log_u64(o->result.status), "current",
		  log_u64(o->result.version), "repeat", o->result.is_repeat ? "yes" : "no", NULL);
}

static char *render_change(struct control *c, struct api_waiter *w)
{
	const struct store_result *r = &w->op->result;
	json_t *obj = json_pack("{s:I, s:I}", "version", (json_int_t)r->version, "revision",
				(json_int_t)r->revision);

	(void)c;
	if (r->status == 412)
		json_object_set_new(obj, "error", json_string("another version is current"));
	return api_dump(obj);
}

static int run_change(struct control *c, struct mg_connection *conn,
		      const struct store_change *change)
{
	struct api_waiter w = { .control = c, .render = render_change };

	api_run_change(&w, change);
	log_change(change, &w);
	return api_send_result(conn, &w, w.op->result.status == 201 ? 200 : w.op->result.status);
}

static int put_set(struct control *c, struct mg_connection *conn)
{
	FINDINGS_AUTO(found);
	__attribute__((cleanup(store_change_clear))) struct store_change change = { 0 };
	g_autoptr(GByteArray) body = g_byte_array_new();
	struct set *set;
	int status = api_read_body(conn, body, SET_JSON_MAX_BYTES);

	if (status)
		return status;
	change.op = STORE_SET;
	change.name = g_strdup(SET_NAME);
	read_base(conn, &change, &found);
	set = set_parse((const char *)body->data, body->len, &found);
	if (set && set->version <= change.if_match)
		findings_add(&found, "$.version", "not above the version that it builds on");
	change.version = set ? set->version : 0;
	set_free(set);
	if (findings_count(&found)) {
		log_event(LOG_INFO, "set refused", "base", log_u64(change.if_match), "findings",
			  log_u64(findings_count(&found)), "place", findings_at(&found, 0)->place,
			  "text", findings_at(&found, 0)->text, NULL);
		return api_send_findings(conn, &found);
	}
	change.json = g_strndup((const char *)body->data, body->len);
	change.change_id = change_id(body, change.if_match);
	return run_change(c, conn, &change);
}

static char *render_set(struct control *c, struct api_waiter *w)
{
	const struct store_item *item = store_find(&c->store, SET_NAME);

	(void)w;
	return item ? g_strdup(item->json) : NULL;
}

static int get_set(struct control *c, struct mg_connection *conn)
{
	struct api_waiter w = { .control = c, .render = render_set };

	return api_run_read(conn, &w, "no set was declared");
}

int api_on_set(struct mg_connection *conn, void *control)
{
	const char *method = mg_get_request_info(conn)->request_method;

	if (!strcmp(method, "GET"))
		return get_set(control, conn);
	if (!strcmp(method, "PUT"))
		return put_set(control, conn);
	return http_send_error(conn, 405, NULL, NULL, "use GET or PUT");
}
