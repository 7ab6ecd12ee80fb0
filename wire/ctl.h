/*
 * ctl - frame types exchanged with and between control processes
 *
 * node to control:    CTL_REGISTER, CTL_RENEW, CTL_WATCH, CTL_SUBSCRIBE, CTL_CONFIG_ACK,
 *                     CTL_VIEW_ACK, CTL_QUOTA_REQUEST
 * control to node:    CTL_CONFIG_PART, CTL_VIEW, CTL_FRESHNESS, CTL_MEMBERS, CTL_WITHDRAWAL,
 *                     CTL_INCARNATION, CTL_QUOTA_GRANT
 * inside CTL_CONFIG_PART: CTL_CONFIG
 * control to control: CTL_RAFT, CTL_DIRECTORY, CTL_HEARTBEAT, CTL_FORWARD,
 *                     CTL_FORWARD_RESULT, CTL_JOIN, CTL_LEAVE, CTL_MEMBERS, CTL_BULK,
 *                     CTL_BULK_ACK, CTL_QUOTA_FORWARD, CTL_QUOTA_FORWARD_GRANT
 * inside CTL_BULK:    CTL_RAFT, CTL_DIRECTORY, CTL_FORWARD
 *
 * SOURCE wire/ctl.c
 */
#ifndef CTL_H
#define CTL_H

#include "kernel/link.h"

#include <glib.h>

#define CTL_RENEW_INTERVAL_US (1 * US_PER_S)
#define CTL_FRESHNESS_INTERVAL_US (250 * US_PER_MS)
/*
 * A control process is fresh if its leader sent within this time what it has applied; see
 * raft_is_fresh. It spans a few heartbeats, and is short enough that a node connected to a
 * partitioned process switches to another one before a change has to be in force.
 */
#define CTL_LEASE_US (600 * US_PER_MS)
#define CTL_ITEMS_PER_FRAME 256
/* Services that one node may subscribe to. */
#define CTL_SUBSCRIPTIONS_MAX 4096
/* Directory changes are batched for this time before they are sent. */
#define CTL_PROPAGATE_DELAY_US (50 * US_PER_MS)
/*
 * A change of a node's applied revision is reported after this time; without one, reports are
 * sent once a second.
 */
#define CTL_HEARTBEAT_DELAY_US (100 * US_PER_MS)

enum ctl_type {
	CTL_REGISTER = LINK_TYPE_FIRST, /* the node's directory entry, its withdrawal */
	CTL_RENEW, /* applied configuration revision */
	CTL_WATCH, /* what the node has and wants, see wire/config_part.h */
	CTL_CONFIG, /* {step, its fields}, inside a stream: see enum ctl_config_step */
	CTL_SUBSCRIBE, /* is_whole, count, {service}: all services that the node calls, or more */
	CTL_VIEW, /* whether it has to be answered, nodes in the directory, count,
		     {service sent completely}, count, {is_dropped, entry} */
	CTL_FRESHNESS, /* is_fresh, configuration revision, time of sending */
	CTL_RAFT, /* Raft message */
	CTL_HEARTBEAT, /* count, {control id, incarnation, heartbeat number, age, report} */
	CTL_DIRECTORY, /* count, {entry, owner, owner's incarnation, owner_rev, has_expired,
			  withdrawal} */
	CTL_FORWARD, /* request id, operation, argument */
	CTL_FORWARD_RESULT, /* request id, outcome, result */
	CTL_MEMBERS, /* count, {host, port}: the members of the group */
	CTL_JOIN, /* control id, replica id, host, port: requests membership */
	CTL_CONFIG_PART, /* part of a configuration stream, see wire/config_part.h */
	CTL_VIEW_ACK, /* answers a view */
	CTL_CONFIG_ACK, /* request number, bytes of the stream that were received */
	CTL_BULK, /* lane, offset, bytes: part of long messages, see control/bulk.h */
	CTL_BULK_ACK, /* lane, bytes of it that were handled */
	CTL_WITHDRAWAL, /* the newest withdrawal of the node, which did not send it */
	CTL_INCARNATION, /* incarnation of an earlier start of the node, above that of this one */
	CTL_LEAVE, /* control id, replica id: its process is about to end */
	CTL_QUOTA_REQUEST, /* struct quota_request */
	CTL_QUOTA_GRANT, /* struct quota_grant */
	CTL_QUOTA_FORWARD, /* node, its incarnation, its struct quota_request */
	CTL_QUOTA_FORWARD_GRANT, /* node, its incarnation, the struct quota_grant for it */
};

/*
 * The steps from one revision of the configuration to another, in one CTL_CONFIG frame or several.
 * The difference from nothing is the whole configuration.
 */
enum ctl_config_step {
	CTL_CONFIG_BEGIN = 1, /* revision, base revision or 0 */
	CTL_CONFIG_DECLARE, /* name, version, json: a service that was declared on its own */
	CTL_CONFIG_UNDECLARE, /* name */
	CTL_CONFIG_SET, /* version, limits: head_bytes, body_bytes, head_ and idle_timeout_ms;
			   whether there is a list of organisations */
	CTL_CONFIG_SERVICE, /* a service of the set */
	CTL_CONFIG_DROP_SERVICE, /* pmap_hash of its name */
	CTL_CONFIG_ROUTE, /* a route, as difference to the one before it in the frame */
	CTL_CONFIG_DROP_ROUTE, /* set_route_key_hash */
	CTL_CONFIG_END, /* checksum, routes, services, organisations of the set: brings it into
			   force */
	CTL_CONFIG_ORGANISATION, /* an organisation of the set */
	CTL_CONFIG_DROP_ORGANISATION, /* pmap_hash of its name */
	CTL_CONFIG_EVACUATE, /* zone whose upstreams get no calls */
	CTL_CONFIG_RESTORE, /* zone that is no longer evacuated */
};

/* ctl_frame_new, ctl_frame_free - a frame on the heap; ctl_frame_free suits GPtrArray. */
struct frame_out *ctl_frame_new(enum ctl_type type);
void ctl_frame_free(gpointer frame);

#endif
