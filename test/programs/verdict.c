/*
 * verdict - checks the transcripts of a fault-injection run
 *
 * verdict -c CALLER... -u UPSTREAM... -o OPERATOR... -s STATE... -n OBSERVER... -t CUT...
 *         -p STOP... -k KILL...
 *
 * Each option takes one file and may be repeated. Prints each violation of a
 * guarantee and a summary; exits with 1 when there is any.
 */
#include "test/fakes/verdict.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

typedef void add_line_fn(struct verdict *v, const char *line, struct findings *found);

static void add_file(struct verdict *v, const char *path, add_line_fn *add, struct findings *found)
{
	g_autofree char *text = NULL;
	g_auto(GStrv) lines = NULL;

	if (!g_file_get_contents(path, &text, NULL, NULL)) {
		findings_add(found, path, "cannot read");
		return;
	}
	lines = g_strsplit(text, "\n", -1);
	for (char **line = lines; *line; line++)
		if (**line)
			add(v, *line, found);
}

int main(int argc, char **argv)
{
	struct verdict v;
	int c;
	FINDINGS_AUTO(found);

	verdict_init(&v);
	while ((c = getopt(argc, argv, "c:u:o:s:n:t:p:k:")) != -1) {
		if (c == 'c')
			add_file(&v, optarg, verdict_add_caller, &found);
		else if (c == 'u')
			add_file(&v, optarg, verdict_add_upstream, &found);
		else if (c == 'o')
			add_file(&v, optarg, verdict_add_operator, &found);
		else if (c == 's')
			add_file(&v, optarg, verdict_add_state, &found);
		else if (c == 'n')
			add_file(&v, optarg, verdict_add_observer, &found);
		else if (c == 't')
			add_file(&v, optarg, verdict_add_cut, &found);
		else if (c == 'p')
			add_file(&v, optarg, verdict_add_stop, &found);
		else if (c == 'k')
			add_file(&v, optarg, verdict_add_kill, &found);
		else
			return 2;
	}
	verdict_check(&v, &found);
	findings_print(&found, stdout);
	printf("%u calls, %u ids run, %u changes, %u nodes seen: %u violations\n",
	       g_hash_table_size(v.calls), g_hash_table_size(v.runs), v.changes->len,
	       g_hash_table_size(v.revisions), findings_count(&found));
	verdict_clear(&v);
	return findings_count(&found) > 0;
}
