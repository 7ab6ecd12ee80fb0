/*
 * diff - the differences of two JSON values, a line each with the path
 *
 * SOURCE cmd/diff.c
 */
#ifndef DIFF_H
#define DIFF_H

#include <stdio.h>

/* diff_print - write "  PATH: OLD -> NEW" lines; texts that are not JSON print nothing. */
void diff_print(const char *old_json, const char *new_json, FILE *out);

#endif
