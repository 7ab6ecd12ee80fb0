/*
 * raw_server - a TCP server on a thread, whose answers the test writes byte by byte
 *
 * Each accepted connection runs SERVE on the server's thread, one after the other.
 *
 * SOURCE test/fakes/raw_server.c
 */
#ifndef RAW_SERVER_H
#define RAW_SERVER_H

#include "lib/types.h"

#include <glib.h>

struct raw_server;

/* raw_serve - serve one connection; NTH counts from 1. The server closes FD afterwards. */
typedef void (*raw_serve)(struct raw_server *s, int fd, u32 nth);

struct raw_server {
	u16 port; /* chosen by the system */
	raw_serve serve;
	void *arg;
	int fd;
	GThread *thread;
	gint requests; /* whole requests read by raw_read_request */
};

void raw_start(struct raw_server *s, raw_serve serve, void *arg);
void raw_stop(struct raw_server *s);

/* raw_read_request - read one request with its body; false when the connection ended. */
bool raw_read_request(struct raw_server *s, int fd);
void raw_write(int fd, const char *text);

/* raw_reset - close FD so that the other end sees a reset. */
void raw_reset(int fd);

/* raw_wait_closed - wait until the other end has closed; false after 10 s. */
bool raw_wait_closed(int fd);

/* raw_is_closed - whether the other end has closed. */
bool raw_is_closed(int fd);

/* raw_listen - a listening socket on 127.0.0.1 and the port that the system chose. */
int raw_listen(u16 *port);

/* raw_connect - a connected socket, or -1. */
int raw_connect(u16 port);

/* raw_connect_soon - a socket that connects in the background; used to fill a backlog. */
int raw_connect_soon(u16 port);

#endif
