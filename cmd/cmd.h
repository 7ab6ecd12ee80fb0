/*
 * cmd - the subcommands of lavenderlead
 *
 * Each function parses the arguments of its subcommand, whose name is argv[0],
 * and returns the exit code.
 *
 * SOURCE cmd/NAME.c
 */
#ifndef CMD_H
#define CMD_H

#define CMD_VERSION "0.1.0"

enum cmd_exit {
	CMD_DONE = 0,
	CMD_REFUSED = 1,
	CMD_USAGE = 2,
	CMD_UNKNOWN = 3, /* the outcome is unknown, or not in force in time */
};

int cmd_serve(int argc, char **argv);
int cmd_check(int argc, char **argv);
int cmd_apply(int argc, char **argv);
int cmd_get(int argc, char **argv);
int cmd_delete(int argc, char **argv);
int cmd_watch(int argc, char **argv);
int cmd_status(int argc, char **argv);
int cmd_explain(int argc, char **argv);
int cmd_evacuate(int argc, char **argv);
int cmd_restore(int argc, char **argv);
int cmd_where(int argc, char **argv);
int cmd_member(int argc, char **argv);

/*
 * cmd_parse - parses ARGV with the argtable TABLE, whose first entry is --help.
 * Returns -1 to continue, or the exit code after printing help or an error.
 */
int cmd_parse(int argc, char **argv, void **table, const char *purpose);

#endif
