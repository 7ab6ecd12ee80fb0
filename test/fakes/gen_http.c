/* Requests and answers of HTTP. */
#include "test/fakes/gen.h"

#include <string.h>

#define REQUESTS_MAX 4
#define MANY_HEADERS 300
/* How many of a part are sound for one that is not. */
#define SOUND_PARTS 10
/* More than a caller, or a node, is given by an upstream in one answer. */
#define ENDLESS_BYTES (12 * 1024 * 1024)

static const char *const methods[] = { "GET", "POST", "PUT", "DELETE", "HEAD" };
static const char *const odd_methods[] = {
	"",	   "get",     "G\x01T", "OPTIONS",  "HOOPOE",
	"CONNECT", "GET GET", "\xff",	"PROPFIND", "GETGETGETGETGETGETGETGETGETGETGETGETGET"
};
static const char *const targets[] = {
	"/",	       "/species/hoopoe",  "/checklists",  "/v1/upstream",
	"/v1/metrics", "/v1/status",	   "/v1/services", "/v1/services/spoilt",
	"/v1/set",     "/v1/watch?from=0", "/v1/members",
};
static const char *const odd_targets[] = {
	"",
	"*",
	"x",
	"//",
	"/%",
	"/%00",
	"/%zz",
	"/../../etc",
	"http://other/",
	"/v1/watch?from=99999999999999999999",
	"/v1/services/%2e%2e%2f",
	"/v1/services/",
	"/v1/members/99999999999999999999/replace",
	"/\xff\xfe",
	"/a b",
	"/?\r\nx: y",
};
static const char *const versions[] = { "HTTP/1.1", "HTTP/1.1", "HTTP/1.1", "HTTP/1.0" };
static const char *const odd_versions[] = {
	"", "HTTP/2.0", "HTTP/9.9", "HTTP/1.", "http/1.1", "X"
};
static const char *const odd_headers[] = {
	"Lavenderlead-Timeout-Ms: 99999999999999999999\r\n",
	"Lavenderlead-Timeout-Ms: -1\r\n",
	"Lavenderlead-Timeout-Ms: 1\r\n",
	"Lavenderlead-Attempt: 1f-2-a\r\n",
	"If-Match: 18446744073709551616\r\n",
	"If-Match: 0\r\n",
	"Change-Id: \xff\xfe\r\n",
	"Expect: 100-continue\r\n",
	"Expect: hoopoe\r\n",
	"Connection: close\r\n",
	"Connection: keep-alive, close, upgrade\r\n",
	"Upgrade: h2c\r\n",
	"Host: other.example\r\n",
	"Host:\r\n",
	": empty\r\n",
	"no colon\r\n",
	"A: b\r\n folded\r\n",
	"Content-Length: 0\r\n",
	"Transfer-Encoding: gzip, chunked\r\n",
	"Transfer-Encoding: identity\r\n",
};
static const char *const odd_lengths[] = {
	"-5",  "hoopoe",  "99999999999999999999", "5, 5", "+5", "0x5", "",
	"5 5", "1000000", "18446744073709551615"
};
static const char *const odd_sizes[] = { "zz",	 "-1",	"ffffffffffffffff", "10000000000000000", "",
					 "5 ;x", "0x5", "7fffffff",	    "100000000" };
static const char *const statuses[] = { "200 OK",
					"200 OK",
					"201 Created",
					"204 No Content",
					"304 Not Modified",
					"404 Not Found",
					"429 Too Many Requests",
					"500 Internal Server Error",
					"503 Service Unavailable" };
static const char *const odd_statuses[] = {
	"",    "0 X",  "99 X",	"1000 X",	"abc",
	"200", "-1 X", "600 X", "100 Continue", "101 Switching Protocols"
};
static const char *const answer_headers[] = {
	"Lavenderlead-Outcome: not-run\r\n",
	"Lavenderlead-Outcome: hoopoe\r\n",
	"Lavenderlead-Rate-Limit: 10\r\n",
	"Lavenderlead-Rate-Limit: 1e9\r\n",
	"Lavenderlead-Rate-Limit: -1\r\n",
	"Lavenderlead-Rate-Limit: 99999999999999999999.99999\r\n",
	"Lavenderlead-Attempt: 1f-2-a\r\n",
	"Lavenderlead-Attempt: \xff\r\n",
	"Retry-After: 99999999999999999999\r\n",
	"Connection: close\r\n",
	"Connection: upgrade\r\n",
	"Transfer-Encoding: gzip\r\n",
	"A: b\r\n folded\r\n",
	": empty\r\n",
};

static bool is_odd(struct rng *r)
{
	return gen_one_in(r, SOUND_PARTS);
}

#define PART(r, sound, odd) (is_odd(r) ? GEN_PICK(r, odd) : GEN_PICK(r, sound))

static void put_filled(GString *out, u32 len)
{
	gsize before = out->len;

	g_string_set_size(out, before + len);
	memset(out->str + before, 'x', len);
}

static void put_odd_headers(struct rng *r, GString *out, const char *const *table, u32 n)
{
	for (u32 i = rng_below(r, 3); i; i--)
		g_string_append(out, table[rng_below(r, n)]);
	if (gen_one_in(r, 4 * SOUND_PARTS))
		for (u32 i = 0; i < MANY_HEADERS; i++)
			g_string_append_printf(out, "H%u: %u\r\n", i, i);
	if (gen_one_in(r, 4 * SOUND_PARTS)) {
		g_string_append(out, "Long: ");
		put_filled(out, 1 + rng_below(r, 200000));
		g_string_append(out, "\r\n");
	}
}

static void put_chunk(struct rng *r, GString *out, const char *data, u32 len)
{
	if (is_odd(r))
		g_string_append(out, GEN_PICK(r, odd_sizes));
	else
		g_string_append_printf(out, "%x", len);
	if (is_odd(r))
		g_string_append(out, ";name=\"value\"");
	g_string_append(out, "\r\n");
	g_string_append_len(out, data, len);
	if (!is_odd(r))
		g_string_append(out, "\r\n");
}

static void put_chunks(struct rng *r, GString *out, const GString *body)
{
	for (u32 at = 0; at < body->len;) {
		u32 len = 1 + rng_below(r, (u32)body->len - at);

		put_chunk(r, out, body->str + at, len);
		at += len;
	}
	if (is_odd(r))
		return;
	g_string_append(out, "0\r\n");
	if (is_odd(r))
		g_string_append(out, "Trailer: x\r\n");
	g_string_append(out, "\r\n");
}

/* Appends how long the body is, the end of the head, and the body. */
static void put_body(struct rng *r, GString *out, const GString *body)
{
	if (gen_one_in(r, 3)) {
		g_string_append(out, "Transfer-Encoding: chunked\r\n\r\n");
		put_chunks(r, out, body);
		return;
	}
	if (is_odd(r))
		g_string_append_printf(out, "Content-Length: %s\r\n", GEN_PICK(r, odd_lengths));
	if (!is_odd(r))
		g_string_append_printf(out, "Content-Length: %zu\r\n", body->len);
	g_string_append(out, "\r\n");
	g_string_append_len(out, body->str, (gssize)body->len);
}

static void fill_body(struct rng *r, GString *body, const char *target)
{
	if (strstr(target, "services"))
		gen_service(r, body);
	else if (strstr(target, "upstream"))
		gen_announcement(r, body);
	else
		put_filled(body, rng_below(r, gen_one_in(r, 8) ? 100000 : 100));
}

static void put_request(struct rng *r, GString *out, const char *host)
{
	const char *method = PART(r, methods, odd_methods);
	const char *target = PART(r, targets, odd_targets);
	const char *version = PART(r, versions, odd_versions);
	GString *body = g_string_new(NULL);

	/* What ends the use of an upstream or a service is another test's. */
	if (!strcmp(method, "DELETE"))
		target = "/v1/services/spoilt";
	if (strcmp(method, "GET") != 0)
		fill_body(r, body, target);
	g_string_append_printf(out, "%s %s %s\r\n", method, target, version);
	if (!is_odd(r))
		g_string_append_printf(out, "Host: %s\r\n", host);
	put_odd_headers(r, out, odd_headers, G_N_ELEMENTS(odd_headers));
	put_body(r, out, body);
	g_string_free(body, TRUE);
}

void gen_requests(struct rng *r, GString *out, const char *host)
{
	for (u32 n = 1 + rng_below(r, REQUESTS_MAX); n; n--)
		put_request(r, out, host);
	if (gen_one_in(r, 4))
		gen_mutate(r, out);
	if (gen_one_in(r, 6))
		g_string_truncate(out, rng_below(r, (u32)out->len + 1));
}

static void put_answer(struct rng *r, GString *out)
{
	const char *version = PART(r, versions, odd_versions);
	const char *status = PART(r, statuses, odd_statuses);
	GString *body = g_string_new(NULL);

	put_filled(body, rng_below(r, gen_one_in(r, 8) ? 100000 : 100));
	g_string_append_printf(out, "%s %s\r\n", version, status);
	put_odd_headers(r, out, answer_headers, G_N_ELEMENTS(answer_headers));
	put_body(r, out, body);
	g_string_free(body, TRUE);
}

void gen_answer(struct rng *r, GString *out)
{
	static const u32 how_many[] = { 1, 1, 1, 1, 1, 1, 2, 0 };

	if (is_odd(r))
		g_string_append(out, "HTTP/1.1 100 Continue\r\n\r\n");
	for (u32 n = GEN_PICK(r, how_many); n; n--)
		put_answer(r, out);
	if (gen_one_in(r, 4))
		gen_mutate(r, out);
	if (gen_one_in(r, 6))
		g_string_truncate(out, rng_below(r, (u32)out->len + 1));
	if (gen_one_in(r, 100))
		put_filled(out, ENDLESS_BYTES);
}
