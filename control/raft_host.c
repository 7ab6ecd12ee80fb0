/* Raft callbacks of the control process: storage, messages, and applying entries to the store. */
#include "control/control.h"

#include "control/disk_retry.h"
#include "control/join.h"
#include "control/op.h"
#include "lib/ctr.h"
#include "lib/err.h"
#include "lib/log.h"
#include "wire/ctl.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

/* The in-memory log is compacted when it has more entries than this. */
#define COMPACT_ENTRIES 4096
/*
 * It is also compacted when the entries since the last snapshot have more bytes than this, the
 * limit for one set (SET_JSON_MAX_BYTES).
 */
#define COMPACT_BYTES (8 << 20)

/* Data that failed to sync may be lost, and a retried fsync can wrongly report success. */
static void exit_on_error(int err, const char *what)
{
	if (!err)
		return;
	log_event(LOG_ERROR, "cannot write to the data folder, ending", "operation", what, "error",
		  err_text(err), NULL);
	_Exit(1);
}

static void host_send(struct raft *r, u32 to, const struct raft_msg *m)
{
	peers_send_raft(r->arg, to, m);
}

static bool host_is_sending(struct raft *r, u32 to)
{
	return peers_is_sending_raft(r->arg, to);
}

static void host_save_state(struct raft *r, u64 term, u32 vote)
{
	struct control *c = r->arg;

	exit_on_error(wal_save_state(&c->wal, term, vote), "save state");
}

static void host_append(struct raft *r, GPtrArray *entries)
{
	struct control *c = r->arg;

	exit_on_error(wal_append(&c->wal, entries), "append");
	for (guint i = 0; i < entries->len; i++)
		c->log_bytes += raft_entry_bytes(g_ptr_array_index(entries, i));
}

static void host_save_snapshot(struct raft *r, u64 index, u64 term,
			       const struct raft_members *members, GBytes *state)
{
	struct control *c = r->arg;

	exit_on_error(wal_save_snapshot(&c->wal, r, index, term, members, state), "snapshot");
}

static void count_result(const struct store_result *result)
{
	if (result->is_repeat)
		ctr_inc(CTR_CHANGE_REPEATED);
	else if (result->status == 409 || result->status == 412)
		ctr_inc(CTR_CHANGE_CONFLICT);
	else if (result->status < 300)
		ctr_inc(CTR_CHANGE_ACCEPTED);
}

static void publish_applied(struct control *c)
{
	__atomic_store_n(&c->applied.serial, c->store.recent.serial, __ATOMIC_RELEASE);
	__atomic_store_n(&c->applied.members_index, c->raft.members_index, __ATOMIC_RELEASE);
}

struct control_applied control_applied(const struct control *c)
{
	return (struct control_applied){
		.serial = __atomic_load_n(&c->applied.serial, __ATOMIC_ACQUIRE),
		.members_index = __atomic_load_n(&c->applied.members_index, __ATOMIC_ACQUIRE),
	};
}

static void host_apply(struct raft *r, const struct raft_entry *e)
{
	struct control *c = r->arg;
	struct store_result result = { 0 };

	if (e->kind == RAFT_COMMAND) {
		config_frames_before_change(&c->config_streams.frames, &c->store,
					    g_bytes_get_size(e->data));
		store_apply(&c->store, e->data, &result);
		count_result(&result);
		publish_applied(c);
	}
	op_applied(c, e, &result);
}

static void host_restore(struct raft *r, u64 index, GBytes *state)
{
	struct control *c = r->arg;

	(void)index;
	config_frames_before_change(&c->config_streams.frames, &c->store, g_bytes_get_size(state));
	if (store_restore(&c->store, state))
		exit_on_error(ERR_CORRUPT, "restore");
	op_restored(c);
}

static GBytes *host_snapshot(struct raft *r)
{
	struct control *c = r->arg;

	return store_snapshot(&c->store);
}

static void host_read_ready(struct raft *r, u64 read_id, bool is_ok)
{
	op_read_ready(r->arg, read_id, is_ok);
}

static u64 host_to_local_us(struct raft *r, u32 from, u64 remote_us)
{
	const struct link *k = peers_link(r->arg, from);

	return k ? link_to_local_us(k, remote_us) : 0;
}

static const struct raft_ops host_ops = {
	.send = host_send,
	.is_sending = host_is_sending,
	.save_state = host_save_state,
	.append = host_append,
	.save_snapshot = host_save_snapshot,
	.apply = host_apply,
	.restore = host_restore,
	.snapshot = host_snapshot,
	.read_ready = host_read_ready,
	.to_local_us = host_to_local_us,
};

static u64 random_id(void)
{
	u64 id = 0;

	while (!id)
		if (getrandom(&id, sizeof(id), 0) != sizeof(id))
			id = 0;
	return id;
}

static struct raft_members founders_of_settings(const struct control *c)
{
	const GArray *list = c->settings->control.members;
	struct raft_members founders = { 0 };

	for (guint i = 0; i < list->len && i < RAFT_MEMBERS_MAX; i++) {
		const struct member_setting *m = &g_array_index(list, struct member_setting, i);

		founders.m[founders.n].id = m->id;
		founders.m[founders.n].at = m->at;
		founders.n++;
	}
	return founders;
}

/*
 * Only the seeds of a first start form a group; all other processes join it. A seed that ended
 * before there was a group is still one of those that the others wait for, so it says so on its
 * disk.
 */
static int find_founders(struct control *c, struct raft_members *founders, char **why)
{
	int err;

	*founders = founders_of_settings(c);
	if (!c->settings->control.uses_seeds)
		return 0;
	if (join_is_founder(c))
		return wal_save_founders(&c->wal, founders);
	err = wal_load_founders(&c->wal, founders, why);
	if (err == ERR_NOTFOUND)
		founders->n = 0;
	return err == ERR_NOTFOUND ? 0 : err;
}

static int start_forming_group(struct control *c, char **why)
{
	struct raft_members founders;
	int err = find_founders(c, &founders, why);

	if (err || !founders.n)
		return err;
	raft_form_group(&c->raft, &founders);
	log_event(LOG_INFO, "founding a group", "founders", log_u64(founders.n), "first_start",
		  c->settings->control.may_form_group ? "yes" : "no", NULL);
	return 0;
}

/* Logs a change of the leader or of whether this process may serve configurations. */
static void log_leadership(struct control *c)
{
	bool is_fresh = raft_is_fresh(&c->raft, CTL_LEASE_US, loop_clock_us());

	if (c->raft.leader == c->logged_leader && is_fresh == c->was_fresh)
		return;
	c->logged_leader = c->raft.leader;
	c->was_fresh = is_fresh;
	log_event(LOG_INFO, "leader", "leader", log_u64(c->raft.leader), "self",
		  log_u64(c->raft.id), "term", log_u64(c->raft.term), "commit",
		  log_u64(c->raft.commit), "fresh", is_fresh ? "yes" : "no", NULL);
}

/* Called after every step, because a follower's timer rarely fires and followers compact too. */
void raft_host_arm(struct control *c)
{
	if (c->raft.log->len > COMPACT_ENTRIES || c->log_bytes > COMPACT_BYTES) {
		raft_compact(&c->raft);
		c->log_bytes = raft_log_bytes(&c->raft, c->raft.snap_index);
	}
	publish_applied(c);
	log_leadership(c);
	loop_timer_set(c->loop, &c->raft_timer, raft_next_due_us(&c->raft));
}

static void on_raft_timer(void *arg, u64 now_us)
{
	struct control *c = arg;

	raft_tick(&c->raft, now_us);
	op_poll(c, now_us);
	raft_host_arm(c);
	nodes_push(c);
}

/* During startup no thread handles SIGTERM and SIGINT yet, so they stay pending. */
static bool is_stopping(void *arg)
{
	struct control *c = arg;
	u64 end_us = __atomic_load_n(&c->disk_wait_end_us, __ATOMIC_ACQUIRE);
	sigset_t pending;

	if (end_us && loop_clock_us() >= end_us)
		return true;
	return !sigpending(&pending) &&
	       (sigismember(&pending, SIGTERM) == 1 || sigismember(&pending, SIGINT) == 1);
}

static void sleep_us(void *arg, u64 span_us)
{
	(void)arg;
	g_usleep(span_us);
}

static const struct disk_retry_ops host_retry_ops = {
	.is_stopping = is_stopping,
	.pause = sleep_us,
};

int raft_host_open(struct control *c)
{
	const struct control_settings *s = &c->settings->control;
	g_autofree char *why = NULL;
	struct disk *folder = disk_open(s->data, &why);
	struct disk *disk = folder ? disk_retry_new(folder, &host_retry_ops, c) : NULL;
	int err = disk ? wal_open(&c->wal, disk, random_id(), &why) : ERR_IO;

	if (!err) {
		raft_init(&c->raft, &host_ops, c, s->id, c->wal.replica, random_id(),
			  loop_clock_us());
		c->raft.copies_min = s->losses + 1;
		err = wal_load(&c->wal, &c->raft, &why);
		c->log_bytes = raft_log_bytes(&c->raft, c->raft.snap_index);
		if (!err && c->raft.role == RAFT_FORMING)
			err = start_forming_group(c, &why);
	}
	if (err)
		log_event(LOG_ERROR, "cannot open the data folder", "data", s->data, "error",
			  why ? why : err_text(err), NULL);
	c->raft_timer = (struct loop_timer){ .fire = on_raft_timer, .arg = c };
	return err;
}

void raft_host_close(struct control *c)
{
	raft_clear(&c->raft);
	c->wal.disk->ops->close(c->wal.disk);
}
