/* The subcommands that print the answer of a control process: get, delete, watch, status. */
#include "cmd/cmd.h"

#include "cmd/client.h"
#include "lib/err.h"
#include "lib/json_text.h"
#include "lib/res.h"

#include <argtable2.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WATCH_FAILED_ROUNDS_MAX 5
#define WATCH_RETRY_DELAY_US 200000

static void print_pretty(const char *body)
{
	json_error_t error;
	json_t *obj = json_text_load(body, strlen(body), 0, &error);
	char *text = obj ? json_dumps(obj, JSON_INDENT(2)) : NULL;

	printf("%s\n", text ? text : body);
	free(text);
	json_decref(obj);
}

static int call_and_print(const char *control, const char *method, const char *path,
			  const char *headers)
{
	struct client_reply reply = { 0 };
	struct client c;
	int code = CMD_DONE;
	int err;

	if (client_init(&c, control))
		return CMD_USAGE;
	err = client_call(&c, method, path, headers, NULL, &reply);
	if (err || reply.status >= 300)
		code = client_print_error(err, &reply);
	else
		print_pretty(reply.body);
	client_reply_clear(&reply);
	client_clear(&c);
	return code;
}

static const char *value_or_null(const struct arg_str *a)
{
	return a->count ? a->sval[0] : NULL;
}

/*
 * Returns the API path of the service NAME, or of all services when NAME is NULL. KIND must be
 * NULL, "service" or "services". Prints an error and returns NULL when KIND or NAME is not valid.
 */
static char *service_path(const char *kind, const char *name)
{
	if (kind && strcmp(kind, "service") && strcmp(kind, "services")) {
		fprintf(stderr, "unknown kind \"%s\"; use: service\n", kind);
		return NULL;
	}
	if (name && !res_is_valid_name(name)) {
		fprintf(stderr, "not a service name: \"%s\"\n", name);
		return NULL;
	}
	return name ? g_strdup_printf("/v1/services/%s", name) : g_strdup("/v1/services");
}

int cmd_get(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_str *kind = arg_str0(NULL, NULL, "service", "the kind of resource");
	struct arg_str *name = arg_str0(NULL, NULL, "NAME", "one service");
	struct arg_str *control = arg_str0(NULL, "control", "HOST:PORT,...", "control processes");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, kind, name, control, end };
	int code = cmd_parse(argc, argv, table, "Print services.");
	g_autofree char *path = NULL;

	if (code >= 0)
		return code;
	path = service_path(value_or_null(kind), value_or_null(name));
	return path ? call_and_print(value_or_null(control), "GET", path, NULL) : CMD_USAGE;
}

int cmd_delete(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_str *kind = arg_str1(NULL, NULL, "service", "the kind of resource");
	struct arg_str *name = arg_str1(NULL, NULL, "NAME", "the service");
	struct arg_str *control = arg_str0(NULL, "control", "HOST:PORT,...", "control processes");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, kind, name, control, end };
	int code = cmd_parse(argc, argv, table, "Delete a service.");
	g_autofree char *path = NULL;
	g_autofree char *headers = NULL;

	if (code >= 0)
		return code;
	path = service_path(kind->sval[0], name->sval[0]);
	if (!path)
		return CMD_USAGE;
	headers = client_change_headers("delete", CLIENT_ANY_VERSION);
	if (!headers) {
		fprintf(stderr, "delete: cannot get random numbers from the system\n");
		return CMD_REFUSED;
	}
	return call_and_print(value_or_null(control), "DELETE", path, headers);
}

/* Prints a change and stores its revision, after which the next stream resumes. */
static void print_change(void *arg, const char *text)
{
	u64 *last_revision = arg;
	json_t *obj = client_load(text);
	u64 change_revision = (u64)json_integer_value(json_object_get(obj, "revision"));

	printf("%s\n", text);
	fflush(stdout);
	*last_revision = MAX(*last_revision, change_revision);
	json_decref(obj);
}

/*
 * Prints changes after REVISION. When a stream ends, resumes at the next control process. Returns
 * after WATCH_FAILED_ROUNDS_MAX rounds of failures in a row.
 */
static void watch_changes(struct client *c, u64 revision)
{
	guint failures = 0;

	while (failures < WATCH_FAILED_ROUNDS_MAX * c->endpoints->len) {
		g_autofree char *path =
			g_strdup_printf("/v1/watch?from=%llu", (unsigned long long)revision);

		if (client_stream(c, path, print_change, &revision))
			failures++;
		else
			failures = 0;
		client_next_endpoint(c);
		g_usleep(WATCH_RETRY_DELAY_US);
	}
}

int cmd_watch(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_int *from =
		arg_int0(NULL, "from", "REVISION", "print changes after this revision (0)");
	struct arg_str *control = arg_str0(NULL, "control", "HOST:PORT,...", "control processes");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, from, control, end };
	int code = cmd_parse(argc, argv, table, "Print changes as they are accepted.");
	struct client c;

	if (code >= 0)
		return code;
	if (from->count && from->ival[0] < 0) {
		fprintf(stderr, "watch: --from must not be negative\n");
		return CMD_USAGE;
	}
	if (client_init(&c, value_or_null(control)))
		return CMD_USAGE;
	watch_changes(&c, from->count ? (u64)from->ival[0] : 0);
	client_clear(&c);
	fprintf(stderr, "no control process answered; check --control and the processes\n");
	return CMD_REFUSED;
}

int cmd_status(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_str *control = arg_str0(NULL, "control", "HOST:PORT,...", "control processes");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, control, end };
	int code = cmd_parse(argc, argv, table, "Print members, nodes, upstreams and revisions.");

	if (code >= 0)
		return code;
	return call_and_print(value_or_null(control), "GET", "/v1/status", NULL);
}
