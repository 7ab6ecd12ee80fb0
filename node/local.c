/* The upstream's side: it announces itself here, on loopback. */
#include "node/node.h"

#include "lib/err.h"
#include "lib/http_server.h"
#include "lib/log.h"
#include "lib/res.h"
#include "node/config.h"

#include <civetweb.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define LOCAL_THREADS 4
#define ANNOUNCE_MAX_BYTES 4096
#define SLOTS_MAX 100000

struct announcement {
	struct node *node;
	char service[64];
	json_int_t port;
	json_int_t slots;
	json_int_t connections;
	bool is_draining;
	bool is_leaving;
	bool has_details;
	int status; /* set on the loop's thread */
};

static void set_state(struct node *n, enum dir_state state)
{
	if (n->own.state == state)
		return;
	n->own.state = state;
	node_announce(n);
	mesh_goaway(n);
}

static void set_details(struct node *n, const struct announcement *a)
{
	bool is_same = !strcmp(n->own.service, a->service) && n->own.slots == a->slots &&
		       n->own.connections == a->connections && n->upstream_port == a->port;

	if (is_same)
		return;
	g_free(n->own.service);
	n->own.service = g_strdup(a->service);
	n->own.slots = (u32)a->slots;
	n->own.connections = (u32)a->connections;
	n->upstream_port = (u16)a->port;
	if (n->own.state == DIR_UP)
		node_announce(n);
}

static void apply(void *arg)
{
	struct announcement *a = arg;
	struct node *n = a->node;

	a->status = 200;
	if (a->is_leaving) {
		set_state(n, DIR_NO_UPSTREAM);
		return;
	}
	if (!a->has_details && n->own.state == DIR_NO_UPSTREAM) {
		a->status = 404;
		return;
	}
	n->upstream_seen_us = loop_clock_us();
	if (a->has_details)
		set_details(n, a);
	set_state(n, a->is_draining || n->is_stopping ? DIR_DRAINING : DIR_UP);
}

static const char *check_number(json_t *obj, const char *key, json_int_t max, json_int_t absent,
				json_int_t *out)
{
	json_t *value = json_object_get(obj, key);

	*out = value ? json_integer_value(value) : absent;
	if (!json_is_integer(value) && value)
		return key;
	return *out < 1 || *out > max ? key : NULL;
}

/* Returns NULL, or the key that is wrong. */
static const char *parse(json_t *obj, struct announcement *a)
{
	const char *state = json_string_value(json_object_get(obj, "state"));
	const char *service = json_string_value(json_object_get(obj, "service"));
	const char *bad;

	if (!json_is_object(obj))
		return "(not a JSON object)";
	if (json_object_get(obj, "state") &&
	    (!state || (strcmp(state, "draining") && strcmp(state, "up"))))
		return "state";
	a->is_draining = state && !strcmp(state, "draining");
	if (a->is_draining && !service)
		return NULL;
	if (!service || !res_name_ok(service))
		return "service";
	a->has_details = true;
	g_strlcpy(a->service, service, sizeof(a->service));
	bad = check_number(obj, "port", UINT16_MAX, 0, &a->port);
	if (!bad)
		bad = check_number(obj, "slots", SLOTS_MAX, 1, &a->slots);
	if (!bad)
		bad = check_number(obj, "connections", SLOTS_MAX, a->slots, &a->connections);
	return bad;
}

static int put_upstream(struct node *n, struct mg_connection *conn)
{
	g_autoptr(GByteArray) body = g_byte_array_new();
	struct announcement a = { .node = n };
	g_autofree char *text = NULL;
	const char *bad;
	json_t *obj;

	if (http_read_body(conn, body, ANNOUNCE_MAX_BYTES))
		return http_send_error(conn, 400, NULL, NULL,
				       "the body is too long or ended early");
	obj = json_loadb((const char *)body->data, body->len, JSON_REJECT_DUPLICATES, NULL);
	bad = parse(obj, &a);
	if (bad)
		text = g_strdup_printf("missing or not valid: %s", bad);
	json_decref(obj);
	if (bad)
		return http_send_error(conn, 400, NULL, NULL, text);
	loop_call(n->loop, apply, &a);
	if (a.status == 404)
		return http_send_error(conn, 404, NULL, NULL, "no upstream has announced itself");
	text = g_strdup_printf("{\"ttl_ms\":%llu}\n",
			       (unsigned long long)(NODE_UPSTREAM_TTL_US / US_PER_MS));
	return http_send(conn, 200, "application/json", NULL, NULL, text);
}

static int on_upstream(struct mg_connection *conn, void *arg)
{
	struct node *n = arg;
	const struct mg_request_info *ri = mg_get_request_info(conn);
	struct announcement a = { .node = n, .is_leaving = true };

	if (!strcmp(ri->request_method, "PUT"))
		return put_upstream(n, conn);
	if (strcmp(ri->request_method, "DELETE"))
		return http_send_error(conn, 405, NULL, NULL, "use PUT or DELETE");
	loop_call(n->loop, apply, &a);
	return http_send(conn, 200, "application/json", NULL, NULL, "{}\n");
}

struct status_request {
	struct node *node;
	char *body;
};

static void make_status(void *arg)
{
	struct status_request *req = arg;
	struct node *n = req->node;
	struct peer_load load;
	json_t *targets = json_array();
	GHashTableIter iter;
	gpointer value;
	json_t *obj;
	char *text;

	home_load(n, &load);
	g_hash_table_iter_init(&iter, n->choose.targets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct choose_target *t = value;

		json_array_append_new(targets,
				      json_pack("{s:s, s:s, s:s, s:s, s:i}", "node", t->entry.node,
						"service", t->entry.service, "zone", t->entry.zone,
						"state", dir_state_name(t->entry.state), "inFlight",
						(int)t->in_flight));
	}
	obj = json_pack("{s:s, s:s, s:s, s:s, s:I, s:i, s:i, s:i, s:o}", "node", n->self.name,
			"zone", n->self.zone, "state", dir_state_name(n->own.state), "service",
			n->own.service, "revision", (json_int_t)config_revision(), "running",
			(int)load.running, "queued", (int)load.queued, "limit", (int)load.limit,
			"upstreams", targets);
	text = json_dumps(obj, JSON_COMPACT);
	req->body = g_strconcat(text, "\n", NULL);
	free(text);
	json_decref(obj);
}

static int on_status(struct mg_connection *conn, void *arg)
{
	struct status_request req = { .node = arg };
	int ret;

	loop_call(req.node->loop, make_status, &req);
	ret = http_send(conn, 200, "application/json", NULL, NULL, req.body);
	g_free(req.body);
	return ret;
}

int local_start(struct node *n)
{
	u16 port = n->settings->node.local_port;

	n->local_http = http_listen("127.0.0.1", port, LOCAL_THREADS);
	if (!n->local_http) {
		log_event(LOG_ERROR, "cannot listen; is the port in use?", "local_port",
			  log_u64(port), NULL);
		return ERR_IO;
	}
	mg_set_request_handler(n->local_http, "/v1/upstream", on_upstream, n);
	mg_set_request_handler(n->local_http, "/v1/status", on_status, n);
	mg_set_request_handler(n->local_http, "/v1/metrics", http_metrics, NULL);
	return 0;
}

void local_stop(struct node *n)
{
	if (n->local_http)
		mg_stop(n->local_http);
}
