/*
 * notice - the rate limit that an upstream has named, and whether it is leaving
 *
 * The upstream repeats both in each answer. Answers of different connections may arrive out of
 * order: an answer without a rate limit ends the limit only if its request was sent after the last
 * answer with one had arrived. A faulty upstream may write an earlier answer again: one that may be
 * such a copy ends or raises the limit only if the one before it, which may be a copy too, did not
 * name the limit in force or a lower one either. An upstream that is leaving does not come back
 * before it restarts.
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
	bool is_rise_heard; /* the last answer ended or raised the limit and may be a copy */
};

/*
 * notice_update - applies what an answer says that arrived at NOW_US to a request sent at SENT_US;
 * MAY_BE_COPY when it may be a copy of an earlier answer. Returns whether what is in force has
 * changed.
 */
bool notice_update(struct notice *n, const struct dialect_notice *said, u64 sent_us, u64 now_us,
		   bool may_be_copy);

#endif
