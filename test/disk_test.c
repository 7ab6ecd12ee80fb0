/* Tests the data folder on a real file system. */
#include "control/disk.h"

#include "lib/err.h"

#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

struct fixture {
	char *path;
	struct disk *disk;
};

static struct disk *must_open(const char *path)
{
	g_autofree char *why = NULL;
	struct disk *d = disk_open(path, &why);

	g_assert_cmpstr(why, ==, NULL);
	return d;
}

static void set_up(struct fixture *f, gconstpointer unused)
{
	g_autofree char *dir = g_dir_make_tmp("disk_test_XXXXXX", NULL);

	(void)unused;
	f->path = g_build_filename(dir, "data", NULL);
	f->disk = must_open(f->path);
}

static void tear_down(struct fixture *f, gconstpointer unused)
{
	g_autofree char *parent = g_path_get_dirname(f->path);
	g_autoptr(GDir) dir = g_dir_open(f->path, 0, NULL);
	const char *name;

	(void)unused;
	f->disk->ops->close(f->disk);
	while ((name = g_dir_read_name(dir))) {
		g_autofree char *file = g_build_filename(f->path, name, NULL);

		g_unlink(file);
	}
	g_rmdir(f->path);
	g_rmdir(parent);
	g_free(f->path);
}

static void assert_content(struct disk *d, const char *name, const char *want)
{
	g_autoptr(GByteArray) have = g_byte_array_new();

	g_assert_cmpint(d->ops->read(d, name, have), ==, 0);
	g_assert_cmpmem(have->data, have->len, want, strlen(want));
}

static void test_files(struct fixture *f, gconstpointer unused)
{
	struct disk *d = f->disk;
	g_autoptr(GByteArray) none = g_byte_array_new();

	(void)unused;
	g_assert_cmpint(d->ops->read(d, "log", none), ==, ERR_NOTFOUND);
	g_assert_cmpint(d->ops->append(d, "log", "one ", 4), ==, 0);
	g_assert_cmpint(d->ops->append(d, "log", "two", 3), ==, 0);
	g_assert_cmpint(d->ops->sync(d, "log"), ==, 0);
	assert_content(d, "log", "one two");
	g_assert_cmpint(d->ops->truncate(d, "log", 3), ==, 0);
	g_assert_cmpint(d->ops->append(d, "log", "!", 1), ==, 0);
	g_assert_cmpint(d->ops->replace(d, "other", "x", 1), ==, 0);
	assert_content(d, "log", "one!");
	/* An append after a replace goes to the new file. */
	g_assert_cmpint(d->ops->replace(d, "log", "new", 3), ==, 0);
	g_assert_cmpint(d->ops->append(d, "log", "er", 2), ==, 0);
	g_assert_cmpint(d->ops->sync(d, "log"), ==, 0);
	assert_content(d, "log", "newer");
	d->ops->close(d);
	f->disk = must_open(f->path);
	assert_content(f->disk, "log", "newer");
	assert_content(f->disk, "other", "x");
}

static void test_one_process_at_a_time(struct fixture *f, gconstpointer unused)
{
	g_autofree char *why = NULL;

	(void)unused;
	g_assert_null(disk_open(f->path, &why));
	g_assert_nonnull(strstr(why, "in use"));
}

static void test_not_a_folder(struct fixture *f, gconstpointer unused)
{
	g_autofree char *file = g_build_filename(f->path, "log", NULL);
	g_autofree char *why = NULL;

	(void)unused;
	g_assert_cmpint(f->disk->ops->append(f->disk, "log", "x", 1), ==, 0);
	g_assert_null(disk_open(file, &why));
	g_assert_nonnull(why);
}

/* A write to /dev/full fails with ENOSPC; symlinks to it simulate a full disk. */
static void test_full(struct fixture *f, gconstpointer unused)
{
	g_autofree char *log = g_build_filename(f->path, "log", NULL);
	g_autofree char *temp = g_build_filename(f->path, "state.new", NULL);
	struct disk *d = f->disk;

	(void)unused;
	g_assert_cmpint(symlink("/dev/full", log), ==, 0);
	g_assert_cmpint(symlink("/dev/full", temp), ==, 0);
	g_assert_cmpint(d->ops->append(d, "log", "one", 3), ==, ERR_NO_SPACE);
	g_assert_cmpint(d->ops->replace(d, "state", "one", 3), ==, ERR_NO_SPACE);
	g_assert_cmpint(g_unlink(temp), ==, 0);
	g_assert_cmpint(d->ops->replace(d, "state", "one", 3), ==, 0);
	assert_content(d, "state", "one");
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add("/disk/files", struct fixture, NULL, set_up, test_files, tear_down);
	g_test_add("/disk/one-process-at-a-time", struct fixture, NULL, set_up,
		   test_one_process_at_a_time, tear_down);
	g_test_add("/disk/not-a-folder", struct fixture, NULL, set_up, test_not_a_folder,
		   tear_down);
	g_test_add("/disk/full", struct fixture, NULL, set_up, test_full, tear_down);
	return g_test_run();
}
