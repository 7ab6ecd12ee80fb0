/*
 * endpoint - encoding of an address and port in a frame
 *
 * SOURCE wire/endpoint.c
 */
#ifndef ENDPOINT_H
#define ENDPOINT_H

#include "lib/frame.h"
#include "lib/settings.h"

/* endpoint_put - encode E; endpoint_get - decode into E; a bad field sets the error of IN */
void endpoint_put(struct frame_out *f, const struct endpoint *e);
void endpoint_get(struct frame_in *in, struct endpoint *e);

#endif
