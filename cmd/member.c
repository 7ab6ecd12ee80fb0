#include "cmd/cmd.h"

#include "cmd/client.h"
#include "lib/err.h"

#include <argtable2.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEP_INTERVAL_US 200000
#define DEFAULT_WAIT_S 60
#define WAIT_MAX_S (24 * 3600)

static int list_members(struct client *c)
{
	struct client_reply reply = { 0 };
	int err = client_call(c, "GET", "/v1/status", NULL, NULL, &reply);
	json_t *obj;
	json_t *item;
	size_t i;
	json_int_t leader;

	if (err || reply.status != 200) {
		int code = client_print_error(err, &reply);

		client_reply_clear(&reply);
		return code;
	}
	obj = client_load(reply.body);
	leader = json_integer_value(json_object_get(json_object_get(obj, "leader"), "id"));
	json_array_foreach(json_object_get(obj, "members"), i, item)
	{
		json_int_t id = json_integer_value(json_object_get(item, "id"));

		printf("%lld %s %s%s\n", (long long)id,
		       json_string_value(json_object_get(item, "address")),
		       json_is_true(json_object_get(item, "voter")) ? "voter" : "learner",
		       id == leader ? " leader" : "");
	}
	json_decref(obj);
	client_reply_clear(&reply);
	return CMD_DONE;
}

/*
 * Repeats the request until the change is done or WAIT_S seconds have passed; each request advances
 * the change by one step.
 */
static int repeat_until_done(struct client *c, const char *method, const char *path, int wait_s)
{
	g_autofree char *last_body = NULL;

	gint64 deadline = g_get_monotonic_time() + (gint64)wait_s * G_USEC_PER_SEC;

	while (g_get_monotonic_time() <= deadline) {
		struct client_reply reply = { 0 };
		int err = client_call(c, method, path, NULL, NULL, &reply);

		if (!err && reply.status == 200) {
			printf("%s\n", reply.body);
			client_reply_clear(&reply);
			return CMD_DONE;
		}
		if (err || (reply.status != 202 && reply.status != 503)) {
			int code = client_print_error(err, &reply);

			client_reply_clear(&reply);
			return code;
		}
		if (!last_body || strcmp(last_body, reply.body))
			fprintf(stderr, "%s\n", reply.body);
		g_free(last_body);
		last_body = g_strdup(reply.body);
		client_reply_clear(&reply);
		g_usleep(STEP_INTERVAL_US);
	}
	fprintf(stderr, "timed out before the change was done; run the command again\n");
	return CMD_UNKNOWN;
}

static int run_action(struct client *c, const char *action, const char *id, int wait_s)
{
	g_autofree char *path = NULL;

	if (!strcmp(action, "list"))
		return list_members(c);
	if (strcmp(action, "replace") && strcmp(action, "remove")) {
		fprintf(stderr, "unknown action \"%s\"; use list, replace or remove\n", action);
		return CMD_USAGE;
	}
	if (!id || strspn(id, "0123456789") != strlen(id)) {
		fprintf(stderr, "member %s: give the member's ID, a number\n", action);
		return CMD_USAGE;
	}
	if (!strcmp(action, "replace")) {
		path = g_strdup_printf("/v1/members/%s/replace", id);
		return repeat_until_done(c, "POST", path, wait_s);
	}
	path = g_strdup_printf("/v1/members/%s", id);
	return repeat_until_done(c, "DELETE", path, wait_s);
}

int cmd_member(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_str *action = arg_str1(NULL, NULL, "list|replace|remove", "the action");
	struct arg_str *id = arg_str0(NULL, NULL, "ID", "the member");
	struct arg_int *wait =
		arg_int0(NULL, "wait", "SECONDS", "time limit for replace and remove (60)");
	struct arg_str *control = arg_str0(NULL, "control", "HOST:PORT,...", "control processes");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, action, id, wait, control, end };
	int code = cmd_parse(argc, argv, table, "List, replace or remove control members.");
	struct client c;

	if (code >= 0)
		return code;
	if (wait->count && (wait->ival[0] < 1 || wait->ival[0] > WAIT_MAX_S)) {
		fprintf(stderr, "member: --wait takes 1 to %d seconds\n", WAIT_MAX_S);
		return CMD_USAGE;
	}
	if (client_init(&c, control->count ? control->sval[0] : NULL))
		return CMD_USAGE;
	code = run_action(&c, action->sval[0], id->count ? id->sval[0] : NULL,
			  wait->count ? wait->ival[0] : DEFAULT_WAIT_S);
	client_clear(&c);
	return code;
}
