/*
 * declare - declarations of services from files
 *
 * SOURCE cmd/declare.c
 */
#ifndef DECLARE_H
#define DECLARE_H

#include "lib/findings.h"
#include "lib/res.h"

/*
 * declare_load - the services of a JSON file, or of all *.json files of a
 * folder in order of name. Problems go to FOUND as FILE:PATH.
 */
GPtrArray *declare_load(const char *path, struct findings *found);

#endif
