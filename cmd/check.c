#include "cmd/cmd.h"

#include "cmd/declare.h"
#include "lib/settings.h"

#include <argtable2.h>
#include <stdio.h>

static void check_settings(const char *path, struct findings *found)
{
	struct settings s;

	settings_load(&s, path, found);
	settings_clear(&s);
}

int cmd_check(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_file *settings = arg_filen("c", NULL, "FILE", 0, 64, "settings file");
	struct arg_file *declared =
		arg_filen("f", NULL, "FILE|DIR", 0, 64, "declarations, a file or a directory");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, settings, declared, end };
	int code = cmd_parse(argc, argv, table, "Report every error in settings and declarations.");
	FINDINGS_AUTO(found);

	if (code >= 0)
		return code;
	if (!settings->count && !declared->count) {
		fprintf(stderr, "check: give -c FILE or -f FILE|DIR\n");
		return CMD_USAGE;
	}
	for (int i = 0; i < settings->count; i++)
		check_settings(settings->filename[i], &found);
	for (int i = 0; i < declared->count; i++) {
		g_autoptr(GPtrArray) list = declare_load(declared->filename[i], &found);
	}
	findings_print(&found, stderr);
	return findings_count(&found) ? CMD_USAGE : CMD_DONE;
}
