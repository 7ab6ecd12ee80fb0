/* Tests the write-ahead log against truncation, bit flips, failed writes, crashes and garbage. */
#include "control/wal.h"

#include "lib/err.h"
#include "test/fakes/fake_disk.h"

#include <string.h>

#define RUNS 400
#define OPS_PER_RUN 40
#define GARBAGE_FILES 3000
#define GARBAGE_MAX_BYTES 300

/* A reference model: the state that the disk should hold. */
struct model {
	u64 term;
	u32 vote;
	u64 snap_index;
	u64 snap_term;
	u64 last;
	u64 terms[OPS_PER_RUN * 8]; /* by index */
	u64 data[OPS_PER_RUN * 8];
};

struct fixture {
	struct fake_disk *disk;
	struct wal wal;
	struct raft raft;
	u64 restored; /* value in the restored snapshot */
};

static void restore_value(struct raft *r, u64 index, GBytes *state)
{
	struct fixture *f = r->arg;
	gsize len;
	const void *p = g_bytes_get_data(state, &len);

	(void)index;
	if (len == sizeof(f->restored))
		memcpy(&f->restored, p, len);
}

static const struct raft_ops ops = { .restore = restore_value };

static int open_wal(struct fixture *f, struct fake_disk *disk, char **why)
{
	int err;

	memset(f, 0, sizeof(*f));
	f->disk = disk;
	raft_init(&f->raft, &ops, f, 1, 7, 1, 0);
	err = wal_open(&f->wal, &disk->disk, 7, why);
	return err ? err : wal_load(&f->wal, &f->raft, why);
}

static void must_open(struct fixture *f, struct fake_disk *disk)
{
	g_autofree char *why = NULL;
	int err = open_wal(f, disk, &why);

	g_assert_cmpstr(why, ==, NULL);
	g_assert_cmpint(err, ==, 0);
}

static void close_wal(struct fixture *f)
{
	raft_clear(&f->raft);
}

static GBytes *value(u64 v)
{
	return g_bytes_new(&v, sizeof(v));
}

static struct raft_members one_member(void)
{
	struct raft_members m = { .n = 1 };

	m.m[0] = (struct raft_member){ .id = 1, .replica = 7, .is_voter = true };
	return m;
}

static int save_snapshot(struct fixture *f, u64 index, u64 term, u64 state)
{
	struct raft_members m = one_member();
	g_autoptr(GBytes) bytes = value(state);
	int err = wal_save_snapshot(&f->wal, &f->raft, index, term, &m, bytes);

	raft_load_snapshot(&f->raft, index, term, &m, bytes);
	return err;
}

static int append(struct fixture *f, u64 index, u64 term, u64 data, u32 n)
{
	g_autoptr(GPtrArray) list = g_ptr_array_new_with_free_func((GDestroyNotify)raft_entry_free);
	int err;

	for (u32 i = 0; i < n; i++) {
		g_autoptr(GBytes) bytes = value(data + i);

		g_ptr_array_add(list, raft_entry_new(index + i, term, RAFT_COMMAND, bytes));
	}
	err = wal_append(&f->wal, list);
	for (u32 i = 0; i < n; i++)
		raft_load_entry(&f->raft, g_ptr_array_index(list, i));
	return err;
}

static u64 data_at(const struct raft *r, u64 index)
{
	const struct raft_entry *e = raft_entry_at(r, index);
	gsize len;
	const void *p = g_bytes_get_data(e->data, &len);
	u64 v = 0;

	g_assert_cmpuint(len, ==, sizeof(v));
	memcpy(&v, p, sizeof(v));
	return v;
}

static bool equals(const struct fixture *f, const struct model *n)
{
	const struct raft *r = &f->raft;

	if (r->term != n->term || r->vote != n->vote || r->snap_index != n->snap_index ||
	    r->snap_term != n->snap_term || raft_last_index(r) != n->last)
		return false;
	for (u64 i = n->snap_index + 1; i <= n->last; i++)
		if (raft_term_at(r, i) != n->terms[i] || data_at(r, i) != n->data[i])
			return false;
	return f->restored == n->data[n->snap_index];
}

/* Returns a data folder with a snapshot, followed by a few entries and term changes. */
static struct fake_disk *sample_disk(void)
{
	struct fake_disk *d = fake_disk_new(1);
	struct fixture f;

	must_open(&f, d);
	f.raft.term = 1;
	g_assert_cmpint(save_snapshot(&f, 1, 1, 100), ==, 0);
	for (u32 i = 0; i < 4; i++) {
		g_assert_cmpint(append(&f, 2 + 2 * i, 1 + i, 200 + 10 * i, 2), ==, 0);
		g_assert_cmpint(wal_save_state(&f.wal, 2 + i, 1), ==, 0);
	}
	close_wal(&f);
	return d;
}

static void assert_prefix(const struct raft *cut, const struct raft *whole)
{
	g_assert_cmpuint(raft_last_index(cut), <=, raft_last_index(whole));
	g_assert_cmpuint(cut->term, <=, whole->term);
	for (u64 i = cut->snap_index + 1; i <= raft_last_index(cut); i++) {
		g_assert_cmpuint(raft_term_at(cut, i), ==, raft_term_at(whole, i));
		g_assert_cmpuint(data_at(cut, i), ==, data_at(whole, i));
	}
}

/*
 * Opens a copy of the folder with the log truncated to LEN and padded with zeros to FULL bytes.
 * Returns its last index.
 */
static u64 open_truncated(struct fake_disk *d, const struct raft *whole, guint len, guint full)
{
	struct fake_disk *copy = fake_disk_copy(d);
	struct fake_file *log = fake_disk_file(copy, "log");
	struct fixture f;
	u64 last;

	memset(log->data->data + len, 0, full - len);
	g_byte_array_set_size(log->data, full);
	must_open(&f, copy);
	assert_prefix(&f.raft, whole);
	last = raft_last_index(&f.raft);
	/* An entry appended after the truncation survives the next start. */
	g_assert_cmpint(append(&f, last + 1, 9, 999, 1), ==, 0);
	close_wal(&f);
	must_open(&f, copy);
	g_assert_cmpuint(raft_last_index(&f.raft), ==, last + 1);
	g_assert_cmpuint(data_at(&f.raft, last + 1), ==, 999);
	close_wal(&f);
	fake_disk_free(copy);
	return last;
}

static void test_truncated_at_every_byte(void)
{
	struct fake_disk *d = sample_disk();
	/* A start writes the log anew. */
	struct fake_disk *opened = fake_disk_copy(d);
	guint len = fake_disk_file(d, "log")->data->len;
	struct fixture whole;
	u64 last = 1;

	must_open(&whole, opened);
	g_assert_cmpuint(raft_last_index(&whole.raft), ==, 9);
	for (guint cut = 0; cut <= len; cut++) {
		u64 now = open_truncated(d, &whole.raft, cut, cut);

		g_assert_cmpuint(now, >=, last);
		last = now;
		g_assert_cmpuint(open_truncated(d, &whole.raft, cut, len), ==, now);
	}
	g_assert_cmpuint(last, ==, 9);
	close_wal(&whole);
	fake_disk_free(opened);
	fake_disk_free(d);
}

static void assert_flip_refused(struct fake_disk *d, const char *name, guint at, u8 mask)
{
	struct fake_disk *copy = fake_disk_copy(d);
	g_autofree char *why = NULL;
	struct fixture f;
	int err;

	fake_disk_file(copy, name)->data->data[at] ^= mask;
	err = open_wal(&f, copy, &why);
	if (!err)
		g_error("%s: byte %u with mask %02x passes, last %u", name, at, mask,
			(u32)raft_last_index(&f.raft));
	g_assert_cmpint(err, ==, ERR_CORRUPT);
	g_assert_nonnull(why);
	g_assert_nonnull(strstr(why, "member replace"));
	close_wal(&f);
	fake_disk_free(copy);
}

static void test_every_flipped_bit_is_refused(void)
{
	static const char *const names[] = { "log", "snapshot", "replica" };
	struct fake_disk *d = sample_disk();

	for (u32 n = 0; n < G_N_ELEMENTS(names); n++)
		for (guint at = 0; at < fake_disk_file(d, names[n])->data->len; at++) {
			for (u32 bit = 0; bit < 8; bit++)
				assert_flip_refused(d, names[n], at, (u8)(1 << bit));
			assert_flip_refused(d, names[n], at, 0xff);
		}
	fake_disk_free(d);
}

static void test_missing_file_is_refused(void)
{
	static const char *const names[] = { "log", "snapshot", "replica" };

	for (u32 n = 0; n < G_N_ELEMENTS(names); n++) {
		struct fake_disk *d = sample_disk();
		g_autofree char *why = NULL;
		struct fixture f;
		int err;

		g_hash_table_remove(d->files, names[n]);
		err = open_wal(&f, d, &why);
		g_assert_cmpint(err, ==, ERR_CORRUPT);
		g_assert_nonnull(why);
		close_wal(&f);
		fake_disk_free(d);
	}
}

static void test_garbage_is_refused(void)
{
	static const char *const names[] = { "log", "snapshot", "replica" };
	struct rng rng = { .state = 5 };

	for (u32 i = 0; i < GARBAGE_FILES; i++) {
		struct fake_disk *d = sample_disk();
		const char *name = names[rng_below(&rng, 3)];
		u8 bytes[GARBAGE_MAX_BYTES];
		u32 len = 17 + rng_below(&rng, GARBAGE_MAX_BYTES - 17);
		g_autofree char *why = NULL;
		struct fixture f;

		for (u32 b = 0; b < len; b++)
			bytes[b] = (u8)rng_next(&rng);
		bytes[len - 1] |= 1;
		if (rng_below(&rng, 2))
			memcpy(bytes, fake_disk_file(d, name)->data->data, 16);
		fake_disk_put(d, name, bytes, len);
		/* With a valid header, a record that exceeds the file is a torn write. */
		if (open_wal(&f, d, &why))
			g_assert_nonnull(why);
		else
			g_assert_cmpstr(name, ==, "log");
		close_wal(&f);
		fake_disk_free(d);
	}
}

/* Random operations, compared with the model, with failures and crashes */

struct run {
	struct fixture f;
	struct model acknowledged; /* operations reported as synced */
	struct model attempted; /* including the operation that failed */
	struct rng rng;
};

static int op_save_state(struct run *w)
{
	w->attempted.term += rng_below(&w->rng, 2);
	w->attempted.vote = rng_below(&w->rng, 3);
	w->f.raft.term = w->attempted.term;
	w->f.raft.vote = w->attempted.vote;
	return wal_save_state(&w->f.wal, w->attempted.term, w->attempted.vote);
}

static int op_append(struct run *w)
{
	struct model *n = &w->attempted;
	u32 back = rng_below(&w->rng, 3);
	u64 first = MAX(n->snap_index + 1, n->last + 1 - MIN(back, n->last));
	u32 count = 1 + rng_below(&w->rng, 4);
	u64 data = rng_next(&w->rng);

	for (u32 i = 0; i < count; i++) {
		n->terms[first + i] = n->term;
		n->data[first + i] = data + i;
	}
	n->last = first + count - 1;
	return append(&w->f, first, n->term, data, count);
}

/* The state at an index is the data of its entry, so one check fits both kinds of snapshots. */
static int op_compact(struct run *w)
{
	struct model *n = &w->attempted;
	struct raft_members m = one_member();
	g_autoptr(GBytes) state = NULL;
	u64 index = n->snap_index + rng_below(&w->rng, (u32)(n->last - n->snap_index) + 1);

	state = value(n->data[index]);
	n->snap_index = index;
	n->snap_term = n->terms[index];
	return wal_save_snapshot(&w->f.wal, &w->f.raft, index, n->snap_term, &m, state);
}

/* A snapshot from the leader: beyond the end of the local log, or in conflict with it. */
static int op_install(struct run *w)
{
	struct model *n = &w->attempted;
	u64 index = n->snap_index + 1 + rng_below(&w->rng, 8);

	n->term++;
	w->f.raft.term = n->term;
	n->terms[index] = n->term;
	n->data[index] = rng_next(&w->rng);
	n->snap_index = index;
	n->snap_term = n->term;
	n->last = index;
	return save_snapshot(&w->f, index, n->term, n->data[index]);
}

static int random_op(struct run *w)
{
	switch (rng_below(&w->rng, 8)) {
	case 0:
		return op_install(w);
	case 1:
		return op_compact(w);
	case 2:
	case 3:
		return op_save_state(w);
	default:
		return op_append(w);
	}
}

/*
 * Returns whether the disk holds nothing but acknowledged data and parts of the
 * operation that failed.
 */
static bool is_partly_done(const struct fixture *f, const struct model *acknowledged,
			   const struct model *attempted)
{
	const struct raft *r = &f->raft;
	u64 last = raft_last_index(r);

	if (r->snap_index != acknowledged->snap_index && r->snap_index != attempted->snap_index)
		return false;
	if (r->term != acknowledged->term && r->term != attempted->term)
		return false;
	for (u64 i = r->snap_index + 1; i <= last; i++) {
		bool is_acknowledged = i <= acknowledged->last &&
				       raft_term_at(r, i) == acknowledged->terms[i] &&
				       data_at(r, i) == acknowledged->data[i];
		bool is_attempted = i <= attempted->last &&
				    raft_term_at(r, i) == attempted->terms[i] &&
				    data_at(r, i) == attempted->data[i];

		if (!is_acknowledged && !is_attempted)
			return false;
	}
	return true;
}

/* Returns whether all entries before the first one that the failed operation replaced are there. */
static bool keeps_acknowledged(const struct fixture *f, const struct model *acknowledged,
			       const struct model *attempted)
{
	for (u64 i = f->raft.snap_index + 1; i <= acknowledged->last; i++) {
		bool is_same = i <= attempted->last &&
			       acknowledged->terms[i] == attempted->terms[i] &&
			       acknowledged->data[i] == attempted->data[i];

		if (!is_same)
			return true;
		if (i > raft_last_index(&f->raft) || data_at(&f->raft, i) != acknowledged->data[i])
			return false;
	}
	return true;
}

static void model_load(struct model *n, const struct fixture *f)
{
	const struct raft *r = &f->raft;

	n->term = r->term;
	n->vote = r->vote;
	n->snap_index = r->snap_index;
	n->snap_term = r->snap_term;
	n->last = raft_last_index(r);
	n->terms[n->snap_index] = n->snap_term;
	n->data[n->snap_index] = f->restored;
	for (u64 i = r->snap_index + 1; i <= n->last; i++) {
		n->terms[i] = raft_term_at(r, i);
		n->data[i] = data_at(r, i);
	}
}

static void restart(struct run *w, bool is_failed)
{
	struct fake_disk *d = w->f.disk;
	g_autofree char *why = NULL;
	int err;

	close_wal(&w->f);
	fake_disk_crash(d);
	err = open_wal(&w->f, d, &why);
	if (err)
		g_error("a crash made the folder unusable: %s", why);
	if (!is_failed) {
		g_assert_true(equals(&w->f, &w->acknowledged));
		return;
	}
	g_assert_true(is_partly_done(&w->f, &w->acknowledged, &w->attempted));
	g_assert_true(keeps_acknowledged(&w->f, &w->acknowledged, &w->attempted));
	model_load(&w->acknowledged, &w->f);
	w->attempted = w->acknowledged;
}

static void start_run(struct run *w, u64 seed)
{
	memset(w, 0, sizeof(*w));
	w->rng.state = seed;
	must_open(&w->f, fake_disk_new(seed));
	w->f.raft.term = 1;
	g_assert_cmpint(save_snapshot(&w->f, 1, 1, 100), ==, 0);
	model_load(&w->acknowledged, &w->f);
	w->attempted = w->acknowledged;
}

static void random_run(u64 seed)
{
	struct fake_disk *d;
	struct run w;

	start_run(&w, seed);
	d = w.f.disk;
	for (u32 i = 0; i < OPS_PER_RUN; i++) {
		bool is_failing = rng_below(&w.rng, 3) == 0;

		d->fail_at = is_failing ? d->ops + 1 + rng_below(&w.rng, 3) : 0;
		d->failure = (enum fake_failure)rng_below(&w.rng, 3);
		if (random_op(&w)) {
			restart(&w, true);
			continue;
		}
		w.acknowledged = w.attempted;
		if (is_failing || rng_below(&w.rng, 4) == 0)
			restart(&w, false);
	}
	restart(&w, false);
	close_wal(&w.f);
	fake_disk_free(d);
}

static void test_against_model(void)
{
	for (u64 seed = 1; seed <= RUNS; seed++)
		random_run(seed);
}

/* Each append, sync and replace of a fixed sequence of operations fails in turn. */
static void test_each_failure_in_turn(void)
{
	for (u32 failure = FAKE_FAIL_BEFORE; failure <= FAKE_FAIL_AFTER; failure++)
		for (u64 at = 1; at <= 30; at++) {
			struct run w;
			struct fake_disk *d;
			bool is_failed = false;

			start_run(&w, 77);
			d = w.f.disk;
			d->failure = (enum fake_failure)failure;
			d->fail_at = d->ops + at;
			for (u32 i = 0; i < 20 && !is_failed; i++) {
				is_failed = random_op(&w) != 0;
				if (!is_failed)
					w.acknowledged = w.attempted;
			}
			restart(&w, is_failed);
			close_wal(&w.f);
			fake_disk_free(d);
		}
}

/* A crash between the writes of snapshot and log: the old log has entries that were overwritten. */
static void test_crash_between_snapshot_and_log(void)
{
	struct fake_disk *d = fake_disk_new(3);
	struct fixture f;

	must_open(&f, d);
	f.raft.term = 1;
	g_assert_cmpint(save_snapshot(&f, 1, 1, 100), ==, 0);
	g_assert_cmpint(append(&f, 2, 1, 20, 9), ==, 0);
	g_assert_cmpint(append(&f, 5, 2, 50, 1), ==, 0);
	f.raft.term = 2;
	d->fail_at = d->ops + 2;
	g_assert_cmpint(save_snapshot(&f, 5, 2, 50), ==, ERR_IO);
	close_wal(&f);
	fake_disk_crash(d);
	must_open(&f, d);
	g_assert_cmpuint(f.raft.snap_index, ==, 5);
	g_assert_cmpuint(raft_last_index(&f.raft), ==, 5);
	close_wal(&f);
	fake_disk_free(d);
}

/* The founders are there after a power loss, or as if they had never been saved; damage is told. */
/* Saves entry 1 in term 1, and entry 2 with a sync that fails; the process ends. */
static struct fake_disk *disk_with_unsynced_entry(void)
{
	struct fake_disk *disk = fake_disk_new(1);
	struct fixture f;

	must_open(&f, disk);
	g_assert_cmpint(save_snapshot(&f, 1, 1, 10), ==, 0);
	g_assert_cmpint(wal_save_state(&f.wal, 1, 1), ==, 0);
	g_assert_cmpint(append(&f, 2, 1, 20, 1), ==, 0);
	disk->fail_at = disk->ops + 2; /* after the append itself */
	g_assert_cmpint(append(&f, 3, 1, 30, 1), !=, 0);
	disk->fail_at = 0;
	close_wal(&f);
	return disk;
}

/*
 * Guards against: a process that was killed while a sync hung or failed starts with bytes that are
 * not on the disk, says that it has them, and loses them with the power.
 */
static void test_start_after_a_failed_sync(void)
{
	struct fake_disk *disk = disk_with_unsynced_entry();
	struct fixture f;

	must_open(&f, disk);
	/* From now on the process tells the leader that it has this entry. */
	g_assert_cmpuint(raft_last_index(&f.raft), ==, 3);
	close_wal(&f);
	fake_disk_crash(disk);
	must_open(&f, disk);
	g_assert_cmpuint(raft_last_index(&f.raft), ==, 3);
	g_assert_cmpuint(data_at(&f.raft, 3), ==, 30);
	close_wal(&f);
	fake_disk_free(disk);
}

static void test_founders(void)
{
	struct raft_members saved = { .n = 2 };
	struct raft_members loaded = { 0 };
	g_autofree char *why = NULL;
	struct fixture f;

	saved.m[0] = (struct raft_member){ .id = 4, .replica = 7, .at = { "127.0.0.4", 1 } };
	saved.m[1] = (struct raft_member){ .id = 9, .at = { "127.0.0.9", 1 } };
	must_open(&f, fake_disk_new(1));
	g_assert_cmpint(wal_load_founders(&f.wal, &loaded, &why), ==, ERR_NOTFOUND);
	g_assert_cmpint(wal_save_founders(&f.wal, &saved), ==, 0);
	fake_disk_crash(f.disk);
	g_assert_cmpint(wal_load_founders(&f.wal, &loaded, &why), ==, 0);
	g_assert_cmpuint(loaded.n, ==, 2);
	g_assert_cmpuint(loaded.m[0].id, ==, 4);
	g_assert_cmpstr(loaded.m[1].at.host, ==, "127.0.0.9");
	g_assert_null(why);
	g_assert_cmpint(f.disk->disk.ops->replace(&f.disk->disk, "founders", "x", 1), ==, 0);
	g_assert_cmpint(wal_load_founders(&f.wal, &loaded, &why), ==, ERR_CORRUPT);
	g_assert_nonnull(why);
	raft_clear(&f.raft);
	fake_disk_free(f.disk);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/wal/truncated-at-every-byte", test_truncated_at_every_byte);
	g_test_add_func("/wal/every-flipped-bit-is-refused", test_every_flipped_bit_is_refused);
	g_test_add_func("/wal/missing-file-is-refused", test_missing_file_is_refused);
	g_test_add_func("/wal/start-after-a-failed-sync", test_start_after_a_failed_sync);
	g_test_add_func("/wal/founders", test_founders);
	g_test_add_func("/wal/garbage-is-refused", test_garbage_is_refused);
	g_test_add_func("/wal/against-model", test_against_model);
	g_test_add_func("/wal/each-failure-in-turn", test_each_failure_in_turn);
	g_test_add_func("/wal/crash-between-snapshot-and-log", test_crash_between_snapshot_and_log);
	return g_test_run();
}
