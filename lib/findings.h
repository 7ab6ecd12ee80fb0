/*
 * find - findings: every problem of an input, with its place
 *
 * A checker adds each problem it meets and goes on, so that one run reports
 * all of them.
 *
 * SOURCE lib/findings.c
 */
#ifndef FINDINGS_H
#define FINDINGS_H

#include <glib.h>
#include <stdio.h>

/* One problem: PLACE is FILE:LINE or a JSON path. */
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

/* findings_print - write "PLACE: TEXT" lines to OUT. */
void findings_print(const struct findings *f, FILE *out);

/* FINDINGS_AUTO - declare findings that are cleared when the scope ends. */
#define FINDINGS_AUTO(name)                                                                        \
	__attribute__((cleanup(findings_clear))) struct findings name = { 0 };                     \
	findings_init(&(name))

#endif
