/*
 * disk - the few file operations that the write-ahead log needs
 *
 * A small interface, so that tests can fail each operation in turn.
 *
 * append and replace give ERR_NO_SPACE when the disk has no room; the file is then as
 * before, and the operation may be tried again.
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
	/* replace - the whole file at once, synced together with its folder */
	int (*replace)(struct disk *d, const char *name, const void *p, size_t len);
	void (*close)(struct disk *d);
};

struct disk {
	const struct disk_ops *ops;
};

/*
 * disk_open - the folder PATH, made when absent, locked against other
 * processes. Returns NULL with the reason in *WHY (to be freed).
 */
struct disk *disk_open(const char *path, char **why);

#endif
