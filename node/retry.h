/*
 * retry - whether a call may be tried again, and the budget for it
 *
 * A call is tried again only when it was not run, or when it is idempotent. A
 * refusal that comes from a deeper call was tried again there as often as was
 * right, so it is not tried again here. The budget is a share of recent
 * answers, so that retries cannot multiply along a chain of nodes.
 *
 * UNITS microseconds
 * SOURCE node/retry.c
 */
#ifndef RETRY_H
#define RETRY_H

#include "lib/types.h"

#define RETRY_ATTEMPTS_MAX 3
#define RETRY_BUDGET_PERCENT 10
#define RETRY_BUDGET_MAX 1000 /* in hundredths of a retry */

struct retry_budget {
	u32 hundredths;
};

enum retry_verdict { RETRY_AGAIN, RETRY_GIVE_UP, RETRY_NO_BUDGET };

/* How a try ended without an answer. */
struct retry_failure {
	bool is_not_run;
	bool is_refused_below; /* a deeper node refused a call of the upstream */
};

void retry_budget_init(struct retry_budget *b);

/* retry_budget_earn - an answer came; it earns a share of a retry. */
void retry_budget_earn(struct retry_budget *b);

/* retry_decide - after try number TRIES (from 1) failed; takes from the budget. */
enum retry_verdict retry_decide(struct retry_budget *b, u32 tries, struct retry_failure failure,
				bool is_idempotent, u64 left_us);

/*
 * retry_upstream_timeout_ms - the time left to tell the upstream: less than the own,
 * so that its refusal or answer still arrives here in time. 0 when it is over.
 */
u64 retry_upstream_timeout_ms(u64 deadline_us, u64 now_us);

#endif
