/*
 * raft_bench - measures the cost of a configuration change in one control process
 *
 * usage: raft_bench FOLDER [CHANGES]
 *
 * A single-replica group accepts CHANGES changes for each batch size from 1 to
 * 64 (the changes that arrive in one iteration of the event loop) and writes
 * them to the write-ahead log in FOLDER with real syncs. It then prints the
 * size of a snapshot and the time to write and to load it. FOLDER must be
 * empty.
 */
#include "control/store.h"
#include "control/wal.h"
#include "kernel/loop.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#define CHANGES_DEFAULT 2000
#define SERVICES 1400

struct bench {
	struct disk *disk;
	struct wal wal;
	struct raft raft;
	struct store store;
	u64 applied;
};

static void exit_on_error(int err, const char *what)
{
	if (!err)
		return;
	fprintf(stderr, "raft_bench: %s: error %d\n", what, err);
	exit(1);
}

static void bench_send(struct raft *r, u32 to, const struct raft_msg *m)
{
	(void)r;
	(void)to;
	(void)m;
}

static void bench_save_state(struct raft *r, u64 term, u32 vote)
{
	struct bench *b = r->arg;

	exit_on_error(wal_save_state(&b->wal, term, vote), "save state");
}

static void bench_append(struct raft *r, GPtrArray *entries)
{
	struct bench *b = r->arg;

	exit_on_error(wal_append(&b->wal, entries), "append");
}

static void bench_save_snapshot(struct raft *r, u64 index, u64 term,
				const struct raft_members *members, GBytes *state)
{
	struct bench *b = r->arg;

	exit_on_error(wal_save_snapshot(&b->wal, r, index, term, members, state), "snapshot");
}

static void bench_apply(struct raft *r, const struct raft_entry *e)
{
	struct bench *b = r->arg;
	struct store_result result;

	if (e->kind != RAFT_COMMAND)
		return;
	store_apply(&b->store, e->data, &result);
	b->applied++;
}

static void bench_restore(struct raft *r, u64 index, GBytes *state)
{
	struct bench *b = r->arg;

	(void)index;
	exit_on_error(store_restore(&b->store, state), "restore");
}

static GBytes *bench_snapshot(struct raft *r)
{
	return store_snapshot(&((struct bench *)r->arg)->store);
}

static void bench_read_ready(struct raft *r, u64 id, bool is_ok)
{
	(void)r;
	(void)id;
	(void)is_ok;
}

static const struct raft_ops bench_ops = {
	.send = bench_send,
	.save_state = bench_save_state,
	.append = bench_append,
	.save_snapshot = bench_save_snapshot,
	.apply = bench_apply,
	.restore = bench_restore,
	.snapshot = bench_snapshot,
	.read_ready = bench_read_ready,
};

static void bench_open(struct bench *b, const char *folder)
{
	struct raft_members members = { .n = 1, .m = { { .id = 1 } } };
	g_autofree char *why = NULL;

	b->disk = disk_open(folder, &why);
	if (!b->disk)
		fprintf(stderr, "raft_bench: %s\n", why);
	exit_on_error(b->disk ? 0 : 1, "open");
	store_init(&b->store);
	exit_on_error(wal_open(&b->wal, b->disk, 1, &why), "open");
	raft_init(&b->raft, &bench_ops, b, 1, b->wal.replica, 1, 0);
	exit_on_error(wal_load(&b->wal, &b->raft, &why), "load");
	if (b->raft.role == RAFT_FORMING)
		raft_form_group(&b->raft, &members);
	while (b->raft.role != RAFT_LEADER || b->raft.is_flush_due)
		raft_tick(&b->raft, b->raft.election_due_us);
}

static void bench_close(struct bench *b)
{
	raft_clear(&b->raft);
	store_clear(&b->store);
	b->disk->ops->close(b->disk);
}

static GBytes *pack_change(u64 i)
{
	g_autofree char *name = g_strdup_printf("service-%u", (u32)(i % SERVICES));
	g_autofree char *id = g_strdup_printf("5f0c9f0e-7b1d-4c0e-9d55-%012" PRIx64, i);
	g_autofree char *json = g_strdup_printf(
		"{\"hosts\":[\"%s.breizh.example\"],\"name\":\"%s\",\"ranks\":["
		"{\"floor_percent\":10,\"idempotent\":false,\"match\":[{\"method\":\"POST\","
		"\"path\":\"/"
		"checklists\"}],\"name\":\"checklist\",\"target_ms\":250,\"worth\":100},"
		"{\"floor_percent\":10,\"idempotent\":true,\"match\":[{\"path\":\"/\"}],"
		"\"name\":\"page\",\"target_ms\":%u,\"worth\":10}]}",
		name, name, (u32)(i % 1000));
	struct store_change c = { .op = STORE_PUT, .name = name, .change_id = id, .json = json };

	return store_change_pack(&c);
}

static guint log_bytes(struct bench *b)
{
	g_autoptr(GByteArray) log = g_byte_array_new();

	exit_on_error(b->disk->ops->read(b->disk, "log", log), "read");
	return log->len;
}

static void measure_batch(struct bench *b, u64 changes, u32 batch, u64 *next)
{
	guint before = log_bytes(b);
	u64 start = loop_clock_us();
	u64 end = *next + changes;
	double seconds;

	while (*next < end) {
		for (u32 i = 0; i < batch && *next < end; i++) {
			g_autoptr(GBytes) data = pack_change((*next)++);
			u64 index;

			raft_propose(&b->raft, RAFT_COMMAND, data, 0, &index);
		}
		raft_tick(&b->raft, 0);
	}
	seconds = (double)(loop_clock_us() - start) / (double)US_PER_S;
	printf("%8u %12.0f %14.1f %14.0f\n", batch, (double)changes / seconds,
	       1e6 * seconds * batch / (double)changes,
	       (double)(log_bytes(b) - before) / (double)changes);
}

static void measure_snapshot(struct bench *b, const char *folder)
{
	g_autoptr(GBytes) state = store_snapshot(&b->store);
	u64 start = loop_clock_us();

	raft_compact(&b->raft);
	printf("snapshot: %zu bytes, %u services, %u change ids; written in %.1f ms\n",
	       g_bytes_get_size(state), g_hash_table_size(b->store.items),
	       g_hash_table_size(b->store.changes), (double)(loop_clock_us() - start) / 1000);
	bench_close(b);
	start = loop_clock_us();
	bench_open(b, folder);
	printf("loaded in %.1f ms\n", (double)(loop_clock_us() - start) / 1000);
}

int main(int argc, char **argv)
{
	static const u32 batches[] = { 1, 4, 16, 64 };
	u64 changes = argc > 2 ? strtoull(argv[2], NULL, 10) : CHANGES_DEFAULT;
	struct bench b = { 0 };
	u64 next = 0;

	if (argc < 2) {
		fprintf(stderr, "usage: raft_bench FOLDER [CHANGES]\n");
		return 2;
	}
	bench_open(&b, argv[1]);
	printf("%8s %12s %14s %14s\n", "batch", "changes/s", "us/sync", "log B/change");
	for (u32 i = 0; i < G_N_ELEMENTS(batches); i++)
		measure_batch(&b, changes, batches[i], &next);
	measure_snapshot(&b, argv[1]);
	bench_close(&b);
	return 0;
}
