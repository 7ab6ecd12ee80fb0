/* The subcommands evacuate and restore: whether the upstreams of a zone get calls. */
#include "cmd/cmd.h"

#include "cmd/client.h"

#include <argtable2.h>
#include <stdio.h>
#include <string.h>

#define ZONE_CHARACTERS                                                                            \
	"abcdefghijklmnopqrstuvwxyz"                                                               \
	"ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."

/* Sends the order METHOD for ZONE, which can be sent again safely. */
static int order(const char *control, const char *method, const char *zone)
{
	g_autofree char *path = g_strconcat("/v1/evacuations/", zone, NULL);
	g_autofree char *headers = client_change_headers("evacuate", CLIENT_ANY_VERSION);
	struct client_reply reply = { 0 };
	struct client c;
	int code = CMD_DONE;
	int err;

	if (!*zone || strspn(zone, ZONE_CHARACTERS) != strlen(zone)) {
		fprintf(stderr, "not the name of a zone: \"%s\"\n", zone);
		return CMD_USAGE;
	}
	if (client_init(&c, control))
		return CMD_USAGE;
	err = client_call(&c, method, path, headers, NULL, &reply);
	if (err || reply.status >= 300)
		code = client_print_error(err, &reply);
	else
		printf("%s", reply.body);
	client_reply_clear(&reply);
	client_clear(&c);
	return code;
}

static int parse_and_order(int argc, char **argv, const char *method, const char *purpose)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_str *zone = arg_str1(NULL, NULL, "ZONE", "the availability zone");
	struct arg_str *control = arg_str0(NULL, "control", "HOST:PORT,...", "control processes");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, zone, control, end };
	int code = cmd_parse(argc, argv, table, purpose);

	if (code >= 0)
		return code;
	return order(control->count ? control->sval[0] : NULL, method, zone->sval[0]);
}

int cmd_evacuate(int argc, char **argv)
{
	return parse_and_order(argc, argv, "PUT", "Send no more calls to the upstreams of a zone.");
}

int cmd_restore(int argc, char **argv)
{
	return parse_and_order(argc, argv, "DELETE", "End the evacuation of a zone.");
}
