/*
 * set_frame - routes, services and organisations of a set in frames from control to nodes, and
 * their checksum
 *
 * A frame holds what a node uses, and no more: the name of a route and the maximum of connections
 * of a service are left out. A route is written as the difference to the one before it in the
 * frame.
 *
 * SOURCE lib/set_frame.c (routes, services), lib/set_frame_organisation.c
 */
#ifndef SET_FRAME_H
#define SET_FRAME_H

#include "lib/frame.h"
#include "lib/set.h"

/*
 * set_route_key_hash - returns the hash of the host in lower case and the prefix, which identify
 * the route in the set.
 */
u64 set_route_key_hash(const struct set_route *r);

/*
 * set_route_hash, set_service_hash, set_organisation_hash - return the hash of everything that a
 * frame holds of it. The checksum of a set is the sum of the hashes of all of these.
 */
u64 set_route_hash(const struct set_route *r);
u64 set_service_hash(const struct set_service *s);
u64 set_organisation_hash(const struct set_organisation *o);

/*
 * set_route_compare - orders routes, passed as in an array of pointers, so that most of them differ
 * little from the one before. Two routes of a set are never equal.
 */
int set_route_compare(const void *a, const void *b);

/* set_route_put - writes R; PREVIOUS is the route before it in the frame, or NULL. */
void set_route_put(struct frame_out *f, const struct set_route *r,
		   const struct set_route *previous);

/*
 * set_route_get - returns a new route with an empty name, and the host in lower case. Returns NULL
 * and sets in->err if it is malformed.
 */
struct set_route *set_route_get(struct frame_in *in, const struct set_route *previous);

void set_service_put(struct frame_out *f, const struct set_service *s);

/* set_service_get - returns a new service; NULL and in->err if it is malformed. */
struct set_service *set_service_get(struct frame_in *in);

void set_organisation_put(struct frame_out *f, const struct set_organisation *o);

/* set_organisation_get - returns a new organisation; NULL and in->err if it is malformed. */
struct set_organisation *set_organisation_get(struct frame_in *in);

#endif
