/*
 * fake_node - a real node in the test process, without control processes
 *
 * The test sets its configuration and directory.
 *
 * SOURCE test/fakes/fake_node.c
 */
#ifndef FAKE_NODE_H
#define FAKE_NODE_H

#include "node/node.h"

struct fake_node {
	struct settings settings;
	struct node *node;
	const struct dialect *dialect; /* NULL for the product's own */
};

#define FAKE_NODE_BODY_MAX_BYTES 65536

/*
 * fake_node_start - starts a node configured with the service sightings and its ranks checklist
 * (POST) and page (idempotent).
 */
void fake_node_start(struct fake_node *f);

/* fake_node_prepare, fake_node_run - the same in two steps, to change settings in between. */
void fake_node_prepare(struct fake_node *f);
void fake_node_run(struct fake_node *f);
void fake_node_stop(struct fake_node *f);

/* fake_node_set_directory_entry - sets the directory entry of node NAME, which serves sightings. */
void fake_node_set_directory_entry(struct fake_node *f, const char *name, u64 incarnation,
				   enum dir_state state);

/* fake_node_announce_upstream - announces the node's own upstream on PORT. */
void fake_node_announce_upstream(struct fake_node *f, u16 port, u32 slots);

#endif
