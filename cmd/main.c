#include "cmd/cmd.h"

#include <argtable2.h>
#include <stdio.h>
#include <string.h>

struct command {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *purpose;
};

static int cmd_version(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, end };
	int code = cmd_parse(argc, argv, table, "Print the version.");

	if (code >= 0)
		return code;
	printf("lavenderlead %s\n", CMD_VERSION);
	return CMD_DONE;
}

static const struct command commands[] = {
	{ "serve", cmd_serve, "run the roles of a settings file" },
	{ "check", cmd_check, "report every error in settings and declarations" },
	{ "apply", cmd_apply, "create, change or delete services to match declarations" },
	{ "get", cmd_get, "print services" },
	{ "delete", cmd_delete, "delete a service" },
	{ "watch", cmd_watch, "print changes as they are accepted" },
	{ "evacuate", cmd_evacuate, "send no more calls to the upstreams of a zone" },
	{ "restore", cmd_restore, "end the evacuation of a zone" },
	{ "status", cmd_status, "print members, nodes, upstreams and revisions" },
	{ "where", cmd_where, "print where a call would go now, and why" },
	{ "member", cmd_member, "list, replace or remove control members" },
	{ "explain", cmd_explain, "print the log lines of one request, sorted by time" },
	{ "version", cmd_version, "print the version" },
};

static void usage(FILE *out)
{
	fprintf(out, "usage: lavenderlead COMMAND [ARGUMENT...]\n");
	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++)
		fprintf(out, "  %-8s %s\n", commands[i].name, commands[i].purpose);
	fprintf(out, "lavenderlead COMMAND --help lists the arguments\n");
}

int cmd_parse(int argc, char **argv, void **table, const char *purpose)
{
	struct arg_lit *help = table[0];
	struct arg_end *end;
	int n = 0;
	int errors;

	while (!(((struct arg_hdr *)table[n])->flag & ARG_TERMINATOR))
		n++;
	end = table[n];
	errors = arg_parse(argc, argv, table);
	if (help->count) {
		printf("usage: lavenderlead %s", argv[0]);
		arg_print_syntax(stdout, table, "\n");
		printf("%s\n", purpose);
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		return CMD_DONE;
	}
	if (errors) {
		arg_print_errors(stderr, end, argv[0]);
		fprintf(stderr, "lavenderlead %s --help lists the arguments\n", argv[0]);
		return CMD_USAGE;
	}
	return -1;
}

int main(int argc, char **argv)
{
	if (argc < 2 || !strcmp(argv[1], "--help") || !strcmp(argv[1], "-h")) {
		usage(argc < 2 ? stderr : stdout);
		return argc < 2 ? CMD_USAGE : CMD_DONE;
	}
	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++)
		if (!strcmp(commands[i].name, argv[1]))
			return commands[i].run(argc - 1, argv + 1);
	fprintf(stderr, "lavenderlead: unknown command \"%s\"\n", argv[1]);
	usage(stderr);
	return CMD_USAGE;
}
