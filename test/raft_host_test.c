/* The control process's raft storage: compaction and failing writes. */
#include "control/control.h"
#include "lib/set.h"
#include "test/fakes/fake_config.h"
#include "test/fakes/set_change.h"

#include <glib/gstdio.h>
#include <signal.h>
#include <sys/resource.h>

/* Returns a single-member group with its own data folder. */
static struct control *single_member_new(struct settings *s)
{
	struct member_setting self = { .id = 1, .at = { .host = "127.0.0.1", .port = 1 } };
	struct control *c;

	s->cluster = "test";
	s->control.id = 1;
	s->control.data = g_dir_make_tmp("raft_host_test_XXXXXX", NULL);
	s->control.members = g_array_new(FALSE, FALSE, sizeof(struct member_setting));
	g_array_append_val(s->control.members, self);
	c = control_new(s);
	c->loop = loop_new("test");
	g_assert_cmpint(raft_host_open(c), ==, 0);
	return c;
}

static void remove_directory(const char *path)
{
	g_autoptr(GDir) dir = g_dir_open(path, 0, NULL);
	const char *name;

	while ((name = g_dir_read_name(dir))) {
		g_autofree char *file = g_build_filename(path, name, NULL);

		g_unlink(file);
	}
	g_rmdir(path);
}

static void tick(struct control *c)
{
	raft_tick(&c->raft, MAX(c->raft.election_due_us, raft_next_due_us(&c->raft)));
}

static void single_member_free(struct control *c, struct settings *s)
{
	raft_host_close(c);
	loop_free(c->loop);
	control_free(c);
	remove_directory(s->control.data);
	g_free(s->control.data);
	g_array_unref(s->control.members);
}

static void test_single_member_forms_and_leads(void)
{
	struct settings s = { 0 };
	struct control *c = single_member_new(&s);

	g_assert_cmpint(c->raft.role, ==, RAFT_FORMING);
	for (u32 i = 0; i < 3; i++)
		tick(c);
	g_assert_cmpint(c->raft.role, ==, RAFT_LEADER);
	g_assert_cmpuint(c->raft.commit, ==, 2);
	single_member_free(c, &s);
}

#define LARGE_BYTES (1 << 20)
#define LARGE_ENTRIES 64
/* Bounds the entries since the last snapshot plus those retained for slow members. */
#define LOG_BYTES_MAX (24u << 20)

/* Simulates a large set that changes often. */
static void test_large_entries_are_compacted(void)
{
	struct settings s = { 0 };
	struct control *c = single_member_new(&s);
	g_autofree char *text = g_strnfill(LARGE_BYTES, 'x');
	u64 index;

	for (u32 i = 0; i < 3; i++)
		tick(c);
	for (u32 i = 0; i < LARGE_ENTRIES; i++) {
		GBytes *data = g_bytes_new(text, LARGE_BYTES);

		g_assert_cmpint(raft_propose(&c->raft, RAFT_NOOP, data, 0, &index), ==, 0);
		g_bytes_unref(data);
		tick(c);
		raft_host_arm(c);
	}
	g_assert_cmpuint(c->raft.commit, ==, index);
	g_assert_cmpuint(raft_log_bytes(&c->raft, 0), <=, LOG_BYTES_MAX);
	g_assert_cmpuint(raft_log_bytes(&c->raft, 0), >=, LARGE_BYTES);
	single_member_free(c, &s);
}

static void run_until_write_fails(void)
{
	struct settings s = { 0 };
	struct control *c = single_member_new(&s);
	const struct rlimit none = { 0, 0 };
	u64 index;

	for (u32 i = 0; i < 3; i++)
		tick(c);
	signal(SIGXFSZ, SIG_IGN);
	setrlimit(RLIMIT_FSIZE, &none);
	/* The log file stays open, so the write to it is what fails. */
	remove_directory(s.control.data);
	raft_propose(&c->raft, RAFT_NOOP, NULL, 0, &index);
	tick(c);
}

/* A process that continued would acknowledge entries that may be lost. */
#define NO_ROUTE UINT32_MAX

/* Applies a set of VERSION as an entry of the log, in the form in which control proposes it. */
static void apply_set(struct control *c, u32 version, u32 routes, u32 changed, u32 timeout_ms)
{
	g_autofree char *text = fake_config_text(version, routes, changed, timeout_ms);
	g_autoptr(GBytes) command =
		store_command_shrink(&c->store, set_change_pack(version, version - 1, "", text));
	struct raft_entry e = { .kind = RAFT_COMMAND, .data = command };

	c->raft.ops->apply(&c->raft, &e);
	g_assert_cmpuint(c->store.revision, ==, version);
}

static size_t frame_bytes(struct control *c, u64 from)
{
	const GPtrArray *frames = config_frames_get(&c->config_streams.frames, &c->store, from);
	size_t sum = 0;

	for (guint i = 0; i < frames->len; i++)
		sum += ((struct frame_out *)g_ptr_array_index(frames, i))->buf.size;
	return sum;
}

/*
 * Guards against: a node that moves to a control process that got several changes at once has a
 * revision that this process never observed, and gets the whole set for one route.
 */
static void test_whole_set_after_changes_in_one_batch(void)
{
	struct settings s = { 0 };
	struct control *c = single_member_new(&s);
	size_t whole;
	size_t delta;

	apply_set(c, 1, 1400, NO_ROUTE, 1000);
	nodes_push(c);
	apply_set(c, 2, 1400, 3, 1000);
	apply_set(c, 3, 1400, 4, 1000);
	nodes_push(c);
	whole = frame_bytes(c, 0);
	delta = frame_bytes(c, 2);
	g_test_message("%zu bytes for two routes, %zu for the whole set", delta, whole);
	g_assert_cmpuint(delta * 10, <, whole);
	single_member_free(c, &s);
}

#define BATCH 30
/* Comparing a set of 6,000 routes takes more than a fifth of CONFIG_FRAMES_EARLY_US. */
#define BATCH_OBSERVED_MAX 8

/*
 * Guards against: a member that was behind looks at each set that it catches up with in one turn
 * of its loop.
 */
static void test_sets_of_a_batch_hold_up_control(void)
{
	struct settings s = { 0 };
	struct control *c = single_member_new(&s);
	const struct set_history *h = &c->config_streams.frames.set_history;
	guint before;

	apply_set(c, 1, 6000, NO_ROUTE, 1000);
	apply_set(c, 2, 6000, NO_ROUTE, 1001);
	g_assert_null(h->newest);
	nodes_push(c);
	before = h->entries.length;
	for (u32 i = 0; i < BATCH; i++)
		apply_set(c, 3 + i, 6000, i, 1001);
	g_test_message("%u of %u sets observed", h->entries.length - before, BATCH);
	g_assert_cmpuint(h->entries.length - before, <=, BATCH_OBSERVED_MAX);
	/* Nor one whose routes have all changed, before the last one. */
	nodes_push(c);
	before = h->entries.length;
	apply_set(c, 3 + BATCH, 6000, NO_ROUTE, 2000);
	apply_set(c, 4 + BATCH, 6000, NO_ROUTE, 3000);
	g_assert_cmpuint(h->entries.length, ==, before);
	single_member_free(c, &s);
}

static void test_failed_write_ends_the_process(void)
{
	if (g_test_subprocess()) {
		run_until_write_fails();
		return;
	}
	g_test_trap_subprocess(NULL, 0, 0);
	g_test_trap_assert_failed();
	g_test_trap_assert_stderr("*cannot write to the data folder*append*");
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/raft-host/single-member-forms-and-leads",
			test_single_member_forms_and_leads);
	g_test_add_func("/raft-host/large-entries-are-compacted", test_large_entries_are_compacted);
	g_test_add_func("/raft-host/whole-set-after-changes-in-one-batch",
			test_whole_set_after_changes_in_one_batch);
	g_test_add_func("/raft-host/sets-of-a-batch-hold-up-control",
			test_sets_of_a_batch_hold_up_control);
	g_test_add_func("/raft-host/failed-write-ends-the-process",
			test_failed_write_ends_the_process);
	return g_test_run();
}
