/*
 * watch_impl - what the sources of the link to control share
 *
 * SOURCE node/watch.c (links), node/watch_stream.c (configuration in parts), node/watch_config.c
 * (its frames), node/watch_view.c (the directory)
 */
#ifndef WATCH_IMPL_H
#define WATCH_IMPL_H

#include "node/config_receive.h"
#include "node/confirmation.h"
#include "node/node.h"
#include "node/trial_order.h"
#include "wire/ctl.h"

struct control_link {
	struct watch *w;
	struct link *link;
	struct trial_candidate *candidate;
	u64 start_us;
	u64 last_fresh_us; /* when the control process was last fresh; 0 if never */
	u64 freshness_sent_us; /* when its last freshness report was sent; 0 before the first */
	u64 freshness_at_bytes; /* bytes received before that report */
};

/* What the revision that is being received has cost so far. */
struct config_work {
	u64 began_us; /* when its first frame arrived; 0 between revisions */
	u32 frames;
	u64 busy_us; /* time spent in handling them */
	u64 longest_us; /* the longest time spent in one frame */
};

struct watch {
	struct node *node;
	struct control_link main;
	struct control_link trial;
	struct trial_order trials;
	struct loop_timer timer;
	u64 tick_due_us;
	bool has_stalled; /* the last tick came late and checked nothing */
	u64 renew_due_us;
	struct loop_timer reset_timer; /* set when an earlier start has a higher incarnation */
	u64 known_incarnation; /* of that start */
	u64 removal_due_us; /* when unreported nodes are removed; 0 when done */
	GHashTable *reported; /* nodes reported by the main control process */
	GHashTable *subscriptions; /* service -> whether its upstreams were received */
	u32 node_count; /* in the directory */
	struct config_build *build; /* the configuration that is being received, or NULL */
	struct config_work config_work;
	u64 newest_revision; /* the highest that was named, by control or by a peer */
	struct confirmation confirmation; /* by reports of fresh control processes */
	u64 requested_us; /* when the configuration was last requested */
	u64 request; /* number of the last request for the configuration */
	struct config_receive receive;
	struct loop_timer work_timer; /* set while parts of a configuration wait */
	bool is_request_due; /* for the configuration, once these were handled */
	bool was_linked;
};

/*
 * watch_config_frame - handles one CTL_CONFIG frame. What has been received stays when the link
 * changes, and is discarded when another configuration begins. An error closes the link.
 */
int watch_config_frame(struct watch *w, struct frame_in *in);

/* watch_config_begin - discards what was received of a configuration that is not complete. */
void watch_config_begin(struct watch *w);

/*
 * watch_request_config - drops the rest of the configuration that is being received, and requests
 * the changes since revision HAVE; 0 requests the whole.
 */
void watch_request_config(struct watch *w, u64 have);

/* watch_send_renew - reports the revision in force. */
void watch_send_renew(struct watch *w);

/* watch_subscribe_configured_services - subscribes to all services of a small configuration. */
void watch_subscribe_configured_services(struct watch *w);

bool watch_is_up(const struct control_link *s);

/* watch_on_config_part - handles CTL_CONFIG_PART. */
int watch_on_config_part(struct control_link *s, struct frame_in *in);
void watch_stream_init(struct watch *w);
void watch_stream_clear(struct watch *w);

/* watch_lose_control - closes the main link, with ERR as the reason. */
void watch_lose_control(struct watch *w, int err);

/*
 * watch_resume_config - requests the rest of the configuration of which the node has a part, or the
 * changes since HAVE; not before the parts that wait were handled.
 */
void watch_resume_config(struct watch *w, u64 have);

/* watch_unfinished_bytes - returns what was received of a configuration that is not complete. */
u64 watch_unfinished_bytes(const struct watch *w);

/* watch_on_view - handles CTL_VIEW. */
int watch_on_view(struct watch *w, struct frame_in *in);

/* watch_resend_subscriptions - requests all services again, from a new control process. */
void watch_resend_subscriptions(struct watch *w);

/*
 * watch_remove_unreported - removes nodes that left while no control process was linked: the new
 * one never reports them.
 */
void watch_remove_unreported(struct watch *w);

#endif
