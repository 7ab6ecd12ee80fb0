/*
 * findings - a list of validation errors, each with its location in the input
 *
 * A validator adds each problem that it finds and continues, so that a single
 * run reports all of them.
 *
 * SOURCE lib/findings.c
 */
#ifndef FINDINGS_H
#define FINDINGS_H

#include <glib.h>
#include <stdio.h>

/* A single problem; PLACE is FILE:LINE or a JSON path. */
struct finding {
	char *place;
	char *text;
};

struct findings {
	GPtrArray *list; /* of struct finding */
};

void findings_init(struct findings *f);
void findings_clear(struct findings *f);
guint findings_count(const struct findings *f);
const struct finding *findings_at(const struct findings *f, guint i);
void findings_add(struct findings *f, const char *place, const char *fmt, ...) G_GNUC_PRINTF(3, 4);

/* findings_print - writes each finding to OUT as a line "PLACE: TEXT". */
void findings_print(const struct findings *f, FILE *out);

/* FINDINGS_AUTO - declares an empty list NAME that is freed at the end of the scope. */
#define FINDINGS_AUTO(name)                                                                        \
	__attribute__((cleanup(findings_clear))) struct findings name = { 0 };                     \
	findings_init(&(name))

#endif
