/*
 * fake_disk - an in-memory data folder with injected failures and data loss
 *
 * Appended bytes are sure to survive a crash only when they were synced; of the
 * rest a random prefix survives, sometimes followed by zeros (the length was
 * written before the data). After a sync that failed, later ones of the file report success and
 * keep nothing more, as those of Linux, where a page that could not be written counts as clean. A
 * replace is atomic, and writes all bytes anew. Each append, sync, truncate and
 * replace counts as one operation, unless it returns ERR_NO_SPACE; operation number
 * fail_at and all later ones fail. While full_attempts is not 0, an append or
 * replace returns ERR_NO_SPACE and decrements it.
 */
#ifndef FAKE_DISK_H
#define FAKE_DISK_H

#include "control/disk.h"
#include "lib/rng.h"

enum fake_failure {
	FAKE_FAIL_BEFORE, /* the operation has no effect */
	FAKE_FAIL_PART, /* half of an append is written */
	FAKE_FAIL_AFTER, /* the operation succeeds, but reports a failure */
};

struct fake_disk {
	struct disk disk;
	GHashTable *files; /* name -> struct fake_file */
	struct rng rng;
	u64 ops;
	u64 fail_at; /* 0: never */
	enum fake_failure failure;
	u32 full_attempts;
};

struct fake_file {
	GByteArray *data;
	size_t synced; /* bytes that survive a crash */
	bool has_lost_pages; /* a sync has failed */
};

struct fake_disk *fake_disk_new(u64 seed);
void fake_disk_free(struct fake_disk *d);
void fake_disk_crash(struct fake_disk *d); /* loses unsynced data, stops injecting failures */
struct fake_file *fake_disk_file(struct fake_disk *d, const char *name); /* NULL when absent */
void fake_disk_put(struct fake_disk *d, const char *name, const void *p, size_t len);
struct fake_disk *fake_disk_copy(const struct fake_disk *d);

#endif
