#include "cmd/cmd.h"
#include "cmd/reload.h"

#include "control/control.h"
#include "lib/err.h"
#include "lib/log.h"
#include "lib/settings.h"
#include "node/node.h"
#include "platform/dialect.h"

#include <argtable2.h>
#include <civetweb.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define MMAP_THRESHOLD_BYTES (256 * 1024)
#define TRIM_THRESHOLD_BYTES (2 * 1024 * 1024)

/* Blocks the signals in all threads; the main thread waits for them with sigwait(). */
static void block_signals(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
	sigaddset(set, SIGHUP);
	pthread_sigmask(SIG_BLOCK, set, NULL);
	/* Let a write to a closed connection or past the file size limit fail with an error. */
	signal(SIGPIPE, SIG_IGN);
	signal(SIGXFSZ, SIG_IGN);
}

static void reopen_log(void)
{
	if (log_reopen())
		log_event(LOG_WARN, "cannot reopen the log file, still using the old one", NULL);
	else
		log_event(LOG_INFO, "log file opened again", NULL);
}

/* Handles SIGHUP until SIGTERM or SIGINT arrives. Returns the settings then in force. */
static struct settings *wait_for_stop_signal(const sigset_t *set, struct module_registry *modules,
					     struct settings *s, const char *path)
{
	int sig = 0;

	while (sig != SIGTERM && sig != SIGINT) {
		sigwait(set, &sig);
		if (sig != SIGHUP)
			continue;
		reopen_log();
		s = reload_settings(modules, s, path);
	}
	return s;
}

static const struct dialect *find_dialect(const char *name)
{
	static const struct dialect *const all[] = { &dialect_native, &platform_dialect };

	for (size_t i = 0; i < G_N_ELEMENTS(all); i++)
		if (!strcmp(all[i]->name, name))
			return all[i];
	return NULL;
}

/* Runs the roles of S until a signal stops them. Takes ownership of S. */
static int run(struct settings *s, const char *path, const sigset_t *set)
{
	struct control *control = s->control.is_on ? control_new(s) : NULL;
	struct node *node = s->node.is_on ? node_new(s) : NULL;
	struct module_registry modules;
	int err;

	if (node && s->node.dialect)
		node->dialect = find_dialect(s->node.dialect);
	module_registry_init(&modules);
	if (control)
		module_add(&modules, &control->module);
	if (node)
		module_add(&modules, &node->module);
	err = module_start_all(&modules);
	if (!err) {
		log_event(LOG_INFO, "serving", "cluster", s->cluster, NULL);
		s = wait_for_stop_signal(set, &modules, s, path);
		log_event(LOG_INFO, "stopping", NULL);
		module_stop_all(&modules);
		log_event(LOG_INFO, "stopped", NULL);
	}
	module_registry_clear(&modules);
	reload_settings_free(s);
	return err ? CMD_REFUSED : CMD_DONE;
}

/* Loads the settings and opens the log. Returns -1 to continue, or an exit code after an error. */
static int prepare(struct settings *s, const char *path)
{
	FINDINGS_AUTO(found);

	if (settings_load(s, path, &found)) {
		findings_print(&found, stderr);
		return CMD_USAGE;
	}
	if (s->node.dialect && !find_dialect(s->node.dialect)) {
		fprintf(stderr, "%s: unknown dialect \"%s\"\n", path, s->node.dialect);
		return CMD_USAGE;
	}
	if (log_open(s->log_file, s->log_level, s->log_format)) {
		fprintf(stderr, "cannot write the log file %s\n", s->log_file);
		return CMD_REFUSED;
	}
	return -1;
}

int cmd_serve(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_file *file = arg_file1("c", NULL, "FILE", "settings file");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, file, end };
	int code = cmd_parse(argc, argv, table, "Run the roles of a settings file.");
	struct settings *s;
	sigset_t set;

	if (code >= 0)
		return code;
	s = g_new0(struct settings, 1);
	code = prepare(s, file->filename[0]);
	if (code >= 0) {
		reload_settings_free(s);
		return code;
	}
	block_signals(&set);
	/* Without a fixed threshold, freed answers of megabytes stay in the heap. */
	mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
	/* A fixed threshold above also fixes this one, at a size that calls cross all the time. */
	mallopt(M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES);
	mg_init_library(0);
	return run(s, file->filename[0], &set);
}
