/* The write-ahead log on a full disk: which operations wait, and what is on the disk afterwards. */
#include "control/disk_retry.h"
#include "control/wal.h"
#include "lib/err.h"
#include "test/fakes/fake_disk.h"

struct fixture {
	struct fake_disk *fake;
	struct disk *disk;
	u64 waited_us;
	u64 stops_after_us; /* total wait after which is_stopping returns true */
};

static bool is_stopping(void *arg)
{
	struct fixture *f = arg;

	return f->waited_us >= f->stops_after_us;
}

static void pause_fake(void *arg, u64 span_us)
{
	struct fixture *f = arg;

	f->waited_us += span_us;
}

static const struct disk_retry_ops test_ops = { .is_stopping = is_stopping, .pause = pause_fake };

static void set_up(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	f->fake = fake_disk_new(1);
	f->disk = disk_retry_new(&f->fake->disk, &test_ops, f);
	f->stops_after_us = UINT64_MAX;
}

static void tear_down(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	f->disk->ops->close(f->disk);
	fake_disk_free(f->fake);
}

/* Saving a vote returns only once the vote is on the disk, however long that takes. */
static void test_waits(struct fixture *f, gconstpointer unused)
{
	g_autofree char *why = NULL;
	struct wal w;

	(void)unused;
	f->fake->full_attempts = 3;
	g_assert_cmpint(wal_open(&w, f->disk, 7, &why), ==, 0);
	g_assert_cmpuint(f->waited_us, ==, 3 * DISK_RETRY_INTERVAL_US);
	f->fake->full_attempts = 100;
	g_assert_cmpint(wal_save_state(&w, 2, 1), ==, 0);
	g_assert_cmpuint(f->waited_us, ==, 103 * DISK_RETRY_INTERVAL_US);
	g_assert_cmpuint(fake_disk_file(f->fake, "log")->synced, >, 0);
}

static void test_stops(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	f->fake->full_attempts = 100;
	f->stops_after_us = 5 * DISK_RETRY_INTERVAL_US;
	g_assert_cmpint(f->disk->ops->append(f->disk, "log", "x", 1), ==, ERR_NO_SPACE);
	g_assert_cmpuint(f->waited_us, ==, 5 * DISK_RETRY_INTERVAL_US);
	g_assert_null(fake_disk_file(f->fake, "log"));
}

/* A failed sync is never retried, nor is a write that failed with another error. */
static void test_other_failures(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	f->fake->fail_at = 1;
	g_assert_cmpint(f->disk->ops->append(f->disk, "log", "x", 1), ==, ERR_IO);
	g_assert_cmpint(f->disk->ops->sync(f->disk, "log"), ==, ERR_IO);
	g_assert_cmpuint(f->waited_us, ==, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add("/disk-retry/waits", struct fixture, NULL, set_up, test_waits, tear_down);
	g_test_add("/disk-retry/stops", struct fixture, NULL, set_up, test_stops, tear_down);
	g_test_add("/disk-retry/other-failures", struct fixture, NULL, set_up, test_other_failures,
		   tear_down);
	return g_test_run();
}
