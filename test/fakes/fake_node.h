/*
 * fake_node - a real node in the test's process, without control processes
 *
 * Its configuration and directory are set by the test.
 *
 * SOURCE test/fakes/fake_node.c
 */
#ifndef FAKE_NODE_H
#define FAKE_NODE_H

#include "node/node.h"

struct fake_node {
	struct settings settings;
	struct node *node;
};

#define FAKE_NODE_BODY_MAX_BYTES 65536

/* fake_node_start - with the service sightings: ranks checklist (POST) and page (idempotent). */
void fake_node_start(struct fake_node *f);

/* fake_node_prepare, fake_node_run - the same in two steps, to change the settings between. */
void fake_node_prepare(struct fake_node *f);
void fake_node_run(struct fake_node *f);
void fake_node_stop(struct fake_node *f);

/* fake_node_directory - tell it the state of the node NAME, which serves sightings. */
void fake_node_directory(struct fake_node *f, const char *name, u64 incarnation,
			 enum dir_state state);

/* fake_node_announce - an upstream beside it. */
void fake_node_announce(struct fake_node *f, u16 port, u32 slots);

#endif
