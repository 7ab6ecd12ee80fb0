/*
 * faulty - lavenderlead with a disk and a time of day that a test sets while it runs
 *
 * FAULTS=FILE faulty COMMAND [ARGUMENT...]
 *
 * The linker puts the functions of this file in place of disk_open and clock_gettime (--wrap); the
 * rest is the same as in lavenderlead. FILE is read again and again: "DISK CLOCK_MS", where
 * DISK is ok, full (writes return ERR_NO_SPACE) or failing (writes and syncs return ERR_IO), and
 * CLOCK_MS is added to the time of day. The monotonic clock stays as it is. Without the file, all
 * is well. Each new state of the disk is a line on standard error, once it is in force.
 */
#include "control/disk.h"
#include "lib/err.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define POLL_INTERVAL_US (20 * US_PER_MS)

enum disk_state { DISK_OK, DISK_FULL, DISK_FAILING };

struct faulty_disk {
	struct disk disk;
	struct disk *inner;
};

static gint disk_state;
static i64 clock_ms;

struct disk *__real_disk_open(const char *path, char **why);
struct disk *__wrap_disk_open(const char *path, char **why);
int __real_clock_gettime(clockid_t clock, struct timespec *ts);
int __wrap_clock_gettime(clockid_t clock, struct timespec *ts);

int __wrap_clock_gettime(clockid_t clock, struct timespec *ts)
{
	i64 step_ms = clock == CLOCK_REALTIME ? __atomic_load_n(&clock_ms, __ATOMIC_RELAXED) : 0;
	int ret = __real_clock_gettime(clock, ts);

	/* Whole seconds, so that the nanoseconds need no carry. */
	ts->tv_sec += step_ms / 1000;
	return ret;
}

static struct disk *inner_of(struct disk *d)
{
	return ((struct faulty_disk *)d)->inner;
}

/* Returns the error of a write now, or 0. */
static int write_error(void)
{
	gint state = g_atomic_int_get(&disk_state);

	if (state == DISK_FULL)
		return ERR_NO_SPACE;
	return state == DISK_FAILING ? ERR_IO : 0;
}

static int faulty_read(struct disk *d, const char *name, GByteArray *out)
{
	return inner_of(d)->ops->read(inner_of(d), name, out);
}

static int faulty_append(struct disk *d, const char *name, const void *p, size_t len)
{
	int err = write_error();

	return err ? err : inner_of(d)->ops->append(inner_of(d), name, p, len);
}

static int faulty_truncate(struct disk *d, const char *name, u64 len)
{
	return inner_of(d)->ops->truncate(inner_of(d), name, len);
}

static int faulty_sync(struct disk *d, const char *name)
{
	int err = write_error();

	return err == ERR_IO ? err : inner_of(d)->ops->sync(inner_of(d), name);
}

static int faulty_replace(struct disk *d, const char *name, const void *p, size_t len)
{
	int err = write_error();

	return err ? err : inner_of(d)->ops->replace(inner_of(d), name, p, len);
}

static void faulty_close(struct disk *d)
{
	inner_of(d)->ops->close(inner_of(d));
	g_free(d);
}

static const struct disk_ops faulty_ops = {
	.read = faulty_read,
	.append = faulty_append,
	.truncate = faulty_truncate,
	.sync = faulty_sync,
	.replace = faulty_replace,
	.close = faulty_close,
};

struct disk *__wrap_disk_open(const char *path, char **why)
{
	struct disk *inner = __real_disk_open(path, why);
	struct faulty_disk *f = inner ? g_new0(struct faulty_disk, 1) : NULL;

	if (!f)
		return NULL;
	f->disk.ops = &faulty_ops;
	f->inner = inner;
	return &f->disk;
}

static enum disk_state state_of(const char *name)
{
	if (!strcmp(name, "full"))
		return DISK_FULL;
	return strcmp(name, "failing") ? DISK_OK : DISK_FAILING;
}

static void set_disk_state(const char *name)
{
	enum disk_state state = state_of(name);

	if (g_atomic_int_get(&disk_state) == (gint)state)
		return;
	g_atomic_int_set(&disk_state, state);
	fprintf(stderr, "faulty: disk %s\n", name);
}

static void read_faults(const char *path)
{
	char disk[16] = "ok";
	long long ms = 0;
	FILE *in = fopen(path, "r");

	if (!in)
		return;
	if (fscanf(in, "%15s %lld", disk, &ms) == 2) {
		set_disk_state(disk);
		__atomic_store_n(&clock_ms, (i64)ms, __ATOMIC_RELAXED);
	}
	fclose(in);
}

static void *poll_faults(void *path)
{
	for (;;) {
		read_faults(path);
		usleep(POLL_INTERVAL_US);
	}
	return NULL;
}

/* Runs before main. The thread takes no signals, which are for those of the product. */
__attribute__((constructor)) static void start_polling(void)
{
	char *path = getenv("FAULTS");
	sigset_t all;
	sigset_t old;
	pthread_t thread;

	if (!path)
		return;
	read_faults(path);
	sigfillset(&all);
	pthread_sigmask(SIG_SETMASK, &all, &old);
	if (pthread_create(&thread, NULL, poll_faults, path))
		abort();
	pthread_sigmask(SIG_SETMASK, &old, NULL);
}
