/*
 * mesh_impl - what the files of mesh share
 *
 * SOURCE node/mesh.c (links and their frames), node/mesh_message.c (calls and replies in parts),
 * node/mesh_idle.c (closing of unused links)
 */
#ifndef MESH_IMPL_H
#define MESH_IMPL_H

#include "node/node.h"

struct mesh_peer {
	struct node *node;
	char *name;
	struct link *link;
	struct loop_timer redial;
	GHashTable *partial_messages; /* call id -> struct partial_message */
	u64 last_call_us; /* of an accepted link: when the last call arrived, or the link came up */
	bool is_load_stale; /* of an accepted link: the load has changed since it was sent */
	u64 silence_us; /* of a dialled link: how long the peer has owed a sign of life */
	bool is_silent; /* of a dialled link: the peer gets no new calls until it is heard */
};

struct mesh {
	struct link_listener *listener;
	GHashTable *dialled; /* name -> struct mesh_peer */
	GPtrArray *accepted; /* of struct mesh_peer */
	u64 checked_us; /* when silent peers were last looked for */
};

/* mesh_partial_messages_new - returns an empty table of messages whose bodies are incomplete. */
GHashTable *mesh_partial_messages_new(void);

/* mesh_receive_call, mesh_receive_reply, mesh_receive_body - handle a frame of the peer M. */
int mesh_receive_call(struct mesh_peer *m, struct frame_in *in);
int mesh_receive_reply(struct mesh_peer *m, struct frame_in *in);
int mesh_receive_body(struct mesh_peer *m, struct frame_in *in);

#endif
