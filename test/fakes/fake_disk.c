#include "test/fakes/fake_disk.h"

#include "lib/err.h"

static void file_free(gpointer p)
{
	struct fake_file *f = p;

	g_byte_array_unref(f->data);
	g_free(f);
}

struct fake_file *fake_disk_file(struct fake_disk *d, const char *name)
{
	return g_hash_table_lookup(d->files, name);
}

void fake_disk_put(struct fake_disk *d, const char *name, const void *p, size_t len)
{
	struct fake_file *f = g_new0(struct fake_file, 1);

	f->data = g_byte_array_new();
	f->synced = len;
	if (len)
		g_byte_array_append(f->data, p, (guint)len);
	g_hash_table_replace(d->files, g_strdup(name), f);
}

/* Counts an operation. Returns whether it reports a failure; *IS_DONE: whether it takes effect. */
static bool inject_failure(struct fake_disk *d, bool *is_done)
{
	d->ops++;
	*is_done = !d->fail_at || d->ops < d->fail_at;
	if (*is_done)
		return false;
	*is_done = d->ops == d->fail_at && d->failure == FAKE_FAIL_AFTER;
	return true;
}

static bool is_full(struct fake_disk *d)
{
	if (!d->full_attempts)
		return false;
	d->full_attempts--;
	return true;
}

static int fake_read(struct disk *disk, const char *name, GByteArray *out)
{
	struct fake_file *f = fake_disk_file((struct fake_disk *)disk, name);

	if (!f)
		return ERR_NOTFOUND;
	g_byte_array_append(out, f->data->data, f->data->len);
	return 0;
}

static int fake_append(struct disk *disk, const char *name, const void *p, size_t len)
{
	struct fake_disk *d = (struct fake_disk *)disk;
	struct fake_file *f;
	bool is_done;
	bool is_failed;

	if (is_full(d))
		return ERR_NO_SPACE;
	is_failed = inject_failure(d, &is_done);
	if (is_failed && !is_done && d->ops == d->fail_at && d->failure == FAKE_FAIL_PART)
		len /= 2;
	else if (!is_done)
		return ERR_IO;
	if (!fake_disk_file(d, name))
		fake_disk_put(d, name, NULL, 0);
	f = fake_disk_file(d, name);
	g_byte_array_append(f->data, p, (guint)len);
	return is_failed ? ERR_IO : 0;
}

static int fake_truncate(struct disk *disk, const char *name, u64 len)
{
	struct fake_disk *d = (struct fake_disk *)disk;
	struct fake_file *f = fake_disk_file(d, name);
	bool is_done;
	bool is_failed = inject_failure(d, &is_done);

	if (is_done) {
		g_byte_array_set_size(f->data, (guint)len);
		f->synced = MIN(f->synced, len);
	}
	return is_failed ? ERR_IO : 0;
}

static int fake_sync(struct disk *disk, const char *name)
{
	struct fake_disk *d = (struct fake_disk *)disk;
	struct fake_file *f = fake_disk_file(d, name);
	bool is_done;
	bool is_failed = inject_failure(d, &is_done);

	if (f && is_failed && !is_done)
		f->has_lost_pages = true;
	if (f && is_done && !f->has_lost_pages)
		f->synced = f->data->len;
	return is_failed ? ERR_IO : 0;
}

static int fake_replace(struct disk *disk, const char *name, const void *p, size_t len)
{
	struct fake_disk *d = (struct fake_disk *)disk;
	bool is_done;
	bool is_failed;

	if (is_full(d))
		return ERR_NO_SPACE;
	is_failed = inject_failure(d, &is_done);
	if (is_done)
		fake_disk_put(d, name, p, len);
	return is_failed ? ERR_IO : 0;
}

static void fake_close(struct disk *disk)
{
	(void)disk;
}

static const struct disk_ops fake_ops = {
	.read = fake_read,
	.append = fake_append,
	.truncate = fake_truncate,
	.sync = fake_sync,
	.replace = fake_replace,
	.close = fake_close,
};

struct fake_disk *fake_disk_new(u64 seed)
{
	struct fake_disk *d = g_new0(struct fake_disk, 1);

	d->disk.ops = &fake_ops;
	d->files = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, file_free);
	d->rng.state = seed;
	return d;
}

void fake_disk_free(struct fake_disk *d)
{
	g_hash_table_unref(d->files);
	g_free(d);
}

struct fake_disk *fake_disk_copy(const struct fake_disk *d)
{
	struct fake_disk *copy = fake_disk_new(d->rng.state);
	GHashTableIter iter;
	gpointer name;
	gpointer file;

	g_hash_table_iter_init(&iter, d->files);
	while (g_hash_table_iter_next(&iter, &name, &file)) {
		struct fake_file *f = file;

		fake_disk_put(copy, name, f->data->data, f->data->len);
		fake_disk_file(copy, name)->synced = f->synced;
		fake_disk_file(copy, name)->has_lost_pages = f->has_lost_pages;
	}
	return copy;
}

static void lose_unsynced(struct fake_disk *d, struct fake_file *f)
{
	size_t lost = f->data->len - f->synced;
	size_t keep = lost ? rng_below(&d->rng, (u32)lost + 1) : 0;
	size_t zeros = lost > keep && rng_below(&d->rng, 2) ? lost - keep : 0;

	for (size_t i = 0; i < zeros; i++)
		f->data->data[f->synced + keep + i] = 0;
	g_byte_array_set_size(f->data, (guint)(f->synced + keep + zeros));
	f->synced = f->data->len;
	f->has_lost_pages = false;
}

void fake_disk_crash(struct fake_disk *d)
{
	GHashTableIter iter;
	gpointer file;

	g_hash_table_iter_init(&iter, d->files);
	while (g_hash_table_iter_next(&iter, NULL, &file))
		lose_unsynced(d, file);
	d->fail_at = 0;
	d->ops = 0;
}
