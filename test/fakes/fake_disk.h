/*
 * fake_disk - a data folder in memory that fails and loses data on demand
 *
 * Appended bytes survive a crash only when they were synced; of the rest a
 * random part survives, sometimes followed by zeros (length written before
 * data). A replace is atomic. Each write, sync, truncate and replace counts
 * as one operation; operation number fail_at fails, and all later ones too.
 * While full_tries is not 0, an append or replace finds no room and counts it down.
 */
#ifndef FAKE_DISK_H
#define FAKE_DISK_H

#include "control/disk.h"
#include "lib/rng.h"

enum fake_failure {
	FAKE_FAIL_BEFORE, /* nothing is done */
	FAKE_FAIL_PART, /* half of an append is written */
	FAKE_FAIL_AFTER, /* done, but reported as failed */
};

struct fake_disk {
	struct disk disk;
	GHashTable *files; /* name -> struct fake_file */
	struct rng rng;
	u64 ops;
	u64 fail_at; /* 0: never */
	enum fake_failure failure;
	u32 full_tries;
};

struct fake_file {
	GByteArray *data;
	size_t synced;
};

struct fake_disk *fake_disk_new(u64 seed);
void fake_disk_free(struct fake_disk *d);
void fake_disk_crash(struct fake_disk *d); /* loses what was not synced, repairs failures */
struct fake_file *fake_disk_file(struct fake_disk *d, const char *name); /* NULL when absent */
void fake_disk_put(struct fake_disk *d, const char *name, const void *p, size_t len);
struct fake_disk *fake_disk_copy(const struct fake_disk *d);

#endif
