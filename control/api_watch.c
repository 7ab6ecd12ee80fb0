/* GET /v1/watch: streams changes, one JSON object per line. */
#include "control/api.h"

#include "lib/ctr.h"
#include "lib/json_text.h"
#include "lib/set.h"

#include <string.h>

#define WATCHES_MAX 32
#define POLL_US (100 * US_PER_MS)
/* An empty line at this interval shows whether the client is there. */
#define KEEPALIVE_US (5 * US_PER_S)
/* Items are left for the next turn beyond this. */
#define TURN_BYTES (256 * 1024)
/* A client with more to read gets no further lines; it is sent what it missed once it has read. */
#define UNSENT_MAX_BYTES (64 * 1024)

struct watch {
	struct api_call call; /* must be first */
	struct loop_timer timer;
	GList link; /* in the API's watches */
	bool is_open; /* the response has begun, and is to go on */
	bool is_collecting;
	u64 from; /* revisions up to this one were sent */
	/* While a snapshot is being sent: the revision that it shows, else 0. */
	u64 snapshot_revision;
	char *in_force; /* rollout state sent last, as a line */
	GString *lines; /* of one turn */
	u64 sent_us;
};

static void add_line(struct watch *w, json_t *obj)
{
	g_autofree char *line = api_dump(obj);

	g_string_append(w->lines, line);
}

/* Adds KEY to the object that ends the lines, with the value as it was accepted. */
static void add_text(struct watch *w, const char *key, const char *json)
{
	g_string_truncate(w->lines, w->lines->len - strlen("}\n"));
	g_string_append_printf(w->lines, ",\"%s\":", key);
	json_text_append_line(w->lines, json);
	g_string_append(w->lines, "}\n");
}

/*
 * Returns whether the set JSON may have keys of organisations, which a watch must not show. The
 * text is not parsed, as it may be long; an escaped name of the list counts too.
 */
static bool may_have_keys(const char *json)
{
	return strstr(json, "organisations") || strstr(json, "\\u");
}

static bool is_shown(const struct store_item *item)
{
	return item->json && (strcmp(item->name, SET_NAME) || !may_have_keys(item->json));
}

static void add_item(struct watch *w, const struct store_item *item)
{
	json_t *obj = json_pack("{s:s, s:I, s:I}", "name", item->name, "version",
				(json_int_t)item->version, "revision", (json_int_t)item->revision);

	if (!item->json)
		json_object_set_new(obj, "deleted", json_true());
	add_line(w, obj);
	if (is_shown(item))
		add_text(w, "service", item->json);
}

static bool is_due(const struct watch *w, const struct store_item *item)
{
	if (item->revision <= w->from)
		return false;
	/* A snapshot has no deletions: services that are not listed do not exist. */
	return !w->snapshot_revision || (item->json && item->revision <= w->snapshot_revision);
}

/* Adds the items that are due, in order of revision. Returns false if some are left. */
static bool add_items(struct watch *w, const GPtrArray *items)
{
	for (guint i = 0; i < items->len; i++) {
		const struct store_item *item = g_ptr_array_index(items, i);

		if (!is_due(w, item))
			continue;
		if (w->lines->len >= TURN_BYTES)
			return false;
		add_item(w, item);
		w->from = item->revision;
	}
	return true;
}

static void add_changes(struct watch *w, struct control *c)
{
	bool is_snapshot;
	g_autoptr(GPtrArray) items = NULL;

	if (c->store.revision <= w->from)
		return;
	items = store_changes_since(&c->store, w->from, &is_snapshot);
	if (is_snapshot && !w->snapshot_revision) {
		w->from = 0;
		w->snapshot_revision = c->store.revision;
		add_line(w, json_pack("{s:b, s:I}", "snapshot", 1, "revision",
				      (json_int_t)c->store.revision));
	}
	if (!add_items(w, items))
		return;
	w->from = w->snapshot_revision ? w->snapshot_revision : c->store.revision;
	w->snapshot_revision = 0;
}

static void add_in_force(struct watch *w, struct control *c)
{
	json_t *obj = json_object();
	g_autofree char *line = NULL;

	api_add_in_force(c, obj);
	line = api_dump(json_incref(json_object_get(obj, "status")));
	json_decref(obj);
	if (!g_strcmp0(line, w->in_force))
		return;
	g_string_append(w->lines, line);
	g_free(w->in_force);
	w->in_force = g_steal_pointer(&line);
}

/* On the control loop. */
static char *collect_lines(struct control *c, struct api_call *call)
{
	struct watch *w = (struct watch *)call;

	add_changes(w, c);
	if (!w->snapshot_revision)
		add_in_force(w, c);
	return NULL;
}

static void end(struct watch *w)
{
	struct api *a = w->call.api;

	loop_timer_cancel(a->loop, &w->timer);
	g_queue_unlink(&a->watches, &w->link);
	httpd_stream_end(w->call.request);
	api_call_end(&w->call);
}

/* What is collected on the control loop has to be waited for. */
static void end_soon(struct watch *w)
{
	w->is_open = false;
	if (!w->is_collecting)
		end(w);
}

static void send_lines(struct watch *w, u64 now_us)
{
	if (!w->lines->len && now_us >= w->sent_us + KEEPALIVE_US)
		g_string_append_c(w->lines, '\n');
	if (!w->lines->len)
		return;
	w->sent_us = now_us;
	httpd_stream_write(w->call.request, w->lines->str, w->lines->len);
	/* A long line is not kept for the life of the watch. */
	g_string_free(w->lines, TRUE);
	w->lines = g_string_new(NULL);
}

static void on_collected(struct api_call *call)
{
	struct watch *w = (struct watch *)call;
	u64 now = loop_clock_us();

	if (w->is_open)
		send_lines(w, now);
	w->is_collecting = false;
	if (w->is_open)
		loop_timer_set(call->api->loop, &w->timer, now + POLL_US);
	else
		end(w);
}

static void on_timer(void *arg, u64 now_us)
{
	struct watch *w = arg;

	if (httpd_stream_unsent(w->call.request) > UNSENT_MAX_BYTES) {
		loop_timer_set(w->call.api->loop, &w->timer, now_us + POLL_US);
		return;
	}
	w->is_collecting = true;
	api_render(&w->call, collect_lines, on_collected);
}

static void begin(struct watch *w)
{
	struct http_msg *head = http_new();
	struct api *a = w->call.api;

	head->status = 200;
	http_add_header(head, "Content-Type", "application/x-ndjson");
	w->timer = (struct loop_timer){ .fire = on_timer, .arg = w };
	w->lines = g_string_new(NULL);
	w->sent_us = loop_clock_us();
	w->is_open = true;
	w->is_collecting = true;
	w->link.data = w;
	g_queue_push_tail_link(&a->watches, &w->link);
	httpd_stream_begin(w->call.request, head);
	api_render(&w->call, collect_lines, on_collected);
}

/* Reads the revision that the query names, 0 without one. */
static bool parse_from(const char *target, u64 *from)
{
	const char *query = strchr(target, '?');
	g_autoptr(GHashTable) params = NULL;
	const char *text;

	*from = 0;
	if (!query)
		return true;
	params = g_uri_parse_params(query + 1, -1, "&", G_URI_PARAMS_NONE, NULL);
	text = params ? g_hash_table_lookup(params, "from") : NULL;
	if (params && !text)
		return true;
	return text && g_ascii_string_to_unsigned(text, 10, 0, G_MAXINT64, from, NULL);
}

static void serve(struct api_call *call)
{
	struct watch *w = (struct watch *)call;

	if (!api_is(call, "GET")) {
		api_answer_method(call, "use GET here");
	} else if (!parse_from(call->request->msg->target, &w->from)) {
		api_answer_error(call, 400, NULL, ctr_name(CTR_BAD_REQUEST),
				 "from is not a revision");
	} else if (call->api->watches.length >= WATCHES_MAX) {
		ctr_inc(CTR_WATCHES_FULL);
		api_answer_error(call, 503, "not-run", ctr_name(CTR_WATCHES_FULL),
				 "too many watches are open here; use another process");
	} else {
		begin(w);
	}
}

static void closed(struct api_call *call)
{
	struct watch *w = (struct watch *)call;

	if (w->is_open)
		end_soon(w);
}

void api_watch_end_all(struct api *a)
{
	/* The end of one may close the connections of others. */
	for (guint i = a->watches.length; i && a->watches.length; i--) {
		GList *l = g_queue_pop_head_link(&a->watches);

		g_queue_push_tail_link(&a->watches, l);
		end_soon(l->data);
	}
}

static void clear(struct api_call *call)
{
	struct watch *w = (struct watch *)call;

	g_free(w->in_force);
	if (w->lines)
		g_string_free(w->lines, TRUE);
}

const struct api_resource api_watch = {
	.path = "/v1/watch",
	.call_bytes = sizeof(struct watch),
	.serve = serve,
	.closed = closed,
	.clear = clear,
};
