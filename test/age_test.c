/* How long ago a caller began to ask. */
#include "node/age.h"

#include <glib.h>

#define WHOLE_MS 2000

/* The pattern: impatient callers, who ask again at once and often. */
static void test_further_attempts(void)
{
	struct age a = { 0 };

	for (u32 i = 0; i < 50; i++)
		g_assert_cmpuint(age_ms(&a, WHOLE_MS - i % 3), ==, 0);
	g_assert_cmpuint(age_ms(&a, 1400), ==, 600);
	g_assert_cmpuint(age_ms(&a, WHOLE_MS), ==, 0);
	g_assert_cmpuint(age_ms(&a, 100), ==, 1900);
}

/* Callers with deadlines of their own tell nothing of their age. */
static void test_callers_differ(void)
{
	struct age a = { 0 };
	u64 told = 0;

	for (u32 i = 0; i < 1000; i++)
		told = MAX(told, i < 200 ? 0 : age_ms(&a, 500 + i * 37 % 1500));
	g_assert_cmpuint(told, ==, 0);
}

/* The callers' time becomes shorter for good: after a while they are no repeats. */
static void test_shorter_deadline(void)
{
	struct age a = { 0 };

	for (u32 i = 0; i < 50; i++)
		age_ms(&a, WHOLE_MS);
	for (u32 i = 0; i < 1000; i++)
		age_ms(&a, 800);
	g_assert_cmpuint(age_ms(&a, 800), ==, 0);
	g_assert_cmpuint(age_ms(&a, 300), ==, 500);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/age/further-attempts", test_further_attempts);
	g_test_add_func("/age/callers-differ", test_callers_differ);
	g_test_add_func("/age/shorter-deadline", test_shorter_deadline);
	return g_test_run();
}
