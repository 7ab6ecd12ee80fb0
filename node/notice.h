/*
 * notice - the rate limit that an upstream has named, and whether it is leaving
 *
 * The upstream repeats both in each answer. Answers of different connections may arrive out of
 * order: an answer without a rate limit ends the limit only if its request was sent after the last
 * answer with one had arrived. An upstream that is leaving does not come back before it restarts.
 *
 * UNITS microseconds
 * SOURCE node/notice.c
 */
#ifndef NOTICE_H
#define NOTICE_H

#include "lib/types.h"
#include "node/dialect.h"

struct notice {
	struct dialect_notice now; /* in force */
	u64 named_us; /* when an answer last named a rate limit */
};

/*
 * notice_update - applies what an answer says that arrived at NOW_US to a request sent at SENT_US.
 * Returns whether what is in force has changed.
 */
bool notice_update(struct notice *n, const struct dialect_notice *said, u64 sent_us, u64 now_us);

#endif
