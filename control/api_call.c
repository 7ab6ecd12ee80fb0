/* Calls of the API: their operations, what is rendered for them, and their answers. */
#include "control/api.h"

#include "lib/ctr.h"

#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

static void clear_result(struct api_call *call)
{
	g_clear_pointer(&call->op, op_free);
	g_clear_pointer(&call->body, g_free);
}

void api_call_end(struct api_call *call)
{
	call->api->calls--;
	clear_result(call);
	g_clear_pointer(&call->order.command, g_bytes_unref);
	if (call->resource->clear)
		call->resource->clear(call);
	g_free(call->rest);
	g_free(call);
}

/* Renderings */

static void start_rendering(struct api *a);

static void on_rendered(void *arg)
{
	struct api_call *call = arg;
	struct api *a = call->api;

	a->rendering = NULL;
	call->next(call);
	start_rendering(a);
}

static void render_on_control(void *arg)
{
	struct api_call *call = arg;

	call->body = call->render(call->api->control, call);
	loop_post(call->api->loop, on_rendered, call);
}

static void start_rendering(struct api *a)
{
	GList *l;

	if (a->rendering)
		return;
	l = g_queue_pop_head_link(&a->renderings);
	if (!l)
		return;
	a->rendering = l->data;
	loop_post(a->control->loop, render_on_control, a->rendering);
}

void api_render(struct api_call *call, api_render_fn *render, api_next_fn *next)
{
	g_clear_pointer(&call->body, g_free);
	call->render = render;
	call->next = next;
	call->link.data = call;
	g_queue_push_tail_link(&call->api->renderings, &call->link);
	start_rendering(call->api);
}

/* Operations */

static void on_op_ended(void *arg)
{
	struct api_call *call = arg;

	if (call->op->outcome == OP_DONE && call->op->result.is_superseded)
		api_order_superseded(call);
	else if (call->op->outcome == OP_DONE && call->render)
		api_render(call, call->render, call->next);
	else
		call->next(call);
}

static void on_op_done(struct control *c, struct op *o)
{
	struct api_call *call = o->arg;

	(void)c;
	loop_post(call->api->loop, on_op_ended, call);
}

static void submit_on_control(void *arg)
{
	struct api_call *call = arg;

	op_submit(call->api->control, call->op);
}

void api_run_op(struct api_call *call, struct op *op, api_render_fn *render, api_next_fn *next)
{
	clear_result(call);
	call->op = op;
	call->render = render;
	call->next = next;
	op->done = on_op_done;
	op->arg = call;
	loop_post(call->api->control->loop, submit_on_control, call);
}

/* A call that reads, and what to say if there is nothing. */
static void answer_read(struct api_call *call)
{
	if (call->op->outcome != OP_DONE || call->body)
		api_answer_result(call, 200);
	else
		api_answer_error(call, 404, NULL, NULL, call->missing);
}

void api_run_read(struct api_call *call, api_render_fn *render, const char *missing)
{
	call->missing = missing;
	api_run_op(call, op_new(OP_READ), render, answer_read);
}

/* Answers */

void api_add_outcome(struct http_msg *m, const char *outcome, const char *reason)
{
	if (outcome)
		http_add_header(m, "Lavenderlead-Outcome", outcome);
	if (reason)
		http_add_header(m, "Lavenderlead-Reason", reason);
}

void api_answer(struct api_call *call, u16 status, const char *type, const char *outcome,
		const char *reason, const char *body)
{
	struct http_msg *m = http_response(status, type, body);

	api_add_outcome(m, outcome, reason);
	httpd_answer(call->request, m);
	api_call_end(call);
}

void api_answer_error(struct api_call *call, u16 status, const char *outcome, const char *reason,
		      const char *text)
{
	g_autofree char *body =
		api_dump(json_pack("{s:s}", status < 300 ? "state" : "error", text));

	api_answer(call, status, "application/json", outcome, reason, body);
}

void api_answer_method(struct api_call *call, const char *text)
{
	api_answer_error(call, 405, NULL, NULL, text);
}

static void answer_op_error(struct api_call *call)
{
	if (call->op->outcome == OP_UNKNOWN)
		api_answer_error(call, 503, "unknown", ctr_name(CTR_CHANGE_UNKNOWN),
				 "the outcome is not known; send the change again with the "
				 "same Change-Id");
	else
		api_answer_error(call, 503, "not-run", ctr_name(CTR_NO_QUORUM),
				 "no leader with a quorum; nothing was changed");
}

void api_answer_result(struct api_call *call, u16 status)
{
	if (call->op->outcome == OP_DONE)
		api_answer(call, status, "application/json", status >= 300 ? "not-run" : NULL, NULL,
			   call->body);
	else
		answer_op_error(call);
}

void api_answer_findings(struct api_call *call, const struct findings *found)
{
	json_t *list = json_array();
	g_autofree char *body = NULL;
	json_t *obj;

	ctr_inc(CTR_CHANGE_INVALID);
	for (guint i = 0; i < findings_listed(found); i++) {
		const struct finding *one = findings_at(found, i);

		json_array_append_new(
			list, json_pack("{s:s, s:s}", "path", one->place, "text", one->text));
	}
	obj = json_pack("{s:s, s:o}", "error", "the declaration is not valid", "findings", list);
	if (findings_left_out(found))
		json_object_set_new(obj, "more", json_integer(findings_left_out(found)));
	body = api_dump(obj);
	api_answer(call, 400, "application/json", "not-run", ctr_name(CTR_CHANGE_INVALID), body);
}

/* Requests */

bool api_is(const struct api_call *call, const char *method)
{
	return !strcmp(call->request->msg->method, method);
}

const char *api_header(const struct api_call *call, const char *name)
{
	return http_header(call->request->msg, name);
}

char *api_dump(json_t *obj)
{
	char *text = json_dumps(obj, JSON_COMPACT);
	char *copy = g_strconcat(text, "\n", NULL);

	free(text);
	json_decref(obj);
	return copy;
}

char *api_random_change_id(void)
{
	u64 id[2] = { 0 };

	if (getrandom(id, sizeof(id), 0) != sizeof(id))
		id[0] = loop_clock_us();
	return g_strdup_printf("auto-%016llx%016llx", (unsigned long long)id[0],
			       (unsigned long long)id[1]);
}

void api_read_change_headers(const struct api_call *call, struct store_change *change,
			     struct findings *found)
{
	const char *match = api_header(call, "If-Match");
	const char *id = api_header(call, "Change-Id");

	change->has_if_match = match != NULL;
	if (match && !api_parse_version(match, &change->if_match))
		findings_add(found, "If-Match", "not a version number");
	if (id && (!*id || strlen(id) > STORE_CHANGE_ID_MAX_BYTES))
		findings_add(found, "Change-Id", "empty, or longer than %d bytes",
			     STORE_CHANGE_ID_MAX_BYTES);
	change->change_id = id ? g_strdup(id) : api_random_change_id();
}

bool api_parse_version(const char *text, u64 *out)
{
	size_t len = strlen(text);
	bool is_quoted = len > 1 && text[0] == '"' && text[len - 1] == '"';
	g_autofree char *digits = g_strndup(text + is_quoted, len - 2 * is_quoted);

	return g_ascii_string_to_unsigned(digits, 10, 0, G_MAXINT64, out, NULL);
}
