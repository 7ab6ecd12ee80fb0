/*
 * api - the resource interface over HTTP
 *
 * SOURCE control/api.c, control/api_watch.c
 */
#ifndef API_H
#define API_H

#include "control/control.h"

#include <civetweb.h>
#include <jansson.h>

/* api_add_in_force - set "status" of OBJ. */
void api_add_in_force(struct control *c, json_t *obj);

/* api_dump - OBJ as one line, to be freed with g_free; drops the reference. */
char *api_dump(json_t *obj);

bool api_is_get(struct mg_connection *conn);
int api_on_watch(struct mg_connection *conn, void *control);

#endif
