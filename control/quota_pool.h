/*
 * quota_pool - the tokens of all organisations that have a limit
 *
 * The leader has a token bucket for each organisation, which refills at its rate. In no window may
 * more calls run than rate x window + burst + T, where T is the tolerance:
 * overage x (rate x window + burst) + slack. T is divided up, so that the bound holds while up to
 * two processes start to lead within a window:
 *
 * - T / 4 more than the burst fit into the bucket, as calls of many nodes arrive in clumps;
 * - T / 4 are the reserves of all processes together, for the time of an election;
 * - T / 8 are in the bucket of a new leader at its start; one that has led within the last window
 *   adds nothing to what it had left, however often it leads again;
 * - T / 4 are for calls that run later than their tokens were granted.
 *
 * Tokens that come back fill the bucket, but what was granted in the window less what came back in
 * it stays within what the bucket allows without that (quota_window).
 *
 * This is a state machine: the caller passes in the time.
 *
 * UNITS microseconds; nanotokens, so that a rate in thousandths a second fills them exactly
 * SOURCE control/quota_pool.c, control/quota_window.c (what was granted in the window)
 */
#ifndef QUOTA_POOL_H
#define QUOTA_POOL_H

#include "lib/set.h"
#include "wire/quota.h"

struct quota_pool_settings {
	u64 window_us;
	u64 overage_permille;
	u64 slack;
};

enum quota_role {
	QUOTA_ALONE, /* no fresh leader is known */
	QUOTA_FOLLOWER,
	QUOTA_LEADER,
	QUOTA_PAUSED, /* leads, but is not fresh: nobody else has led since it was */
};

struct quota_pool {
	struct quota_pool_settings settings;
	GHashTable *buckets; /* organisation -> struct quota_bucket */
	u32 processes; /* that share the reserves */
	enum quota_role role;
	u64 role_us; /* since when it has this role */
	bool leads; /* its buckets are in force: QUOTA_LEADER, or QUOTA_PAUSED since then */
	u64 led_us; /* when it last stopped leading; 0: never */
	/* Whether it may grant reserves: it has followed a fresh leader for a window since it led.
	 */
	bool has_reserve;
	u64 reserve_used_us; /* when they were last granted; 0: not since they were filled */
	u32 reserve; /* how often the reserves were filled */
};

void quota_pool_init(struct quota_pool *p, const struct quota_pool_settings *settings);
void quota_pool_clear(struct quota_pool *p);

/* quota_pool_set_role - to be called before each request, and several times a second. */
void quota_pool_set_role(struct quota_pool *p, enum quota_role role, u64 now_us);

/* quota_pool_set_limits - takes the limits of SET (may be NULL), and how many PROCESSES share. */
void quota_pool_set_limits(struct quota_pool *p, const struct set *set, u32 processes, u64 now_us);

/*
 * quota_pool_request - answers REQUEST in GRANT, which is initialized: the leader from the buckets,
 * others from their reserves. Organisations without a limit get all that they ask for from the
 * leader, and nothing from others, whose set may be old.
 */
void quota_pool_request(struct quota_pool *p, const struct quota_request *request,
			struct quota_grant *grant, u64 now_us);

#endif
