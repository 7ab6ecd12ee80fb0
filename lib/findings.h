/*
 * findings - a list of validation errors, each with its location in the input
 *
 * A validator adds each problem that it finds and continues, so that a single
 * run reports all of them; of more than FINDINGS_MAX it reports the first ones,
 * and how many more there are.
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

/* A text of 150 KB can have 350,000 problems. */
#define FINDINGS_MAX 1000

struct findings {
	GPtrArray *list; /* of struct finding */
	guint count; /* also of those that are not in the list */
};

void findings_init(struct findings *f);
void findings_clear(struct findings *f);
/* findings_count - returns how many there are; those from FINDINGS_MAX on are only counted. */
guint findings_count(const struct findings *f);

/* findings_listed - returns how many findings_at knows, and findings_left_out how many it doesn't.
 */
guint findings_listed(const struct findings *f);
guint findings_left_out(const struct findings *f);
const struct finding *findings_at(const struct findings *f, guint i);
void findings_add(struct findings *f, const char *place, const char *fmt, ...) G_GNUC_PRINTF(3, 4);

/* findings_print - writes each finding to OUT as a line "PLACE: TEXT". */
void findings_print(const struct findings *f, FILE *out);

/* FINDINGS_AUTO - declares an empty list NAME that is freed at the end of the scope. */
#define FINDINGS_AUTO(name)                                                                        \
	__attribute__((cleanup(findings_clear))) struct findings name = { 0 };                     \
	findings_init(&(name))

#endif
