/*
 * declare - loads service declarations from files
 *
 * SOURCE cmd/declare.c
 */
#ifndef DECLARE_H
#define DECLARE_H

#include "lib/findings.h"
#include "lib/res.h"

/*
 * declare_load - returns the services in a JSON file, or in all *.json files of
 * a directory, sorted by file name. Errors are added to FOUND as FILE:PATH.
 */
GPtrArray *declare_load(const char *path, struct findings *found);

#endif
