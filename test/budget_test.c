/* The token bucket and the probe budget never exceed their limits in any second. */
#include "lib/ctr.h"
#include "lib/rng.h"
#include "node/budget.h"
#include "node/probe.h"

#include <string.h>

struct withdrawal {
	u64 at_us;
	u64 tokens;
};

static void use_service(struct choose *c, const char *service, u64 now_us)
{
	struct choose_call call = { .service = service, .worth = 1 };

	choose_pick(c, &call, now_us);
}

/*
 * Reference computation: returns the largest sum in any one-second window, trying a window
 * that starts at each entry.
 */
static u64 max_per_second(const GArray *log)
{
	u64 max = 0;

	for (guint i = 0; i < log->len; i++) {
		u64 from = g_array_index(log, struct withdrawal, i).at_us;
		u64 sum = 0;

		for (guint k = i; k < log->len; k++) {
			const struct withdrawal *s = &g_array_index(log, struct withdrawal, k);

			if (s->at_us >= from + US_PER_S)
				break;
			sum += s->tokens;
		}
		max = MAX(max, sum);
	}
	return max;
}

/*
 * Returns the time of the next step: usually at most 20 ms later, at times at the same time, after
 * a pause or after a stall of 10 minutes.
 */
static u64 next_time(struct rng *rng, u64 now_us)
{
	switch (rng_below(rng, 50)) {
	case 0:
		return now_us + rng_below(rng, 3 * US_PER_S);
	case 1:
		return now_us + 600 * US_PER_S;
	case 2:
		return now_us;
	default:
		return now_us + rng_below(rng, 20 * US_PER_MS);
	}
}

static void test_limit_in_any_second(void)
{
	static const u64 limits[] = { 0, 1, 2, 3, 20, 1000, 4096 };

	for (guint k = 0; k < G_N_ELEMENTS(limits); k++)
		for (u64 depth = 1; depth <= limits[k] + 1; depth = depth * 3 + 1) {
			g_autoptr(GArray) log =
				g_array_new(FALSE, FALSE, sizeof(struct withdrawal));
			struct rng rng = { k * 100 + depth };
			struct budget b;
			u64 now = US_PER_S;
			u64 sum = 0;

			budget_init(&b, limits[k], depth, now);
			for (u32 i = 0; i < 4000; i++) {
				struct withdrawal s = { now, 1 + rng_below(&rng, 3) };

				if (budget_take(&b, s.tokens, now)) {
					g_array_append_val(log, s);
					sum += s.tokens;
				}
				now = next_time(&rng, now);
			}
			g_assert_cmpuint(max_per_second(log), <=, limits[k]);
			g_assert_cmpuint(b.taken, ==, sum);
			g_assert_cmpuint(b.denied, ==, 4000 - log->len);
		}
}

/* A budget under constant demand yields close to its limit. */
static void test_yields_its_limit(void)
{
	struct budget b;
	u64 taken = 0;

	budget_init(&b, 20, 5, US_PER_S);
	for (u64 now = US_PER_S; now < 101 * US_PER_S; now += US_PER_MS)
		taken += budget_take(&b, 1, now);
	g_assert_cmpuint(taken, >=, 100ULL * 20 * 75 / 100);
	g_assert_cmpuint(taken, <=, 100ULL * 20);
}

static void test_clock_steps_back(void)
{
	struct budget b;
	u64 taken = 0;

	budget_init(&b, 10, 10, 100 * US_PER_S);
	for (u32 i = 0; i < 100; i++)
		taken += budget_take(&b, 1, 50 * US_PER_S);
	g_assert_cmpuint(taken, ==, 10);
}

static void announce(struct choose *c, u32 i)
{
	char name[32];
	char service[32];
	struct dir_entry e = { .node = name,
			       .zone = (char *)"z",
			       .region = (char *)"r",
			       .incarnation = 1,
			       .version = 1,
			       .state = DIR_UP,
			       .service = service,
			       .slots = 12 };

	g_snprintf(name, sizeof(name), "10.0.%u.%u:1", i / 256, i % 256);
	g_snprintf(service, sizeof(service), "service-%u", i % 40);
	choose_set_entry(c, &e, US_PER_S);
	use_service(c, service, US_PER_S);
}

struct probing {
	struct choose choose;
	struct probe probe;
	GArray *count; /* of struct withdrawal: probes and answers */
	GArray *bytes; /* of struct withdrawal */
};

static void probing_init(struct probing *p)
{
	choose_init(&p->choose, "10.9.9.9:1", "z", "r", 3, US_PER_S);
	probe_init(&p->probe, 20, 4096, US_PER_S);
	for (u32 i = 0; i < 600; i++)
		announce(&p->choose, i);
	p->count = g_array_new(FALSE, FALSE, sizeof(struct withdrawal));
	p->bytes = g_array_new(FALSE, FALSE, sizeof(struct withdrawal));
}

static void probing_clear(struct probing *p)
{
	choose_clear(&p->choose);
	g_array_unref(p->count);
	g_array_unref(p->bytes);
}

/* Logs a probe or an answer. */
static void log_probe(struct probing *p, u64 now_us)
{
	struct withdrawal one = { now_us, 1 };
	struct withdrawal bytes = { now_us, PROBE_FRAME_BYTES + PROBE_LOAD_BYTES };

	g_array_append_val(p->count, one);
	g_array_append_val(p->bytes, bytes);
}

static void use_all_services(struct probing *p, u64 now_us)
{
	char service[32];

	for (u32 i = 0; i < 40; i++) {
		g_snprintf(service, sizeof(service), "service-%u", i);
		use_service(&p->choose, service, now_us);
	}
}

/* The limits hold for own probes over 40 services and answers to other nodes together. */
static void test_probes_over_all_services(void)
{
	struct probing p;
	struct rng rng = { 5 };
	u64 now = US_PER_S;
	u64 bytes_before = ctr_get(CTR_PROBE_BYTES);
	u32 sent = 0;

	probing_init(&p);
	for (u32 i = 0; i < 4000; i++) {
		use_all_services(&p, now);
		while (probe_next(&p.probe, &p.choose, now)) {
			log_probe(&p, now);
			sent++;
		}
		for (u32 k = rng_below(&rng, 4); k > 0; k--)
			if (probe_admit_answer(&p.probe, now))
				log_probe(&p, now);
		now = next_time(&rng, now);
	}
	g_assert_cmpuint(sent, >, 0);
	g_assert_cmpuint(sent, <, p.count->len);
	g_assert_cmpuint(max_per_second(p.count), <=, 20);
	g_assert_cmpuint(max_per_second(p.bytes), <=, 4096);
	g_assert_cmpuint(ctr_get(CTR_PROBE_BYTES) - bytes_before, ==,
			 p.count->len * (PROBE_FRAME_BYTES + PROBE_LOAD_BYTES));
	g_assert_cmpuint(ctr_get(CTR_PROBE_DENIED), >, 0);
	probing_clear(&p);
}

/* An upstream whose load a reply has just reported is not probed. */
static void test_known_loads_are_not_probed(void)
{
	struct probing p;
	struct peer_load load = { .limit = 12 };
	GHashTableIter iter;
	gpointer value;

	probing_init(&p);
	g_hash_table_iter_init(&iter, p.choose.targets);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		choose_set_load(value, &load, 2 * US_PER_S);
	use_all_services(&p, 2 * US_PER_S);
	g_assert_null(probe_next(&p.probe, &p.choose, 2 * US_PER_S));
	g_assert_nonnull(probe_next(&p.probe, &p.choose, 3 * US_PER_S));
	/* Upstreams of services that were not called recently are not probed. */
	g_assert_null(probe_next(&p.probe, &p.choose, 60 * US_PER_S));
	probing_clear(&p);
}

/* The frames are no larger than the sizes that the budget counts. */
static void test_frames_are_within_their_cost(void)
{
	struct peer_load load;
	FRAME_AUTO(probe, PEER_PROBE);
	FRAME_AUTO(answer, PEER_LOAD);

	memset(&load, 0xff, sizeof(load));
	load.is_draining = true;
	load.nwaits = PEER_WAITS_MAX;
	peer_load_put(&answer, &load);
	g_assert_cmpuint(frame_end(&probe), <=, PROBE_FRAME_BYTES);
	g_assert_cmpuint(frame_end(&answer), <=, PROBE_LOAD_BYTES);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/budget/any-second", test_limit_in_any_second);
	g_test_add_func("/budget/yields-its-limit", test_yields_its_limit);
	g_test_add_func("/budget/clock-back", test_clock_steps_back);
	g_test_add_func("/budget/all-services", test_probes_over_all_services);
	g_test_add_func("/budget/known-loads", test_known_loads_are_not_probed);
	g_test_add_func("/budget/frame-cost", test_frames_are_within_their_cost);
	return g_test_run();
}
