/* The checker reports each injected violation, and nothing for a run without violations. */
#include "test/fakes/verdict.h"

#include <string.h>

struct fixture {
	struct verdict v;
	struct findings found;
};

static void setup(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	verdict_init(&f->v);
	findings_init(&f->found);
	verdict_add_caller(&f->v, "a POST 200 answer - own", &f->found);
	verdict_add_upstream(&f->v, "a POST", &f->found);
	verdict_add_caller(&f->v, "b GET 200 answer - own", &f->found);
	verdict_add_upstream(&f->v, "b GET", &f->found);
	verdict_add_upstream(&f->v, "b GET", &f->found);
	verdict_add_caller(&f->v, "c POST 503 not-run queue-wait none", &f->found);
	verdict_add_caller(&f->v, "d POST 502 unknown peer-lost none", &f->found);
	verdict_add_upstream(&f->v, "d POST", &f->found);
	verdict_add_operator(&f->v, "sightings c1 accepted 1 101", &f->found);
	verdict_add_operator(&f->v, "sightings c2 conflict 1 102", &f->found);
	verdict_add_operator(&f->v, "sightings c3 unknown 0 103", &f->found);
	verdict_add_state(&f->v, "sightings 2 103", &f->found);
	verdict_add_observer(&f->v, "n1 1", &f->found);
	verdict_add_observer(&f->v, "n1 2", &f->found);
	verdict_add_observer(&f->v, "n1 0", &f->found);
	verdict_add_observer(&f->v, "n1 2", &f->found);
}

static void teardown(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	verdict_clear(&f->v);
	findings_clear(&f->found);
}

/* Expects exactly one finding, whose text contains TEXT. */
static void expect(struct fixture *f, const char *text)
{
	verdict_check(&f->v, &f->found);
	g_assert_cmpuint(findings_count(&f->found), ==, 1);
	g_assert_nonnull(strstr(findings_at(&f->found, 0)->text, text));
}

static void test_clean(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	verdict_check(&f->v, &f->found);
	g_assert_cmpuint(findings_count(&f->found), ==, 0);
}

static void test_duplicate_run(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	verdict_add_upstream(&f->v, "a POST", &f->found);
	expect(f, "ran 2 times");
}

static void test_false_not_run(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	verdict_add_upstream(&f->v, "c POST", &f->found);
	expect(f, "said not-run, ran 1 times");
}

static void test_swapped_answer(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	verdict_add_caller(&f->v, "e GET 200 answer - other", &f->found);
	verdict_add_upstream(&f->v, "e GET", &f->found);
	expect(f, "answer of another call");
}

static void test_short_answer(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	verdict_add_caller(&f->v, "e GET 200 answer - short", &f->found);
	verdict_add_upstream(&f->v, "e GET", &f->found);
	expect(f, "short answer");
}

static void test_answer_without_run(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	verdict_add_caller(&f->v, "e GET 200 answer - own", &f->found);
	expect(f, "without a run");
}

static void test_lost_change(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	verdict_add_operator(&f->v, "atlas c4 accepted 7 104", &f->found);
	verdict_add_state(&f->v, "atlas 6 99", &f->found);
	expect(f, "accepted version 7 is lost");
}

static void test_changed_content(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	verdict_add_operator(&f->v, "atlas c4 accepted 7 104", &f->found);
	verdict_add_state(&f->v, "atlas 7 99", &f->found);
	expect(f, "not what was accepted");
}

static void test_two_winners(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	verdict_add_operator(&f->v, "sightings c5 accepted 1 105", &f->found);
	expect(f, "accepted twice");
}

static void test_refused_change_stands(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	verdict_add_operator(&f->v, "sightings c6 not-run 0 103", &f->found);
	expect(f, "was refused and stands");
}

static void test_reverted_revision(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	verdict_add_observer(&f->v, "n1 1", &f->found);
	expect(f, "reverted from revision 2 to 1");
}

/*
 * Three calls without a response: at another node, which was killed, after the stop, and one that
 * has not run.
 */
static void test_cuts_that_count_not(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	verdict_add_stop(&f->v, "28110 1000 4000", &f->found);
	verdict_add_kill(&f->v, "28120 1900 1950", &f->found);
	verdict_add_cut(&f->v, "a 28120 1500 2000", &f->found);
	verdict_add_cut(&f->v, "b 28110 3900 4001", &f->found);
	verdict_add_cut(&f->v, "c 28110 1500 2000", &f->found);
	test_clean(f, NULL);
}

static void test_cut_in_a_stop(struct fixture *f, gconstpointer unused)
{
	test_cuts_that_count_not(f, unused);
	verdict_add_cut(&f->v, "d 28110 900 4000", &f->found);
	expect(f, "no response in a planned stop");
}

/* The node was killed before the connection was opened, and another node while it was open. */
static void test_no_answer(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	verdict_add_kill(&f->v, "28110 1000 1100", &f->found);
	verdict_add_kill(&f->v, "28120 2000 2100", &f->found);
	verdict_add_cut(&f->v, "d 28110 1101 3000", &f->found);
	expect(f, "no response from a node that runs on");
}

/* The connection was opened before its node was killed, the call was made after it. */
static void test_connection_through_a_kill(struct fixture *f, gconstpointer unused)
{
	verdict_add_kill(&f->v, "28110 1000 1100", &f->found);
	verdict_add_cut(&f->v, "d 28110 900 3000", &f->found);
	test_clean(f, unused);
}

static void test_malformed_line(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	verdict_add_caller(&f->v, "only two", &f->found);
	expect(f, "malformed line");
}

#define ADD(path, fn) g_test_add(path, struct fixture, NULL, setup, fn, teardown)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD("/verdict/clean", test_clean);
	ADD("/verdict/duplicate-run", test_duplicate_run);
	ADD("/verdict/false-not-run", test_false_not_run);
	ADD("/verdict/swapped-answer", test_swapped_answer);
	ADD("/verdict/short-answer", test_short_answer);
	ADD("/verdict/answer-without-run", test_answer_without_run);
	ADD("/verdict/lost-change", test_lost_change);
	ADD("/verdict/changed-content", test_changed_content);
	ADD("/verdict/two-winners", test_two_winners);
	ADD("/verdict/refused-change-stands", test_refused_change_stands);
	ADD("/verdict/reverted-revision", test_reverted_revision);
	ADD("/verdict/cuts-that-count-not", test_cuts_that_count_not);
	ADD("/verdict/cut-in-a-stop", test_cut_in_a_stop);
	ADD("/verdict/no-answer", test_no_answer);
	ADD("/verdict/connection-through-a-kill", test_connection_through_a_kill);
	ADD("/verdict/malformed-line", test_malformed_line);
	return g_test_run();
}
