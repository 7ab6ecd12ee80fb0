#include "test/fakes/verdict.h"

#include <stdlib.h>
#include <string.h>

struct verdict_call {
	char *method;
	char *outcome;
	char *body;
};

struct verdict_change {
	char *name;
	char *change_id;
	char *outcome;
	u64 version;
	u64 mark;
};

/* The time of a connection whose call ended without a response, of a planned stop or of a kill. */
struct verdict_span {
	char *id; /* of the call */
	u64 port; /* of the node for callers */
	u64 began_ms;
	u64 ended_ms;
};

/* The highest revision that was observed at a node. */
struct verdict_node {
	u64 highest_revision;
};

static void call_free(gpointer p)
{
	struct verdict_call *c = p;

	g_free(c->method);
	g_free(c->outcome);
	g_free(c->body);
	g_free(c);
}

static void change_free(gpointer p)
{
	struct verdict_change *c = p;

	g_free(c->name);
	g_free(c->change_id);
	g_free(c->outcome);
	g_free(c);
}

static void span_free(gpointer p)
{
	struct verdict_span *s = p;

	g_free(s->id);
	g_free(s);
}

void verdict_init(struct verdict *v)
{
	v->calls = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, call_free);
	v->runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	v->changes = g_ptr_array_new_with_free_func(change_free);
	v->cuts = g_ptr_array_new_with_free_func(span_free);
	v->stops = g_ptr_array_new_with_free_func(span_free);
	v->kills = g_ptr_array_new_with_free_func(span_free);
	v->state = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, change_free);
	v->revisions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void verdict_clear(struct verdict *v)
{
	g_hash_table_unref(v->calls);
	g_hash_table_unref(v->runs);
	g_ptr_array_unref(v->changes);
	g_ptr_array_unref(v->cuts);
	g_ptr_array_unref(v->stops);
	g_ptr_array_unref(v->kills);
	g_hash_table_unref(v->state);
	g_hash_table_unref(v->revisions);
}

/* Splits LINE into N fields; returns NULL and adds a finding if it has another number of fields. */
static char **split(const char *line, guint n, const char *kind, struct findings *found)
{
	char **fields = g_strsplit(line, " ", -1);

	if (g_strv_length(fields) == n)
		return fields;
	findings_add(found, kind, "malformed line \"%s\"", line);
	g_strfreev(fields);
	return NULL;
}

void verdict_add_caller(struct verdict *v, const char *line, struct findings *found)
{
	g_auto(GStrv) fields = split(line, 6, "caller", found);
	struct verdict_call *c;

	if (!fields)
		return;
	if (g_hash_table_contains(v->calls, fields[0])) {
		findings_add(found, fields[0], "the caller logged two answers for one call");
		return;
	}
	c = g_new0(struct verdict_call, 1);
	c->method = g_strdup(fields[1]);
	c->outcome = g_strdup(fields[3]);
	c->body = g_strdup(fields[5]);
	g_hash_table_insert(v->calls, g_strdup(fields[0]), c);
}

void verdict_add_upstream(struct verdict *v, const char *line, struct findings *found)
{
	g_auto(GStrv) fields = split(line, 2, "upstream", found);
	guint n;

	if (!fields)
		return;
	n = GPOINTER_TO_UINT(g_hash_table_lookup(v->runs, fields[0]));
	g_hash_table_insert(v->runs, g_strdup(fields[0]), GUINT_TO_POINTER(n + 1));
}

void verdict_add_operator(struct verdict *v, const char *line, struct findings *found)
{
	g_auto(GStrv) fields = split(line, 5, "operator", found);
	struct verdict_change *c;

	if (!fields)
		return;
	c = g_new0(struct verdict_change, 1);
	c->name = g_strdup(fields[0]);
	c->change_id = g_strdup(fields[1]);
	c->outcome = g_strdup(fields[2]);
	c->version = strtoull(fields[3], NULL, 10);
	c->mark = strtoull(fields[4], NULL, 10);
	g_ptr_array_add(v->changes, c);
}

void verdict_add_state(struct verdict *v, const char *line, struct findings *found)
{
	g_auto(GStrv) fields = split(line, 3, "state", found);
	struct verdict_change *c;

	if (!fields)
		return;
	c = g_new0(struct verdict_change, 1);
	c->name = g_strdup(fields[0]);
	c->version = strtoull(fields[1], NULL, 10);
	c->mark = strtoull(fields[2], NULL, 10);
	g_hash_table_replace(v->state, c->name, c);
}

void verdict_add_observer(struct verdict *v, const char *line, struct findings *found)
{
	g_auto(GStrv) fields = split(line, 2, "observer", found);
	struct verdict_node *n;
	u64 revision;

	if (!fields)
		return;
	revision = strtoull(fields[1], NULL, 10);
	n = g_hash_table_lookup(v->revisions, fields[0]);
	if (!n) {
		n = g_new0(struct verdict_node, 1);
		g_hash_table_insert(v->revisions, g_strdup(fields[0]), n);
	}
	/* A restarted node has no configuration at first, and accepts no calls until it has one. */
	if (revision && revision < n->highest_revision)
		findings_add(found, fields[0], "reverted from revision %llu to %llu",
			     (unsigned long long)n->highest_revision, (unsigned long long)revision);
	n->highest_revision = MAX(n->highest_revision, revision);
}

/* Adds the span whose port is at FIELDS. */
static void add_span(GPtrArray *spans, const char *id, char **fields)
{
	struct verdict_span *s = g_new0(struct verdict_span, 1);

	s->id = g_strdup(id);
	s->port = strtoull(fields[0], NULL, 10);
	s->began_ms = strtoull(fields[1], NULL, 10);
	s->ended_ms = strtoull(fields[2], NULL, 10);
	g_ptr_array_add(spans, s);
}

void verdict_add_cut(struct verdict *v, const char *line, struct findings *found)
{
	g_auto(GStrv) fields = split(line, 4, "cut", found);

	if (fields)
		add_span(v->cuts, fields[0], fields + 1);
}

void verdict_add_stop(struct verdict *v, const char *line, struct findings *found)
{
	g_auto(GStrv) fields = split(line, 3, "stop", found);

	if (fields)
		add_span(v->stops, NULL, fields);
}

void verdict_add_kill(struct verdict *v, const char *line, struct findings *found)
{
	g_auto(GStrv) fields = split(line, 3, "kill", found);

	if (fields)
		add_span(v->kills, NULL, fields);
}

/* Returns whether the connection of CUT was open in one of SPANS of its node. */
static bool is_open_in(const GPtrArray *spans, const struct verdict_span *cut)
{
	for (guint i = 0; i < spans->len; i++) {
		const struct verdict_span *s = g_ptr_array_index(spans, i);

		if (s->port == cut->port && s->began_ms <= cut->ended_ms &&
		    cut->began_ms <= s->ended_ms)
			return true;
	}
	return false;
}

static bool is_in_a_stop(const struct verdict *v, const struct verdict_span *cut)
{
	for (guint i = 0; i < v->stops->len; i++) {
		const struct verdict_span *s = g_ptr_array_index(v->stops, i);

		if (s->port == cut->port && s->began_ms <= cut->ended_ms &&
		    cut->ended_ms <= s->ended_ms)
			return true;
	}
	return false;
}

/*
 * A node that stops answers each call that it has passed on to an upstream. A node that neither
 * stops nor is killed answers every call.
 */
static void check_cuts(struct verdict *v, struct findings *found)
{
	for (guint i = 0; i < v->cuts->len; i++) {
		const struct verdict_span *cut = g_ptr_array_index(v->cuts, i);

		if (g_hash_table_contains(v->runs, cut->id) && is_in_a_stop(v, cut))
			findings_add(found, cut->id,
				     "ran, and got no response in a planned stop of its node");
		else if (!is_open_in(v->stops, cut) && !is_open_in(v->kills, cut))
			findings_add(found, cut->id, "got no response from a node that runs on");
	}
}

static void check_call(const char *id, const struct verdict_call *c, guint runs,
		       struct findings *found)
{
	bool has_answer = !strcmp(c->outcome, "answer");

	if (!strcmp(c->outcome, "not-run") && runs)
		findings_add(found, id, "said not-run, ran %u times", runs);
	if (has_answer && !strcmp(c->body, "other"))
		findings_add(found, id, "got the answer of another call");
	if (has_answer && !strcmp(c->body, "short"))
		findings_add(found, id, "got a short answer that was reported as complete");
	if (has_answer && !runs)
		findings_add(found, id, "got an answer without a run of the call");
}

static void check_calls(struct verdict *v, struct findings *found)
{
	GHashTableIter iter;
	gpointer id;
	gpointer call;

	g_hash_table_iter_init(&iter, v->calls);
	while (g_hash_table_iter_next(&iter, &id, &call)) {
		guint runs = GPOINTER_TO_UINT(g_hash_table_lookup(v->runs, id));

		check_call(id, call, runs, found);
		if (runs > 1 && !strcmp(((struct verdict_call *)call)->method, "POST"))
			findings_add(found, id, "a non-idempotent call ran %u times", runs);
	}
}

static void check_accepted(struct verdict *v, const struct verdict_change *c,
			   struct findings *found)
{
	const struct verdict_change *stored = g_hash_table_lookup(v->state, c->name);

	if (!stored || stored->version < c->version)
		findings_add(found, c->name, "accepted version %llu is lost",
			     (unsigned long long)c->version);
	else if (stored->version == c->version && stored->mark != c->mark)
		findings_add(found, c->name, "version %llu is not what was accepted",
			     (unsigned long long)c->version);
}

/* Of concurrent changes to the same version, at most one may be accepted. */
static void check_single_winner(struct verdict *v, guint at, struct findings *found)
{
	const struct verdict_change *c = g_ptr_array_index(v->changes, at);

	for (guint i = 0; i < at; i++) {
		const struct verdict_change *other = g_ptr_array_index(v->changes, i);

		if (strcmp(other->outcome, "accepted") || strcmp(other->name, c->name))
			continue;
		if (other->version == c->version && strcmp(other->change_id, c->change_id))
			findings_add(
				found, c->name, "version %llu was accepted twice, as %s and %s",
				(unsigned long long)c->version, other->change_id, c->change_id);
	}
}

/* A refused change must not be in the final state. */
static void check_refused(struct verdict *v, const struct verdict_change *c, struct findings *found)
{
	const struct verdict_change *stored = g_hash_table_lookup(v->state, c->name);

	if (stored && stored->mark == c->mark)
		findings_add(found, c->name, "change %s was refused and stands", c->change_id);
}

static void check_changes(struct verdict *v, struct findings *found)
{
	for (guint i = 0; i < v->changes->len; i++) {
		const struct verdict_change *c = g_ptr_array_index(v->changes, i);

		if (!strcmp(c->outcome, "accepted")) {
			check_accepted(v, c, found);
			check_single_winner(v, i, found);
		} else if (strcmp(c->outcome, "unknown")) {
			check_refused(v, c, found);
		}
	}
}

void verdict_check(struct verdict *v, struct findings *found)
{
	check_calls(v, found);
	check_cuts(v, found);
	check_changes(v, found);
}
