/*
 * retry - decides whether a failed call may be retried, within a budget
 *
 * A call is retried only if it was not executed or is idempotent. If a node further down the
 * call chain refused, the nodes there have already retried as often as allowed, so the call is
 * not retried here. The budget is a share of recent answers, so that retries cannot multiply
 * along a chain of nodes.
 *
 * UNITS microseconds
 * SOURCE node/retry.c
 */
#ifndef RETRY_H
#define RETRY_H

#include "lib/types.h"

#define RETRY_ATTEMPTS_MAX 3
#define RETRY_BUDGET_PERCENT 10 /* of answers */
#define RETRY_BUDGET_MAX 1000 /* in hundredths of a retry */

struct retry_budget {
	u32 hundredths; /* available budget, in hundredths of a retry */
};

enum retry_verdict { RETRY_AGAIN, RETRY_GIVE_UP, RETRY_NO_BUDGET };

/* How an attempt ended without an answer. */
struct retry_failure {
	bool is_not_run; /* certainly not executed */
	bool is_refused_below; /* a node refused a call that the upstream made */
};

void retry_budget_init(struct retry_budget *b);

/* retry_budget_deposit - adds the share of one answer to the budget. */
void retry_budget_deposit(struct retry_budget *b);

/*
 * retry_decide - decides whether to retry after ATTEMPTS attempts (at least 1) have failed; a
 * retry is taken from the budget.
 */
enum retry_verdict retry_decide(struct retry_budget *b, u32 attempts, struct retry_failure failure,
				bool is_idempotent, u64 remaining_us);

/*
 * retry_upstream_timeout_ms - returns the remaining time to send to the upstream. It is shorter
 * than that of the call itself, so that an answer or refusal still arrives here in time. 0 if
 * no time is left.
 */
u64 retry_upstream_timeout_ms(u64 deadline_us, u64 now_us);

#endif
