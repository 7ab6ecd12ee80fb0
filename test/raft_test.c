/* Checks raft's safety and liveness under random schedules of faults. */
#include "lib/err.h"
#include "test/fakes/fake_group.h"

#include <string.h>

#define SCHEDULES 3000
#define FIRST_SEED 1
#define SPAN_US (10 * US_PER_S)
#define SETTLE_US (40 * US_PER_S)

/* State of the random schedule of faults, requests and replacements. */
struct schedule {
	struct fake_group *g;
	u64 seed;
	u32 wiped_id; /* member whose disk was emptied and that is not replaced yet, or 0 */
	u64 replace_since_us; /* when the replacement was requested */
	u64 replaced;
	u32 crash_permille; /* share of all actions */
	u32 cut_permille;
};

static u32 random_replica(struct schedule *s)
{
	return 1 + rng_below(&s->g->rng, s->g->n);
}

static void cut_action(struct schedule *s)
{
	u32 from = random_replica(s);
	u32 to = random_replica(s);

	if (rng_below(&s->g->rng, 2)) {
		fake_group_isolate(s->g, from);
		return;
	}
	s->g->cut[from][to] = from != to;
	s->g->cut[to][from] = from != to && rng_below(&s->g->rng, 2);
}

static void crash_action(struct schedule *s)
{
	u32 id = random_replica(s);
	struct fake_disk *d = s->g->r[id].disk;

	if (rng_below(&s->g->rng, 2)) {
		fake_group_crash(s->g, id);
		return;
	}
	d->fail_at = d->ops + 1 + rng_below(&s->g->rng, 6);
	d->failure = (enum fake_failure)rng_below(&s->g->rng, 3);
}

/* Empties one disk at a time: the next only after the group reports the replacement as done. */
static void wipe_disk_action(struct schedule *s)
{
	u32 id = random_replica(s);

	if (s->wiped_id || !fake_group_leader(s->g))
		return;
	s->wiped_id = id;
	s->replace_since_us = s->g->now_us;
	fake_group_crash(s->g, id);
	fake_group_wipe_disk(s->g, id);
	fake_group_start(s->g, id);
}

static void replace_action(struct schedule *s)
{
	if (!s->wiped_id || fake_group_replace(s->g, s->wiped_id, s->replace_since_us) != 200)
		return;
	s->wiped_id = 0;
	s->replaced++;
}

static void transfer_action(struct schedule *s)
{
	u32 leader = fake_group_leader(s->g);

	if (leader)
		raft_transfer_leadership(fake_raft(s->g, leader), random_replica(s), s->g->now_us);
}

static void compact_action(struct schedule *s)
{
	struct fake_replica *f = &s->g->r[random_replica(s)];

	if (f->is_up && !f->is_ending && f->control.raft.role != RAFT_FORMING)
		raft_compact(&f->control.raft);
	if (f->is_ending)
		fake_group_crash(s->g, f->id);
}

static void propose_action(struct schedule *s)
{
	u32 leader = fake_group_leader(s->g);
	u32 id = leader && rng_below(&s->g->rng, 4) ? leader : random_replica(s);

	for (u32 n = 1 + rng_below(&s->g->rng, 3); n; n--)
		fake_group_propose(s->g, id);
}

static void read_action(struct schedule *s)
{
	u32 leader = fake_group_leader(s->g);

	fake_group_read(s->g, leader && rng_below(&s->g->rng, 2) ? leader : random_replica(s));
}

static void random_action(struct schedule *s)
{
	u32 dice = rng_below(&s->g->rng, 1000);

	if (dice < 450)
		propose_action(s);
	else if (dice < 650)
		read_action(s);
	else if (dice < 650 + s->crash_permille)
		crash_action(s);
	else if (dice < 720)
		fake_group_start(s->g, random_replica(s));
	else if (dice < 720 + s->cut_permille)
		cut_action(s);
	else if (dice < 770)
		fake_group_heal(s->g);
	else if (dice < 780)
		transfer_action(s);
	else if (dice < 820)
		compact_action(s);
	else if (dice < 824)
		wipe_disk_action(s);
	else if (dice < 900)
		replace_action(s);
}

static void clear_faults(struct schedule *s)
{
	fake_group_heal(s->g);
	s->g->drop_percent = 0;
	for (u32 id = 1; id <= s->g->n; id++) {
		if (s->g->r[id].is_ending)
			fake_group_crash(s->g, id);
		s->g->r[id].disk->fail_at = 0;
		fake_group_start(s->g, id);
	}
}

static void dump(struct fake_group *g)
{
	for (u32 id = 1; id <= g->n; id++) {
		struct raft *r = fake_raft(g, id);

		g_test_message("replica %u %" G_GUINT64_FORMAT " up %d role %d term %u leader %u "
			       "base %u snap %u last %u commit %u members %u at %u forming %u",
			       id, r->replica, g->r[id].is_up, r->role, (u32)r->term, r->leader,
			       (u32)r->base_index, (u32)r->snap_index,
			       g->r[id].is_up ? (u32)raft_last_index(r) : 0, (u32)r->commit,
			       r->members.n, (u32)r->members_index, r->founding.n);
		for (u32 i = 0; i < r->members.n; i++)
			g_test_message("  member %u %u voter %d next %u match %u",
				       r->members.m[i].id, (u32)r->members.m[i].replica,
				       r->members.m[i].is_voter, (u32)r->progress[i].next,
				       (u32)r->progress[i].match);
	}
}

/* Returns the first violation, to be freed, or NULL. */
static char *run_schedule(u64 seed, u64 *acked, u64 *reads, u64 *replaced)
{
	struct schedule s = { .seed = seed };
	u32 n = seed % 3 ? 3 : 5;
	char *violation;

	s.g = fake_group_new(n, seed);
	s.g->drop_percent = seed % 4 == 0 ? 20 : 2;
	s.g->duplicate_percent = 5;
	s.g->delay_max_us = seed % 5 == 0 ? 400000 : 20000;
	s.g->state_pad_bytes = seed % 2 ? 0 : 300;
	s.g->chunk_bytes = 128;
	s.g->retained_entries_max = seed % 7 ? 0 : 8;
	for (u32 id = 1; id <= n; id++) {
		fake_raft(s.g, id)->chunk_bytes = s.g->chunk_bytes;
		fake_raft(s.g, id)->retained_entries_max = s.g->retained_entries_max;
	}
	s.crash_permille = seed % 2 ? 4 : 16;
	s.cut_permille = seed % 3 ? 3 : 20;
	while (!s.g->violation && s.g->now_us < SPAN_US) {
		fake_group_run(s.g, 1000 + rng_below(&s.g->rng, 40000));
		random_action(&s);
	}
	clear_faults(&s);
	for (u32 i = 0; i < 400 && s.wiped_id && !s.g->violation; i++) {
		fake_group_run(s.g, 100 * US_PER_MS);
		replace_action(&s);
	}
	if (!s.g->violation && s.wiped_id)
		s.g->violation =
			g_strdup_printf("seed %u: the replacement does not finish", (u32)seed);
	if (!s.g->violation && !fake_group_settle(s.g, SETTLE_US) && !s.g->violation)
		s.g->violation = g_strdup_printf("seed %u: the group does not settle", (u32)seed);
	if (s.g->violation && g_getenv("RAFT_TEST_DUMP"))
		dump(s.g);
	*acked += s.g->acked;
	*reads += s.g->reads_done;
	*replaced += s.replaced;
	violation = g_strdup(s.g->violation);
	fake_group_free(s.g);
	return violation;
}

static void test_random_schedules(void)
{
	u64 acked = 0;
	u64 reads = 0;
	u64 replaced = 0;
	u32 violations = 0;
	const char *only = g_getenv("RAFT_TEST_SEED");
	u64 first = only ? g_ascii_strtoull(only, NULL, 10) : FIRST_SEED;
	u64 count = only ? 1 : SCHEDULES;

	for (u64 seed = first; seed < first + count; seed++) {
		g_autofree char *violation = run_schedule(seed, &acked, &reads, &replaced);

		if (violation && violations++ < 10)
			g_test_message("%s", violation);
	}
	g_test_message(
		"%u schedules, %u violations; %u changes acknowledged, %u reads, %u replacements",
		SCHEDULES, violations, (u32)acked, (u32)reads, (u32)replaced);
	g_assert_cmpuint(violations, ==, 0);
	g_assert_cmpuint(acked, >, SCHEDULES);
	g_assert_cmpuint(reads, >, SCHEDULES);
	g_assert_cmpuint(replaced, >, SCHEDULES / 20);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/raft/random-schedules", test_random_schedules);
	return g_test_run();
}
