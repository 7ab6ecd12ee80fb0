/* HTTP interface for the upstream's announcements, and for readiness, status and metrics. */
#include "node/node.h"

#include "lib/descriptors.h"
#include "lib/err.h"
#include "lib/hist.h"
#include "lib/json_text.h"
#include "lib/log.h"
#include "lib/res.h"
#include "lib/settings_show.h"
#include "node/announcement.h"
#include "node/config.h"
#include "node/where.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define ANNOUNCE_MAX_BYTES 4096

static void set_state(struct node *n, enum dir_state state)
{
	if (n->dir_entry.state == state)
		return;
	log_event(LOG_INFO, "upstream state", "service", n->dir_entry.service, "instance",
		  n->upstream_instance ? n->upstream_instance : "", "from",
		  dir_state_name(n->dir_entry.state), "to", dir_state_name(state), NULL);
	node_set_state(n, state);
	/* What is queued might start only after the time that a drain allows. */
	if (state != DIR_UP)
		home_refuse_queued(n, CTR_DRAINING);
}

static void set_details(struct node *n, const struct announcement *a)
{
	bool is_same_start =
		n->upstream_start_time == (u64)a->born &&
		!g_strcmp0(n->upstream_instance ? n->upstream_instance : "", a->instance) &&
		endpoint_equal(&n->upstream_endpoint, &a->at);
	bool is_same = is_same_start && !strcmp(n->dir_entry.service, a->service) &&
		       n->dir_entry.slots == a->slots && n->dir_entry.connections == a->connections;

	if (is_same)
		return;
	g_free(n->dir_entry.service);
	n->dir_entry.service = g_strdup(a->service);
	n->dir_entry.slots = (u32)a->slots;
	n->dir_entry.connections = (u32)a->connections;
	g_free(n->upstream_instance);
	n->upstream_instance = *a->instance ? g_strdup(a->instance) : NULL;
	n->upstream_endpoint = a->at;
	home_apply_slots(n);
	if (!is_same_start)
		home_upstream_changed(n);
	if (n->dir_entry.state == DIR_UP)
		node_announce(n);
}

/*
 * Announcements may arrive seconds after the request that said that their instance leaves. One of
 * an instance that started again under its name has a later start time.
 */
#define WITHDRAWAL_KEEP_US (60 * US_PER_S)

/* What was sent before is superseded by an announcement, or a leave, that is acknowledged now. */
static void withdraw(struct node *n, const char *instance, u64 start_ms, u64 sequence)
{
	withdrawal_set(&n->withdrawal, instance, start_ms, sequence);
	n->withdrawn_us = loop_clock_us();
	n->left_start_ms = 0;
}

static bool is_current_instance(const struct node *n, const char *instance)
{
	return !g_strcmp0(n->upstream_instance, instance);
}

/*
 * A leave is dated by the clock of this VM, which may be ahead of the upstream's. Where the start
 * of the run that left is known, a later one is another run.
 */
static bool is_later_run(const struct node *n, u64 start_ms)
{
	return n->left_start_ms && start_ms > n->left_start_ms;
}

static bool is_withdrawn(const struct node *n, const char *instance, u64 start_ms, u64 sequence)
{
	return loop_clock_us() - n->withdrawn_us < WITHDRAWAL_KEEP_US &&
	       withdrawal_covers(&n->withdrawal, instance, start_ms, sequence) &&
	       !is_later_run(n, start_ms);
}

void local_withdraw(struct node *n, const struct withdrawal *w)
{
	if (!withdrawal_merge(&n->withdrawal, w))
		return;
	n->withdrawn_us = loop_clock_us();
	n->left_start_ms = 0;
	log_event(LOG_INFO, "withdrawal received", "instance", w->instance, "start_ms",
		  log_u64(w->start_ms), "sequence", log_u64(w->sequence), "announced",
		  n->upstream_instance ? n->upstream_instance : "", "announced_sequence",
		  log_u64(n->upstream_sequence), NULL);
	if (n->upstream_instance && n->dir_entry.state == DIR_UP &&
	    is_withdrawn(n, n->upstream_instance, n->upstream_start_time, n->upstream_sequence))
		set_state(n, DIR_NO_UPSTREAM);
}

void local_upstream_disproved(struct node *n)
{
	claim_disprove(&n->upstream_claim, n->upstream_instance, n->upstream_start_time);
}

void local_upstream_confirmed(struct node *n)
{
	claim_confirm(&n->upstream_claim, n->upstream_instance, n->upstream_start_time);
}

static bool is_in_force(const struct node *n, const struct announcement *a)
{
	return is_current_instance(n, a->instance) && (u64)a->born == n->upstream_start_time;
}

/* Returns whether this or a newer announcement has already been applied. */
static bool is_stale(const struct node *n, const struct announcement *a)
{
	if (*a->instance && !is_in_force(n, a)) {
		if (claim_is_disproved(&n->upstream_claim, a->instance, (u64)a->born))
			return true;
		if (n->upstream_claim.is_in_doubt)
			return false;
	}
	if (!a->born && !n->upstream_start_time)
		return false;
	if ((u64)a->born != n->upstream_start_time)
		return (u64)a->born < n->upstream_start_time;
	/* All that were in transit when it left; it may have been an earlier run that left. */
	if (n->upstream_left_us && loop_clock_us() - n->upstream_left_us < WITHDRAWAL_KEEP_US)
		return true;
	return (u64)a->sequence <= n->upstream_sequence;
}

/* An upstream that says in its answers that it is leaving may have sent "up" before that. */
static enum dir_state announced_state(const struct node *n, const struct announcement *a)
{
	bool is_leaving = a->is_draining || home_is_upstream_leaving(n);

	return is_leaving || n->is_stopping ? DIR_DRAINING : DIR_UP;
}

/* The first announcement of a drain also supersedes those that were sent before it. */
static void withdraw_drained(struct node *n, const struct announcement *a)
{
	bool was_draining = n->dir_entry.state == DIR_DRAINING;

	if (was_draining && withdrawal_covers(&n->withdrawal, a->instance, (u64)a->born, 0))
		return;
	withdraw(n, a->instance, (u64)a->born, (u64)a->sequence);
	if (was_draining)
		node_announce(n);
}

/* Applies an announcement and returns the HTTP status of the answer. */
static u16 apply(struct node *n, const struct announcement *a)
{
	if (!a->has_details && n->dir_entry.state == DIR_NO_UPSTREAM)
		return 404;
	if (a->has_details &&
	    (is_stale(n, a) || is_withdrawn(n, a->instance, (u64)a->born, (u64)a->sequence))) {
		ctr_inc(CTR_ANNOUNCE_STALE);
		return 200;
	}
	n->upstream_announced_us = loop_clock_us();
	if (a->has_details) {
		set_details(n, a);
		home_upstream_announced(n, a->has_cold, a->cold_ms);
		n->upstream_start_time = (u64)a->born;
		n->upstream_sequence = (u64)a->sequence;
		n->upstream_left_us = 0;
		claim_accepted(&n->upstream_claim, a->instance, (u64)a->born);
	}
	if (a->is_draining && *a->instance)
		withdraw_drained(n, a);
	set_state(n, announced_state(n, a));
	return 200;
}

static struct http_msg *answer_error(u16 status, const char *text)
{
	json_t *obj = json_pack("{s:s}", "error", text);
	char *body = json_dumps(obj, JSON_COMPACT);
	struct http_msg *m = http_json_response(status, body);

	free(body);
	json_decref(obj);
	return m;
}

static struct http_msg *answer_invalid(const char *key)
{
	g_autofree char *text = g_strdup_printf("missing or not valid: %s", key);

	ctr_inc(CTR_ANNOUNCE_BAD);
	log_event(LOG_WARN, "announcement rejected", "key", key, NULL);
	return answer_error(400, text);
}

static json_t *load_body(const struct http_msg *m)
{
	json_error_t error;

	return json_text_load((const char *)m->body->data, m->body->len, JSON_REJECT_DUPLICATES,
			      &error);
}

static struct http_msg *put_upstream(struct node *n, const struct http_msg *m)
{
	struct announcement a = { 0 };
	g_autofree char *text = NULL;
	const char *invalid_key;
	json_t *obj;

	if (m->body->len > ANNOUNCE_MAX_BYTES)
		return answer_error(400, "the body is too long or ended early");
	obj = load_body(m);
	invalid_key = announcement_parse(&a, obj, n->settings->node.service);
	json_decref(obj);
	if (!invalid_key && a.has_details && !res_is_valid_name(a.service))
		invalid_key = "service";
	if (invalid_key)
		return answer_invalid(invalid_key);
	if (apply(n, &a) == 404)
		return answer_error(404, "no upstream has announced itself");
	text = g_strdup_printf("{\"ttl_ms\":%llu}\n",
			       (unsigned long long)(n->upstream_ttl_us / US_PER_MS));
	return http_json_response(200, text);
}

static struct http_msg *on_upstream(struct node *n, const struct http_msg *m)
{
	if (!strcmp(m->method, "PUT"))
		return put_upstream(n, m);
	if (strcmp(m->method, "DELETE"))
		return answer_error(405, "use PUT or DELETE");
	set_state(n, DIR_NO_UPSTREAM);
	return http_json_response(200, "{}\n");
}

static struct http_msg *put_instance(struct node *n, const char *instance, const struct http_msg *m)
{
	struct announcement a = { 0 };
	json_t *obj = m->body->len <= ANNOUNCE_MAX_BYTES ? load_body(m) : NULL;
	const char *invalid_key =
		announcement_parse_instance(&a, obj, instance, n->settings->node.service);

	json_decref(obj);
	if (invalid_key)
		return answer_invalid(invalid_key);
	return http_json_response(apply(n, &a), "{}\n");
}

/*
 * A late request from an instance that has been replaced changes nothing. One that is not known, as
 * after a start of the node, may still have announcements in transit.
 */
static struct http_msg *delete_instance(struct node *n, const char *instance)
{
	u64 now_ms = (u64)g_get_real_time() / US_PER_MS;
	bool is_known = is_current_instance(n, instance);

	withdraw(n, instance, is_known ? MAX(now_ms, n->upstream_start_time) : now_ms, UINT64_MAX);
	if (is_known) {
		n->upstream_left_us = n->withdrawn_us;
		n->left_start_ms = n->upstream_start_time;
	}
	if (is_known && n->dir_entry.state != DIR_NO_UPSTREAM)
		set_state(n, DIR_NO_UPSTREAM);
	else
		node_announce(n);
	return http_json_response(200, "{}\n");
}

static struct http_msg *on_instance(struct node *n, const char *instance, const struct http_msg *m)
{
	if (!announcement_is_instance_name(instance))
		return answer_error(400, "not an instance's name");
	if (!strcmp(m->method, "PUT"))
		return put_instance(n, instance, m);
	if (!strcmp(m->method, "DELETE"))
		return delete_instance(n, instance);
	return answer_error(405, "use PUT or DELETE");
}

static json_t *targets_json(struct node *n)
{
	json_t *targets = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, n->choose.targets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct choose_target *t = value;

		json_array_append_new(targets,
				      json_pack("{s:s, s:s, s:s, s:s, s:i}", "node", t->entry.node,
						"service", t->entry.service, "zone", t->entry.zone,
						"state", dir_state_name(t->entry.state), "inFlight",
						(int)t->in_flight));
	}
	return targets;
}

static struct http_msg *on_status(struct node *n)
{
	struct peer_load load;
	g_autofree char *body = NULL;
	json_t *obj;
	char *text;

	home_get_load(n, &load);
	obj = json_pack("{s:s, s:s, s:s, s:s, s:I, s:i, s:i, s:i, s:o}", "node", n->self.name,
			"zone", n->self.zone, "state", dir_state_name(n->dir_entry.state),
			"service", n->dir_entry.service, "revision", (json_int_t)config_revision(),
			"running", (int)load.running, "queued", (int)load.queued, "limit",
			(int)load.limit, "upstreams", targets_json(n));
	text = json_dumps(obj, JSON_COMPACT);
	body = g_strconcat(text, "\n", NULL);
	free(text);
	json_decref(obj);
	return http_json_response(200, body);
}

/* Returns the current settings under the keys of the settings file. */
static struct http_msg *on_settings(const struct node *n)
{
	g_autoptr(GPtrArray) lines = settings_lines(n->settings);
	g_autofree char *body = NULL;
	json_t *obj = json_object();
	char *text;

	for (guint i = 0; i < lines->len; i++) {
		const struct settings_line *l = g_ptr_array_index(lines, i);

		json_object_set_new(obj, l->key, json_string(l->value));
	}
	text = json_dumps(obj, JSON_COMPACT);
	body = g_strconcat(text, "\n", NULL);
	free(text);
	json_decref(obj);
	return http_json_response(200, body);
}

static struct http_msg *on_metrics(void)
{
	g_autoptr(GString) out = g_string_new(NULL);

	ctr_print(out);
	hist_print(out);
	return http_response(200, "text/plain; version=0.0.4", out->str);
}

bool node_is_ready(const struct node *n)
{
	bool has_config;

	config_read_lock();
	has_config = config_current() != NULL;
	config_read_unlock();
	return has_config && !n->is_stopping;
}

static struct http_msg *on_ready(const struct node *n)
{
	return node_is_ready(n) ? http_json_response(200, "{\"ready\":true}\n") :
				  http_json_response(503, "{\"ready\":false}\n");
}

#define INSTANCES "/v1/instances/"

static struct http_msg *serve(struct node *n, const struct http_msg *m)
{
	g_autofree char *path = http_normalize_path(m->target);

	if (!strcmp(path, "/v1/upstream"))
		return on_upstream(n, m);
	if (g_str_has_prefix(path, INSTANCES))
		return on_instance(n, path + strlen(INSTANCES), m);
	if (!strcmp(path, "/v1/ready"))
		return on_ready(n);
	if (!strcmp(path, "/v1/status"))
		return on_status(n);
	if (!strcmp(path, "/v1/where"))
		return where_serve(n, m);
	if (!strcmp(path, "/v1/settings"))
		return on_settings(n);
	if (!strcmp(path, "/v1/metrics"))
		return on_metrics();
	return answer_error(404, "no such resource");
}

static void on_request(struct httpd_request *r, void *arg)
{
	httpd_answer(r, serve(arg, r->msg));
}

/* Announcements are handled one after the other. */
static bool may_overlap(const struct httpd_request *r, void *arg)
{
	(void)r;
	(void)arg;
	return false;
}

static const struct httpd_ops ops = { .request = on_request, .may_overlap = may_overlap };

/* Of the account of held bytes, for the answers, and for the bodies, of one local port. */
#define LOCAL_HELD_SHARE 8
#define LOCAL_BODY_MAX_BYTES (16 * ANNOUNCE_MAX_BYTES)

static void configure(struct node *n, struct httpd *h)
{
	const struct caller_settings *s = &n->settings->node.callers;
	struct httpd_limits limits = httpd_limits_for(s, DESCRIPTORS_LOCAL_SHARE);

	limits.body_bytes = LOCAL_BODY_MAX_BYTES;
	limits.all_request_bytes = s->max_held_bytes / LOCAL_HELD_SHARE;
	limits.answer_bytes = s->max_held_bytes / LOCAL_HELD_SHARE;
	httpd_set_limits(h, &limits);
}

static int listen_at(struct node *n, const char *host, u16 port, const char *key,
		     struct httpd **out)
{
	if (!port)
		return 0;
	*out = httpd_listen(n->loop, host, port, &ops, n);
	if (*out) {
		httpd_set_held(*out, &n->held);
		configure(n, *out);
		return 0;
	}
	log_event(LOG_ERROR, "cannot listen; is the port in use?", "address", host, key,
		  log_u64(port), NULL);
	return ERR_IO;
}

int local_start(struct node *n)
{
	const struct node_settings *s = &n->settings->node;
	int err = listen_at(n, "127.0.0.1", s->local_port, "local_port", &n->local_http);

	if (!err)
		err = listen_at(n, s->register_listen.host, s->register_listen.port,
				"register_listen", &n->register_http);
	if (!err)
		err = listen_at(n, s->ready_listen.host, s->ready_listen.port, "ready_listen",
				&n->ready_http);
	return err;
}

void local_configure(struct node *n)
{
	struct httpd *all[] = { n->local_http, n->register_http, n->ready_http };

	for (size_t i = 0; i < G_N_ELEMENTS(all); i++)
		if (all[i])
			configure(n, all[i]);
}

void local_stop(struct node *n)
{
	struct httpd **all[] = { &n->local_http, &n->register_http, &n->ready_http };

	for (size_t i = 0; i < G_N_ELEMENTS(all); i++) {
		if (*all[i])
			httpd_free(*all[i]);
		*all[i] = NULL;
	}
}
