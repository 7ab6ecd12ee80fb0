#include "cmd/where_print.h"

#include "lib/types.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

void where_print_json(const json_t *answer)
{
	char *text = json_dumps(answer, JSON_INDENT(2));

	printf("%s\n", text ? text : "");
	free(text);
}

/* Returns the text of KEY, "-" if it has none. */
static const char *text_of(const json_t *obj, const char *key)
{
	const char *text = json_string_value(json_object_get(obj, key));

	return text && *text ? text : "-";
}

static long long number_of(const json_t *obj, const char *key)
{
	return (long long)json_integer_value(json_object_get(obj, key));
}

/* Returns US as milliseconds, "-" if it is not a number. */
static char *format_ms(const json_t *us)
{
	if (!json_is_integer(us))
		return g_strdup("-");
	return g_strdup_printf("%.1f ms", (double)json_integer_value(us) / US_PER_MS);
}

static void print_candidate(const json_t *c)
{
	const json_t *load = json_object_get(c, "load");
	g_autofree char *age = format_ms(json_object_get(load, "ageUs"));
	g_autofree char *score = format_ms(json_object_get(c, "scoreUs"));
	const json_t *order = json_object_get(c, "order");
	g_autofree char *place = json_is_integer(order) ?
					 g_strdup_printf("%lld", number_of(c, "order")) :
					 g_strdup("-");
	g_autofree char *use =
		json_is_object(load) ?
			g_strdup_printf("%lld+%lld/%lld", number_of(load, "running"),
					number_of(load, "queued"), number_of(load, "limit")) :
			g_strdup("-");
	const char *mark = "";

	if (json_is_true(json_object_get(c, "isChosen")))
		mark = "chosen";
	else if (json_is_true(json_object_get(c, "isCompared")))
		mark = "compared";
	else if (!json_is_true(json_object_get(c, "isInSubset")))
		mark = "not used by this node";
	printf("%-5s %-24s %-16s %-12s %-12s %-12s %-12s %s\n", place, text_of(c, "node"),
	       text_of(c, "zone"), text_of(c, "state"), use, age, score, mark);
}

static void print_candidates(const json_t *answer)
{
	const json_t *list = json_object_get(answer, "candidates");

	if (!json_array_size(list))
		return;
	printf("\n%-5s %-24s %-16s %-12s %-12s %-12s %-12s\n", "ORDER", "NODE", "ZONE", "STATE",
	       "LOAD", "LOAD AGE", "SCORE");
	for (size_t i = 0; i < json_array_size(list); i++)
		print_candidate(json_array_get(list, i));
	if (number_of(answer, "omitted"))
		printf("%lld more are not listed\n", number_of(answer, "omitted"));
}

void where_print_table(const json_t *answer)
{
	printf("asked         %s in %s, revision %lld\n", text_of(answer, "node"),
	       text_of(answer, "zone"), number_of(answer, "revision"));
	printf("route         %s\n", text_of(answer, "route"));
	printf("service       %s\n", text_of(answer, "service"));
	printf("rank          %s\n", text_of(answer, "rank"));
	printf("organisation  %s\n", text_of(answer, "organisation"));
	printf("quota         %s\n", text_of(answer, "quota"));
	printf("verdict       %s", text_of(answer, "verdict"));
	if (json_is_string(json_object_get(answer, "chosen")))
		printf(" to %s\n", text_of(answer, "chosen"));
	else
		printf(", status %lld, %s: %s\n", number_of(answer, "status"),
		       text_of(answer, "reason"), text_of(answer, "text"));
	print_candidates(answer);
}
