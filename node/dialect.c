#include "node/dialect.h"

#include "lib/err.h"
#include "wire/peer.h"

#include <stdlib.h>
#include <string.h>

#define TIMEOUT_MAX_MS 600000
#define TIMEOUT_HEADER "Lavenderlead-Timeout-Ms"
#define OUTCOME_HEADER "Lavenderlead-Outcome"
#define REASON_HEADER "Lavenderlead-Reason"
#define RATE_LIMIT_HEADER "Lavenderlead-Rate-Limit"
/* In answers of the health path only. */
#define COLD_HEADER "Lavenderlead-Warmup-Ms"
#define KEY_HEADER "Authorization"
#define KEY_SCHEME "Bearer "
#define ORGANISATION_HEADER "Lavenderlead-Organisation"
/* Set by the home node for each attempt; an upstream may repeat it in its answer. */
#define ATTEMPT_HEADER "Lavenderlead-Attempt"

#define RATE_MAX_PER_S 1000000

const char *dialect_sample_id(const struct dialect *d, const struct http_msg *request)
{
	/* The id of an attempt is known to its home node alone. */
	return d->has_ids ? d->id(request) : NULL;
}

int dialect_single_header(const struct http_msg *m, const char *name, const char **value)
{
	*value = NULL;
	for (guint i = 0; i < m->headers->len; i++) {
		const struct http_header *h = g_ptr_array_index(m->headers, i);

		if (g_ascii_strcasecmp(h->name, name))
			continue;
		if (*value)
			return ERR_INVAL;
		*value = h->value;
	}
	return 0;
}

bool dialect_parse_ms(const char *text, u64 max, u64 *ms)
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

static bool is_decimal(const char *text)
{
	const char *point = strchr(text, '.');
	size_t digits = strspn(text, "0123456789");

	if (point)
		digits += strspn(point + 1, "0123456789") + 1;
	return g_ascii_isdigit(*text) && digits == strlen(text);
}

int dialect_parse_rate(const char *text, u64 *milli_per_s)
{
	if (!is_decimal(text))
		return ERR_INVAL;
	*milli_per_s = (u64)(MIN(g_ascii_strtod(text, NULL), RATE_MAX_PER_S) * MILLI);
	return 0;
}

int dialect_read_cold(const struct http_msg *answer, const char *header, u64 *remaining_ms)
{
	const char *text = http_header(answer, header);
	u64 thousandths = 0;

	*remaining_ms = 0;
	if (text && dialect_parse_rate(text, &thousandths))
		return ERR_INVAL;
	*remaining_ms = (thousandths + MILLI - 1) / MILLI;
	return 0;
}

int dialect_read_notice(const struct http_msg *answer, const char *rate_limit_header,
			const char *leaving_header, struct dialect_notice *notice)
{
	const char *rate = http_header(answer, rate_limit_header);
	const char *leaving = leaving_header ? http_header(answer, leaving_header) : NULL;

	*notice = (struct dialect_notice){ .is_leaving = leaving && !strcmp(leaving, "1") };
	if (!rate)
		return 0;
	notice->has_rate_limit = !dialect_parse_rate(rate, &notice->rate_limit_milli_per_s);
	return notice->has_rate_limit ? 0 : ERR_INVAL;
}

static bool native_timeout_ms(const struct http_msg *request, u64 *ms)
{
	return dialect_parse_ms(http_header(request, TIMEOUT_HEADER), TIMEOUT_MAX_MS, ms);
}

static const char *native_id(const struct http_msg *request)
{
	return http_header(request, ATTEMPT_HEADER);
}

static void native_set_attempt_id(struct http_msg *m, const char *id)
{
	http_remove_headers(m, ATTEMPT_HEADER);
	if (id)
		http_add_header(m, ATTEMPT_HEADER, id);
}

static void native_set_caller_service(struct http_msg *request, const char *service)
{
	(void)request;
	(void)service;
}

/* A header of another scheme gives no key. */
static int native_key(const struct http_msg *request, const char **key)
{
	const char *value;
	int err = dialect_single_header(request, KEY_HEADER, &value);
	bool has_key = value && !g_ascii_strncasecmp(value, KEY_SCHEME, strlen(KEY_SCHEME));

	*key = has_key ? value + strlen(KEY_SCHEME) : NULL;
	return err;
}

static void native_set_organisation(struct http_msg *request, const char *name)
{
	http_remove_headers(request, KEY_HEADER);
	http_remove_headers(request, ORGANISATION_HEADER);
	if (name)
		http_add_header(request, ORGANISATION_HEADER, name);
}

static void native_refuse(struct http_msg *answer, const struct dialect_refusal *refusal)
{
	answer->status = refusal->status;
	http_add_header(answer, OUTCOME_HEADER, refusal->is_not_run ? "not-run" : "unknown");
	http_add_header(answer, REASON_HEADER, ctr_name(refusal->reason));
	if (refusal->status == 429) {
		char text[24];

		snprintf(text, sizeof(text), "%llu",
			 (unsigned long long)(refusal->retry_after_ms + MILLI - 1) / MILLI);
		http_add_header(answer, "Retry-After", text);
	}
}

static bool native_is_rewritten_header(const char *name)
{
	return !g_ascii_strcasecmp(name, TIMEOUT_HEADER);
}

static void native_write_request_headers(GString *head, const struct dialect_request_info *info)
{
	g_string_append_printf(head, TIMEOUT_HEADER ": %llu\r\n",
			       (unsigned long long)info->remaining_ms);
}

enum attempt_naming {
	NAMES_NONE,
	NAMES_ONE, /* one attempt, that of the request or another */
	NAMES_SPOILT, /* no id of an attempt, or two different ones */
};

/* Reads which attempt the answer names into ID, which is set only for NAMES_ONE. */
static enum attempt_naming read_attempt_id(const struct http_msg *answer, const char **id)
{
	*id = NULL;
	for (guint i = 0; i < answer->headers->len; i++) {
		const struct http_header *h = g_ptr_array_index(answer->headers, i);

		if (g_ascii_strcasecmp(h->name, ATTEMPT_HEADER))
			continue;
		if (!peer_is_id_text(h->value) || (*id && strcmp(*id, h->value))) {
			*id = NULL;
			return NAMES_SPOILT;
		}
		*id = h->value;
	}
	return *id ? NAMES_ONE : NAMES_NONE;
}

static bool native_names_request(const struct http_msg *answer, const struct http_msg *request)
{
	const char *id;

	return read_attempt_id(answer, &id) == NAMES_ONE && !g_strcmp0(id, native_id(request));
}

/* An upstream need not name the request. */
static bool native_is_answer_to(const struct http_msg *answer, const struct http_msg *request)
{
	const char *id;

	return read_attempt_id(answer, &id) != NAMES_ONE || !g_strcmp0(id, native_id(request));
}

static bool native_is_id_spoilt(const struct http_msg *answer)
{
	const char *id;

	return read_attempt_id(answer, &id) == NAMES_SPOILT;
}

static bool native_is_not_run(const struct http_msg *answer)
{
	const char *outcome = http_header(answer, OUTCOME_HEADER);

	return answer->status == 503 && outcome && !strcmp(outcome, "not-run");
}

/* Callers look at the outcome header only. */
static bool native_is_unstated_refusal(const struct http_msg *answer)
{
	(void)answer;
	return false;
}

/* A refusal with a reason was generated by another node, for a nested call of the upstream. */
static bool native_is_refused_below(const struct http_msg *answer)
{
	return native_is_not_run(answer) && http_header(answer, REASON_HEADER);
}

static bool native_is_other_instance(const struct http_msg *answer)
{
	(void)answer;
	return false;
}

static bool native_load(const struct http_msg *answer, struct dialect_load *load)
{
	(void)answer;
	(void)load;
	return false;
}

static int native_cold(const struct http_msg *answer, u64 *remaining_ms)
{
	return dialect_read_cold(answer, COLD_HEADER, remaining_ms);
}

/* An upstream announces that it is draining, so its answers need not say so. */
static int native_notice(const struct http_msg *answer, struct dialect_notice *notice)
{
	return dialect_read_notice(answer, RATE_LIMIT_HEADER, NULL, notice);
}

const struct dialect dialect_native = {
	.name = "own",
	.are_refusals_named = true,
	.timeout_ms = native_timeout_ms,
	.id = native_id,
	.set_attempt_id = native_set_attempt_id,
	.set_caller_service = native_set_caller_service,
	.key = native_key,
	.set_organisation = native_set_organisation,
	.refuse = native_refuse,
	.is_rewritten_header = native_is_rewritten_header,
	.write_request_headers = native_write_request_headers,
	.is_answer_to = native_is_answer_to,
	.names_request = native_names_request,
	.is_id_spoilt = native_is_id_spoilt,
	.is_not_run = native_is_not_run,
	.is_unstated_refusal = native_is_unstated_refusal,
	.is_refused_below = native_is_refused_below,
	.is_other_instance = native_is_other_instance,
	.cold = native_cold,
	.load = native_load,
	.notice = native_notice,
};
