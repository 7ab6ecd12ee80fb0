/* set_change - changes of the store that declare a set */
#ifndef SET_CHANGE_H
#define SET_CHANGE_H

#include "control/store.h"

/* set_change_pack - the command that declares TEXT as VERSION on BASE; ID is "" for no change id.
 */
GBytes *set_change_pack(u64 version, u64 base, const char *id, const char *text);

/* set_change_apply - declares TEXT as VERSION, which must be one higher than the set's in S. */
void set_change_apply(struct store *s, u64 version, const char *text);

#endif
