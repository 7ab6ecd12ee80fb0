/*
 * ctr - event counters of the process
 *
 * Each event has a counter for each of its causes. The name of a refusal counter
 * is also the value of the Lavenderlead-Reason header.
 *
 * SOURCE lib/ctr.c, lib/ctr_list.h
 */
#ifndef CTR_H
#define CTR_H

#include "lib/types.h"

#include <glib.h>

enum ctr {
#define CTR(id, name, help) CTR_##id,
#include "lib/ctr_list.h"
#undef CTR
	CTR_COUNT
};

void ctr_add(enum ctr c, u64 n);
u64 ctr_get(enum ctr c);
const char *ctr_name(enum ctr c);

/* ctr_find - returns the counter called NAME, or CTR_COUNT if there is none. */
enum ctr ctr_find(const char *name);

/* ctr_print - appends all counters to OUT in the Prometheus text exposition format. */
void ctr_print(GString *out);

static inline void ctr_inc(enum ctr c)
{
	ctr_add(c, 1);
}

#endif
