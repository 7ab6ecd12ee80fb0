/* GET /v1/watch: one JSON object a line, held open. */
#include "control/api.h"

#include "lib/ctr.h"
#include "lib/http_server.h"

#include <string.h>

/* Each watch holds a server thread; the others stay free for changes and reads. */
#define WATCHES_MAX 32
#define POLL_MS 100
#define KEEPALIVE_MS 5000

struct step {
	struct control *control;
	u64 from;
	char *in_force; /* the line sent last */
	GString *lines;
};

static void add_line(struct step *step, json_t *obj)
{
	g_autofree char *line = api_dump(obj);

	g_string_append(step->lines, line);
}

static void add_item(struct step *step, const struct store_item *item)
{
	json_t *obj = json_pack("{s:s, s:I, s:I}", "name", item->name, "version",
				(json_int_t)item->version, "revision", (json_int_t)item->revision);

	if (item->json)
		json_object_set_new(obj, "service", json_loads(item->json, 0, NULL));
	else
		json_object_set_new(obj, "deleted", json_true());
	add_line(step, obj);
}

static void add_changes(struct step *step)
{
	struct control *c = step->control;
	bool is_snapshot;
	g_autoptr(GPtrArray) items = NULL;

	if (c->store.revision <= step->from)
		return;
	items = store_changes_since(&c->store, step->from, &is_snapshot);
	/* Deletions may be missing: what does not follow here does not exist. */
	if (is_snapshot)
		add_line(step, json_pack("{s:b, s:I}", "snapshot", 1, "revision",
					 (json_int_t)c->store.revision));
	for (guint i = 0; i < items->len; i++)
		add_item(step, g_ptr_array_index(items, i));
	step->from = c->store.revision;
}

static void add_in_force(struct step *step)
{
	json_t *obj = json_object();
	g_autofree char *line = NULL;

	api_add_in_force(step->control, obj);
	line = api_dump(json_incref(json_object_get(obj, "status")));
	json_decref(obj);
	if (!g_strcmp0(line, step->in_force))
		return;
	g_string_append(step->lines, line);
	g_free(step->in_force);
	step->in_force = g_steal_pointer(&line);
}

static void collect(void *arg)
{
	struct step *step = arg;

	add_changes(step);
	add_in_force(step);
}

/* Returns false when the client is gone. */
static bool send_lines(struct mg_connection *conn, struct step *step, u32 *quiet_ms)
{
	*quiet_ms += POLL_MS;
	/* An empty line shows a closed connection. */
	if (!step->lines->len && *quiet_ms >= KEEPALIVE_MS)
		g_string_append_c(step->lines, '\n');
	if (!step->lines->len)
		return true;
	*quiet_ms = 0;
	return mg_send_chunk(conn, step->lines->str, (unsigned int)step->lines->len) > 0;
}

static void stream(struct mg_connection *conn, struct step *step)
{
	u32 quiet_ms = 0;

	mg_printf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\n"
			"Transfer-Encoding: chunked\r\n\r\n");
	while (!__atomic_load_n(&step->control->is_stopping, __ATOMIC_ACQUIRE)) {
		g_string_truncate(step->lines, 0);
		loop_call(step->control->loop, collect, step);
		if (!send_lines(conn, step, &quiet_ms))
			return;
		g_usleep(POLL_MS * 1000);
	}
	mg_send_chunk(conn, "", 0);
}

static bool get_from(struct mg_connection *conn, u64 *from)
{
	const char *query = mg_get_request_info(conn)->query_string;
	char text[32];
	int len;

	*from = 0;
	if (!query)
		return true;
	len = mg_get_var(query, strlen(query), "from", text, sizeof(text));
	if (len == -1)
		return true;
	return len > 0 && g_ascii_string_to_unsigned(text, 10, 0, G_MAXINT64, from, NULL);
}

int api_on_watch(struct mg_connection *conn, void *control)
{
	static gint open_watches;
	struct step step = { .control = control };

	if (!api_is_get(conn))
		return http_send_error(conn, 405, NULL, NULL, "use GET here");
	if (!get_from(conn, &step.from))
		return http_send_error(conn, 400, NULL, ctr_name(CTR_BAD_REQUEST),
				       "from is not a revision");
	if (g_atomic_int_add(&open_watches, 1) >= WATCHES_MAX) {
		g_atomic_int_add(&open_watches, -1);
		ctr_inc(CTR_WATCHES_FULL);
		return http_send_error(conn, 503, "not-run", ctr_name(CTR_WATCHES_FULL),
				       "too many watches are open here; use another process");
	}
	step.lines = g_string_new(NULL);
	stream(conn, &step);
	g_string_free(step.lines, TRUE);
	g_free(step.in_force);
	g_atomic_int_add(&open_watches, -1);
	return 200;
}
