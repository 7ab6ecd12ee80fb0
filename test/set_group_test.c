/*
 * Sets in a replicated log whose entries are differences to the version before: each member's text,
 * while leaders change, entries are overwritten, logs are compacted, writes fail and disks are
 * emptied.
 */
#include "control/raft_impl.h"
#include "lib/set.h"
#include "test/fakes/fake_group.h"
#include "test/fakes/set_change.h"

#include <string.h>

#define MEMBERS 5
#define LOSSES 2
#define RUNS 300
#define ROUTES 60
#define ROUNDS 12
#define LARGE_RUNS 2
#define LARGE_ROUTES 6000
#define SETTLE_US (20 * US_PER_S)
#define RETRY_US (300 * US_PER_MS)
#define CHANGE_MAX_US (20 * US_PER_S)

struct sets {
	struct fake_group *g;
	u32 routes;
	u64 version; /* the newest that was acknowledged */
	char *text; /* of the newest */
	bool is_wiped[MEMBERS + 1];
	u64 since_us[MEMBERS + 1]; /* when the emptied member started */
};

/* Each version changes one route and replaces another. */
static char *make_text(u64 version, u32 routes)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(text, "{\"version\":%u,\"routes\":[", (u32)version);
	for (u32 i = 0; i < routes; i++)
		g_string_append_printf(
			text,
			"%s{\"name\":\"r%u\",\"host\":\"h%u.example\",\"prefix\":\"/%x/\","
			"\"repeat\":\"never\",\"timeout_ms\":%u,\"attempts\":1,\"service\":\"a\"}",
			i ? "," : "", i, i % 7, i * 2654435761u + (i == version % routes),
			i == version * 31 % routes ? 2000u : 1000u);
	g_string_append(text, "],\"services\":[{\"name\":\"a\"}]}");
	return g_string_free(text, FALSE);
}

static GBytes *make_command(u64 version, const char *text)
{
	g_autofree char *id = g_strdup_printf("set-%u", (u32)version);

	return set_change_pack(version, version - 1, id, text);
}

static void run(struct sets *s, u64 span_us)
{
	fake_group_run(s->g, span_us);
	g_assert_cmpstr(s->g->violation, ==, NULL);
}

static struct raft *leader_of(struct sets *s)
{
	return fake_raft(s->g, fake_group_leader(s->g));
}

static bool is_demoted(struct sets *s, u32 id)
{
	const struct raft_member *m = raft_member_find(&leader_of(s)->members, id);

	return m && m->replica == fake_raft(s->g, id)->replica;
}

/* The next step for the emptied members; all become learners before one of them votes again. */
static void replace_members(struct sets *s)
{
	bool is_any_left = false;

	if (!fake_group_leader(s->g))
		return;
	for (u32 id = 1; id <= MEMBERS; id++)
		is_any_left |= s->is_wiped[id] && s->g->r[id].is_up && !is_demoted(s, id);
	for (u32 id = 1; id <= MEMBERS; id++) {
		if (!s->is_wiped[id] || !s->g->r[id].is_up || !fake_group_leader(s->g) ||
		    is_demoted(s, id) == is_any_left)
			continue;
		if (fake_group_replace(s->g, id, s->since_us[id]) == 200)
			s->is_wiped[id] = false;
	}
}

static u32 random_member(struct sets *s)
{
	return 1 + rng_below(&s->g->rng, MEMBERS);
}

static u32 count_wiped(const struct sets *s)
{
	u32 n = 0;

	for (u32 id = 1; id <= MEMBERS; id++)
		n += s->is_wiped[id];
	return n;
}

static void start(struct sets *s, u32 id)
{
	if (s->is_wiped[id] && !s->g->r[id].is_up)
		s->since_us[id] = s->g->now_us;
	fake_group_start(s->g, id);
}

static void start_all(struct sets *s)
{
	for (u32 id = 1; id <= MEMBERS; id++)
		start(s, id);
}

static void wipe(struct sets *s, u32 id)
{
	if (count_wiped(s) >= LOSSES || s->is_wiped[id])
		return;
	fake_group_crash(s->g, id);
	fake_group_wipe_disk(s->g, id);
	s->is_wiped[id] = true;
}

static void lose_power(struct sets *s)
{
	for (u32 id = 1; id <= MEMBERS; id++)
		fake_group_crash(s->g, id);
}

static void fail_disk(struct sets *s, u32 id)
{
	struct fake_disk *d = s->g->r[id].disk;

	d->failure = (enum fake_failure)rng_below(&s->g->rng, 3);
	d->fail_at = d->ops + 1 + rng_below(&s->g->rng, 4);
}

static void inject_fault(struct sets *s)
{
	u32 leader = fake_group_leader(s->g);

	switch (rng_below(&s->g->rng, 7)) {
	case 0:
		fake_group_crash(s->g, leader ? leader : random_member(s));
		break;
	case 1:
		fake_group_isolate(s->g, leader ? leader : random_member(s));
		break;
	case 2:
		wipe(s, random_member(s));
		break;
	case 3:
		lose_power(s);
		wipe(s, random_member(s));
		wipe(s, random_member(s));
		break;
	case 4:
		fail_disk(s, random_member(s));
		break;
	case 5:
		for (u32 id = 1; id <= MEMBERS; id++)
			if (s->g->r[id].is_up)
				raft_compact(fake_raft(s->g, id));
		break;
	default:
		fake_group_crash(s->g, random_member(s));
		break;
	}
}

/*
 * Proposes the change once. The process that receives it makes the difference, to the text that it
 * has, and the leader once more.
 */
static void send_once(struct sets *s, u64 version, const char *text)
{
	GBytes *command = make_command(version, text);
	u32 at = random_member(s);
	u32 leader = fake_group_leader(s->g);

	if (s->g->r[at].is_up)
		command = store_command_shrink(&s->g->r[at].control.store, command);
	if (leader) {
		command = store_command_shrink(&s->g->r[leader].control.store, command);
		fake_group_propose_command(s->g, leader, command);
	}
	g_bytes_unref(command);
}

static bool has_text(struct sets *s, u32 id, u64 version, const char *text)
{
	const struct store_item *item = store_find(&s->g->r[id].control.store, SET_NAME);

	return item && item->version == version && !strcmp(item->json, text);
}

/* A leader has applied the change, and with it a quorum has confirmed a read. */
static bool is_accepted(struct sets *s, u64 version, const char *text)
{
	u32 leader = fake_group_leader(s->g);

	return leader && has_text(s, leader, version, text) &&
	       raft_is_fresh(fake_raft(s->g, leader), RAFT_HEARTBEAT_US * 3, s->g->now_us);
}

/* Sends the change, unchanged, until it is accepted. A fault comes at a random moment before. */
static void change(struct sets *s)
{
	u64 version = s->version + 1;
	g_autofree char *text = make_text(version, s->routes);
	u64 end_us = s->g->now_us + CHANGE_MAX_US;

	send_once(s, version, text);
	run(s, rng_below(&s->g->rng, 30 * US_PER_MS));
	inject_fault(s);
	run(s, rng_below(&s->g->rng, 1500 * US_PER_MS));
	fake_group_heal(s->g);
	while (!is_accepted(s, version, text)) {
		start_all(s);
		replace_members(s);
		send_once(s, version, text);
		run(s, RETRY_US);
		g_assert_cmpuint(s->g->now_us, <, end_us);
	}
	g_free(s->text);
	s->text = g_steal_pointer(&text);
	s->version = version;
}

static bool is_whole(struct sets *s)
{
	for (u32 id = 1; id <= MEMBERS; id++)
		if (!s->g->r[id].is_up || s->is_wiped[id] || !has_text(s, id, s->version, s->text))
			return false;
	return true;
}

static void recover(struct sets *s)
{
	u64 end_us = s->g->now_us + CHANGE_MAX_US;

	while (!is_whole(s)) {
		start_all(s);
		replace_members(s);
		run(s, 200 * US_PER_MS);
		g_assert_cmpuint(s->g->now_us, <, end_us);
	}
}

static void play(u64 seed, u32 routes, u32 rounds)
{
	struct sets s = { .g = fake_group_new(MEMBERS, seed), .routes = routes };

	s.g->has_store = true;
	s.g->copies_min = LOSSES + 1;
	s.g->chunk_bytes = 1000;
	s.g->retained_entries_max = rng_below(&s.g->rng, 8);
	if (routes == LARGE_ROUTES)
		s.g->chunk_bytes = RAFT_CHUNK_BYTES;
	for (u32 id = 1; id <= MEMBERS; id++) {
		fake_raft(s.g, id)->copies_min = s.g->copies_min;
		fake_raft(s.g, id)->chunk_bytes = s.g->chunk_bytes;
		fake_raft(s.g, id)->retained_entries_max = s.g->retained_entries_max;
	}
	g_assert_true(fake_group_settle(s.g, SETTLE_US));
	for (u32 i = 0; i < rounds; i++) {
		change(&s);
		if (rng_below(&s.g->rng, 2))
			recover(&s);
	}
	recover(&s);
	g_free(s.text);
	fake_group_free(s.g);
}

/*
 * Guards against a member whose text differs, or that cannot apply a difference, as the text that
 * it builds on was overwritten, compacted or lost with a disk; and against a lost change.
 */
static void test_differences_survive_faults(void)
{
	for (u64 seed = 1; seed <= RUNS; seed++)
		play(seed, ROUTES, ROUNDS);
}

/* The same with sets of a real size, whose text and snapshot go in several messages. */
static void test_large_sets_survive_faults(void)
{
	for (u64 seed = 1; seed <= LARGE_RUNS; seed++)
		play(seed, LARGE_ROUTES, ROUNDS / 2);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/set-group/differences-survive-faults", test_differences_survive_faults);
	g_test_add_func("/set-group/large-sets-survive-faults", test_large_sets_survive_faults);
	return g_test_run();
}
