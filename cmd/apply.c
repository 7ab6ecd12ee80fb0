#include "cmd/cmd.h"

#include "cmd/client.h"
#include "cmd/declare.h"
#include "cmd/diff.h"
#include "lib/err.h"

#include <argtable2.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define DEFAULT_WAIT_S 30
#define WAIT_LIMIT_S (24 * 3600)
#define WAIT_STEP_US 200000

/* What apply is about to do with one service. */
struct step {
	char *name;
	char *have; /* the declaration in force, or NULL */
	char *json; /* NULL to delete */
	u64 version; /* 0 when it does not exist */
	bool is_same;
};

static void step_free(gpointer p)
{
	struct step *s = p;

	g_free(s->name);
	g_free(s->have);
	g_free(s->json);
	g_free(s);
}

/* The service of the reply without what the server adds. */
static char *canonical(json_t *obj)
{
	FINDINGS_AUTO(found);
	char *text = json_dumps(obj, JSON_COMPACT);
	struct res_service *s = res_parse(text, strlen(text), &found);
	char *out = s ? res_dump(s) : NULL;

	free(text);
	res_free(s);
	return out;
}

static struct step *make_step(const struct res_service *want, json_t *services)
{
	struct step *step = g_new0(struct step, 1);
	size_t i;
	json_t *one;

	step->name = g_strdup(want->name);
	step->json = res_dump(want);
	json_array_foreach(services, i, one)
	{
		const char *name = json_string_value(json_object_get(one, "name"));

		if (!name || strcmp(name, want->name))
			continue;
		step->have = canonical(one);
		step->version = (u64)json_integer_value(json_object_get(one, "version"));
		step->is_same = step->have && !strcmp(step->have, step->json);
	}
	return step;
}

static bool is_declared(GPtrArray *wanted, const char *name)
{
	for (guint i = 0; i < wanted->len; i++) {
		const struct res_service *s = g_ptr_array_index(wanted, i);

		if (!strcmp(s->name, name))
			return true;
	}
	return false;
}

static void add_prunes(GPtrArray *steps, GPtrArray *wanted, json_t *services)
{
	json_t *one;
	size_t i;

	json_array_foreach(services, i, one)
	{
		const char *name = json_string_value(json_object_get(one, "name"));
		struct step *step;

		if (!name || is_declared(wanted, name))
			continue;
		step = g_new0(struct step, 1);
		step->name = g_strdup(name);
		step->version = (u64)json_integer_value(json_object_get(one, "version"));
		g_ptr_array_add(steps, step);
	}
}

static const char *verb(const struct step *s)
{
	if (!s->json)
		return "delete";
	if (s->is_same)
		return "unchanged";
	return s->version ? "change" : "create";
}

/* Returns an exit code. A version conflict means that somebody else changed the service. */
static int carry_out(struct client *c, const struct step *s, u64 *revision)
{
	struct client_reply reply = { 0 };
	g_autofree char *path = g_strdup_printf("/v1/services/%s", s->name);
	g_autofree char *headers = client_change_headers("apply", s->version);
	json_t *obj;
	int err;

	if (!headers) {
		fprintf(stderr, "apply: the system gives no random numbers\n");
		return CMD_REFUSED;
	}
	err = client_call(c, s->json ? "PUT" : "DELETE", path, headers, s->json, &reply);
	if (err || reply.status >= 300) {
		int code;

		fprintf(stderr, "%s: ", s->name);
		if (!err && reply.status == 409)
			fprintf(stderr, "somebody else changed it; run apply again. ");
		code = client_explain(err, &reply);
		client_reply_clear(&reply);
		return code;
	}
	obj = json_loads(reply.body, 0, NULL);
	*revision = MAX(*revision, (u64)json_integer_value(json_object_get(obj, "revision")));
	json_decref(obj);
	client_reply_clear(&reply);
	return CMD_DONE;
}

static void print_behind(json_t *force)
{
	json_t *one;
	size_t i;

	fprintf(stderr, "not in force everywhere; behind:\n");
	json_array_foreach(json_object_get(force, "behind"), i, one)
	{
		fprintf(stderr, "  %s\n", json_string_value(one));
	}
	fprintf(stderr, "the change is accepted; look at these nodes, or wait with --wait\n");
}

/* Returns the state of the rollout, or NULL when no control process knows it. */
static json_t *get_in_force(struct client *c)
{
	struct client_reply reply = { 0 };
	json_t *obj = NULL;
	json_t *force;

	if (!client_call(c, "GET", "/v1/status", NULL, NULL, &reply))
		obj = json_loads(reply.body, 0, NULL);
	client_reply_clear(&reply);
	force = json_object_get(json_object_get(obj, "status"), "inForce");
	/* A process that is cut off from the leader does not know what is in force. */
	if (!json_is_true(json_object_get(obj, "fresh"))) {
		force = NULL;
		client_next(c);
	}
	json_incref(force);
	json_decref(obj);
	return force;
}

static bool is_in_force(json_t *force, u64 revision)
{
	json_int_t nodes = json_integer_value(json_object_get(force, "nodes"));
	json_int_t of = json_integer_value(json_object_get(force, "of"));

	if (force && isatty(STDERR_FILENO))
		fprintf(stderr, "\rin force at %lld of %lld nodes", (long long)nodes,
			(long long)of);
	return force && nodes == of &&
	       (u64)json_integer_value(json_object_get(force, "revision")) >= revision;
}

static int wait_in_force(struct client *c, u64 revision, int wait_s)
{
	gint64 end = g_get_monotonic_time() + (gint64)wait_s * G_USEC_PER_SEC;

	for (;;) {
		json_t *force = get_in_force(c);
		bool is_done = is_in_force(force, revision);
		bool is_late = !is_done && g_get_monotonic_time() >= end;

		if ((is_done || is_late) && isatty(STDERR_FILENO))
			fprintf(stderr, "\n");
		if (is_late)
			print_behind(force);
		json_decref(force);
		if (is_late)
			return CMD_UNKNOWN;
		if (is_done)
			break;
		g_usleep(WAIT_STEP_US);
	}
	printf("revision %llu is in force\n", (unsigned long long)revision);
	return CMD_DONE;
}

static int run_steps(struct client *c, GPtrArray *steps, bool is_dry, u64 *revision)
{
	int worst = CMD_DONE;

	for (guint i = 0; i < steps->len; i++) {
		const struct step *s = g_ptr_array_index(steps, i);
		int code = CMD_DONE;

		printf("%s %s\n", verb(s), s->name);
		if (s->have && s->json)
			diff_print(s->have, s->json, stdout);
		fflush(stdout);
		if (!is_dry && !s->is_same)
			code = carry_out(c, s, revision);
		worst = MAX(worst, code);
	}
	return worst;
}

/* A declared service and one that stays must not claim the same host. */
static bool has_host_clash(GPtrArray *wanted, json_t *services)
{
	bool has_clash = false;
	json_t *one;
	size_t i;

	json_array_foreach(services, i, one)
	{
		FINDINGS_AUTO(found);
		char *text = json_dumps(one, JSON_COMPACT);
		struct res_service *s = res_parse(text, strlen(text), &found);

		free(text);
		for (guint k = 0; s && !is_declared(wanted, s->name) && k < wanted->len; k++) {
			const struct res_service *want = g_ptr_array_index(wanted, k);
			const char *host = res_shared_host(want, s);

			if (!host)
				continue;
			fprintf(stderr,
				"%s: the host %s is claimed by the service \"%s\" too; "
				"delete that service, or use --prune\n",
				want->name, host, s->name);
			has_clash = true;
		}
		res_free(s);
	}
	return has_clash;
}

/* Returns the services as they are, or NULL with the exit code set. */
static json_t *get_services(struct client *c, int *code)
{
	struct client_reply reply = { 0 };
	int err = client_call(c, "GET", "/v1/services", NULL, NULL, &reply);
	json_t *obj = NULL;

	if (!err && reply.status == 200)
		obj = json_loads(reply.body, 0, NULL);
	if (!obj)
		*code = client_explain(err, &reply);
	client_reply_clear(&reply);
	return obj;
}

static int apply(struct client *c, GPtrArray *wanted, bool is_dry, bool is_prune, int wait_s)
{
	g_autoptr(GPtrArray) steps = g_ptr_array_new_with_free_func(step_free);
	int code = CMD_REFUSED;
	json_t *obj = get_services(c, &code);
	json_t *services = json_object_get(obj, "services");
	u64 revision = (u64)json_integer_value(json_object_get(obj, "revision"));

	if (!obj || (!is_prune && has_host_clash(wanted, services))) {
		json_decref(obj);
		return code;
	}
	for (guint i = 0; i < wanted->len; i++)
		g_ptr_array_add(steps, make_step(g_ptr_array_index(wanted, i), services));
	/* Deletions go last, so that a host that moves always has a service. */
	if (is_prune)
		add_prunes(steps, wanted, services);
	json_decref(obj);
	code = run_steps(c, steps, is_dry, &revision);
	if (code || is_dry || !wait_s)
		return code;
	return wait_in_force(c, revision, wait_s);
}

int cmd_apply(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this text");
	struct arg_file *file =
		arg_file1("f", NULL, "FILE|DIR", "declarations, a JSON file or a folder of them");
	struct arg_lit *dry = arg_lit0(NULL, "dry-run", "show the changes, make none");
	struct arg_lit *prune = arg_lit0(NULL, "prune", "delete services that are not declared");
	struct arg_int *wait =
		arg_int0(NULL, "wait", "SECONDS", "wait until in force, 0 to not wait (30)");
	struct arg_str *control = arg_str0(NULL, "control", "HOST:PORT,...", "control processes");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, file, dry, prune, wait, control, end };
	int code = cmd_parse(argc, argv, table, "Bring the declared services into force.");
	g_autoptr(GPtrArray) wanted = NULL;
	struct client c;
	FINDINGS_AUTO(found);

	if (code >= 0)
		return code;
	if (wait->count && (wait->ival[0] < 0 || wait->ival[0] > WAIT_LIMIT_S)) {
		fprintf(stderr, "apply: --wait takes 0 to %d seconds\n", WAIT_LIMIT_S);
		return CMD_USAGE;
	}
	wanted = declare_load(file->filename[0], &found);
	if (findings_count(&found)) {
		findings_print(&found, stderr);
		return CMD_USAGE;
	}
	if (client_open(&c, control->count ? control->sval[0] : NULL))
		return CMD_USAGE;
	code = apply(&c, wanted, dry->count > 0, prune->count > 0,
		     wait->count ? wait->ival[0] : DEFAULT_WAIT_S);
	client_close(&c);
	return code;
}
