/*
 * ctl - frame types between nodes and control processes, and between control processes
 *
 * node to control:    CTL_REGISTER entry; CTL_RENEW applied revision;
 *                     CTL_WATCH configuration revision; CTL_WANT services
 * control to node:    CTL_CONFIG, CTL_SET_DELTA, CTL_VIEW, CTL_FRESH, CTL_MEMBERS,
 *                     CTL_PACKED
 * control to control: CTL_RAFT, CTL_COPY, CTL_BEAT, CTL_FORWARD, CTL_FORWARDED, CTL_JOIN,
 *                     CTL_MEMBERS
 */
#ifndef CTL_H
#define CTL_H

#include "kernel/link.h"

#define CTL_RENEW_INTERVAL_US (1 * US_PER_S)
#define CTL_FRESH_INTERVAL_US (250 * US_PER_MS)
/*
 * A control process is fresh while its leader was heard within this time: some
 * heartbeats, and short enough that a node which follows a process that was cut
 * off finds another one before a change must be in force.
 */
#define CTL_LEASE_US (600 * US_PER_MS)
#define CTL_ITEMS_PER_FRAME 256
/* Services that one node may want. */
#define CTL_WANTED_MAX 4096
#define CTL_NAME_MAX_BYTES 256
/* Changes of the directory within this time are sent together. */
#define CTL_SPREAD_DELAY_US (50 * US_PER_MS)
/* Changed applied revisions are reported after this time, else once a second. */
#define CTL_BEAT_DELAY_US (100 * US_PER_MS)

enum ctl_type {
	CTL_REGISTER = LINK_TYPE_FIRST,
	CTL_RENEW, /* applied revision */
	CTL_WATCH, /* revision the node has */
	CTL_CONFIG, /* revision, is_snapshot, is_last, count, {name, version, revision, is_live,
		       json} */
	CTL_SET_DELTA, /* revision, revision it builds on, version, checksum of the text, delta */
	CTL_WANT, /* count, {service}: all that the node calls */
	CTL_VIEW, /* nodes in the directory, count, {answered service}, count, {is_dropped, entry}
		   */
	CTL_FRESH, /* is_fresh, revision */
	CTL_RAFT, /* a raft message */
	CTL_BEAT, /* count, {control id, incarnation, beat, report} */
	CTL_COPY, /* count, {entry, owner, its incarnation, owner_rev, is_withdrawn} */
	CTL_FORWARD, /* request id, operation, argument */
	CTL_FORWARDED, /* request id, result fields */
	CTL_MEMBERS, /* count, {host, port}: the control processes of the group */
	CTL_PACKED, /* length, bytes: another frame to a node, packed */
	CTL_JOIN, /* control id, its data folder, host, port, is_first: asks for membership */
};

#endif
