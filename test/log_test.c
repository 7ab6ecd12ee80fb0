#include "lib/ctr.h"
#include "lib/err.h"
#include "lib/log.h"

#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <jansson.h>
#include <string.h>
#include <unistd.h>

struct fixture {
	char *dir;
	char *path;
	char *moved;
};

static void set_up(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	f->dir = g_dir_make_tmp("log-XXXXXX", NULL);
	f->path = g_build_filename(f->dir, "log", NULL);
	f->moved = g_build_filename(f->dir, "log.1", NULL);
}

static void tear_down(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	log_open(NULL, LOG_INFO, LOG_TEXT);
	g_unlink(f->path);
	g_unlink(f->moved);
	g_rmdir(f->dir);
	g_free(f->dir);
	g_free(f->path);
	g_free(f->moved);
}

static char *read_file(const char *path)
{
	char *text = NULL;

	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	return text;
}

/* Returns the lines of the file without their timestamps. */
static char *without_times(const char *path)
{
	g_autofree char *text = read_file(path);
	g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
	GString *out = g_string_new(NULL);

	for (char **l = lines; *l && **l; l++)
		g_string_append_printf(out, "%s\n", strchr(*l, ' ') + 1);
	return g_string_free(out, FALSE);
}

static void test_levels(struct fixture *f, gconstpointer unused)
{
	g_autofree char *got = NULL;

	(void)unused;
	log_open(f->path, LOG_INFO, LOG_TEXT);
	log_event(LOG_ERROR, "one", NULL);
	log_event(LOG_INFO, "two", "call", "1-2", "empty", "", NULL);
	log_event(LOG_DEBUG, "three", NULL);
	g_assert_true(log_is_on(LOG_INFO));
	g_assert_false(log_is_on(LOG_DEBUG));
	got = without_times(f->path);
	g_assert_cmpstr(got, ==, "error one\ninfo two call=1-2 empty=\"\"\n");
}

static void test_text_cannot_be_forged(struct fixture *f, gconstpointer unused)
{
	g_autofree char *got = NULL;

	(void)unused;
	log_open(f->path, LOG_INFO, LOG_TEXT);
	log_event(LOG_WARN, "m\nx", "peer", "a\r\n2026 error forged", "b", "x=1 level=\"error\"",
		  "esc", "\x1b[2J\\", "bad", "\xff!", "null", NULL, NULL);
	got = without_times(f->path);
	g_assert_cmpstr(got, ==,
			"warn m\\x0ax peer=\"a\\x0d\\x0a2026 error forged\" "
			"b=\"x=1 level=\\\"error\\\"\" esc=\"\\x1b[2J\\\\\" bad=\xef\xbf\xbd! "
			"null=\"\"\n");
}

static void test_json_cannot_be_forged(struct fixture *f, gconstpointer unused)
{
	g_autofree char *got = NULL;
	json_t *line;

	(void)unused;
	log_open(f->path, LOG_INFO, LOG_JSON);
	log_event(LOG_WARN, "m\nx\xff", "peer", "\"}\n{\"level\":\"error\"", "bad", "\xff!", NULL);
	got = read_file(f->path);
	g_assert_cmpuint(strcspn(got, "\n"), ==, strlen(got) - 1);
	line = json_loads(got, 0, NULL);
	g_assert_cmpstr(json_string_value(json_object_get(line, "level")), ==, "warn");
	g_assert_cmpstr(json_string_value(json_object_get(line, "event")), ==, "m\nx\xef\xbf\xbd");
	g_assert_cmpstr(json_string_value(json_object_get(line, "peer")), ==,
			"\"}\n{\"level\":\"error\"");
	g_assert_cmpstr(json_string_value(json_object_get(line, "bad")), ==, "\xef\xbf\xbd!");
	json_decref(line);
}

/* A field named like a standard field (time, level, event) must not replace it. */
static void test_json_same_names(struct fixture *f, gconstpointer unused)
{
	g_autofree char *got = NULL;
	json_t *line;

	(void)unused;
	log_open(f->path, LOG_INFO, LOG_JSON);
	log_event(LOG_WARN, "run", "level", "12", "event", "other", NULL);
	got = read_file(f->path);
	line = json_loads(got, 0, NULL);
	g_assert_cmpstr(json_string_value(json_object_get(line, "level")), ==, "warn");
	g_assert_cmpstr(json_string_value(json_object_get(line, "event")), ==, "run");
	g_assert_cmpstr(json_string_value(json_object_get(line, "field_level")), ==, "12");
	json_decref(line);
}

/* A rotated file must be closed immediately, not at the next event. */
static void test_reopen_when_idle(struct fixture *f, gconstpointer unused)
{
	g_autofree char *old = NULL;
	g_autofree char *new = NULL;

	(void)unused;
	log_open(f->path, LOG_INFO, LOG_TEXT);
	log_event(LOG_INFO, "before", NULL);
	g_assert_cmpint(g_rename(f->path, f->moved), ==, 0);
	g_assert_cmpint(log_reopen(), ==, 0);
	g_assert_true(g_file_test(f->path, G_FILE_TEST_EXISTS));
	log_event(LOG_INFO, "after", NULL);
	old = without_times(f->moved);
	new = without_times(f->path);
	g_assert_cmpstr(old, ==, "info before\n");
	g_assert_cmpstr(new, ==, "info after\n");
}

static void test_reopen_keeps_the_old_file(struct fixture *f, gconstpointer unused)
{
	g_autofree char *got = NULL;

	(void)unused;
	log_open(f->path, LOG_INFO, LOG_TEXT);
	g_assert_cmpint(g_rename(f->path, f->moved), ==, 0);
	g_assert_cmpint(g_mkdir(f->path, 0700), ==, 0);
	g_assert_cmpint(log_reopen(), ==, ERR_IO);
	log_event(LOG_INFO, "still here", NULL);
	got = without_times(f->moved);
	g_assert_cmpstr(got, ==, "info still here\n");
	g_rmdir(f->path);
}

/* Writes to /dev/full fail with ENOSPC, as on a full disk. */
static void test_full_disk_is_counted(struct fixture *f, gconstpointer unused)
{
	u64 before = ctr_get(CTR_LOG_LOST);
	g_autofree char *got = NULL;

	(void)unused;
	g_assert_cmpint(log_open("/dev/full", LOG_INFO, LOG_TEXT), ==, 0);
	log_event(LOG_INFO, "lost", NULL);
	g_assert_cmpuint(ctr_get(CTR_LOG_LOST), ==, before + 1);
	log_open(f->path, LOG_INFO, LOG_TEXT);
	log_event(LOG_INFO, "kept", NULL);
	got = without_times(f->path);
	g_assert_cmpstr(got, ==, "info kept\n");
	g_assert_cmpuint(ctr_get(CTR_LOG_LOST), ==, before + 1);
}

static void test_unwritable_path(struct fixture *f, gconstpointer unused)
{
	(void)f;
	(void)unused;
	g_assert_cmpint(log_open("/nonexistent/log", LOG_INFO, LOG_TEXT), ==, ERR_IO);
}

#define ADD(path, test) g_test_add(path, struct fixture, NULL, set_up, test, tear_down)

/* Counts the lines of the file PATH that contain TEXT. */
static u32 count_lines(const char *path, const char *text)
{
	g_autofree char *all = read_file(path);
	g_auto(GStrv) lines = g_strsplit(all, "\n", -1);
	u32 n = 0;

	for (char **l = lines; *l; l++)
		n += strstr(*l, text) != NULL;
	return n;
}

/* A flood of one kind of event must not hide a rare one. */
static void test_flood_beside_a_rare_event(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	g_assert_cmpint(log_open(f->path, LOG_INFO, LOG_JSON), ==, 0);
	for (u32 i = 0; i < 10 * LOG_RATE_PER_S; i++) {
		log_event(LOG_WARN, "flood", "n", log_u64(i), NULL);
		if (i % LOG_RATE_PER_S == 0)
			log_event(LOG_INFO, "rare", "n", log_u64(i), NULL);
	}
	g_assert_cmpuint(count_lines(f->path, "\"event\":\"rare\""), ==, 10);
	g_assert_cmpuint(count_lines(f->path, "\"event\":\"flood\""), <, 5 * LOG_RATE_PER_S);
	g_usleep(2 * US_PER_S / LOG_RATE_PER_S);
	log_event(LOG_WARN, "flood", NULL);
	g_assert_cmpuint(count_lines(f->path, "\"kind\":\"flood\""), >=, 1);
}

/* Standard output is a pipe that is not read: lines are dropped and counted, without blocking. */
static void test_full_pipe(struct fixture *f, gconstpointer unused)
{
	int saved = dup(STDOUT_FILENO);
	u64 lost = ctr_get(CTR_LOG_LOST);
	int ends[2];

	(void)f;
	(void)unused;
	fflush(stdout);
	g_assert_cmpint(pipe(ends), ==, 0);
	dup2(ends[1], STDOUT_FILENO);
	log_open(NULL, LOG_DEBUG, LOG_TEXT);
	for (u32 i = 0; i < 20000; i++)
		log_event(LOG_ERROR, "nobody reads this", "n", log_u64(i), NULL);
	dup2(saved, STDOUT_FILENO);
	close(saved);
	close(ends[0]);
	close(ends[1]);
	g_assert_cmpuint(ctr_get(CTR_LOG_LOST) - lost, >, 0);
}

/* The sample depends on the request id only, and important requests are always logged. */
static void test_sample(struct fixture *f, gconstpointer unused)
{
	u32 logged = 0;

	(void)unused;
	g_assert_cmpint(log_open(f->path, LOG_INFO, LOG_JSON), ==, 0);
	for (u32 i = 0; i < 64 * LOG_SAMPLE_RATE; i++) {
		g_autofree char *id = g_strdup_printf("%08x", i);

		logged += log_should_write("answer", id, false);
		g_assert_true(log_should_write("answer", id, false) ==
			      log_should_write("answer", id, false));
		g_assert_true(log_should_write("answer", id, true));
	}
	g_assert_cmpuint(logged, >, 32);
	g_assert_cmpuint(logged, <, 128);
	log_open(f->path, LOG_ERROR, LOG_JSON);
	g_assert_false(log_should_write("answer", "1", true));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD("/log/levels", test_levels);
	ADD("/log/text-cannot-be-forged", test_text_cannot_be_forged);
	ADD("/log/json-cannot-be-forged", test_json_cannot_be_forged);
	ADD("/log/json-same-names", test_json_same_names);
	ADD("/log/reopen-when-idle", test_reopen_when_idle);
	ADD("/log/reopen-keeps-the-old-file", test_reopen_keeps_the_old_file);
	ADD("/log/full-disk-is-counted", test_full_disk_is_counted);
	ADD("/log/unwritable-path", test_unwritable_path);
	ADD("/log/flood-beside-a-rare-event", test_flood_beside_a_rare_event);
	ADD("/log/full-pipe", test_full_pipe);
	ADD("/log/sample", test_sample);
	return g_test_run();
}
