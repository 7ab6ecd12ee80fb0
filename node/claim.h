/*
 * claim - doubt about the announcement in force
 *
 * Of two instances that announce themselves at one node, the one that started later is believed, as
 * the earlier one may have crashed and its announcements may come late. Another writer can name a
 * later start, too. But its claim fails when the address answers for another instance, or when its
 * announcements end. Then the next announcement of any other instance takes its place, and what the
 * address has disproved does not come back while that one holds.
 *
 * SOURCE node/claim.c
 */
#ifndef CLAIM_H
#define CLAIM_H

#include "lib/types.h"

struct claim {
	bool is_in_doubt; /* any other announcement may replace the one in force */
	char *disproved; /* the last instance that the address has disproved; NULL for none */
	u64 disproved_start_ms;
};

void claim_clear(struct claim *c);

/* claim_disprove - the address answered for another instance than this one, which is in force. */
void claim_disprove(struct claim *c, const char *instance, u64 start_ms);

/* claim_end - the announcements of the one in force have ended. */
void claim_end(struct claim *c);

/* claim_confirm - the address answered for this instance, which is in force. */
void claim_confirm(struct claim *c, const char *instance, u64 start_ms);

/* claim_is_disproved - returns whether the address has disproved this instance. */
bool claim_is_disproved(const struct claim *c, const char *instance, u64 start_ms);

/* claim_accepted - this announcement is in force from now on, again or in place of another. */
void claim_accepted(struct claim *c, const char *instance, u64 start_ms);

#endif
