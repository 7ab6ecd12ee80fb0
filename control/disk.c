#include "control/disk.h"

#include "lib/err.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#define DISK_READ_BYTES (64 * 1024)

/* A folder. The file that was written last stays open. */
struct folder {
	struct disk disk;
	int dir_fd;
	int lock_fd;
	int file_fd;
	char *file_name;
	bool is_dir_dirty; /* a file was created and its directory entry is not synced yet */
};

static void close_file(struct folder *f)
{
	if (f->file_fd >= 0)
		close(f->file_fd);
	f->file_fd = -1;
	g_clear_pointer(&f->file_name, g_free);
}

static bool is_full(int errnum)
{
	return errnum == ENOSPC || errnum == EDQUOT;
}

static int open_file(struct folder *f, const char *name)
{
	if (f->file_name && g_str_equal(f->file_name, name))
		return 0;
	close_file(f);
	f->file_fd = openat(f->dir_fd, name, O_RDWR | O_APPEND | O_CREAT | O_CLOEXEC, 0600);
	if (f->file_fd < 0)
		return is_full(errno) ? ERR_NO_SPACE : ERR_IO;
	f->is_dir_dirty = true;
	f->file_name = g_strdup(name);
	return 0;
}

static int write_all(int fd, const void *p, size_t len)
{
	const char *at = p;

	while (len) {
		ssize_t n = write(fd, at, len);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && is_full(errno))
			return ERR_NO_SPACE;
		if (n <= 0)
			return ERR_IO;
		at += n;
		len -= (size_t)n;
	}
	return 0;
}

static int folder_read(struct disk *d, const char *name, GByteArray *out)
{
	struct folder *f = (struct folder *)d;
	int fd = openat(f->dir_fd, name, O_RDONLY | O_CLOEXEC);
	ssize_t n;

	if (fd < 0)
		return errno == ENOENT ? ERR_NOTFOUND : ERR_IO;
	do {
		guint old = out->len;

		g_byte_array_set_size(out, old + DISK_READ_BYTES);
		n = read(fd, out->data + old, DISK_READ_BYTES);
		g_byte_array_set_size(out, old + (n > 0 ? (guint)n : 0));
	} while (n > 0);
	close(fd);
	return n < 0 ? ERR_IO : 0;
}

/*
 * Removes a partly written record before it is retried. Returns ERR_NO_SPACE, or ERR_IO on failure.
 */
static int truncate_partial(int fd, off_t len)
{
	struct stat now;

	if (fstat(fd, &now))
		return ERR_IO;
	if (now.st_size != len && ftruncate(fd, len))
		return ERR_IO;
	return ERR_NO_SPACE;
}

static int folder_append(struct disk *d, const char *name, const void *p, size_t len)
{
	struct folder *f = (struct folder *)d;
	struct stat before;
	int err = open_file(f, name);

	if (err)
		return err;
	if (fstat(f->file_fd, &before))
		return ERR_IO;
	err = write_all(f->file_fd, p, len);
	return err == ERR_NO_SPACE ? truncate_partial(f->file_fd, before.st_size) : err;
}

static int folder_truncate(struct disk *d, const char *name, u64 len)
{
	struct folder *f = (struct folder *)d;
	int err = open_file(f, name);

	if (err)
		return err;
	return ftruncate(f->file_fd, (off_t)len) ? ERR_IO : 0;
}

static int sync_dir(struct folder *f)
{
	if (fsync(f->dir_fd))
		return ERR_IO;
	f->is_dir_dirty = false;
	return 0;
}

static int folder_sync(struct disk *d, const char *name)
{
	struct folder *f = (struct folder *)d;
	int err = open_file(f, name);

	if (err)
		return err;
	if (fsync(f->file_fd))
		return ERR_IO;
	return f->is_dir_dirty ? sync_dir(f) : 0;
}

static int folder_replace(struct disk *d, const char *name, const void *p, size_t len)
{
	struct folder *f = (struct folder *)d;
	g_autofree char *temp = g_strdup_printf("%s.new", name);
	int fd = openat(f->dir_fd, temp, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
	int err;

	if (fd < 0)
		return is_full(errno) ? ERR_NO_SPACE : ERR_IO;
	err = write_all(fd, p, len);
	if (!err && fsync(fd))
		err = ERR_IO;
	close(fd);
	if (err)
		return err;
	close_file(f);
	if (renameat(f->dir_fd, temp, f->dir_fd, name))
		return ERR_IO;
	return sync_dir(f);
}

static void folder_close(struct disk *d)
{
	struct folder *f = (struct folder *)d;

	close_file(f);
	if (f->lock_fd >= 0)
		close(f->lock_fd);
	if (f->dir_fd >= 0)
		close(f->dir_fd);
	g_free(f);
}

static const struct disk_ops folder_ops = {
	.read = folder_read,
	.append = folder_append,
	.truncate = folder_truncate,
	.sync = folder_sync,
	.replace = folder_replace,
	.close = folder_close,
};

/* Syncs the parent, so that the entry of a new folder is durable too. */
static int sync_parent(int dir_fd)
{
	int fd = openat(dir_fd, "..", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	int ret;

	/* An unreadable parent existed before, so there is nothing to sync. */
	if (fd < 0)
		return errno == EACCES ? 0 : ERR_IO;
	ret = fsync(fd);
	close(fd);
	return ret ? ERR_IO : 0;
}

struct disk *disk_open(const char *path, char **why)
{
	struct folder *f = g_new0(struct folder, 1);

	f->disk.ops = &folder_ops;
	f->file_fd = -1;
	f->lock_fd = -1;
	if (g_mkdir_with_parents(path, 0700))
		*why = g_strdup_printf("cannot make %s: %s", path, g_strerror(errno));
	f->dir_fd = *why ? -1 : open(path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	if (!*why && f->dir_fd < 0)
		*why = g_strdup_printf("cannot open %s: %s", path, g_strerror(errno));
	if (!*why && sync_parent(f->dir_fd))
		*why = g_strdup_printf("cannot sync the parent of %s: %s", path, g_strerror(errno));
	if (!*why)
		f->lock_fd = openat(f->dir_fd, "lock", O_RDWR | O_CREAT | O_CLOEXEC, 0600);
	if (!*why && f->lock_fd < 0)
		*why = g_strdup_printf("cannot write in %s: %s", path, g_strerror(errno));
	if (!*why && flock(f->lock_fd, LOCK_EX | LOCK_NB))
		*why = g_strdup_printf("%s is in use by another process", path);
	if (*why) {
		folder_close(&f->disk);
		return NULL;
	}
	return &f->disk;
}
