/*
 * cmd - the subcommands of lavenderlead
 *
 * Each takes its own arguments, argv[0] being the subcommand's name, and
 * returns the exit code.
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
	CMD_UNKNOWN = 3, /* the outcome is not known */
};

int cmd_serve(int argc, char **argv);
int cmd_check(int argc, char **argv);
int cmd_apply(int argc, char **argv);
int cmd_get(int argc, char **argv);
int cmd_delete(int argc, char **argv);
int cmd_watch(int argc, char **argv);
int cmd_status(int argc, char **argv);
int cmd_explain(int argc, char **argv);
int cmd_member(int argc, char **argv);

/*
 * cmd_parse - parse ARGV with the argtable TABLE, whose first entry is --help.
 * Returns -1 to go on, or an exit code after help or an error was printed.
 */
int cmd_parse(int argc, char **argv, void **table, const char *purpose);

#endif
