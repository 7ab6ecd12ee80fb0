/* Parses single values of the settings. */
#include "lib/settings_impl.h"

#include "lib/err.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* Names are sent in the hello message of every link, which limits their length. */
#define NAME_LIMIT_BYTES 63

char *settings_location(const struct loader *l, int line)
{
	return g_strdup_printf("%s:%d", l->path, line);
}

void settings_report(struct loader *l, const char *text, const char *value)
{
	g_autofree char *at = settings_location(l, l->line);

	findings_add(l->found, at, "%s: \"%s\"", text, value);
}

bool settings_parse_number(const char *text, u64 min, u64 max, u64 *out)
{
	char *end;

	errno = 0;
	*out = strtoull(text, &end, 10);
	if (errno || *end || !g_ascii_isdigit(text[0]))
		return false;
	return *out >= min && *out <= max;
}

u64 settings_number(struct loader *l, const char *value, u64 min, u64 max)
{
	g_autofree char *at = settings_location(l, l->line);
	u64 n = 0;

	if (!settings_parse_number(value, min, max, &n))
		findings_add(l->found, at, "not a whole number from %llu to %llu: \"%s\"",
			     (unsigned long long)min, (unsigned long long)max, value);
	return n;
}

u64 settings_decimal(struct loader *l, const char *value, u64 min, u64 max, u64 scale)
{
	g_autofree char *at = settings_location(l, l->line);
	char *end;
	double n = g_ascii_strtod(value, &end);

	if (end != value && !*end && n >= (double)min && n <= (double)max)
		return (u64)(n * (double)scale);
	findings_add(l->found, at, "not a number from %llu to %llu: \"%s\"",
		     (unsigned long long)min, (unsigned long long)max, value);
	return min;
}

u16 settings_port(struct loader *l, const char *value)
{
	return (u16)settings_number(l, value, 1, UINT16_MAX);
}

/* No previous value is freed: is_duplicate_key ensures that each value is set only once. */
char *settings_text(struct loader *l, const char *value)
{
	if (!*value)
		settings_report(l, "the value is empty", value);
	return g_strdup(value);
}

/* The name of a cluster, zone or region, which is sent to other processes. */
char *settings_name(struct loader *l, const char *value)
{
	bool is_ok = strlen(value) <= NAME_LIMIT_BYTES;

	for (const char *p = value; *p; p++)
		is_ok &= g_ascii_isalnum(*p) || strchr("-_.", *p);
	if (!is_ok)
		settings_report(l,
				"use letters, digits, '-', '_' and '.', at most " G_STRINGIFY(
					NAME_LIMIT_BYTES),
				value);
	return settings_text(l, value);
}

char *settings_address(struct loader *l, const char *value)
{
	struct in_addr in;

	if (inet_pton(AF_INET, value, &in) != 1)
		settings_report(l, "not an IPv4 address", value);
	else if (in.s_addr == INADDR_ANY || in.s_addr == INADDR_BROADCAST)
		settings_report(l, "other processes reach this one here, give its own address",
				value);
	return g_strdup(value);
}

int endpoint_parse(struct endpoint *e, const char *value)
{
	const char *colon = strrchr(value, ':');
	struct in_addr in;
	u64 n;

	if (!colon || (size_t)(colon - value) >= sizeof(e->host))
		return ERR_INVAL;
	memcpy(e->host, value, (size_t)(colon - value));
	e->host[colon - value] = 0;
	if (inet_pton(AF_INET, e->host, &in) != 1 ||
	    !settings_parse_number(colon + 1, 1, UINT16_MAX, &n))
		return ERR_INVAL;
	e->port = (u16)n;
	return 0;
}

bool endpoint_equal(const struct endpoint *a, const struct endpoint *b)
{
	return a->port == b->port && !strcmp(a->host, b->host);
}

u32 member_id_from_host(const char *host)
{
	struct in_addr in = { 0 };

	inet_pton(AF_INET, host, &in);
	return ntohl(in.s_addr);
}

void settings_each_item(struct loader *l, const char *v,
			void (*add)(struct loader *l, const char *item))
{
	g_auto(GStrv) items = g_strsplit(v, ",", -1);

	for (char **p = items; *p; p++)
		if (*g_strstrip(*p))
			add(l, *p);
}

void settings_endpoint(struct loader *l, const char *v, struct endpoint *out)
{
	if (endpoint_parse(out, v))
		settings_report(l, "not an ADDRESS:PORT", v);
}

int settings_enum(struct loader *l, const char *v, const char *const *names, int n)
{
	for (int i = 0; i < n; i++)
		if (!strcmp(names[i], v))
			return i;
	settings_report(l, "unknown value", v);
	return 0;
}
