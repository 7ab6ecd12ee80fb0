/*
 * endpoint - an address and port in a frame
 *
 * SOURCE wire/endpoint.c
 */
#ifndef ENDPOINT_H
#define ENDPOINT_H

#include "lib/frame.h"
#include "lib/settings.h"

/* endpoint_put - append E; endpoint_get - read it back, an error stays in IN. */
void endpoint_put(struct frame_out *f, const struct endpoint *e);
void endpoint_get(struct frame_in *in, struct endpoint *e);

#endif
