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
#define WAIT_MAX_S (24 * 3600)
#define WAIT_POLL_INTERVAL_US 200000

/* A planned change of one service. */
struct change {
	char *name;
	char *stored_json; /* the stored declaration, or NULL when there is none */
	char *wanted_json; /* the declaration to store, or NULL to delete the service */
	u64 version; /* of the stored declaration; 0 when there is none */
	bool is_unchanged;
};

static void change_free(gpointer p)
{
	struct change *change = p;

	g_free(change->name);
	g_free(change->stored_json);
	g_free(change->wanted_json);
	g_free(change);
}

/* Returns the declaration of a service in a reply, without the fields that the server adds. */
static char *canonical_json(json_t *obj)
{
	FINDINGS_AUTO(found);
	char *text = json_dumps(obj, JSON_COMPACT);
	struct res_service *s = res_parse(text, strlen(text), &found);
	char *out = s ? res_dump(s) : NULL;

	free(text);
	res_free(s);
	return out;
}

static struct change *plan_change(const struct res_service *want, json_t *services)
{
	struct change *change = g_new0(struct change, 1);
	size_t i;
	json_t *item;

	change->name = g_strdup(want->name);
	change->wanted_json = res_dump(want);
	json_array_foreach(services, i, item)
	{
		const char *name = json_string_value(json_object_get(item, "name"));

		if (!name || strcmp(name, want->name))
			continue;
		change->stored_json = canonical_json(item);
		change->version = (u64)json_integer_value(json_object_get(item, "version"));
		change->is_unchanged =
			change->stored_json && !strcmp(change->stored_json, change->wanted_json);
	}
	return change;
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

static void plan_deletions(GPtrArray *changes, GPtrArray *wanted, json_t *services)
{
	json_t *item;
	size_t i;

	json_array_foreach(services, i, item)
	{
		const char *name = json_string_value(json_object_get(item, "name"));
		struct change *change;

		if (!name || is_declared(wanted, name))
			continue;
		change = g_new0(struct change, 1);
		change->name = g_strdup(name);
		change->version = (u64)json_integer_value(json_object_get(item, "version"));
		g_ptr_array_add(changes, change);
	}
}

static const char *change_verb(const struct change *change)
{
	if (!change->wanted_json)
		return "delete";
	if (change->is_unchanged)
		return "unchanged";
	return change->version ? "change" : "create";
}

/*
 * Sends the change. Returns an exit code. A version conflict means that another client has
 * changed the service since it was read.
 */
static int send_change(struct client *c, const struct change *change, u64 *revision)
{
	struct client_reply reply = { 0 };
	g_autofree char *path = g_strdup_printf("/v1/services/%s", change->name);
	g_autofree char *headers = client_change_headers("apply", change->version);
	json_t *obj;
	int err;

	if (!headers) {
		fprintf(stderr, "apply: cannot get random numbers from the system\n");
		return CMD_REFUSED;
	}
	err = client_call(c, change->wanted_json ? "PUT" : "DELETE", path, headers,
			  change->wanted_json, &reply);
	if (err || reply.status >= 300) {
		int code;

		fprintf(stderr, "%s: ", change->name);
		if (!err && reply.status == 409)
			fprintf(stderr, "changed by another client; run apply again. ");
		code = client_print_error(err, &reply);
		client_reply_clear(&reply);
		return code;
	}
	obj = client_load(reply.body);
	*revision = MAX(*revision, (u64)json_integer_value(json_object_get(obj, "revision")));
	json_decref(obj);
	client_reply_clear(&reply);
	return CMD_DONE;
}

static void print_nodes_behind(json_t *rollout)
{
	json_t *item;
	size_t i;

	fprintf(stderr, "not in force on all nodes; nodes that are behind:\n");
	json_array_foreach(json_object_get(rollout, "behind"), i, item)
	{
		fprintf(stderr, "  %s\n", json_string_value(item));
	}
	fprintf(stderr, "the change is accepted; check these nodes, or wait longer with --wait\n");
}

/* Returns the state of the rollout, or NULL when the control process asked does not know it. */
static json_t *get_rollout(struct client *c)
{
	struct client_reply reply = { 0 };
	json_t *obj = NULL;
	json_t *rollout;

	if (!client_call(c, "GET", "/v1/status", NULL, NULL, &reply))
		obj = client_load(reply.body);
	client_reply_clear(&reply);
	rollout = json_object_get(json_object_get(obj, "status"), "inForce");
	/* A process that has lost the leader does not know what is in force; ask the next one. */
	if (!json_is_true(json_object_get(obj, "fresh"))) {
		rollout = NULL;
		client_next_endpoint(c);
	}
	json_incref(rollout);
	json_decref(obj);
	return rollout;
}

static bool is_rolled_out(json_t *rollout, u64 revision)
{
	json_int_t nodes = json_integer_value(json_object_get(rollout, "nodes"));
	json_int_t total = json_integer_value(json_object_get(rollout, "of"));

	if (rollout && isatty(STDERR_FILENO))
		fprintf(stderr, "\rin force at %lld of %lld nodes", (long long)nodes,
			(long long)total);
	return rollout && nodes == total &&
	       (u64)json_integer_value(json_object_get(rollout, "revision")) >= revision;
}

static int wait_for_rollout(struct client *c, u64 revision, int wait_s)
{
	gint64 deadline = g_get_monotonic_time() + (gint64)wait_s * G_USEC_PER_SEC;

	for (;;) {
		json_t *rollout = get_rollout(c);
		bool is_done = is_rolled_out(rollout, revision);
		bool has_timed_out = !is_done && g_get_monotonic_time() >= deadline;

		if ((is_done || has_timed_out) && isatty(STDERR_FILENO))
			fprintf(stderr, "\n");
		if (has_timed_out)
			print_nodes_behind(rollout);
		json_decref(rollout);
		if (has_timed_out)
			return CMD_UNKNOWN;
		if (is_done)
			break;
		g_usleep(WAIT_POLL_INTERVAL_US);
	}
	printf("revision %llu is in force\n", (unsigned long long)revision);
	return CMD_DONE;
}

static int send_changes(struct client *c, GPtrArray *changes, bool is_dry_run, u64 *revision)
{
	int worst = CMD_DONE;

	for (guint i = 0; i < changes->len; i++) {
		const struct change *change = g_ptr_array_index(changes, i);
		int code = CMD_DONE;

		printf("%s %s\n", change_verb(change), change->name);
		if (change->stored_json && change->wanted_json)
			diff_print(change->stored_json, change->wanted_json, stdout);
		fflush(stdout);
		if (!is_dry_run && !change->is_unchanged)
			code = send_change(c, change, revision);
		worst = MAX(worst, code);
	}
	return worst;
}

/*
 * Returns whether a declared service claims a host of a stored service that would stay, and prints
 * each such host. Two services must not claim the same host.
 */
static bool has_host_conflict(GPtrArray *wanted, json_t *services)
{
	bool has_conflict = false;
	json_t *item;
	size_t i;

	json_array_foreach(services, i, item)
	{
		FINDINGS_AUTO(found);
		char *text = json_dumps(item, JSON_COMPACT);
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
			has_conflict = true;
		}
		res_free(s);
	}
	return has_conflict;
}

/* Returns the stored services, or NULL with the exit code in CODE. */
static json_t *get_services(struct client *c, int *code)
{
	struct client_reply reply = { 0 };
	int err = client_call(c, "GET", "/v1/services", NULL, NULL, &reply);
	json_t *obj = NULL;

	if (!err && reply.status == 200)
		obj = client_load(reply.body);
	if (!obj)
		*code = client_print_error(err, &reply);
	client_reply_clear(&reply);
	return obj;
}

static int apply(struct client *c, GPtrArray *wanted, bool is_dry_run, bool prunes_undeclared,
		 int wait_s)
{
	g_autoptr(GPtrArray) changes = g_ptr_array_new_with_free_func(change_free);
	int code = CMD_REFUSED;
	json_t *obj = get_services(c, &code);
	json_t *services = json_object_get(obj, "services");
	u64 revision = (u64)json_integer_value(json_object_get(obj, "revision"));

	if (!obj || (!prunes_undeclared && has_host_conflict(wanted, services))) {
		json_decref(obj);
		return code;
	}
	for (guint i = 0; i < wanted->len; i++)
		g_ptr_array_add(changes, plan_change(g_ptr_array_index(wanted, i), services));
	/* Delete last, so that a host that moves between services always has one. */
	if (prunes_undeclared)
		plan_deletions(changes, wanted, services);
	json_decref(obj);
	code = send_changes(c, changes, is_dry_run, &revision);
	if (code || is_dry_run || !wait_s)
		return code;
	return wait_for_rollout(c, revision, wait_s);
}

int cmd_apply(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_file *file = arg_file1("f", NULL, "FILE|DIR",
					  "declarations: a JSON file or a directory of them");
	struct arg_lit *dry = arg_lit0(NULL, "dry-run", "show the changes without making them");
	struct arg_lit *prune = arg_lit0(NULL, "prune", "delete services that are not declared");
	struct arg_int *wait =
		arg_int0(NULL, "wait", "SECONDS", "wait until in force; 0 does not wait (30)");
	struct arg_str *control = arg_str0(NULL, "control", "HOST:PORT,...", "control processes");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, file, dry, prune, wait, control, end };
	int code = cmd_parse(argc, argv, table,
			     "Create, change or delete services to match their declarations.");
	g_autoptr(GPtrArray) wanted = NULL;
	struct client c;
	FINDINGS_AUTO(found);

	if (code >= 0)
		return code;
	if (wait->count && (wait->ival[0] < 0 || wait->ival[0] > WAIT_MAX_S)) {
		fprintf(stderr, "apply: --wait takes 0 to %d seconds\n", WAIT_MAX_S);
		return CMD_USAGE;
	}
	wanted = declare_load(file->filename[0], &found);
	if (findings_count(&found)) {
		findings_print(&found, stderr);
		return CMD_USAGE;
	}
	if (client_init(&c, control->count ? control->sval[0] : NULL))
		return CMD_USAGE;
	code = apply(&c, wanted, dry->count > 0, prune->count > 0,
		     wait->count ? wait->ival[0] : DEFAULT_WAIT_S);
	client_clear(&c);
	return code;
}
