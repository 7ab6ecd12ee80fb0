/*
 * descriptors - how the descriptors that a process may open are divided
 *
 * Connections that others open get shares, so that what the process opens itself, as links, the
 * upstream's connections and files, always finds some.
 *
 * SOURCE lib/descriptors.c
 */
#ifndef DESCRIPTORS_H
#define DESCRIPTORS_H

#include "lib/types.h"

/* A share of N is one in N of the descriptors. */
#define DESCRIPTORS_CALLERS_SHARE 2 /* of a node's callers */
#define DESCRIPTORS_OPERATORS_SHARE 8 /* of clients of the resource interface */
#define DESCRIPTORS_LOCAL_SHARE 16 /* of each local port */
#define DESCRIPTORS_PENDING_LINKS_SHARE 16 /* of accepted links without a HELLO */

/* descriptors_part - returns one in SHARE of the soft limit, at least 1; 0 if there is none. */
u32 descriptors_part(u32 share);

/* descriptors_are_used_up - returns whether ERROR, of accept(), says that none is left. */
bool descriptors_are_used_up(int error);

#endif
