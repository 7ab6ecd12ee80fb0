#include "node/where.h"

#include "lib/json_text.h"
#include "lib/pmap.h"
#include "node/config.h"

#include <stdlib.h>
#include <string.h>

#define BODY_MAX_BYTES 16384

static struct http_msg *make_message(const struct where_question *q)
{
	struct http_msg *m = http_new();

	m->method = g_strdup(q->method);
	m->target = g_strdup(q->path);
	http_add_header(m, "Host", q->host);
	return m;
}

/* Continues with what a call does once it has its route; reads the random source in that order. */
static void choose_upstream(struct node *n, struct where_answer *a, struct rng *rng)
{
	struct choose_call wanted = { .service = a->call.service, .worth = a->call.worth };
	bool is_shed = entry_would_shed(n, &a->call, rng, a->now_us);

	a->chosen = choose_preview(&n->choose, &wanted, rng, a->now_us, a->candidates);
	if (is_shed) {
		a->reason = CTR_SHED_AT_SOURCE;
		a->status = 503;
		a->chosen = NULL;
	} else if (!a->chosen) {
		a->reason = CTR_NO_UPSTREAM;
		a->status = 503;
	}
}

void where_decide(struct node *n, const struct where_question *q, struct where_answer *a)
{
	struct rng rng = n->choose.rng;

	memset(a, 0, sizeof(*a));
	a->now_us = loop_clock_us();
	a->candidates = g_array_new(FALSE, FALSE, sizeof(struct choose_candidate));
	a->call.msg = make_message(q);
	a->call.deadline_us = a->now_us + q->timeout_ms * US_PER_MS;
	a->route = (struct route_request){
		.call = &a->call, .rng = &rng, .is_question = true, .organisation = q->organisation
	};
	a->reason = route_decide(n, &a->route, a->now_us, &a->status);
	if (a->reason == CTR_CALLS)
		choose_upstream(n, a, &rng);
	a->route.rng = NULL;
}

void where_clear(struct where_answer *a)
{
	http_free(a->call.msg);
	g_free(a->call.service);
	g_free(a->call.rank);
	g_free(a->call.organisation);
	g_free(a->route.route_key);
	g_array_unref(a->candidates);
}

/* Returns NULL, or the key of the question that is missing or not valid. */
static const char *parse(struct where_question *q, json_t *obj)
{
	json_int_t timeout_ms = ROUTE_DEFAULT_TIMEOUT_MS;

	*q = (struct where_question){ .method = "GET", .path = "/" };
	if (json_unpack(obj, "{s:s, s?s, s?s, s?s, s?I!}", "host", &q->host, "method", &q->method,
			"path", &q->path, "organisation", &q->organisation, "timeoutMs",
			&timeout_ms))
		return "a value, or an unknown key";
	if (!http_is_word(q->host))
		return "host";
	if (!http_is_word(q->method))
		return "method";
	if (!http_is_word(q->path) || *q->path != '/')
		return "path";
	if (timeout_ms < 0 || timeout_ms > ROUTE_QUESTION_TIMEOUT_MAX_MS)
		return "timeoutMs";
	q->timeout_ms = (u64)timeout_ms;
	return NULL;
}

/* Takes OBJ. */
static struct http_msg *answer_json(u16 status, json_t *obj)
{
	char *text = json_dumps(obj, JSON_COMPACT);
	g_autofree char *body = g_strconcat(text, "\n", NULL);

	free(text);
	json_decref(obj);
	return http_json_response(status, body);
}

static struct http_msg *answer_error(u16 status, const char *text)
{
	return answer_json(status, json_pack("{s:s}", "error", text));
}

/*
 * Returns why the question has no answer: what it names is not known here. An organisation that
 * the decision did not look at is an error too, as the answer would seem to be about it.
 */
static const char *error_of(const struct where_question *q, const struct where_answer *a)
{
	switch (a->reason) {
	case CTR_NO_SERVICE:
	case CTR_NO_ROUTE:
	case CTR_NO_CONFIG:
	case CTR_CONFIG_NOT_CURRENT:
		return route_describe(a->reason);
	case CTR_UNKNOWN_KEY:
		return "no such organisation";
	case CTR_KEY_NOT_CONFIRMED:
	case CTR_NO_RANK:
		return NULL;
	default:
		break;
	}
	if (q->organisation && !a->call.organisation)
		return "no such organisation, or calls of this host need no key";
	return NULL;
}

static struct http_msg *answer_question(struct node *n, const struct where_question *q)
{
	struct http_msg *m;
	struct where_answer a;
	const char *error;

	where_decide(n, q, &a);
	error = error_of(q, &a);
	if (error)
		m = answer_error(a.reason == CTR_CALLS ? 404 : a.status, error);
	else
		m = answer_json(200, where_json(n, &a));
	where_clear(&a);
	return m;
}

struct http_msg *where_serve(struct node *n, const struct http_msg *m)
{
	struct where_question q;
	struct http_msg *out;
	json_error_t error;
	const char *invalid;
	json_t *obj;

	if (strcmp(m->method, "POST"))
		return answer_error(405, "use POST");
	if (m->body->len > BODY_MAX_BYTES)
		return answer_error(400, "the body is too long");
	obj = json_text_load((const char *)m->body->data, m->body->len, JSON_REJECT_DUPLICATES,
			     &error);
	invalid = parse(&q, obj);
	if (invalid) {
		g_autofree char *text = g_strdup_printf("missing or not valid: %s", invalid);

		out = answer_error(400, text);
	} else {
		out = answer_question(n, &q);
	}
	json_decref(obj);
	return out;
}
