#include "control/patient.h"

#include "lib/ctr.h"
#include "lib/err.h"
#include "lib/log.h"

struct patient {
	struct disk disk;
	struct disk *inner;
	const struct patient_ops *ops;
	void *arg;
};

/* Returns false when the process is to end. */
static bool wait_for_room(struct patient *p, const char *name, u32 tries)
{
	if (!tries) {
		ctr_inc(CTR_DISK_FULL);
		log_event(LOG_WARN, "disk full, waiting for room", "file", name, NULL);
	}
	if (p->ops->is_ending(p->arg))
		return false;
	p->ops->pause(p->arg, PATIENT_PAUSE_US);
	return true;
}

static void note_end(const char *name, u32 tries)
{
	if (tries)
		log_event(LOG_INFO, "disk has room again", "file", name, "waited_ms",
			  log_u64(tries * PATIENT_PAUSE_US / US_PER_MS), NULL);
}

/* Both operations that need room have this form. */
typedef int (*write_op)(struct disk *d, const char *name, const void *data, size_t len);

static int write_patiently(struct patient *p, write_op write, const char *name, const void *data,
			   size_t len)
{
	u32 tries = 0;
	int err;

	while ((err = write(p->inner, name, data, len)) == ERR_NO_SPACE)
		if (!wait_for_room(p, name, tries++))
			return err;
	note_end(name, tries);
	return err;
}

static int patient_append(struct disk *d, const char *name, const void *data, size_t len)
{
	struct patient *p = (struct patient *)d;

	return write_patiently(p, p->inner->ops->append, name, data, len);
}

static int patient_replace(struct disk *d, const char *name, const void *data, size_t len)
{
	struct patient *p = (struct patient *)d;

	return write_patiently(p, p->inner->ops->replace, name, data, len);
}

static int patient_read(struct disk *d, const char *name, GByteArray *out)
{
	struct patient *p = (struct patient *)d;

	return p->inner->ops->read(p->inner, name, out);
}

static int patient_truncate(struct disk *d, const char *name, u64 len)
{
	struct patient *p = (struct patient *)d;

	return p->inner->ops->truncate(p->inner, name, len);
}

static int patient_sync(struct disk *d, const char *name)
{
	struct patient *p = (struct patient *)d;

	return p->inner->ops->sync(p->inner, name);
}

static void patient_close(struct disk *d)
{
	struct patient *p = (struct patient *)d;

	p->inner->ops->close(p->inner);
	g_free(p);
}

static const struct disk_ops patient_disk_ops = {
	.read = patient_read,
	.append = patient_append,
	.truncate = patient_truncate,
	.sync = patient_sync,
	.replace = patient_replace,
	.close = patient_close,
};

struct disk *patient_new(struct disk *inner, const struct patient_ops *ops, void *arg)
{
	struct patient *p = g_new0(struct patient, 1);

	p->disk.ops = &patient_disk_ops;
	p->inner = inner;
	p->ops = ops;
	p->arg = arg;
	return &p->disk;
}
