#include "control/disk_retry.h"

#include "lib/ctr.h"
#include "lib/err.h"
#include "lib/log.h"

struct disk_retry {
	struct disk disk;
	struct disk *inner;
	const struct disk_retry_ops *ops;
	void *arg;
};

/* Waits before the next attempt. Returns false when the process is shutting down. */
static bool wait_for_space(struct disk_retry *r, const char *name, u32 attempts)
{
	if (!attempts) {
		ctr_inc(CTR_DISK_FULL);
		log_event(LOG_WARN, "disk full, waiting for room", "file", name, NULL);
	}
	if (r->ops->is_stopping(r->arg))
		return false;
	r->ops->pause(r->arg, DISK_RETRY_INTERVAL_US);
	return true;
}

static void log_recovery(const char *name, u32 attempts)
{
	if (attempts)
		log_event(LOG_INFO, "disk has room again", "file", name, "waited_ms",
			  log_u64(attempts * DISK_RETRY_INTERVAL_US / US_PER_MS), NULL);
}

/* The signature of the operations that may find the disk full. */
typedef int (*write_op)(struct disk *d, const char *name, const void *data, size_t len);

static int write_with_retry(struct disk_retry *r, write_op write, const char *name,
			    const void *data, size_t len)
{
	u32 attempts = 0;
	int err;

	while ((err = write(r->inner, name, data, len)) == ERR_NO_SPACE)
		if (!wait_for_space(r, name, attempts++))
			return err;
	log_recovery(name, attempts);
	return err;
}

static int retry_append(struct disk *d, const char *name, const void *data, size_t len)
{
	struct disk_retry *r = (struct disk_retry *)d;

	return write_with_retry(r, r->inner->ops->append, name, data, len);
}

static int retry_replace(struct disk *d, const char *name, const void *data, size_t len)
{
	struct disk_retry *r = (struct disk_retry *)d;

	return write_with_retry(r, r->inner->ops->replace, name, data, len);
}

static int retry_read(struct disk *d, const char *name, GByteArray *out)
{
	struct disk_retry *r = (struct disk_retry *)d;

	return r->inner->ops->read(r->inner, name, out);
}

static int retry_truncate(struct disk *d, const char *name, u64 len)
{
	struct disk_retry *r = (struct disk_retry *)d;

	return r->inner->ops->truncate(r->inner, name, len);
}

static int retry_sync(struct disk *d, const char *name)
{
	struct disk_retry *r = (struct disk_retry *)d;

	return r->inner->ops->sync(r->inner, name);
}

static void retry_close(struct disk *d)
{
	struct disk_retry *r = (struct disk_retry *)d;

	r->inner->ops->close(r->inner);
	g_free(r);
}

static const struct disk_ops retry_disk_ops = {
	.read = retry_read,
	.append = retry_append,
	.truncate = retry_truncate,
	.sync = retry_sync,
	.replace = retry_replace,
	.close = retry_close,
};

struct disk *disk_retry_new(struct disk *inner, const struct disk_retry_ops *ops, void *arg)
{
	struct disk_retry *r = g_new0(struct disk_retry, 1);

	r->disk.ops = &retry_disk_ops;
	r->inner = inner;
	r->ops = ops;
	r->arg = arg;
	return &r->disk;
}
