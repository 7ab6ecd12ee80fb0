/*
 * diff - prints the differences between two JSON values, one line each
 *
 * SOURCE cmd/diff.c
 */
#ifndef DIFF_H
#define DIFF_H

#include <stdio.h>

/* diff_print - writes "  PATH: OLD -> NEW" lines, or nothing when a text is not valid JSON. */
void diff_print(const char *old_json, const char *new_json, FILE *out);

#endif
