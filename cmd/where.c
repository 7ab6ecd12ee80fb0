/* The subcommand where: asks a node where a call would go, and why. */
#include "cmd/cmd.h"

#include "cmd/client.h"
#include "cmd/where_print.h"
#include "lib/err.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TIMEOUT_MAX_MS 86400000
#define DEFAULT_TIMEOUT_MS 30000

/* Options without their values: a message about an unknown one must not repeat a key. */
static const char *const options[] = { "--help",	 "--node",	 "--method", "--path",
				       "--organisation", "--timeout-ms", "-o" };

static bool is_known_option(const char *text)
{
	for (size_t i = 0; i < G_N_ELEMENTS(options); i++) {
		size_t len = strlen(options[i]);

		if (!strncmp(text, options[i], len) && (!text[len] || text[len] == '='))
			return true;
	}
	return g_str_has_prefix(text, "-o");
}

/* Also refuses a second argument, which the parser would repeat. */
static bool are_arguments_known(int argc, char **argv)
{
	int plain = 0;

	for (int i = 1; i < argc; i++) {
		bool has_value =
			*argv[i] == '-' && !strchr(argv[i], '=') && strcmp(argv[i], "--help");

		if (*argv[i] == '-' && !is_known_option(argv[i])) {
			fprintf(stderr, "where: unknown option; no key is taken, name its "
					"organisation with --organisation\n");
			return false;
		}
		plain += *argv[i] != '-';
		/* "-ojson" brings its value along. */
		i += has_value && strcmp(argv[i], "-ojson") && strcmp(argv[i], "-otable");
	}
	if (plain <= 1)
		return true;
	fprintf(stderr, "where: more than one host\n");
	return false;
}

static json_t *make_question(const struct arg_str *host, const struct arg_str *method,
			     const struct arg_str *path, const struct arg_str *organisation,
			     u64 timeout_ms)
{
	json_t *q = json_pack("{s:s}", "host", host->sval[0]);

	if (method->count)
		json_object_set_new(q, "method", json_string(method->sval[0]));
	if (path->count)
		json_object_set_new(q, "path", json_string(path->sval[0]));
	if (organisation->count)
		json_object_set_new(q, "organisation", json_string(organisation->sval[0]));
	json_object_set_new(q, "timeoutMs", json_integer((json_int_t)timeout_ms));
	return q;
}

/* Prints why there is no answer and returns the exit code. */
static int print_error(int err, const struct client_reply *reply, const char *node)
{
	json_t *obj = err ? NULL : client_load(reply->body);
	const char *text = json_string_value(json_object_get(obj, "error"));

	if (err)
		fprintf(stderr,
			"the node did not answer at %s; give the local_port of a node "
			"on this VM\n",
			node);
	else
		fprintf(stderr, "%s\n", text ? text : "the node does not answer such questions");
	json_decref(obj);
	return CMD_REFUSED;
}

static int print_answer(const char *body, bool is_json)
{
	json_t *obj = client_load(body);
	bool is_current = json_is_true(json_object_get(obj, "isCurrent"));

	if (!obj) {
		fprintf(stderr, "the answer of the node can't be read\n");
		return CMD_REFUSED;
	}
	if (is_json)
		where_print_json(obj);
	else
		where_print_table(obj);
	json_decref(obj);
	if (is_current)
		return CMD_DONE;
	fprintf(stderr, "the configuration of this node may be old: it has no contact with "
			"control, or knows of a newer revision\n");
	return CMD_REFUSED;
}

static int ask(const char *node, const json_t *question, bool is_json)
{
	struct client_reply reply = { 0 };
	struct client c;
	char *body;
	int code;
	int err;

	if (strchr(node, ',') || !*node) {
		fprintf(stderr, "where: --node takes one ADDRESS:PORT\n");
		return CMD_USAGE;
	}
	if (client_init(&c, node))
		return CMD_USAGE;
	body = json_dumps(question, JSON_COMPACT);
	err = body ? client_call(&c, "POST", "/v1/where", NULL, body, &reply) : 0;
	if (!body) {
		fprintf(stderr, "where: an argument is not valid UTF-8\n");
		code = CMD_USAGE;
	} else if (err || reply.status != 200) {
		code = print_error(err, &reply, node);
	} else {
		code = print_answer(reply.body, is_json);
	}
	free(body);
	client_reply_clear(&reply);
	client_clear(&c);
	return code;
}

/* Returns 0 or ERR_INVAL. */
static int read_form(const struct arg_str *output, bool *is_json)
{
	*is_json = output->count && !strcmp(output->sval[0], "json");
	if (!output->count || *is_json || !strcmp(output->sval[0], "table"))
		return 0;
	fprintf(stderr, "where: -o takes table or json\n");
	return ERR_INVAL;
}

/* Returns 0 or ERR_INVAL. Not an arg_int, as the parser would repeat what is no number. */
static int read_timeout(const struct arg_str *timeout_ms, u64 *ms)
{
	guint64 value = DEFAULT_TIMEOUT_MS;

	if (timeout_ms->count &&
	    !g_ascii_string_to_unsigned(timeout_ms->sval[0], 10, 0, TIMEOUT_MAX_MS, &value, NULL)) {
		fprintf(stderr, "where: --timeout-ms must be 0 to %d\n", TIMEOUT_MAX_MS);
		return ERR_INVAL;
	}
	*ms = value;
	return 0;
}

int cmd_where(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_str *host = arg_str1(NULL, NULL, "HOST", "the host, or the name of a service");
	struct arg_str *node = arg_str1(NULL, "node", "HOST:PORT", "local_port of the node to ask");
	struct arg_str *method = arg_str0(NULL, "method", "METHOD", "of the call (GET)");
	struct arg_str *path = arg_str0(NULL, "path", "PATH", "of the call (/)");
	struct arg_str *organisation =
		arg_str0(NULL, "organisation", "NAME", "whose call it is (none)");
	struct arg_str *timeout_ms =
		arg_str0(NULL, "timeout-ms", "MS", "until the call's deadline (30000)");
	struct arg_str *output = arg_str0("o", NULL, "table|json", "form of the output (table)");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, host, node, method, path, organisation, timeout_ms, output, end };
	u64 ms;
	bool is_json;
	json_t *q;
	int code;

	if (!are_arguments_known(argc, argv))
		return CMD_USAGE;
	code = cmd_parse(argc, argv, table, "Print where a call would go now, and why.");
	if (code >= 0)
		return code;
	if (read_form(output, &is_json) || read_timeout(timeout_ms, &ms))
		return CMD_USAGE;
	q = make_question(host, method, path, organisation, ms);
	code = ask(node->sval[0], q, is_json);
	json_decref(q);
	return code;
}
