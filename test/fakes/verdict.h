/*
 * verdict - checks the transcripts of a fault injection run against the guarantees
 *
 * Line formats of the transcripts, with fields separated by one space:
 *   caller      ID METHOD STATUS OUTCOME REASON BODY
 *               OUTCOME: answer, not-run, unknown or none (no answer received);
 *               BODY: own, other, short or none
 *   upstream    ID METHOD, written when the upstream starts a request
 *   operator    NAME CHANGE-ID OUTCOME VERSION MARK
 *               OUTCOME: accepted, conflict, not-run or unknown
 *   state       NAME VERSION MARK, the stored services after the run
 *   cut         ID PORT OPENED_MS ENDED_MS, a call that ended without a response: the node's port,
 *               when its connection was opened and when the call ended
 *   kill        PORT BEGAN_MS ENDED_MS, a node that was killed, until it was gone
 *   stop        PORT BEGAN_MS ENDED_MS, a node that was told to stop and ended by itself
 *   observer    NODE REVISION, in order of observation; 0 means no configuration
 *
 * MARK is a number that the operator stores in the service, unique to each change.
 *
 * SOURCE test/fakes/verdict.c
 */
#ifndef VERDICT_H
#define VERDICT_H

#include "lib/findings.h"
#include "lib/types.h"

struct verdict {
	GHashTable *calls; /* id -> struct verdict_call */
	GHashTable *runs; /* id -> number of executions */
	GPtrArray *changes; /* of struct verdict_change */
	GPtrArray *cuts; /* of struct verdict_span */
	GPtrArray *stops; /* of struct verdict_span */
	GPtrArray *kills; /* of struct verdict_span */
	GHashTable *state; /* name -> struct verdict_change */
	GHashTable *revisions; /* node -> struct verdict_node */
};

void verdict_init(struct verdict *v);
void verdict_clear(struct verdict *v);

/* verdict_add_* - adds one line of a transcript; reports a malformed line as a finding. */
void verdict_add_caller(struct verdict *v, const char *line, struct findings *found);
void verdict_add_upstream(struct verdict *v, const char *line, struct findings *found);
void verdict_add_operator(struct verdict *v, const char *line, struct findings *found);
void verdict_add_state(struct verdict *v, const char *line, struct findings *found);
void verdict_add_observer(struct verdict *v, const char *line, struct findings *found);
void verdict_add_cut(struct verdict *v, const char *line, struct findings *found);
void verdict_add_stop(struct verdict *v, const char *line, struct findings *found);
void verdict_add_kill(struct verdict *v, const char *line, struct findings *found);

/* verdict_check - reports each violated guarantee as a finding. */
void verdict_check(struct verdict *v, struct findings *found);

#endif
