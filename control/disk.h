/*
 * disk - the file operations that the write-ahead log needs
 *
 * The interface is small, so that tests can make each operation fail in turn.
 *
 * append and replace return ERR_NO_SPACE when the disk has no space left; the file is
 * then unchanged, and the operation may be retried.
 *
 * ERRORS ERR_NOTFOUND, ERR_NO_SPACE, ERR_IO
 * SOURCE control/disk.c
 */
#ifndef DISK_H
#define DISK_H

#include "lib/types.h"

#include <glib.h>

struct disk;

struct disk_ops {
	int (*read)(struct disk *d, const char *name, GByteArray *out);
	int (*append)(struct disk *d, const char *name, const void *p, size_t len);
	int (*truncate)(struct disk *d, const char *name, u64 len);
	int (*sync)(struct disk *d, const char *name);
	/* replace - replaces the whole file atomically; syncs the file and its folder */
	int (*replace)(struct disk *d, const char *name, const void *p, size_t len);
	void (*close)(struct disk *d);
};

struct disk {
	const struct disk_ops *ops;
};

/*
 * disk_open - opens the folder PATH and locks it against other processes; creates
 * it when it doesn't exist. Returns NULL with the reason in *WHY (to be freed).
 */
struct disk *disk_open(const char *path, char **why);

#endif
