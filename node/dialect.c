#include "node/dialect.h"

#include <stdlib.h>
#include <string.h>

#define TIMEOUT_MAX_MS 600000
#define TIMEOUT_HEADER "Lavenderlead-Timeout-Ms"
#define OUTCOME_HEADER "Lavenderlead-Outcome"
#define REASON_HEADER "Lavenderlead-Reason"

bool dialect_ms(const char *text, u64 max, u64 *ms)
{
	char *end;
	u64 n;

	if (!text || !g_ascii_isdigit(*text))
		return false;
	n = strtoull(text, &end, 10);
	if (*end)
		return false;
	*ms = MIN(n, max);
	return true;
}

static bool own_timeout_ms(const struct http_msg *request, u64 *ms)
{
	return dialect_ms(http_header(request, TIMEOUT_HEADER), TIMEOUT_MAX_MS, ms);
}

static const char *own_id(const struct http_msg *request)
{
	(void)request;
	return NULL;
}

static void own_stamp(struct http_msg *request, const char *service)
{
	(void)request;
	(void)service;
}

static void own_refuse(struct http_msg *answer, const struct dialect_refusal *refusal)
{
	answer->status = refusal->status;
	http_add_header(answer, OUTCOME_HEADER, refusal->is_not_run ? "not-run" : "unknown");
	http_add_header(answer, REASON_HEADER, ctr_name(refusal->reason));
}

static bool own_is_set_anew(const char *name)
{
	return !g_ascii_strcasecmp(name, TIMEOUT_HEADER);
}

static void own_put(GString *head, const struct dialect_send *send)
{
	g_string_append_printf(head, TIMEOUT_HEADER ": %llu\r\n",
			       (unsigned long long)send->left_ms);
}

static bool own_is_answer_to(const struct http_msg *answer, const struct http_msg *request)
{
	(void)answer;
	(void)request;
	return true;
}

static bool own_is_not_run(const struct http_msg *answer)
{
	const char *outcome = http_header(answer, OUTCOME_HEADER);

	return answer->status == 503 && outcome && !strcmp(outcome, "not-run");
}

/* A refusal with a reason was made by a deeper node, for a call of the upstream. */
static bool own_is_refused_below(const struct http_msg *answer)
{
	return own_is_not_run(answer) && http_header(answer, REASON_HEADER);
}

static bool own_is_other_instance(const struct http_msg *answer)
{
	(void)answer;
	return false;
}

static bool own_load(const struct http_msg *answer, struct dialect_load *load)
{
	(void)answer;
	(void)load;
	return false;
}

const struct dialect dialect_own = {
	.name = "own",
	.timeout_ms = own_timeout_ms,
	.id = own_id,
	.stamp = own_stamp,
	.refuse = own_refuse,
	.is_set_anew = own_is_set_anew,
	.put = own_put,
	.is_answer_to = own_is_answer_to,
	.is_not_run = own_is_not_run,
	.is_refused_below = own_is_refused_below,
	.is_other_instance = own_is_other_instance,
	.load = own_load,
};
