/*
 * retry - whether a call may be tried again, and the budget for it
 *
 * A call is tried again only when it was not run, or when it is idempotent.
 * The budget is a share of recent answers, so that retries cannot multiply
 * along a chain of nodes.
 *
 * SOURCE node/retry.c
 */
#ifndef RETRY_H
#define RETRY_H

#include "lib/types.h"

#define RETRY_TRIES_MAX 3
#define RETRY_SHARE_PERCENT 20
#define RETRY_BUDGET_MAX 1000 /* in hundredths of a retry */

struct retry_budget {
	u32 hundredths;
};

enum retry_verdict { RETRY_AGAIN, RETRY_GIVE_UP, RETRY_NO_BUDGET };

void retry_budget_init(struct retry_budget *b);

/* retry_answered - an answer came; it earns a share of a retry. */
void retry_answered(struct retry_budget *b);

/* retry_decide - after try number TRIES (from 1) failed; takes from the budget. */
enum retry_verdict retry_decide(struct retry_budget *b, u32 tries, bool is_not_run,
				bool is_idempotent, u64 left_us);

#endif
