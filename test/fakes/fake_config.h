/*
 * fake_config - control's part of a configuration, without links: a store and the frames made of it
 *
 * SOURCE test/fakes/fake_config.c
 */
#ifndef FAKE_CONFIG_H
#define FAKE_CONFIG_H

#include "control/config_stream.h"
#include "node/watch_impl.h"

struct fake_config {
	struct store store;
	struct config_frames frames;
};

/* What a node spent on the frames of one difference. */
struct fake_config_cost {
	u32 frames;
	size_t link_bytes; /* of the stream, compressed */
	size_t plain_bytes;
	size_t longest_plain_bytes; /* of one frame */
	u64 decoded_bytes; /* by the counter config-bytes */
	u64 most_decoded_bytes; /* in one frame */
	u64 busy_us; /* processor time */
	u64 longest_us; /* of one frame */
	u64 made_us; /* processor time of control, to make the frames */
};

void fake_config_init(struct fake_config *c);
void fake_config_clear(struct fake_config *c);

/* fake_config_cpu_us - returns the processor time of the calling thread. */
u64 fake_config_cpu_us(void);

/* fake_config_text - returns a set whose routes have TIMEOUT_MS; CHANGED has 1 ms more. */
char *fake_config_text(u32 version, u32 routes, u32 changed, u32 timeout_ms);

/* fake_config_replace - declares TEXT as the set of VERSION, which must be one higher. */
void fake_config_replace(struct fake_config *c, u64 version, const char *text);

/*
 * fake_config_give - gives W the frames from the revision in force to the newest. Runs on the loop
 * of the node.
 */
void fake_config_give(struct fake_config *c, struct watch *w, struct fake_config_cost *cost);

/*
 * fake_config_give_stream - the same in the parts in which the frames go over a link; the cost is
 * that of turns, as many as each part takes, in place of frames.
 */
void fake_config_give_stream(struct fake_config *c, struct watch *w, struct fake_config_cost *cost);

/*
 * fake_config_declare - puts a configuration of the N services in JSON into force, in this process
 * and without frames. It replaces the one in force.
 */
void fake_config_declare(u64 revision, const char *const *json, size_t n);

/* fake_config_put_set - the same with the set JSON, beside the services that were declared. */
void fake_config_put_set(u64 revision, const char *json);

#endif
