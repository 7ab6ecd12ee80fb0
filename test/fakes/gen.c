#include "test/fakes/gen.h"

#include <string.h>

#define MUTATIONS_MAX 4
#define MUTATED_BYTES_MAX 16
#define PLAIN_DEPTH 4
/* Longer than a parser's stack on some processor, and a length that each of them bears. */
static const u32 nesting_levels[] = {
	2, 63, 64, 65, 500, 850, 1000, 1500, 1840, 2044, 4000, 40000
};
static const u32 text_bytes[] = { 0, 1, 15, 255, 4096, 65536, 300000 };
static const u32 list_lengths[] = { 0, 1, 100, 5000 };

static const char *const numbers[] = {
	"0",
	"-0",
	"1",
	"-1",
	"65536",
	"4294967296",
	"9223372036854775807",
	"9223372036854775808",
	"-9223372036854775809",
	"18446744073709551616",
	"99999999999999999999999999",
	"1e999",
	"-1e-999",
	"1E400",
	"0.0000001",
	"1.5",
	"01",
	"+1",
	"0x10",
	".5",
	"1.",
	"-",
	"NaN",
	"Infinity",
};

static const char *const strings[] = {
	"\"\"",		"\"/\"",	 "\"hoopoe\"",	  "\"\\u0000\"",     "\"\\ud800\"",
	"\"\\udc00x\"", "\"\xff\xfe\"",	 "\"\xc0\x80\"",  "\"a\\r\\nb: c\"", "\"\\x\"",
	"\"never",	"\"%00%2e%2e\"", "\"../../etc\"", "\"a b\"",	     "\"\\/\\b\\f\\t\"",
	"'single'",	"\"\n\"",	 "\"*\"",	  "\"\\\"\\\\\"",    "\"\xef\xbb\xbf\"",
};

/*
 * The values between < and > are the ones that may be spoilt: those that leave the calls of others
 * as they are when they are taken.
 */
static const char set_template[] =
	",\"routes\":<[{\"name\":<\"r\">,\"host\":<\"spoilt.example\">,\"prefix\":<\"/x/\">,"
	"\"repeat\":<\"never\">,\"timeout_ms\":<1000>,\"target_ms\":<300>,\"priority\":<1>,"
	"\"attempts\":<1>,\"service\":<\"spoilt\">}]>,\"services\":<[{\"name\":<\"spoilt\">,"
	"\"health_path\":<\"/health\">,\"connections\":<220>}]>,\"limits\":<{\"head_bytes\":16384,"
	"\"body_bytes\":67108864,\"head_timeout_ms\":3000,\"idle_timeout_ms\":15000}>,"
	"\"notes\":<1>}";

static const char service_template[] =
	"<{\"name\":<\"spoilt\">,\"hosts\":<[\"spoilt.example\"]>,\"ranks\":<[{\"name\":<\"page\">,"
	"\"match\":<[{\"method\":<\"GET\">,\"path\":<\"/\">}]>,\"idempotent\":<true>,"
	"\"target_ms\":<100>,\"worth\":<10>,\"floor_percent\":<10>}]>,\"notes\":<1>}>";

static const char announcement_template[] =
	"<{\"service\":<\"spoilt\">,\"slots\":<4>,\"connections\":<8>,\"load_path\":<\"/load\">,"
	"\"state\":<\"ready\">,\"notes\":<1>}>";

static void put_repeated(GString *out, const char *text, u32 n)
{
	for (u32 i = 0; i < n; i++)
		g_string_append(out, text);
}

/* Objects or lists within one another; one in eight is not closed as often as it was opened. */
static void put_nested(struct rng *r, GString *out)
{
	u32 levels = GEN_PICK(r, nesting_levels);
	u32 closed = gen_one_in(r, 8) ? levels / 2 : levels;
	bool is_list = gen_one_in(r, 2);

	put_repeated(out, is_list ? "[" : "{\"\":", levels);
	g_string_append_c(out, '1');
	put_repeated(out, is_list ? "]" : "}", closed);
}

static void put_long_text(struct rng *r, GString *out)
{
	u32 len = GEN_PICK(r, text_bytes);

	g_string_append_c(out, '"');
	for (u32 i = 0; i < len; i++)
		g_string_append_c(out, 'x');
	g_string_append_c(out, '"');
}

static void put_repeated_member(struct rng *r, GString *out)
{
	const char *first = GEN_PICK(r, numbers);

	g_string_append_printf(out, "{\"name\":%s,\"name\":%s}", first, GEN_PICK(r, strings));
}

static void put_long_list(struct rng *r, GString *out)
{
	u32 n = GEN_PICK(r, list_lengths);

	g_string_append(out, "[");
	for (u32 i = 0; i < n; i++)
		g_string_append(out, i ? ",{}" : "{}");
	g_string_append(out, "]");
}

static void put_odd_value(struct rng *r, GString *out, u32 depth);

static void put_small_object(struct rng *r, GString *out, u32 depth)
{
	u32 n = rng_below(r, 4);

	g_string_append_c(out, '{');
	for (u32 i = 0; i < n; i++) {
		g_string_append_printf(out, "%s\"k%u\":", i ? "," : "", i);
		put_odd_value(r, out, depth - 1);
	}
	g_string_append_c(out, '}');
}

static void put_odd_value(struct rng *r, GString *out, u32 depth)
{
	static const char *const plain[] = { "true", "false", "null", "[]", "{}", "" };

	switch (rng_below(r, 8)) {
	case 0:
		put_nested(r, out);
		break;
	case 1:
	case 2:
		g_string_append(out, GEN_PICK(r, numbers));
		break;
	case 3:
		g_string_append(out, GEN_PICK(r, strings));
		break;
	case 4:
		put_long_text(r, out);
		break;
	case 5:
		put_repeated_member(r, out);
		break;
	case 6:
		put_long_list(r, out);
		break;
	default:
		if (depth)
			put_small_object(r, out, depth);
		else
			g_string_append(out, GEN_PICK(r, plain));
		break;
	}
}

static u32 count_places(const char *template)
{
	u32 n = 0;

	for (; *template; template ++)
		n += *template == '<';
	return n;
}

/* Returns the end of the value whose mark is at P. */
static const char *skip_value(const char *p)
{
	u32 depth = 0;

	do {
		depth += *p == '<';
		depth -= *p == '>';
		p++;
	} while (depth);
	return p;
}

/* Appends the template with an odd value in place of that at SPOILT. */
static void put_template(struct rng *r, GString *out, const char *template, u32 spoilt)
{
	u32 place = 0;

	for (const char *p = template; *p;) {
		if (*p == '<' && place++ == spoilt) {
			put_odd_value(r, out, PLAIN_DEPTH);
			p = skip_value(p);
			continue;
		}
		if (*p != '<' && *p != '>')
			g_string_append_c(out, *p);
		p++;
	}
}

static void put_spoilt(struct rng *r, GString *out, const char *template)
{
	u32 places = count_places(template);

	/* One in the number of places and one more is sound. */
	put_template(r, out, template, rng_below(r, places + 1));
	if (gen_one_in(r, 8))
		gen_mutate(r, out);
}

void gen_set(struct rng *r, GString *out, u64 version)
{
	GString *rest = g_string_new(NULL);

	put_spoilt(r, rest, set_template);
	g_string_append_printf(out, "{\"version\":%llu", (unsigned long long)version);
	g_string_append_len(out, rest->str, (gssize)rest->len);
	g_string_free(rest, TRUE);
}

void gen_service(struct rng *r, GString *out)
{
	put_spoilt(r, out, service_template);
}

void gen_announcement(struct rng *r, GString *out)
{
	put_spoilt(r, out, announcement_template);
}

static void mutate_once(struct rng *r, GString *text)
{
	gsize at = rng_below(r, (u32)text->len);
	gsize len = 1 + rng_below(r, (u32)MIN(text->len - at, MUTATED_BYTES_MAX));
	g_autofree char *part = g_memdup2(text->str + at, len);

	switch (rng_below(r, 4)) {
	case 0:
		text->str[at] = (char)rng_next(r);
		break;
	case 1:
		g_string_erase(text, (gssize)at, (gssize)len);
		break;
	case 2:
		g_string_insert_len(text, (gssize)at, part, (gssize)len);
		break;
	default:
		text->str[at] ^= (char)(1 << rng_below(r, 8));
		break;
	}
}

void gen_mutate(struct rng *r, GString *text)
{
	for (u32 n = 1 + rng_below(r, MUTATIONS_MAX); n && text->len; n--)
		mutate_once(r, text);
}
