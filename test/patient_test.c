/* A log on a disk that fills up: what waits, and what is on the disk afterwards. */
#include "control/patient.h"
#include "control/wal.h"
#include "lib/err.h"
#include "test/fakes/fake_disk.h"

struct fixture {
	struct fake_disk *fake;
	struct disk *disk;
	u64 waited_us;
	u64 ends_at_us; /* the process is to end after so long a wait */
};

static bool is_ending(void *arg)
{
	struct fixture *f = arg;

	return f->waited_us >= f->ends_at_us;
}

static void pause_here(void *arg, u64 span_us)
{
	struct fixture *f = arg;

	f->waited_us += span_us;
}

static const struct patient_ops patience = { .is_ending = is_ending, .pause = pause_here };

static void set_up(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	f->fake = fake_disk_new(1);
	f->disk = patient_new(&f->fake->disk, &patience, f);
	f->ends_at_us = UINT64_MAX;
}

static void tear_down(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	f->disk->ops->close(f->disk);
	fake_disk_free(f->fake);
}

/* The vote is answered for only after it is on the disk, however long that takes. */
static void test_waits(struct fixture *f, gconstpointer unused)
{
	g_autofree char *why = NULL;
	struct wal w;

	(void)unused;
	f->fake->full_tries = 3;
	g_assert_cmpint(wal_open(&w, f->disk, 7, &why), ==, 0);
	g_assert_cmpuint(f->waited_us, ==, 3 * PATIENT_PAUSE_US);
	f->fake->full_tries = 100;
	g_assert_cmpint(wal_save_state(&w, 2, 1), ==, 0);
	g_assert_cmpuint(f->waited_us, ==, 103 * PATIENT_PAUSE_US);
	g_assert_cmpuint(fake_disk_file(f->fake, "log")->synced, >, 0);
}

static void test_ends(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	f->fake->full_tries = 100;
	f->ends_at_us = 5 * PATIENT_PAUSE_US;
	g_assert_cmpint(f->disk->ops->append(f->disk, "log", "x", 1), ==, ERR_NO_SPACE);
	g_assert_cmpuint(f->waited_us, ==, 5 * PATIENT_PAUSE_US);
	g_assert_null(fake_disk_file(f->fake, "log"));
}

/* A sync that failed is never tried again, nor is a write that failed otherwise. */
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
	g_test_add("/patient/waits", struct fixture, NULL, set_up, test_waits, tear_down);
	g_test_add("/patient/ends", struct fixture, NULL, set_up, test_ends, tear_down);
	g_test_add("/patient/other-failures", struct fixture, NULL, set_up, test_other_failures,
		   tear_down);
	return g_test_run();
}
