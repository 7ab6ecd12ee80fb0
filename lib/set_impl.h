/*
 * set_impl - private declarations shared by the source files of set
 *
 * SOURCE lib/set.c, lib/set_organisation.c
 */
#ifndef SET_IMPL_H
#define SET_IMPL_H

#include "lib/set.h"

#include <jansson.h>

/* The highest rate that a set may declare, in calls per second. */
#define SET_PER_S_MAX 1000000000

/* Location of a JSON object, for findings; LIST is NULL for the set itself. */
struct set_location {
	const char *list;
	size_t index;
};

void set_report(struct findings *found, struct set_location at, const char *key, const char *text);

/* set_get_text - returns a copy of the text at KEY; "" with a finding if it is not valid. */
char *set_get_text(json_t *obj, struct set_location at, const char *key, struct findings *found);

/*
 * set_get_number - returns the number at KEY, rounded down, or ABSENT if the key is missing. Adds a
 * finding if the value is not a number from MIN to MAX; a negative ABSENT makes the key required.
 */
u64 set_get_number(json_t *obj, struct set_location at, const char *key, json_int_t min,
		   json_int_t max, json_int_t absent, struct findings *found);

/* set_get_milli - returns thousandths of the number at KEY, from 0 to MAX; 0 if it is missing. */
u64 set_get_milli(json_t *obj, struct set_location at, const char *key, u64 max,
		  struct findings *found);

/* set_get_bool - returns the value at KEY; false if it is missing. */
bool set_get_bool(json_t *obj, struct set_location at, const char *key, struct findings *found);

/* set_read_organisations - returns the organisations of LIST; NULL if there is no list. */
GPtrArray *set_read_organisations(json_t *list, struct findings *found);

#endif
