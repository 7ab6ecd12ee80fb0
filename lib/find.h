/*
 * find - findings: every problem of an input, with its place
 *
 * A checker adds each problem it meets and goes on, so that one run reports
 * all of them.
 *
 * SOURCE lib/find.c
 */
#ifndef FIND_H
#define FIND_H

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

void find_init(struct findings *f);
void find_clear(struct findings *f);
guint find_count(const struct findings *f);
const struct finding *find_at(const struct findings *f, guint i);
void find_add(struct findings *f, const char *place, const char *fmt, ...) G_GNUC_PRINTF(3, 4);

/* find_print - write "PLACE: TEXT" lines to OUT. */
void find_print(const struct findings *f, FILE *out);

/* FIND_AUTO - declare findings that are cleared when the scope ends. */
#define FIND_AUTO(name)                                                                            \
	__attribute__((cleanup(find_clear))) struct findings name = { 0 };                         \
	find_init(&(name))

#endif
