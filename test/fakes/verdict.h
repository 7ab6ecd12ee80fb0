/*
 * verdict - checks the promises against the transcripts of a failure run
 *
 * Lines of the transcripts, fields separated by one space:
 *   caller      ID METHOD STATUS OUTCOME REASON BODY
 *               OUTCOME: answer, not-run, unknown or none (no answer came);
 *               BODY: own, other, short or none
 *   upstream    ID METHOD, written when a request begins to run
 *   operator    NAME CHANGE-ID OUTCOME VERSION MARK
 *               OUTCOME: accepted, conflict, not-run or unknown
 *   state       NAME VERSION MARK, the services after the run
 *   observer    NODE REVISION, in order of observation; 0 is no configuration
 *
 * SOURCE test/fakes/verdict.c
 */
#ifndef VERDICT_H
#define VERDICT_H

#include "lib/findings.h"
#include "lib/types.h"

struct verdict {
	GHashTable *calls; /* id -> struct verdict_call */
	GHashTable *runs; /* id -> number of runs */
	GPtrArray *changes; /* of struct verdict_change */
	GHashTable *state; /* name -> struct verdict_change */
	GHashTable *revisions; /* node -> struct verdict_node */
};

void verdict_init(struct verdict *v);
void verdict_clear(struct verdict *v);

/* verdict_add_* - take one line; a malformed line is a finding. */
void verdict_add_caller(struct verdict *v, const char *line, struct findings *found);
void verdict_add_upstream(struct verdict *v, const char *line, struct findings *found);
void verdict_add_operator(struct verdict *v, const char *line, struct findings *found);
void verdict_add_state(struct verdict *v, const char *line, struct findings *found);
void verdict_add_observer(struct verdict *v, const char *line, struct findings *found);

/* verdict_check - every broken promise becomes a finding. */
void verdict_check(struct verdict *v, struct findings *found);

#endif
