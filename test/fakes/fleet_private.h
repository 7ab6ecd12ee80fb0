/* fleet_private - what the parts of the driver share: fleet.c, fleet_home.c, fleet_entry.c. */
#ifndef FLEET_PRIVATE_H
#define FLEET_PRIVATE_H

#include "test/fakes/fleet.h"

#include "node/admit.h"
#include "node/choose.h"
#include "node/hedge.h"
#include "node/probe.h"
#include "node/retry.h"
#include "node/shed.h"

#define SERVICE "sightings"
#define SAME_NODE_US 20
#define SAME_ZONE_US 100
#define OTHER_ZONE_US (1 * US_PER_MS)
#define TICK_US (10 * US_PER_MS)
#define PROBE_TICK_US (50 * US_PER_MS)
#define COLD_US (2 * US_PER_S)
#define ERROR_US 200
#define REQUEST_BYTES 2048

struct fleet;
struct attempt;

enum event_kind {
	ARRIVE,
	AT_HOME,
	DONE,
	REPLY,
	REFUSAL,
	CANCEL,
	HEDGE,
	TICK,
	PROBE,
	ASKED,
	TOLD,
	SHIFT,
	RECOVER
};

struct event {
	u64 at_us;
	u64 seq;
	enum event_kind kind;
	u32 n; /* rank, target or entry node */
	void *arg;
};

struct call {
	u32 rank;
	u32 entry;
	u64 arrived_us;
	u64 deadline_us;
	u32 tries;
	GPtrArray *tried;
	struct attempt *running[2];
	bool is_done;
};

struct attempt {
	struct admit_req req; /* first */
	struct call *call;
	u32 target;
	u64 sent_us;
	bool is_over; /* at the home node */
	bool is_error;
	double work_us; /* left, at full speed */
	u64 worked_us; /* when that was so */
	u64 done_seq; /* of the event that ends it */
	enum ctr reason;
	struct peer_load load;
};

struct home {
	struct admit admit;
	GQueue fifo;
	GPtrArray *running; /* of struct attempt */
	u32 slowness;
	u64 joined_us;
};

struct entry {
	struct choose choose;
	struct probe probe;
	struct retry_budget budget;
	struct hedge hedge;
	struct shed shed;
	u32 next; /* round robin */
	u32 polled[FLEET_TARGETS_MAX];
	u32 to_poll;
};

struct told {
	u32 entry;
	u32 target;
	struct peer_load load;
};

struct fleet {
	const struct fleet_plan *plan;
	struct fleet_result *result;
	struct rng rng; /* arrivals and service times */
	struct rng choice;
	struct rng shift;
	GArray *heap;
	u64 seq;
	u64 now_us;
	struct home homes[FLEET_TARGETS_MAX];
	struct entry entries[FLEET_ENTRIES_MAX];
	GPtrArray *garbage;
	GPtrArray *calls;
};

bool fleet_is_ours(const struct fleet *f);
bool fleet_is_measured(const struct fleet *f, const struct call *c);

/* Events */

void fleet_post(struct fleet *f, u64 at_us, enum event_kind kind, u32 n, void *arg);
u64 fleet_exponential(struct rng *r, double mean);
u64 fleet_delay_us(u32 entry, u32 target);

/* Home nodes */

void fleet_set_slowness(struct fleet *f, u32 target, u32 percent);
void fleet_start_next(struct fleet *f, u32 target);
void fleet_on_home(struct fleet *f, struct attempt *a);
void fleet_on_done(struct fleet *f, struct attempt *a, u64 seq);
void fleet_on_cancel(struct fleet *f, struct attempt *a);
void fleet_on_poll(struct fleet *f, struct told *t);

/* Entry nodes */

void fleet_on_arrive(struct fleet *f, u32 rank);
void fleet_on_reply(struct fleet *f, struct attempt *a);
void fleet_on_refusal(struct fleet *f, struct attempt *a);
void fleet_on_hedge(struct fleet *f, struct call *c);
void fleet_on_poll_reply(struct fleet *f, struct told *t);
void fleet_on_probe(struct fleet *f, u32 entry);

#endif
